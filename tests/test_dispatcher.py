"""Tests of which calls are sent to a second node, and which never are."""

import asyncio
from collections.abc import Sequence

import pytest
from gentianmill.admission_share import ShareTable
from gentianmill.call_tree import CallOrigin
from gentianmill.clock import MonotonicClock
from gentianmill.node_table import NodeRecord, NodeTable
from gentianmill.outcome import Outcome
from gentianmill.retry_budget import RetryBudgetSettings
from gentianmill.route_rules import Destination, RouteRule
from gentianmill_mesh.dispatch_policy import DispatchPolicy
from gentianmill_mesh.dispatcher import Dispatcher, RequestProgress
from gentianmill_mesh.guard_call import GuardCall, GuardReply
from gentianmill_mesh.http_message import HttpRequest, HttpResponse
from gentianmill_mesh.relay_link import RelayReply
from gentianmill_mesh.upstream_guard import (
    CRASH_SUSPECT,
    RETRY_BUDGET,
    UPSTREAM_FULL,
    UpstreamGuard,
)
from gentianmill_mesh.upstream_pool import UpstreamPool
from mesh_upstream import NAMES
from node_records import node_record

WARM_CALLS = 64
"""Calls after which latencies are known and the retry budget allows some retries."""

SLOW_S = 1.5
RESPONSE = GuardReply(Outcome.answered, HttpResponse(200, [], b'ok'))
FAILURE = GuardReply(Outcome.answered, HttpResponse(500, [], b'failed'))
LOST = GuardReply.unknown('upstream_lost')
REFUSED = GuardReply.not_run('draining')
NO_BUDGET = GuardReply.not_run(RETRY_BUDGET)
LATE = GuardReply.not_run('deadline')
FULL = GuardReply.not_run(UPSTREAM_FULL)
SUSPECT = GuardReply.not_run(CRASH_SUSPECT)


TEAM = 'ants'


def _rejections(count: int) -> list[GuardReply]:
    return [FULL for _ in range(count)]


def _node(name: str) -> NodeRecord:
    return node_record(name, service='back', slots=50)


class _Links:
    """Links to nodes that reply as scripted; ``None`` stands for a slow response."""

    def __init__(self) -> None:
        """Start without a script: each call succeeds."""
        self.script: list[GuardReply | None] = []
        self.sent: list[str] = []
        self.unreachable: set[str] = set()

    def to(self, record: NodeRecord) -> '_Link':
        """Return the link to a node."""
        return _Link(self, record.name)

    def reaches(self, record: NodeRecord) -> bool:
        """Return whether a node is not known to be unreachable."""
        return record.name not in self.unreachable


class _Link:
    latest_round_trip_ms = 1.0

    def __init__(self, links: _Links, name: str) -> None:
        self._links = links
        self._name = name

    async def call(self, _call: GuardCall) -> RelayReply:
        """Reply as scripted."""
        self._links.sent.append(self._name)
        reply = self._links.script.pop(0) if self._links.script else RESPONSE
        if reply is None:
            await asyncio.sleep(SLOW_S)
            return RelayReply(RESPONSE)
        return RelayReply(reply)


def _rule(*, repeatable: bool) -> RouteRule:
    return RouteRule(
        name='r',
        host='h',
        prefix='/',
        destinations=(Destination('back', 1),),
        repeatable=repeatable,
        bulk=False,
        timeout_ms=None,
        target_latency_ms=None,
        max_attempts=2,
        priority=0,
    )


def _attempt(
    *,
    repeatable: bool,
    left_ms: float = 2000,
    parent_route: str | None = None,
    team: str = '',
) -> RequestProgress:
    return RequestProgress(
        request=HttpRequest('GET', b'/', [], b''),
        request_id='1',
        rule=_rule(repeatable=repeatable),
        service='back',
        origin=CallOrigin(0, parent_route),
        team=team if parent_route is None else TEAM,
        deadline_ms=MonotonicClock().now_ms() + left_ms,
    )


