"""Identifies the team of a request by its key, or by the request that it is made for."""

import dataclasses
from collections import Counter

from gentianmill.call_tree import CallOrigin, CallTree
from gentianmill.route_rules import RouteRule, RuleSet
from gentianmill.teams import Team, TeamDirectory, WithdrawnKeys
from gentianmill_mesh.http_message import HttpRequest
from gentianmill_mesh.wire_names import WireNames
from gentianmill_node.logs import component

__all__ = ('Identity', 'KeyCheck')

NO_KEY = 'no_key'
UNKNOWN_KEY = 'unknown_key'
WITHDRAWN_KEY = 'withdrawn_key'
SEVERAL_KEYS = 'several_keys'

log = component('rules')


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Who sent a request, as far as its key and its id tell."""

    origin: CallOrigin
    priority: int
    """Importance of the request; 0 is the highest."""

    team: str = ''
    """Name of its team, or of the one that held a withdrawn key, or empty."""

    is_key_holder: bool = False
    """Whether the request itself carried a key of the team."""

    refusal: str = ''
    """Why the request must not run, or empty."""


class KeyCheck:
    """Look up keys in the rules in force, for each request anew.

    Nothing is kept between two requests of a connection, so that a withdrawn key is out of
    use with the version that withdraws it.
    """

    def __init__(self, names: WireNames, tree: CallTree) -> None:
        """Create a check.

        Args:
            names: Header names of the deployment.
            tree: Requests that run on the upstream of this node.
        """
        self._names = names
        self._tree = tree
        self._teams = TeamDirectory()
        self._withdrawn = WithdrawnKeys()

    def set_rules(self, rules: RuleSet) -> None:
        """Remember the keys that new rules withdraw, to explain refusals.

        Args:
            rules: The rules in force.
        """
        withdrawn = rules.teams.withdrawn_since(self._teams)
        self._withdrawn.record(withdrawn)
        if withdrawn or len(rules.teams.teams) != len(self._teams.teams):
            log.info(
                'Teams in force.',
                version=rules.version,
                teams=len(rules.teams.teams),
                withdrawn=dict(Counter(withdrawn.values())),
            )
        self._teams = rules.teams

    @property
    def scheme(self) -> bytes:
        """Return the scheme in front of a key, for the challenge of a refusal."""
        return self._names.key_scheme

    def identify(
        self,
        keys: tuple[bytes, ...],
        request_id: str,
        rules: RuleSet,
        rule: RouteRule,
    ) -> Identity:
        """Return who sent a request, and why it is refused if it is.

        Args:
            keys: Keys in the request.
            request_id: Its id.
            rules: The rules in force.
            rule: Its route.
        """
        teams = rules.teams
        team = None if teams.is_empty else _team(teams, keys)
        priority = rule.priority
        if team is not None and team.priority is not None:
            priority = team.priority
        origin = self._tree.origin(request_id, priority)
        identity = Identity(
            origin=origin,
            priority=priority,
            team=origin.team if team is None else team.name,
            is_key_holder=team is not None,
        )
        if teams.is_empty or team is not None:
            return identity
        needs_key = not (rule.allows_anonymous or origin.is_inner)
        return self._refused(identity, keys, needs_key=needs_key)

    def _refused(
        self, identity: Identity, keys: tuple[bytes, ...], *, needs_key: bool
    ) -> Identity:
        """Return an identity without a valid key, with its refusal if it needs one."""
        if not keys:
            refusal = NO_KEY if needs_key else ''
            return dataclasses.replace(identity, refusal=refusal)
        if len(keys) > 1:
            return dataclasses.replace(identity, refusal=SEVERAL_KEYS)
        team = self._withdrawn.team_of(keys[0])
        refusal = WITHDRAWN_KEY if team else UNKNOWN_KEY
        return dataclasses.replace(identity, team=team, refusal=refusal)

    def forwarded(self, request: HttpRequest, rules: RuleSet) -> HttpRequest:
        """Return a request without its key and without a name of a team.

        Args:
            request: The request of a caller.
            rules: The rules in force; without teams, the request passes as it is.
        """
        if rules.teams.is_empty:
            return request
        headers = self._names.without_team(request.headers)
        return dataclasses.replace(request, headers=headers)


def _team(teams: TeamDirectory, keys: tuple[bytes, ...]) -> Team | None:
    return teams.of_key(keys[0]) if len(keys) == 1 else None
