"""Takes a request of a caller to an upstream and decides what the caller gets."""

import dataclasses
import random

from gentianmill.clock import Clock
from gentianmill.node_table import NodeRecord, NodeTable
from gentianmill.outcome import Outcome
from gentianmill.placement import Placement
from gentianmill.retry import RetryThrottle
from gentianmill.route_rules import RouteRule, SplitCounter
from gentianmill_mesh.http_message import HttpAnswer, HttpRequest
from gentianmill_mesh.relay_link import RelayReply
from gentianmill_mesh.relay_links import RelayLinks
from gentianmill_mesh.rules_holder import RulesHolder
from gentianmill_mesh.upstream_guard import GuardCall, GuardReply, UpstreamGuard
from gentianmill_node.logs import component

DEFAULT_TIME_MS = 15_000.0
"""Time for a request whose caller and route set no limit."""

MAX_REDIRECTS = 4
"""Nodes that may refuse a call before its caller is told to come back."""

RETRY_RATIO = 0.08
"""Retries per call of this node; the platform's bound for all is 0.2."""

HANDOVER_MARGIN_MS = 20.0
"""The answer of an upstream needs this long to reach the caller in time."""

RETRY_AFTER_S = (0.3, 0.9)
"""Bounds of the pause that a refused caller is told; spread out, so that callers
who were refused together do not return together."""

RANKS_PER_PRIORITY = 2

STATUS_NOT_FOUND = 404
STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
STATUS_TIMEOUT = 504

log = component('entry')


@dataclasses.dataclass(slots=True)
class CallerRequest:
    """A request as it came from a caller on the VM."""

    request: HttpRequest
    request_id: str
    host: str
    path: str
    arrived_ms: float
    time_left_ms: float | None


@dataclasses.dataclass(slots=True)
class _Attempt:
    """A request on its way, with what was tried."""

    caller: CallerRequest
    rule: RouteRule
    service: str
    deadline_ms: float
    refused_by: set[str] = dataclasses.field(default_factory=set)
    runs: int = 0
    """Upstreams that may have run it."""

    reason: str = 'no_node'


