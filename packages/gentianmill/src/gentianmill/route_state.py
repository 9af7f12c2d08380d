"""What one entry knows about one member."""

import bisect
import math

from gentianmill.latency import SmoothedLatency
from gentianmill.member import Member
from gentianmill.messages import LoadReport

REPORT_DECAY_MS = 2500
FIRST_PAUSE_MS = 250
LONGEST_PAUSE_MS = 30_000
FAILURE_WEIGHT = 0.05
SMALLEST_WEIGHT = 0.1
MIN_WAITING = 3
AGE_FACTOR = 2
ROUNDING_MS = 1e-3


class LoadView:
    """Estimate the calls in flight at a member.

    The calls of the own entry are known exactly. The calls of other entries come
    from load reports, whose weight decays with age since reports lag and mislead.
    """

    __slots__ = ('_others', '_reported_ms', 'draining', 'limit', 'own')

    def __init__(self, slots: int) -> None:
        """Start without calls.

        Args:
            slots: Calls that the member can run at once, until a report says less.
        """
        self.own = 0
        self.limit = max(slots, 1)
        self.draining = False
        self._others = 0
        self._reported_ms = -math.inf

    def report(self, load: LoadReport, now_ms: float) -> None:
        """Take over a load report."""
        self._others = max(load.in_flight - self.own, 0)
        self.limit = max(load.limit, 1)
        self.draining = load.draining
        self._reported_ms = now_ms

    def in_flight(self, now_ms: float) -> float:
        """Return the estimated number of calls in flight."""
        if not self._others:
            return self.own
        age_ms = now_ms - self._reported_ms
        return self.own + self._others * math.exp(-age_ms / REPORT_DECAY_MS)


class RouteState:
    """Load, latency, failures and pauses of one member."""

    __slots__ = (
        '_pause_ms',
        '_starts_ms',
        'added_ms',
        'ejected',
        'failure_share',
        'latency',
        'load',
        'member',
        'probing',
        'takes_calls',
        'tier',
        'unreachable_until_ms',
    )

    def __init__(self, member: Member, tier: int, added_ms: float) -> None:
        """Create the state of a member.

        Args:
            member: The member.
            tier: 0 for the own availability zone, 1 for the region, 2 beyond.
            added_ms: When the member began to take calls; minus infinity if it
                has no slow start.
        """
        self.member = member
        self.takes_calls = member.takes_calls
        self.tier = tier
        self.added_ms = added_ms
        self.load = LoadView(member.slots)
        self.latency = SmoothedLatency()
        self.failure_share = float(0)
        self.ejected = False
        self.probing = False
        self.unreachable_until_ms = -math.inf
        self._pause_ms = FIRST_PAUSE_MS
        self._starts_ms: list[float] = []

    def update(self, member: Member) -> None:
        """Take over a change; a new incarnation ends a drain that was reported."""
        if member.incarnation > self.member.incarnation:
            self.load.draining = False
        self.member = member
        self.takes_calls = member.takes_calls

    def admissible(self, now_ms: float) -> bool:
        """Return whether calls may be routed to the member now."""
        if self.ejected or not self.takes_calls or self.load.draining:
            return False
        if self.probing and self.load.own:
            return False
        return now_ms >= self.unreachable_until_ms

    def weight(self, now_ms: float, slow_start_ms: float) -> float:
        """Return the share of its normal traffic that a new member gets, 0.1 to 1."""
        age_ms = now_ms - self.added_ms
        if age_ms >= slow_start_ms:
            return 1
        return max(age_ms / slow_start_ms, SMALLEST_WEIGHT)

    def expected_ms(self, now_ms: float) -> float:
        """Return the latency to expect, in ms; 0 if nothing is known.

        A member that has become slow is seen by the age of the calls that wait for
        it, before the first of them ends. The median age is not moved by a single
        straggler.
        """
        starts_ms = self._starts_ms
        if len(starts_ms) < MIN_WAITING:
            return self.latency.value_ms
        median_age_ms = now_ms - starts_ms[len(starts_ms) // 2]
        return max(self.latency.value_ms, AGE_FACTOR * median_age_ms)

    def start(self, now_ms: float) -> None:
        """Take note of a call that was sent."""
        self.load.own += 1
        self._starts_ms.append(now_ms)

    def done(self, now_ms: float, latency_ms: float, ok: bool) -> None:
        """Take note of a call that ended."""
        self._end(now_ms - latency_ms)
        self.failure_share += FAILURE_WEIGHT * ((not ok) - self.failure_share)
        if ok:
            self.latency.observe(latency_ms)
            self._pause_ms = FIRST_PAUSE_MS

    def cancelled(self, now_ms: float, elapsed_ms: float) -> None:
        """Take note of a call that was cancelled after some time."""
        self._end(now_ms - elapsed_ms)
        if elapsed_ms > self.latency.value_ms:
            self.latency.observe(elapsed_ms)

    def unreachable(self, now_ms: float) -> None:
        """Pause the member; each pause is twice as long as the one before."""
        if now_ms < self.unreachable_until_ms:
            return
        self.unreachable_until_ms = now_ms + self._pause_ms
        self._pause_ms = min(self._pause_ms * 2, LONGEST_PAUSE_MS)

    def _end(self, started_ms: float) -> None:
        self.load.own = max(self.load.own - 1, 0)
        if self._starts_ms:
            # The start time is computed again from the latency, so it may differ
            # from the one noted in the last digits.
            position = bisect.bisect_left(self._starts_ms, started_ms - ROUNDING_MS)
            self._starts_ms.pop(min(position, len(self._starts_ms) - 1))
