"""At-most-once execution: claims of this node, written by group commit."""

import asyncio
import dataclasses
import time
import uuid
from collections.abc import Callable

import structlog

from gentianmill.claims import (
    Claim,
    ClaimRow,
    ClaimState,
    ClaimStep,
    StoredResponse,
    key_expired,
)
from gentianmill.clock import Clock
from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill.outcome import Outcome
from gentianmill_node._claim_committer import MAX_CLAIMS, ClaimCommitter, read_row
from gentianmill_node.table_client import TableStore

__all__ = ['Claim', 'ClaimRequest', 'ClaimStore', 'StoredResponse']

MS_PER_S = 1000
FIRST_POLL_INTERVAL_MS = 50
MAX_POLL_INTERVAL_MS = 1000
MAX_KEY_CHARS = 255
STEP = 'claim'

log = structlog.get_logger()


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRequest:
    """The call that needs a claim.

    ``deadline_ms`` is a time of the store's clock.
    """

    service: str
    tenant: str
    key: str
    digest: bytes
    deadline_ms: float


@dataclasses.dataclass(eq=False, slots=True)
class _PendingCall:
    """A call of this node that other calls with the same key wait for.

    It is kept until its response is recorded, so that a resend during an
    outage of the table gets the response instead of ``store_unavailable``.
    """

    claim: Claim
    completion: 'asyncio.Future[StoredResponse | None]'
    """Set to the response, or to None if the key may be claimed again."""


