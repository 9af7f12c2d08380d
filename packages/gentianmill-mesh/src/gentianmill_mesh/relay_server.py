"""Accepts calls from other nodes for this node's upstream."""

import asyncio
import dataclasses
from collections.abc import Callable, Mapping
from http import HTTPStatus

from gentianmill.arrivals import Cause
from gentianmill.clock import Clock
from gentianmill.relay_messages import (
    CrashNews,
    FreshnessStatus,
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
from gentianmill_mesh.frame_handshake import FrameAcceptor, accept_frames
from gentianmill_mesh.frame_socket import FrameReceiver, FrameSocket
from gentianmill_mesh.http_message import HttpResponse, HttpRequest
from gentianmill_mesh.mesh_settings import Address
from gentianmill_mesh.relay_codec import RelayFrame, decode, encode
from gentianmill_mesh.relay_handshake import (
    PEER_HEADER,
    PROTOCOL,
    NodeIdentity,
    protocol_of,
)
from gentianmill_mesh.relay_sender import RelayJob, RelaySender
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

    on_state: Callable[[KnownState], None]
    """Called with what another node knows about the guard of a node."""

    state_of: Callable[[StateRequest], KnownState]
    """Returns what this node knows about the guard of another one."""

    on_strikes: Callable[[StrikeNews], None]
    """Called with requests that were lost in crashes."""

    on_uncounted_crash: Callable[[CrashNews], None]
    """Called with such requests by nodes of protocol 1."""

    wanted_state: Callable[[], StateRequest | None]
    """Returns what to ask a node that connects, or None."""


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
            CrashNews: lambda _sender, news: exchange.on_uncounted_crash(news),
            StrikeNews: lambda _sender, news: exchange.on_strikes(news),
            NodeNews: lambda _sender, news: exchange.on_nodes(news),
            RulesRequest: self._on_rules_request,
            StateRequest: lambda sender, asked: _send(sender, exchange.state_of(asked)),
            KnownState: lambda _sender, state: exchange.on_state(state),
        }
        self._identity = identity
        self._guard = guard
        self._rules = rules
        self._request_id = names.request_id
        self._clock = clock
        self._senders: dict[NodeIdentity, RelaySender] = {}
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
        sender = self._senders.setdefault(identity, RelaySender(identity.name))
        sender.protocol = protocol_of(headers)
        return _SenderLink(sender, self._clock, self._handle, self._on_closed)

    def opened(self, receiver: FrameReceiver, socket: FrameSocket) -> None:
        """Use a connection that was accepted."""
        if isinstance(receiver, _SenderLink):
            receiver.open(socket)
            self._sockets.add(socket)
            wanted = self._exchange.wanted_state()
            if wanted is not None and receiver.sender.protocol >= PROTOCOL:
                _send(receiver.sender, wanted)

    def forget_departed_senders(self) -> None:
        """Forget senders that are disconnected and whose calls are forgotten."""
        now_ms = self._clock.now_ms()
        for identity, sender in tuple(self._senders.items()):
            if sender.is_departed(now_ms):
                self._senders.pop(identity)

    def check(self) -> None:
        """Close the links of unresponsive nodes, and forget what is not needed."""
        now_ms = self._clock.now_ms()
        for identity, sender in self._senders.items():
            sender.forget_expired(now_ms)
            timeout_ms = SENDER_TIMEOUT_MS if sender.running else IDLE_SENDER_TIMEOUT_MS
            if sender.socket is None or now_ms - sender.last_received_ms < timeout_ms:
                continue
            log.info('Sender silent.', peer=identity.name, running=sender.running)
            silent = sender.socket
            sender.detach(silent, now_ms)
            silent.abort()

    def close(self) -> None:
        """Close all links, and accept no more."""
        if self._server is not None:
            self._server.close()
        for socket in tuple(self._sockets):
            socket.close()

    def _on_closed(self, sender: RelaySender, socket: FrameSocket | None) -> None:
        if socket is not None:
            self._sockets.discard(socket)
            sender.detach(socket, self._clock.now_ms())

    def _handle(self, sender: RelaySender, frame: RelayFrame) -> None:
        handle = self._handlers.get(type(frame))
        if handle is not None:
            handle(sender, frame)

    def _cancel(self, sender: RelaySender, frame: RelayCancel) -> None:
        job = sender.calls.find(frame.key)
        if job is not None and job.task is not None:
            job.task.cancel()

    def _on_rules_request(self, sender: RelaySender, frame: RulesRequest) -> None:
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

    def _start(self, sender: RelaySender, frame: RelayCall) -> None:
        known = sender.calls.find(frame.key)
        if known is not None:
            if known.answer is not None:
                _send(sender, known.answer)
            return
        arrived_ms = self._clock.now_ms()
        if sender.calls.may_be_forgotten(frame.key):
            log.warning('Forgotten call not run.', peer=sender.name, key=frame.key)
            reply = GuardReply.unknown('forgotten')
            _send(sender, self._relay_answer(frame, reply, arrived_ms))
            return
        job = RelayJob(frame.key, frame.repeatable, arrived_ms + frame.time_left_ms)
        sender.begin(job)
        job.task = spawn(self._run(sender, job, frame, arrived_ms), 'run call')
        # A task that is cancelled before its first step never runs.
        job.task.add_done_callback(lambda _: self._end(sender, job, frame, arrived_ms))

    async def _run(
        self, sender: RelaySender, job: RelayJob, frame: RelayCall, arrived_ms: float
    ) -> None:
        try:
            job.reply = await self._guard.run(_guard_call(frame, arrived_ms))
        except asyncio.CancelledError:
            log.debug('Call cancelled.', key=frame.key)
        except Exception:
            log.exception('Call failed with an internal error.', key=frame.key)
        self._end(sender, job, frame, arrived_ms)

    def _end(
        self, sender: RelaySender, job: RelayJob, frame: RelayCall, arrived_ms: float
    ) -> None:
        if job.answer is not None:
            return
        reply = job.reply or GuardReply.unknown('cancelled')
        job.answer = self._relay_answer(frame, reply, arrived_ms)
        sender.end(job, self._clock.now_ms())
        _send(sender, job.answer)

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
        sender: RelaySender,
        clock: Clock,
        handle: Callable[[RelaySender, RelayFrame], None],
        on_closed: Callable[[RelaySender, FrameSocket | None], None],
    ) -> None:
        self._sender = sender
        self._clock = clock
        self._handle = handle
        self._on_closed = on_closed
        self._socket: FrameSocket | None = None

    @property
    def sender(self) -> RelaySender:
        """Return the sender."""
        return self._sender

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


def _send(sender: RelaySender, frame: RelayFrame) -> None:
    if sender.socket is None:
        return
    try:
        sender.socket.send(encode(frame))
    except ConnectionError as error:
        log.info('Reply not sent, the link is closed.', error=repr(error))
