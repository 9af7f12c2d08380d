"""Generated from schema/relay.yaml by scripts/generate; do not edit."""

from __future__ import annotations

from typing import Annotated, Any, TypeAlias

from msgspec import Meta, UnsetType, field

from gentianmill.frame import Frame

RelayMessages: TypeAlias = Annotated[
    Any,
    Meta(
        description='Frames of the relay links, which carry HTTP requests between nodes, as msgpack.',
        title='RelayMessages',
    ),
]


class GuardLoad(Frame):
    """
    Load of a guard, carried on each answer.
    """

    running: Annotated[int, Meta(description='Requests that the upstream runs now.')]
    limit: Annotated[
        int, Meta(description='Most requests that the upstream may run at once.')
    ]
    queued: Annotated[int, Meta(description='Requests that wait for the upstream.')]
    shares: (
        Annotated[
            dict[str, int],
            Meta(
                description="Per service that runs calls of the answered request's route, itself included: the share of new requests that it can take, in thousandths."
            ),
        ]
        | UnsetType
    ) = field(default_factory=dict)
    tree_shares: (
        Annotated[
            dict[str, int],
            Meta(
                description='Per service of these whose upstreams reject calls: the share of its usual calls that its retry budget can complete, in thousandths.'
            ),
        ]
        | UnsetType
    ) = field(default_factory=dict)
    service_ms: (
        Annotated[
            int,
            Meta(
                description='Mean time for which the upstream works on a request, in ms, or 0 if unknown.'
            ),
        ]
        | UnsetType
    ) = 0
    capacity: (
        Annotated[
            int,
            Meta(
                description='Requests beyond which the upstream completes no more at once, or 0 if unknown.'
            ),
        ]
        | UnsetType
    ) = 0
    own_ms: (
        Annotated[
            dict[str, int],
            Meta(
                description='Per route, the mean time of a request without that of the calls that the upstream makes for it, in ms.'
            ),
        ]
        | UnsetType
    ) = field(default_factory=dict)
    cold_ms: (
        Annotated[
            int,
            Meta(
                description='Remaining time for which the upstream is slow after its start, in ms.'
            ),
        ]
        | UnsetType
    ) = 0


class RelayCall(Frame):
    """
    Asks the receiver to run a request on its upstream.
    """

    key: Annotated[
        int,
        Meta(
            description='Number of the call; unique for the incarnation of its sender.'
        ),
    ]
    service: Annotated[str, Meta(description='Service that must run the request.')]
    method: str
    target: Annotated[bytes, Meta(description='Request target as the caller sent it.')]
    headers: Annotated[
        list[list[bytes]],
        Meta(description='Pairs of name and value, in the order of the caller.'),
    ]
    body: bytes
    time_left_ms: int
    rank: Annotated[
        int, Meta(description='Order in the queue of the guard; the lowest goes first.')
    ]
    patience_ms: Annotated[
        int, Meta(description='Longest wait in the queue of the guard.')
    ]
    repeatable: Annotated[
        bool, Meta(description='Whether the request may run more than once.')
    ]
    caller_service: Annotated[
        str, Meta(description='Service on the VM where the request began.')
    ]
    route: Annotated[str, Meta(description='Name of its route.')]
    cause: Annotated[
        str, Meta(description='Why it is sent: first, retry, hedge or inherited.')
    ]
    body_bytes: (
        Annotated[
            int,
            Meta(
                description='Length of a body that follows in parts, or 0 if the frame holds all of it.'
            ),
        ]
        | UnsetType
    ) = 0
    team: (
        Annotated[
            str,
            Meta(
                description='Name of the team that the request belongs to, or empty if none.'
            ),
        ]
        | UnsetType
    ) = ''
    is_key_holder: (
        Annotated[
            bool,
            Meta(
                description='Whether the request itself carried a key of the team, so that the upstream is told the team.'
            ),
        ]
        | UnsetType
    ) = False
    is_repeat: (
        Annotated[
            bool,
            Meta(
                description='Whether the caller was refused before and did not wait as told; the request goes after others of its team.'
            ),
        ]
        | UnsetType
    ) = False


class RelayAnswer(Frame):
    """
    Ends a call.
    """

    key: int
    outcome: Annotated[str, Meta(description='answered, not_run or unknown.')]
    status: int
    headers: list[list[bytes]]
    body: bytes
    reason: Annotated[
        str,
        Meta(
            description='Why the call has no answer, or that it failed at a service below.'
        ),
    ]
    framed: Annotated[
        bool, Meta(description='Whether the upstream marked the end of the body.')
    ]
    rules_version: Annotated[
        int, Meta(description='Version of the routing rules that the sender knows.')
    ]
    load: GuardLoad
    spent_ms: Annotated[
        int, Meta(description='Time from the arrival of the call to this answer.')
    ]
    rules_age_ms: (
        Annotated[
            int,
            Meta(
                description="Time since the sender's rules were known to be the newest, or -1 if unknown."
            ),
        ]
        | UnsetType
    ) = -1
    nodes_digest: (
        Annotated[
            int,
            Meta(
                description='Digest of the node records that the sender knows, or 0 if unknown.'
            ),
        ]
        | UnsetType
    ) = 0
    nodes_age_ms: (
        Annotated[
            int,
            Meta(
                description='Time since these were known to be the newest, or -1 if unknown.'
            ),
        ]
        | UnsetType
    ) = -1
    body_bytes: (
        Annotated[
            int,
            Meta(
                description='Length of a body that follows in parts, -1 if it follows and its length is not known yet, or 0 if the frame holds all of it.'
            ),
        ]
        | UnsetType
    ) = 0
    calls: (
        Annotated[
            dict[str, int],
            Meta(
                description='Per service, the calls that were made for the request, at all levels below it.'
            ),
        ]
        | UnsetType
    ) = field(default_factory=dict)


