"""Tests of home nodes, and of the retry bound over a model of call trees."""

import dataclasses
import heapq
import random
from collections import Counter

import pytest

from gentianmill.home_nodes import FOUNDING_MS, SETTLING_MS, HomePicker
from gentianmill.retry import RetryLedger
from seeds import seeds

WINDOW_MS = 60_000.0
REGIONS = ('north', 'south', 'west')
ALLOWANCE = 2
GOSSIP_MS = 2000
RUN_MS = 8 * WINDOW_MS


def _established_picker(*node_ids: str) -> HomePicker:
    picker = HomePicker(WINDOW_MS)
    for node_id in node_ids:
        picker.member_up(node_id, 'north', 0, age_ms=WINDOW_MS * 5)
    return picker


def test_all_nodes_pick_the_same_home():
    """Guards against two homes that both grant the full allowance."""
    first = _established_picker('a', 'b', 'c')
    second = _established_picker('c', 'a', 'b')
    homes = Counter()
    for number in range(300):
        home = first.home(f'request {number}', 'north', 1)
        assert home == second.home(f'request {number}', 'north', 1)
        homes[home] += 1
    assert set(homes) == {'a', 'b', 'c'}


def test_no_home_without_members():
    """Guards against an exception for an unknown region."""
    assert HomePicker(WINDOW_MS).home('request', 'north', 0) is None


def test_first_members_of_a_region_become_homes_after_settling():
    """Guards against a cold start without retries for the whole window."""
    picker = HomePicker(WINDOW_MS)
    picker.member_up('a', 'north', 0, age_ms=0)
    picker.member_up('b', 'north', FOUNDING_MS / 2, age_ms=0)
    assert picker.home('request', 'north', SETTLING_MS - 1) is None
    assert picker.home('request', 'north', SETTLING_MS) is not None


def test_new_member_takes_over_only_after_the_window():
    """Guards against a second count while the previous home still keeps the first."""
    picker = _established_picker('a', 'b')
    before = {str(key): picker.home(str(key), 'north', 0) for key in range(100)}
    picker.member_up('c', 'north', 0, age_ms=0)
    during = {key: picker.home(key, 'north', WINDOW_MS) for key in before}
    after = {key: picker.home(key, 'north', 2 * WINDOW_MS) for key in before}
    assert 'c' in after.values()
    expected = {key: None if after[key] == 'c' else before[key] for key in before}
    assert during == expected


def test_departed_member_is_not_replaced_during_the_window():
    """Guards against a second allowance after the death of a home."""
    picker = _established_picker('a', 'b', 'c')
    before = {str(key): picker.home(str(key), 'north', 0) for key in range(100)}
    picker.member_departed('b', 0)
    during = {key: picker.home(key, 'north', WINDOW_MS) for key in before}
    expected = {key: None if home == 'b' else home for key, home in before.items()}
    assert during == expected
    after = {key: picker.home(key, 'north', 2 * WINDOW_MS) for key in before}
    assert set(after.values()) == {'a', 'c'}


def test_restart_under_the_same_node_id_counts_as_new():
    """Guards against a restarted home that lost its counts and grants again."""
    picker = _established_picker('a')
    assert picker.home('request', 'north', 0) == 'a'
    picker.member_up('a', 'north', 0, age_ms=0)
    picker.member_up('b', 'north', 0, age_ms=WINDOW_MS * 5)
    homes = {picker.home(str(key), 'north', 1) for key in range(100)}
    assert homes == {None, 'b'}


@dataclasses.dataclass
class _Node:
    node_id: str
    region: str
    picker: HomePicker
    ledger: RetryLedger
    up_ms: float


