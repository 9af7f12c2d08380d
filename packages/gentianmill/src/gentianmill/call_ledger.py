"""Which calls of a sender were taken, so that one that is sent again does not run again."""

import heapq
from typing import Generic, TypeVar

__all__ = ('CallLedger',)

Entry = TypeVar('Entry')


class CallLedger(Generic[Entry]):
    """Remember the calls of one sender until nobody can send them any more.

    A sender numbers its calls in rising order. Of the calls that were forgotten, the
    ledger keeps only the highest number: a call that it does not know runs only if its
    number is above that.
    """

    def __init__(self) -> None:
        """Start without calls."""
        self._entries: dict[int, Entry] = {}
        self._expiries: list[tuple[float, int]] = []
        self._forgotten_key = -1

    def __len__(self) -> int:
        """Return the number of calls that are remembered."""
        return len(self._entries)

    @property
    def entries(self) -> list[Entry]:
        """Return what is remembered of the calls, oldest first."""
        return list(self._entries.values())

    def find(self, key: int) -> Entry | None:
        """Return what is remembered of a call, or None."""
        return self._entries.get(key)

    def may_be_forgotten(self, key: int) -> bool:
        """Return whether an unknown call may have been taken before."""
        return key <= self._forgotten_key

    def add(self, key: int, entry: Entry) -> None:
        """Remember a call until ``expire_at`` is called for it."""
        self._entries[key] = entry

    def expire_at(self, key: int, time_ms: float) -> None:
        """Forget a call after a time.

        Args:
            key: Number of a call that has ended.
            time_ms: Time in ms after which its sender does not send it any more.
        """
        heapq.heappush(self._expiries, (time_ms, key))

    def forget_expired(self, now_ms: float) -> None:
        """Forget the calls whose time has passed."""
        while self._expiries and self._expiries[0][0] <= now_ms:
            _, key = heapq.heappop(self._expiries)
            if self._entries.pop(key, None) is not None:
                self._forgotten_key = max(self._forgotten_key, key)
