"""Network round trip between two nodes."""

INCREASE_WEIGHT = 0.02
"""Weight of a sample above the estimate. The estimate follows a longer network path
within a few hundred responses, and a single delayed one changes little."""

LONGEST_MS = 100.0
"""Upper bound of the estimate: the round trip between regions is 60 ms. Anything beyond
is time spent waiting in a busy process, which is temporary."""


class RoundTrip:
    """Estimate the round trip from responses that report the time spent on the call."""

    def __init__(self) -> None:
        """Start without samples; the estimate is 0 until the first response."""
        self._ms: float | None = None
        self._latest_ms = float(0)

    @property
    def latest_ms(self) -> float:
        """Return the last sample in ms, which includes the time in queues of links."""
        return self._latest_ms

    @property
    def ms(self) -> float:
        """Return the estimate in ms."""
        return min(self._ms or 0, LONGEST_MS)

    def observe(self, total_ms: float, spent_ms: float) -> None:
        """Update the estimate from a response.

        Args:
            total_ms: Time from sending the call to its response.
            spent_ms: Part of it that the other node spent on the call.
        """
        sample_ms = max(total_ms - spent_ms, 0)
        self._latest_ms = sample_ms
        if self._ms is None or sample_ms < self._ms:
            self._ms = sample_ms
            return
        self._ms += INCREASE_WEIGHT * (sample_ms - self._ms)
