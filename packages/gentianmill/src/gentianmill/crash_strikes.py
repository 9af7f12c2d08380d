"""Requests that were lost each time an upstream crashed.

``crash_suspects`` quarantines all calls that were running at a crash, for services
whose guards know the class of each call. Here only the crashes of a request are
counted, and it is refused after it was lost in three of them, so that a crash with
another cause delays no request.

Crashes are numbered, and nodes exchange sets of these numbers, which only grow. The order
in which news arrives, and how often, therefore makes no difference (a 2P-set; Shapiro and
others, "A comprehensive study of convergent and commutative replicated data types", 2011).
"""

import dataclasses
import itertools
from collections import OrderedDict, deque
from collections.abc import Iterable

__all__ = ('CrashStrikes', 'StrikeRecord')

STRIKES = 3
"""Crashes after which a request is treated as their cause."""

LOSS_WINDOW_MS = 2000.0
"""Age of a loss up to which it is attributed to a crash.

A crash is detected at the latest by the first heartbeat after the restart.
"""

STRIKE_LIFETIME_MS = 1_800_000.0
"""Time for which strikes count after the request was last seen anywhere."""

REFRESH_MS = STRIKE_LIFETIME_MS / 4
"""Age of the last news from which other nodes are told that a request still comes."""

MAX_DIGESTS = 4096
MAX_CRASHES = 16
"""Crashes kept for each request, as a bound on what other nodes can make this one keep."""


@dataclasses.dataclass(frozen=True, slots=True)
class StrikeRecord:
    """The crashes in which a request was lost."""

    digest: bytes
    crashes: frozenset[int] = frozenset()
    cleared: frozenset[int] = frozenset()
    """Crashes that it did not cause, as it was answered after them."""

    @property
    def strikes(self) -> int:
        """Return the number of crashes that it may have caused."""
        return len(self.crashes - self.cleared)

    def joined(self, other: 'StrikeRecord') -> 'StrikeRecord':
        """Return what is known with another record of the request."""
        return StrikeRecord(
            self.digest,
            _largest(self.crashes | other.crashes),
            _largest(self.cleared | other.cleared),
        )


class CrashStrikes:
    """Count the crashes in which a request was lost, per digest of its content."""

    def __init__(self) -> None:
        """Start without crashes."""
        self._losses: deque[tuple[float, bytes]] = deque(maxlen=MAX_DIGESTS)
        self._records: OrderedDict[bytes, tuple[StrikeRecord, float]] = OrderedDict()

    @property
    def empty(self) -> bool:
        """Return whether no request has strikes."""
        return not self._records

    def latest(self, count: int) -> list[StrikeRecord]:
        """Return the records of which there was news last."""
        newest = itertools.islice(reversed(self._records.values()), count)
        return [record for record, _ in newest]

    def record_loss(self, digest: bytes, now_ms: float) -> None:
        """Record that the connection of a running request broke."""
        self._losses.append((now_ms, digest))

    def record_crash(self, crash: int, now_ms: float) -> list[StrikeRecord]:
        """Record a crash of the upstream and return the requests lost in it.

        Args:
            crash: Number of the crash, which no other crash has.
            now_ms: Current time.

        Returns:
            Records to send to the other nodes.
        """
        oldest_ms = now_ms - LOSS_WINDOW_MS
        digests = {digest for lost_ms, digest in self._losses if lost_ms >= oldest_ms}
        self._losses.clear()
        lost = [StrikeRecord(digest, frozenset((crash,))) for digest in digests]
        return self.merge(lost, now_ms)

    def merge(
        self, records: Iterable[StrikeRecord], now_ms: float
    ) -> list[StrikeRecord]:
        """Join what another node knows.

        Returns:
            The records that are news here, joined with what was known.
        """
        news = []
        for record in records:
            known, last_ms = self._find(record.digest, now_ms)
            joined = known.joined(record)
            if joined != known or now_ms - last_ms > REFRESH_MS:
                news.append(joined)
                self._store(joined, now_ms)
        return news

    def record_completion(self, digest: bytes, now_ms: float) -> StrikeRecord | None:
        """Clear the strikes of a request that was answered.

        Returns:
            Its record for the other nodes, or None if it had no strikes.
        """
        record, _ = self._records.get(digest, (None, 0))
        if record is None or not record.strikes:
            return None
        cleared = dataclasses.replace(record, cleared=record.crashes)
        self._store(cleared, now_ms)
        return cleared

    def refuses(self, digest: bytes, now_ms: float) -> bool:
        """Return whether a request is treated as the cause of crashes."""
        return self._find(digest, now_ms)[0].strikes >= STRIKES

    def refreshed(self, digest: bytes, now_ms: float) -> list[StrikeRecord]:
        """Return what to send to other nodes after a refusal, so that they remember it."""
        record, last_ms = self._find(digest, now_ms)
        if now_ms - last_ms <= REFRESH_MS:
            return []
        self._store(record, now_ms)
        return [record]

    def _find(self, digest: bytes, now_ms: float) -> tuple[StrikeRecord, float]:
        record, last_ms = self._records.get(digest, (None, now_ms))
        if record is None or now_ms - last_ms > STRIKE_LIFETIME_MS:
            return StrikeRecord(digest), now_ms
        return record, last_ms

    def _store(self, record: StrikeRecord, now_ms: float) -> None:
        self._records[record.digest] = (record, now_ms)
        self._records.move_to_end(record.digest)
        while len(self._records) > MAX_DIGESTS:
            self._records.popitem(last=False)


def _largest(crashes: frozenset[int]) -> frozenset[int]:
    if len(crashes) <= MAX_CRASHES:
        return crashes
    return frozenset(sorted(crashes)[-MAX_CRASHES:])
