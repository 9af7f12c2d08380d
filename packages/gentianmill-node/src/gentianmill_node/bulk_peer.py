"""Bulk calls between nodes: HTTP responses that the guard's node streams."""

import base64
import binascii
import contextlib
from collections.abc import AsyncIterator

import aiohttp
import yarl
from aiohttp import web
from gentianmill.clock import Clock
from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill.member import Member
from gentianmill.messages import CallFrame
from gentianmill.outcome import Outcome

from gentianmill_node.bulk_blocks import block, head_block, open_blocks
from gentianmill_node.bulk_source import BulkSource, open_source
from gentianmill_node.call import Call
from gentianmill_node.frames import decode, encode
from gentianmill_node.guard import Guard
from gentianmill_node.headers import ERROR_CODE, ERROR_PEER, ERROR_STEP, OUTCOME
from gentianmill_node.peer_client import PeerPool
from gentianmill_node.responses import error_response
from gentianmill_node.upstream_client import UpstreamClient

CALL_FRAME = 'X-Call-Frame'
STEP = 'bulk'
MS_PER_S = 1000
ANSWERED = Outcome.answered.value
_RANGE_HEADERS = ('Range', 'If-Range')


class BulkGuard:
    """Stream bulk calls from this node's upstream."""

    def __init__(self, guard: Guard, upstream: UpstreamClient, clock: Clock) -> None:
        """Create a guard for bulk calls.

        Args:
            guard: Admits calls.
            upstream: This node's upstream.
            clock: Clock of the node.
        """
        self._guard = guard
        self._upstream = upstream
        self._clock = clock

    @contextlib.asynccontextmanager
    async def open(
        self, call: Call, extra_headers: dict[str, str]
    ) -> AsyncIterator[BulkSource]:
        """Open a bulk response; the call holds its slot until the context ends.

        Args:
            call: The call to run.
            extra_headers: Further headers for the upstream, such as ``Range``.

        Raises:
            GentianmillError: If the call is refused or the upstream cannot be
                reached.
        """
        async with self._guard.admitted(call) as token:
            left_ms = call.deadline_ms - self._clock.now_ms()
            try:
                async with self._upstream.request(
                    call, token, left_ms, extra_headers
                ) as response:
                    self._upstream.raise_refusal(response)
                    yield open_source(response)
            except aiohttp.ClientConnectorError as error:
                message = f'no connection to the upstream: {error!r}'
                raise GentianmillError(
                    ErrorCode.upstream_unreachable, STEP, self._upstream.name, message
                ) from error

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Stream the response of a bulk call from another node."""
        try:
            call = self._guard.call_from_frame(_call_frame(request))
        except GentianmillError as error:
            return error_response(error, '', '')
        extra_headers = {
            name: request.headers[name]
            for name in _RANGE_HEADERS
            if name in request.headers
        }
        return await self._stream(request, call, extra_headers)

    async def _stream(
        self, request: web.Request, call: Call, extra_headers: dict[str, str]
    ) -> web.StreamResponse:
        response: web.StreamResponse | None = None
        try:
            async with self.open(call, extra_headers) as source:
                response = web.StreamResponse(headers={OUTCOME: ANSWERED})
                await response.prepare(request)
                await response.write(head_block(source))
                async for chunk in source.chunks:
                    await response.write(block(chunk))
                await response.write(block(b''))
        except GentianmillError as error:
            return error_response(error, call.request_id, '')
        except (aiohttp.ClientError, OSError, TimeoutError):
            # Aborts the connection: the other node must see an incomplete body.
            if request.transport is not None:
                request.transport.abort()
            return response or web.Response(status=web.HTTPBadGateway.status_code)
        await response.write_eof()
        return response


class PeerBulkClient:
    """Open bulk responses from other nodes."""

    def __init__(self, peers: PeerPool, clock: Clock) -> None:
        """Create a client.

        Args:
            peers: Connections to other nodes.
            clock: Clock of the node.
        """
        self._peers = peers
        self._clock = clock

    @contextlib.asynccontextmanager
    async def open(
        self, member: Member, call: Call, extra_headers: dict[str, str]
    ) -> AsyncIterator[BulkSource]:
        """Open a bulk response from the upstream of another node.

        Args:
            member: The node that runs the call.
            call: The call to run.
            extra_headers: Further headers, such as ``Range``.

        Raises:
            GentianmillError: If the node refuses the call.
        """
        now_ms = self._clock.now_ms()
        frame = base64.b64encode(encode(call.to_frame(0, now_ms))).decode()
        left_s = (call.deadline_ms - now_ms) / MS_PER_S
        async with self._peers.session.get(
            yarl.URL(f'{self._peers.base_url(member)}/bulk'),
            headers={CALL_FRAME: frame, **extra_headers},
            ssl=self._peers.tls or True,
            timeout=aiohttp.ClientTimeout(total=left_s),
        ) as response:
            _raise_refusal(response, member)
            yield await open_blocks(response.content, member.node_id)


def _call_frame(request: web.Request) -> CallFrame:
    peer = request.remote or ''
    try:
        message = base64.b64decode(request.headers.get(CALL_FRAME, ''), validate=True)
    except binascii.Error as error:
        raise GentianmillError(
            ErrorCode.protocol, STEP, peer, f'invalid frame: {error}'
        ) from error
    frame = decode(message, peer)
    if isinstance(frame, CallFrame):
        return frame
    raise GentianmillError(ErrorCode.protocol, STEP, peer, 'the frame is not a call')


def _raise_refusal(response: aiohttp.ClientResponse, member: Member) -> None:
    headers = response.headers
    outcome = Outcome(headers.get(OUTCOME, Outcome.unknown.value))
    if outcome is Outcome.answered:
        return
    raise GentianmillError(
        ErrorCode(headers.get(ERROR_CODE, ErrorCode.internal.value)),
        headers.get(ERROR_STEP, STEP),
        headers.get(ERROR_PEER, '') or member.node_id,
        'the node refused the download',
        outcome,
    )
