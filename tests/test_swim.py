"""Tests of SWIM on a logical network."""

import random

import pytest
from member_factory import make_member
from swim_network import LogicalNetwork, LogicalNode, build

from gentianmill.dissemination import MAX_UPDATES, UpdateQueue, spend_limit
from gentianmill.member import MemberStatus
from gentianmill.membership import MemberTable
from gentianmill.settings_models import MembershipModel
from gentianmill.swim import Swim
from seeds import seeds

AGREE_LIMIT_S = 120
SEEDS = (1, 2, 3)
DEPARTED = {MemberStatus.dead, MemberStatus.left}


def _agrees(network: LogicalNetwork) -> bool:
    running = {node.own_id for node in network.running()}
    return all(_is_accurate(view, running) for view in network.views().values())


def _is_accurate(view: dict[str, MemberStatus], running: set[str]) -> bool:
    alive = {member for member, status in view.items() if status is MemberStatus.alive}
    departed = {member for member, status in view.items() if status in DEPARTED}
    return alive == running and departed == set(view) - running


def _run_until_agreed(network: LogicalNetwork) -> int:
    """Return the logical seconds until all views are accurate."""
    for elapsed_s in range(AGREE_LIMIT_S):
        if _agrees(network):
            return elapsed_s
        network.run(1000)
    raise AssertionError(f'no agreement within {AGREE_LIMIT_S} s: {network.views()}')


@pytest.mark.parametrize('seed', SEEDS)
def test_a_lost_member_is_dead_at_all_nodes(seed):
    """Guards against calls to a VM that failed."""
    network = build(seed, 40)
    network.run(20_000)
    network.stop('n3')
    network.run(3000)
    _run_until_agreed(network)
    assert {victim for _, victim in network.deaths} == {'n3'}


@pytest.mark.parametrize('seed', SEEDS)
def test_a_lost_availability_zone_is_dead_and_no_other_member(seed):
    """Guards against a zone failure after which live members are declared dead."""
    network = build(seed, 40, regions=3)
    network.run(20_000)
    lost = {node.own_id for node in network.running() if node.zone == 'r1z0'}
    for node_id in lost:
        network.stop(node_id)
    network.run(3000)
    _run_until_agreed(network)
    assert {victim for _, victim in network.deaths} == lost


@pytest.mark.parametrize('seed', SEEDS)
def test_regions_find_each_other_after_a_partition(seed):
    """Guards against members removed, or dead in their own region, in a partition."""
    network = build(seed, 40)
    network.run(20_000)
    network.cut_regions.add(frozenset(('r0', 'r1')))
    network.run(60_000)
    views = network.views()
    assert views['n0']['n1'] is MemberStatus.dead
    assert len(views['n0']) == 40
    network.cut_regions.clear()
    _run_until_agreed(network)
    regions = {node.own_id: node.region for node in network.running()}
    assert all(
        regions[observer] != regions[victim] for observer, victim in network.deaths
    )


@pytest.mark.parametrize('seed', SEEDS)
def test_a_partition_between_two_of_three_regions_declares_none_dead(seed):
    """Guards against members declared dead though a third region reaches them."""
    network = build(seed, 36, regions=3)
    network.run(20_000)
    network.cut_regions.add(frozenset(('r0', 'r1')))
    network.run(60_000)
    assert not network.deaths
    network.cut_regions.clear()
    _run_until_agreed(network)


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('pause_ms', [2000, 30_000, 200_000])
def test_a_paused_member_that_resumes_is_alive_again(seed, pause_ms):
    """Guards against a paused node that stays dead or declares others dead."""
    network = build(seed, 24)
    network.run(20_000)
    network.pause('n5')
    network.run(pause_ms)
    network.deaths.clear()
    network.resume('n5')
    _run_until_agreed(network)
    assert 'n5' not in {observer for observer, _ in network.deaths}


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('incarnation', [0, 1, 5])
def test_a_replacement_at_the_same_address_takes_over(seed, incarnation):
    """Guards against two members at one address, whatever the new incarnation."""
    network = build(seed, 24)
    network.run(20_000)
    network.stop('n5')
    network.run(500)
    network.add('n5-new', 'r1', 'r1z0', '10.0.0.5', incarnation)
    network.run(1000)
    _run_until_agreed(network)
    assert network.views()['n0']['n5'] is MemberStatus.left


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('loss', [0.05, 0.1])
def test_lost_messages_alone_declare_no_member_dead(seed, loss):
    """Guards against live members declared dead on a lossy network."""
    network = build(seed, 30, regions=3, loss=loss)
    network.run(120_000)
    assert not network.deaths
    network.loss = 0
    _run_until_agreed(network)


