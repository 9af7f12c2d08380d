"""Estimates how fast an upstream works, from the calls that it has run.

Designed for 10 to 300 calls a second at each of 610 upstreams, with up to eight kinds of
work each. It runs without a network; times are given with the events.

A slot is used for the whole time of a call, including that of the calls which the
upstream makes downstream. That time says nothing about the upstream's own speed, so both
are kept: the own time compares upstreams, the time in the slot tells how fast a queue
moves.
"""

import dataclasses

__all__ = ('ServiceTimes', 'UpstreamSpeed')

MEAN_WEIGHT = 0.04
"""Weight of a call in the means of its kind of work: 2.5 s at 10 calls a second."""

SLOWDOWN_WEIGHT = 0.02
"""Weight of a call in the slowdown at a level of load. Service times vary by half of
their mean, so the mean of 50 calls is known to 7%."""

LEVELS = 10
"""Levels of load, from an idle upstream to one whose slots are all in use."""

ANCHOR_LEVEL = 5
"""Lowest level at which an upstream may slow down because of its load. Below, the times
of a kind of work are its times without load."""

MIN_LEVEL_CALLS = 100
"""Calls at a level of load before its slowdown counts."""

MIN_KIND_CALLS = 50
"""Calls of a kind of work before they tell the slowdown: of the first calls, the short
ones end first."""

SLOWDOWN_ERROR = 0.16
"""Two standard errors of a slowdown, whose two means are known to 7% and 4%."""

RISE_SHARE = 0.5
"""Rise of throughput, relative to the rise of concurrency, below which more concurrency
is not worth its latency."""

MAX_KINDS = 64
"""Kinds of work that are kept; those of routes that are gone are dropped."""

MAX_REPORTED_KINDS = 8
"""Kinds of work in a report, the most frequent ones."""


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamSpeed:
    """How fast an upstream works, as its guard has measured it."""

    slot_ms: float
    """Mean time for which a call uses a slot; 0 if unknown."""

    capacity: int
    """Concurrency beyond which throughput no longer rises; 0 if unknown."""

    own_ms: dict[str, int]
    """Time that the upstream itself works on a call, by kind of work."""

    cold_ms: float = 0
    """Remaining time for which it is slow after its start."""


@dataclasses.dataclass(slots=True)
class _Mean:
    """A mean that follows the last calls; at first all count the same."""

    value: float = 0
    count: int = 0

    def add(self, value: float, weight: float) -> None:
        self.count += 1
        self.value += max(weight, 1 / self.count) * (value - self.value)


class ServiceTimes:
    """Mean times of the kinds of work, and the slowdown by load."""

    def __init__(self) -> None:
        """Start without calls."""
        self._slot = _Mean()
        self._kinds: dict[str, _Mean] = {}
        self._levels = [_Mean(1) for _ in range(LEVELS + 1)]

    def on_end(
        self,
        kind: str,
        slot_ms: float,
        downstream_ms: float,
        running: float,
        limit: int,
    ) -> None:
        """Record a call that the upstream has answered.

        Args:
            kind: Kind of work, such as a route.
            slot_ms: Time for which it used a slot.
            downstream_ms: Part of it in which a call that it made was under way.
            running: Mean number of calls that ran beside it, itself included.
            limit: Calls that may run at once.
        """
        self._slot.add(slot_ms, MEAN_WEIGHT)
        own_ms = max(slot_ms - downstream_ms, 0)
        mean = self._kinds.get(kind)
        if mean is None:
            if len(self._kinds) >= MAX_KINDS:
                self._kinds.clear()
            mean = _Mean()
            self._kinds[kind] = mean
        index = min(int(LEVELS * running / max(limit, 1)), LEVELS)
        level = self._levels[index]
        if index >= ANCHOR_LEVEL and mean.count >= MIN_KIND_CALLS:
            level.add(own_ms / mean.value, SLOWDOWN_WEIGHT)
        mean.add(own_ms / self._slowdown(index), MEAN_WEIGHT)

    def speed(self, limit: int, cold_ms: float = 0) -> UpstreamSpeed:
        """Return what to report.

        Args:
            limit: Calls that may run at once.
            cold_ms: Remaining time for which the upstream is slow after its start.
        """
        kinds = sorted(self._kinds, key=lambda kind: -self._kinds[kind].count)
        return UpstreamSpeed(
            self._slot.value,
            self._capacity(limit),
            {
                kind: max(round(self._kinds[kind].value), 1)
                for kind in kinds[:MAX_REPORTED_KINDS]
            },
            cold_ms,
        )

    def forget(self) -> None:
        """Drop the estimates, because the upstream works at another speed now."""
        self._slot = _Mean()
        self._kinds.clear()
        self._levels = [_Mean(1) for _ in range(LEVELS + 1)]

    def _slowdown(self, index: int) -> float:
        level = self._levels[index]
        if level.count < MIN_LEVEL_CALLS:
            return 1
        return max(level.value / (1 + SLOWDOWN_ERROR), 1)

    def _capacity(self, limit: int) -> int:
        """Return the concurrency up to which throughput rises with it."""
        reached = ANCHOR_LEVEL
        best = reached / self._slowdown(reached)
        for index in range(ANCHOR_LEVEL + 1, LEVELS + 1):
            if self._levels[index].count < MIN_LEVEL_CALLS:
                continue
            throughput = index / self._slowdown(index)
            if throughput < best * (1 + RISE_SHARE * (index - reached) / reached):
                return max(limit * reached // LEVELS, 1)
            if throughput > best:
                best, reached = throughput, index
        return limit
