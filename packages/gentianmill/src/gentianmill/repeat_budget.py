"""Budget of the repeats that reach a service, kept by the guards of its upstreams.

Each first arrival earns a part of a repeat, which its guard may let in until a short
time later. So the repeats that a guard lets in during any window are at most what
the first arrivals of that window, and of the short time before it, have earned
there. These bounds add up: all guards of a service together keep the same ratio,
however load is spread or moves among them, and without a message between them.
"""

import dataclasses
from collections import deque
from types import MappingProxyType

from gentianmill.arrivals import Cause

KEPT_SHARE = 0.1
"""Part of the window for which earned repeats are kept; enough for the requests that
an upstream loses when it crashes, as other upstreams share them."""

USED_RATIO = 0.86
"""Part of the permitted ratio that first arrivals earn. A window may hold repeats that
were earned before it, 1 in 10 by the share above, and first arrivals come some 0.5 s
after they are sent in a surge, 1 in 20 of a window of 10 s: 1.15 x 0.86 < 1."""

USED_SLACK = 0.3
"""Part of the permitted slack that the guards hold at a time. In a window it may be
used once, grow back once, and be given anew to guards that start anew."""

FEWEST_GUARDS = 8
"""Guards among which the slack is shared at least; a node knows few others while it
starts."""

KEPT_BACK = MappingProxyType(
    {Cause.hedge: 0.4, Cause.resend: 0.03, Cause.retry: 0.03, Cause.inherited: 0}
)
"""Part of the most credit that repeats of a cause leave to others. Calls of a repeat
that already runs leave none, as refusing them wastes it."""

ORDINARY_KEPT_BACK = 0.03
"""Part that ordinary work leaves besides, to the most important priority."""

SLOTS = 10
"""Steps in which earned repeats expire; 1 in 10 of the time for which they are kept
is a hundredth of the window."""


@dataclasses.dataclass(frozen=True, slots=True)
class RetryBudgetSettings:
    """Bound on the repeats that reach a service, over all its nodes."""

    ratio: float = 0.2
    """Repeats per first arrival in a window."""

    window_ms: float = 10_000.0
    slack: float = 0
    """Repeats in a window that are permitted besides."""


@dataclasses.dataclass(slots=True)
class _Slot:
    start_ms: float
    firsts: int = 0


class RepeatBudget:
    """Let repeats in as far as first arrivals have earned them."""

    def __init__(self, settings: RetryBudgetSettings) -> None:
        """Create a budget without slack, as other guards are not known yet.

        Args:
            settings: The bound for the service.
        """
        self._settings = settings
        self._earned_each = settings.ratio * USED_RATIO
        self._kept_ms = settings.window_ms * KEPT_SHARE
        self._slack: float | None = None
        self._slots: deque[_Slot] = deque()
        self._firsts = 0
        self._credit = float(0)
        self._updated_ms: float | None = None

    def share_slack(self, guards: int) -> None:
        """Set the number of guards of the service, which share the slack."""
        slack = self._settings.slack * USED_SLACK / max(guards, FEWEST_GUARDS)
        if self._slack is None:
            self._credit += slack
        self._slack = slack

    def credit(self, now_ms: float) -> float:
        """Return the repeats that may be let in now."""
        self._update(now_ms)
        return self._credit

    def permits(self, cause: Cause, now_ms: float, *, ordinary: bool = False) -> bool:
        """Return whether an arrival is a first one or within the budget.

        Args:
            cause: Why the request arrives.
            now_ms: Current time.
            ordinary: Whether it is not of the most important priority.
        """
        if not cause.is_repeat:
            return True
        self._update(now_ms)
        kept_back = KEPT_BACK[cause]
        if ordinary and cause is not Cause.inherited:
            kept_back += ORDINARY_KEPT_BACK
        return self._credit - 1 >= kept_back * max(self._most_credit - 1, 0)

    def admit(self, cause: Cause, now_ms: float, *, ordinary: bool = False) -> bool:
        """Count an arrival if it is permitted, and return whether it is.

        Args:
            cause: Why the request arrives.
            now_ms: Current time.
            ordinary: Whether it is not of the most important priority.
        """
        if not self.permits(cause, now_ms, ordinary=ordinary):
            return False
        if cause.is_repeat:
            self._credit -= 1
        else:
            self._earn(now_ms)
        return True

    @property
    def _most_credit(self) -> float:
        """Return what the kept first arrivals have earned, and the slack."""
        return self._firsts * self._earned_each + (self._slack or 0)

    def _earn(self, now_ms: float) -> None:
        self._update(now_ms)
        step_ms = self._kept_ms / SLOTS
        if not self._slots or now_ms - self._slots[-1].start_ms >= step_ms:
            self._slots.append(_Slot(now_ms))
        self._slots[-1].firsts += 1
        self._firsts += 1
        self._credit += self._earned_each

    def _update(self, now_ms: float) -> None:
        """Let the slack grow back, and drop credit that is no longer kept."""
        if self._updated_ms is not None:
            passed = (now_ms - self._updated_ms) / self._settings.window_ms
            self._credit += (self._slack or 0) * passed
        self._updated_ms = now_ms
        while self._slots and self._slots[0].start_ms < now_ms - self._kept_ms:
            self._firsts -= self._slots.popleft().firsts
        self._credit = min(self._credit, self._most_credit)
