"""Last admission step before the upstream: its queue, concurrency limit and state."""

from gentianmill.admission_share import ShareTable
from gentianmill.arrivals import Cause
from gentianmill.call_tree import CallTree
from gentianmill.clock import Clock
from gentianmill.departures import Departure
from gentianmill.outcome import Outcome
from gentianmill.relay_messages import GuardLoad
from gentianmill.retry_budget import RetryBudgetSettings
from gentianmill.upstream_liveness import UpstreamLiveness
from gentianmill.upstream_status import UpstreamReport, UpstreamStatus
from gentianmill.work_queue import WorkItem

from gentianmill_mesh.retry_budget_gate import RetryBudgetGate
from gentianmill_mesh.crash_watch import CrashWatch
from gentianmill_mesh.guard_call import GuardCall, GuardReply
from gentianmill_mesh.guard_shares import GuardShares
from gentianmill_mesh.guard_speed import GuardSpeed
from gentianmill_mesh.http_message import FIRST_SERVER_ERROR, HttpResponse, header
from gentianmill_mesh.silence_check import SilenceCheck
from gentianmill_mesh.slot_queue import LATE_MARGIN_MS, SlotQueue
from gentianmill_mesh.upstream_connection import LossKind, UpstreamLostError
from gentianmill_mesh.upstream_pool import UpstreamPool
from gentianmill_mesh.wire_names import WireNames
from gentianmill_node.logs import component

log = component('guard')

STARTING = 'starting'
"""Refusal while what an earlier process acknowledged is not known."""

STOPPING = 'draining'
CRASH_SUSPECT = 'crash_suspect'
OTHER_UPSTREAM = 'other_upstream'
RETRY_BUDGET = 'retry_budget'
FAILED_DOWNSTREAM = 'failed_below'
"""The upstream failed a request because a call that it made failed, after the retries of
that call; a retry of the request would multiply them."""

UPSTREAM_FULL = 'upstream_full'
REFUSED_BY_UPSTREAM = frozenset((OTHER_UPSTREAM, UPSTREAM_FULL))

MAX_SLOT_SHARE = 0.95
"""Share of the slots of an upstream that may be used; some slow down when nearly full."""

QUEUE_FACTOR = 6
"""Requests per slot that may wait."""

MS_PER_S = 1000
MISDIRECTED = 421


