"""State that one entry keeps about one member."""

import bisect
import math

from gentianmill.latency import SmoothedLatency
from gentianmill.member import Member
from gentianmill.messages import LoadReport

REPORT_DECAY_MS = 2500
FIRST_PAUSE_MS = 250
MAX_PAUSE_MS = 30_000
FAILURE_WEIGHT = 0.05
MIN_WEIGHT = 0.1
MIN_CALLS_FOR_AGE = 3
AGE_FACTOR = 2
ROUNDING_TOLERANCE_MS = 1e-3


class LoadView:
    """Estimate the calls in flight at a member.

    The calls of this entry are known exactly. Those of other entries are estimated
    from load reports. The weight of a report decays with its age, since outdated
    reports are misleading.
    """

    __slots__ = ('_other_calls', '_reported_ms', 'draining', 'limit', 'own_calls')

    def __init__(self, slots: int) -> None:
        """Start without calls.

        Args:
            slots: Calls that the member can run at once, until the first report.
        """
        self.own_calls = 0
        self.limit = max(slots, 1)
        self.draining = False
        self._other_calls = 0
        self._reported_ms = -math.inf

    def apply_report(self, load: LoadReport, now_ms: float) -> None:
        """Apply a load report."""
        self._other_calls = max(load.in_flight - self.own_calls, 0)
        self.limit = max(load.limit, 1)
        self.draining = load.draining
        self._reported_ms = now_ms

    def in_flight(self, now_ms: float) -> float:
        """Return the estimated number of calls in flight."""
        if not self._other_calls:
            return self.own_calls
        age_ms = now_ms - self._reported_ms
        return self.own_calls + self._other_calls * math.exp(-age_ms / REPORT_DECAY_MS)


class RouteState:
    """Load, latency, failures and pause of one member."""

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
        'accepts_calls',
        'tier',
        'unreachable_until_ms',
    )

    def __init__(self, member: Member, tier: int, added_ms: float) -> None:
        """Create the state of a member.

        Args:
            member: The member.
            tier: 0 for the same availability zone, 1 for the same region, 2 for another
                region.
            added_ms: When the member began to accept calls; minus infinity if it
                has no slow start.
        """
        self.member = member
        self.accepts_calls = member.accepts_calls
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
        """Apply a change; a new incarnation clears a drain that was reported."""
        if member.incarnation > self.member.incarnation:
            self.load.draining = False
        self.member = member
        self.accepts_calls = member.accepts_calls

    def admissible(self, now_ms: float) -> bool:
        """Return whether calls may be routed to the member now."""
        if self.ejected or not self.accepts_calls or self.load.draining:
            return False
        if self.probing and self.load.own_calls:
            return False
        return now_ms >= self.unreachable_until_ms

    def weight(self, now_ms: float, slow_start_ms: float) -> float:
        """Return the share of its normal traffic that a new member gets, 0.1 to 1."""
        age_ms = now_ms - self.added_ms
        if age_ms >= slow_start_ms:
            return 1
        return max(age_ms / slow_start_ms, MIN_WEIGHT)

    def expected_ms(self, now_ms: float) -> float:
        """Return the latency to expect, in ms; 0 if nothing is known.

        The age of the calls in flight shows that a member has become slow before the
        first of them ends. The median age is used, since a single slow call does not
        change it.
        """
        starts_ms = self._starts_ms
        if len(starts_ms) < MIN_CALLS_FOR_AGE:
            return self.latency.value_ms
        median_age_ms = now_ms - starts_ms[len(starts_ms) // 2]
        return max(self.latency.value_ms, AGE_FACTOR * median_age_ms)

    def record_start(self, now_ms: float) -> None:
        """Record a call that was sent."""
        self.load.own_calls += 1
        self._starts_ms.append(now_ms)

    def record_done(self, now_ms: float, latency_ms: float, ok: bool) -> None:
        """Record a call that ended."""
        self._remove_call(now_ms - latency_ms)
        self.failure_share += FAILURE_WEIGHT * ((not ok) - self.failure_share)
        if ok:
            self.latency.observe(latency_ms)
            self._pause_ms = FIRST_PAUSE_MS

    def record_cancelled(self, now_ms: float, elapsed_ms: float) -> None:
        """Record a call that was cancelled after some time."""
        self._remove_call(now_ms - elapsed_ms)
        if elapsed_ms > self.latency.value_ms:
            self.latency.observe(elapsed_ms)

    def pause(self, now_ms: float) -> None:
        """Send no calls for a while; each pause is twice as long as the one before."""
        if now_ms < self.unreachable_until_ms:
            return
        self.unreachable_until_ms = now_ms + self._pause_ms
        self._pause_ms = min(self._pause_ms * 2, MAX_PAUSE_MS)

    def _remove_call(self, started_ms: float) -> None:
        self.load.own_calls = max(self.load.own_calls - 1, 0)
        if self._starts_ms:
            # The start time is computed from the latency, so rounding may make it
            # differ slightly from the recorded one.
            position = bisect.bisect_left(
                self._starts_ms, started_ms - ROUNDING_TOLERANCE_MS
            )
            self._starts_ms.pop(min(position, len(self._starts_ms) - 1))
