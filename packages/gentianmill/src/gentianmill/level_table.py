"""Admission levels of the services that an entry or an egress calls."""

import statistics
from typing import TYPE_CHECKING

from msgspec import UNSET

from gentianmill.level import PERIOD_MS
from gentianmill.sheet import RANKS_PER_CLASS

if TYPE_CHECKING:
    from gentianmill.messages import LoadReport

GRACE_MS = 500
"""Age up to which a reported level applies unchanged."""

RECOVERY_STEP = 32
"""Ranks by which an older report opens per period of 250 ms."""

RELAYED_LIFETIME_MS = 1500
"""Age at which a relayed level no longer counts.

The age is counted from the report of the overloaded service itself, so
services that call each other in a cycle cannot keep an outdated level in force.
"""

CACHE_MS = 50
"""Time for which a level is cached; a report with another level invalidates it."""

REPORT_LIFETIME_MS = 60000
"""Age at which a report is dropped."""


class _Report:
    """Latest level that a member reported for a service."""

    __slots__ = ('at_ms', 'level')

    def __init__(self, level: int, at_ms: float) -> None:
        self.level = level
        self.at_ms = at_ms

    def level_at(self, now_ms: float) -> int:
        periods = max(0, now_ms - self.at_ms - GRACE_MS) / PERIOD_MS
        return self.level + int(periods * RECOVERY_STEP)


class _DownstreamLevel:
    """Level of a downstream service, as relayed by the service that calls it."""

    __slots__ = ('classes', 'level', 'origin_ms')

    def __init__(self, level: int, origin_ms: float, classes: int) -> None:
        self.level = level
        self.origin_ms = origin_ms
        self.classes = classes

    def excludes(self, rank: int, now_ms: float) -> bool:
        if rank <= self.level or now_ms - self.origin_ms > RELAYED_LIFETIME_MS:
            return False
        return bool(self.classes & _class_bit(rank))

    def is_relayed(self, now_ms: float) -> bool:
        return self.classes > 0 and now_ms - self.origin_ms <= RELAYED_LIFETIME_MS

    def packed(self, now_ms: float) -> list[int]:
        return [self.level, int(now_ms - self.origin_ms), self.classes]


class LevelTable:
    """Store the levels that members reported with their responses.

    A level of a service is the median over the members that reported it, so
    a single slow member does not close the service. Old reports open on their
    own, because a service that gets no requests sends no new reports.

    A service relays the levels of its downstream services with the classes of
    the calls that it makes to them, so a request is refused at the entry only if
    it belongs to a class that reaches the overloaded service. Relayed levels
    never exclude protected ranks, since not every request of a class makes every
    call.
    """

    def __init__(self, max_level: int, protected_level: int = -1) -> None:
        """Create a table in which every service is open.

        Args:
            max_level: Level at which every rank is admitted.
            protected_level: Highest rank of the protected classes; -1 if there
                are none.
        """
        self._max_level = max_level
        self._protected_level = protected_level
        self._reports: dict[str, dict[str, _Report]] = {}
        self._downstream: dict[str, dict[str, _DownstreamLevel]] = {}
        self._egress_classes: dict[str, int] = {}
        self._cached: dict[str, _Report] = {}

    def on_egress(self, service: str, rank: int) -> None:
        """Record a call by the local upstream to a service.

        Only the levels of services that it calls are relayed.

        Args:
            service: The called service.
            rank: Rank of the request.
        """
        classes = self._egress_classes.get(service, 0)
        self._egress_classes[service] = classes | _class_bit(rank)

    def update(
        self, service: str, node_id: str, load: 'LoadReport', now_ms: float
    ) -> None:
        """Apply a load report.

        Args:
            service: Service of the member that sent it.
            node_id: The member.
            load: The report.
            now_ms: Current time in milliseconds.
        """
        reports = self._reports.setdefault(service, {})
        previous = reports.get(node_id)
        reports[node_id] = _Report(load.level, now_ms)
        if previous is None or previous.level != load.level:
            self._cached.pop(service, None)
        if load.levels_below and load.levels_below is not UNSET:
            downstream = self._downstream.setdefault(service, {})
            for callee, (level, age_ms, classes) in load.levels_below.items():
                _keep_newer(
                    downstream,
                    callee,
                    _DownstreamLevel(level, now_ms - age_ms, classes),
                )

    def admits(self, service: str, rank: int, now_ms: float) -> bool:
        """Return whether a request of this rank may enter a service."""
        if rank > self.level(service, now_ms):
            return False
        downstream = self._downstream.get(service)
        if not downstream or rank <= self._protected_level:
            return True
        return not any(entry.excludes(rank, now_ms) for entry in downstream.values())

    def level(self, service: str, now_ms: float) -> int:
        """Return the level of a service, without its downstream services."""
        cached = self._cached.get(service)
        if cached is not None and now_ms - cached.at_ms < CACHE_MS:
            return cached.level
        level = self._median(self._reports.get(service, {}), now_ms)
        self._cached[service] = _Report(level, now_ms)
        return level

    def levels(self, now_ms: float) -> dict[str, list[int]]:
        """Return the levels to relay, for services that are not fully open.

        Args:
            now_ms: Current time in milliseconds.

        Returns:
            Per service the level, its age in ms and the bit mask of the classes
            in which the local upstream makes calls that reach it.
        """
        found: dict[str, _DownstreamLevel] = {}
        for service in self._egress_classes:
            self._collect(found, service, now_ms)
        return {
            name: downstream.packed(now_ms)
            for name, downstream in found.items()
            if downstream.is_relayed(now_ms)
        }

    def _collect(
        self, found: dict[str, _DownstreamLevel], service: str, now_ms: float
    ) -> None:
        classes = self._egress_classes[service]
        level = self.level(service, now_ms)
        if level < self._max_level:
            reports = self._reports[service].values()
            newest_ms = max(report.at_ms for report in reports)
            _keep_newer(found, service, _DownstreamLevel(level, newest_ms, classes))
        for callee, entry in self._downstream.get(service, {}).items():
            relayed = _DownstreamLevel(
                entry.level, entry.origin_ms, entry.classes & classes
            )
            _keep_newer(found, callee, relayed)

    def _median(self, reports: dict[str, _Report], now_ms: float) -> int:
        stale = [
            node_id
            for node_id, report in reports.items()
            if now_ms - report.at_ms > REPORT_LIFETIME_MS
        ]
        for node_id in stale:
            reports.pop(node_id)
        if not reports:
            return self._max_level
        found = [report.level_at(now_ms) for report in reports.values()]
        return min(self._max_level, int(statistics.median_low(found)))


def _keep_newer(
    entries: dict[str, _DownstreamLevel], service: str, entry: _DownstreamLevel
) -> None:
    previous = entries.get(service)
    if previous is None or entry.origin_ms > previous.origin_ms:
        entries[service] = entry


def _class_bit(rank: int) -> int:
    return 1 << (rank // RANKS_PER_CLASS)
