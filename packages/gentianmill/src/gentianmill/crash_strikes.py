"""Requests that were lost each time an upstream crashed.

``crash_suspects`` quarantines all calls that were running at a crash, for services
whose guards know the class of each call. Here only the crashes of a request are
counted, and it is refused after it was lost in three of them, so that a crash with
another cause delays no request.
"""

from collections import OrderedDict, deque
from collections.abc import Iterable

STRIKES = 3
"""Crashes after which a request is treated as their cause."""

LOSS_WINDOW_MS = 2000.0
"""Age of a loss up to which it is attributed to a crash.

A crash is detected at the latest by the first heartbeat after the restart.
"""

STRIKE_LIFETIME_MS = 120_000.0
"""Time for which strikes count; callers resend a request while they need its result."""

MAX_DIGESTS = 4096


class CrashStrikes:
    """Count the crashes in which a request was lost, per digest of its content."""

    def __init__(self) -> None:
        """Start without crashes."""
        self._losses: deque[tuple[float, bytes]] = deque(maxlen=MAX_DIGESTS)
        self._strikes: OrderedDict[bytes, tuple[int, float]] = OrderedDict()

    @property
    def empty(self) -> bool:
        """Return whether no request has strikes."""
        return not self._strikes

    def record_loss(self, digest: bytes, now_ms: float) -> None:
        """Record that the connection of a running request broke."""
        self._losses.append((now_ms, digest))

    def record_crash(self, now_ms: float) -> list[bytes]:
        """Record a crash of the upstream and return the requests lost in it.

        Args:
            now_ms: Current time.

        Returns:
            Digests to send to the other guards of the service.
        """
        oldest_ms = now_ms - LOSS_WINDOW_MS
        digests = {digest for lost_ms, digest in self._losses if lost_ms >= oldest_ms}
        self._losses.clear()
        self.merge(digests, now_ms)
        return list(digests)

    def merge(self, digests: Iterable[bytes], now_ms: float) -> None:
        """Add the strikes of a crash of another upstream of the service."""
        for digest in digests:
            count, _ = self._strikes.get(digest, (0, 0))
            self._strikes[digest] = (count + 1, now_ms)
            self._strikes.move_to_end(digest)
        while len(self._strikes) > MAX_DIGESTS:
            self._strikes.popitem(last=False)

    def record_completion(self, digest: bytes) -> bool:
        """Record that a request completed; return whether it had strikes to clear."""
        return self._strikes.pop(digest, None) is not None

    def clear(self, digests: Iterable[bytes]) -> None:
        """Clear the strikes of requests that completed on another upstream."""
        for digest in digests:
            self._strikes.pop(digest, None)

    def refuses(self, digest: bytes, now_ms: float) -> bool:
        """Return whether a request is treated as the cause of crashes."""
        count, last_ms = self._strikes.get(digest, (0, 0))
        return count >= STRIKES and now_ms - last_ms < STRIKE_LIFETIME_MS
