"""Decides at the entry whether a new request may start."""

import random

from gentianmill.admission_share import ShareTable, admits
from gentianmill.clock import Clock
from gentianmill.route_rules import RouteRule, RuleSet

RETURN_SHARE = 0.97
"""A caller with less than this part of the usual time was refused before."""


class EntryAdmission:
    """Admit new requests by what the services below them can take."""

    def __init__(self, shares: ShareTable, clock: Clock) -> None:
        """Create an admission that admits all requests.

        Args:
            shares: What services can take.
            clock: Clock of the node.
        """
        self._shares = shares
        self._clock = clock
        self._rng = random.Random()  # noqa: S311
        self._longest_ms: dict[str, float] = {}
        self._importance: dict[int, float] = {}

    def set_rules(self, rules: RuleSet) -> None:
        """Take over the priorities of new rules.

        Args:
            rules: The rules in force.
        """
        priorities = sorted({rule.priority for rule in rules.rules}, reverse=True)
        steps = max(len(priorities) - 1, 1)
        self._importance = {
            priority: place / steps for place, priority in enumerate(priorities)
        }

    def share(self, rule: RouteRule) -> float:
        """Return the share of a route's new requests that can be served."""
        return self._shares.share(rule.name, self._clock.now_ms())

    def admits(self, rule: RouteRule, time_left_ms: float | None) -> bool:
        """Return whether a new request may start.

        Args:
            rule: Its route.
            time_left_ms: Time that its caller waits, or None.
        """
        share = self.share(rule)
        returning = self._is_returning(rule, time_left_ms)
        importance = self._importance.get(rule.priority, 0)
        return admits(share, importance, returning, self._rng)

    def _is_returning(self, rule: RouteRule, time_left_ms: float | None) -> bool:
        if time_left_ms is None:
            return False
        longest_ms = max(self._longest_ms.get(rule.name, 0), time_left_ms)
        self._longest_ms[rule.name] = longest_ms
        return time_left_ms < longest_ms * RETURN_SHARE
