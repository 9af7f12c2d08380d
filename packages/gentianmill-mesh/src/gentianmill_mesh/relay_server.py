"""Accepts calls from other nodes for this node's upstream."""

import asyncio
import dataclasses
from collections.abc import Callable, Mapping
from http import HTTPStatus

from gentianmill.byte_budget import ByteBudget
from gentianmill.clock import Clock
from gentianmill.relay_messages import (
    CrashNews,
    FreshnessStatus,
    KnownState,
    NodeNews,
    QuotaRequest,
    RelayCall,
    RelayCancel,
    RelayCredit,
    RelayPart,
    RulesReply,
    RulesRequest,
    StateRequest,
    StrikeNews,
)
from gentianmill_mesh.call_intake import CallIntake
from gentianmill_mesh.frame_handshake import FrameAcceptor, accept_frames
from gentianmill_mesh.frame_socket import FrameReceiver, FrameSocket
from gentianmill_mesh.mesh_settings import Address
from gentianmill_mesh.relay_codec import RelayFrame, decode
from gentianmill_mesh.relay_handshake import (
    PEER_HEADER,
    PARTS_PROTOCOL,
    NodeIdentity,
    protocol_of,
)
from gentianmill_mesh.relay_sender import RelaySender
from gentianmill_mesh.rules_holder import RulesHolder
from gentianmill_mesh.upstream_guard import UpstreamGuard
from gentianmill_mesh.wire_names import WireNames
from gentianmill_node.listen_socket import BACKLOG, open_listen_socket
from gentianmill_node.logs import component

SENDER_TIMEOUT_MS = 3000.0
"""Time without frames after which a sender that awaits responses counts as lost: it
pings 0.4 s after the last frame, and a lost packet delays that by 1 s."""

IDLE_SENDER_TIMEOUT_MS = 180_000.0
"""Time without frames after which a sender that awaits nothing counts as lost: it would
have closed the link after 60 s without use."""

FINISH_TIMEOUT_S = 0.2
"""Time for other nodes to close their links at a stop: three round trips between
regions; a silent node must not hold it up."""

FINISH_POLL_S = 0.005

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

    on_quota_request: Callable[[RelaySender, QuotaRequest], None]
    """Called with a request for tokens and its sender, which is sent the answer."""


class RelayServer(FrameAcceptor):
    """Accept the links of other nodes and run their calls."""

    def __init__(
        self,
        identity: NodeIdentity,
        guard: UpstreamGuard,
        rules: RulesHolder,
        names: WireNames,
        budget: ByteBudget,
        clock: Clock,
        exchange: 'StateExchange',
    ) -> None:
        """Create a server.

        Args:
            identity: Identity of this node.
            guard: Runs the calls.
            rules: Routing rules that other nodes may request.
            names: Header names of the deployment.
            budget: Limits what the node holds.
            clock: Clock of the node.
            exchange: What nodes tell each other beside calls.
        """
        self._exchange = exchange
        calls = CallIntake(guard, names, exchange.status, budget, clock)
        self._handlers: dict[type, Callable[..., None]] = {
            RelayCall: calls.start,
            RelayCancel: calls.cancel,
            RelayPart: calls.add_part,
            RelayCredit: calls.credit,
            CrashNews: lambda _sender, news: exchange.on_uncounted_crash(news),
            StrikeNews: lambda _sender, news: exchange.on_strikes(news),
            NodeNews: lambda _sender, news: exchange.on_nodes(news),
            RulesRequest: self._on_rules_request,
            StateRequest: lambda sender, asked: sender.send(exchange.state_of(asked)),
            KnownState: lambda _sender, state: exchange.on_state(state),
            QuotaRequest: exchange.on_quota_request,
        }
        self._identity = identity
        self._calls = calls
        self._budget = budget
        self._rules = rules
        self._clock = clock
        self._senders: dict[NodeIdentity, RelaySender] = {}
        self._sockets: set[FrameSocket] = set()
        self._server: asyncio.Server | None = None

    @property
    def busy(self) -> bool:
        """Return whether another node waits for an answer, or for bytes of one."""
        now_ms = self._clock.now_ms()
        is_sending = any(socket.is_sending for socket in self._sockets)
        return is_sending or any(
            sender.is_busy(now_ms) for sender in self._senders.values()
        )

    @property
    def response_headers(self) -> Mapping[str, str]:
        """Return the headers that identify this node."""
        return self._identity.headers()

    async def listen(self, address: Address) -> None:
        """Accept connections, once the address is free.

        Raises:
            OSError: If the address can't be used, and that will not change.
        """
        listening = await open_listen_socket('relay', address.host, address.port)
        self._server = await asyncio.get_running_loop().create_server(
            lambda: accept_frames(RELAY_PATH, self), sock=listening, backlog=BACKLOG
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
        sender = self._senders.get(identity)
        if sender is None:
            sender = RelaySender(identity.name, self._calls.lose_upload)
            sender.incarnation = identity.incarnation
            self._senders[identity] = sender
        sender.protocol = protocol_of(headers)
        return _SenderLink(sender, self._clock, self._handle, self._on_closed)

    def opened(self, receiver: FrameReceiver, socket: FrameSocket) -> None:
        """Use a connection that was accepted."""
        if isinstance(receiver, _SenderLink):
            receiver.open(socket)
            self._sockets.add(socket)
            wanted = self._exchange.wanted_state()
            if wanted is not None and receiver.sender.protocol >= PARTS_PROTOCOL:
                receiver.sender.send(wanted)

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
            if self._budget.is_scarce:
                sender.shed_answers()
            is_busy = sender.is_busy(now_ms)
            timeout_ms = SENDER_TIMEOUT_MS if is_busy else IDLE_SENDER_TIMEOUT_MS
            if sender.socket is None or now_ms - sender.last_received_ms < timeout_ms:
                continue
            log.info('Sender silent.', peer=identity.name, running=sender.running)
            silent = sender.socket
            sender.detach(silent, now_ms)
            silent.abort()

    async def finish(self) -> None:
        """Accept no more links, and let the other nodes close those that are open."""
        if self._server is not None:
            self._server.close()
        for socket in tuple(self._sockets):
            socket.finish()
        loop = asyncio.get_running_loop()
        end_s = loop.time() + FINISH_TIMEOUT_S
        while self._sockets and loop.time() < end_s:
            await asyncio.sleep(FINISH_POLL_S)

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

    def _on_rules_request(self, sender: RelaySender, frame: RulesRequest) -> None:
        if frame.known_version > self._rules.version:
            self._exchange.on_version(sender.name, frame.known_version)
        elif frame.known_version < self._rules.version:
            reply = RulesReply(self._rules.version, self._rules.document)
            sender.send(reply)
        if frame.wants_status:
            news = self._exchange.news_for(frame.nodes_digest)
            if news is not None:
                sender.send(news)
            sender.send(self._exchange.status())


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

    def on_writable(self) -> None:
        """Send on what waited for a slow connection."""
        self._sender.parts.pump()

    def on_closed(self) -> None:
        """Report the end of the connection."""
        self._on_closed(self._sender, self._socket)
