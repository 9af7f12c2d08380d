"""The connection to another node: opened on demand, and reopened when it is lost."""

import abc
import asyncio
import dataclasses
import itertools
import math
from collections.abc import Callable, Iterator
from types import MappingProxyType

from gentianmill.byte_budget import ByteBudget
from gentianmill.clock import Clock
from gentianmill.node_table import NodeRecord
from gentianmill.relay_messages import (
    FreshnessStatus,
    KnownState,
    NodeNews,
    QuotaGrant,
    QuotaRequest,
    StateRequest,
    StrikeNews,
)
from gentianmill_mesh.frame_handshake import open_frames
from gentianmill_mesh.frame_socket import FrameReceiver, FrameSocket
from gentianmill_mesh.relay_codec import RelayFrame, encode
from gentianmill_mesh.relay_handshake import (
    PARTS_PROTOCOL,
    PEER_HEADER,
    PROTOCOL,
    QUOTA_PROTOCOL,
    NodeIdentity,
    protocol_of,
)
from gentianmill_mesh.relay_server import RELAY_PATH
from gentianmill_mesh.link_liveness import LinkLiveness
from gentianmill_mesh.wire_names import WireNames
from gentianmill_mesh.time_limit import within
from gentianmill_node.background import spawn
from gentianmill_node.logs import component

CONNECT_TIMEOUT_S = 1.0
"""Two round trips between regions take 120 ms; a lost packet adds up to 1 s."""

CONFIRM_TIMEOUT_S = 1.0
"""Time for the pong that confirms earlier frames; a lost packet delays it by 0.3 s."""

FIRST_RECONNECT_PAUSE_S = 0.25
MAX_RECONNECT_PAUSE_S = 2.0
"""Pause between attempts to connect, doubled up to this limit. Each attempt costs a
packet; a node that has recovered gets its first call only after the pause."""

IDLE_MS = 60_000.0
"""A link without frames for this long is closed, which limits the memory for links at
the design size. An idle link costs no traffic, but the bytes of each handshake between
regions cost money; closing after 10 s cost more bytes than it saved."""

FIRST_PROTOCOLS = MappingProxyType(
    {
        KnownState: PARTS_PROTOCOL,
        StateRequest: PARTS_PROTOCOL,
        StrikeNews: PARTS_PROTOCOL,
        QuotaRequest: QUOTA_PROTOCOL,
    }
)
"""First protocol with a frame; nodes of older ones would close the link."""

MS_PER_S = 1000

log = component('relay')


@dataclasses.dataclass(slots=True)
class RelayContext:
    """State that all links of a node share."""

    identity: NodeIdentity
    clock: Clock
    keys: Iterator[int]
    names: WireNames
    on_version: Callable[[NodeRecord, int], None]
    on_rules: Callable[[bytes, str], object]
    on_status: Callable[[FreshnessStatus, float], None]
    on_nodes: Callable[[NodeNews], None]
    budget: ByteBudget
    on_state: Callable[[KnownState], None]
    state_of: Callable[[StateRequest], KnownState]
    on_quota_grant: Callable[[str, QuotaGrant], None]


class ConnectionListener(abc.ABC):
    """Receives the events of a connection."""

    @property
    @abc.abstractmethod
    def busy(self) -> bool:
        """Return whether responses are pending."""

    @property
    @abc.abstractmethod
    def ahead_bytes(self) -> int:
        """Return an upper bound of the bytes that the network may still carry."""

    @abc.abstractmethod
    def on_writable(self) -> None:
        """Handle that the connection takes more bytes again."""

    @abc.abstractmethod
    def on_message(self, message: bytes) -> None:
        """Handle a message.

        Raises:
            GentianmillError: If it is not a valid frame; the connection is closed.
        """

    @abc.abstractmethod
    def on_peer_restarted(self) -> None:
        """Handle a connection to a different process than the last one."""

    @abc.abstractmethod
    async def on_connection_lost(self) -> None:
        """Handle the loss of the connection."""


