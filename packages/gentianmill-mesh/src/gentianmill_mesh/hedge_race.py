"""Races a call against a second copy of it that starts later."""

import asyncio
from collections.abc import Callable, Coroutine

from gentianmill.outcome import Outcome
from gentianmill_mesh.guard_call import GuardReply
from gentianmill_mesh.http_message import FIRST_SERVER_ERROR
from gentianmill_node.logs import component

Call = Coroutine[None, None, GuardReply]

log = component('entry')


class Hedge:
    """Start a second copy of a call after a delay and take the first good reply.

    The first call runs in the task of the caller, as most calls need no second
    copy and a task for each would cost several turns of the event loop.
    """

    def __init__(self, delay_s: float, second_call: Callable[[], Call | None]) -> None:
        """Create a race that has not started.

        Args:
            delay_s: Time until the second copy starts, in s.
            second_call: Returns the second copy, or None if there must be none.
        """
        self._delay_s = delay_s
        self._second_call = second_call
        self._first: asyncio.Task[object] | None = None
        self._second: asyncio.Task[GuardReply] | None = None
        self._overtaken = False

    async def race(self, first_call: Call) -> GuardReply:
        """Return the first whole answer, or else the reply that tells most.

        Args:
            first_call: The first copy.
        """
        loop = asyncio.get_running_loop()
        timer = loop.call_later(self._delay_s, self._start_second)
        self._first = asyncio.current_task()
        try:
            return await self._reply(first_call)
        finally:
            timer.cancel()
            if self._second is not None:
                self._second.cancel()

    async def _reply(self, first_call: Call) -> GuardReply:
        try:
            reply = await first_call
        except asyncio.CancelledError:
            return self._reply_of_second()
        self._first = None
        if self._second is None or _is_good(reply):
            return reply
        return min(reply, await self._second, key=_tells_least)

    def _reply_of_second(self) -> GuardReply:
        """Return the reply that overtook the first copy.

        Raises:
            asyncio.CancelledError: If the caller has left.
        """
        left = not self._overtaken or self._first is None or self._first.uncancel()
        if left or self._second is None:
            raise asyncio.CancelledError
        return self._second.result()

    def _start_second(self) -> None:
        call = self._second_call()
        if call is None:
            return
        self._second = asyncio.ensure_future(call)
        self._second.add_done_callback(self._second_done)

    def _second_done(self, second: 'asyncio.Task[GuardReply]') -> None:
        if self._first is None or second.cancelled():
            return
        fault = second.exception()
        if fault is not None:
            log.error('Second copy failed by a fault in the node.', fault=repr(fault))
            return
        if _is_good(second.result()):
            self._overtaken = True
            self._first.cancel()


def _is_good(reply: GuardReply) -> bool:
    return reply.answer is not None and reply.answer.status < FIRST_SERVER_ERROR


def _tells_least(reply: GuardReply) -> int:
    """Order replies; that a call may have run tells more than that one did not."""
    if reply.answer is not None:
        return 0
    return 2 if reply.outcome is Outcome.not_run else 1
