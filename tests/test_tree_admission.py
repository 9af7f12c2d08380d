"""Tests of the way from a rejecting service to the entries of its call trees."""

import asyncio
import random

import pytest
from call_fleet import Fleet
from gentianmill.retry_budget import RetryBudgetSettings
from gentianmill.route_rules import Destination, RequestLimits, RouteRule, RuleSet
from gentianmill_mesh.entry_admission import REJECTED_BELOW, EntryAdmission
from virtual_time import LoopClock, run_virtual

BEGIN_S = 14
END_S = 18
RUN_S = 20
REQUESTS_PER_S = 40
REJECTED_SHARE = 0.55
CALLS = {'b': 2, 'c': 2, 'd': 6}
"""Calls of a request to a, by the call chain of the fleet."""

RULE = RouteRule(
    name='a',
    host='h',
    prefix='/',
    destinations=(Destination('a', 1),),
    repeatable=True,
    bulk=False,
    timeout_ms=None,
    target_latency_ms=None,
    max_attempts=2,
    priority=0,
)
LIMITS = RequestLimits(0, 0, 0, 0)


def _rejection(node: str, now_s: float) -> float:
    return REJECTED_SHARE * (node.startswith('d') and BEGIN_S <= now_s < END_S)


class _Entries:
    """Requests from all nodes of the first service, and what their entries decide."""

    def __init__(self, previous_share: float) -> None:
        budget = RetryBudgetSettings(slack=20, previous_share=previous_share)
        self.fleet = Fleet(
            3,
            lambda *_: 0,
            random.Random(1),
            rejection=_rejection,
            budget=budget,
            team='ants',
        )
        self.refusals: list[tuple[float, str]] = []
        self.late_shares: list[dict[str, float]] = []
        self._admissions = {}
        rules = RuleSet(1, [RULE], {}, LIMITS)
        for name, node in self.fleet.nodes.items():
            admission = EntryAdmission(node.shares, node.guard.tree.costs, LoopClock())
            admission.set_rules(rules)
            self._admissions[name] = admission

    async def run(self) -> '_Entries':
        loop = asyncio.get_running_loop()
        callers = []
        while loop.time() < RUN_S:
            await asyncio.sleep(self.fleet.rng.expovariate(REQUESTS_PER_S))
            entry = self.fleet.rng.choice(['a0', 'a1', 'b0', 'b1'])
            reason = self._admissions[entry].refusal(RULE, RULE.priority, None)
            if reason:
                self.refusals.append((loop.time(), reason))
            else:
                callers.append(asyncio.ensure_future(self.fleet.call(entry, 'a')))
            if loop.time() > END_S + 1:
                shares = self.fleet.nodes[entry].shares
                self.late_shares.append(shares.tree_shares(loop.time() * 1000))
        await asyncio.gather(*callers)
        return self


async def _run(previous_share: float) -> _Entries:
    return await _Entries(previous_share).run()


def test_entries_learn_the_calls_of_a_tree():
    """Guards against a division by costs that lack the deeper levels."""
    entries = run_virtual(_run(0.75))
    calls = entries.fleet.nodes['b0'].guard.tree.costs.calls('a')
    assert calls.keys() == CALLS.keys()
    assert calls == pytest.approx(CALLS, abs=1)


def test_entries_refuse_only_while_the_leaf_rejects():
    """Guards against refusals before, and more than a second after the rejections."""
    entries = run_virtual(_run(0.75))
    times = [at_s for at_s, reason in entries.refusals if reason == REJECTED_BELOW]
    assert len(times) > REQUESTS_PER_S
    assert min(times) >= BEGIN_S
    assert max(times) <= END_S + 1
    assert entries.late_shares
    assert not any(entries.late_shares)


def test_entries_do_not_divide_unless_the_budget_has_a_later_part():
    """Guards against a behaviour that no setting has enabled."""
    entries = run_virtual(_run(0))
    assert REJECTED_BELOW not in {reason for _, reason in entries.refusals}
