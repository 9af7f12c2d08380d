"""Measure the cost of the decision objects against the number of members.

``.venv/bin/python bench/decisions.py`` prints one JSON line: microseconds per
operation at each size, the minimum of several rounds, and the slope per member.
"""

import functools
import json
import random
import statistics
import time
from collections.abc import Callable

from gentianmill.member import Member, MemberStatus
from gentianmill.messages import LoadReport
from gentianmill.retry import HomePicker, RetryLedger
from gentianmill.routing import Router
from gentianmill.sheet_models import LimitsModel
from gentianmill.crash_suspects import Strike, SuspectList

SIZES = (12, 100, 300, 610)
MEMBERS_PER_SERVICE = 11
CALLS_PER_ROUND = 5000
ROUNDS = 5
STEP_MS = 1.0
LATENCY_MS = 20.0
WINDOW_MS = 600_000.0
KEYS = tuple(f'request {number}' for number in range(997))
DIGESTS = tuple(f'{number:016d}'.encode() for number in range(997))


def _members(count: int) -> list[Member]:
    return [
        Member(
            node_id=f'node-{number}',
            incarnation=0,
            status=MemberStatus.alive,
            host='127.0.0.1',
            peer_port=1,
            control_port=2,
            region=f'region-{number % 2}',
            zone=f'zone-{number % 6}',
            service=f'service-{number // MEMBERS_PER_SERVICE}',
            endpoint=f'endpoint-{number}',
            slots=35,
        )
        for number in range(count)
    ]


class _RoutingStep:
    """Choose a member and report start, load and end of the call."""

    def __init__(self, count: int, affinity: bool = False) -> None:
        self._router = Router(
            'region-0', 'zone-0', LimitsModel(), random.Random(1), 'node-0'
        )
        members = _members(count)
        for member in members:
            self._router.member_changed(member, -1e6)
        self._services = sorted({each.service for each in members})
        self._report = LoadReport(10, 35, 0, 0, draining=False)
        self._affinity = affinity

    def __call__(self, number: int) -> None:
        now_ms = number * STEP_MS
        router = self._router
        key = KEYS[number % len(KEYS)] if self._affinity else None
        service = self._services[number % len(self._services)]
        node_id = router.choose(service, now_ms, affinity=key).node_id
        router.on_start(node_id, now_ms)
        router.on_load(node_id, self._report, now_ms)
        router.on_done(node_id, now_ms, LATENCY_MS, ok=True)


class _HomeStep:
    def __init__(self, count: int) -> None:
        self._picker = HomePicker(WINDOW_MS)
        for member in _members(count):
            self._picker.member_up(
                member.node_id, member.region, 0, age_ms=2 * WINDOW_MS
            )

    def __call__(self, number: int) -> None:
        self._picker.home(KEYS[number % len(KEYS)], 'region-0', number * STEP_MS)


class _LedgerStep:
    def __init__(self, count: int) -> None:
        self._ledger = RetryLedger(2, WINDOW_MS)

    def __call__(self, number: int) -> None:
        self._ledger.spend(KEYS[number % len(KEYS)], number * STEP_MS)


class _SuspectsStep:
    def __init__(self, count: int) -> None:
        self._suspects = SuspectList(WINDOW_MS)
        for number in range(count):
            strike = Strike(b'%d' % number, convicted=True, cleared=False)
            self._suspects.merge(strike, 0)

    def __call__(self, number: int) -> None:
        digest = DIGESTS[number % len(DIGESTS)]
        self._suspects.check(digest, number * STEP_MS)
        self._suspects.start(digest)
        self._suspects.finish(digest, number * STEP_MS)


OPERATIONS = (
    ('choose_start_load_done', _RoutingStep),
    ('choose_with_affinity', functools.partial(_RoutingStep, affinity=True)),
    ('home', _HomeStep),
    ('ledger_spend', _LedgerStep),
    ('suspects_check_start_finish', _SuspectsStep),
)


def run(sizes: tuple[int, ...] = SIZES) -> dict:
    """Return microseconds per operation at each size and the slopes per member."""
    points = {}
    slopes = {}
    for operation, create_step in OPERATIONS:
        costs = [round(_cost_us(create_step(size)), 2) for size in sizes]
        points[operation] = [list(pair) for pair in zip(sizes, costs, strict=True)]
        slopes[operation] = round(statistics.linear_regression(sizes, costs).slope, 5)
    return {
        'name': 'decisions',
        'unit': 'us',
        'points': points,
        'slope_us_per_member': slopes,
    }


def _cost_us(step: Callable[[int], None]) -> float:
    rounds = []
    for round_number in range(ROUNDS):
        first = round_number * CALLS_PER_ROUND
        started_ns = time.perf_counter_ns()
        for number in range(first, first + CALLS_PER_ROUND):
            step(number)
        rounds.append((time.perf_counter_ns() - started_ns) / CALLS_PER_ROUND / 1000)
    return min(rounds)


if __name__ == '__main__':
    print(json.dumps(run()))
