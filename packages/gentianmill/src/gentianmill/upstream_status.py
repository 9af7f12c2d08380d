"""What an upstream reports about itself, in the order of its reports."""

import dataclasses
from collections.abc import Iterable

from gentianmill.departure_doubt import DepartureDoubt
from gentianmill.departures import Departure, Departures


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamReport:
    """One report of an upstream about itself."""

    upstream_id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    draining: bool
    sequence: int
    """Increases with each report until the upstream restarts."""

    start_unix_ms: int
    """Start of the upstream as Unix time in ms; 0 if unknown."""

    cold_ms: float
    """Remaining time for which the upstream is slow after its start, in ms."""

    @property
    def order(self) -> tuple[int, int]:
        """Return the sort key of the report, also across restarts."""
        return (self.start_unix_ms, self.sequence)

    def with_slots(self, limit: int) -> 'UpstreamReport':
        """Return this report with at most a number of slots."""
        return dataclasses.replace(self, slots=min(self.slots, limit))


class UpstreamStatus:
    """The newest state of the upstream on the same VM.

    Reports may arrive late, even those from before a restart, so they are ordered
    by start time and sequence.
    """

    def __init__(self) -> None:
        """Start without a report."""
        self._report: UpstreamReport | None = None
        self._departures = Departures()
        self._doubt = DepartureDoubt()

    @property
    def doubt(self) -> DepartureDoubt:
        """Return the doubt whether all departures are known."""
        return self._doubt

    @property
    def report(self) -> UpstreamReport | None:
        """Return the newest report, or None before the first."""
        return self._report

    @property
    def departures(self) -> tuple[Departure, ...]:
        """Return the starts of upstreams on this VM that take no more calls."""
        return self._departures.entries

    @property
    def is_blank(self) -> bool:
        """Return whether nothing is known."""
        return self._report is None and not self._departures.entries

    @property
    def accepts_calls(self) -> bool:
        """Return whether the upstream is known, not draining and has not left."""
        report = self._report
        if report is None or report.draining or self._doubt.is_active:
            return False
        return not self._departures.covers(report.upstream_id, report.start_unix_ms)

    def restore(self, departures: Iterable[Departure]) -> None:
        """Apply what an earlier process of the node has acknowledged."""
        for departure in departures:
            self._departures.add(departure)

    def apply(self, report: UpstreamReport) -> bool:
        """Apply a report unless a newer one is known.

        Args:
            report: The report.

        Returns:
            Whether it replaced the known one.
        """
        known = self._report
        if known is not None and report.order <= known.order:
            return False
        if known is not None and _undoes_drain(known, report):
            report = dataclasses.replace(report, draining=True)
        if report.draining:
            # An acknowledged drain applies until the upstream restarts.
            self._departures.add(Departure(report.upstream_id, report.start_unix_ms))
        self._report = report
        return True

    def leave(self, upstream_id: str, start_unix_ms: int, now_unix_ms: int) -> bool:
        """Record that a start of an upstream, and earlier ones, accept no more calls.

        Args:
            upstream_id: Id of the upstream.
            start_unix_ms: Its start, or 0 if it is not told: then the start that is
                known by reports, or else any until now.
            now_unix_ms: Current time as Unix time in ms.

        Returns:
            Whether the start is the known one.
        """
        known = self._report
        if known is None or known.upstream_id != upstream_id:
            last_start = start_unix_ms or now_unix_ms
            self._departures.add(Departure(upstream_id, last_start))
            return False
        last_start = start_unix_ms or known.start_unix_ms
        self._departures.add(Departure(upstream_id, last_start))
        return last_start >= known.start_unix_ms


def _undoes_drain(known: UpstreamReport, report: UpstreamReport) -> bool:
    """Return whether a report without a restart would end a drain."""
    is_same_start = (known.upstream_id, known.start_unix_ms) == (
        report.upstream_id,
        report.start_unix_ms,
    )
    return is_same_start and known.draining