class RelayConnection:
    """Connect to another node and keep trying while it is unreachable."""

    def __init__(
        self, record: NodeRecord, context: RelayContext, listener: ConnectionListener
    ) -> None:
        """Create a connection that is not open.

        Args:
            record: The other node.
            context: State that all links share.
            listener: Receives messages and losses.
        """
        self._record = record
        self._context = context
        self._listener = listener
        self._channel: _Channel | None = None
        self._peer: NodeIdentity | None = None
        self._protocol = PROTOCOL
        self._closed = False
        self._opening: asyncio.Task[None] | None = None
        self._reconnecting: asyncio.Task[None] | None = None
        self._recovery: asyncio.Future[None] | None = None
        self._last_used_ms = -math.inf

    @property
    def connected(self) -> bool:
        """Return whether frames can be sent."""
        return self._channel is not None and not self._channel.closed

    @property
    def writable(self) -> bool:
        """Return whether large messages may be sent now."""
        return self._channel is not None and self._channel.writable

    @property
    def takes_parts(self) -> bool:
        """Return whether the other node takes bodies in parts."""
        return self._protocol >= PARTS_PROTOCOL

    @property
    def closed(self) -> bool:
        """Return whether ``close`` was called."""
        return self._closed

    @property
    def unreachable(self) -> bool:
        """Return whether the last attempts to connect failed; further ones are made."""
        return self._reconnecting is not None and not self._reconnecting.done()

    def send(self, frame: RelayFrame) -> bool:
        """Send a frame if the connection is open, and return whether it is."""
        channel = self._channel
        if channel is None:
            return False
        if self._protocol < _protocol_of_frame(frame):
            return False
        self._last_used_ms = self._context.clock.now_ms()
        channel.send(encode(frame))
        return True

    async def confirm(self) -> bool:
        """Return whether all frames so far arrived; drop a connection that is silent."""
        channel = self._channel
        if channel is None:
            return False
        if await channel.confirm():
            return True
        self._drop(channel)
        return False

    async def connect(self) -> bool:
        """Connect, or join an attempt that is in progress; return whether it succeeded."""
        if self._opening is None or self._opening.done():
            self._opening = asyncio.ensure_future(self._open())
        try:
            await asyncio.shield(self._opening)
        except (OSError, TimeoutError) as error:
            self._start_reconnecting(error)
            return False
        return self.connected

    async def close(self) -> None:
        """Close the connection permanently."""
        self._closed = True
        for task in (self._opening, self._reconnecting, self._recovery):
            if task is not None:
                task.cancel()
        if self._channel is not None:
            self._channel.close()

    def _start_reconnecting(self, error: Exception) -> None:
        if self.unreachable or self._closed:
            return
        log.info('No link.', peer=self._record.name, error=repr(error))
        self._reconnecting = spawn(self._reconnect(), 'reconnect')

    async def _reconnect(self) -> None:
        """Retry until the other node accepts, so that no call is delayed by attempts."""
        pause_s = FIRST_RECONNECT_PAUSE_S
        while not self._closed:
            await asyncio.sleep(pause_s)
            if await self.connect():
                log.info('Link regained.', peer=self._record.name)
                return
            pause_s = min(pause_s * 2, MAX_RECONNECT_PAUSE_S)

    async def _open(self) -> None:
        if self.connected:
            return
        channel = _Channel(
            self._context.clock, self._listener, self._drop, self._on_lost
        )
        opening = open_frames(
            self._record.host,
            self._record.relay_port,
            RELAY_PATH,
            self._context.identity.headers() | {PEER_HEADER: self._record.name},
            channel,
        )
        socket, headers = await within(opening, CONNECT_TIMEOUT_S)
        channel.open(socket)
        peer = NodeIdentity.from_headers(headers)
        self._protocol = protocol_of(headers)
        if peer != self._peer:
            self._listener.on_peer_restarted()
        self._peer = peer
        self._channel = channel
        self._last_used_ms = self._context.clock.now_ms()
        self._close_later(channel, IDLE_MS)

    def _on_lost(self, channel: '_Channel') -> None:
        if self._channel is channel:
            self._channel = None
            self._recover()

    def _drop(self, channel: '_Channel') -> None:
        """Drop a connection whose peer is unresponsive."""
        if self._channel is not channel or self._closed:
            return
        log.info('Link silent.', peer=self._record.name)
        self._channel = None
        channel.abort()
        self._recover()

    def _recover(self) -> None:
        if not self._closed:
            self._recovery = spawn(self._listener.on_connection_lost(), 'recover link')

    def _close_later(self, channel: '_Channel', pause_ms: float) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(pause_ms / MS_PER_S, self._close_if_idle, channel)

    def _close_if_idle(self, channel: '_Channel') -> None:
        """Close a connection that is idle; the next call opens another."""
        if self._channel is not channel:
            return
        idle_ms = self._context.clock.now_ms() - self._last_used_ms
        if self._listener.busy or idle_ms < IDLE_MS:
            self._close_later(channel, max(IDLE_MS - idle_ms, IDLE_MS / 2))
            return
        self._channel = None
        channel.close()


