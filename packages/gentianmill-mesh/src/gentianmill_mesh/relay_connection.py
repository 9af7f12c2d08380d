"""The connection to another node: opened on demand, and reopened when it is lost."""

import abc
import asyncio
import contextlib
import dataclasses
import itertools
import math
from collections.abc import Callable, Coroutine, Iterator

import aiohttp

from gentianmill.clock import Clock
from gentianmill.errors import GentianmillError
from gentianmill.node_table import NodeRecord
from gentianmill_mesh.relay_codec import RelayFrame, encode
from gentianmill_mesh.relay_handshake import PEER_HEADER, NodeIdentity
from gentianmill_mesh.relay_server import (
    CLOSE_TIMEOUT_S,
    MAX_FRAME_BYTES,
    RELAY_PATH,
)
from gentianmill_mesh.send_now import start_sending
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

MS_PER_S = 1000

log = component('relay')


@dataclasses.dataclass(slots=True)
class RelayContext:
    """State that all links of a node share."""

    identity: NodeIdentity
    session: aiohttp.ClientSession
    clock: Clock
    keys: Iterator[int]
    names: WireNames
    on_version: Callable[[NodeRecord, int], None]
    on_rules: Callable[[bytes, str], object]


class ConnectionListener(abc.ABC):
    """Receives the events of a connection."""

    @property
    @abc.abstractmethod
    def busy(self) -> bool:
        """Return whether responses are pending."""

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
        self._socket: aiohttp.ClientWebSocketResponse | None = None
        self._peer: NodeIdentity | None = None
        self._closed = False
        self._opening: asyncio.Task[None] | None = None
        self._reader: asyncio.Task[None] | None = None
        self._reconnecting: asyncio.Task[None] | None = None
        self._closing: asyncio.Future[None] | None = None
        self._recovery: asyncio.Future[None] | None = None
        self._watch: LinkLiveness | None = None
        self._pongs: dict[bytes, asyncio.Future[None]] = {}
        self._ping_keys = itertools.count(1)
        self._last_used_ms = -math.inf

    @property
    def connected(self) -> bool:
        """Return whether frames can be sent."""
        return self._socket is not None and not self._socket.closed

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
        socket = self._socket
        if socket is None:
            return False
        self._last_used_ms = self._context.clock.now_ms()
        self._write(socket.send_bytes(encode(frame)))
        if self._watch is not None:
            self._watch.on_sent()
        return True

    async def confirm(self) -> bool:
        """Return whether all frames so far arrived; drop a connection that is silent."""
        socket = self._socket
        if socket is None:
            return False
        key = b'%d' % next(self._ping_keys)
        self._pongs[key] = asyncio.get_running_loop().create_future()
        self._write(socket.ping(key))
        try:
            await within(self._pongs[key], CONFIRM_TIMEOUT_S)
        except TimeoutError:
            self._drop(socket)
            return False
        finally:
            self._pongs.pop(key, None)
        return True

    async def connect(self) -> bool:
        """Connect, or join an attempt that is in progress; return whether it succeeded."""
        if self._opening is None or self._opening.done():
            self._opening = asyncio.ensure_future(self._open())
        try:
            await asyncio.shield(self._opening)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            self._start_reconnecting(error)
            return False
        return self.connected

    async def close(self) -> None:
        """Close the connection permanently."""
        self._closed = True
        for task in (self._opening, self._reader, self._reconnecting, self._recovery):
            if task is not None:
                task.cancel()
        if self._watch is not None:
            self._watch.stop()
        if self._socket is not None:
            await _close(self._socket)

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
        url = f'http://{self._record.host}:{self._record.relay_port}{RELAY_PATH}'
        connecting = self._context.session.ws_connect(
            url,
            headers=self._context.identity.headers() | {PEER_HEADER: self._record.name},
            max_msg_size=MAX_FRAME_BYTES,
            compress=0,
            autoping=False,
            timeout=aiohttp.ClientWSTimeout(ws_close=CLOSE_TIMEOUT_S),
        )
        socket = await within(connecting, CONNECT_TIMEOUT_S)
        peer = NodeIdentity.from_headers(socket._response.headers)  # noqa: SLF001
        if peer != self._peer:
            self._listener.on_peer_restarted()
        self._peer = peer
        self._socket = socket
        self._last_used_ms = self._context.clock.now_ms()
        self._watch = LinkLiveness(
            self._context.clock,
            lambda: self._socket is socket and self._listener.busy,
            lambda: self._write(socket.ping()),
            lambda: self._drop(socket),
        )
        self._reader = spawn(self._read(socket, self._watch), 'read link')
        self._close_later(socket, IDLE_MS)

    def _write(self, sending: Coroutine[object, object, None]) -> None:
        try:
            start_sending(sending)
        except (ConnectionError, RuntimeError, aiohttp.ClientError) as error:
            # The reader ends too and handles the loss.
            log.info('Link broke.', peer=self._record.name, error=repr(error))

    async def _read(
        self, socket: aiohttp.ClientWebSocketResponse, watch: LinkLiveness
    ) -> None:
        try:
            async for message in socket:
                watch.on_received()
                if message.type is aiohttp.WSMsgType.BINARY:
                    self._listener.on_message(message.data)
                elif message.type is aiohttp.WSMsgType.PONG:
                    self._on_pong(bytes(message.data))
                else:
                    break
        except GentianmillError as error:
            log.warning('Link closed.', peer=self._record.name, error=str(error))
        except Exception:
            # The link must not stay open without a reader.
            log.exception('Link closed after a fault.', peer=self._record.name)
        watch.stop()
        is_current = self._socket is socket
        if is_current:
            self._socket = None
        await _close(socket)
        if is_current and not self._closed:
            await self._listener.on_connection_lost()

    def _on_pong(self, key: bytes) -> None:
        confirmed = self._pongs.get(key)
        if confirmed is not None and not confirmed.done():
            confirmed.set_result(None)

    def _drop(self, socket: aiohttp.ClientWebSocketResponse) -> None:
        """Drop a connection whose peer is unresponsive."""
        if self._socket is not socket or self._closed:
            return
        log.info('Link silent.', peer=self._record.name)
        self._socket = None
        self._closing = spawn(_close(socket), 'close link')
        self._recovery = spawn(self._listener.on_connection_lost(), 'recover link')

    def _close_later(
        self, socket: aiohttp.ClientWebSocketResponse, pause_ms: float
    ) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(pause_ms / MS_PER_S, self._close_if_idle, socket)

    def _close_if_idle(self, socket: aiohttp.ClientWebSocketResponse) -> None:
        """Close a connection that is idle; the next call opens another."""
        if self._socket is not socket:
            return
        idle_ms = self._context.clock.now_ms() - self._last_used_ms
        if self._listener.busy or idle_ms < IDLE_MS:
            self._close_later(socket, max(IDLE_MS - idle_ms, IDLE_MS / 2))
            return
        self._socket = None
        self._closing = spawn(_close(socket), 'close link')


async def _close(socket: aiohttp.ClientWebSocketResponse) -> None:
    """Close a connection; abort it if the peer does not read."""
    with contextlib.suppress(TimeoutError):
        await within(socket.close(), 2 * CLOSE_TIMEOUT_S)
