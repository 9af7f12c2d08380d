"""Retry budget of a service, enforced by the guards of its upstreams.

Each first attempt earns a fraction of a duplicate attempt (a retry, hedge, resend or
a call made for one of these), which its guard may admit until a short time later.
So the duplicates that a guard admits during any window are at most what the first
attempts of that window, and of the short time before it, have earned there. These
bounds add up: all guards of a service together stay within the same ratio, however
load is distributed or moves among them, and without messages between them.

A part of it may be earned a window later instead. When entries refuse call trees, since
a service rejects their calls, its first attempts drop and would take with them the
retries that complete the admitted trees. The split is fixed: a guard's duplicates are
at most ratio x (a x its first attempts of this window + (1 - a) x those of the previous
one). Summed over guards, that is at most ratio x the larger of the service's two counts.
A guard that took the larger of its own two counts would break this when load moves.
"""

import dataclasses
from collections import deque
from types import MappingProxyType

from gentianmill.arrivals import Cause

CREDIT_LIFETIME_SHARE = 0.1
"""Fraction of the window for which earned credit is kept; enough to retry the requests
that an upstream loses when it crashes, since the other upstreams share them."""

EARNED_SHARE = 0.86
"""Fraction of the permitted ratio that first attempts earn. A window may contain
duplicates whose credit was earned before it, 1 in 10 by ``CREDIT_LIFETIME_SHARE``. In
a surge, first attempts arrive some 0.5 s after they are sent, 1 in 20 of a window of
10 s: 1.15 x 0.86 < 1."""

SLACK_SHARE = 0.3
"""Fraction of the permitted slack that the guards have at a time. Within a window it
may be used once, be refilled once, and be granted again to guards that restart."""

MIN_GUARDS = 8
"""The slack is divided by at least this number of guards, since a node knows few
others while it starts."""

RESERVED_SHARES = MappingProxyType(
    {Cause.hedge: 0.4, Cause.resend: 0.03, Cause.retry: 0.03, Cause.inherited: 0}
)
"""Fraction of the maximum credit that duplicates of a cause leave to other causes.
Calls made for a duplicate that already runs leave none, since refusing them wastes
the work done for it."""

ORDINARY_RESERVED_SHARE = 0.03
"""Further fraction that ordinary work leaves to the most important priority."""

INNER_RESERVED_SHARE = 0.1
"""Further fraction that retries of running trees leave to those of new requests, if a part
of the credit is earned later. A running tree waits for its retry, a new request does not."""

MIN_USE = 0.5
MAX_USE = 1.9
"""Part of the earned credit that is planned to be used when none is left, and with a full
credit, as what is not used expires."""

MS_PER_S = 1000

EXPIRY_SLOTS = 10
"""Steps in which earned credit expires; a tenth of the time for which it is kept is a
hundredth of the window."""


@dataclasses.dataclass(frozen=True, slots=True)
class RetryBudgetSettings:
    """Bound on the duplicate attempts that reach a service, over all its nodes."""

    ratio: float = 0.2
    """Duplicate attempts per first attempt in a window."""

    window_ms: float = 10_000.0
    slack: float = 0
    """Further duplicate attempts permitted in a window."""

    previous_share: float = 0
    """Part of the credit that is earned one window after a first attempt."""


@dataclasses.dataclass(slots=True)
class _Slot:
    start_ms: float
    first_attempts: int = 0