class _Channel(FrameReceiver):
    """One open connection, and the watch for its silence."""

    def __init__(
        self,
        clock: Clock,
        listener: ConnectionListener,
        on_silent: Callable[['_Channel'], None],
        on_lost: Callable[['_Channel'], None],
    ) -> None:
        self._listener = listener
        self._on_lost = on_lost
        self._socket: FrameSocket | None = None
        self._pongs: dict[bytes, asyncio.Future[None]] = {}
        self._ping_keys = itertools.count(1)
        self._watch = LinkLiveness(
            clock,
            lambda: not self.closed and listener.busy,
            self._ping,
            lambda: on_silent(self),
            lambda: listener.ahead_bytes,
        )

    @property
    def closed(self) -> bool:
        """Return whether nothing can be sent."""
        return self._socket is None or self._socket.closed

    @property
    def writable(self) -> bool:
        """Return whether large messages may be sent now."""
        return self._socket is not None and self._socket.writable

    def open(self, socket: FrameSocket) -> None:
        """Use a connection after its handshake."""
        self._socket = socket

    def send(self, message: bytes) -> None:
        """Send a message; if the connection broke, its loss is handled elsewhere."""
        self._attempt(lambda socket: socket.send(message))
        self._watch.on_sent()

    async def confirm(self) -> bool:
        """Return whether the peer responds to a ping, and thus got all before it."""
        key = b'%d' % next(self._ping_keys)
        self._pongs[key] = asyncio.get_running_loop().create_future()
        self._ping(key)
        try:
            await within(self._pongs[key], CONFIRM_TIMEOUT_S)
        except TimeoutError:
            # The caller drops the connection, which is logged.
            return False
        finally:
            self._pongs.pop(key, None)
        return True

    def close(self) -> None:
        """Close the connection when all messages were sent."""
        self._watch.stop()
        if self._socket is not None:
            self._socket.close()

    def abort(self) -> None:
        """Close the connection immediately."""
        self._watch.stop()
        if self._socket is not None:
            self._socket.abort()

    def on_received(self) -> None:
        """Record a sign of life."""
        self._watch.on_received()

    def on_message(self, message: bytes) -> None:
        """Pass a message on."""
        self._listener.on_message(message)

    def on_pong(self, key: bytes) -> None:
        """End the wait for a pong."""
        confirmed = self._pongs.get(key)
        if confirmed is not None and not confirmed.done():
            confirmed.set_result(None)

    def on_writable(self) -> None:
        """Report that more bytes may be sent."""
        self._listener.on_writable()

    def on_closed(self) -> None:
        """Report the end of the connection."""
        self._watch.stop()
        self._on_lost(self)

    def _ping(self, key: bytes = b'') -> None:
        self._attempt(lambda socket: socket.ping(key))

    def _attempt(self, action: Callable[[FrameSocket], None]) -> None:
        if self._socket is None:
            return
        try:
            action(self._socket)
        except ConnectionError as error:
            # The end of the connection is reported, too, which handles the loss.
            log.info('Link broke.', error=repr(error))


def _protocol_of_frame(frame: RelayFrame) -> int:
    return FIRST_PROTOCOLS.get(type(frame), 1)
