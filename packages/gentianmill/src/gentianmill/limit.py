"""Limits on the calls that an upstream runs at once."""

import abc
import math
import statistics

WINDOW_MS = 200
"""Shortest time over which latencies are judged together."""

WINDOW_SAMPLES = 100
"""Fewest latencies that are judged together; with fewer, noise decides."""

MAX_WINDOW_SAMPLES = 512
"""Latencies kept per window."""

SHRINK_TOLERANCE = 1.1
"""Latency, relative to the unloaded one, above which the limit shrinks."""

GROW_TOLERANCE = 1.05
"""Latency, relative to the unloaded one, below which the limit grows."""

CONFIDENCE = 2.0
"""Standard errors by which a latency must exceed the tolerance."""

BOUND_SHARE = 0.5
"""Part of the calls that must end at the limit before it changes."""

QUIET_SHARE = 0.5
"""Mean calls in flight, relative to the limit, that count as unloaded."""

SMOOTHING = 0.4
"""Part of a computed change that is applied at once."""

MAX_SHRINK = 0.6
"""Strongest factor of one change."""

BASELINE_SMOOTHING = 0.3
"""Part by which the unloaded latency follows a new one."""

PROBE_SHRINK = 0.75
"""Part of the limit at which the effect of shrinking is judged."""

PROBE_EFFECT = 0.5
"""Relative fall of latency per relative fall of the limit that counts as effect."""

MIN_LATENCY_MS = 0.001
"""Lower bound of a latency, since ratios of latencies are taken."""

DIP_WINDOWS = 20
"""Windows at the limit between two dips that measure the unloaded latency."""


NORMAL_QUARTILES = 1.35
"""Distance of the quartiles of a normal distribution, in standard deviations."""


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
            ok: False if the call failed or was refused; its latency is ignored,
                since a call that fails early, often because of a service
                further down, says nothing about this upstream.
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

    def is_bound(self) -> bool:
        return self.at_limit >= BOUND_SHARE * len(self.latencies)

    def is_quiet(self, limit: int) -> bool:
        return self.in_flight <= QUIET_SHARE * limit * len(self.latencies)

    def estimate(self) -> tuple[float, float]:
        """Return the mean of the middle half and its relative standard error."""
        count = len(self.latencies)
        quarter = count // 4
        middle = sorted(self.latencies)[quarter : count - quarter]
        spread = math.log(middle[-1] / middle[0])
        error = spread / (NORMAL_QUARTILES * math.sqrt(count))
        return statistics.fmean(middle), error


class _Trial:
    """Latency at a limit, to be compared with that at a lower limit."""

    def __init__(self, limit: float, latency_ms: float) -> None:
        self.limit = limit
        self.latency_ms = latency_ms
        self.windows = 0

    def has_effect(self, limit: float, latency_ms: float) -> bool:
        fall = 1 - limit / self.limit
        return 1 - latency_ms / self.latency_ms >= PROBE_EFFECT * fall


class AdaptiveLimit(ConcurrencyLimit):
    """Follow the concurrency at which latency begins to grow.

    The middle latencies of a window are compared with the unloaded latency;
    the ratio moves the limit, as in the gradient limit of Netflix's
    concurrency-limits, but only while the limit is in use and by more than
    the noise of the window. A slow upstream looks the same as a full one, so the
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
        if not ok:
            return
        if self._window is None:
            self._window = _Window(now_ms)
        self._window.add(max(latency_ms, MIN_LATENCY_MS), in_flight, self.limit)
        if self._window.is_complete(now_ms):
            window = self._window
            self._window = None
            self._judge(window)

    def _judge(self, window: _Window) -> None:
        latency_ms, error = window.estimate()
        if self._dip is not None:
            self._end_dip(self._dip, latency_ms)
            return
        self._follow_baseline(window, latency_ms, error)
        if not window.is_bound():
            self._shrinking = None
            return
        ratio = latency_ms / self._baseline_ms
        if ratio > SHRINK_TOLERANCE * math.exp(CONFIDENCE * error):
            self._shrink(latency_ms, ratio)
        elif ratio < GROW_TOLERANCE:
            self._shrinking = None
            self._set(self._value + math.sqrt(self._value) / 4)
        self._count_bound_window(latency_ms)

    def _follow_baseline(
        self, window: _Window, latency_ms: float, error: float
    ) -> None:
        baseline_ms = self._baseline_ms or latency_ms
        change_ms = latency_ms - baseline_ms
        is_surely_lower = change_ms < -CONFIDENCE * error * baseline_ms
        if is_surely_lower or window.is_quiet(self.limit):
            baseline_ms += BASELINE_SMOOTHING * change_ms
        self._baseline_ms = baseline_ms

    def _count_bound_window(self, latency_ms: float) -> None:
        self._bound_windows += 1
        if self._bound_windows >= DIP_WINDOWS:
            self._bound_windows = 0
            self._dip = _Trial(self._value, latency_ms)
            self._set(self._value * PROBE_SHRINK)

    def _end_dip(self, dip: _Trial, latency_ms: float) -> None:
        # Calls of the first window still ran beside those of the old limit.
        dip.windows += 1
        if dip.windows < 2:
            return
        if dip.has_effect(self._value, latency_ms):
            self._baseline_ms = min(self._baseline_ms, latency_ms)
        self._dip = None
        self._set(dip.limit)

    def _shrink(self, latency_ms: float, ratio: float) -> None:
        if self._shrinking is None:
            self._shrinking = _Trial(self._value, latency_ms)
        trial = self._shrinking
        trial.windows += 1
        if trial.windows == 2:
            # The first window may have begun before the latency changed.
            trial.latency_ms = latency_ms
        if self._value <= PROBE_SHRINK * trial.limit:
            self._shrinking = None
            if not trial.has_effect(self._value, latency_ms):
                self._baseline_ms = latency_ms
                self._set(trial.limit)
                return
        shrink = SMOOTHING * (1 - max(MAX_SHRINK, SHRINK_TOLERANCE / ratio))
        self._set(self._value * (1 - shrink))

    def _set(self, value: float) -> None:
        bounded = min(self._maximum, max(self._minimum, value))
        self._value = float(bounded)
