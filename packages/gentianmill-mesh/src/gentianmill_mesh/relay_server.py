"""Takes calls of other nodes for the own upstream."""

import asyncio
from collections import deque
from collections.abc import Callable

from aiohttp import WSMsgType, web

from gentianmill.arrivals import Cause
from gentianmill.clock import Clock
from gentianmill.errors import GentianmillError
from gentianmill.relay_messages import (
    CrashNews,
    NodeNews,
    RelayAnswer,
    RelayCall,
    RelayCancel,
    RulesReply,
    RulesRequest,
)
from gentianmill_mesh.http_message import HttpAnswer, HttpRequest
from gentianmill_mesh.relay_codec import RelayFrame, decode, encode
from gentianmill_mesh.relay_handshake import PEER_HEADER, NodeIdentity
from gentianmill_mesh.rules_holder import RulesHolder
from gentianmill_mesh.guard_call import GuardCall, GuardReply
from gentianmill_mesh.send_now import start_sending
from gentianmill_mesh.upstream_guard import UpstreamGuard
from gentianmill_mesh.wire_names import WireNames, compact
from gentianmill_node.logs import component

MAX_FRAME_BYTES = 80 * 1024 * 1024
"""Longest message: the largest body that callers may send, with headers."""

CLOSE_TIMEOUT_S = 0.2
"""Time for the other node to confirm the end of a connection; regions are 60 ms
apart, there and back. aiohttp waits 10 s, beyond the time that a stop has."""

SENDER_SILENT_MS = 3000.0
"""Silence of a node that awaits answers: it pings 1.2 s after the last frame, and a
lost packet delays that by a second."""

UNUSED_MS = 180_000.0
"""Silence of a node that awaits nothing: it closes a link after 60 s without use, so
one that is still open has lost its sender."""

REATTACH_MS = 1500.0
"""How long repeatable work goes on after the link of its sender was lost."""

REMEMBERED_MS = 10_000.0
"""How long an answer is kept for a sender that lost its link."""

MS_PER_S = 1000
RELAY_PATH = '/relay'

log = component('relay')


class _Job:
    """One call of another node and, in the end, its answer."""

    __slots__ = ('answer', 'repeatable', 'task')

    def __init__(self, repeatable: bool, task: 'asyncio.Task[None]') -> None:
        self.repeatable = repeatable
        self.task = task
        self.answer: RelayAnswer | None = None


class _Sender:
    """A node that sends calls, during one life of its process.

    Its calls outlive a connection: a call that is sent again on a new one joins
    the first, so that work which may run once stays so.
    """

    def __init__(self) -> None:
        self.jobs: dict[int, _Job] = {}
        self.ended: deque[tuple[float, int]] = deque()
        """End and key of the calls whose answers are kept, oldest first."""

        self.running = 0
        """Calls that have not ended."""

        self.heard_ms = float(0)
        self.socket: web.WebSocketResponse | None = None
        self.expiry: asyncio.TimerHandle | None = None

    def attach(self, socket: web.WebSocketResponse) -> None:
        self.socket = socket
        if self.expiry is not None:
            self.expiry.cancel()
            self.expiry = None

    def detach(self, socket: web.WebSocketResponse) -> None:
        if self.socket is not socket:
            return
        self.socket = None
        self.expiry = asyncio.get_running_loop().call_later(
            REATTACH_MS / MS_PER_S, self._stop_repeatable
        )

    def end(self, key: int, now_ms: float) -> None:
        """Keep the answer of a call for a while, and forget old ones."""
        self.running -= 1
        self.ended.append((now_ms, key))
        self.forget_until(now_ms - REMEMBERED_MS)

    def forget_until(self, latest_ms: float) -> None:
        """Forget the answers of calls that ended before a time."""
        while self.ended and self.ended[0][0] < latest_ms:
            _, key = self.ended.popleft()
            self.jobs.pop(key, None)

    @property
    def forgotten(self) -> bool:
        """Return whether it is away and nothing of it runs or is remembered."""
        return self.socket is None and not self.jobs

    def _stop_repeatable(self) -> None:
        for job in self.jobs.values():
            if job.repeatable:
                job.task.cancel()