class Forwarder:
    """Forward requests by the routing rules in force."""

    def __init__(
        self,
        rules: RulesHolder,
        table: NodeTable,
        own: NodeRecord,
        guard: UpstreamGuard,
        links: RelayLinks,
        clock: Clock,
    ) -> None:
        """Create a forwarder.

        Args:
            rules: Routing rules in force.
            table: Nodes of the deployment.
            own: Record of the own node.
            guard: Runs calls on the own upstream.
            links: Connections to other nodes.
            clock: Clock of the node.
        """
        self._rules = rules
        self._table = table
        self._own = own
        self._guard = guard
        self._links = links
        self._clock = clock
        self._split = SplitCounter()
        self._placement = Placement(own.zone, own.region, random.Random())  # noqa: S311
        self._throttle = RetryThrottle(RETRY_RATIO)
        rules.on_change(self._split.keep)

    async def forward(self, caller: CallerRequest) -> HttpAnswer:
        """Return the answer for the caller.

        Args:
            caller: The request.
        """
        rules = self._rules.rules
        if rules is None:
            return self._refusal(caller, 'no_rules')
        rule = rules.find(caller.host, caller.path)
        if rule is None:
            log.info('No route.', request_id=caller.request_id, rules=rules.version)
            return HttpAnswer(STATUS_NOT_FOUND, [], b'no route\n')
        service = self._split.pick(rule)
        deadline_ms = _deadline_ms(caller, rule)
        return await self._run(_Attempt(caller, rule, service, deadline_ms))

    async def _run(self, attempt: _Attempt) -> HttpAnswer:
        self._throttle.on_call(self._clock.now_ms())
        while True:
            node = self._choose(attempt)
            if node is None:
                return self._give_up(attempt)
            reply = await self._call(attempt, node)
            if reply.answer is not None:
                return reply.answer
            attempt.reason = reply.reason
            if not self._may_go_on(attempt, node, reply):
                return self._give_up(attempt)

    def _choose(self, attempt: _Attempt) -> NodeRecord | None:
        return self._placement.choose(
            self._candidates(attempt.service),
            attempt.rule.name,
            self._clock.now_ms(),
            attempt.refused_by,
        )

    def _candidates(self, service: str) -> list[NodeRecord]:
        nodes = [
            node
            for node in self._table.of_service(service)
            if node.name != self._own.name
        ]
        if service == self._guard.service and self._guard.takes_calls:
            nodes.append(self._own)
        return nodes

    async def _call(self, attempt: _Attempt, node: NodeRecord) -> GuardReply:
        call = self._guard_call(attempt)
        started_ms = self._clock.now_ms()
        self._placement.start(node.name)
        try:
            relayed = await self._send(node, call)
        finally:
            self._placement.end(node.name)
        self._learn(attempt, node, relayed, started_ms)
        return relayed.reply

    async def _send(self, node: NodeRecord, call: GuardCall) -> RelayReply:
        if node.name == self._own.name:
            reply = await self._guard.run(call)
            return RelayReply(reply, self._guard.load)
        return await self._links.to(node).call(call)

    def _guard_call(self, attempt: _Attempt) -> GuardCall:
        rule = attempt.rule
        return GuardCall(
            service=attempt.service,
            request=attempt.caller.request,
            deadline_ms=attempt.deadline_ms,
            rank=rule.priority * RANKS_PER_PRIORITY,
            repeatable=rule.repeatable,
            caller_service=self._own.service,
        )

    def _learn(
        self,
        attempt: _Attempt,
        node: NodeRecord,
        relayed: RelayReply,
        started_ms: float,
    ) -> None:
        now_ms = self._clock.now_ms()
        load = relayed.load
        if load is not None:
            calls = load.running + load.queued
            self._placement.loaded(node.name, calls, load.limit, now_ms)
        reply = relayed.reply
        if reply.answer is not None:
            self._placement.answered(node.name, attempt.rule.name, now_ms - started_ms)
            return
        log.info(
            'Call not answered.',
            request_id=attempt.caller.request_id,
            route=attempt.rule.name,
            node=node.name,
            outcome=reply.outcome.value,
            reason=reply.reason,
            after_ms=round(now_ms - started_ms),
        )
        if reply.outcome is Outcome.not_run and reply.reason != 'overloaded':
            self._placement.pause(node.name, now_ms)
        elif reply.outcome is not Outcome.not_run and reply.reason != 'deadline':
            self._placement.failed(node.name, now_ms)

    def _may_go_on(
        self, attempt: _Attempt, node: NodeRecord, reply: GuardReply
    ) -> bool:
        attempt.refused_by.add(node.name)
        attempt.runs += reply.outcome is not Outcome.not_run
        now_ms = self._clock.now_ms()
        if now_ms >= attempt.deadline_ms:
            return False
        if reply.outcome is Outcome.not_run:
            return len(attempt.refused_by) <= MAX_REDIRECTS
        if not attempt.rule.repeatable or attempt.runs >= attempt.rule.max_attempts:
            return False
        return self._throttle.try_retry(now_ms)

    def _give_up(self, attempt: _Attempt) -> HttpAnswer:
        if not attempt.runs:
            return self._refusal(attempt.caller, attempt.reason)
        status = STATUS_BAD_GATEWAY
        if attempt.reason == 'deadline':
            status = STATUS_TIMEOUT
        log.info(
            'Request failed.',
            request_id=attempt.caller.request_id,
            route=attempt.rule.name,
            reason=attempt.reason,
            status=status,
        )
        return HttpAnswer(status, [], b'no answer\n')

    def _refusal(self, caller: CallerRequest, reason: str) -> HttpAnswer:
        pause_s = random.uniform(*RETRY_AFTER_S)  # noqa: S311
        log.info('Request refused.', request_id=caller.request_id, reason=reason)
        headers = [[b'Retry-After', b'%.2f' % pause_s]]
        return HttpAnswer(STATUS_UNAVAILABLE, headers, b'not run\n')


def _deadline_ms(caller: CallerRequest, rule: RouteRule) -> float:
    limits = [
        limit_ms
        for limit_ms in (caller.time_left_ms, rule.timeout_ms)
        if limit_ms is not None
    ]
    left_ms = min(limits, default=DEFAULT_TIME_MS)
    return caller.arrived_ms + left_ms - HANDOVER_MARGIN_MS
