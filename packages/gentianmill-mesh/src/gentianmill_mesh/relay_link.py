"""Sends calls to another node."""

import asyncio
import dataclasses
import itertools
from collections.abc import Callable, Iterator

import aiohttp

from gentianmill.clock import Clock
from gentianmill.errors import GentianmillError
from gentianmill.node_table import NodeRecord
from gentianmill.outcome import Outcome
from gentianmill.relay_messages import (
    CrashNews,
    GuardLoad,
    RelayAnswer,
    RelayCall,
    RelayCancel,
    RulesReply,
    RulesRequest,
)
from gentianmill_mesh.http_message import HttpAnswer
from gentianmill_mesh.relay_codec import decode, encode
from gentianmill_mesh.relay_handshake import NodeIdentity
from gentianmill_mesh.relay_server import HEARTBEAT_S, MAX_FRAME_BYTES, RELAY_PATH
from gentianmill_mesh.guard_call import GuardCall, GuardReply
from gentianmill_mesh.send_now import start_sending
from gentianmill_mesh.wire_names import WireNames, restored
from gentianmill_mesh.within import within
from gentianmill_node.logs import component

CONNECT_TIMEOUT_S = 1.0
"""Two round trips between regions take 120 ms; a lost packet costs up to 1 s."""

RECONNECT_PAUSE_S = 0.25
"""Pause between attempts to reach the holder of work that may run only once."""

MS_PER_S = 1000

log = component('relay')


@dataclasses.dataclass(slots=True)
class RelayReply:
    """A guard's reply and the load that it reported, if it did."""

    reply: GuardReply
    load: GuardLoad | None = None


@dataclasses.dataclass(slots=True)
class _Pending:
    """A call whose answer has not arrived."""

    frame: RelayCall
    deadline_ms: float
    waiter: 'asyncio.Future[RelayReply]'
    sent: bool = False

    def end(self, reply: GuardReply, load: GuardLoad | None = None) -> None:
        if not self.waiter.done():
            self.waiter.set_result(RelayReply(reply, load))

    def lost(self, reason: str) -> None:
        self.end(
            GuardReply.unknown(reason) if self.sent else GuardReply.not_run(reason)
        )


@dataclasses.dataclass(slots=True)
class RelayContext:
    """What all links of a node share."""

    identity: NodeIdentity
    session: aiohttp.ClientSession
    clock: Clock
    keys: Iterator[int]
    names: WireNames
    on_version: Callable[['RelayLink', int], None]
    on_rules: Callable[[bytes, str], object]


def new_keys() -> Iterator[int]:
    """Return the numbers of the calls of one process."""
    return itertools.count(1)


