"""Paces the retries of one service, and tells how much work they can support.

The pattern that it answers: all upstreams of a narrow service turn a part of their
calls away, and a request needs several such calls, one after the other. Retries that
are spent as they come are gone within the first second, and every request admitted
after that fails half way. Paced retries serve some requests whole all the time, and
the permit keeps the others from starting.
"""

import math
from collections import deque

WINDOW_MS = 10_000
SHIFT_MS = 5000
"""The calls of a window count for it and for the one half a window later, so that a
service whose calls are cut by refusals keeps its retries for some seconds. The bound
that operators set is checked over windows of this length, and counts likewise."""

SLOT_MS = 500
"""Resolution of the windows."""

BURST_RATIO = 0.06
"""Retries per call of the window that may be spent at once."""

PEAK_DECAY = 0.995
"""Factor per slot of the highest burst, above which growth counts as new: swings of
the calls from slot to slot must not fill the burst again."""

LEAST_BURST = 1.0
"""Retries that a node with few calls may save up."""

STEP_MS = 100.0
"""Pause between two corrections of the permit, a few calls of the narrow service."""

SCARCE_LEVEL = 0.4
PLENTY_LEVEL = 0.6
"""Levels between which the permit stays as it is."""

FALL_FACTOR = 0.8
RISE_FACTOR = 1.06
"""Corrections of the permit: a tenth is reached after a second, and recovery from it
takes four, so that requests admitted on trial cost few retries."""

MOST_STEPS = 100
"""Corrections that a pause counts as: the permit is whole again after half of them."""

LEAST_PERMIT = 0.05


class RetryPace:
    """Grant retries at a steady rate, in proportion to the calls of the last 10 s."""

    def __init__(self, ratio: float) -> None:
        """Create a pace without calls.

        Args:
            ratio: Retries per call.
        """
        self._ratio = ratio
        self._slots: deque[tuple[float, int]] = deque()
        self._slot_ms = -math.inf
        self._slot_calls = 0
        self._recent = 0
        self._earlier = 0
        self._tokens = float(0)
        self._peak = LEAST_BURST
        self._filled_ms = -math.inf
        self._permit = float(1)
        self._wanted = False
        self._corrected_ms = -math.inf

    def permit(self, now_ms: float) -> float:
        """Return the share of requests whose retries can be granted."""
        self._refill(now_ms)
        return self._permit

    def on_call(self, now_ms: float) -> None:
        """Count one call that is not a retry."""
        self._refill(now_ms)
        start_ms = now_ms - now_ms % SLOT_MS
        if start_ms > self._slot_ms:
            self._start_slot(start_ms)
        self._slot_calls += 1
        if self._burst > self._peak:
            # A service that begins to be called has its burst at once.
            self._tokens += self._burst - self._peak
            self._peak = self._burst

    def on_forced_retry(self, now_ms: float) -> None:
        """Count one retry that another node decided, above this call."""
        self._refill(now_ms)
        self._tokens = max(self._tokens - 1, -self._burst)

    def level(self, now_ms: float) -> float:
        """Return the retries that may be sent at once, relative to the most ever."""
        self._refill(now_ms)
        return max(self._tokens, 0) / self._burst

    def try_retry(
        self, now_ms: float, reserve: float = 0, *, is_needed: bool = True
    ) -> bool:
        """Spend one retry and return whether there was one.

        Args:
            now_ms: Current time.
            reserve: Part of the burst that must remain for others.
            is_needed: Whether the request fails without it; a second copy of a slow
                call is no reason to admit fewer requests.
        """
        self._refill(now_ms)
        self._wanted = self._wanted or is_needed
        granted = self._tokens >= 1 + reserve * self._burst
        self._tokens -= granted
        return granted

    @property
    def _calls(self) -> int:
        return max(self._recent + self._slot_calls, self._earlier)

    @property
    def _burst(self) -> float:
        return max(self._calls * BURST_RATIO, LEAST_BURST)

    def _refill(self, now_ms: float) -> None:
        passed_ms = now_ms - self._filled_ms
        self._filled_ms = now_ms
        if passed_ms < math.inf:
            gained = passed_ms * self._ratio * self._calls / WINDOW_MS
            self._tokens = min(self._tokens + gained, self._burst)
        self._correct(now_ms)

    def _correct(self, now_ms: float) -> None:
        passed_ms = now_ms - self._corrected_ms
        if passed_ms < STEP_MS:
            return
        self._corrected_ms = now_ms
        level = max(self._tokens, 0) / self._burst
        if self._wanted and level < SCARCE_LEVEL:
            self._permit = max(self._permit * FALL_FACTOR, LEAST_PERMIT)
        elif level > PLENTY_LEVEL or not self._wanted:
            steps = min(passed_ms / STEP_MS, MOST_STEPS)
            self._permit = min(self._permit * RISE_FACTOR**steps, 1)
        self._wanted = False

    def _start_slot(self, start_ms: float) -> None:
        self._slots.append((self._slot_ms, self._slot_calls))
        self._slot_ms = start_ms
        self._slot_calls = 0
        self._peak = max(self._peak * PEAK_DECAY, LEAST_BURST)
        earliest_ms = start_ms - WINDOW_MS - SHIFT_MS
        while self._slots and self._slots[0][0] < earliest_ms:
            self._slots.popleft()
        self._recent = sum(
            calls for at_ms, calls in self._slots if at_ms >= start_ms - WINDOW_MS
        )
        self._earlier = sum(
            calls for at_ms, calls in self._slots if at_ms < start_ms - SHIFT_MS
        )
