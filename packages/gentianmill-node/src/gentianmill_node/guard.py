"""The guard: the last admission check before this node's upstream."""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator

from gentianmill.admission import Ticket
from gentianmill.clock import Clock
from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill.messages import CallFrame, LoadReport
from gentianmill.outcome import Outcome
from gentianmill.sheet import Sheet

from gentianmill_node.admission_gate import AdmissionGate
from gentianmill_node.call import Call, CallResult
from gentianmill_node.claim_store import Claim, ClaimRequest, ClaimStore, StoredResponse
from gentianmill_node.guard_holds import RunningHold, SlotHold
from gentianmill_node.policy import Policy
from gentianmill_node.running_calls import RunningCalls
from gentianmill_node.sheet_source import SheetSource
from gentianmill_node.suspect_gate import SuspectGate
from gentianmill_node.upstream_client import UpstreamClient

STEP = 'guard'
RETRY_AFTER_MS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class GuardParts:
    """Collaborators of the guard."""

    service: str
    clock: Clock
    sheets: SheetSource
    upstream: UpstreamClient
    gate: AdmissionGate
    policy: Policy
    suspects: SuspectGate
    claims: ClaimStore
    running: RunningCalls


class Guard:
    """Admit calls to this node's upstream and run them."""

    def __init__(self, parts: GuardParts) -> None:
        """Create a guard.

        Args:
            parts: Collaborators of the guard.
        """
        self._parts = parts
        self._draining = False
        self._upstream_draining = False
        self._tasks: set[asyncio.Task[CallResult]] = set()
        self._active = 0

    @property
    def draining(self) -> bool:
        """Return whether the node itself is draining."""
        return self._draining

    @property
    def active(self) -> int:
        """Return the number of calls in the queue or on the upstream."""
        return self._active

    def start_drain(self) -> None:
        """Refuse new calls from now on; calls already accepted are finished."""
        self._draining = True

    def mark_upstream_draining(self, draining: bool) -> None:
        """Set whether new calls are refused because the upstream is draining.

        The node itself keeps running.
        """
        self._upstream_draining = draining

    def load(self) -> LoadReport:
        """Return the load report that is attached to each response."""
        queue = self._parts.gate.queue
        return LoadReport(
            in_flight=queue.in_flight + queue.queued,
            limit=self._parts.gate.limit,
            queue_delay_ms=queue.queue_delay_ms,
            level=self._parts.policy.level.level,
            draining=self._refuses_calls,
            levels_below=self._parts.policy.levels.levels(self._parts.clock.now_ms()),
        )

    def call_from_frame(self, frame: CallFrame) -> Call:
        """Return the call that a frame from another node requests.

        Raises:
            GentianmillError: If this node does not serve it.
        """
        if frame.service != self._parts.service:
            raise GentianmillError(
                ErrorCode.unknown_service,
                STEP,
                '',
                f'this node serves {self._parts.service!r}, not {frame.service!r}',
            )
        operation = self._parts.sheets.required().find_operation(
            frame.service, frame.method, frame.path
        )
        if operation is None:
            raise GentianmillError(
                ErrorCode.unknown_operation,
                STEP,
                '',
                f'the sheet has no operation {frame.method} {frame.path!r}',
            )
        return Call.from_frame(frame, operation, self._parts.clock.now_ms())

    async def run_frame(self, frame: CallFrame) -> CallResult:
        """Run a call from another node; errors are returned as results."""
        try:
            call = self.call_from_frame(frame)
        except GentianmillError as error:
            return CallResult.from_error(error)
        return await self.run(call)

    async def run(self, call: Call) -> CallResult:
        """Run a call; errors are returned as results.

        An at-most-once call is finished and its response recorded even if its
        caller no longer waits.
        """
        try:
            if call.at_most_once:
                result = await asyncio.shield(self._start(call))
            else:
                result = await self._run_counted(call)
        except GentianmillError as error:
            result = CallResult.from_error(error)
        result.load = self.load()
        return result

    @contextlib.asynccontextmanager
    async def admitted(self, call: Call) -> AsyncIterator[str]:
        """Hold a slot of the upstream for a call.

        Args:
            call: The call to admit.

        Returns:
            A context manager that yields the context token.

        Raises:
            GentianmillError: If the call is refused; it did not run then.
        """
        self._check(call)
        async with SlotHold(
            self._parts.gate, _ticket(self._parts.sheets.required(), call)
        ):
            self._active += 1
            try:
                async with RunningHold(
                    self._parts.suspects, self._parts.running, call
                ) as token:
                    self._check_upstream()
                    yield token
            finally:
                self._active -= 1

    @property
    def _refuses_calls(self) -> bool:
        return self._draining or self._upstream_draining

    async def _run_checked(self, call: Call) -> CallResult:
        self._check(call)
        if not call.at_most_once:
            return await self._run_admitted(call)
        claim = await self._parts.claims.claim(_claim_request(call))
        if isinstance(claim, StoredResponse):
            return _stored_result(claim)
        return await self._run_claimed(call, claim)

    def _start(self, call: Call) -> asyncio.Task[CallResult]:
        task = asyncio.ensure_future(self._run_counted(call))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _run_counted(self, call: Call) -> CallResult:
        self._active += 1
        try:
            return await self._run_checked(call)
        finally:
            self._active -= 1

    def _check(self, call: Call) -> None:
        if self._refuses_calls:
            raise _draining_error()
        # Refuses early, before a claim is written; RunningHold checks again.
        self._parts.suspects.may_run(call.digest)
        if not self._parts.policy.level.admits(call.rank):
            raise GentianmillError(
                ErrorCode.overloaded,
                STEP,
                '',
                'the call ranks below the admission level',
                retry_after_ms=RETRY_AFTER_MS,
            )

    def _check_upstream(self) -> None:
        """Refuse a call whose upstream started to drain while the call waited.

        If only the node itself is draining, the calls that it accepted still run.
        """
        if self._upstream_draining:
            raise _draining_error()

    async def _run_claimed(self, call: Call, claim: Claim) -> CallResult:
        claims = self._parts.claims
        try:
            result = await self._run_admitted(call)
        except GentianmillError as error:
            if error.outcome.surely_not_run:
                await claims.release(claim)
            else:
                await claims.abandon(claim)
            raise
        except BaseException:
            # The outcome of the work is unknown, so the key stays claimed.
            await claims.abandon(claim)
            raise
        await claims.record(
            claim, StoredResponse(result.status, result.headers, result.body)
        )
        return result

    async def _run_admitted(self, call: Call) -> CallResult:
        async with SlotHold(
            self._parts.gate, _ticket(self._parts.sheets.required(), call)
        ):
            async with RunningHold(
                self._parts.suspects, self._parts.running, call
            ) as token:
                return await self._run_upstream(call, token)

    async def _run_upstream(self, call: Call, token: str) -> CallResult:
        self._check_upstream()
        left_ms = call.deadline_ms - self._parts.clock.now_ms()
        if left_ms <= 0:
            message = 'the deadline passed before the call could start'
            raise GentianmillError(
                ErrorCode.deadline, STEP, '', message, Outcome.expired
            )
        epoch = self._parts.suspects.epoch
        try:
            return await self._parts.upstream.run(call, token, left_ms)
        except GentianmillError as error:
            if error.code is ErrorCode.connection_lost:
                await self._report_crash(epoch)
            raise

    async def _report_crash(self, epoch: int) -> None:
        if await self._parts.upstream.crashed():
            await self._parts.suspects.crash(epoch)


def _ticket(sheet: Sheet, call: Call) -> Ticket:
    return Ticket(
        work_class=sheet.class_of_rank(call.rank),
        tenant=call.tenant,
        share=sheet.tenant_share(call.tenant),
        size=call.operation.size,
        rank=call.rank,
        deadline_ms=call.deadline_ms,
        operation=call.operation.name,
    )


def _draining_error() -> GentianmillError:
    return GentianmillError(ErrorCode.draining, STEP, '', 'the upstream is leaving')


def _claim_request(call: Call) -> ClaimRequest:
    return ClaimRequest(
        service=call.service,
        tenant=call.tenant,
        key=call.idempotency_key,
        digest=call.digest,
        deadline_ms=call.deadline_ms,
    )


def _stored_result(response: StoredResponse) -> CallResult:
    return CallResult(
        outcome=Outcome.answered,
        status=response.status,
        headers=response.headers,
        body=response.body,
    )
