"""Whether an upstream may have left without this process knowing.

An acknowledged departure is known to the registry or to other nodes. If the registry is
away and all of these processes end, only the upstream itself is left to tell, by what it
does not send: one that has left sends no more reports. A single report proves nothing, as
it may have been sent before the departure and arrive late. Reports that go on do.

State: one report of one upstream. Load: a report in 1.5 s.
"""

from gentianmill.departures import Departure

__all__ = ('LATEST_REPORT_MS', 'DepartureDoubt')

LATEST_REPORT_MS = 10_000.0
"""Age that no report exceeds when it arrives; they may arrive seconds late."""

MIN_DISTANCE_SHARE = 0.5
"""Least time between two reports that prove that they go on, as a share of the interval.
Reports that were held back arrive together; one that is sent in time follows a late one
sooner than an interval."""


class DepartureDoubt:
    """Judge by its reports whether an upstream has not left."""

    def __init__(self) -> None:
        """Start without a doubt."""
        self._is_active = False
        self._interval_ms = float(0)
        self._begin_ms = float(0)
        self._begin_unix_ms = 0
        self._first: tuple[Departure, int, float] | None = None

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

    def observe(self, start: Departure, sequence: int, now_ms: float) -> bool:
        """Apply a report, also one that is older than another.

        Args:
            start: The upstream and its start, which may have departed.
            sequence: Number of the report.
            now_ms: Time of its arrival.

        Returns:
            Whether it ends the doubt.
        """
        if not self._is_active:
            return False
        # What has started since was not there when an earlier process acknowledged.
        is_new = start.start_unix_ms > self._begin_unix_ms
        is_recent = now_ms - self._begin_ms >= LATEST_REPORT_MS
        ends = is_new or is_recent or self._goes_on(start, sequence, now_ms)
        self._is_active = not ends
        return ends

    def _goes_on(self, start: Departure, sequence: int, now_ms: float) -> bool:
        """Return whether a report continues earlier ones of the same start."""
        known = self._first
        if known is None or start.start_unix_ms > known[0].start_unix_ms:
            self._first = start, sequence, now_ms
            return False
        known_start, known_sequence, known_ms = known
        if start != known_start or sequence <= known_sequence:
            return False
        return now_ms - known_ms >= self._interval_ms * MIN_DISTANCE_SHARE