class RelayPart(Frame):
    """
    Carries a part of the body of a call or of its answer.
    """

    key: int
    offset: Annotated[int, Meta(description='Bytes of the body before this part.')]
    content: bytes
    end: Annotated[
        str,
        Meta(
            description='complete after the last part, cut if the rest is lost, else empty.'
        ),
    ]


class RelayCredit(Frame):
    """
    Tells how much of a body the receiver has and takes.
    """

    key: int
    received: Annotated[int, Meta(description='Bytes that have arrived.')]
    limit: Annotated[
        int, Meta(description='Bytes from the start of the body that may be sent.')
    ]


class RelayCancel(Frame):
    """
    Tells the receiver that nobody waits for the call any more.
    """

    key: int


class QuotaRequest(Frame):
    """
    Asks the receiver, an owner of a team's quota, for tokens to send requests.
    """

    key: Annotated[
        int,
        Meta(
            description='Number of the request; unique for the incarnation of its sender.'
        ),
    ]
    team: str
    wanted: Annotated[
        int,
        Meta(description='Tokens that the sender needs now and expects to need soon.'),
    ]
    returned: Annotated[
        int, Meta(description='Tokens of earlier grants that it did not use.')
    ]


class QuotaGrant(Frame):
    """
    Answers a request for tokens.
    """

    key: int
    team: str
    granted: Annotated[
        int,
        Meta(
            description='Tokens; -1 if the sender does not own the quota of the team.'
        ),
    ]
    lifetime_ms: Annotated[
        int, Meta(description='Time after which unused tokens expire.')
    ]
    retry_after_ms: Annotated[
        int,
        Meta(description='Time after which a token is expected, if none was granted.'),
    ]


class RulesRequest(Frame):
    """
    Tells the version of the routing rules that the sender knows, and asks for newer ones.
    """

    known_version: int
    wants_status: (
        Annotated[bool, Meta(description='Whether the sender wants a status, too.')]
        | UnsetType
    ) = False
    nodes_digest: (
        Annotated[
            int,
            Meta(
                description="Digest of the node records that the sender knows; if the receiver's differs, it sends its latest ones."
            ),
        ]
        | UnsetType
    ) = 0


class FreshnessStatus(Frame):
    """
    Tells how recently rules and node records were known to be the newest.
    """

    rules_version: int
    rules_age_ms: Annotated[int, Meta(description='Time in ms, or -1 if unknown.')]
    nodes_digest: Annotated[
        int, Meta(description='Digest of all node records of the sender.')
    ]
    nodes_age_ms: Annotated[int, Meta(description='Time in ms, or -1 if unknown.')]


class RulesReply(Frame):
    """
    Carries the routing rules in the form of their source.
    """

    version: int
    document: bytes


class DepartureEntry(Frame):
    """
    A start of an upstream that takes no more calls.
    """

    upstream_id: str
    start_unix_ms: Annotated[
        int, Meta(description='Start as Unix time in ms; later ones are not meant.')
    ]


class StrikeEntry(Frame):
    """
    Crashes of upstreams in which a request was lost.
    """

    digest: Annotated[bytes, Meta(description='Digest of the request.')]
    crashes: Annotated[list[int], Meta(description='Numbers of the crashes.')]
    cleared: Annotated[
        list[int],
        Meta(
            description='Numbers of those that it did not cause, as it was answered later.'
        ),
    ]


class StrikeNews(Frame):
    """
    Tells of requests that were lost in crashes.
    """

    entries: list[StrikeEntry]


class StateRequest(Frame):
    """
    Asks what the receiver knows that the guard of a node must not forget.
    """

    node: str


class KnownState(Frame):
    """
    Tells what the guard of a node must not forget.
    """

    node: str
    departures: Annotated[
        list[DepartureEntry],
        Meta(description="Starts of the node's upstreams that take no more calls."),
    ]
    strikes: (
        Annotated[
            list[StrikeEntry], Meta(description='Requests that were lost in crashes.')
        ]
        | UnsetType
    ) = field(default_factory=list)
    teller: (
        Annotated[
            str,
            Meta(
                description='Node that tells it, or empty if it passes on what another one told.'
            ),
        ]
        | UnsetType
    ) = ''
    uptime_ms: (
        Annotated[
            int,
            Meta(
                description='Time since the start of the process that tells it, or 0 if unknown.'
            ),
        ]
        | UnsetType
    ) = 0


class CrashNews(Frame):
    """
    Tells of requests lost in a crash; sent by nodes of protocol 1.
    """

    digests: list[bytes]
    cleared: Annotated[
        bool,
        Meta(description='Whether they were answered since and are not the cause.'),
    ]


class NodeEntry(Frame):
    """
    What a node tells the others about itself.
    """

    name: str
    incarnation: Annotated[
        int, Meta(description='Start of its process as Unix time in ms.')
    ]
    revision: Annotated[
        int, Meta(description='Version that the registry gave to the entry.')
    ]
    host: str
    relay_port: int
    service: str
    zone: str
    region: str
    slots: int
    state: Annotated[str, Meta(description='serving or leaving.')]
    departures: (
        Annotated[
            list[DepartureEntry],
            Meta(description="Starts of the node's upstreams that take no more calls."),
        ]
        | UnsetType
    ) = field(default_factory=list)


class NodeNews(Frame):
    """
    Tells a node about entries that the registry has just accepted.
    """

    entries: list[NodeEntry]
