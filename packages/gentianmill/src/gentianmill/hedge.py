"""When to send a hedge, a second attempt of a repeatable read."""

from collections import OrderedDict

from gentianmill.latency import LatencyWindow

MAX_OPERATIONS = 1024
MIN_OBSERVATIONS = 32
HEDGE_QUANTILE = 0.95
MIN_DELAY_MS = 1.0


class HedgePolicy:
    """Derive the hedge delay of each operation from its observed latencies.

    A hedge after the 95th percentile adds about 5% of calls at most; see Dean
    and Barroso, "The Tail at Scale", 2013.
    """

    def __init__(self) -> None:
        """Start without observations."""
        self._windows: OrderedDict[str, LatencyWindow] = OrderedDict()

    def observe(self, operation_key: str, latency_ms: float) -> None:
        """Add the latency in ms of one completed call of an operation."""
        window = self._windows.get(operation_key)
        if window is None:
            window = self._add(operation_key)
        else:
            self._windows.move_to_end(operation_key)
        window.observe(latency_ms)

    def delay_ms(self, operation_key: str) -> float | None:
        """Return how long to wait for a response before a hedge is sent.

        Args:
            operation_key: Key that identifies the operation and its service.

        Returns:
            The delay in ms, or None while there are too few observations.
        """
        window = self._windows.get(operation_key)
        if window is None or window.count < MIN_OBSERVATIONS:
            return None
        delay_ms = window.quantile_ms(HEDGE_QUANTILE)
        return None if delay_ms is None else max(delay_ms, MIN_DELAY_MS)

    def _add(self, operation_key: str) -> LatencyWindow:
        if len(self._windows) >= MAX_OPERATIONS:
            self._windows.popitem(last=False)
        window = LatencyWindow()
        self._windows[operation_key] = window
        return window
