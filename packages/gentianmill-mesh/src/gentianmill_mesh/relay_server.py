"""Accepts calls from other nodes for this node's upstream."""

import asyncio
import dataclasses
from collections import deque
from collections.abc import Callable, Mapping
from http import HTTPStatus

from gentianmill.arrivals import Cause
from gentianmill.clock import Clock
from gentianmill.relay_messages import (
    CrashNews,
    FreshnessStatus,
    NodeNews,
    RelayAnswer,
    RelayCall,
    RelayCancel,
    RulesReply,
    RulesRequest,
)
from gentianmill_mesh.frame_handshake import FrameAcceptor, accept_frames
from gentianmill_mesh.frame_socket import FrameReceiver, FrameSocket
from gentianmill_mesh.http_message import HttpResponse, HttpRequest
from gentianmill_mesh.mesh_settings import Address
from gentianmill_mesh.relay_codec import RelayFrame, decode, encode
from gentianmill_mesh.relay_handshake import PEER_HEADER, NodeIdentity
from gentianmill_mesh.rules_holder import RulesHolder
from gentianmill_mesh.guard_call import GuardCall, GuardReply
from gentianmill_mesh.upstream_guard import UpstreamGuard
from gentianmill_mesh.wire_names import WireNames, compact_headers
from gentianmill_node.background import spawn
from gentianmill_node.logs import component
from gentianmill_node.web_server import BACKLOG

SENDER_TIMEOUT_MS = 3000.0
"""Time without frames after which a sender that awaits responses counts as lost: it
pings 0.4 s after the last frame, and a lost packet delays that by 1 s."""

IDLE_SENDER_TIMEOUT_MS = 180_000.0
"""Time without frames after which a sender that awaits nothing counts as lost: it would
have closed the link after 60 s without use."""

REATTACH_TIMEOUT_MS = 1500.0
"""Time that repeatable calls keep running after the link of their sender was lost."""

RESPONSE_RETENTION_MS = 10_000.0
"""Time that a response is kept for a sender that lost its link."""

MS_PER_S = 1000
RELAY_PATH = '/relay'

log = component('relay')


@dataclasses.dataclass(frozen=True, slots=True)
class StateExchange:
    """What nodes tell each other beside calls."""

    on_nodes: Callable[[NodeNews], None]
    """Called with node records of other nodes."""

    on_version: Callable[[str, int], None]
    """Called with a node and the version of its rules if it is newer."""

    status: Callable[[], FreshnessStatus]
    """Returns how recent the rules and records of this node are."""

    news_for: Callable[[int], NodeNews | None]
    """Returns the latest records for a node whose records have another digest."""


class _Job:
    """A call of another node and, once it has ended, its response."""

    __slots__ = ('repeatable', 'response', 'task')

    def __init__(self, repeatable: bool, task: 'asyncio.Task[None]') -> None:
        self.repeatable = repeatable
        self.task = task
        self.response: RelayAnswer | None = None


