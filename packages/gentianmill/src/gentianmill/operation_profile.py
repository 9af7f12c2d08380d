"""Typical latencies per operation, learned from finished calls."""

import math

from gentianmill.ticket import Lane, Ticket

MIN_STEP = 0.01
"""Smallest relative step of the estimate for one operation."""

MIN_SLOWDOWN_STEP = 0.05
"""Smallest relative step of the slowdown, which can change within a second."""

MIN_SAMPLES = 8
"""Calls of an operation before it may be classified as long."""

LONG_RATIO = 8.0
"""An operation is long if its median is this many times the typical one."""

SHORT_RATIO = 4.0
"""An operation classified as long becomes short again below this ratio."""

MAX_OPERATIONS = 4096
"""Bound on memory if operation keys do not come from a sheet."""


class RunningMedian:
    """Estimate a median by steps up or down; robust to stragglers.

    Sample n changes the estimate by a factor of at most exp(1 / n), or exp(min_step)
    if that is more.
    """

    __slots__ = ('_count', '_median', '_min_step')

    def __init__(self, min_step: float = MIN_STEP) -> None:
        """Create an estimate without samples.

        Args:
            min_step: Smallest relative step.
        """
        self._min_step = min_step
        self._count = 0
        self._median: float = 0

    @property
    def count(self) -> int:
        """Return the number of samples."""
        return self._count

    @property
    def median(self) -> float:
        """Return the estimate; 0 before the first sample."""
        return self._median

    def add(self, sample: float) -> None:
        """Add a positive sample."""
        self._count += 1
        if self._count == 1:
            self._median = sample
            return
        step = math.exp(max(self._min_step, 1 / self._count))
        if sample > self._median:
            self._median = min(sample, self._median * step)
        elif sample < self._median:
            self._median = max(sample, self._median / step)


class OperationProfiles:
    """Learn which operations run long and how each compares to the others.

    The slowdown that all operations share (load, a slow upstream) is
    separated from the typical latency of each, so that a change in the mix
    of operations is not mistaken for a change in load.
    """

    def __init__(self) -> None:
        """Create profiles without samples."""
        self._typical = RunningMedian()
        self._slowdown = RunningMedian(MIN_SLOWDOWN_STEP)
        self._operations: dict[str, RunningMedian] = {}
        self._long: set[str] = set()

    def lane_of(self, ticket: Ticket) -> Lane:
        """Return the lane of a call: that of its size unless classified as long."""
        lane = Lane[ticket.size]
        if lane is Lane.short and ticket.operation in self._long:
            return Lane.long
        return lane

    def typical_ms(self, operation: str) -> float:
        """Return the typical latency of an operation; 0 if it is unknown."""
        profile = self._operations.get(operation)
        return 0 if profile is None else profile.median

    def expected_ms(self, operation: str) -> float:
        """Return the typical latency at the current slowdown; 0 if it is unknown."""
        return self.typical_ms(operation) * max(1, self._slowdown.median)

    def add(self, operation: str, latency_ms: float) -> float:
        """Add the latency of a finished call.

        Args:
            operation: Key of the operation.
            latency_ms: Time from start to end, in milliseconds.

        Returns:
            The latency that a call of typical size would have had, in ms.
        """
        profile = self._profile(operation)
        slowdown = self._slowdown.median or 1
        profile.add(latency_ms / slowdown)
        factor = latency_ms / profile.median
        self._slowdown.add(factor)
        self._typical.add(profile.median)
        self._classify(operation, profile)
        return factor * self._typical.median

    def _profile(self, operation: str) -> RunningMedian:
        profile = self._operations.get(operation)
        if profile is not None:
            return profile
        if len(self._operations) >= MAX_OPERATIONS:
            self._operations.clear()
            self._long.clear()
        return self._operations.setdefault(operation, RunningMedian())

    def _classify(self, operation: str, profile: RunningMedian) -> None:
        if profile.count < MIN_SAMPLES:
            return
        ratio = profile.median / self._typical.median
        if ratio > LONG_RATIO:
            self._long.add(operation)
        elif ratio < SHORT_RATIO:
            self._long.discard(operation)