class _CallTreeSimulation:
    """Nodes that start, die and gossip while call trees fail and are retried."""

    def __init__(self, seed: int, cold: bool) -> None:
        self._rng = random.Random(seed)
        self._nodes: dict[str, _Node] = {}
        self._lost: list[tuple[float, _Node]] = []
        self._events: list = []
        self._sequence = 0
        self._cold = cold
        self.grants: list[tuple[str, float]] = []
        for region in REGIONS:
            for _ in range(5):
                delay_ms = self._rng.uniform(0, 20_000 if cold else 0)
                self._schedule(delay_ms, 'start', region)
        for _ in range(40):
            self._schedule(self._rng.uniform(0, RUN_MS), 'replace', None)
        for _ in range(2000):
            self._schedule(self._rng.uniform(0, RUN_MS), 'request', None)

    def run(self) -> None:
        while self._events:
            now_ms, _, kind, argument = heapq.heappop(self._events)
            if now_ms <= RUN_MS:
                getattr(self, f'_{kind}')(now_ms, argument)

    def _schedule(self, at_ms: float, kind: str, argument) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (at_ms, self._sequence, kind, argument))

    def _start(self, now_ms: float, region: str) -> None:
        node = _Node(
            f'node-{self._sequence}',
            region,
            HomePicker(WINDOW_MS),
            RetryLedger(ALLOWANCE, WINDOW_MS),
            now_ms if self._cold or now_ms > 0 else -10 * WINDOW_MS,
        )
        self._sequence += 1
        self._nodes[node.node_id] = node
        for other in self._nodes.values():
            self._send_gossip(now_ms, other, node)
            self._send_gossip(now_ms, node, other)
        for lost_ms, lost in self._lost:
            if lost_ms + 2 * WINDOW_MS > now_ms:
                delay_ms = self._rng.uniform(0, GOSSIP_MS)
                self._schedule(now_ms + delay_ms, 'remember', (node, lost))

    def _send_gossip(self, now_ms: float, receiver: _Node, subject: _Node) -> None:
        """Gossip about a node, with a delay but without loss."""
        delay_ms = self._rng.uniform(0, GOSSIP_MS)
        if receiver is subject or subject.up_ms < 0:
            # Nodes established before the run already know each other.
            delay_ms = 0
        self._schedule(now_ms + delay_ms, 'up', (receiver, subject))

    def _up(self, now_ms: float, pair: tuple[_Node, _Node]) -> None:
        receiver, subject = pair
        age_ms = now_ms - subject.up_ms
        receiver.picker.member_up(subject.node_id, subject.region, now_ms, age_ms)

    def _remember(self, now_ms: float, pair: tuple[_Node, _Node]) -> None:
        """Add a member lost earlier to the picker of a newly started node."""
        receiver, lost = pair
        age_ms = now_ms - lost.up_ms
        receiver.picker.member_up(lost.node_id, lost.region, now_ms, age_ms)
        receiver.picker.member_departed(lost.node_id, now_ms)

    def _replace(self, now_ms: float, _) -> None:
        if not self._nodes:
            return
        departed = self._nodes.pop(self._rng.choice(sorted(self._nodes)))
        self._lost.append((now_ms, departed))
        for node in self._nodes.values():
            delay_ms = GOSSIP_MS + self._rng.uniform(0, GOSSIP_MS)
            self._schedule(now_ms + delay_ms, 'gone', (node, departed))
        self._schedule(now_ms + self._rng.uniform(0, 20_000), 'start', departed.region)

    def _gone(self, now_ms: float, pair: tuple[_Node, _Node]) -> None:
        pair[0].picker.member_departed(pair[1].node_id, now_ms)

    def _request(self, now_ms: float, _) -> None:
        self._call(now_ms, f'request {self._rng.randrange(20)}', depth=0)

    def _call(self, now_ms: float, identity: str, depth: int) -> None:
        """Run one call that its node may retry; each attempt calls further services."""
        if not self._nodes:
            return
        caller = self._nodes[self._rng.choice(sorted(self._nodes))]
        attempts = 1
        while self._rng.randrange(5) < 3 and self._spend(now_ms, caller, identity):
            attempts += 1
        if depth < 2:
            for _ in range(attempts * 2):
                self._call(now_ms, identity, depth + 1)

    def _spend(self, now_ms: float, caller: _Node, identity: str) -> bool:
        home = self._nodes.get(caller.picker.home(identity, caller.region, now_ms))
        if home is None:
            return False
        confirmed = home.picker.home(identity, home.region, now_ms)
        granted = confirmed == home.node_id and home.ledger.spend(identity, now_ms)
        if granted:
            self.grants.append((identity, now_ms))
        return granted


def _max_grants_in_a_window(grants: list[tuple[str, float]]) -> int:
    maximum = 0
    for identity, start_ms in grants:
        in_window = [
            at_ms
            for other, at_ms in grants
            if other == identity and start_ms <= at_ms < start_ms + WINDOW_MS
        ]
        maximum = max(maximum, len(in_window))
    return maximum


@pytest.mark.parametrize('cold', [False, True])
@pytest.mark.parametrize('seed', seeds(6))
def test_retries_of_a_request_stay_within_the_bound(seed, cold):
    """Guards against retries that multiply across fan-out, regions and attempts."""
    simulation = _CallTreeSimulation(seed, cold)
    simulation.run()
    assert len(simulation.grants) >= 60
    assert _max_grants_in_a_window(simulation.grants) <= ALLOWANCE * len(REGIONS)
