"""Time that a call spends between two nodes, there and back."""

RISE_WEIGHT = 0.02
"""Weight of a sample above the estimate: a route that became longer is learned within
some hundred answers, and a single late one changes little."""

LONGEST_MS = 100.0
"""Bounds the estimate: regions are 60 ms apart, there and back, and what lies beyond
is waiting in a busy process, which passes."""


class RoundTrip:
    """Estimate the round trip from answers that tell how long their call took."""

    def __init__(self) -> None:
        """Know no answer; the estimate is 0 until one arrives."""
        self._ms: float | None = None

    @property
    def ms(self) -> float:
        """Return the estimate in ms."""
        return min(self._ms or 0, LONGEST_MS)

    def observe(self, total_ms: float, spent_ms: float) -> None:
        """Learn from an answer.

        Args:
            total_ms: Time from sending the call to its answer.
            spent_ms: Part of it that the other node spent on the call.
        """
        sample_ms = max(total_ms - spent_ms, 0)
        if self._ms is None or sample_ms < self._ms:
            self._ms = sample_ms
            return
        self._ms += RISE_WEIGHT * (sample_ms - self._ms)
