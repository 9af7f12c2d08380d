"""What a guard reports while its upstream rejects calls although its slots are free."""

import math

RATE_DECAY_MS = 1500.0
"""Time constant with which accepted and rejected calls are forgotten. At 400 ms the share
of a guard with 160 calls/s varies so much that important routes are refused at times."""

USUAL_DECAY_MS = 20_000.0
"""Time constant of the usual rate of first attempts, which is kept while calls are
rejected: it must outlast the 8.5 s for which all upstreams of a service may reject."""

MIN_REJECTIONS = 4
"""Recent rejections below which none are reported, as a single one says little."""

ACCEPTED_STREAK = 12
"""Calls accepted in a row after which the rejections are over; at a share of 0.55 rejected
this happens by chance once in 14,000 calls."""

SILENCE_MS = 300.0
"""Time without a rejection after which they are over, for upstreams with few calls."""

MAX_REJECTED_SHARE = 0.95

MS_PER_S = 1000


class RejectionGauge:
    """Measure the rejected share, and which share of its calls a service can complete.

    Each call needs r / (1 - r) retries on average if the share r is rejected. Entries
    admit only as many call trees as the retry budget completes, as TopFull (Park and
    others, 2024) admits by the goodput of whole paths.
    """

    def __init__(self) -> None:
        """Start without calls."""
        self._accepted = float(0)
        self._rejected = float(0)
        self._counted_ms = -math.inf
        self._streak = ACCEPTED_STREAK
        self._rejected_ms = -math.inf
        self._last_rejection_ms = -math.inf
        self._usual_weight = float(0)
        self._usual = float(0)
        self._arrived_ms: float | None = None

    def is_rejecting(self, now_ms: float) -> bool:
        """Return whether the upstream rejects calls now."""
        is_recent = now_ms - self._last_rejection_ms < SILENCE_MS
        is_streak = self._streak >= ACCEPTED_STREAK
        return is_recent and not is_streak and self._rejected >= MIN_REJECTIONS

    def has_ended_within(self, age_ms: float, now_ms: float) -> bool:
        """Return whether the upstream rejected calls until a short time ago."""
        return now_ms - self._rejected_ms < age_ms

    def on_response(self, accepted: bool, now_ms: float) -> None:
        """Record whether the upstream accepted a call or rejected it."""
        kept = math.exp((self._counted_ms - now_ms) / RATE_DECAY_MS)
        if not accepted and self._streak >= ACCEPTED_STREAK:
            # Calls accepted before the rejections began say nothing about them.
            kept = 0
        self._counted_ms = now_ms
        self._accepted = self._accepted * kept + accepted
        self._rejected = self._rejected * kept + (not accepted)
        self._streak = self._streak + 1 if accepted else 0
        if not accepted:
            self._last_rejection_ms = now_ms
        if self.is_rejecting(now_ms):
            self._rejected_ms = now_ms

    def on_first_attempt(self, now_ms: float) -> None:
        """Count a first attempt; its rate is the usual one unless calls are rejected."""
        if self._arrived_ms is None or self.is_rejecting(now_ms):
            self._arrived_ms = now_ms
            return
        gap_ms = now_ms - self._arrived_ms
        self._arrived_ms = now_ms
        kept = math.exp(-gap_ms / USUAL_DECAY_MS)
        self._usual = self._usual * kept + 1
        self._usual_weight = self._usual_weight * kept + gap_ms

    def completable_share(
        self, retries_per_s: float, counted_per_s: float = 0
    ) -> float:
        """Return the share of the usual calls that a budget of retries completes.

        Args:
            retries_per_s: Retries that the guard has in a second.
            counted_per_s: First attempts in a second that have earned them. They count as
                usual: a guard to which load has moved for a while would promise more.
        """
        total = self._accepted + self._rejected
        usual_per_s = self._usual / max(self._usual_weight, 1) * MS_PER_S
        usual_per_s = max(usual_per_s, counted_per_s)
        if not (total and usual_per_s):
            return 1
        rejected = min(self._rejected / total, MAX_REJECTED_SHARE)
        if not rejected:
            return 1
        completed_per_s = retries_per_s * (1 - rejected) / rejected
        return min(completed_per_s / usual_per_s, 1)