class RetryBudget:
    """Admit duplicate attempts as far as first attempts have earned them."""

    def __init__(self, settings: RetryBudgetSettings) -> None:
        """Create a budget without slack, since the other guards are not known yet.

        Args:
            settings: The bound for the service.
        """
        self._settings = settings
        earned = settings.ratio * EARNED_SHARE
        self._earned_at_once = earned * (1 - settings.previous_share)
        self._earned_later = earned * settings.previous_share
        self._credit_lifetime_ms = settings.window_ms * CREDIT_LIFETIME_SHARE
        self._slack: float | None = None
        self._slots: deque[_Slot] = deque()
        self._delayed: deque[_Slot] = deque()
        self._matured: deque[_Slot] = deque()
        self._first_attempts = 0
        self._matured_attempts = 0
        self._credit = float(0)
        self._updated_ms: float | None = None

    def share_slack(self, guards: int) -> None:
        """Set the number of guards of the service, which share the slack."""
        slack = self._settings.slack * SLACK_SHARE / max(guards, MIN_GUARDS)
        if self._slack is None:
            self._credit += slack
        self._slack = slack

    def credit(self, now_ms: float) -> float:
        """Return the duplicate attempts that may be admitted now."""
        self._update(now_ms)
        return self._credit

    def earned_per_s(self, now_ms: float) -> float:
        """Return the duplicate attempts that are earned in a second now."""
        self._update(now_ms)
        return self._earned_credit / self._credit_lifetime_ms * MS_PER_S

    def counted_per_s(self, now_ms: float) -> float:
        """Return the first attempts in a second that earn the current credit."""
        earned = self._settings.ratio * EARNED_SHARE
        return self.earned_per_s(now_ms) / earned if earned else 0

    def sustained_per_s(self, now_ms: float) -> float:
        """Return the duplicate attempts in a second that keep some credit in reserve.

        They are fewer than are earned while the credit is low, so that waiting calls are
        served, and more while much of it would expire.
        """
        earned_per_s = self.earned_per_s(now_ms)
        level = min(self._credit / max(self._max_credit, 1), 1)
        return earned_per_s * (MIN_USE + (MAX_USE - MIN_USE) * level)

    def permits(
        self,
        cause: Cause,
        now_ms: float,
        *,
        ordinary: bool = False,
        inner: bool = False,
    ) -> bool:
        """Return whether an attempt is a first one or within the budget.

        Args:
            cause: Why the request arrives.
            now_ms: Current time.
            ordinary: Whether it is not of the most important priority.
            inner: Whether an upstream makes it for a running request.
        """
        if not cause.is_duplicate:
            return True
        self._update(now_ms)
        reserved_share = RESERVED_SHARES[cause]
        if ordinary and cause is not Cause.inherited:
            reserved_share += ORDINARY_RESERVED_SHARE
        if inner and cause is Cause.retry and self._settings.previous_share:
            reserved_share += INNER_RESERVED_SHARE
        return self._credit - 1 >= reserved_share * max(self._max_credit - 1, 0)

    def admit(
        self,
        cause: Cause,
        now_ms: float,
        *,
        ordinary: bool = False,
        inner: bool = False,
    ) -> bool:
        """Count an attempt if it is permitted, and return whether it is.

        Args:
            cause: Why the request arrives.
            now_ms: Current time.
            ordinary: Whether it is not of the most important priority.
            inner: Whether an upstream makes it for a running request.
        """
        if not self.permits(cause, now_ms, ordinary=ordinary, inner=inner):
            return False
        if cause.is_duplicate:
            self._credit -= 1
        else:
            self._add_credit(now_ms)
        return True

    @property
    def _max_credit(self) -> float:
        """Return the credit earned by the first attempts still kept, plus the slack."""
        return self._earned_credit + (self._slack or 0)

    @property
    def _earned_credit(self) -> float:
        at_once = self._first_attempts * self._earned_at_once
        return at_once + self._matured_attempts * self._earned_later

    @property
    def _step_ms(self) -> float:
        return self._credit_lifetime_ms / EXPIRY_SLOTS

    def _add_credit(self, now_ms: float) -> None:
        self._update(now_ms)
        if not self._slots or now_ms - self._slots[-1].start_ms >= self._step_ms:
            slot = _Slot(now_ms)
            self._slots.append(slot)
            if self._earned_later:
                self._delayed.append(slot)
        self._slots[-1].first_attempts += 1
        self._first_attempts += 1
        self._credit += self._earned_at_once

    def _update(self, now_ms: float) -> None:
        """Refill the slack, and drop credit that has expired."""
        if self._updated_ms is not None:
            elapsed_windows = (now_ms - self._updated_ms) / self._settings.window_ms
            self._credit += (self._slack or 0) * elapsed_windows
        self._updated_ms = now_ms
        while (
            self._slots and self._slots[0].start_ms < now_ms - self._credit_lifetime_ms
        ):
            self._first_attempts -= self._slots.popleft().first_attempts
        self._mature(now_ms - self._settings.window_ms)
        self._credit = min(self._credit, self._max_credit)

    def _mature(self, past_ms: float) -> None:
        """Add the delayed credit of one window ago, and drop what has expired of it.

        A slot counts when its last first attempt is a whole window old.
        """
        while self._delayed and self._delayed[0].start_ms + self._step_ms <= past_ms:
            slot = self._delayed.popleft()
            self._matured.append(slot)
            self._matured_attempts += slot.first_attempts
            self._credit += slot.first_attempts * self._earned_later
        expired_ms = past_ms - self._credit_lifetime_ms
        while self._matured and self._matured[0].start_ms < expired_ms:
            self._matured_attempts -= self._matured.popleft().first_attempts
