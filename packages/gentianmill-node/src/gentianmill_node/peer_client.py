"""WebSocket connections that carry calls to other nodes."""

import asyncio
import itertools
import ssl
from collections.abc import Sequence

import aiohttp
import msgspec
from gentianmill.clock import Clock
from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill.member import Member
from gentianmill.messages import (
    AnswerFrame,
    CancelFrame,
    GrantFrame,
    SpendFrame,
    StrikeFrame,
)
from gentianmill.outcome import Outcome
from gentianmill.response_status import is_final_status

from gentianmill_node.call import Call, CallResult
from gentianmill_node.frames import AnyFrame, decode, encode
from gentianmill_node.logs import component

CONNECT_TIMEOUT_S = 1.0
REPLY_TIMEOUT_S = 0.5
IDLE_TIMEOUT_S = 120
MS_PER_S = 1000
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
STEP = 'peer'

Reply = AnswerFrame | GrantFrame

log = component('peer')


class PeerConnection:
    """One WebSocket to a node, shared by all calls to it."""

    def __init__(
        self, node_id: str, socket: aiohttp.ClientWebSocketResponse, clock: Clock
    ) -> None:
        """Start the reader of replies.

        Args:
            node_id: The node at the other end.
            socket: The open WebSocket.
            clock: Clock of the node.
        """
        self._node_id = node_id
        self._socket = socket
        self._clock = clock
        self._call_ids = itertools.count(1)
        self._pending: dict[int, asyncio.Future[Reply]] = {}
        self._last_used_ms = clock.now_ms()
        self._reader = asyncio.ensure_future(self._read_replies())

    @property
    def usable(self) -> bool:
        """Return whether calls can still be sent."""
        return not self._socket.closed and not self._reader.done()

    @property
    def idle_since_ms(self) -> float | None:
        """Return when a frame was last sent, or None while calls are pending."""
        return None if self._pending else self._last_used_ms

    async def call(self, call: Call) -> CallResult:
        """Send a call and wait for its result.

        Raises:
            GentianmillError: With outcome ``not_run`` if the call was not sent,
                ``unknown`` if the connection broke or the deadline passed after
                it was sent.
        """
        call_id = next(self._call_ids)
        now_ms = self._clock.now_ms()
        timeout_s = (call.deadline_ms - now_ms) / MS_PER_S
        reply = await self._exchange(call_id, call.to_frame(call_id, now_ms), timeout_s)
        if not (isinstance(reply, AnswerFrame) and is_final_status(reply.status)):
            raise self._connection_lost('the reply is not an answer')
        return CallResult.from_frame(reply, self._node_id)

    async def spend(self, identity: str) -> bool:
        """Ask the home node of a request for one retry."""
        call_id = next(self._call_ids)
        frame = SpendFrame(call_id=call_id, identity=identity)
        reply = await self._exchange(call_id, frame, REPLY_TIMEOUT_S)
        return isinstance(reply, GrantFrame) and reply.granted

    async def send_strike(self, strike: StrikeFrame) -> None:
        """Notify a guard of a crash suspect and wait for its confirmation."""
        call_id = next(self._call_ids)
        frame = msgspec.structs.replace(strike, call_id=call_id)
        await self._exchange(call_id, frame, REPLY_TIMEOUT_S)

    async def send(self, frame: AnyFrame) -> None:
        """Send a frame that has no reply."""
        self._last_used_ms = self._clock.now_ms()
        await self._socket.send_bytes(encode(frame))

    async def close(self) -> None:
        """Close the WebSocket; pending calls end with outcome ``unknown``."""
        await self._socket.close()
        self._reader.cancel()
        self._fail_pending()

    async def _exchange(self, call_id: int, frame: AnyFrame, timeout_s: float) -> Reply:
        reply: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        self._pending[call_id] = reply
        timer = asyncio.get_running_loop().call_later(timeout_s, self._expire, reply)
        try:
            await self._send_request(frame)
            return await reply
        except asyncio.CancelledError:
            await self._cancel(call_id)
            raise
        finally:
            timer.cancel()
            self._pending.pop(call_id, None)

    async def _send_request(self, frame: AnyFrame) -> None:
        try:
            await self.send(frame)
        except (ConnectionError, aiohttp.ClientError, RuntimeError) as error:
            # Part of the frame may have been sent; an incomplete frame is never run.
            raise GentianmillError(
                ErrorCode.connection_lost,
                STEP,
                self._node_id,
                f'the call could not be sent: {error!r}',
            ) from error

    async def _cancel(self, call_id: int) -> None:
        if self.usable:
            await asyncio.shield(self.send(CancelFrame(call_id=call_id)))

    def _expire(self, reply: asyncio.Future[Reply]) -> None:
        if not reply.done():
            reply.set_exception(
                GentianmillError(
                    ErrorCode.deadline,
                    STEP,
                    self._node_id,
                    'no response arrived before the deadline',
                    Outcome.unknown,
                )
            )

    async def _read_replies(self) -> None:
        try:
            async for message in self._socket:
                if message.type is not aiohttp.WSMsgType.BINARY:
                    break
                self._handle_reply(decode(message.data, self._node_id))
        except GentianmillError as error:
            log.warning('Connection closed.', error=str(error))
            await self._socket.close()
        finally:
            self._fail_pending()

    def _handle_reply(self, frame: AnyFrame) -> None:
        if not isinstance(frame, AnswerFrame | GrantFrame):
            return
        # A reply to a call that has ended is late or a duplicate; it is dropped.
        reply = self._pending.get(frame.call_id)
        if reply and not reply.done():
            reply.set_result(frame)

    def _fail_pending(self) -> None:
        for reply in self._pending.values():
            if not reply.done():
                reply.set_exception(
                    self._connection_lost('the connection to the node was lost')
                )

    def _connection_lost(self, message: str) -> GentianmillError:
        return GentianmillError(
            ErrorCode.connection_lost, STEP, self._node_id, message, Outcome.unknown
        )


