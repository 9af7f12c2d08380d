"""The listener for calls from other nodes."""

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import WSMsgType, web
from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill.messages import (
    CallFrame,
    CancelFrame,
    GrantFrame,
    SpendFrame,
    StrikeFrame,
)

from gentianmill_node.background import spawn
from gentianmill_node.call import CallResult
from gentianmill_node.frames import AnyFrame, decode, encode
from gentianmill_node.auth_keys import same_key
from gentianmill_node.logs import component
from gentianmill_node.peer_client import MAX_MESSAGE_BYTES
from gentianmill_node.responses import internal_error

log = component('peer')


class PeerHandlers:
    """Handlers of the frames and requests of other nodes."""

    def __init__(
        self,
        run: Callable[[CallFrame], Awaitable[CallResult]],
        spend: Callable[[str], bool],
        strike: Callable[[StrikeFrame], None],
        bulk: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> None:
        """Set the handlers.

        Args:
            run: Runs a call on this node's upstream; errors are returned as results.
            spend: Decides whether a request may be retried once more.
            strike: Applies a strike against a crash suspect.
            bulk: Streams the response of a bulk call.
        """
        self.run = run
        self.spend = spend
        self.strike = strike
        self.bulk = bulk


class PeerListener:
    """Accept the WebSockets of other nodes."""

    def __init__(self, handlers: PeerHandlers, key: bytes) -> None:
        """Create a listener.

        Args:
            handlers: Handlers of frames and bulk requests.
            key: Peer key that other nodes must present.
        """
        self._handlers = handlers
        self._authorisation = b'Bearer %b' % key
        self._sockets: set[web.WebSocketResponse] = set()

    def app(self) -> web.Application:
        """Return the web application of the listener."""
        app = web.Application(middlewares=[self._check_key])
        app.router.add_get('/calls', self._accept)
        app.router.add_get('/bulk', self._handlers.bulk)
        return app

    async def close(self) -> None:
        """Close all WebSockets."""
        for socket in tuple(self._sockets):
            await socket.close()

    @web.middleware
    async def _check_key(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        offered = request.headers.get('Authorization', '').encode(errors='replace')
        if same_key(offered, self._authorisation):
            return await handler(request)
        log.warning('Connection refused.', code='unauthorised', peer=request.remote)
        body = {
            'code': ErrorCode.unauthorised.value,
            'step': 'peer',
            'peer': request.remote,
            'message': 'the peer key is missing or wrong',
        }
        return web.json_response(body, status=web.HTTPUnauthorized.status_code)

    async def _accept(self, request: web.Request) -> web.WebSocketResponse:
        socket = web.WebSocketResponse(
            max_msg_size=MAX_MESSAGE_BYTES, compress=False, autoping=True
        )
        await socket.prepare(request)
        self._sockets.add(socket)
        session = _PeerSession(socket, self._handlers, request.remote or '')
        try:
            await session.serve()
        finally:
            self._sockets.discard(socket)
        return socket


class _PeerSession:
    """One accepted WebSocket and the calls that arrived on it."""

    def __init__(
        self, socket: web.WebSocketResponse, handlers: PeerHandlers, peer: str
    ) -> None:
        self._socket = socket
        self._handlers = handlers
        self._peer = peer
        self._calls: dict[int, asyncio.Task[None]] = {}

    async def serve(self) -> None:
        """Handle frames until the connection ends; then cancel its calls."""
        try:
            async for message in self._socket:
                if message.type is not WSMsgType.BINARY:
                    break
                await self._handle_frame(decode(message.data, self._peer))
        except GentianmillError as error:
            log.warning('Connection closed.', error=str(error))
            await self._socket.close()
        finally:
            for task in self._calls.values():
                task.cancel()

    async def _handle_frame(self, frame: AnyFrame) -> None:
        if isinstance(frame, CallFrame):
            self._start(frame)
        elif isinstance(frame, CancelFrame):
            self._cancel(frame.call_id)
        elif isinstance(frame, SpendFrame):
            granted = self._handlers.spend(frame.identity)
            await self._send(GrantFrame(call_id=frame.call_id, granted=granted))
        elif isinstance(frame, StrikeFrame):
            self._handlers.strike(frame)
            await self._send(GrantFrame(call_id=frame.call_id, granted=True))

    def _start(self, frame: CallFrame) -> None:
        task = spawn(self._run(frame), 'run call')
        self._calls[frame.call_id] = task
        task.add_done_callback(lambda _: self._calls.pop(frame.call_id, None))

    def _cancel(self, call_id: int) -> None:
        task = self._calls.get(call_id)
        if task:
            task.cancel()

    async def _run(self, frame: CallFrame) -> None:
        try:
            result = await self._handlers.run(frame)
        except Exception:
            log.exception('Call failed with an internal error.')
            result = CallResult.from_error(internal_error())
        await self._send(result.to_frame(frame.call_id))

    async def _send(self, frame: AnyFrame) -> None:
        try:
            await self._socket.send_bytes(encode(frame))
        except (ConnectionError, RuntimeError):
            log.info('Reply dropped; the connection is closed.', peer=self._peer)
