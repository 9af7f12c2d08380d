"""Estimates of latency: a smoothed value and a quantile over a window."""

import math

WINDOW_SIZE = 256
REFRESH_OBSERVATIONS = 32
RISE_WEIGHT = 0.3
FALL_WEIGHT = 0.1


class SmoothedLatency:
    """Smooth latencies, following a rise faster than a fall.

    A rise is followed faster because a slow upstream must lose traffic before
    many calls have waited for it.
    """

    __slots__ = ('_count', '_value_ms')

    def __init__(self) -> None:
        """Start without an observation."""
        self._value_ms = float(0)
        self._count = 0

    @property
    def value_ms(self) -> float:
        """Return the smoothed latency in ms; 0 before the first observation."""
        return self._value_ms

    @property
    def count(self) -> int:
        """Return the number of observations since the last reset."""
        return self._count

    def observe(self, latency_ms: float) -> None:
        """Add one latency in ms."""
        self._count += 1
        if self._count == 1:
            self._value_ms = latency_ms
            return
        change_ms = latency_ms - self._value_ms
        weight = RISE_WEIGHT if change_ms > 0 else FALL_WEIGHT
        self._value_ms += change_ms * weight

    def reset(self) -> None:
        """Discard all observations."""
        self._value_ms = float(0)
        self._count = 0


class LatencyWindow:
    """Keep the latest latencies and compute their quantiles."""

    __slots__ = ('_count', '_latencies', '_sorted', '_sorted_at')

    def __init__(self) -> None:
        """Start with an empty window."""
        self._latencies: list[float] = []
        self._sorted: list[float] = []
        self._count = 0
        self._sorted_at = 0

    @property
    def count(self) -> int:
        """Return the number of latencies observed so far."""
        return self._count

    def observe(self, latency_ms: float) -> None:
        """Add one latency in ms; it replaces the oldest one of a full window."""
        if len(self._latencies) < WINDOW_SIZE:
            self._latencies.append(latency_ms)
        else:
            self._latencies[self._count % WINDOW_SIZE] = latency_ms
        self._count += 1

    def quantile_ms(self, share: float) -> float | None:
        """Return a quantile, recomputed after every 32 observations.

        Args:
            share: Share of the latencies that are at most the result, 0 to 1.

        Returns:
            The quantile in ms, or None if there is no observation.
        """
        if not self._latencies:
            return None
        if not self._sorted or self._count - self._sorted_at >= REFRESH_OBSERVATIONS:
            self._sorted = sorted(self._latencies)
            self._sorted_at = self._count
        rank = math.ceil(share * len(self._sorted))
        return self._sorted[max(rank, 1) - 1]
