"""Bulk calls at the entry: downloads that are streamed, checked and resumed."""

import asyncio
import contextlib
import dataclasses

import aiohttp
from aiohttp import web
from gentianmill.clock import Clock
from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill.member import Member
from gentianmill.outcome import Outcome

from gentianmill_node.attempt_limiter import AttemptLimiter
from gentianmill_node.bulk_peer import BulkGuard, PeerBulkClient
from gentianmill_node.bulk_source import BulkSource
from gentianmill_node.call import Call, CallResult
from gentianmill_node.call_report import CallReport
from gentianmill_node.dispatch import Dispatcher
from gentianmill_node.headers import OUTCOME, REQUEST_ID
from gentianmill_node.policy import Policy
from gentianmill_node.responses import error_response
from gentianmill_node.retry_gate import RetryGate

MS_PER_S = 1000
STEP = 'bulk'

SOURCE_ERRORS = (aiohttp.ClientError, OSError, asyncio.TimeoutError)


@dataclasses.dataclass(frozen=True, slots=True)
class BulkEntryParts:
    """Collaborators of the entry for bulk calls."""

    own: Member
    dispatcher: Dispatcher
    guard: BulkGuard
    peers: PeerBulkClient
    retries: RetryGate
    policy: Policy
    report: CallReport
    clock: Clock


class BulkEntry:
    """Stream bulk responses to callers and resume them when the source fails."""

    def __init__(self, parts: BulkEntryParts) -> None:
        """Create an entry for bulk calls.

        Args:
            parts: Collaborators of the entry.
        """
        self._parts = parts

    async def serve(self, request: web.BaseRequest, call: Call) -> web.StreamResponse:
        """Stream the response of a bulk call to the caller.

        The connection is aborted if the body cannot be completed, so that a
        caller never mistakes an incomplete body for a complete one.

        Args:
            request: The caller's request.
            call: The call to run.
        """
        start_ms = self._parts.clock.now_ms()
        self._parts.retries.on_call()
        download = _Download(request, call)
        error = await self._fetch(download)
        result = _result_of(error)
        self._parts.report.done(call, result, self._parts.clock.now_ms() - start_ms)
        if error is None:
            return await download.finish()
        if download.response is None:
            return error_response(error, call.request_id, self._parts.own.node_id)
        download.abort_connection()
        return download.response

    async def _fetch(self, download: '_Download') -> GentianmillError | None:
        tried: set[str] = set()
        attempts = AttemptLimiter(self._parts.retries, download.call)
        while True:
            error = await self._fetch_part(download, tried)
            if error is None or not download.may_resume(error):
                return error
            if not await attempts.allow(error):
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
            return _interrupted(member, download, error)
        if download.is_complete:
            return None
        return _interrupted(member, download, EOFError('the body ended early'))

    def _open(
        self, member: Member, download: '_Download'
    ) -> contextlib.AbstractAsyncContextManager[BulkSource]:
        extra_headers = download.range_headers()
        if member.node_id == self._parts.own.node_id:
            return self._parts.guard.open(download.call, extra_headers)
        return self._parts.peers.open(member, download.call, extra_headers)

    async def _copy(
        self, member: Member, source: BulkSource, download: '_Download'
    ) -> None:
        await download.begin(source)
        async for chunk in source.chunks:
            await self._throttle(member, len(chunk))
            await download.write(chunk)

    async def _throttle(self, member: Member, size: int) -> None:
        if member.region == self._parts.own.region:
            return
        wait_ms = self._parts.policy.link.spend(
            member.region, size, self._parts.clock.now_ms()
        )
        if wait_ms > 0:
            await asyncio.sleep(wait_ms / MS_PER_S)


class _Download:
    """One bulk response to a caller and its progress."""

    def __init__(self, request: web.BaseRequest, call: Call) -> None:
        self.call = call
        self.response: web.StreamResponse | None = None
        self._request = request
        self._etag = ''
        self._next_offset = 0
        self._end_offset: int | None = None

    @property
    def is_complete(self) -> bool:
        """Return whether the body is complete; true if its length is unknown."""
        return self.response is not None and self._next_offset == (
            self._end_offset or self._next_offset
        )

    def may_resume(self, error: GentianmillError) -> bool:
        """Return whether another source may be tried after an error."""
        if self.response is None:
            return error.code is not ErrorCode.no_member
        return bool(self._etag) and self._end_offset is not None

    def range_headers(self) -> dict[str, str]:
        """Return the headers that request the part still missing."""
        if self.response is None or self._end_offset is None:
            return {}
        last = self._end_offset - 1
        return {'Range': f'bytes={self._next_offset}-{last}', 'If-Range': self._etag}

    async def begin(self, source: BulkSource) -> None:
        """Start the response, or check that the source continues the started one.

        Raises:
            GentianmillError: With code ``short_answer`` if it does not.
        """
        if self.response is None:
            await self._start(source)
            return
        span = source.span
        matches = (
            span and span.start == self._next_offset and span.end == self._end_offset
        )
        if not matches or source.etag != self._etag:
            message = 'the rest of the body is not available in the same version'
            raise GentianmillError(
                ErrorCode.short_answer, STEP, '', message, Outcome.unknown
            )

    async def write(self, chunk: bytes) -> None:
        """Forward a chunk to the caller."""
        if self.response is not None:
            await self.response.write(chunk)
        self._next_offset += len(chunk)

    async def finish(self) -> web.StreamResponse:
        """End the complete response."""
        if self.response is None:
            raise RuntimeError('the response was not started')
        await self.response.write_eof()
        return self.response

    def abort_connection(self) -> None:
        """Abort the connection so that the caller sees an incomplete body."""
        if self._request.transport is not None:
            self._request.transport.abort()

    async def _start(self, source: BulkSource) -> None:
        headers = dict(source.headers)
        headers[OUTCOME] = Outcome.answered.value
        headers[REQUEST_ID] = self.call.request_id
        response = web.StreamResponse(status=source.status, headers=headers)
        if source.span:
            response.content_length = source.span.length
            self._next_offset = source.span.start
            self._end_offset = source.span.end
        self._etag = source.etag if source.has_body else ''
        await response.prepare(self._request)
        self.response = response


def _interrupted(
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


def _result_of(error: GentianmillError | None) -> CallResult:
    if error:
        return CallResult.from_error(error)
    return CallResult(outcome=Outcome.answered, status=web.HTTPOk.status_code)
