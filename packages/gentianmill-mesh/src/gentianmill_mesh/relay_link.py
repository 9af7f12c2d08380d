"""Sends calls to another node."""

import asyncio
import dataclasses
import itertools
from collections.abc import Iterator

from gentianmill.node_table import NodeRecord
from gentianmill.outcome import Outcome
from gentianmill.relay_messages import (
    FreshnessStatus,
    GuardLoad,
    KnownState,
    NodeNews,
    RelayAnswer,
    RelayCall,
    RelayCancel,
    RulesReply,
    RulesRequest,
    StateRequest,
    StrikeNews,
)
from gentianmill.round_trip import RoundTrip
from gentianmill_mesh.guard_call import GuardCall, GuardReply
from gentianmill_mesh.http_message import HttpResponse
from gentianmill_mesh.relay_codec import RelayFrame, decode
from gentianmill_mesh.relay_connection import (
    ConnectionListener,
    RelayConnection,
    RelayContext,
)
from gentianmill_mesh.slot_queue import LATE_MARGIN_MS
from gentianmill_mesh.wire_names import restore_headers
from gentianmill_node.background import spawn
from gentianmill_node.logs import component

RECONNECT_PAUSE_S = 0.25
"""Pause between attempts to reach the node that has a request which may run only
once."""

POST_ATTEMPTS = 2
"""A connection may be silent; the next one was just opened."""

PostedFrame = KnownState | NodeNews | RulesRequest | StateRequest | StrikeNews

MS_PER_S = 1000

log = component('relay')


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
    sent: bool = False

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


class RelayLink(ConnectionListener):
    """Run calls on another node, over a connection that is opened on demand."""

    def __init__(self, record: NodeRecord, context: RelayContext) -> None:
        """Create a link without a connection.

        Args:
            record: The other node.
            context: State that all links share.
        """
        self._record = record
        self._context = context
        self._pending: dict[int, _Pending] = {}
        self._connection = RelayConnection(record, context, self)
        self._round_trip = RoundTrip()
        self._status_asked_ms: float | None = None

    @property
    def record(self) -> NodeRecord:
        """Return the other node."""
        return self._record

    @property
    def connected(self) -> bool:
        """Return whether the connection is open."""
        return self._connection.connected

    @property
    def busy(self) -> bool:
        """Return whether calls wait for responses."""
        return bool(self._pending)

    @property
    def unreachable(self) -> bool:
        """Return whether the last attempts to connect failed; further ones are made."""
        return self._connection.unreachable

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
            self._cancel_remote(pending)
            raise
        finally:
            self._pending.pop(key, None)
            _stop(timer, connecting)

    async def reach(self) -> bool:
        """Return whether the other node is reachable; connect if needed."""
        return self.connected or await self._connection.connect()

    async def post(self, frame: PostedFrame) -> bool:
        """Deliver a frame that is not a call; return whether the other node got it.

        The frame is sent again on a new connection if the node does not answer a ping
        after it, as the connection may have fallen silent unnoticed.
        """
        for _ in range(POST_ATTEMPTS):
            if not await self.reach():
                return False
            if self._connection.send(frame) and await self._connection.confirm():
                return True
        log.info('Frame not delivered.', peer=self._record.name)
        return False

    async def ask_status(self, request: RulesRequest) -> None:
        """Ask the other node how recent its rules and node records are.

        Args:
            request: What this node knows; what is newer is sent, too.
        """
        self._status_asked_ms = self._context.clock.now_ms()
        await self.post(request)

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
        await self._connection.close()

    def on_message(self, message: bytes) -> None:
        """Handle a message of the other node."""
        frame = decode(message, self._record.name)
        if isinstance(frame, RulesReply):
            self._context.on_rules(frame.document, self._record.name)
            return
        if not isinstance(frame, RelayAnswer):
            self._on_news(frame)
            return
        self._context.on_version(self._record, frame.rules_version)
        pending = self._pending.get(frame.key)
        if pending is not None:
            total_ms = self._context.clock.now_ms() - pending.started_ms
            self._round_trip.observe(total_ms, frame.spent_ms)
            self._context.on_status(_status(frame), pending.started_ms + frame.spent_ms)
            pending.complete(
                _reply(frame, pending.frame, self._context.names.request_id), frame.load
            )

    def on_peer_restarted(self) -> None:
        """Fail the calls that were sent to an earlier incarnation of the other node."""
        for pending in tuple(self._pending.values()):
            if pending.sent:
                pending.fail('peer_restarted')

    async def on_connection_lost(self) -> None:
        """Resend the calls without a response on a new connection.

        The other node matches them with the calls that it has. Repeatable calls are
        abandoned at the first failure, as another node can run them.
        """
        while self._pending and not self._connection.closed:
            if await self._connection.connect():
                for pending in tuple(self._pending.values()):
                    self._transmit(pending)
                return
            for pending in tuple(self._pending.values()):
                if pending.frame.repeatable or not pending.sent:
                    pending.fail('link_lost')
            await asyncio.sleep(RECONNECT_PAUSE_S)

    def _on_news(self, frame: RelayFrame) -> None:
        if isinstance(frame, NodeNews):
            self._context.on_nodes(frame)
        elif isinstance(frame, FreshnessStatus):
            # Without a request, its age is unknown.
            if self._status_asked_ms is not None:
                self._context.on_version(self._record, frame.rules_version)
                self._context.on_status(frame, self._status_asked_ms)
        elif isinstance(frame, KnownState):
            self._context.on_state(frame)
        elif isinstance(frame, StateRequest):
            spawn(self.post(self._context.state_of(frame)), 'tell state')

    def _time_out(self, pending: _Pending) -> None:
        self._cancel_remote(pending)
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
        if self._connection.send(pending.frame):
            pending.sent = True

    def _cancel_remote(self, pending: _Pending) -> None:
        if pending.sent:
            self._connection.send(RelayCancel(pending.frame.key))


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
    frame = RelayCall(
        key=next(context.keys),
        service=call.service,
        method=request.method,
        target=request.target,
        headers=request.headers,
        body=request.body,
        time_left_ms=int(call.deadline_ms - now_ms),
        rank=call.rank,
        patience_ms=int(call.max_wait_ms),
        repeatable=call.repeatable,
        caller_service=call.caller_service,
        route=call.route,
        cause=call.cause.value,
    )
    waiter = asyncio.get_running_loop().create_future()
    return _Pending(frame, call.deadline_ms, waiter, now_ms)


def _reply(frame: RelayAnswer, call: RelayCall, request_id: bytes) -> GuardReply:
    outcome = Outcome(frame.outcome)
    if outcome is not Outcome.answered:
        return GuardReply(outcome, reason=frame.reason)
    headers = restore_headers(frame.headers, call.headers, request_id)
    response = HttpResponse(frame.status, headers, frame.body, frame.framed)
    return GuardReply(outcome, response, frame.reason)
