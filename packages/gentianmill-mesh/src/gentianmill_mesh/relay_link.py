"""Sends calls to another node."""

import asyncio
import dataclasses
import itertools
from collections.abc import Iterator

import msgspec

from gentianmill.byte_budget import SMALL_BYTES
from gentianmill.node_table import NodeRecord
from gentianmill.outcome import Outcome
from gentianmill.relay_messages import (
    FreshnessStatus,
    GuardLoad,
    RelayAnswer,
    RelayCall,
    RelayCancel,
    RelayCredit,
    RelayPart,
)
from gentianmill.response_status import is_final_status
from gentianmill.round_trip import RoundTrip
from gentianmill_mesh.body_buffer import Body
from gentianmill_mesh.guard_call import GuardCall, GuardReply
from gentianmill_mesh.http_message import HttpResponse
from gentianmill_mesh.incoming_bodies import IncomingBodies
from gentianmill_mesh.part_sender import WINDOW_BYTES, PartSender, WholeBody
from gentianmill_mesh.relay_codec import RelayFrame, decode
from gentianmill_mesh.relay_connection import RelayContext
from gentianmill_mesh.relay_peer import RelayPeer
from gentianmill_mesh.slot_queue import LATE_MARGIN_MS
from gentianmill_mesh.wire_names import restore_headers
from gentianmill_node.background import spawn

RECONNECT_PAUSE_S = 0.25
"""Pause between attempts to reach the node that has a request which may run only
once."""

CANCEL_GRACE_S = 0.012
"""Time for the answer to a cancellation; the caller waits for 20 ms beyond the deadline."""

MS_PER_S = 1000


@dataclasses.dataclass(slots=True)
class RelayReply:
    """A guard's reply and the load that it reported, if it did."""

    reply: GuardReply
    load: GuardLoad | None = None


@dataclasses.dataclass(slots=True)
class _Pending:
    """A call whose response has not arrived."""

    frame: RelayCall
    deadline_ms: float
    waiter: 'asyncio.Future[RelayReply]'
    started_ms: float
    body: Body | None = None
    """Body that does not fit into the frame."""

    sends: int = 0
    """How often it was sent; again after its connection was lost."""

    @property
    def sent(self) -> bool:
        """Return whether the other node may have received the call."""
        return bool(self.sends)

    def complete(self, reply: GuardReply, load: GuardLoad | None = None) -> None:
        if not self.waiter.done():
            self.waiter.set_result(RelayReply(reply, load))

    def fail(self, reason: str) -> None:
        self.complete(
            GuardReply.unknown(reason) if self.sent else GuardReply.not_run(reason)
        )


def new_call_keys() -> Iterator[int]:
    """Return an iterator over the numbers of the calls of one process."""
    return itertools.count(1)


