"""Sends a request to a node of its service, with retries and hedges on other nodes."""

import asyncio
import random
from collections.abc import Coroutine

from gentianmill.admission_share import ShareTable
from gentianmill.arrivals import Cause
from gentianmill.call_tree import CallTree
from gentianmill.clock import Clock
from gentianmill.hedge import HedgePolicy
from gentianmill.node_table import NodeRecord, NodeTable
from gentianmill.outcome import Outcome
from gentianmill.retry import RetryThrottle
from gentianmill.relay_messages import GuardLoad
from gentianmill_mesh.dispatch_policy import DispatchPolicy
from gentianmill_mesh.guard_call import GuardCall, GuardReply
from gentianmill_mesh.guard_speed import reported_speed
from gentianmill_mesh.hedge_race import HedgeRace
from gentianmill_mesh.http_message import (
    FIRST_SERVER_ERROR,
    HttpResponse,
)
from gentianmill_mesh.relay_link import RelayReply
from gentianmill_mesh.relay_links import RelayLinks
from gentianmill_mesh.request_progress import RequestProgress
from gentianmill_mesh.slot_queue import LATE_MARGIN_MS
from gentianmill_mesh.upstream_guard import (
    CRASH_SUSPECT,
    FAILED_DOWNSTREAM,
    REFUSED_BY_UPSTREAM,
    RETRY_BUDGET,
    UpstreamGuard,
)
from gentianmill_node.logs import component

__all__ = ('DispatchPolicy', 'Dispatcher', 'RequestProgress')

MAX_REDIRECTS = 4
"""Nodes that may refuse a call before its caller is asked to retry later."""

HEDGE_BUDGET_SHARE = 0.6
"""A node sends hedges while it uses less than this part of its permitted ratio of
retries per call. Guards refuse hedges beyond it: retries of lost requests go first."""

QUEUE_WAIT_SHARE = 0.3
"""Part of the target latency that a new request may wait in a queue; a caller that
is refused after this wait can still retry in time."""

HEDGE_FACTOR = 1.3
HEDGE_EXTRA_MS = 20.0
"""A hedge is sent when the first attempt has no reply after the 95th percentile of the
latency, multiplied by the factor, plus the extra time."""

HEDGE_MAX_LOAD = 0.7
"""Load up to which a node is sent hedges, which must not add to an overload."""

UNRELATED_TO_NODE = frozenset(('overloaded', 'deadline', CRASH_SUSPECT, RETRY_BUDGET))
"""Refusals after which the next call may go to the same node at once."""

MS_PER_S = 1000

log = component('entry')