class _Sender:
    """An incarnation of a node that sends calls.

    Its calls outlive a connection: a call that is resent on a new connection is
    matched with the earlier one, so that a call that may run only once is not run
    again.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.jobs: dict[int, _Job] = {}
        self.ended: deque[tuple[float, int]] = deque()
        """End in ms and key of the calls whose responses are kept, oldest first."""

        self.running = 0
        """Number of calls that have not ended."""

        self.last_received_ms = float(0)
        self.socket: FrameSocket | None = None
        self.expiry: asyncio.TimerHandle | None = None

    def attach(self, socket: FrameSocket) -> None:
        self.socket = socket
        if self.expiry is not None:
            self.expiry.cancel()
            self.expiry = None

    def detach(self, socket: FrameSocket) -> None:
        if self.socket is not socket:
            return
        self.socket = None
        self.expiry = asyncio.get_running_loop().call_later(
            REATTACH_TIMEOUT_MS / MS_PER_S, self._stop_repeatable
        )

    def end(self, key: int, now_ms: float) -> None:
        """Keep the response of a call for a while, and delete old ones."""
        self.running -= 1
        self.ended.append((now_ms, key))
        self.delete_ended_before(now_ms - RESPONSE_RETENTION_MS)

    def delete_ended_before(self, latest_ms: float) -> None:
        """Delete the responses of calls that ended before a time."""
        while self.ended and self.ended[0][0] < latest_ms:
            _, key = self.ended.popleft()
            self.jobs.pop(key, None)

    @property
    def expired(self) -> bool:
        """Return whether the sender is disconnected and has no calls here."""
        return self.socket is None and not self.jobs

    def _stop_repeatable(self) -> None:
        for job in self.jobs.values():
            if job.repeatable:
                job.task.cancel()


class RelayServer(FrameAcceptor):
    """Accept the links of other nodes and run their calls."""

    def __init__(
        self,
        identity: NodeIdentity,
        guard: UpstreamGuard,
        rules: RulesHolder,
        names: WireNames,
        clock: Clock,
        exchange: 'StateExchange',
    ) -> None:
        """Create a server.

        Args:
            identity: Identity of this node.
            guard: Runs the calls.
            rules: Routing rules that other nodes may request.
            names: Header names of the deployment.
            clock: Clock of the node.
            exchange: What nodes tell each other beside calls.
        """
        self._exchange = exchange
        self._handlers: dict[type, Callable[..., None]] = {
            RelayCall: self._start,
            RelayCancel: self._cancel,
            CrashNews: self._on_crash_news,
            NodeNews: self._on_node_news,
            RulesRequest: self._on_rules_request,
        }
        self._identity = identity
        self._guard = guard
        self._rules = rules
        self._request_id = names.request_id
        self._clock = clock
        self._senders: dict[NodeIdentity, _Sender] = {}
        self._sockets: set[FrameSocket] = set()
        self._server: asyncio.Server | None = None

    @property
    def busy(self) -> bool:
        """Return whether a call of another node has not ended."""
        return any(sender.running for sender in self._senders.values())

    @property
    def response_headers(self) -> Mapping[str, str]:
        """Return the headers that identify this node."""
        return self._identity.headers()

    async def listen(self, address: Address) -> None:
        """Accept connections.

        Raises:
            OSError: If the address can't be used.
        """
        self._server = await asyncio.get_running_loop().create_server(
            lambda: accept_frames(RELAY_PATH, self),
            address.host,
            address.port,
            backlog=BACKLOG,
        )

    def refusal(self, headers: Mapping[str, str]) -> HTTPStatus | None:
        """Return the status with which a handshake is refused, or None."""
        identity = NodeIdentity.from_headers(headers)
        if identity is None:
            log.info('Link without a node.')
            return HTTPStatus.BAD_REQUEST
        intended = headers.get(PEER_HEADER)
        if intended not in {None, self._identity.name}:
            # A second link of the same process would receive the responses of the first.
            log.info('Link for another node.', peer=identity.name, meant=intended)
            return HTTPStatus.MISDIRECTED_REQUEST
        return None

    def receiver(self, headers: Mapping[str, str]) -> '_SenderLink':
        """Return the receiver of a connection that is accepted.

        Raises:
            ValueError: If the handshake names no node.
        """
        identity = NodeIdentity.from_headers(headers)
        if identity is None:
            raise ValueError('the handshake names no node')
        sender = self._senders.setdefault(identity, _Sender(identity.name))
        return _SenderLink(sender, self._clock, self._handle, self._on_closed)

    def opened(self, receiver: FrameReceiver, socket: FrameSocket) -> None:
        """Use a connection that was accepted."""
        if isinstance(receiver, _SenderLink):
            receiver.open(socket)
            self._sockets.add(socket)

    def forget_departed_senders(self) -> None:
        """Forget senders that are disconnected and have no calls here."""
        latest_ms = self._clock.now_ms() - RESPONSE_RETENTION_MS
        for identity, sender in tuple(self._senders.items()):
            sender.delete_ended_before(latest_ms)
            if sender.expired:
                self._senders.pop(identity)

    def check(self) -> None:
        """Close the links of unresponsive nodes."""
        now_ms = self._clock.now_ms()
        for identity, sender in self._senders.items():
            timeout_ms = SENDER_TIMEOUT_MS if sender.running else IDLE_SENDER_TIMEOUT_MS
            if sender.socket is None or now_ms - sender.last_received_ms < timeout_ms:
                continue
            log.info('Sender silent.', peer=identity.name, running=sender.running)
            silent = sender.socket
            sender.detach(silent)
            silent.abort()

    def close(self) -> None:
        """Close all links, and accept no more."""
        if self._server is not None:
            self._server.close()
        for socket in tuple(self._sockets):
            socket.close()

    def _on_closed(self, sender: _Sender, socket: FrameSocket | None) -> None:
        if socket is not None:
            self._sockets.discard(socket)
            sender.detach(socket)

    def _handle(self, sender: _Sender, frame: RelayFrame) -> None:
        handle = self._handlers.get(type(frame))
        if handle is not None:
            handle(sender, frame)

    def _cancel(self, sender: _Sender, frame: RelayCancel) -> None:
        job = sender.jobs.get(frame.key)
        if job is not None:
            job.task.cancel()

    def _on_crash_news(self, _sender: _Sender, frame: CrashNews) -> None:
        self._guard.crashes.apply_update(frame.digests, frame.cleared)

    def _on_node_news(self, _sender: _Sender, frame: NodeNews) -> None:
        self._exchange.on_nodes(frame)

    def _on_rules_request(self, sender: _Sender, frame: RulesRequest) -> None:
        if frame.known_version > self._rules.version:
            self._exchange.on_version(sender.name, frame.known_version)
        elif frame.known_version < self._rules.version:
            reply = RulesReply(self._rules.version, self._rules.document)
            _send(sender, reply)
        if frame.wants_status:
            news = self._exchange.news_for(frame.nodes_digest)
            if news is not None:
                _send(sender, news)
            _send(sender, self._exchange.status())

    def _start(self, sender: _Sender, frame: RelayCall) -> None:
        known = sender.jobs.get(frame.key)
        if known is None:
            task = spawn(self._run(sender, frame), 'run call')
            sender.jobs[frame.key] = _Job(frame.repeatable, task)
            sender.running += 1
        elif known.response is not None:
            _send(sender, known.response)

    async def _run(self, sender: _Sender, frame: RelayCall) -> None:
        reply = GuardReply.unknown('cancelled')
        arrived_ms = self._clock.now_ms()
        try:
            reply = await self._guard.run(_guard_call(frame, arrived_ms))
        except asyncio.CancelledError:
            log.debug('Call cancelled.', key=frame.key)
        except Exception:
            log.exception('Call failed with an internal error.', key=frame.key)
        response = self._relay_answer(frame, reply, arrived_ms)
        job = sender.jobs[frame.key]
        job.response = response
        sender.end(frame.key, self._clock.now_ms())
        _send(sender, response)

    def _relay_answer(
        self, frame: RelayCall, reply: GuardReply, arrived_ms: float
    ) -> RelayAnswer:
        response = reply.response
        status = self._exchange.status()
        return RelayAnswer(
            key=frame.key,
            outcome=reply.outcome.value,
            status=response.status if response else 0,
            headers=self._compact(response, frame),
            body=response.body if response else b'',
            reason=reply.reason,
            framed=response.framed if response else True,
            rules_version=status.rules_version,
            load=self._guard.load(frame.route),
            spent_ms=int(self._clock.now_ms() - arrived_ms),
            rules_age_ms=status.rules_age_ms,
            nodes_digest=status.nodes_digest,
            nodes_age_ms=status.nodes_age_ms,
        )

    def _compact(
        self, response: HttpResponse | None, frame: RelayCall
    ) -> list[list[bytes]]:
        if response is None:
            return []
        return compact_headers(response.headers, frame.headers, self._request_id)


def _guard_call(frame: RelayCall, now_ms: float) -> GuardCall:
    return GuardCall(
        service=frame.service,
        request=HttpRequest(frame.method, frame.target, frame.headers, frame.body),
        deadline_ms=now_ms + frame.time_left_ms,
        rank=frame.rank,
        max_wait_ms=frame.patience_ms,
        repeatable=frame.repeatable,
        caller_service=frame.caller_service,
        route=frame.route,
        cause=Cause(frame.cause),
    )


class _SenderLink(FrameReceiver):
    """The connection of a sender."""

    def __init__(
        self,
        sender: _Sender,
        clock: Clock,
        handle: Callable[[_Sender, RelayFrame], None],
        on_closed: Callable[[_Sender, FrameSocket | None], None],
    ) -> None:
        self._sender = sender
        self._clock = clock
        self._handle = handle
        self._on_closed = on_closed
        self._socket: FrameSocket | None = None

    def open(self, socket: FrameSocket) -> None:
        """Use a connection after its handshake."""
        self._socket = socket
        self._sender.attach(socket)
        self.on_received()

    def on_received(self) -> None:
        """Record a sign of life."""
        self._sender.last_received_ms = self._clock.now_ms()

    def on_message(self, message: bytes) -> None:
        """Handle a frame of the sender."""
        self._handle(self._sender, decode(message, self._sender.name))

    def on_pong(self, key: bytes) -> None:
        """Do nothing, as this side does not ping."""

    def on_closed(self) -> None:
        """Report the end of the connection."""
        self._on_closed(self._sender, self._socket)


def _send(
    sender: _Sender, frame: RelayAnswer | RulesReply | FreshnessStatus | NodeNews
) -> None:
    if sender.socket is None:
        return
    try:
        sender.socket.send(encode(frame))
    except ConnectionError as error:
        log.info('Reply not sent, the link is closed.', error=repr(error))
