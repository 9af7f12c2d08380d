"""Whether an upstream may have left without this process knowing.

An acknowledged departure is known to the registry or to other nodes. If the registry is
away and all of these processes end, only the upstream itself is left to tell, by what it
does not send: one that has left sends no more reports. Reports that arrive prove nothing,
as they may have been sent before the departure, unless they were sent to an address that
only this process has named.

State: times of the start. Load: a report in 1.5 s.
"""

from gentianmill.departures import Departure

__all__ = ('LATEST_REPORT_MS', 'DepartureDoubt')

LATEST_REPORT_MS = 10_000.0
"""Age that no report exceeds when it arrives; they may arrive seconds late."""

REPORTS_PER_INTERVAL = 4
"""Most reports of an upstream in an interval, as one that fails is repeated."""


class DepartureDoubt:
    """Judge by its reports whether an upstream has not left."""

    def __init__(self) -> None:
        """Start without a doubt."""
        self._is_active = False
        self._interval_ms = float(0)
        self._begin_ms = float(0)
        self._begin_unix_ms = 0

    @property
    def is_active(self) -> bool:
        """Return whether the upstream may have left."""
        return self._is_active

    def begin(self, interval_ms: float, now_ms: float, now_unix_ms: int) -> None:
        """Doubt, as the process starts.

        Args:
            interval_ms: Time between two reports of an upstream.
            now_ms: Current time.
            now_unix_ms: Current time as Unix time.
        """
        self._is_active = True
        self._interval_ms = interval_ms
        self._begin_ms = now_ms
        self._begin_unix_ms = now_unix_ms

    def end(self) -> bool:
        """Stop doubting, as others know all departures; return whether that is new."""
        was_active = self._is_active
        self._is_active = False
        return was_active

    def observe(
        self, start: Departure, sequence: int, now_ms: float, *, is_current: bool
    ) -> bool:
        """Apply a report, also one that is older than another.

        Args:
            start: The upstream and its start, which may have departed.
            sequence: Number of the report.
            now_ms: Time of its arrival.
            is_current: Whether it was sent after this process had started.

        Returns:
            Whether it ends the doubt.
        """
        if not self._is_active:
            return False
        # What was sent before this process started has arrived by then.
        is_recent = now_ms - self._begin_ms >= LATEST_REPORT_MS
        ends = is_current or is_recent or self._is_new(start, sequence, now_ms)
        self._is_active = not ends
        return ends

    def _is_new(self, start: Departure, sequence: int, now_ms: float) -> bool:
        """Return whether an upstream has started since, and can't have left before.

        The clock alone does not tell, as it may have been set back.
        """
        since_ms = now_ms - self._begin_ms + self._interval_ms
        most_reports = since_ms * REPORTS_PER_INTERVAL / self._interval_ms
        return start.start_unix_ms > self._begin_unix_ms and sequence <= most_reports
