"""Connections to the upstream on the same VM."""

import asyncio
import dataclasses
from collections import deque
from collections.abc import Callable

from gentianmill.clock import Clock

from gentianmill_mesh.response_memory import ResponseMemory
from gentianmill_mesh.http_message import HttpResponse, HttpRequest
from gentianmill_mesh.upstream_connection import (
    LossKind,
    UpstreamConnection,
    UpstreamLostError,
)
from gentianmill_mesh.wire_names import WireNames
from gentianmill_mesh.time_limit import within
from gentianmill_node.keep_alive import KeepAlive
from gentianmill_node.logs import component

FIRST_MAX_IDLE = 64
"""Idle connections that are kept before the upstream has told its slots."""

CONNECT_TIMEOUT_S = 0.5
"""The upstream is on the same VM; if a connection takes longer, it is down."""

IDLE_LIMIT_MS = 4000.0
"""Time for which an idle connection is reused if the upstream gives no limit."""

IDLE_MARGIN_MS = 1000.0
"""Subtracted from the limit of the upstream, as its close may be in transit."""

KEEP_ALIVE = KeepAlive(idle_s=1, interval_s=1, probes=2)
"""The kernel notices a connection that has fallen silent within 3 s. An upstream that
does not read for long is not silent, so sent data has no time limit."""

UNREPEATABLE_IDLE_MS = 200.0
"""A non-repeatable request only reuses connections that were idle for at most this time:
some upstreams drop connections that were idle for 300 ms, and then it is unknown
whether the request ran."""

MS_PER_S = 1000

STALE_CONNECTION_MS = 50.0
"""A reused connection that breaks this soon after a request was sent had already been
closed by the upstream; on the same VM a reset arrives in less than 1 ms."""

NOT_SENT = frozenset((LossKind.before_send, LossKind.no_time))
"""Losses after which a request has certainly not run on the connection."""

log = component('upstream')


@dataclasses.dataclass(frozen=True, slots=True)
class _Exchange:
    request: HttpRequest
    head: bytes
    request_id: bytes | None
    repeatable: bool


