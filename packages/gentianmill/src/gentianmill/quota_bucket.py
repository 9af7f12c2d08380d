"""Token bucket whose limits change while it is in use."""

import math

__all__ = ('QuotaBucket',)

MS_PER_S = 1000


class QuotaBucket:
    """Hold tokens up to a capacity; it starts empty."""

    def __init__(self, now_ms: float) -> None:
        """Create an empty bucket that is not refilled until it has limits.

        Args:
            now_ms: Current time.
        """
        self._rate_per_s = float(0)
        self._capacity = float(0)
        self._tokens = float(0)
        self._updated_ms = now_ms

    @property
    def tokens(self) -> float:
        """Return the tokens at the last update."""
        return self._tokens

    @property
    def rate_per_s(self) -> float:
        """Return the tokens a second by which it is refilled."""
        return self._rate_per_s

    @property
    def capacity(self) -> float:
        """Return the most tokens that it holds."""
        return self._capacity

    @property
    def is_low(self) -> bool:
        """Return whether it holds at most half of its capacity."""
        return self._tokens * 2 <= self._capacity

    def update(self, rate_per_s: float, capacity: float, now_ms: float) -> None:
        """Refill the bucket, and apply limits.

        The time since the last update counts with the lower of both rates, as a rate may
        have ended at any moment of it. A lower capacity takes effect at once.

        Args:
            rate_per_s: Tokens a second from now on.
            capacity: Most tokens that it holds from now on.
            now_ms: Current time.
        """
        elapsed_ms = max(now_ms - self._updated_ms, 0)
        rate_per_s = max(rate_per_s, 0)
        self._tokens += min(self._rate_per_s, rate_per_s) * elapsed_ms / MS_PER_S
        self._rate_per_s = rate_per_s
        self._capacity = max(capacity, 0)
        self._tokens = min(self._tokens, self._capacity)
        self._updated_ms = max(now_ms, self._updated_ms)

    def take(self, wanted: int) -> int:
        """Remove up to ``wanted`` whole tokens, and return their number."""
        taken = min(max(wanted, 0), int(self._tokens))
        self._tokens -= taken
        return taken

    def put(self, tokens: float) -> None:
        """Add tokens up to the capacity; the rest is lost."""
        self._tokens = min(self._tokens + max(tokens, 0), self._capacity)

    def wait_ms(self, tokens: float) -> float:
        """Return the time until it holds a number of tokens, infinite without a rate."""
        missing = tokens - self._tokens
        if missing <= 0:
            return 0
        if self._rate_per_s <= 0:
            return math.inf
        return missing / self._rate_per_s * MS_PER_S
