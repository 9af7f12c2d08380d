"""Generated from schema/messages.yaml by scripts/generate; do not edit."""

from __future__ import annotations

from typing import Annotated, Any, TypeAlias

from msgspec import UNSET, Meta, UnsetType, field

from gentianmill.frame import Frame

Messages: TypeAlias = Annotated[
    Any,
    Meta(
        description='Frames that nodes exchange over the peer WebSocket, as msgpack.',
        title='Messages',
    ),
]


class LoadReport(Frame):
    """
    Load of a guard, carried on each answer.
    """

    in_flight: int
    limit: int
    queue_delay_ms: float
    level: Annotated[
        int,
        Meta(description='Calls whose admission rank exceeds the level are refused.'),
    ]
    draining: bool
    levels_below: (
        Annotated[
            dict[str, list[int]],
            Meta(
                description='Per service called by this service or further down: level, age of the level in ms, bit mask of the classes whose calls go there.'
            ),
        ]
        | UnsetType
    ) = field(default_factory=dict)


class CallFrame(Frame):
    """
    Asks the receiver to run a call on its upstream.
    """

    call_id: Annotated[int, Meta(description='Unique on one connection.')]
    service: str
    method: str
    path: Annotated[str, Meta(description='Path with query string.')]
    tenant: str
    request_id: Annotated[str, Meta(description='Id of the whole request, for logs.')]
    identity: Annotated[
        str,
        Meta(
            description='Identity under which retries are counted; empty if the request may not be retried.'
        ),
    ]
    digest: Annotated[
        bytes, Meta(description='Digest of service, method, path and body.')
    ]
    time_left_ms: int
    rank: Annotated[
        int,
        Meta(
            description='Admission rank of the request: class rank times 128 plus hash.'
        ),
    ]
    home: Annotated[str, Meta(description="Node id of the retry ledger's home.")]
    depth: Annotated[
        int,
        Meta(
            description='Calls between the caller and this one; 0 for the first call.'
        ),
    ]
    at_most_once: Annotated[
        bool,
        Meta(
            description="Whether the sender's sheet says that the call runs at most once."
        ),
    ]
    body: bytes
    idempotency_key: str | UnsetType = ''
    headers: dict[str, str] | UnsetType = field(default_factory=dict)


class AnswerFrame(Frame):
    """
    Ends a call.
    """

    call_id: int
    outcome: Annotated[str, Meta(description='answered, not_run, unknown or expired.')]
    status: int
    body: bytes
    digest: Annotated[bytes, Meta(description='Digest of the body.')]
    length: Annotated[int, Meta(description='Length of the body in bytes.')]
    headers: dict[str, str] | UnsetType = field(default_factory=dict)
    error_code: str | UnsetType = ''
    error_step: str | UnsetType = ''
    error_peer: str | UnsetType = ''
    error_message: str | UnsetType = ''
    retry_after_ms: int | UnsetType = 0
    load: LoadReport | None | UnsetType = UNSET


class CancelFrame(Frame):
    """
    Tells the receiver that nobody waits for the call any more.
    """

    call_id: int


class SpendFrame(Frame):
    """
    Asks the home of a request for one retry.
    """

    call_id: int
    identity: str


class GrantFrame(Frame):
    """
    Answers a SpendFrame, or confirms a StrikeFrame.
    """

    call_id: int
    granted: bool


class StrikeFrame(Frame):
    """
    Tells a guard of the same service about a crash suspect.
    """

    call_id: Annotated[
        int, Meta(description='Number of the GrantFrame that confirms it.')
    ]
    service: str
    digest: bytes
    convicted: bool
    cleared: bool