class RelayLink(RelayPeer):
    """Run calls on another node, over a connection that is opened on demand."""

    def __init__(self, record: NodeRecord, context: RelayContext) -> None:
        """Create a link without a connection.

        Args:
            record: The other node.
            context: State that all links share.
        """
        super().__init__(record, context)
        self._pending: dict[int, _Pending] = {}
        self._round_trip = RoundTrip()
        self._parts = PartSender(self._send, lambda: self._connection.writable)
        self._incoming = IncomingBodies(context.budget, self._send)

    @property
    def busy(self) -> bool:
        """Return whether calls wait for responses, or for their bodies."""
        return bool(self._pending or self._incoming)

    @property
    def ahead_bytes(self) -> int:
        """Return an upper bound of the bytes that the network may still carry."""
        return self._parts.ahead_bytes

    @property
    def round_trip_ms(self) -> float:
        """Return the estimate of the network round trip, 0 before the first response."""
        return self._round_trip.ms

    @property
    def latest_round_trip_ms(self) -> float:
        """Return the network round trip of the last response, 0 before the first."""
        return self._round_trip.latest_ms

    async def call(self, call: GuardCall) -> RelayReply:
        """Run a call on the other node.

        Cancelling this coroutine cancels the call on the other node.

        Args:
            call: The call.
        """
        pending = _new_pending(call, self._context)
        key = pending.frame.key
        self._pending[key] = pending
        left_ms = call.deadline_ms - self._context.clock.now_ms()
        timer = asyncio.get_running_loop().call_later(
            max(left_ms, 0) / MS_PER_S, self._time_out, pending
        )
        connecting = self._start(pending)
        try:
            return await pending.waiter
        except asyncio.CancelledError:
            if pending.waiter.done() and not pending.waiter.cancelled():
                pending.waiter.result().reply.discard()
            else:
                self._cancel_remote(pending)
            raise
        finally:
            self._pending.pop(key, None)
            _stop(timer, connecting)

    def end_overdue_calls(self) -> None:
        """Time out the calls whose deadlines have passed during a suspension."""
        now_ms = self._context.clock.now_ms()
        for pending in tuple(self._pending.values()):
            if pending.deadline_ms <= now_ms:
                self._time_out(pending)

    async def close(self) -> None:
        """Close the connection and fail the calls without a response."""
        for pending in tuple(self._pending.values()):
            pending.fail('link_closed')
        self._incoming.fail('link_closed')
        await self._connection.close()

    def on_message(self, message: bytes) -> None:
        """Handle a message of the other node."""
        frame = decode(message, self._record.name)
        if isinstance(frame, RelayAnswer):
            self._on_answer(frame)
        elif isinstance(frame, RelayPart):
            self._incoming.add(frame)
        elif isinstance(frame, RelayCredit):
            self._parts.grant(frame.key, frame.received, frame.limit)
        else:
            self.apply_news(frame)

    def on_writable(self) -> None:
        """Send on what waited for a slow connection."""
        self._parts.pump()

    def on_peer_restarted(self) -> None:
        """Fail the calls that were sent to an earlier incarnation of the other node."""
        for pending in tuple(self._pending.values()):
            if pending.sent:
                pending.fail('peer_restarted')
        self._incoming.fail('peer_restarted')

    async def on_connection_lost(self) -> None:
        """Resend the calls without a response, and go on with bodies, on a new connection.

        The other node matches them with the calls that it has. Repeatable calls are
        abandoned at the first failure, as another node can run them.
        """
        self._parts.close()
        while self.busy and not self._connection.closed:
            if await self._connection.connect():
                for pending in tuple(self._pending.values()):
                    self._transmit(pending)
                self._incoming.resume()
                return
            self._incoming.fail('link_lost')
            for pending in tuple(self._pending.values()):
                if pending.frame.repeatable or not pending.sent:
                    pending.fail('link_lost')
            await asyncio.sleep(RECONNECT_PAUSE_S)

    def _on_answer(self, frame: RelayAnswer) -> None:
        self._context.on_version(self._record, frame.rules_version)
        self._parts.remove(frame.key)
        pending = self._pending.get(frame.key)
        if pending is None or pending.waiter.done():
            if frame.body_bytes:
                self._send(RelayCancel(frame.key))
            return
        total_ms = self._context.clock.now_ms() - pending.started_ms
        self._round_trip.observe(total_ms, frame.spent_ms)
        self._context.on_status(_status(frame), pending.started_ms + frame.spent_ms)
        reply = reply_of(frame, pending.frame, self._context.names.request_id)
        if frame.body_bytes and reply.response is None:
            self._send(RelayCancel(frame.key))
        elif frame.body_bytes:
            reply.response.stream = self._incoming.begin(frame.key, frame.body_bytes)
        pending.complete(reply, frame.load)

    def _send(self, frame: RelayFrame) -> bool:
        return self._connection.send(frame)

    def _time_out(self, pending: _Pending) -> None:
        """End a call; what may run only once gets a moment for the guard's last word.

        The guard may have it in its queue still, and answers the cancellation that it has
        not run.
        """
        is_incomplete = pending.sends == 1 and self._parts.is_sending(pending.frame.key)
        self._cancel_remote(pending)
        if is_incomplete:
            # The guard runs a request only when its whole body has arrived.
            pending.complete(GuardReply.not_run('deadline'))
        elif pending.sent and not pending.frame.repeatable:
            asyncio.get_running_loop().call_later(
                CANCEL_GRACE_S, pending.fail, 'deadline'
            )
        else:
            pending.fail('deadline')

    def _start(self, pending: _Pending) -> 'asyncio.Future[None] | None':
        """Send a call immediately, or return the task that connects first."""
        if self._connection.connected:
            self._transmit(pending)
            return None
        return spawn(self._connect_and_send(pending), 'connect for a call')

    async def _connect_and_send(self, pending: _Pending) -> None:
        if not await self._connection.connect():
            pending.fail('unreachable')
            return
        if not (pending.sent or pending.waiter.done()):
            self._transmit(pending)

    def _transmit(self, pending: _Pending) -> None:
        """Send a call with the time that the other node has for it.

        The network round trip is subtracted: the guard's reply that a call did not
        run, and a response that the upstream sends at its deadline, must arrive
        before the caller is notified that the outcome is unknown.
        """
        left_ms = pending.deadline_ms - self._context.clock.now_ms()
        if pending.sent and left_ms <= 0:
            # The other node may have forgotten the call, and would say it has not run.
            self._time_out(pending)
            return
        left_ms -= self._round_trip.ms
        if left_ms <= LATE_MARGIN_MS and not pending.sent:
            pending.fail('deadline')
            return
        pending.frame.time_left_ms = max(int(left_ms), 0)
        # A body in parts goes on where the other node says, if it may have a part of it.
        limit = 0 if pending.sent else WINDOW_BYTES
        frame = pending.frame
        has_parts = pending.body is not None and self._connection.takes_parts
        if pending.body is not None and not has_parts:
            frame = msgspec.structs.replace(frame, body=pending.body, body_bytes=0)
        if self._send(frame):
            pending.sends += 1
            if has_parts:
                body = WholeBody(pending.body)
                self._parts.add(frame.key, body, 0, limit)

    def _cancel_remote(self, pending: _Pending) -> None:
        self._parts.remove(pending.frame.key)
        if pending.sent:
            self._send(RelayCancel(pending.frame.key))


