"""Tests of the shares that teams get of an upstream that has too little room.

The loads are played on the queue itself, in virtual time.
"""

import heapq
import itertools
import random
from collections import Counter

import pytest

from gentianmill.work_queue import WorkItem, WorkQueue

SLOTS = 10
SERVICE_MS = 100.0
DEADLINE_MS = 2000.0
PLAYED_MS = 30_000.0
TEAMS = 8
HOT_FACTOR = 7.5


class _Upstream:
    """An upstream with slots, whose requests end after the time of their kind."""

    def __init__(self) -> None:
        self.queue = WorkQueue(SLOTS, SLOTS * 6)
        self.served: Counter[str] = Counter()
        self.slot_ms: Counter[str] = Counter()
        self._ends: list[tuple[float, int, WorkItem, float]] = []
        self._serial = itertools.count()

    def offer(self, item: WorkItem, service_ms: float, now_ms: float) -> None:
        """Bring a request at a time, after the requests that have ended until then."""
        self.run_until(now_ms)
        item.service_ms = service_ms
        self._start(self.queue.offer(item, now_ms).started, now_ms)

    def run_until(self, now_ms: float) -> None:
        """End the requests that are due."""
        while self._ends and self._ends[0][0] <= now_ms:
            end_ms, _, item, service_ms = heapq.heappop(self._ends)
            self.served[item.flow] += end_ms <= item.deadline_ms
            self.slot_ms[item.flow] += service_ms
            self._start(self.queue.finish(item, end_ms).started, end_ms)

    def _start(self, items: list[WorkItem], now_ms: float) -> None:
        for item in items:
            end_ms = now_ms + item.service_ms
            entry = (end_ms, next(self._serial), item, item.service_ms)
            heapq.heappush(self._ends, entry)


class _TimedItem(WorkItem):
    """A request that knows how long it takes."""

    service_ms: float = 0


def _play(
    rates: dict[str, float], seed: int, service_ms: dict[str, float]
) -> _Upstream:
    """Play requests of teams that arrive at random, in requests a second."""
    rng = random.Random(seed)
    arrivals = []
    for team, rate_per_s in rates.items():
        now_ms = rng.expovariate(rate_per_s) * 1000
        while now_ms < PLAYED_MS:
            arrivals.append((now_ms, team))
            now_ms += rng.expovariate(rate_per_s) * 1000
    upstream = _Upstream()
    for now_ms, team in sorted(arrivals):
        item = _TimedItem(
            0, now_ms + DEADLINE_MS, max_wait_ms=1500, flow=team, kind=team
        )
        upstream.offer(item, service_ms.get(team, SERVICE_MS), now_ms)
    upstream.run_until(PLAYED_MS * 2)
    upstream.asked = Counter(team for _, team in arrivals)
    return upstream


@pytest.mark.parametrize('seed', range(3))
def test_a_team_with_many_times_its_demand_takes_from_itself_alone(seed):
    """Guards against a team at 7.5 times its demand that crowds out the others."""
    names = [f'team-{number}' for number in range(TEAMS)]
    usual = 0.9 * SLOTS * 1000 / SERVICE_MS / TEAMS
    calm = dict.fromkeys(names, usual)
    hot = calm | {names[0]: usual * HOT_FACTOR}
    without, crowded = _play(calm, seed, {}), _play(hot, seed, {})
    for name in names[1:]:
        served_before = without.served[name] / without.asked[name]
        served = crowded.served[name] / crowded.asked[name]
        assert served >= served_before - 0.02
    everyone = sum(crowded.served.values()) / sum(crowded.asked.values())
    hot_share = crowded.served[names[0]] / crowded.asked[names[0]]
    assert hot_share >= everyone / 4


def test_shares_are_of_slot_time_not_of_requests():
    """Guards against a team that takes most of the slots with long requests."""
    rates = {'short': 200.0, 'long': 50.0}
    upstream = _play(rates, 1, {'short': SERVICE_MS, 'long': 4 * SERVICE_MS})
    ratio = upstream.slot_ms['long'] / upstream.slot_ms['short']
    assert 0.8 < ratio < 1.25


def test_no_slot_idles_while_requests_wait():
    """Guards against a share that is kept for teams that do not use it."""
    upstream = _play({'only': 300.0}, 1, {})
    most = SLOTS * PLAYED_MS / SERVICE_MS
    assert upstream.served['only'] >= 0.95 * most


def test_requests_of_no_team_keep_their_order():
    """Guards against another order where no teams are configured."""
    queue = WorkQueue(1, 100)
    rng = random.Random(3)
    running = WorkItem(0, 10_000)
    queue.offer(running, 0)
    items = [WorkItem(0, 10_000, kind=rng.choice('abc')) for _ in range(50)]
    for number, item in enumerate(items):
        queue.offer(item, number)
    for withdrawn in items[10:50:7]:
        queue.withdraw(withdrawn)
    later = [WorkItem(0, 10_000, kind='a') for _ in range(5)]
    for item in later:
        queue.offer(item, 60)
    expected = [item for item in items if not item.dropped] + later
    started = []
    for now_ms in range(100, 100 + len(expected)):
        started += queue.finish(running, now_ms).started
        running = started[-1]
    assert started == expected


def test_a_small_team_is_let_into_a_queue_that_another_filled():
    """Guards against a wait estimate that counts the requests a team goes before."""
    queue = WorkQueue(1, 100)
    for _ in range(20):
        queue.offer(WorkItem(0, 10_000, flow='large', kind='a'), 0)
    small = WorkItem(0, 10_000, max_wait_ms=150, flow='small', kind='a')
    assert queue.offer(small, 0).refused == []
    large = WorkItem(0, 10_000, max_wait_ms=150, flow='large', kind='a')
    assert queue.offer(large, 0).refused == [large]
