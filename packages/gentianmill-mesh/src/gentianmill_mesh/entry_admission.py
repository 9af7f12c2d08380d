"""Decides at the entry whether to admit a new request."""

import random

from gentianmill.admission_share import ShareTable, admits
from gentianmill.clock import Clock
from gentianmill.route_rules import RouteRule, RuleSet

RETURN_SHARE = 0.97
"""A caller whose time left is below this part of the longest one seen on the route is
treated as one that was refused before and retries."""


class EntryAdmission:
    """Admit the share of new requests that the downstream services can accept."""

    def __init__(self, shares: ShareTable, clock: Clock) -> None:
        """Create an admission that admits all requests.

        Args:
            shares: Shares of new requests that services can admit.
            clock: Clock of the node.
        """
        self._shares = shares
        self._clock = clock
        self._rng = random.Random()  # noqa: S311
        self._longest_time_left_ms: dict[str, float] = {}
        self._importance: dict[int, float] = {}

    def set_rules(self, rules: RuleSet) -> None:
        """Apply the priorities of new rules.

        Args:
            rules: The rules in force.
        """
        known = {rule.priority for rule in rules.rules}
        known.update(
            team.priority for team in rules.teams.teams if team.priority is not None
        )
        priorities = sorted(known, reverse=True)
        steps = max(len(priorities) - 1, 1)
        self._importance = {
            priority: position / steps for position, priority in enumerate(priorities)
        }

    def share(self, rule: RouteRule) -> float:
        """Return the share of new requests of a route that can be admitted."""
        return self._shares.share(rule.name, self._clock.now_ms())

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
        share = self.share(rule)
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
