"""Levels of the services that an entry or an egress calls."""

import statistics
from typing import TYPE_CHECKING

from msgspec import UNSET

from gentianmill.level import PERIOD_MS

if TYPE_CHECKING:
    from gentianmill.messages import LoadReport

GRACE_MS = 500
"""Age up to which a reported level holds as it is."""

RECOVERY_STEP = 32
"""Ranks by which an older report opens every 250 ms."""

RELAY_STEP = 2
"""Ranks by which a level opens each time it is relayed.

Without it, services that call each other in a cycle would keep relaying a
low level to each other after the overloaded service has recovered.
"""

CACHE_MS = 50
"""Time for which a level is kept; a new report changes it at once."""

FORGET_MS = 60000
"""Age at which a report is dropped."""


class _Report:
    """What one member said last about one service."""

    __slots__ = ('at_ms', 'level')

    def __init__(self, level: int, at_ms: float) -> None:
        self.level = level
        self.at_ms = at_ms

    def level_at(self, now_ms: float) -> int:
        periods = max(0, now_ms - self.at_ms - GRACE_MS) / PERIOD_MS
        return self.level + int(periods * RECOVERY_STEP)


class LevelTable:
    """Keep the levels that members reported with their responses.

    A level of a service is the median over the members that reported it, so
    a single slow member does not close the service. Old reports open by
    themselves: a service that is refused entirely sends no new reports.
    """

    def __init__(self, max_level: int) -> None:
        """Create a table in which every service is open.

        Args:
            max_level: Level at which every rank is admitted.
        """
        self._max_level = max_level
        self._reports: dict[str, dict[str, _Report]] = {}
        self._cached: dict[str, _Report] = {}

    def update(
        self, service: str, node_id: str, load: 'LoadReport', now_ms: float
    ) -> None:
        """Take a load report into account.

        Args:
            service: Service of the member that sent it.
            node_id: The member.
            load: The report.
            now_ms: Current time in milliseconds.
        """
        below = {} if load.levels_below is UNSET else load.levels_below
        level = min(load.level, *below.values()) if below else load.level
        reports = self._reports.setdefault(service, {})
        previous = reports.get(node_id)
        reports[node_id] = _Report(level, now_ms)
        if previous is None or previous.level != level:
            self._cached.pop(service, None)

    def admits(self, service: str, rank: int, now_ms: float) -> bool:
        """Return whether a request of this rank may enter a service."""
        return rank <= self.level(service, now_ms)

    def level(self, service: str, now_ms: float) -> int:
        """Return the level of a service and of those that it calls."""
        cached = self._cached.get(service)
        if cached is not None and now_ms - cached.at_ms < CACHE_MS:
            return cached.level
        level = self._median(self._reports.get(service, {}), now_ms)
        self._cached[service] = _Report(level, now_ms)
        return level

    def levels(self, now_ms: float) -> dict[str, int]:
        """Return the levels to relay, for services that are not fully open."""
        relayed = {}
        for service in self._reports:
            level = self.level(service, now_ms) + RELAY_STEP
            if level < self._max_level:
                relayed[service] = level
        return relayed

    def _median(self, reports: dict[str, _Report], now_ms: float) -> int:
        stale = [
            node_id
            for node_id, report in reports.items()
            if now_ms - report.at_ms > FORGET_MS
        ]
        for node_id in stale:
            reports.pop(node_id)
        if not reports:
            return self._max_level
        found = [report.level_at(now_ms) for report in reports.values()]
        return min(self._max_level, int(statistics.median_low(found)))
