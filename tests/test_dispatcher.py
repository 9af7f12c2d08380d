"""What is sent to a second node, and what never is."""

import asyncio
from collections.abc import Sequence

import pytest
from gentianmill.admission_share import ShareTable
from gentianmill.call_tree import CallOrigin
from gentianmill.clock import MonotonicClock
from gentianmill.node_table import NodeRecord, NodeTable
from gentianmill.outcome import Outcome
from gentianmill.repeat_budget import RetryBudgetSettings
from gentianmill.route_rules import Destination, RouteRule
from gentianmill_mesh.dispatcher import Attempt, Dispatcher
from gentianmill_mesh.guard_call import GuardCall, GuardReply
from gentianmill_mesh.http_message import HttpAnswer, HttpRequest
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
"""Calls after which latencies are known and some retries are permitted."""

SLOW_S = 1.5
ANSWER = GuardReply(Outcome.answered, HttpAnswer(200, [], b'ok'))
FAILURE = GuardReply(Outcome.answered, HttpAnswer(500, [], b'failed'))
LOST = GuardReply.unknown('upstream_lost')
REFUSED = GuardReply.not_run('draining')
NO_BUDGET = GuardReply.not_run(RETRY_BUDGET)
LATE = GuardReply.not_run('deadline')
FULL = GuardReply.not_run(UPSTREAM_FULL)
SUSPECT = GuardReply.not_run(CRASH_SUSPECT)


def _node(name: str) -> NodeRecord:
    return node_record(name, service='back', slots=50)


class _Links:
    """Links to nodes that reply by script; ``None`` stands for a slow answer."""

    def __init__(self) -> None:
        """Answer each call."""
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
    def __init__(self, links: _Links, name: str) -> None:
        self._links = links
        self._name = name

    async def call(self, _call: GuardCall) -> RelayReply:
        """Reply by the script."""
        self._links.sent.append(self._name)
        reply = self._links.script.pop(0) if self._links.script else ANSWER
        if reply is None:
            await asyncio.sleep(SLOW_S)
            return RelayReply(ANSWER)
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


def _attempt(*, repeatable: bool, left_ms: float = 2000) -> Attempt:
    return Attempt(
        request=HttpRequest('GET', b'/', [], b''),
        request_id='1',
        rule=_rule(repeatable=repeatable),
        service='back',
        origin=CallOrigin(0, None),
        deadline_ms=MonotonicClock().now_ms() + left_ms,
    )


def _run(
    script: list[GuardReply | None],
    *,
    repeatable: bool,
    warm: int = WARM_CALLS,
    left_ms: float = 2000,
    before: Sequence[Sequence[GuardReply]] = (),
) -> tuple[HttpAnswer | None, int, Attempt]:
    """Return answer, number of sends and attempt, after usual and scripted calls."""

    async def scenario() -> tuple[HttpAnswer | None, int, Attempt]:
        clock = MonotonicClock()
        table = NodeTable()
        table.merge([_node('x'), _node('y'), _node('z')])
        links = _Links()
        shares = ShareTable()
        pool = UpstreamPool('127.0.0.1', 1, NAMES, clock)
        guard = UpstreamGuard(
            'front', pool, NAMES, shares, clock, RetryBudgetSettings()
        )
        dispatcher = Dispatcher(
            table, _node('own'), guard, links, shares, clock, RetryBudgetSettings()
        )
        for _ in range(warm):
            await dispatcher.run(_attempt(repeatable=True))
        for earlier in before:
            links.script = list(earlier)
            await dispatcher.run(_attempt(repeatable=True))
        links.sent.clear()
        links.script = list(script)
        attempt = _attempt(repeatable=repeatable, left_ms=left_ms)
        answer = await dispatcher.run(attempt)
        return answer, len(set(links.sent)), attempt

    return asyncio.run(scenario())


def test_payment_that_may_have_run_is_never_sent_again():
    """A payment whose connection broke may have been made."""
    answer, sends, attempt = _run([LOST], repeatable=False)
    assert (answer, sends, attempt.runs) == (None, 1, 1)


def test_payment_that_was_refused_goes_elsewhere():
    """A refusal by a guard proves that nothing ran."""
    answer, sends, _ = _run([REFUSED, REFUSED], repeatable=False)
    assert (answer.status, sends) == (200, 3)


def test_payment_that_failed_is_never_sent_again():
    """The upstream's own failure counts as run."""
    answer, sends, _ = _run([FAILURE], repeatable=False)
    assert (answer.status, sends) == (500, 1)


@pytest.mark.parametrize('first', [LOST, FAILURE, FULL])
def test_read_that_failed_goes_elsewhere_once(first: GuardReply):
    """A lost lookup leaves a crew idle, though another upstream could answer."""
    answer, sends, _ = _run([first], repeatable=True)
    assert (answer.status, sends) == (200, 2)


def test_call_without_time_is_offered_once():
    """Each further node would be asked for work that nobody can use any more."""
    answer, sends, _ = _run([LATE, LATE], repeatable=True, left_ms=2)
    assert (answer, sends) == (None, 1)


def test_attempts_of_the_route_bound_the_sends():
    """The operator says to how many upstreams a request may be sent."""
    answer, sends, _ = _run([LOST, LOST, LOST], repeatable=True)
    assert (answer, sends) == (None, 2)


def test_no_retry_without_calls_that_permit_it():
    """Retries beyond a ratio of the calls multiply along the call tree."""
    answer, sends, _ = _run([LOST], repeatable=True, warm=0)
    assert (answer, sends) == (None, 1)


def test_retry_that_guards_refused_is_not_counted():
    """Retries that reached no upstream used up those that other guards permit."""
    refused = [(LOST, NO_BUDGET, NO_BUDGET) for _ in range(WARM_CALLS)]
    answer, sends, _ = _run([LOST], repeatable=True, before=refused)
    assert (answer.status, sends) == (200, 2)


def test_slow_read_gets_a_second_copy():
    """An answer that is lost in silence would hold its caller to the deadline."""
    answer, sends, _ = _run([None], repeatable=True)
    assert (answer.status, sends) == (200, 2)


def test_slow_payment_gets_no_second_copy():
    """A payment must not run at two upstreams, however slow the first is."""

    answer, sends, _ = _run([None], repeatable=False)
    assert (answer.status, sends) == (200, 1)


def test_cause_of_crashes_is_not_offered_to_other_nodes():
    """Each further node would be one more upstream to crash."""
    answer, sends, attempt = _run([SUSPECT], repeatable=True)
    assert (answer, sends, attempt.runs) == (None, 1, 0)
