"""Bulk calls at the entry: streamed, checked and resumed downloads."""

import asyncio
import contextlib
import dataclasses

import aiohttp
from aiohttp import web
from gentianmill.clock import Clock
from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill.member import Member
from gentianmill.outcome import Outcome

from gentianmill_node.bulk_peer import BulkGuard, PeerBulkClient
from gentianmill_node.bulk_source import BulkSource
from gentianmill_node.call import Answer, Call
from gentianmill_node.call_report import CallReport
from gentianmill_node.dispatch import Dispatcher
from gentianmill_node.headers import OUTCOME, REQUEST_ID
from gentianmill_node.policy import Policy
from gentianmill_node.repeats import Repeats
from gentianmill_node.responses import error_response
from gentianmill_node.retry_gate import RetryGate

MS_PER_S = 1000
STEP = 'bulk'

SOURCE_ERRORS = (aiohttp.ClientError, OSError, asyncio.TimeoutError)


@dataclasses.dataclass(frozen=True, slots=True)
class BulkEntryParts:
    """What the entry for bulk calls works with."""

    own: Member
    dispatcher: Dispatcher
    guard: BulkGuard
    peers: PeerBulkClient
    retries: RetryGate
    policy: Policy
    report: CallReport
    clock: Clock


class BulkEntry:
    """Stream bulk calls to callers and resume them when the source breaks."""

    def __init__(self, parts: BulkEntryParts) -> None:
        """Create an entry for bulk calls.

        Args:
            parts: The objects that it works with.
        """
        self._parts = parts

    async def serve(self, request: web.BaseRequest, call: Call) -> web.StreamResponse:
        """Stream the response of a bulk call to the caller.

        The connection is cut if the body cannot be completed, so a caller never
        takes a part for the whole.

        Args:
            request: The caller's request.
            call: The call to run.
        """
        start_ms = self._parts.clock.now_ms()
        self._parts.retries.on_call()
        download = _Download(request, call)
        error = await self._fetch(download)
        answer = _summary(error)
        self._parts.report.done(call, answer, self._parts.clock.now_ms() - start_ms)
        if error is None:
            return await download.finish()
        if download.response is None:
            return error_response(error, call.request_id, self._parts.own.node_id)
        download.cut()
        return download.response

    async def _fetch(self, download: '_Download') -> GentianmillError | None:
        tried: set[str] = set()
        repeats = Repeats(self._parts.retries, download.call)
        while True:
            error = await self._fetch_part(download, tried)
            if error is None or not download.may_go_on(error):
                return error
            if not await repeats.allow(error):
                return error

    async def _fetch_part(
        self, download: '_Download', tried: set[str]
    ) -> GentianmillError | None:
        try:
            member = self._parts.dispatcher.choose(download.call, frozenset(tried))
        except GentianmillError as error:
            return error
        tried.add(member.node_id)
        try:
            async with self._open(member, download) as source:
                await self._copy(member, source, download)
        except GentianmillError as error:
            return error
        except SOURCE_ERRORS as error:
            return _broken(member, download, error)
        if download.is_whole:
            return None
        return _broken(member, download, EOFError('the body ended early'))

    def _open(
        self, member: Member, download: '_Download'
    ) -> contextlib.AbstractAsyncContextManager[BulkSource]:
        extra = download.range_headers()
        if member.node_id == self._parts.own.node_id:
            return self._parts.guard.open(download.call, extra)
        return self._parts.peers.open(member, download.call, extra)

    async def _copy(
        self, member: Member, source: BulkSource, download: '_Download'
    ) -> None:
        await download.begin(source)
        async for chunk in source.chunks:
            await self._pay(member, len(chunk))
            await download.write(chunk)

    async def _pay(self, member: Member, size: int) -> None:
        if member.region == self._parts.own.region:
            return
        wait_ms = self._parts.policy.link.spend(
            member.region, size, self._parts.clock.now_ms()
        )
        if wait_ms > 0:
            await asyncio.sleep(wait_ms / MS_PER_S)


class _Download:
    """One bulk response to a caller and how far it has come."""

    def __init__(self, request: web.BaseRequest, call: Call) -> None:
        self.call = call
        self.response: web.StreamResponse | None = None
        self._request = request
        self._etag = ''
        self._next = 0
        self._end: int | None = None

    @property
    def is_whole(self) -> bool:
        """Return whether the body is complete as far as its length tells."""
        return self.response is not None and self._next == (self._end or self._next)

    def may_go_on(self, error: GentianmillError) -> bool:
        """Return whether another source may be tried."""
        if self.response is None:
            return error.code is not ErrorCode.no_member
        return bool(self._etag) and self._end is not None

    def range_headers(self) -> dict[str, str]:
        """Return the headers that ask for the part still missing."""
        if self.response is None or self._end is None:
            return {}
        last = self._end - 1
        return {'Range': f'bytes={self._next}-{last}', 'If-Range': self._etag}

    async def begin(self, source: BulkSource) -> None:
        """Start the response, or check that the source continues it."""
        if self.response is None:
            await self._start(source)
            return
        span = source.span
        fits = span and span.start == self._next and span.end == self._end
        if not fits or source.etag != self._etag:
            message = 'the rest of the body is not available in the same version'
            raise GentianmillError(
                ErrorCode.short_answer, STEP, '', message, Outcome.unknown
            )

    async def write(self, chunk: bytes) -> None:
        """Pass a chunk on to the caller."""
        if self.response is not None:
            await self.response.write(chunk)
        self._next += len(chunk)

    async def finish(self) -> web.StreamResponse:
        """End the complete response."""
        if self.response is None:
            raise RuntimeError('the response was not started')
        await self.response.write_eof()
        return self.response

    def cut(self) -> None:
        """Close the connection so that the caller sees an incomplete body."""
        if self._request.transport is not None:
            self._request.transport.abort()

    async def _start(self, source: BulkSource) -> None:
        headers = dict(source.headers)
        headers[OUTCOME] = Outcome.answered.value
        headers[REQUEST_ID] = self.call.request_id
        response = web.StreamResponse(status=source.status, headers=headers)
        if source.span:
            response.content_length = source.span.length
            self._next = source.span.start
            self._end = source.span.end
        self._etag = source.etag if source.has_body else ''
        await response.prepare(self._request)
        self.response = response


def _broken(
    member: Member, download: _Download, cause: BaseException
) -> GentianmillError:
    started = download.response is not None
    return GentianmillError(
        ErrorCode.short_answer if started else ErrorCode.connection_lost,
        STEP,
        member.node_id,
        f'the download broke off: {cause!r}',
        Outcome.unknown,
    )


def _summary(error: GentianmillError | None) -> Answer:
    if error:
        return Answer.from_error(error)
    return Answer(outcome=Outcome.answered, status=web.HTTPOk.status_code)