class UpstreamGuard:
    """Admit, order and run the calls of one upstream."""

    def __init__(
        self,
        service: str,
        pool: UpstreamPool,
        names: WireNames,
        shares: ShareTable,
        clock: Clock,
        budget: RetryBudgetSettings,
    ) -> None:
        """Create a guard that has no report of its upstream yet.

        Args:
            service: Service of the upstream.
            pool: Connections to the upstream.
            names: Header names of the deployment.
            shares: Shares of new requests that the services called by the upstream admit.
            clock: Clock of the node.
            budget: Retry budget of the service.
        """
        self._service = service
        self._pool = pool
        self._names = names
        self._clock = clock
        self._status = UpstreamStatus()
        self._tree = CallTree()
        self._speed = GuardSpeed(self._tree, clock)
        self._slots = SlotQueue(clock)
        self._liveness = UpstreamLiveness()
        self._silence = SilenceCheck(pool)
        self._crashes = CrashWatch(pool, clock)
        self._refusing = ''
        self._gate = RetryBudgetGate(budget, clock)
        self._load_shares = GuardShares(
            service, shares, self._gate, completes_trees=budget.previous_share > 0
        )

    @property
    def gate(self) -> RetryBudgetGate:
        """Return the check of the retry budget."""
        return self._gate

    @property
    def speed(self) -> GuardSpeed:
        """Return the measurement of the upstream's speed."""
        return self._speed

    @property
    def service(self) -> str:
        """Return the service of the upstream."""
        return self._service

    @property
    def crashes(self) -> CrashWatch:
        """Return the watch for crashes of the upstream."""
        return self._crashes

    @property
    def tree(self) -> CallTree:
        """Return the requests that run on the upstream."""
        return self._tree

    @property
    def status(self) -> UpstreamStatus:
        """Return the state that the upstream reported."""
        return self._status

    @property
    def accepts_calls(self) -> bool:
        """Return whether new calls may be sent to the upstream."""
        return self._status.accepts_calls and not self._refusing

    @property
    def busy(self) -> bool:
        """Return whether calls are running or waiting."""
        return self._slots.busy

    def load(self, route: str) -> GuardLoad:
        """Return the load to report to other nodes.

        Args:
            route: Route of the request whose response carries the load.
        """
        now_ms = self._clock.now_ms()
        load = self._slots.load
        self._load_shares.report(load, route, now_ms)
        self._speed.report(load)
        return load

    def apply_report(self, report: UpstreamReport, *, is_current: bool = False) -> bool:
        """Apply a report of the upstream.

        Args:
            report: The report.
            is_current: Whether it was sent after this process had started.

        Returns:
            Whether other nodes must be notified.
        """
        before = _published_state(self._status)
        known = self._status.report
        start = Departure(report.upstream_id, report.start_unix_ms)
        now_ms = self._clock.now_ms()
        if self._status.doubt.observe(
            start, report.sequence, now_ms, is_current=is_current
        ):
            log.info(
                'Upstream is used, it has not left.',
                id=report.upstream_id,
                is_current=is_current,
            )
        if not self._status.apply(report):
            return _published_state(self._status) != before
        if known is not None and known.start_unix_ms != report.start_unix_ms:
            self._crashes.record_crash()
            self._speed.forget()
        self._speed.set_cold(report.cold_ms)
        self._liveness.record_activity(self._clock.now_ms())
        self._apply()
        return _published_state(self._status) != before

    def upstream_left(
        self, upstream_id: str, start_unix_ms: int, now_unix_ms: int
    ) -> bool:
        """Record that the upstream leaves; return whether to notify other nodes.

        Args:
            upstream_id: Its id.
            start_unix_ms: Its start as Unix time in ms, or 0 if it is not told.
            now_unix_ms: Current time as Unix time in ms.
        """
        before = _published_state(self._status)
        self._status.leave(upstream_id, start_unix_ms, now_unix_ms)
        self._apply()
        return _published_state(self._status) != before

    def check(self) -> None:
        """Abandon repeatable requests on an upstream that is gone.

        While it is only silent, new requests go elsewhere and running ones go on.
        """
        now_ms = self._clock.now_ms()
        self._pool.close_expired()
        # The share must follow the load also while nothing is answered.
        self.load('')
        if not (self._liveness.is_silent(now_ms) and self._slots.busy):
            self._silence.reset()
            return
        self._silence.ask()
        if not self._liveness.is_unresponsive(now_ms):
            return
        self._slots.refuse_waiting()
        if not self._silence.is_gone:
            return
        abandoned = self._pool.abandon_repeatable()
        if abandoned:
            log.warning('Upstream gone.', abandoned=abandoned)

    def refuse_calls(self, reason: str) -> None:
        """Refuse new calls; running calls are completed.

        Args:
            reason: Why calls are refused; with an empty one, they are taken again.
        """
        self._refusing = reason
        if reason:
            self._slots.refuse_waiting()

    async def run(self, call: GuardCall) -> GuardReply:
        """Run a call on the upstream.

        Cancelling this coroutine removes the call from the queue or aborts it.

        Args:
            call: The call.
        """
        reason = self._refusal(call)
        if reason:
            return GuardReply.not_run(reason)
        item = WorkItem(
            rank=call.rank,
            deadline_ms=call.deadline_ms,
            expected_ms=LATE_MARGIN_MS,
            max_wait_ms=call.max_wait_ms,
            flow=call.team,
            kind=call.route,
            is_repeat=call.is_repeat,
        )
        if not await self._slots.acquire(item):
            return GuardReply.not_run('overloaded')
        try:
            reply = await self._run(call)
        except BaseException:
            self._slots.release(item)
            raise
        stream = None if reply.response is None else reply.response.stream
        if stream is None:
            self._slots.release(item)
        else:
            # The upstream is at work until it has sent the whole body.
            stream.on_finished(lambda: self._slots.release(item))
        return reply

    def _refusal(self, call: GuardCall) -> str:
        if call.service != self._service:
            return 'other_service'
        if self._refusing:
            return self._refusing
        if not self.accepts_calls:
            return 'draining'
        if not self._liveness.accepts_calls(self._clock.now_ms()):
            return 'down'
        if self._crashes.refuses(call.caller_service, call.request):
            return CRASH_SUSPECT
        return RETRY_BUDGET if self._gate.refuses(call.cause, call.rank) else ''

    async def _run(self, call: GuardCall) -> GuardReply:
        report = self._status.report
        left_ms = call.deadline_ms - self._clock.now_ms()
        if report is None or left_ms <= LATE_MARGIN_MS:
            return GuardReply.not_run('deadline')
        if not self._gate.admit(call.cause, call.rank):
            return GuardReply.not_run(RETRY_BUDGET)
        self._load_shares.on_arrival(call.cause, self._clock.now_ms())
        extra_headers = [
            (self._names.time_left, b'%d' % left_ms),
            (self._names.caller_service, call.caller_service.encode()),
            (self._names.expected_upstream, report.upstream_id.encode()),
        ]
        if call.is_key_holder:
            extra_headers.append((self._names.team, call.team.encode()))
        request_id = header(call.request.headers, self._names.request_id)
        tree_id = (request_id or b'').decode(errors='replace')
        self._tree.start(tree_id, call.rank, call.route, call.cause, call.team)
        call.may_have_run = True
        self._speed.on_start(tree_id, self._slots.running)
        try:
            response = await self._pool.run(
                call.request,
                request_id,
                extra_headers,
                call.repeatable,
                left_ms / MS_PER_S,
                lambda: _may_resend(self._gate, self._tree, call, tree_id),
            )
        except UpstreamLostError as error:
            return self._reply_to_loss(call, error)
        else:
            if _shows_speed(response, self._names):
                self._speed.on_end(
                    tree_id, call.route, self._slots.running, self._slots.limit
                )
            downstream_reason = (
                FAILED_DOWNSTREAM if self._tree.has_failed_downstream(tree_id) else ''
            )
            calls = self._tree.costs.end(tree_id)
            self._tree.end(tree_id)
        finally:
            self._tree.abandon(tree_id, call.deadline_ms, self._clock.now_ms())
            self._speed.abandon(tree_id)
        self._crashes.record_completion(call)
        reply = self._reply_to_response(response, downstream_reason)
        reply.calls = calls
        return reply

    def _reply_to_response(
        self, response: HttpResponse, downstream_reason: str
    ) -> GuardReply:
        now_ms = self._clock.now_ms()
        self._liveness.record_activity(now_ms)
        refusal = _upstream_refusal(response, self._names)
        if refusal:
            response.discard()
        if refusal and not response.attributed:
            return GuardReply.unknown('refusal_of_another')
        if refusal == UPSTREAM_FULL:
            self._load_shares.on_response(accepted=False, now_ms=now_ms)
        if refusal:
            return GuardReply.not_run(refusal)
        self._load_shares.on_response(accepted=True, now_ms=now_ms)
        response.headers = self._names.forwarded_response(response.headers)
        failed = response.status >= FIRST_SERVER_ERROR
        return GuardReply(
            Outcome.answered, response, downstream_reason if failed else ''
        )

    def _reply_to_loss(self, call: GuardCall, error: UpstreamLostError) -> GuardReply:
        if error.kind is LossKind.no_time:
            return GuardReply.not_run('deadline')
        if error.kind is LossKind.timed_out:
            return GuardReply.unknown('deadline')
        if error.kind is not LossKind.before_send:
            self._crashes.record_loss(call)
            return GuardReply.unknown('upstream_lost')
        self._liveness.record_refusal(self._clock.now_ms())
        self._crashes.record_crash()
        self._slots.refuse_waiting()
        return GuardReply.not_run('down')

    def _apply(self) -> None:
        report = self._status.report
        if report is None:
            return
        limit = max(int(report.slots * MAX_SLOT_SHARE), 1)
        self._slots.resize(limit, report.slots * QUEUE_FACTOR)
        self._pool.limit_idle(limit)
        if not self._status.accepts_calls:
            self._slots.refuse_waiting()


def _published_state(status: UpstreamStatus) -> tuple[int, bool]:
    report = status.report
    return (report.slots if report else 0, status.accepts_calls)


def _may_resend(
    gate: RetryBudgetGate, tree: CallTree, call: GuardCall, tree_id: str
) -> bool:
    """Return whether to resend a call on a new connection; count the resend if so."""
    if not gate.admit(Cause.resend, call.rank):
        return False
    tree.start(tree_id, call.rank, call.route, Cause.resend, call.team)
    return True


def _shows_speed(response: HttpResponse, names: WireNames) -> bool:
    """Return whether a request was run; failures and refusals often end early."""
    if response.status >= FIRST_SERVER_ERROR:
        return False
    return not _upstream_refusal(response, names)


def _upstream_refusal(response: HttpResponse, names: WireNames) -> str:
    """Return the reason if a response reports that the request did not run, or ''."""
    if response.status == MISDIRECTED:
        return OTHER_UPSTREAM
    refused = header(response.headers, names.not_run) is not None
    return UPSTREAM_FULL if refused else ''
