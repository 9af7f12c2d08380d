"""Faults of the simulated platform, which can be switched while it runs."""

import asyncio
import enum

import msgspec

MS_PER_S = 1000


class FaultMode(enum.StrEnum):
    """Kind of fault of the simulated platform."""

    none = 'none'
    down = 'down'
    slow = 'slow'
    lose_answers = 'lose_answers'
    """Writes take effect, but their response is lost."""


class RateLimit(msgspec.Struct, forbid_unknown_fields=True):
    """Operations per second; 0 means no limit."""

    writes: float = 0
    reads: float = 0


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /faults``; a single rate limits writes and reads alike."""

    mode: FaultMode = FaultMode.none
    delay_ms: float = 0
    rate_limit: float | RateLimit = 0

    def rate(self, writes: bool) -> float:
        """Return the operations per second for writes or reads; 0 for no limit."""
        if isinstance(self.rate_limit, RateLimit):
            return self.rate_limit.writes if writes else self.rate_limit.reads
        return self.rate_limit


class StoreDownError(Exception):
    """The operation did not take effect."""


class LostResponseError(Exception):
    """The operation took effect, but its response is lost."""


class FaultGate:
    """Delays or refuses operations, or loses responses, as the active faults say."""

    def __init__(self) -> None:
        """Start without faults."""
        self.faults = Faults()
        self._next_slot_s = {True: 0.0, False: 0.0}

    async def enter(self, *, writes: bool) -> None:
        """Delay or refuse an operation before it takes effect.

        Raises:
            StoreDownError: If the platform is down.
        """
        self._refuse_if_down()
        delay_s = self._wait_for_slot_s(writes)
        if self.faults.mode is FaultMode.slow:
            delay_s += self.faults.delay_ms / MS_PER_S
        if delay_s:
            await asyncio.sleep(delay_s)
            self._refuse_if_down()

    def leave(self, *, writes: bool) -> None:
        """Drop the response of a write that took effect if the faults say so.

        Raises:
            LostResponseError: If the response is lost.
        """
        if writes and self.faults.mode is FaultMode.lose_answers:
            raise LostResponseError

    def _refuse_if_down(self) -> None:
        if self.faults.mode is FaultMode.down:
            raise StoreDownError

    def _wait_for_slot_s(self, writes: bool) -> float:
        rate = self.faults.rate(writes)
        if not rate:
            return 0
        now_s = asyncio.get_running_loop().time()
        slot_s = max(now_s, self._next_slot_s[writes])
        self._next_slot_s[writes] = slot_s + 1 / rate
        return slot_s - now_s
