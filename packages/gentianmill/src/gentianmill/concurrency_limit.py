"""Limits on the calls that an upstream runs at once."""

import abc
import math
import statistics

WINDOW_MS = 200
"""Shortest window over which latencies are evaluated together."""

WINDOW_SAMPLES = 100
"""Fewest latencies that are evaluated together; with fewer, noise dominates."""

MAX_WINDOW_SAMPLES = 512
"""Latencies kept per window."""

SHRINK_TOLERANCE = 1.1
"""Latency, relative to the unloaded one, above which the limit shrinks."""

GROW_TOLERANCE = 1.05
"""Latency, relative to the unloaded one, below which the limit grows."""

CONFIDENCE_ERRORS = 2.0
"""Standard errors by which a latency must exceed the tolerance."""

SATURATED_SHARE = 0.5
"""Fraction of the calls that must end at the limit before it changes."""

UNLOADED_SHARE = 0.5
"""Mean calls in flight, relative to the limit, up to which a window is unloaded."""

SMOOTHING = 0.4
"""Fraction of a computed change that is applied at once."""

MIN_SHRINK_FACTOR = 0.6
"""Lower bound of the factor of one change, before smoothing."""

BASELINE_SMOOTHING = 0.3
"""Weight of a new latency in the smoothed unloaded latency."""

PROBE_LIMIT_SHARE = 0.75
"""Fraction of the limit at which the effect of a lower limit is measured."""

MIN_PROBE_EFFECT = 0.5
"""Relative fall of latency per relative fall of the limit that counts as an effect."""

MIN_LATENCY_MS = 0.001
"""Lower bound of a latency, since ratios of latencies are computed."""

DIP_INTERVAL_WINDOWS = 20
"""Windows at the limit between two short reductions, called dips.

A dip measures the unloaded latency while the limit is in use.
"""

NORMAL_QUARTILES = 1.35
"""Distance of the quartiles of a normal distribution, in standard deviations."""