class PeerPool:
    """Open connections to other nodes on demand."""

    def __init__(self, clock: Clock, key: bytes, tls: ssl.SSLContext | None) -> None:
        """Create an empty pool; call ``start`` before use.

        Args:
            clock: Clock of the node.
            key: Peer key, sent in the handshake.
            tls: TLS context, or None without TLS.
        """
        self._clock = clock
        self._key = key
        self._tls = tls
        self._session: aiohttp.ClientSession | None = None
        self._connections: dict[str, PeerConnection] = {}
        self._opening: dict[str, asyncio.Task[PeerConnection]] = {}

    @property
    def session(self) -> aiohttp.ClientSession:
        """Return the HTTP session to other nodes."""
        if self._session is None:
            raise RuntimeError('the peer pool is not started')
        return self._session

    @property
    def tls(self) -> ssl.SSLContext | None:
        """Return the TLS context, or None without TLS."""
        return self._tls

    async def start(self) -> None:
        """Open the session."""
        self._session = aiohttp.ClientSession(
            headers={'Authorization': f'Bearer {self._key.decode()}'},
            connector=aiohttp.TCPConnector(limit=0, use_dns_cache=False),
            auto_decompress=False,
            timeout=aiohttp.ClientTimeout(total=None, connect=CONNECT_TIMEOUT_S),
        )

    async def close(self) -> None:
        """Close all connections."""
        for task in tuple(self._opening.values()):
            task.cancel()
        for connection in tuple(self._connections.values()):
            await connection.close()
        if self._session:
            await self._session.close()

    def base_url(self, member: Member) -> str:
        """Return the base URL of a node's peer listener."""
        scheme = 'https' if self._tls else 'http'
        return f'{scheme}://{member.host}:{member.peer_port}'

    async def call(self, member: Member, call: Call) -> CallResult:
        """Run a call on another node; errors are returned as results."""
        try:
            connection = await self._connection(member)
            return await connection.call(call)
        except GentianmillError as error:
            return CallResult.from_error(error)

    async def spend(self, member: Member, identity: str) -> bool:
        """Ask a home node for one retry; False if it is unreachable."""
        try:
            connection = await self._connection(member)
            return await connection.spend(identity)
        except GentianmillError as error:
            log.info(
                'Retry not granted; the home node is unreachable.', error=str(error)
            )
            return False

    async def send_strikes(
        self, member: Member, strikes: Sequence[StrikeFrame]
    ) -> None:
        """Send strikes to a guard; they are lost if it is unreachable."""
        try:
            connection = await self._connection(member)
            for strike in strikes:
                await connection.send_strike(strike)
        except (GentianmillError, ConnectionError, aiohttp.ClientError) as error:
            log.info('Strikes not delivered.', error=str(error))

    async def close_idle(self) -> None:
        """Close connections that were idle for longer than ``IDLE_TIMEOUT_S``."""
        oldest_ms = self._clock.now_ms() - IDLE_TIMEOUT_S * MS_PER_S
        for node_id, connection in tuple(self._connections.items()):
            idle_since_ms = connection.idle_since_ms
            if idle_since_ms is not None and idle_since_ms < oldest_ms:
                self._connections.pop(node_id)
                await connection.close()

    async def _connection(self, member: Member) -> PeerConnection:
        connection = self._connections.get(member.node_id)
        if connection and connection.usable:
            return connection
        task = self._opening.get(member.node_id)
        if task is None:
            task = asyncio.ensure_future(self._open(member))
            self._opening[member.node_id] = task
            task.add_done_callback(lambda _: self._opening.pop(member.node_id, None))
        return await asyncio.shield(task)

    async def _open(self, member: Member) -> PeerConnection:
        try:
            socket = await asyncio.wait_for(
                self.session.ws_connect(
                    f'{self.base_url(member)}/calls',
                    ssl=self._tls or True,
                    max_msg_size=MAX_MESSAGE_BYTES,
                    compress=0,
                ),
                CONNECT_TIMEOUT_S,
            )
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError) as error:
            raise GentianmillError(
                ErrorCode.connection_lost,
                'connect',
                member.node_id,
                f'no connection to the node: {error!r}',
            ) from error
        connection = PeerConnection(member.node_id, socket, self._clock)
        self._connections[member.node_id] = connection
        return connection
