"""Races a call against a hedge that starts later."""

import asyncio
from collections.abc import Callable, Coroutine

from gentianmill.outcome import Outcome
from gentianmill_mesh.guard_call import GuardReply
from gentianmill_mesh.http_message import FIRST_SERVER_ERROR
from gentianmill_node.logs import component

Call = Coroutine[None, None, GuardReply]

log = component('entry')


class HedgeRace:
    """Start a hedge of a call after a delay and return the first successful reply.

    The primary call runs in the task of the caller: most calls need no hedge, and a
    task for each would cost several iterations of the event loop.
    """

    def __init__(self, delay_s: float, hedge_call: Callable[[], Call | None]) -> None:
        """Create a race that has not started.

        Args:
            delay_s: Time until the hedge starts, in s.
            hedge_call: Returns the hedge, or None if there must be none.
        """
        self._delay_s = delay_s
        self._hedge_call = hedge_call
        self._primary: asyncio.Task[object] | None = None
        self._hedge: asyncio.Task[GuardReply] | None = None
        self._hedge_won = False
        self._chosen: GuardReply | None = None

    async def race(self, primary_call: Call) -> GuardReply:
        """Return the first successful reply, or else the most informative one.

        Args:
            primary_call: The first attempt.
        """
        loop = asyncio.get_running_loop()
        timer = loop.call_later(self._delay_s, self._start_hedge)
        self._primary = asyncio.current_task()
        try:
            return await self._reply(primary_call)
        finally:
            timer.cancel()
            self._drop_hedge()

    async def _reply(self, primary_call: Call) -> GuardReply:
        try:
            reply = await primary_call
        except asyncio.CancelledError:
            return self._hedge_reply()
        self._primary = None
        if self._hedge is None or _is_success(reply):
            return reply
        hedged = await self._hedge
        chosen = min(reply, hedged, key=_reply_rank)
        self._chosen = chosen
        if chosen is not reply:
            reply.discard()
        return chosen

    def _hedge_reply(self) -> GuardReply:
        """Return the reply of a hedge that finished before the primary call.

        Raises:
            asyncio.CancelledError: If the race itself was cancelled.
        """
        race_cancelled = (
            not self._hedge_won or self._primary is None or self._primary.uncancel()
        )
        if race_cancelled or self._hedge is None:
            raise asyncio.CancelledError
        self._chosen = self._hedge.result()
        return self._chosen

    def _drop_hedge(self) -> None:
        """Stop a hedge whose reply is not used."""
        if self._hedge is None:
            return
        self._hedge.cancel()
        if self._hedge.done() and not self._hedge.cancelled():
            if self._hedge.exception() is None:
                unused = self._hedge.result()
                if unused is not self._chosen:
                    unused.discard()

    def _start_hedge(self) -> None:
        call = self._hedge_call()
        if call is None:
            return
        self._hedge = asyncio.ensure_future(call)
        self._hedge.add_done_callback(self._hedge_done)

    def _hedge_done(self, hedge: 'asyncio.Task[GuardReply]') -> None:
        if self._primary is None or hedge.cancelled():
            return
        fault = hedge.exception()
        if fault is not None:
            log.error('Hedge failed with an internal error.', fault=repr(fault))
            return
        if _is_success(hedge.result()):
            self._hedge_won = True
            self._primary.cancel()


def _is_success(reply: GuardReply) -> bool:
    return reply.response is not None and reply.response.status < FIRST_SERVER_ERROR


def _reply_rank(reply: GuardReply) -> int:
    """Return a sort key: responses first, then calls that may have run, then others."""
    if reply.response is not None:
        return 0
    return 2 if reply.outcome is Outcome.not_run else 1
