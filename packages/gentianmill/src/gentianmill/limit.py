"""Limits on the calls that an upstream runs at once."""

import abc
import math

WINDOW_MS = 200
"""Shortest time over which latencies are judged together."""

WINDOW_SAMPLES = 25
"""Fewest latencies that are judged together; a median of fewer is noise."""

MAX_WINDOW_SAMPLES = 512
"""Latencies kept per window; later ones only count as calls."""

TOLERANCE = 1.15
"""Latency, relative to the unloaded one, above which the limit shrinks."""

SMOOTHING = 0.4
"""Part of a computed change that is applied at once."""

MAX_SHRINK = 0.6
"""Strongest factor of one change."""

BASELINE_SMOOTHING = 0.3
"""Part by which the unloaded latency follows a lower median."""

PROBE_SHRINK = 0.75
"""Part of the limit at which the effect of shrinking is judged."""

PROBE_EFFECT = 0.4
"""Relative fall of latency per relative fall of the limit that counts as effect."""

DIP_WINDOWS = 40
"""Windows at the limit between two dips that measure the unloaded latency."""

FAILED_SHARE = 0.1
"""Part of failed calls in a window that counts as overload."""

FAILED_SHRINK = 0.9
"""Factor applied to the limit after a window with too many failures."""


class ConcurrencyLimit(abc.ABC):
    """Say how many calls an upstream may run at once."""

    @property
    @abc.abstractmethod
    def limit(self) -> int:
        """Return the number of calls; at least 1."""

    @abc.abstractmethod
    def on_done(
        self, now_ms: float, latency_ms: float, in_flight: int, ok: bool
    ) -> None:
        """Take a finished call into account.

        Args:
            now_ms: Current time in milliseconds.
            latency_ms: Time that the call ran, in milliseconds.
            in_flight: Calls that ran when it ended, itself included.
            ok: False if the upstream refused or failed to end the call; such a
                latency is not representative.
        """


class FixedLimit(ConcurrencyLimit):
    """Allow a constant number of calls."""

    def __init__(self, size: int) -> None:
        """Create a limit of ``size`` calls; at least 1."""
        self._size = max(1, size)

    @property
    def limit(self) -> int:
        """Return the number of calls."""
        return self._size

    def on_done(
        self, now_ms: float, latency_ms: float, in_flight: int, ok: bool
    ) -> None:
        """Ignore the call."""