class _Faults:
    """Random faults; at least 12 nodes keep running."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.network = build(seed, self.rng.randint(20, 32), regions=3, loss=0.1)
        self.paused: set[str] = set()
        self.replaced = 0

    def stop(self) -> None:
        if len(self.network.running()) > 12:
            self.network.stop(self._victim().own_id)

    def pause(self) -> None:
        victim = self._victim()
        self.network.pause(victim.own_id)
        self.paused.add(victim.own_id)

    def resume(self) -> None:
        if self.paused:
            victim = min(self.paused)
            self.paused.remove(victim)
            self.network.resume(victim)

    def partition(self) -> None:
        regions = self.rng.sample(('r0', 'r1', 'r2'), 2)
        self.network.cut_regions.add(frozenset(regions))

    def remove_partitions(self) -> None:
        self.network.cut_regions.clear()

    def replace(self) -> None:
        victim = self._victim()
        self.network.stop(victim.own_id)
        self.replaced += 1
        self.network.add(
            f'{victim.own_id}-{self.replaced}',
            victim.region,
            victim.zone,
            victim.host,
            self.replaced % 3,
        )

    def end_all(self) -> None:
        self.remove_partitions()
        self.network.loss = 0
        while self.paused:
            self.resume()

    def _victim(self) -> LogicalNode:
        return self.rng.choice(self.network.running())


@pytest.mark.parametrize('seed', seeds(8))
def test_random_faults_end_in_agreement(seed):
    """Guards against combinations of faults after which views stay different."""
    faults = _Faults(seed)
    kinds = (
        faults.stop,
        faults.pause,
        faults.resume,
        faults.partition,
        faults.remove_partitions,
        faults.replace,
    )
    for _ in range(30):
        faults.network.run(faults.rng.uniform(0, 8000))
        faults.rng.choice(kinds)()
    faults.end_all()
    faults.network.run(1000)
    _run_until_agreed(faults.network)


def _swim(*others, settings=None):
    table = MemberTable(make_member('own'))
    swim = Swim(settings or MembershipModel(), table, random.Random(1))
    swim.on_table(others, 0)
    return table, swim


def _fail_target(swim, target, now_ms):
    """Fail every probe of one target and acknowledge all others."""
    for probe in swim.tick(now_ms):
        if probe.target.node_id != target:
            swim.on_ack(probe, now_ms + 1)
            continue
        for indirect in swim.on_timeout(probe, now_ms + 400):
            assert not swim.on_timeout(indirect, now_ms + 999)


def test_suspicion_comes_before_death():
    """Guards against a member declared dead without time to refute it."""
    table, swim = _swim(make_member('a'), make_member('b'))
    seen = []
    for second in range(12):
        _fail_target(swim, 'a', second * 1000)
        seen.append(table.find('a').status)
    assert sorted(seen) == seen
    assert seen.count(MemberStatus.suspect) >= 4
    assert seen[-1] is MemberStatus.dead
    assert table.find('b').status is MemberStatus.alive


def test_a_draining_member_that_dies_is_declared_dead():
    """Guards against a draining member that is kept forever."""
    table, swim = _swim(make_member('a', 2, MemberStatus.draining), make_member('b'))
    for second in range(12):
        _fail_target(swim, 'a', second * 1000)
    assert table.find('a').status is MemberStatus.dead


def test_deaths_in_another_region_are_not_sent_there():
    """Guards against live members declared dead in their own region by another one."""
    table, swim = _swim(
        make_member('south-1', region='south'),
        make_member('south-2', region='south'),
        make_member('north-1'),
    )
    dead = make_member('south-1', 1, MemberStatus.dead, region='south')
    swim.on_updates([dead], 'north-1', 0)
    assert dead not in swim.updates_for('south-2')
    assert dead not in swim.table_for('south-2')
    assert dead in swim.updates_for('north-1')
    assert dead in swim.updates_for('south-1')


def test_a_pause_of_the_own_process_restarts_suspicions():
    """Guards against members declared dead by a process that was paused itself."""
    table, swim = _swim(make_member('a'), make_member('b'))
    swim.on_updates([make_member('a', 1, MemberStatus.suspect)], 'b', 0)
    swim.tick(0)
    swim.tick(60_000)
    assert table.find('a').status is MemberStatus.suspect
    late = swim.tick(61_000)[0]
    assert not swim.on_timeout(late, 120_000)


def test_updates_are_bounded_and_sent_a_logarithmic_number_of_times():
    """Guards against messages that grow with the cluster, and endless updates."""
    count = 610
    table, swim = _swim(*[make_member(f'm{number}') for number in range(count)])
    changed = [make_member(f'm{number}', 2) for number in range(count)]
    swim.on_updates(changed, 'm0', 0)
    sends = dict.fromkeys((member.node_id for member in changed), 0)
    largest = 0
    for _ in range(count * 5):
        updates = swim.updates_for('m1')
        largest = max(largest, len(updates))
        for member in updates:
            sends[member.node_id] = sends.get(member.node_id, 0) + 1
    assert largest <= MAX_UPDATES + 1
    sends.pop('own')
    assert set(sends.values()) == {30}
    assert swim.updates_for('m1') == [table.own]


def test_the_queue_prefers_updates_sent_least():
    """Guards against new updates that wait for old ones."""
    queue = UpdateQueue()
    for number in range(MAX_UPDATES + 1):
        queue.add(f'm{number}')
    limit = spend_limit(1000)
    first = queue.select(limit, 1, lambda node_id: True)
    second = queue.select(limit, 1, lambda node_id: True)
    missing = {f'm{number}' for number in range(MAX_UPDATES + 1)} - set(first)
    assert second[0] in missing


def test_a_node_that_joins_does_not_pass_on_the_whole_table():
    """Guards against a join that floods the cluster."""
    table, swim = _swim(*[make_member(f'm{number}') for number in range(50)])
    assert swim.updates_for('m1') == [table.own]