class UpstreamPool:
    """Run requests on an upstream, one at a time on each connection."""

    def __init__(
        self,
        host: str,
        port: int,
        names: WireNames,
        clock: Clock,
        memory: ResponseMemory | None = None,
    ) -> None:
        """Create a pool without connections.

        Args:
            host: Address of the upstream.
            port: TCP port of the upstream.
            names: Header names of the deployment.
            clock: Clock of the node.
            memory: Limits the bytes of incomplete responses.
        """
        self._host = host
        self._port = port
        self._names = names
        self._clock = clock
        self._idle: deque[tuple[UpstreamConnection, float]] = deque()
        self._max_idle = FIRST_MAX_IDLE
        self._opened = 0
        self._repeatable: set[UpstreamConnection] = set()
        self._memory = memory or ResponseMemory()

    @property
    def opened(self) -> int:
        """Return the number of connections opened so far."""
        return self._opened

    async def run(
        self,
        request: HttpRequest,
        request_id: bytes | None,
        extra_headers: list[tuple[bytes, bytes]],
        repeatable: bool,
        timeout_s: float,
        may_resend: Callable[[], bool],
    ) -> HttpResponse:
        """Send a request and return the response.

        It is complete, unless memory is scarce: then a large body follows in a stream.
        If this coroutine is cancelled, the connection is closed, which signals the
        upstream to stop.

        Args:
            request: The request, without hop-by-hop headers.
            request_id: Id that the response must carry, or None.
            extra_headers: Headers that the node sets.
            repeatable: Whether the request may run more than once.
            timeout_s: Time until the response must be complete, in s.
            may_resend: Returns whether a repeatable request may be resent after its
                reused connection broke.

        Raises:
            UpstreamLostError: If no complete response arrived.
        """
        exchange = _Exchange(
            request, _head(request, extra_headers), request_id, repeatable
        )
        sent_ms = self._clock.now_ms()
        end_ms = sent_ms + timeout_s * MS_PER_S
        reused = self._pop_idle(repeatable)
        if reused is None:
            return await self._run_on(await self._open(), exchange, end_ms)
        try:
            return await self._run_on(reused, exchange, end_ms)
        except UpstreamLostError as error:
            if not (repeatable and self._was_already_closed(error, sent_ms)):
                raise
            if not may_resend():
                raise
            return await self._run_after(error, exchange, end_ms)

    async def is_reachable(self) -> bool:
        """Return whether the upstream accepts a connection now."""
        try:
            connection = await self._open()
        except UpstreamLostError as error:
            log.debug('Upstream not reachable.', error=str(error))
            return False
        self._return_to_pool(connection)
        return True

    def move(self, host: str, port: int) -> None:
        """Open new connections to another address; running requests go on."""
        if (host, port) != (self._host, self._port):
            self._host = host
            self._port = port
            self.close()

    def limit_idle(self, count: int) -> None:
        """Keep at most a number of idle connections.

        Args:
            count: Requests that the upstream runs at once; more connections are never
                in use, and it resets those beyond a limit of its own.
        """
        self._max_idle = max(count, 1)

    def close_expired(self) -> None:
        """Close the connections that are idle for too long, or too many; oldest first."""
        now_ms = self._clock.now_ms()
        while self._idle:
            connection, idle_since_ms = self._idle[0]
            is_current = now_ms - idle_since_ms <= _max_idle_ms(connection)
            is_needed = connection.reusable and is_current
            if is_needed and len(self._idle) <= self._max_idle:
                return
            self._idle.popleft()
            connection.close()

    def abandon_repeatable(self) -> int:
        """Close the connections of requests that can run on another upstream.

        Returns:
            The number of abandoned requests.
        """
        abandoned = tuple(self._repeatable)
        for connection in abandoned:
            connection.close()
        return len(abandoned)

    def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._idle.pop()[0].close()

    async def _run_on(
        self, connection: UpstreamConnection, exchange: '_Exchange', end_ms: float
    ) -> HttpResponse:
        if exchange.repeatable:
            self._repeatable.add(connection)
        now_ms = self._clock.now_ms()
        timeout_s = max(end_ms - now_ms, 0) / MS_PER_S
        try:
            response = await connection.exchange(
                exchange.request, exchange.head, exchange.request_id, timeout_s
            )
        except BaseException:
            self._repeatable.discard(connection)
            connection.close()
            raise
        if response.stream is None:
            self._release(connection)
        else:
            response.stream.on_finished(lambda: self._release(connection))
        return response

    def _release(self, connection: UpstreamConnection) -> None:
        """Take back a connection whose response has been received, or failed."""
        self._repeatable.discard(connection)
        self._return_to_pool(connection)

    async def _run_after(
        self, loss: UpstreamLostError, exchange: '_Exchange', end_ms: float
    ) -> HttpResponse:
        """Run a request again, or raise the earlier loss, as it may have run before."""
        try:
            return await self._run_on(await self._open(), exchange, end_ms)
        except UpstreamLostError as second:
            if second.kind in NOT_SENT:
                raise loss from second
            raise

    def _was_already_closed(self, error: UpstreamLostError, sent_ms: float) -> bool:
        """Return whether the upstream had closed a connection before it was reused."""
        spent_ms = self._clock.now_ms() - sent_ms
        return error.kind is LossKind.after_send and spent_ms < STALE_CONNECTION_MS

    def _pop_idle(self, repeatable: bool) -> UpstreamConnection | None:
        """Return the most recently used connection, if it may be reused."""
        now_ms = self._clock.now_ms()
        while self._idle:
            connection, idle_since_ms = self._idle[-1]
            idle_ms = now_ms - idle_since_ms
            if connection.reusable and idle_ms <= _max_idle_ms(connection):
                if not repeatable and idle_ms > UNREPEATABLE_IDLE_MS:
                    return None
                self._idle.pop()
                return connection
            self._idle.pop()
            connection.close()
        return None

    async def _open(self) -> UpstreamConnection:
        loop = asyncio.get_running_loop()
        self._opened += 1
        connecting = loop.create_connection(
            lambda: UpstreamConnection(
                loop, self._names.request_id, self._memory, self.is_reachable
            ),
            self._host,
            self._port,
        )
        try:
            transport, connection = await within(connecting, CONNECT_TIMEOUT_S)
            KEEP_ALIVE.apply(transport.get_extra_info('socket'))
        except (OSError, TimeoutError) as error:
            raise UpstreamLostError(
                LossKind.before_send, f'no connection: {error!r}'
            ) from error
        return connection

    def _return_to_pool(self, connection: UpstreamConnection) -> None:
        if connection.reusable:
            self._idle.append((connection, self._clock.now_ms()))
            self.close_expired()
        else:
            connection.close()


def _max_idle_ms(connection: UpstreamConnection) -> float:
    if connection.idle_limit_ms is None:
        return IDLE_LIMIT_MS
    return connection.idle_limit_ms - IDLE_MARGIN_MS


def _head(request: HttpRequest, extra_headers: list[tuple[bytes, bytes]]) -> bytes:
    lines = [b'%b %b HTTP/1.1' % (request.method.encode(), request.target)]
    lines.extend(b'%b: %b' % (name, text) for name, text in request.headers)
    lines.extend(b'%b: %b' % pair for pair in extra_headers)
    if request.body or request.method not in {'GET', 'HEAD', 'DELETE', 'OPTIONS'}:
        lines.append(b'Content-Length: %d' % len(request.body))
    lines.extend((b'', b''))
    return b'\r\n'.join(lines)
