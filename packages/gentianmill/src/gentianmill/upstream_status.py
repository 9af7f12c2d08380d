"""What an upstream reports about itself, in the order of its reports."""

import dataclasses


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


class UpstreamStatus:
    """The newest state of the upstream on the same VM.

    Reports may arrive late, even those from before a restart, so they are ordered
    by start time and sequence.
    """

    def __init__(self) -> None:
        """Start without a report."""
        self._report: UpstreamReport | None = None
        self._departed: set[tuple[str, int]] = set()

    @property
    def report(self) -> UpstreamReport | None:
        """Return the newest report, or None before the first."""
        return self._report

    @property
    def accepts_calls(self) -> bool:
        """Return whether the upstream is known, not draining and has not left."""
        report = self._report
        if report is None or report.draining:
            return False
        return (report.upstream_id, report.start_unix_ms) not in self._departed

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
        self._report = report
        return True

    def leave(self, upstream_id: str) -> bool:
        """Record that an upstream accepts no more calls.

        Args:
            upstream_id: Id of the upstream.

        Returns:
            Whether it is the known upstream.
        """
        known = self._report
        if known is None or known.upstream_id != upstream_id:
            return False
        self._departed.add((known.upstream_id, known.start_unix_ms))
        return True


def _undoes_drain(known: UpstreamReport, report: UpstreamReport) -> bool:
    """Return whether a report without a restart would end a drain.

    An acknowledged drain applies until the upstream restarts.
    """
    is_same_start = (known.upstream_id, known.start_unix_ms) == (
        report.upstream_id,
        report.start_unix_ms,
    )
    return is_same_start and known.draining
