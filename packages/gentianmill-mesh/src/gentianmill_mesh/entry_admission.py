"""Decides at the entry whether to admit a new request."""

import random
from collections.abc import Iterable, Mapping

from gentianmill.admission_share import ShareTable, admits
from gentianmill.clock import Clock
from gentianmill.refused_callers import RefusedCallers
from gentianmill.route_rules import RouteRule, RuleSet
from gentianmill.tree_budget import TreeBudget
from gentianmill.tree_costs import TreeCosts
from gentianmill_node.logs import component

RETURN_SHARE = 0.97
"""A caller whose time left is below this part of the longest one seen on the route is
treated as one that was refused before and retries."""

REPEAT_SHARE = 0.99
"""The same for the order of a team's requests in queues. With 0.97, callers that retry each
20 ms had four attempts in the place of first ones, which cost the others 2.3 points."""

OVERLOADED_BELOW = 'overloaded_below'
REJECTED_BELOW = 'rejected_below'
"""Refusal while a service below rejects calls, and its retry budget is promised to other
requests."""

log = component('entry')


class EntryAdmission:
    """Admit the new requests that the downstream services can accept and complete."""

    def __init__(self, shares: ShareTable, costs: TreeCosts, clock: Clock) -> None:
        """Create an admission that admits all requests.

        Args:
            shares: Shares of new requests that services can admit.
            costs: Calls that the trees of each route make.
            clock: Clock of the node.
        """
        self._shares = shares
        self._clock = clock
        self._rng = random.Random()  # noqa: S311
        self._longest_time_left_ms: dict[str, float] = {}
        self._longest_of_team_ms: dict[tuple[str, str], float] = {}
        self._refused = RefusedCallers()
        self._importance: dict[int, float] = {}
        self._costs = costs
        self._trees = TreeBudget(self._rng)
        self._routes: list[RouteRule] = []
        self._rejecting: set[str] = set()

    def set_rules(self, rules: RuleSet) -> None:
        """Apply the priorities of new rules.

        Args:
            rules: The rules in force.
        """
        self._routes = rules.rules
        known = {rule.priority for rule in rules.rules}
        known.update(
            team.priority for team in rules.teams.teams if team.priority is not None
        )
        priorities = sorted(known, reverse=True)
        steps = max(len(priorities) - 1, 1)
        self._importance = {
            priority: position / steps for position, priority in enumerate(priorities)
        }
        names = {rule.name for rule in rules.rules}
        self._longest_of_team_ms = {
            flow: longest_ms
            for flow, longest_ms in self._longest_of_team_ms.items()
            if flow[0] in names and rules.teams.find(flow[1]) is not None
        }

    def share(self, rule: RouteRule) -> float:
        """Return the share of new requests of a route that can be admitted."""
        load_share = self._shares.share(rule.name, self._clock.now_ms())
        return min(load_share, self._trees.part(rule.name))

    @property
    def rejecting(self) -> set[str]:
        """Return the services below that rejected calls at the last request."""
        return self._rejecting

    def refusal(
        self, rule: RouteRule, priority: int, time_left_ms: float | None
    ) -> str:
        """Return why a new request is refused, or an empty text if it is admitted.

        Args:
            rule: Its route.
            priority: Its importance; 0 is the highest.
            time_left_ms: Time for which its caller still waits, or None if unknown.
        """
        if not self._admits_tree(rule):
            return REJECTED_BELOW
        return '' if self.admits(rule, priority, time_left_ms) else OVERLOADED_BELOW

    def is_repeat(self, rule: RouteRule, team: str, time_left_ms: float | None) -> bool:
        """Return whether a caller was refused before and did not wait as it was told.

        Callers that were refused by other entries count as repeating.

        Args:
            rule: Route of the new request.
            team: Its team, or empty if none; only requests of teams are told apart.
            time_left_ms: Time for which its caller still waits, or None if unknown.
        """
        if not team or time_left_ms is None:
            return False
        flow = rule.name, team
        longest_ms = max(self._longest_of_team_ms.get(flow, 0), time_left_ms)
        self._longest_of_team_ms[flow] = longest_ms
        if time_left_ms >= longest_ms * REPEAT_SHARE:
            return False
        now_ms = self._clock.now_ms()
        return not self._refused.has_waited(flow, now_ms + time_left_ms, now_ms)

    def note_refusal(
        self, route: str, team: str, end_ms: float, retry_after_ms: float
    ) -> None:
        """Remember when a refused caller was told to return.

        Args:
            route: Route of the request.
            team: Its team, or empty if none.
            end_ms: Time at which its caller stops waiting.
            retry_after_ms: Time after which it was told to return.
        """
        if team:
            now_ms = self._clock.now_ms()
            self._refused.note((route, team), end_ms, now_ms + retry_after_ms, now_ms)

    def _admits_tree(self, rule: RouteRule) -> bool:
        now_ms = self._clock.now_ms()
        shares = self._shares.tree_shares(now_ms)
        self._note_rejecting(shares)
        services = frozenset(one.service for one in rule.destinations)
        admitted = self._trees.admits(
            rule.name, rule.priority, services, shares, self._calls_to, now_ms
        )
        if self._makes_no_calls(rule, shares):
            return True
        for service, share in shares.items():
            if self._is_uncounted(rule, service) and self._rng.random() >= share:
                return False
        return admitted

    def _makes_no_calls(self, rule: RouteRule, services: Iterable[str]) -> bool:
        """Return whether upstreams make no calls to some services for a route.

        If one of these runs its requests itself, a first attempt takes no retry, and no work
        is lost with a rejected one.
        """
        calls = self._costs.calls(rule.name)
        return not any(
            calls.get(service) or self._is_uncounted(rule, service)
            for service in services
        )

    def _note_rejecting(self, shares: Mapping[str, float]) -> None:
        if shares.keys() == self._rejecting:
            return
        self._rejecting = set(shares)
        log.info(
            'Services that reject calls.',
            shares={name: round(share, 3) for name, share in shares.items()},
        )

    def _calls_to(self, service: str) -> dict[str, float]:
        """Return the calls that a tree of each route makes to a service."""
        return {
            rule.name: self._costs.calls(rule.name).get(service, 0)
            + _direct_part(rule, service)
            for rule in self._routes
        }

    def _is_uncounted(self, rule: RouteRule, service: str) -> bool:
        """Return whether a route calls a service, and its calls are not known yet."""
        if self._costs.calls(rule.name) or _direct_part(rule, service):
            return False
        return self._shares.is_downstream(rule.name, service)

    def admits(
        self, rule: RouteRule, priority: int, time_left_ms: float | None
    ) -> bool:
        """Return whether to admit a new request.

        What may run only once is refused later than reads of its priority, half way to the
        most important ones: payments and orders are what the others are there for.

        Args:
            rule: Its route.
            priority: Its importance; 0 is the highest.
            time_left_ms: Time for which its caller still waits, or None if unknown.
        """
        share = self._shares.share(rule.name, self._clock.now_ms())
        returning = self._is_returning(rule, time_left_ms)
        importance = self._importance.get(priority, 0)
        if not rule.repeatable:
            importance = (importance + 1) / 2
        return admits(share, importance, returning, self._rng)

    def _is_returning(self, rule: RouteRule, time_left_ms: float | None) -> bool:
        if time_left_ms is None:
            return False
        longest_ms = max(self._longest_time_left_ms.get(rule.name, 0), time_left_ms)
        self._longest_time_left_ms[rule.name] = longest_ms
        return time_left_ms < longest_ms * RETURN_SHARE


def _direct_part(rule: RouteRule, service: str) -> float:
    """Return the part of a route's requests that a service runs itself."""
    total = sum(destination.weight for destination in rule.destinations)
    direct = sum(
        destination.weight
        for destination in rule.destinations
        if destination.service == service
    )
    return direct / total if total else 0