class Dispatcher:
    """Run requests on nodes of their service."""

    def __init__(
        self,
        table: NodeTable,
        own: NodeRecord,
        guard: UpstreamGuard,
        links: RelayLinks,
        shares: ShareTable,
        clock: Clock,
        policy: DispatchPolicy,
    ) -> None:
        """Create a dispatcher.

        Args:
            table: Nodes of the deployment.
            own: Record of this node.
            guard: Runs calls on this node's upstream.
            links: Connections to other nodes.
            shares: Shares of new requests that services can admit.
            clock: Clock of the node.
            policy: Where calls are sent, and how many retries.
        """
        self._table = table
        self._own = own
        self._guard = guard
        self._links = links
        self._shares = shares
        self._clock = clock
        self._policy = policy
        self._placement = policy.placement
        self._rng = random.Random()  # noqa: S311
        self._hedges = HedgePolicy()
        self._throttles: dict[str, RetryThrottle] = {}

    async def run(self, progress: RequestProgress) -> HttpResponse | None:
        """Return the response of an upstream, or None.

        Args:
            progress: The request; its ``runs`` and ``reason`` show why there is no response.
        """
        if not progress.origin.cause.is_duplicate:
            self._throttle(progress.service).on_call(self._clock.now_ms())
        _count_call(self._guard.tree, progress)
        response: HttpResponse | None = None
        if self._guard.crashes.refuses(self._own.service, progress.request):
            progress.reason = CRASH_SUSPECT
            return None
        while node := await self._next_node(progress):
            call = self._call_hedged(progress, node)
            reply = await self._guard.speed.timed(
                progress.request_id, progress.origin, call
            )
            if reply.response is not None:
                if response is not None:
                    response.discard()
                response = reply.response
            if reply.response is None:
                progress.reason = reply.reason
            if not self._may_try_next(progress, reply):
                break
        if _is_failure(response) and progress.failed_at_service:
            self._guard.tree.call_failed(progress.request_id)
        return response

    def candidates(self, service: str) -> list[NodeRecord]:
        """Return the nodes that may get calls of a service.

        Args:
            service: The service.
        """
        nodes = [
            node
            for node in self._table.of_service(service)
            if node.name != self._own.name and self._links.reaches(node)
        ]
        if service == self._guard.service and self._guard.accepts_calls:
            nodes.append(self._own)
        return nodes

    def forget_removed_nodes(self) -> None:
        """Delete the measurements of nodes that are no longer known."""
        self._placement.keep({node.name for node in self._table.records})

    def _throttle(self, service: str) -> RetryThrottle:
        return self._throttles.setdefault(
            service, RetryThrottle(self._policy.retry_ratio)
        )

    def _may_hedge(self, progress: RequestProgress) -> bool:
        throttle = self._throttle(progress.service)
        now_ms = self._clock.now_ms()
        return throttle.used_share(now_ms) < HEDGE_BUDGET_SHARE and throttle.permits(
            now_ms
        )

    async def _next_node(self, progress: RequestProgress) -> NodeRecord | None:
        """Return the node for the next attempt, after a pause if it was rejected before.

        A call of a running tree goes to the nodes that rejected it again, once all others
        were tried.
        """
        if not progress.is_rejection_retry:
            return self._choose(progress)
        retry = progress.retry
        node = None if retry.is_round_over else self._choose(progress)
        if node is None:
            progress.tried -= retry.retry_nodes
            if not (progress.origin.is_inner and retry.begin_round()):
                return None
        pause_ms = retry.pause_ms(self._rng)
        if pause_ms:
            await asyncio.sleep(pause_ms / MS_PER_S)
        is_late = _is_late(progress, self._clock.now_ms())
        return None if is_late else self._choose(progress)

    def _choose(self, progress: RequestProgress) -> NodeRecord | None:
        candidates = self.candidates(progress.service)
        now_ms = self._clock.now_ms()
        # Retries are earned where calls usually arrive; other regions may have some left.
        is_refused_near = progress.retry.was_refused and self._shares.rejects_below(
            progress.rule.name, now_ms
        )
        if progress.stays_in_region and not is_refused_near:
            region = self._own.region
            near = [node for node in candidates if node.region == region]
            candidates = near or candidates
        return self._placement.choose(
            candidates,
            progress.rule.name,
            now_ms,
            progress.tried,
        )

    async def _call_hedged(
        self, progress: RequestProgress, node: NodeRecord
    ) -> GuardReply:
        """Call a node, and hedge on a second one if the first takes unusually long."""
        delay_s = self._hedge_delay_s(progress)
        if delay_s is None:
            return await self._call(progress, node)
        hedge = HedgeRace(delay_s, lambda: self._start_hedge(progress))
        return await hedge.race(self._call(progress, node))

    def _start_hedge(
        self, progress: RequestProgress
    ) -> Coroutine[None, None, GuardReply] | None:
        node = self._hedge_node(progress)
        return None if node is None else self._call(progress, node, Cause.hedge)

    def _hedge_delay_s(self, progress: RequestProgress) -> float | None:
        if not progress.rule.repeatable:
            return None
        delay_ms = self._hedges.delay_ms(progress.rule.name)
        if delay_ms is None:
            return None
        return (delay_ms * HEDGE_FACTOR + HEDGE_EXTRA_MS) / MS_PER_S

    def _hedge_node(self, progress: RequestProgress) -> NodeRecord | None:
        now_ms = self._clock.now_ms()
        node = self._choose(progress)
        if node is None or progress.sends_left <= 0:
            return None
        if self._placement.load_share(node, now_ms) > HEDGE_MAX_LOAD:
            return None
        if self._shares.rejects_below(progress.rule.name, now_ms):
            # All calls of a hedged tree would take retries from admitted trees.
            return None
        if not self._may_hedge(progress):
            return None
        log.info(
            'Second copy sent.',
            request_id=progress.request_id,
            route=progress.rule.name,
            node=node.name,
        )
        return node

    async def _call(
        self,
        progress: RequestProgress,
        node: NodeRecord,
        duplicate_cause: Cause = Cause.retry,
    ) -> GuardReply:
        progress.tried.add(node.name)
        cause = duplicate_cause if progress.was_sent else progress.origin.cause
        is_throttled = cause.is_duplicate and not progress.is_rejection_retry
        progress.runs += 1
        started_ms = self._clock.now_ms()
        self._placement.record_start(node.name, started_ms)
        try:
            relayed = await self._send(node, self._guard_call(progress, cause, node))
        except asyncio.CancelledError:
            spent_ms = self._clock.now_ms() - started_ms
            self._placement.record_cancelled(node.name, progress.rule.name, spent_ms)
            self._count_retry(progress, is_throttled)
            raise
        finally:
            self._placement.record_end(node.name)
        if relayed.reply.outcome is Outcome.not_run:
            progress.runs -= 1
            _record_refusal(progress, node, relayed.reply)
        if _may_have_arrived(relayed.reply):
            self._count_retry(progress, is_throttled)
        self._record_reply(progress, node, relayed, started_ms)
        return relayed.reply

    def _count_retry(self, progress: RequestProgress, is_throttled: bool) -> None:
        # Retries after rejections are bounded by the guards alone.
        if is_throttled:
            self._throttle(progress.service).on_retry(self._clock.now_ms())

    async def _send(self, node: NodeRecord, call: GuardCall) -> RelayReply:
        if node.name == self._own.name:
            reply = await self._guard.run(call)
            return RelayReply(reply, self._guard.load(call.route))
        link = self._links.to(node)
        relayed = await link.call(call)
        if node.zone != self._own.zone:
            self._placement.record_round_trip(
                node, link.latest_round_trip_ms, self._clock.now_ms()
            )
        return relayed

    def _guard_call(
        self, progress: RequestProgress, cause: Cause, node: NodeRecord
    ) -> GuardCall:
        is_away = node.zone != self._own.zone
        return GuardCall(
            service=progress.service,
            request=progress.request,
            deadline_ms=progress.deadline_ms,
            rank=progress.origin.rank,
            max_wait_ms=_max_wait_ms(
                progress,
                self._clock.now_ms(),
                free_slot_only=is_away and self._policy.waits_in_own_zone_only,
            ),
            repeatable=progress.rule.repeatable,
            caller_service=self._own.service,
            route=progress.rule.name,
            cause=cause,
            team=progress.team,
            is_key_holder=progress.is_key_holder,
            is_repeat=progress.is_repeat,
        )

    def _record_load(
        self, progress: RequestProgress, node: NodeRecord, load: GuardLoad
    ) -> None:
        now_ms = self._clock.now_ms()
        calls = load.running + load.queued
        self._placement.record_load(node.name, calls, load.limit, now_ms)
        self._placement.record_speed(node.name, reported_speed(load), now_ms)
        self._shares.record(progress.rule.name, load.shares, now_ms)
        self._shares.record_trees(
            progress.rule.name,
            load.tree_shares,
            now_ms,
            is_inner=progress.origin.is_inner,
        )
        if progress.origin.parent_route is not None:
            self._shares.add_downstream(progress.origin.parent_route, load.shares)

    def _record_reply(
        self,
        progress: RequestProgress,
        node: NodeRecord,
        relayed: RelayReply,
        started_ms: float,
    ) -> None:
        now_ms = self._clock.now_ms()
        if relayed.load is not None:
            self._record_load(progress, node, relayed.load)
        response = relayed.reply.response
        if response is None:
            self._record_failure(progress, node, relayed.reply, started_ms)
        elif relayed.reply.reason == FAILED_DOWNSTREAM:
            return
        elif response.status >= FIRST_SERVER_ERROR:
            self._placement.record_failure(node.name, now_ms)
        else:
            latency_ms = now_ms - started_ms
            self._placement.record_response(
                node.name, progress.rule.name, latency_ms, len(response.body)
            )
            self._hedges.observe(progress.rule.name, latency_ms)
            self._guard.tree.costs.learn(progress.rule.name, relayed.reply.calls)

    def _record_failure(
        self,
        progress: RequestProgress,
        node: NodeRecord,
        reply: GuardReply,
        started_ms: float,
    ) -> None:
        now_ms = self._clock.now_ms()
        log.info(
            'Call not answered.',
            request_id=progress.request_id,
            route=progress.rule.name,
            node=node.name,
            outcome=reply.outcome.value,
            reason=reply.reason,
            after_ms=round(now_ms - started_ms),
        )
        if _may_have_arrived(reply):
            self._placement.record_failure(node.name, now_ms)
        elif reply.reason not in UNRELATED_TO_NODE:
            self._placement.pause(node.name, now_ms)

    def _may_try_next(self, progress: RequestProgress, reply: GuardReply) -> bool:
        if reply.response is not None and not _failed_at_upstream(reply):
            return False
        if _is_late(progress, self._clock.now_ms()) or reply.reason == CRASH_SUSPECT:
            return False
        if _reached_upstream(reply) and progress.outlasts_rejections:
            return progress.retry.may_retry(is_inner=progress.origin.is_inner)
        if not _may_have_arrived(reply):
            return progress.redirects <= MAX_REDIRECTS
        may_have_run = reply.outcome is not Outcome.not_run
        if may_have_run and not progress.rule.repeatable or progress.sends_left <= 0:
            return False
        throttle = self._throttle(progress.service)
        return progress.is_rejection_retry or throttle.permits(self._clock.now_ms())


