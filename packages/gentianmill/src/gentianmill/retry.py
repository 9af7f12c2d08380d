"""Bounds on retries: per request at its home node, and per entry."""

import hashlib
from collections import OrderedDict, deque

from gentianmill.home_nodes import HomePicker

__all__ = ['HomePicker', 'RetryLedger', 'RetryThrottle']

MAX_IDENTITIES = 32_768
MAX_IDENTITY_LENGTH = 64
DIGEST_BYTES = 16
THROTTLE_WINDOW_MS = 10_000
THROTTLE_SLOT_MS = 1000


class RetryLedger:
    """Count the retries and hedges of each request at its home node.

    A count is kept until no retry was requested during the window. A full ledger
    refuses new identities, since dropping a count would break the bound.
    """

    def __init__(self, allowance: int, window_ms: float) -> None:
        """Create a ledger.

        Args:
            allowance: Retries that this home may grant to one identity.
            window_ms: Time after the last request for a retry that a count is kept.
        """
        self._allowance = allowance
        self._window_ms = window_ms
        self._counts: OrderedDict[str, tuple[int, float]] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of identities that have a count."""
        return len(self._counts)

    def configure(self, allowance: int, window_ms: float) -> None:
        """Apply the values of a new sheet; counts are kept.

        Args:
            allowance: Retries that this home may grant to one identity.
            window_ms: Time after the last request for a retry that a count is kept.
        """
        self._allowance = allowance
        self._window_ms = window_ms

    def spend(self, identity: str, now_ms: float) -> bool:
        """Spend one retry of a request.

        Args:
            identity: Identity of the request; an empty one is never granted.
            now_ms: Current time.

        Returns:
            Whether the retry is granted.
        """
        self._expire(now_ms)
        key = _bounded_key(identity)
        count, _ = self._counts.get(key, (0, 0))
        if not key or (not count and len(self._counts) >= MAX_IDENTITIES):
            return False
        granted = count < self._allowance
        self._counts[key] = (count + granted, now_ms)
        self._counts.move_to_end(key)
        return granted

    def _expire(self, now_ms: float) -> None:
        oldest_ms = now_ms - self._window_ms
        while self._counts:
            key, (_, last_request_ms) = next(iter(self._counts.items()))
            if last_request_ms >= oldest_ms:
                return
            self._counts.pop(key)


class RetryThrottle:
    """Keep the retries of one entry below a share of its calls."""

    def __init__(self, ratio: float) -> None:
        """Create a throttle.

        Args:
            ratio: Retries per call, counted over the last 10 s.
        """
        self._ratio = ratio
        self._slots: deque[list[float]] = deque()
        self._calls = 0
        self._retries = 0

    def configure(self, ratio: float) -> None:
        """Apply the ratio of a new sheet.

        Args:
            ratio: Retries per call.
        """
        self._ratio = ratio

    def on_call(self, now_ms: float) -> None:
        """Count one call that is not a retry."""
        self._slot(now_ms)[1] += 1
        self._calls += 1

    def on_retry(self, now_ms: float) -> None:
        """Count one retry."""
        self._slot(now_ms)[2] += 1
        self._retries += 1

    def used_share(self, now_ms: float) -> float:
        """Return the retries of the last 10 s relative to the number allowed."""
        self._slot(now_ms)
        return self._retries / max(self._calls * self._ratio, 1)

    def permits(self, now_ms: float) -> bool:
        """Return whether the ratio allows one more retry."""
        self._slot(now_ms)
        return self._retries + 1 <= self._calls * self._ratio

    def try_retry(self, now_ms: float) -> bool:
        """Count one retry if the ratio allows it, and return whether it does."""
        if not self.permits(now_ms):
            return False
        self.on_retry(now_ms)
        return True

    def _slot(self, now_ms: float) -> list[float]:
        start_ms = now_ms - now_ms % THROTTLE_SLOT_MS
        slots = self._slots
        if slots and slots[-1][0] >= start_ms:
            return slots[-1]
        while slots and slots[0][0] <= start_ms - THROTTLE_WINDOW_MS:
            _, calls, retries = slots.popleft()
            self._calls -= int(calls)
            self._retries -= int(retries)
        slots.append([start_ms, 0, 0])
        return slots[-1]


def _bounded_key(identity: str) -> str:
    if len(identity) <= MAX_IDENTITY_LENGTH:
        return identity
    return hashlib.blake2b(identity.encode(), digest_size=DIGEST_BYTES).hexdigest()