def _stop(
    timer: asyncio.TimerHandle, connecting: 'asyncio.Future[None] | None'
) -> None:
    timer.cancel()
    if connecting is not None:
        connecting.cancel()


def _status(answer: RelayAnswer) -> FreshnessStatus:
    return FreshnessStatus(
        rules_version=answer.rules_version,
        rules_age_ms=answer.rules_age_ms,
        nodes_digest=answer.nodes_digest,
        nodes_age_ms=answer.nodes_age_ms,
    )


def _new_pending(call: GuardCall, context: RelayContext) -> _Pending:
    request = call.request
    now_ms = context.clock.now_ms()
    is_large = len(request.body) > SMALL_BYTES
    frame = RelayCall(
        key=next(context.keys),
        service=call.service,
        method=request.method,
        target=request.target,
        headers=request.headers,
        body=b'' if is_large else request.body,
        time_left_ms=int(call.deadline_ms - now_ms),
        rank=call.rank,
        patience_ms=int(call.max_wait_ms),
        repeatable=call.repeatable,
        caller_service=call.caller_service,
        route=call.route,
        cause=call.cause.value,
        body_bytes=len(request.body) if is_large else 0,
        team=call.team,
        is_key_holder=call.is_key_holder,
        is_repeat=call.is_repeat,
    )
    waiter = asyncio.get_running_loop().create_future()
    body = request.body if is_large else None
    return _Pending(frame, call.deadline_ms, waiter, now_ms, body)


def reply_of(frame: RelayAnswer, call: RelayCall, request_id: bytes) -> GuardReply:
    """Return the reply that a frame carries.

    Args:
        frame: The frame.
        call: The call that it ends.
        request_id: Name of the header that upstreams echo.
    """
    outcome = Outcome(frame.outcome)
    if outcome is not Outcome.answered:
        return GuardReply(outcome, reason=frame.reason)
    if not is_final_status(frame.status):
        # Earlier versions passed on whatever an upstream sent.
        return GuardReply.unknown('upstream_lost')
    headers = restore_headers(frame.headers, call.headers, request_id)
    response = HttpResponse(frame.status, headers, frame.body, framed=frame.framed)
    return GuardReply(outcome, response, frame.reason, frame.calls)