class RelayServer:
    """Accept the links of other nodes."""

    def __init__(
        self,
        identity: NodeIdentity,
        guard: UpstreamGuard,
        rules: RulesHolder,
        names: WireNames,
        clock: Clock,
        on_nodes: Callable[[NodeNews], None],
    ) -> None:
        """Create a server.

        Args:
            identity: The own node.
            guard: Runs the calls.
            rules: Routing rules that other nodes may ask for.
            names: Header names of the deployment.
            clock: Clock of the node.
            on_nodes: Takes records of nodes.
        """
        self._on_nodes = on_nodes
        self._takers: dict[type, Callable[..., None]] = {
            RelayCall: self._start,
            RelayCancel: self._cancel,
            CrashNews: self._take_crash,
            NodeNews: self._take_nodes,
            RulesRequest: self._answer_rules,
        }
        self._identity = identity
        self._guard = guard
        self._rules = rules
        self._request_id = names.request_id
        self._clock = clock
        self._senders: dict[NodeIdentity, _Sender] = {}
        self._sockets: set[web.WebSocketResponse] = set()
        self._closing: asyncio.Future[bool] | None = None

    @property
    def busy(self) -> bool:
        """Return whether a call of another node has not ended."""
        return any(sender.running for sender in self._senders.values())

    def app(self) -> web.Application:
        """Return the web application of the listener."""
        app = web.Application()
        app.router.add_get(RELAY_PATH, self._accept)
        return app

    def forget_gone(self) -> None:
        """Forget senders that are away and have no calls here."""
        latest_ms = self._clock.now_ms() - REMEMBERED_MS
        for identity, sender in tuple(self._senders.items()):
            sender.forget_until(latest_ms)
            if sender.forgotten:
                self._senders.pop(identity)

    def check(self) -> None:
        """Close the links of nodes that have fallen silent."""
        now_ms = self._clock.now_ms()
        for identity, sender in self._senders.items():
            longest_ms = SENDER_SILENT_MS if sender.running else UNUSED_MS
            if sender.socket is None or now_ms - sender.heard_ms < longest_ms:
                continue
            log.info('Sender silent.', peer=identity.name, running=sender.running)
            self._closing = asyncio.ensure_future(sender.socket.close())
            sender.detach(sender.socket)

    async def close(self) -> None:
        """Close all links."""
        await asyncio.gather(*(socket.close() for socket in tuple(self._sockets)))

    async def _accept(self, request: web.Request) -> web.WebSocketResponse:
        identity = NodeIdentity.from_headers(request.headers)
        if identity is None:
            raise web.HTTPBadRequest(text='the handshake names no node')
        meant = request.headers.get(PEER_HEADER)
        if meant not in {None, self._identity.name}:
            # A second link of the same process would take the answers of the first.
            log.info('Link for another node.', peer=identity.name, meant=meant)
            raise web.HTTPMisdirectedRequest(text='this is another node')
        socket = web.WebSocketResponse(
            timeout=CLOSE_TIMEOUT_S,
            max_msg_size=MAX_FRAME_BYTES,
            compress=False,
            autoping=False,
        )
        socket.headers.update(self._identity.headers())
        await socket.prepare(request)
        sender = self._senders.setdefault(identity, _Sender())
        sender.attach(socket)
        sender.heard_ms = self._clock.now_ms()
        self._sockets.add(socket)
        try:
            await self._serve(sender, socket, identity.name)
        finally:
            self._sockets.discard(socket)
            sender.detach(socket)
        return socket

    async def _serve(
        self, sender: _Sender, socket: web.WebSocketResponse, peer: str
    ) -> None:
        try:
            async for message in socket:
                sender.heard_ms = self._clock.now_ms()
                if message.type is WSMsgType.BINARY:
                    self._take(sender, decode(message.data, peer))
                elif message.type is WSMsgType.PING:
                    start_sending(socket.pong(message.data))
                else:
                    break
        except ConnectionError as error:
            log.info('Link broke.', peer=peer, error=repr(error))
        except GentianmillError as error:
            log.warning('Link closed.', peer=peer, error=str(error))
            await socket.close()

    def _take(self, sender: _Sender, frame: RelayFrame) -> None:
        take = self._takers.get(type(frame))
        if take is not None:
            take(sender, frame)

    def _cancel(self, sender: _Sender, frame: RelayCancel) -> None:
        job = sender.jobs.get(frame.key)
        if job is not None:
            job.task.cancel()

    def _take_crash(self, _sender: _Sender, frame: CrashNews) -> None:
        self._guard.crashes.take_news(frame.digests, frame.cleared)

    def _take_nodes(self, _sender: _Sender, frame: NodeNews) -> None:
        self._on_nodes(frame)

    def _answer_rules(self, sender: _Sender, frame: RulesRequest) -> None:
        if self._rules.version > frame.known_version:
            reply = RulesReply(self._rules.version, self._rules.document)
            asyncio.ensure_future(_send(sender, reply))

    def _start(self, sender: _Sender, frame: RelayCall) -> None:
        known = sender.jobs.get(frame.key)
        if known is None:
            task = asyncio.ensure_future(self._run(sender, frame))
            sender.jobs[frame.key] = _Job(frame.repeatable, task)
            sender.running += 1
        elif known.answer is not None:
            asyncio.ensure_future(_send(sender, known.answer))

    async def _run(self, sender: _Sender, frame: RelayCall) -> None:
        reply = GuardReply.unknown('cancelled')
        arrived_ms = self._clock.now_ms()
        try:
            reply = await self._guard.run(_guard_call(frame, arrived_ms))
        except asyncio.CancelledError:
            log.debug('Call cancelled.', key=frame.key)
        except Exception:
            log.exception('Call failed by a fault in the node.', key=frame.key)
        answer = self._answer(frame, reply, arrived_ms)
        job = sender.jobs[frame.key]
        job.answer = answer
        sender.end(frame.key, self._clock.now_ms())
        await _send(sender, answer)

    def _answer(
        self, frame: RelayCall, reply: GuardReply, arrived_ms: float
    ) -> RelayAnswer:
        answer = reply.answer
        return RelayAnswer(
            key=frame.key,
            outcome=reply.outcome.value,
            status=answer.status if answer else 0,
            headers=self._compact(answer, frame),
            body=answer.body if answer else b'',
            reason=reply.reason,
            framed=answer.framed if answer else True,
            rules_version=self._rules.version,
            load=self._guard.load(frame.route),
            spent_ms=int(self._clock.now_ms() - arrived_ms),
        )

    def _compact(
        self, answer: HttpAnswer | None, frame: RelayCall
    ) -> list[list[bytes]]:
        if answer is None:
            return []
        return compact(answer.headers, frame.headers, self._request_id)


def _guard_call(frame: RelayCall, now_ms: float) -> GuardCall:
    return GuardCall(
        service=frame.service,
        request=HttpRequest(frame.method, frame.target, frame.headers, frame.body),
        deadline_ms=now_ms + frame.time_left_ms,
        rank=frame.rank,
        patience_ms=frame.patience_ms,
        repeatable=frame.repeatable,
        caller_service=frame.caller_service,
        route=frame.route,
        cause=Cause(frame.cause),
    )


async def _send(sender: _Sender, frame: RelayAnswer | RulesReply) -> None:
    if sender.socket is None:
        return
    try:
        await sender.socket.send_bytes(encode(frame))
    except (ConnectionError, RuntimeError) as error:
        log.info('Reply not sent, the link is closed.', error=repr(error))