class ClaimStore:
    """Claim keys, record responses and release claims in the table.

    The holder of a claim calls exactly one of ``record``, ``release`` and
    ``abandon``. These three never suspend, so a task that is cancelled cannot
    lose its report.
    """

    def __init__(
        self,
        table: TableStore,
        clock: Clock,
        node_id: str,
        pause_ms: Callable[[], float],
        unix_s: Callable[[], float] = time.time,
    ) -> None:
        """Create a store.

        Args:
            table: The table service.
            clock: Clock that deadlines refer to.
            node_id: Id of this node, written into its claims.
            pause_ms: Returns the pause after each transaction, in ms.
            unix_s: Returns the Unix time in s, used for the age of keys.
        """
        self._table = table
        self._clock = clock
        self._node_id = node_id
        self._unix_s = unix_s
        self._committer = ClaimCommitter(table, clock, pause_ms, self._forget)
        self._calls: dict[str, _PendingCall] = {}

    @property
    def size(self) -> int:
        """Return the number of claims in memory."""
        return len(self._committer.tracker)

    async def start(self) -> None:
        """Start the write loop."""
        self._committer.start()

    async def close(self, limit_ms: float = 5000) -> None:
        """Refuse new claims and write the pending ones.

        Call it after the last running call has ended: responses recorded later
        are not written.

        Args:
            limit_ms: Maximum wait in ms while the table is unavailable.
        """
        left = await self._committer.close(limit_ms)
        if left:
            log.warning('claims: Closed with unwritten claims.', claims=left)

    async def claim(self, request: ClaimRequest) -> Claim | StoredResponse:
        """Claim a key, or return the response recorded under it.

        Await this directly, not in a separate task: if the caller is cancelled
        after such a task finished, nobody releases the claim that it returned.

        Raises:
            GentianmillError: ``key_reused``, ``key_expired``, ``bad_request``,
                ``settled_not_run``, ``store_unavailable`` and ``deadline`` if
                this call did not run and never will; ``in_progress`` if another
                call with the key may run or have run.
        """
        _check_key(request.key, self._unix_s() * MS_PER_S)
        row_key = self._row(request).row_key
        while True:
            call = self._calls.get(row_key)
            if call is None:
                found = await self._claim_once(request)
            else:
                found = await self._join(call, request)
            if found is not None:
                return found

    async def record(self, claim: Claim, response: StoredResponse) -> None:
        """Record the response of a call that ran; it is written in the background."""
        self._committer.tracker.record(claim, response)
        self._calls[claim.row.row_key].completion.set_result(response)
        self._committer.wake()

    async def release(self, claim: Claim) -> None:
        """Release the claim of a call that certainly did not run."""
        self._committer.tracker.release(claim)
        self._complete(claim, None)

    async def abandon(self, claim: Claim) -> None:
        """Record that a call may have run and that no response will follow."""
        self._committer.tracker.record(claim, None)
        call = self._calls[claim.row.row_key]
        call.completion.set_exception(_in_progress(claim.row))
        # Retrieved here so that asyncio logs nothing if no other call waits for it.
        call.completion.exception()
        self._committer.wake()

    def _row(self, request: ClaimRequest) -> ClaimRow:
        return ClaimRow(
            service=request.service,
            tenant=request.tenant,
            key=request.key,
            digest=request.digest,
            claim_id=uuid.uuid4().hex,
            holder=self._node_id,
        )

    async def _claim_once(self, request: ClaimRequest) -> Claim | StoredResponse | None:
        row = self._row(request)
        if len(self._calls) >= MAX_CLAIMS:
            raise _error(ErrorCode.overloaded, 'too many calls wait for claims')
        claim = self._committer.open(row)
        call = _PendingCall(claim, asyncio.get_running_loop().create_future())
        self._calls[row.row_key] = call
        try:
            response = await self._await_decision(request, claim)
        except BaseException:
            await self.release(claim)
            raise
        if claim.step is ClaimStep.running:
            return claim
        self._complete(claim, response)
        return response

    async def _await_decision(
        self, request: ClaimRequest, claim: Claim
    ) -> StoredResponse | None:
        await self._committer.wait_decided(claim, request.deadline_ms)
        if claim.step is ClaimStep.held:
            self._committer.tracker.start_call(claim)
            return None
        return await self._await_rival(request, claim)

    async def _join(
        self, call: _PendingCall, request: ClaimRequest
    ) -> StoredResponse | None:
        _require_digest(call.claim.row.digest, request)
        wait_s = max(0, request.deadline_ms - self._clock.now_ms()) / MS_PER_S
        try:
            return await asyncio.wait_for(asyncio.shield(call.completion), wait_s)
        except TimeoutError:
            raise _in_progress(self._row(request)) from None

    async def _await_rival(
        self, request: ClaimRequest, claim: Claim
    ) -> StoredResponse | None:
        """Wait for the response of the claim that holds the key.

        Returns:
            The response, or None if that claim was released.
        """
        rival = claim.rival
        pause_ms = FIRST_POLL_INTERVAL_MS
        while rival is not None:
            _require_digest(rival.digest, request)
            left_ms = request.deadline_ms - self._clock.now_ms()
            response = await self._poll(rival)
            if response is not None:
                return response
            if left_ms <= 0:
                raise _in_progress(rival)
            await asyncio.sleep(max(1, min(pause_ms, left_ms)) / MS_PER_S)
            pause_ms = min(pause_ms * 2, MAX_POLL_INTERVAL_MS)
            rival = await _reread(self._table, rival)
        return None

    async def _poll(self, rival: ClaimRow) -> StoredResponse | None:
        try:
            found, _ = await read_row(self._table, rival.response_key)
        except GentianmillError as error:
            log.info('claims: Response row not read; retrying.', error=str(error))
            return None
        if found is not None and found.state is ClaimState.abandoned:
            raise _in_progress(rival)
        if found is not None and found.state is ClaimState.not_run:
            raise _error(
                ErrorCode.settled_not_run,
                f'the call with key {rival.key!r} did not run, as an operator found; '
                'use a new key',
            )
        return None if found is None else found.response

    def _complete(self, claim: Claim, response: StoredResponse | None) -> None:
        call = self._calls.pop(claim.row.row_key)
        call.completion.set_result(response)
        self._committer.wake()

    def _forget(self, claim: Claim) -> None:
        call = self._calls.get(claim.row.row_key)
        if call is not None and call.claim is claim:
            self._calls.pop(claim.row.row_key)


async def _reread(table: TableStore, rival: ClaimRow) -> ClaimRow | None:
    try:
        found, _ = await read_row(table, rival.row_key)
    except GentianmillError as error:
        log.info(
            'claims: Claim row not read; keeping the last known one.', error=str(error)
        )
        return rival
    return found


def _check_key(key: str, now_unix_ms: float) -> None:
    if not 0 < len(key) <= MAX_KEY_CHARS:
        raise _error(
            ErrorCode.bad_request, f'key must have 1 to {MAX_KEY_CHARS} characters'
        )
    if key_expired(key, now_unix_ms):
        raise _error(ErrorCode.key_expired, 'key is older than its retention')


def _require_digest(digest: bytes, request: ClaimRequest) -> None:
    if digest != request.digest:
        raise _error(
            ErrorCode.key_reused, f'key {request.key!r} was used with another body'
        )


def _in_progress(rival: ClaimRow) -> GentianmillError:
    return GentianmillError(
        ErrorCode.in_progress,
        STEP,
        rival.holder,
        f'a call with key {rival.key!r} may run or have run',
        outcome=Outcome.unknown,
    )


def _error(code: ErrorCode, message: str) -> GentianmillError:
    return GentianmillError(code, STEP, '', message)
