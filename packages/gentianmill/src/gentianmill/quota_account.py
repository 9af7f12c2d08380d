"""The tokens of one team in the region of their owner."""

import dataclasses
from collections import deque

from gentianmill.quota_bucket import QuotaBucket
from gentianmill.relay_messages import QuotaRequest

__all__ = ('Asker', 'Borrow', 'QuotaAccount', 'QuotaCounts', 'WaitingRequest')

MAX_PROCESSES = 2048
"""Processes whose last request is remembered; three times the nodes at the design size."""

MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Asker:
    """A node that asks for tokens."""

    name: str
    process: str
    """Differs for each start of the node."""


@dataclasses.dataclass(slots=True)
class WaitingRequest:
    """A request for tokens that waits for one."""

    asker: Asker
    request: QuotaRequest
    until_ms: float


@dataclasses.dataclass(slots=True)
class Borrow:
    """A request for tokens of another region that is under way."""

    key: int
    wanted: int
    sent_ms: float


@dataclasses.dataclass(slots=True)
class QuotaCounts:
    """What an owner did for a team since the start of the process."""

    issued: int = 0
    refused: int = 0
    borrowed: int = 0
    lent: int = 0


@dataclasses.dataclass(slots=True)
class _Lease:
    process: str
    tokens: int
    expires_ms: float


class QuotaAccount:
    """A bucket, the requests that wait for its tokens, and the live leases."""

    def __init__(self, now_ms: float) -> None:
        """Create an account with an empty bucket.

        Args:
            now_ms: Current time.
        """
        self.bucket = QuotaBucket(now_ms)
        self.counts = QuotaCounts()
        self.waiting: deque[WaitingRequest] = deque()
        self.borrows: dict[str, Borrow] = {}
        """Requests to other regions that are under way, by region."""

        self.poor_until_ms: dict[str, float] = {}
        """By region, until when it is not asked, as it had too little."""

        self._leases: deque[_Lease] = deque()
        self._last_keys: dict[str, int] = {}
        self._backlog_until_ms = float(0)
        self._backlog_rate_per_s = float(0)

    def is_duplicate(self, process: str, key: int) -> bool:
        """Return whether a request was received before, and remember it."""
        if key <= self._last_keys.get(process, -1):
            return True
        if len(self._last_keys) >= MAX_PROCESSES:
            self._last_keys.clear()
        self._last_keys[process] = key
        return False

    def lease(self, process: str, tokens: int, expires_ms: float) -> None:
        """Record tokens that a process may return until they expire."""
        self._leases.append(_Lease(process, tokens, expires_ms))

    def take_back(self, process: str, returned: int, now_ms: float) -> None:
        """Put returned tokens into the bucket, at most those of live leases.

        A lease that has expired may have been used, and its refill been issued again.
        """
        while self._leases and self._leases[0].expires_ms <= now_ms:
            self._leases.popleft()
        for lease in self._leases:
            if lease.process == process and returned > 0:
                part = min(lease.tokens, returned)
                lease.tokens -= part
                returned -= part
                self.bucket.put(part)

    def retry_after_ms(self, wanted: int, rate_per_s: float, now_ms: float) -> float:
        """Return when the tokens for a refused request are refilled, and reserve that time.

        Those of requests that were refused before come first, so that callers that return
        when told are not refused again.
        """
        if rate_per_s <= 0:
            return MS_PER_S
        backlog_ms = max(self._backlog_until_ms - now_ms, 0)
        # A higher rate serves those that were refused before sooner.
        backlog_ms *= min(self._backlog_rate_per_s / rate_per_s, 1)
        self._backlog_rate_per_s = rate_per_s
        begin_ms = max(now_ms + backlog_ms, now_ms + self.bucket.wait_ms(1))
        self._backlog_until_ms = begin_ms + (wanted - 1) / rate_per_s * MS_PER_S
        return begin_ms - now_ms
