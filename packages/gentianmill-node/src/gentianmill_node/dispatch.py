"""Send calls to a member of their service, with retries and hedges."""

import asyncio
import dataclasses

from gentianmill.clock import Clock
from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill.hedge import HedgePolicy
from gentianmill.member import Member
from gentianmill.outcome import Outcome

from gentianmill_node.attempt_limiter import REDIRECTABLE_CODES, AttemptLimiter
from gentianmill_node.call import STATUS_UNAVAILABLE, Call, CallResult
from gentianmill_node.guard import Guard
from gentianmill_node.peer_client import PeerPool
from gentianmill_node.policy import Policy
from gentianmill_node.retry_gate import RetryGate

STEP = 'route'
MS_PER_S = 1000
RETRY_AFTER_MS = 1000

_RETRYABLE_CODES = REDIRECTABLE_CODES | {
    ErrorCode.overloaded,
    ErrorCode.upstream_refused,
}
_UNREACHABLE_CODES = frozenset(
    (ErrorCode.connection_lost, ErrorCode.upstream_unreachable)
)


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchParts:
    """Collaborators of the dispatcher."""

    own_id: str
    clock: Clock
    policy: Policy
    guard: Guard
    peers: PeerPool
    retries: RetryGate
    hedges: HedgePolicy


class Dispatcher:
    """Choose a member for each call and return the result."""

    def __init__(self, parts: DispatchParts) -> None:
        """Create a dispatcher.

        Args:
            parts: Collaborators of the dispatcher.
        """
        self._parts = parts

    async def dispatch(self, call: Call) -> CallResult:
        """Run a call on a member of its service; errors are returned as results."""
        self._parts.retries.on_call()
        if call.depth:
            self._parts.policy.levels.on_egress(call.service, call.rank)
        now_ms = self._parts.clock.now_ms()
        if call.depth == 0 and not self._parts.policy.levels.admits(
            call.service, call.rank, now_ms
        ):
            return CallResult.from_error(_overloaded())
        try:
            return await self._dispatch(call)
        except GentianmillError as error:
            return CallResult.from_error(error)

    def choose(self, call: Call, excluded: frozenset[str]) -> Member:
        """Return the member to which a call is sent next.

        Args:
            call: The call to send.
            excluded: Node ids that were already tried.

        Raises:
            GentianmillError: With code ``no_member`` if there is none left.
        """
        affinity = call.idempotency_key if call.at_most_once else None
        member = self._parts.policy.router.choose(
            call.service, self._parts.clock.now_ms(), excluded, affinity
        )
        if member is None:
            raise GentianmillError(
                ErrorCode.no_member,
                STEP,
                '',
                f'no member of service {call.service!r} takes calls',
                retry_after_ms=RETRY_AFTER_MS,
            )
        return member

    async def _dispatch(self, call: Call) -> CallResult:
        tried: set[str] = set()
        attempts = AttemptLimiter(self._parts.retries, call)
        result = await self._attempt(call, tried)
        while _may_retry(call, result):
            if not await attempts.allow(result.error):
                break
            if self._parts.clock.now_ms() >= call.deadline_ms:
                break
            try:
                result = await self._attempt(call, tried, _redirect_target(result))
            except GentianmillError:
                # No other member is left; return the last result.
                break
        return result

    async def _attempt(
        self, call: Call, tried: set[str], preferred: str = ''
    ) -> CallResult:
        member = self._find_member(call, preferred)
        if member is None or member.node_id in tried:
            member = self.choose(call, frozenset(tried))
        tried.add(member.node_id)
        delay_ms = self._hedge_delay(call)
        if delay_ms is None:
            return await self._send(call, member)
        first = asyncio.ensure_future(self._send(call, member))
        try:
            await asyncio.wait((first,), timeout=delay_ms / MS_PER_S)
            if first.done():
                return first.result()
            return await self._hedge(call, tried, first)
        finally:
            first.cancel()

    def _find_member(self, call: Call, node_id: str) -> Member | None:
        members = self._parts.policy.router.members(call.service)
        return next((member for member in members if member.node_id == node_id), None)

    def _hedge_delay(self, call: Call) -> float | None:
        if not call.identity or not call.operation.is_repeatable_read:
            return None
        return self._parts.hedges.delay_ms(_operation_key(call))

    async def _hedge(
        self, call: Call, tried: set[str], first: asyncio.Task[CallResult]
    ) -> CallResult:
        try:
            member = self.choose(call, frozenset(tried))
        except GentianmillError:
            # There is no member to hedge on; wait for the first attempt.
            return await first
        if not await self._parts.retries.grant(call):
            return await first
        tried.add(member.node_id)
        second = asyncio.ensure_future(self._send(call, member))
        try:
            return await _first_answered(first, second)
        finally:
            second.cancel()

    async def _send(self, call: Call, member: Member) -> CallResult:
        parts = self._parts
        start_ms = parts.clock.now_ms()
        parts.policy.router.on_start(member.node_id, start_ms)
        try:
            result = await self._run_on(call, member)
        except BaseException:
            end_ms = parts.clock.now_ms()
            elapsed_ms = end_ms - start_ms
            parts.policy.router.on_cancelled(member.node_id, end_ms, elapsed_ms)
            raise
        ok = result.outcome is Outcome.answered
        end_ms = parts.clock.now_ms()
        parts.policy.router.on_done(member.node_id, end_ms, end_ms - start_ms, ok)
        self._record_result(call, member, result, end_ms - start_ms)
        return result

    async def _run_on(self, call: Call, member: Member) -> CallResult:
        if member.node_id == self._parts.own_id:
            return await self._parts.guard.run(call)
        return await self._parts.peers.call(member, call)

    def _record_result(
        self, call: Call, member: Member, result: CallResult, latency_ms: float
    ) -> None:
        parts = self._parts
        now_ms = parts.clock.now_ms()
        if result.outcome is Outcome.answered:
            parts.hedges.observe(_operation_key(call), latency_ms)
        if result.load:
            parts.policy.router.on_load(member.node_id, result.load, now_ms)
            parts.policy.levels.update(
                call.service, member.node_id, result.load, now_ms
            )
        if result.error_code in _UNREACHABLE_CODES:
            parts.policy.router.on_unreachable(member.node_id, now_ms)


async def _first_answered(
    first: asyncio.Task[CallResult], second: asyncio.Task[CallResult]
) -> CallResult:
    done, pending = await asyncio.wait(
        (first, second), return_when=asyncio.FIRST_COMPLETED
    )
    call_result = next(iter(done)).result()
    if call_result.outcome is Outcome.answered or not pending:
        return call_result
    return await next(iter(pending))


def _may_retry(call: Call, result: CallResult) -> bool:
    """Return whether the call may be retried on another member.

    The attempt limiter still has to allow it.
    """
    if result.outcome is Outcome.answered:
        busy = result.status == STATUS_UNAVAILABLE
        return busy and call.operation.is_repeatable_read
    if result.outcome is Outcome.unknown:
        return not call.at_most_once
    return result.error_code in _RETRYABLE_CODES


def _redirect_target(result: CallResult) -> str:
    """Return the only node that may run the call, if the error names it."""
    if result.error and result.error.code is ErrorCode.suspect_elsewhere:
        return result.error.peer
    return ''


def _operation_key(call: Call) -> str:
    return f'{call.service}/{call.operation.name}'


def _overloaded() -> GentianmillError:
    return GentianmillError(
        ErrorCode.overloaded,
        STEP,
        '',
        'the service or one that it calls is overloaded for calls of this rank',
        retry_after_ms=RETRY_AFTER_MS,
    )