def _run(
    script: list[GuardReply | None],
    *,
    repeatable: bool,
    warm_calls: int = WARM_CALLS,
    left_ms: float = 2000,
    before: Sequence[Sequence[GuardReply]] = (),
    parent_route: str | None = None,
    nodes: Sequence[NodeRecord] = (),
    team: str = '',
) -> tuple[HttpResponse | None, int, RequestProgress]:
    """Return the response, the number of nodes called and the attempt.

    Args:
        script: Replies to this call; calls beyond them succeed.
        repeatable: Whether the route allows retries.
        warm_calls: Successful calls made first.
        left_ms: Time until the deadline.
        before: Scripts of earlier calls.
        parent_route: Route of the running request that makes the call, if any.
        nodes: Nodes of the service; three of the own zone if empty.
        team: Team of the call; calls of a running request have one anyway.
    """

    async def scenario() -> tuple[HttpResponse | None, int, RequestProgress]:
        clock = MonotonicClock()
        table = NodeTable()
        table.merge(nodes or [_node('x'), _node('y'), _node('z')])
        links = _Links()
        shares = ShareTable()
        pool = UpstreamPool('127.0.0.1', 1, NAMES, clock)
        guard = UpstreamGuard(
            'front', pool, NAMES, shares, clock, RetryBudgetSettings()
        )
        dispatcher = Dispatcher(
            table,
            _node('own'),
            guard,
            links,
            shares,
            clock,
            DispatchPolicy.of_node(_node('own'), RetryBudgetSettings()),
        )
        for _ in range(warm_calls):
            await dispatcher.run(_attempt(repeatable=True))
        for earlier in before:
            links.script = list(earlier)
            await dispatcher.run(_attempt(repeatable=True))
        links.sent.clear()
        links.script = list(script)
        attempt = _attempt(
            repeatable=repeatable,
            left_ms=left_ms,
            parent_route=parent_route,
            team=team,
        )
        response = await dispatcher.run(attempt)
        return response, len(set(links.sent)), attempt

    return asyncio.run(scenario())


def test_payment_that_may_have_run_is_never_sent_again():
    """Guards against paying twice when a connection is lost after a payment ran."""
    response, sends, attempt = _run([LOST], repeatable=False)
    assert (response, sends, attempt.runs) == (None, 1, 1)


def test_payment_that_was_refused_is_sent_to_another_node():
    """Guards against failing a payment whose refusal proves that it did not run."""
    response, sends, _ = _run([REFUSED, REFUSED], repeatable=False)
    assert (response.status, sends) == (200, 3)


def test_payment_that_failed_is_never_sent_again():
    """Guards against paying twice when an upstream reports a failure after running."""
    response, sends, _ = _run([FAILURE], repeatable=False)
    assert (response.status, sends) == (500, 1)


@pytest.mark.parametrize('first', [LOST, FAILURE, FULL])
def test_read_that_failed_is_sent_to_one_other_node(first: GuardReply):
    """Guards against failing a lookup that another upstream could serve.

    The crew that needs its result would be idle meanwhile.
    """
    response, sends, _ = _run([first], repeatable=True)
    assert (response.status, sends) == (200, 2)


def test_call_without_time_left_is_offered_once():
    """Guards against offering further nodes work whose result nobody can use."""
    response, sends, _ = _run([LATE, LATE], repeatable=True, left_ms=2)
    assert (response, sends) == (None, 1)


def test_attempts_of_the_route_bound_the_sends():
    """Guards against sending a request to more upstreams than the operator allows."""
    response, sends, _ = _run([LOST, LOST, LOST], repeatable=True)
    assert (response, sends) == (None, 2)


def test_no_retry_before_calls_have_earned_its_budget():
    """Guards against retries beyond a ratio of calls, which multiply in a call tree."""
    response, sends, _ = _run([LOST], repeatable=True, warm_calls=0)
    assert (response, sends) == (None, 1)