class RelayLink:
    """A connection to another node, made when it is needed."""

    def __init__(self, record: NodeRecord, context: RelayContext) -> None:
        """Create a link without a connection.

        Args:
            record: The other node.
            context: What all links share.
        """
        self._record = record
        self._context = context
        self._pending: dict[int, _Pending] = {}
        self._socket: aiohttp.ClientWebSocketResponse | None = None
        self._peer: NodeIdentity | None = None
        self._connecting: asyncio.Task[None] | None = None
        self._reader: asyncio.Task[None] | None = None
        self._closed = False

    @property
    def record(self) -> NodeRecord:
        """Return the other node."""
        return self._record

    @property
    def connected(self) -> bool:
        """Return whether the connection is open."""
        return self._socket is not None and not self._socket.closed

    async def call(self, call: GuardCall) -> RelayReply:
        """Run a call on the other node.

        Cancelling this coroutine stops the work there.

        Args:
            call: The call.
        """
        pending = self._new_pending(call)
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

    async def post(self, frame: CrashNews | RulesRequest) -> None:
        """Send a frame that is not a call; it is lost if the link breaks."""
        if (self.connected or await self._connect()) and self._socket is not None:
            self._write(self._socket, frame)

    async def close(self) -> None:
        """Close the connection; calls without an answer end."""
        self._closed = True
        for task in (self._connecting, self._reader):
            if task is not None:
                task.cancel()
        for pending in tuple(self._pending.values()):
            pending.lost('link_closed')
        if self._socket is not None:
            await self._socket.close()

    def _new_pending(self, call: GuardCall) -> _Pending:
        request = call.request
        now_ms = self._context.clock.now_ms()
        frame = RelayCall(
            key=next(self._context.keys),
            service=call.service,
            method=request.method,
            target=request.target,
            headers=request.headers,
            body=request.body,
            time_left_ms=int(call.deadline_ms - now_ms),
            rank=call.rank,
            patience_ms=int(call.patience_ms),
            repeatable=call.repeatable,
            caller_service=call.caller_service,
            route=call.route,
            is_repeat=call.is_repeat,
        )
        waiter = asyncio.get_running_loop().create_future()
        return _Pending(frame, call.deadline_ms, waiter)

    def _time_out(self, pending: _Pending) -> None:
        self._cancel_remote(pending)
        pending.lost('deadline')

    def _start(self, pending: _Pending) -> 'asyncio.Future[None] | None':
        """Send a call at once, or return the task that connects first."""
        if self.connected:
            self._transmit(pending)
            return None
        return asyncio.ensure_future(self._connect_and_send(pending))

    async def _connect_and_send(self, pending: _Pending) -> None:
        if not self.connected and not await self._connect():
            pending.lost('unreachable')
            return
        if not (pending.sent or pending.waiter.done()):
            self._transmit(pending)

    def _transmit(self, pending: _Pending) -> None:
        socket = self._socket
        if socket is None:
            return
        left_ms = pending.deadline_ms - self._context.clock.now_ms()
        pending.frame.time_left_ms = max(int(left_ms), 0)
        pending.sent = True
        self._write(socket, pending.frame)

    def _write(
        self,
        socket: aiohttp.ClientWebSocketResponse,
        frame: CrashNews | RelayCall | RelayCancel | RulesRequest,
    ) -> None:
        try:
            start_sending(socket.send_bytes(encode(frame)))
        except (ConnectionError, RuntimeError, aiohttp.ClientError) as error:
            # The reader of the connection ends too and sends the call again.
            log.info('Link broke.', peer=self._record.name, error=repr(error))

    def _cancel_remote(self, pending: _Pending) -> None:
        if pending.sent and self._socket is not None and not self._closed:
            self._write(self._socket, RelayCancel(pending.frame.key))

    async def _connect(self) -> bool:
        """Connect unless another call does so already; return whether it worked."""
        if self._connecting is None or self._connecting.done():
            self._connecting = asyncio.ensure_future(self._open())
        try:
            await asyncio.shield(self._connecting)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            log.info('No link.', peer=self._record.name, error=repr(error))
            return False
        return self.connected

    async def _open(self) -> None:
        if self.connected:
            return
        url = f'http://{self._record.host}:{self._record.relay_port}{RELAY_PATH}'
        connecting = self._context.session.ws_connect(
            url,
            headers=self._context.identity.headers(),
            max_msg_size=MAX_FRAME_BYTES,
            compress=0,
            heartbeat=HEARTBEAT_S,
        )
        socket = await within(connecting, CONNECT_TIMEOUT_S)
        peer = NodeIdentity.from_headers(socket._response.headers)  # noqa: SLF001
        if peer != self._peer:
            self._forget_sent()
        self._peer = peer
        self._socket = socket
        self._reader = asyncio.ensure_future(self._read(socket))

    def _forget_sent(self) -> None:
        """End calls that were sent to an earlier life of the other node."""
        for pending in tuple(self._pending.values()):
            if pending.sent:
                pending.lost('peer_restarted')

    async def _read(self, socket: aiohttp.ClientWebSocketResponse) -> None:
        try:
            async for message in socket:
                if message.type is not aiohttp.WSMsgType.BINARY:
                    break
                self._take(message.data)
        except GentianmillError as error:
            log.warning('Link closed.', peer=self._record.name, error=str(error))
        finally:
            if self._socket is socket:
                self._socket = None
        if not self._closed:
            await socket.close()
            await self._recover()

    def _take(self, message: bytes) -> None:
        frame = decode(message, self._record.name)
        if isinstance(frame, RulesReply):
            self._context.on_rules(frame.document, self._record.name)
            return
        if not isinstance(frame, RelayAnswer):
            return
        self._context.on_version(self, frame.rules_version)
        pending = self._pending.get(frame.key)
        if pending is not None:
            pending.end(self._reply(frame, pending.frame), frame.load)

    def _reply(self, frame: RelayAnswer, call: RelayCall) -> GuardReply:
        outcome = Outcome(frame.outcome)
        if outcome is not Outcome.answered:
            return GuardReply(outcome, reason=frame.reason)
        request_id = self._context.names.request_id
        headers = restored(frame.headers, call.headers, request_id)
        answer = HttpAnswer(frame.status, headers, frame.body, frame.framed)
        return GuardReply(outcome, answer)

    async def _recover(self) -> None:
        """Send calls without an answer again on a new connection.

        The other node joins them with the calls that it has. Work that may be
        repeated is given up at the first failure, as another node can run it.
        """
        while self._pending and not self._closed:
            if await self._connect():
                for pending in tuple(self._pending.values()):
                    self._transmit(pending)
                return
            for pending in tuple(self._pending.values()):
                if pending.frame.repeatable or not pending.sent:
                    pending.lost('link_lost')
            await asyncio.sleep(RECONNECT_PAUSE_S)


def _stop(
    timer: asyncio.TimerHandle, connecting: 'asyncio.Future[None] | None'
) -> None:
    timer.cancel()
    if connecting is not None:
        connecting.cancel()
