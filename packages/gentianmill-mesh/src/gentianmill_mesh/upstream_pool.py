"""Connections to the upstream on the same VM."""

import asyncio
import dataclasses
from collections.abc import Callable

from gentianmill.clock import Clock

from gentianmill_mesh.answer_room import AnswerRoom
from gentianmill_mesh.http_message import HttpAnswer, HttpRequest
from gentianmill_mesh.upstream_connection import (
    LossKind,
    UpstreamConnection,
    UpstreamLostError,
)
from gentianmill_mesh.wire_names import WireNames
from gentianmill_mesh.within import within
from gentianmill_node.logs import component

CONNECT_TIMEOUT_S = 0.5
"""Same VM: a connection that takes longer meets an upstream that is down."""

IDLE_LIMIT_MS = 4000.0
"""Reuse of an idle connection where the upstream names no limit."""

IDLE_MARGIN_MS = 1000.0
"""The upstream's limit is cut by this, as its close may be on its way."""

UNREPEATABLE_IDLE_MS = 200.0
"""A request that may not be repeated uses only connections used this recently: some
upstreams forget connections that rested for 300 ms, and nobody can tell then
whether they ran it."""

MS_PER_S = 1000

FORGOTTEN_MS = 50.0
"""A kept connection that breaks this soon after a request was sent had been closed
before; on the same VM a reset takes less than 1 ms."""

log = component('upstream')


@dataclasses.dataclass(frozen=True, slots=True)
class _Exchange:
    request: HttpRequest
    head: bytes
    request_id: bytes | None
    repeatable: bool


class UpstreamPool:
    """Run requests on an upstream, each on a connection of its own meanwhile."""

    def __init__(self, host: str, port: int, names: WireNames, clock: Clock) -> None:
        """Create a pool without connections.

        Args:
            host: Address of the upstream.
            port: TCP port of the upstream.
            names: Header names of the deployment.
            clock: Clock of the node.
        """
        self._host = host
        self._port = port
        self._names = names
        self._clock = clock
        self._idle: list[tuple[UpstreamConnection, float]] = []
        self._opened = 0
        self._repeatable: set[UpstreamConnection] = set()
        self._room = AnswerRoom()

    @property
    def opened(self) -> int:
        """Return the number of connections opened so far."""
        return self._opened

    async def run(
        self,
        request: HttpRequest,
        request_id: bytes | None,
        extra: list[tuple[bytes, bytes]],
        repeatable: bool,
        timeout_s: float,
        may_resend: Callable[[], bool],
    ) -> HttpAnswer:
        """Send a request and return the whole answer.

        The connection is closed if the caller of this coroutine is cancelled, which
        tells the upstream to stop.

        Args:
            request: The request, without headers that concern one connection.
            request_id: Id that the answer must carry, or None.
            extra: Headers that the node sets.
            repeatable: Whether the request may run more than once.
            timeout_s: Time until the whole answer must be there, in s.
            may_resend: Whether a request that may run more than once may arrive
                again, as its kept connection broke.

        Raises:
            UpstreamLostError: If there was no whole answer.
        """
        exchange = _Exchange(request, _head(request, extra), request_id, repeatable)
        sent_ms = self._clock.now_ms()
        end_ms = sent_ms + timeout_s * MS_PER_S
        kept = self._take_idle(repeatable)
        if kept is None:
            return await self._run_on(await self._open(), exchange, end_ms)
        try:
            return await self._run_on(kept, exchange, end_ms)
        except UpstreamLostError as error:
            if not (repeatable and self._was_forgotten(error, sent_ms)):
                raise
            if not may_resend():
                raise
            fresh = await self._open_after(error)
        return await self._run_on(fresh, exchange, end_ms)

    async def is_reachable(self) -> bool:
        """Return whether the upstream accepts a connection now."""
        try:
            connection = await self._open()
        except UpstreamLostError as error:
            log.debug('Upstream not reachable.', error=str(error))
            return False
        self._give_back(connection)
        return True

    def abandon_repeatable(self) -> int:
        """Close the connections of requests that may run elsewhere.

        Returns:
            The number of requests.
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
    ) -> HttpAnswer:
        if exchange.repeatable:
            self._repeatable.add(connection)
        now_ms = self._clock.now_ms()
        timeout_s = max(end_ms - now_ms, 0) / MS_PER_S
        try:
            answer = await connection.exchange(
                exchange.request, exchange.head, exchange.request_id, timeout_s
            )
        except BaseException:
            connection.close()
            raise
        finally:
            self._repeatable.discard(connection)
        self._give_back(connection)
        return answer

    async def _open_after(self, loss: UpstreamLostError) -> UpstreamConnection:
        """Open a connection, or raise the loss before: the request may have run."""
        try:
            return await self._open()
        except UpstreamLostError as refused:
            raise loss from refused

    def _was_forgotten(self, error: UpstreamLostError, sent_ms: float) -> bool:
        """Return whether the upstream had closed a kept connection before its use."""
        spent_ms = self._clock.now_ms() - sent_ms
        return error.kind is LossKind.after_send and spent_ms < FORGOTTEN_MS

    def _take_idle(self, repeatable: bool) -> UpstreamConnection | None:
        """Return the connection used last, if it may still be used."""
        now_ms = self._clock.now_ms()
        while self._idle:
            connection, since_ms = self._idle[-1]
            rested_ms = now_ms - since_ms
            if connection.reusable and rested_ms <= _usable_ms(connection):
                if not repeatable and rested_ms > UNREPEATABLE_IDLE_MS:
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
            lambda: UpstreamConnection(loop, self._names.request_id, self._room),
            self._host,
            self._port,
        )
        try:
            _, connection = await within(connecting, CONNECT_TIMEOUT_S)
        except (OSError, TimeoutError) as error:
            raise UpstreamLostError(
                LossKind.before_send, f'no connection: {error!r}'
            ) from error
        return connection

    def _give_back(self, connection: UpstreamConnection) -> None:
        if connection.reusable:
            self._idle.append((connection, self._clock.now_ms()))
        else:
            connection.close()


def _usable_ms(connection: UpstreamConnection) -> float:
    if connection.idle_limit_ms is None:
        return IDLE_LIMIT_MS
    return connection.idle_limit_ms - IDLE_MARGIN_MS


def _head(request: HttpRequest, extra: list[tuple[bytes, bytes]]) -> bytes:
    lines = [b'%b %b HTTP/1.1' % (request.method.encode(), request.target)]
    lines.extend(b'%b: %b' % (name, text) for name, text in request.headers)
    lines.extend(b'%b: %b' % pair for pair in extra)
    if request.body or request.method not in {'GET', 'HEAD', 'DELETE', 'OPTIONS'}:
        lines.append(b'Content-Length: %d' % len(request.body))
    lines.extend((b'', b''))
    return b'\r\n'.join(lines)