def test_retry_that_guards_refused_is_not_counted():
    """Guards against retries that reach no upstream and still use up the budget."""
    refused = [(LOST, NO_BUDGET, NO_BUDGET) for _ in range(WARM_CALLS)]
    response, sends, _ = _run([LOST], repeatable=True, before=refused)
    assert (response.status, sends) == (200, 2)


def test_slow_read_is_hedged():
    """Guards against a caller that waits until its deadline for a lost response."""
    response, sends, _ = _run([None], repeatable=True)
    assert (response.status, sends) == (200, 2)


def test_slow_payment_is_not_hedged():
    """Guards against running a payment at two upstreams because the first is slow."""

    response, sends, _ = _run([None], repeatable=False)
    assert (response.status, sends) == (200, 1)


def test_crash_suspect_is_not_offered_to_other_nodes():
    """Guards against a request that crashes the upstream of each further node."""
    response, sends, attempt = _run([SUSPECT], repeatable=True)
    assert (response, sends, attempt.runs) == (None, 1, 0)


@pytest.mark.parametrize('repeatable', [True, False])
def test_rejected_call_of_a_tree_is_sent_until_it_is_taken(repeatable: bool):
    """Guards against a tree whose finished work is lost since two upstreams rejected.

    The sender has earned no retries, and each of the three upstreams rejects twice.
    """
    response, sends, attempt = _run(
        _rejections(6), repeatable=repeatable, warm_calls=0, parent_route='parent'
    )
    assert (response.status, sends) == (200, 3)
    assert attempt.retry.rejections == 6


def test_rejected_payment_that_may_have_run_is_never_sent_again():
    """Guards against paying twice when a retry after a rejection is lost."""
    response, _, attempt = _run([FULL, LOST], repeatable=False, parent_route='parent')
    assert (response, attempt.runs) == (None, 1)


def test_rejections_do_not_use_up_the_attempts_of_the_route():
    """Guards against a read that is not repeated after a loss, as it was rejected."""
    script = [FULL, LOST, FULL, LOST, LOST]
    response, _, attempt = _run(script, repeatable=True, parent_route='parent')
    assert (response, attempt.runs) == (None, 2)


def test_rejected_call_ends_at_its_deadline():
    """Guards against retries of a call whose request nobody waits for."""
    response, _, attempt = _run(
        _rejections(10_000), repeatable=True, left_ms=100, parent_route='parent'
    )
    assert (response, attempt.runs) == (None, 0)
    assert attempt.retry.rejections < 100


def test_rejected_call_ends_when_the_guards_have_no_budget():
    """Guards against asking guards until the deadline for a budget that is used up."""
    script = [FULL, *(NO_BUDGET for _ in range(10_000))]
    response, _, attempt = _run(
        script, repeatable=True, left_ms=60_000, parent_route='parent'
    )
    assert (response, attempt.reason) == (None, RETRY_BUDGET)


def test_new_request_that_all_upstreams_reject_is_returned():
    """Guards against a new request that goes round while it could be refused."""
    response, sends, attempt = _run(_rejections(10), repeatable=True, team=TEAM)
    assert (response, sends, attempt.runs) == (None, 3, 0)
    assert attempt.retry.rejections == 3


@pytest.mark.parametrize(('rejections', 'called'), [(4, 1), (5, 2)])
def test_rejected_call_of_a_tree_stays_in_its_region_at_first(
    rejections: int, called: int
):
    """Guards against billed retries in another region where all upstreams reject."""
    away = node_record('away', zone='far', region='far', service='back')
    response, sends, _ = _run(
        _rejections(rejections),
        repeatable=True,
        warm_calls=0,
        parent_route='parent',
        nodes=[_node('near'), away],
    )
    assert response is not None
    assert sends == called


def test_rejections_use_up_the_attempts_where_there_are_no_teams():
    """Guards against other retries in deployments that have no teams."""
    response, sends, attempt = _run(_rejections(10), repeatable=True)
    assert (response, sends) == (None, 2)
    assert attempt.retry.rejections == 2