class _Window:
    """Calls that ended since the last judgement."""

    def __init__(self, begin_ms: float) -> None:
        self.begin_ms = begin_ms
        self.latencies: list[float] = []
        self.failures = 0
        self.busiest = 0

    def add(self, latency_ms: float, in_flight: int, ok: bool) -> None:
        self.busiest = max(self.busiest, in_flight)
        if not ok:
            self.failures += 1
        elif len(self.latencies) < MAX_WINDOW_SAMPLES:
            self.latencies.append(latency_ms)

    def is_complete(self, now_ms: float) -> bool:
        is_long_enough = now_ms - self.begin_ms >= WINDOW_MS
        return is_long_enough and self._samples() >= WINDOW_SAMPLES

    def failed(self) -> bool:
        return self.failures > FAILED_SHARE * self._samples()

    def _samples(self) -> int:
        return len(self.latencies) + self.failures

    def median(self) -> float:
        return sorted(self.latencies)[len(self.latencies) // 2]


class _Trial:
    """Latency at a limit, to be compared with that at a lower limit."""

    def __init__(self, limit: float, median_ms: float) -> None:
        self.limit = limit
        self.median_ms = median_ms
        self.windows = 0

    def has_effect(self, limit: float, median_ms: float) -> bool:
        fall = 1 - limit / self.limit
        return 1 - median_ms / self.median_ms >= PROBE_EFFECT * fall


class AdaptiveLimit(ConcurrencyLimit):
    """Follow the concurrency at which latency begins to grow.

    The median latency of a window is compared with the unloaded latency; the
    ratio moves the limit, as in the gradient limit of Netflix's
    concurrency-limits. A slow upstream looks the same as a full one, so the
    effect of shrinking is checked: if latency did not fall with the limit,
    the limit is restored and the new latency becomes the unloaded one. While
    the limit is in use, a short dip every few seconds corrects an unloaded
    latency that was learned too high.
    """

    def __init__(self, initial: int, minimum: int, maximum: int) -> None:
        """Create a limit.

        Args:
            initial: Calls allowed at the start, usually the upstream's slots.
            minimum: Lower bound; at least 1.
            maximum: Upper bound, usually the upstream's connections.
        """
        self._minimum = max(1, minimum)
        self._maximum = max(self._minimum, maximum)
        self._value = float(min(self._maximum, max(self._minimum, initial)))
        self._baseline_ms: float = 0
        self._shrinking: _Trial | None = None
        self._dip: _Trial | None = None
        self._bound_windows = 0
        self._window: _Window | None = None

    @property
    def limit(self) -> int:
        """Return the number of calls allowed now."""
        return int(self._value)

    @property
    def baseline_ms(self) -> float:
        """Return the latency taken as unloaded, in ms; 0 if it is unknown."""
        return self._baseline_ms

    def on_done(
        self, now_ms: float, latency_ms: float, in_flight: int, ok: bool
    ) -> None:
        """Take a finished call into account; see the base class."""
        if self._window is None:
            self._window = _Window(now_ms)
        self._window.add(latency_ms, in_flight, ok)
        if not self._window.is_complete(now_ms):
            return
        self._judge(self._window)
        self._window = None

    def _judge(self, window: _Window) -> None:
        if window.failed():
            self._set(self._value * FAILED_SHRINK)
            return
        median_ms = window.median()
        if self._dip is not None:
            self._end_dip(self._dip, median_ms)
            return
        self._follow_baseline(median_ms)
        ratio = median_ms / self._baseline_ms
        is_bound = window.busiest >= self.limit
        if ratio > TOLERANCE:
            self._shrink(median_ms, ratio)
        else:
            self._shrinking = None
            if is_bound:
                self._set(self._value + self._headroom())
        if is_bound:
            self._count_bound_window(median_ms)

    def _count_bound_window(self, median_ms: float) -> None:
        self._bound_windows += 1
        if self._bound_windows >= DIP_WINDOWS:
            self._bound_windows = 0
            self._dip = _Trial(self._value, median_ms)
            self._set(self._value * PROBE_SHRINK)

    def _end_dip(self, dip: _Trial, median_ms: float) -> None:
        # Calls of the first window still ran beside those of the old limit.
        dip.windows += 1
        if dip.windows < 2:
            return
        if dip.has_effect(self._value, median_ms):
            self._baseline_ms = min(self._baseline_ms, median_ms)
        self._dip = None
        self._set(dip.limit)

    def _follow_baseline(self, median: float) -> None:
        if not self._baseline_ms:
            self._baseline_ms = median
        elif median < self._baseline_ms:
            fall = self._baseline_ms - median
            self._baseline_ms -= BASELINE_SMOOTHING * fall

    def _shrink(self, median_ms: float, ratio: float) -> None:
        if self._shrinking is None:
            self._shrinking = _Trial(self._value, median_ms)
        trial = self._shrinking
        trial.windows += 1
        if trial.windows == 2:
            # The first window may have begun before the latency changed.
            trial.median_ms = median_ms
        if self._value <= PROBE_SHRINK * trial.limit:
            self._shrinking = None
            if not trial.has_effect(self._value, median_ms):
                self._baseline_ms = median_ms
                self._set(trial.limit)
                return
        shrink = SMOOTHING * (1 - max(MAX_SHRINK, TOLERANCE / ratio))
        self._set(self._value * (1 - shrink))

    def _headroom(self) -> float:
        return math.sqrt(self._value) / 4

    def _set(self, value: float) -> None:
        bounded = min(self._maximum, max(self._minimum, value))
        self._value = float(bounded)