class ConcurrencyLimit(abc.ABC):
    """Determine how many calls an upstream may run at once."""

    @property
    @abc.abstractmethod
    def limit(self) -> int:
        """Return the number of calls; at least 1."""

    @abc.abstractmethod
    def on_done(
        self, now_ms: float, latency_ms: float, in_flight: int, ok: bool
    ) -> None:
        """Record a finished call.

        Args:
            now_ms: Current time in milliseconds.
            latency_ms: Time that the call ran, in milliseconds.
            in_flight: Calls that ran when it ended, itself included.
            ok: False if the call failed or was refused; its latency is ignored,
                since a call that fails early, often because of a downstream
                service, reveals nothing about this upstream.
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
    """Calls that ended since the last evaluation."""

    def __init__(self, begin_ms: float) -> None:
        self.begin_ms = begin_ms
        self.latencies: list[float] = []
        self.at_limit = 0
        self.in_flight = 0

    def add(self, latency_ms: float, in_flight: int, limit: int) -> None:
        if len(self.latencies) < MAX_WINDOW_SAMPLES:
            self.latencies.append(latency_ms)
            self.in_flight += in_flight
            self.at_limit += in_flight >= limit

    def is_complete(self, now_ms: float) -> bool:
        is_long_enough = now_ms - self.begin_ms >= WINDOW_MS
        return is_long_enough and len(self.latencies) >= WINDOW_SAMPLES

    def is_saturated(self) -> bool:
        return self.at_limit >= SATURATED_SHARE * len(self.latencies)

    def is_unloaded(self, limit: int) -> bool:
        return self.in_flight <= UNLOADED_SHARE * limit * len(self.latencies)

    def estimate(self) -> tuple[float, float]:
        """Return the interquartile mean and its relative standard error."""
        count = len(self.latencies)
        quarter = count // 4
        middle = sorted(self.latencies)[quarter : count - quarter]
        spread = math.log(middle[-1] / middle[0])
        error = spread / (NORMAL_QUARTILES * math.sqrt(count))
        return statistics.fmean(middle), error


class _Trial:
    """Latency at a limit, for comparison with the latency at a lower limit."""

    def __init__(self, limit: float, latency_ms: float) -> None:
        self.limit = limit
        self.latency_ms = latency_ms
        self.windows = 0

    def has_effect(self, limit: float, latency_ms: float) -> bool:
        fall = 1 - limit / self.limit
        return 1 - latency_ms / self.latency_ms >= MIN_PROBE_EFFECT * fall


class AdaptiveLimit(ConcurrencyLimit):
    """Follow the concurrency at which latency begins to grow.

    The interquartile mean of a window is compared with the unloaded latency. The
    ratio of the two changes the limit, as in the gradient limit of Netflix's
    concurrency-limits, but only while the limit is in use, and it shrinks only if
    the ratio exceeds the noise of the window. A slow upstream looks the same as a
    full one, so the effect of shrinking is checked: if latency did not fall with
    the limit, the limit is restored and the new latency becomes the unloaded one.
    While the limit is in use, a short reduction every few seconds (a dip) corrects
    an estimate of the unloaded latency that is too high.
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
        self._shrink_trial: _Trial | None = None
        self._dip: _Trial | None = None
        self._saturated_windows = 0
        self._window: _Window | None = None

    @property
    def limit(self) -> int:
        """Return the number of calls allowed now."""
        return int(self._value)

    @property
    def baseline_ms(self) -> float:
        """Return the estimated unloaded latency in ms; 0 if it is unknown."""
        return self._baseline_ms

    def on_done(
        self, now_ms: float, latency_ms: float, in_flight: int, ok: bool
    ) -> None:
        """Record a finished call; see the base class."""
        if not ok:
            return
        if self._window is None:
            self._window = _Window(now_ms)
        self._window.add(max(latency_ms, MIN_LATENCY_MS), in_flight, self.limit)
        if self._window.is_complete(now_ms):
            window = self._window
            self._window = None
            self._evaluate(window)

    def _evaluate(self, window: _Window) -> None:
        latency_ms, error = window.estimate()
        if self._dip is not None:
            self._end_dip(self._dip, latency_ms)
            return
        self._follow_baseline(window, latency_ms, error)
        if not window.is_saturated():
            self._shrink_trial = None
            return
        ratio = latency_ms / self._baseline_ms
        if ratio > SHRINK_TOLERANCE * math.exp(CONFIDENCE_ERRORS * error):
            self._shrink(latency_ms, ratio)
        elif ratio < GROW_TOLERANCE:
            self._shrink_trial = None
            self._set_limit(self._value + math.sqrt(self._value) / 4)
        self._count_saturated_window(latency_ms)

    def _follow_baseline(
        self, window: _Window, latency_ms: float, error: float
    ) -> None:
        baseline_ms = self._baseline_ms or latency_ms
        change_ms = latency_ms - baseline_ms
        is_surely_lower = change_ms < -CONFIDENCE_ERRORS * error * baseline_ms
        if is_surely_lower or window.is_unloaded(self.limit):
            baseline_ms += BASELINE_SMOOTHING * change_ms
        self._baseline_ms = baseline_ms

    def _count_saturated_window(self, latency_ms: float) -> None:
        self._saturated_windows += 1
        if self._saturated_windows >= DIP_INTERVAL_WINDOWS:
            self._saturated_windows = 0
            self._dip = _Trial(self._value, latency_ms)
            self._set_limit(self._value * PROBE_LIMIT_SHARE)

    def _end_dip(self, dip: _Trial, latency_ms: float) -> None:
        # Calls of the first window still ran alongside those admitted at the old limit.
        dip.windows += 1
        if dip.windows < 2:
            return
        if dip.has_effect(self._value, latency_ms):
            self._baseline_ms = min(self._baseline_ms, latency_ms)
        self._dip = None
        self._set_limit(dip.limit)

    def _shrink(self, latency_ms: float, ratio: float) -> None:
        if self._shrink_trial is None:
            self._shrink_trial = _Trial(self._value, latency_ms)
        trial = self._shrink_trial
        trial.windows += 1
        if trial.windows == 2:
            # The first window may have begun before the latency changed.
            trial.latency_ms = latency_ms
        if self._value <= PROBE_LIMIT_SHARE * trial.limit:
            self._shrink_trial = None
            if not trial.has_effect(self._value, latency_ms):
                self._baseline_ms = latency_ms
                self._set_limit(trial.limit)
                return
        shrink = SMOOTHING * (1 - max(MIN_SHRINK_FACTOR, SHRINK_TOLERANCE / ratio))
        self._set_limit(self._value * (1 - shrink))

    def _set_limit(self, value: float) -> None:
        bounded = min(self._maximum, max(self._minimum, value))
        self._value = float(bounded)