def _record_refusal(
    progress: RequestProgress, node: NodeRecord, reply: GuardReply
) -> None:
    if _reached_upstream(reply):
        progress.retry.on_rejection(node.name)
    elif reply.reason == RETRY_BUDGET and progress.is_rejection_retry:
        progress.retry.on_budget_refusal(node.name)


def _count_call(tree: CallTree, progress: RequestProgress) -> None:
    if progress.origin.is_inner:
        tree.add_call(progress.request_id, progress.service, progress.rule.name)


def _is_late(progress: RequestProgress, now_ms: float) -> bool:
    return now_ms >= progress.deadline_ms - LATE_MARGIN_MS


def _max_wait_ms(
    progress: RequestProgress, now_ms: float, *, free_slot_only: bool
) -> float:
    left_ms = max(progress.deadline_ms - now_ms, 0)
    if progress.origin.is_inner:
        return left_ms
    if free_slot_only:
        return 0
    target_ms = progress.rule.target_latency_ms or left_ms
    return min(target_ms, left_ms) * QUEUE_WAIT_SHARE


def _is_failure(response: HttpResponse | None) -> bool:
    return response is None or response.status >= FIRST_SERVER_ERROR


def _failed_at_upstream(reply: GuardReply) -> bool:
    """Return whether the upstream itself failed a call, not a downstream service."""
    is_failure = (
        reply.response is not None and reply.response.status == FIRST_SERVER_ERROR
    )
    return is_failure and reply.reason != FAILED_DOWNSTREAM


def _reached_upstream(reply: GuardReply) -> bool:
    """Return whether an upstream refused the call; a retry of it uses the budget."""
    return reply.reason in REFUSED_BY_UPSTREAM


def _may_have_arrived(reply: GuardReply) -> bool:
    """Return whether an upstream may have received the call."""
    return reply.outcome is not Outcome.not_run or _reached_upstream(reply)
