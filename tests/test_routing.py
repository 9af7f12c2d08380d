"""Tests of the choice of a member for a call."""

import dataclasses
import random

from hypothesis import given
from hypothesis import strategies as st
from member_factory import make_member

from gentianmill.member import Member, MemberStatus
from gentianmill.messages import LoadReport
from gentianmill.routing import Router
from gentianmill.sheet_models import LimitsModel

SERVICE = 'quoting'


def _member(number: int, region: str = 'north', zone: str = 'north-1') -> Member:
    name = f'node-{number}'
    return make_member(name, 0, region=region, zone=zone, service=SERVICE, slots=25)


def _router(*members: Member, own_node_id: str = '') -> Router:
    rng = random.Random(1)
    router = Router('north', 'north-1', LimitsModel(), rng, own_node_id)
    for member in members:
        router.member_changed(member, -1e6)
    return router


def _report(in_flight: int, draining: bool = False) -> LoadReport:
    return LoadReport(in_flight, 25, 0, 0, draining)


def _chosen(router: Router, count: int = 100, now_ms: float = 0) -> set[str]:
    members = [router.choose(SERVICE, now_ms) for _ in range(count)]
    return {member.node_id for member in members if member is not None}


def test_unknown_service_has_no_member():
    """Guards against an exception instead of a refusal."""
    assert _router().choose(SERVICE, 0) is None


def test_moves_outward_only_without_a_nearer_member():
    """Guards against calls to another region while a nearer member is available."""
    router = _router(
        _member(0),
        _member(1, zone='north-2'),
        _member(2, region='south', zone='south-1'),
    )
    assert _chosen(router) == {'node-0'}
    assert router.choose(SERVICE, 0, frozenset(('node-0',))).node_id == 'node-1'
    router.on_unreachable('node-0', 0)
    router.on_unreachable('node-1', 0)
    assert _chosen(router) == {'node-2'}


def test_overloaded_zone_adds_the_region_and_returns():
    """Guards against callers that queue at one zone while another one is idle."""
    router = _router(_member(0), _member(1, zone='north-2'))
    for _ in range(25):
        router.on_start('node-0', 0)
    assert 'node-1' in _chosen(router, now_ms=100)
    for _ in range(25):
        router.on_done('node-0', 200, 10, True)
    assert _chosen(router, now_ms=300) == {'node-0'}


def test_burst_spills_over_before_the_next_moment():
    """Guards against a burst that waits at a full zone while another one is idle."""
    router = _router(_member(0), _member(1, zone='north-2'))
    chosen = []
    for _ in range(50):
        chosen.append(router.choose(SERVICE, 0).node_id)
        router.on_start(chosen[-1], 0)
    assert chosen.count('node-0') <= 30
    assert set(chosen[:20]) == {'node-0'}


@given(
    st.lists(
        st.tuples(
            st.integers(0, 5), st.sampled_from(['drain', 'back', 'gone', 'report'])
        ),
        max_size=30,
    ),
    st.sampled_from([None, 'key']),
)
def test_draining_or_dead_member_is_never_chosen(changes, affinity):
    """Guards against new work for an upstream that is leaving."""
    members = [_member(number) for number in range(6)]
    router = _router(*members)
    leaving = set()
    status = {
        'drain': MemberStatus.draining,
        'back': MemberStatus.alive,
        'gone': MemberStatus.dead,
    }
    for number, change in changes:
        member = members[number]
        if change == 'report':
            router.on_load(member.node_id, _report(0, draining=True), 0)
        else:
            changed = dataclasses.replace(member, status=status[change])
            router.member_changed(changed, 0)
        if change == 'back':
            leaving.discard(member.node_id)
        else:
            leaving.add(member.node_id)
        for _ in range(5):
            chosen = router.choose(SERVICE, 0, affinity=affinity)
            assert chosen is None or chosen.node_id not in leaving


def test_unreachable_member_returns_after_growing_pauses():
    """Guards against a member never tried again, and a dead one tried constantly."""
    router = _router(_member(0))
    router.on_unreachable('node-0', 0)
    assert router.choose(SERVICE, 249) is None
    assert router.choose(SERVICE, 250) is not None
    router.on_unreachable('node-0', 250)
    assert router.choose(SERVICE, 749) is None
    assert router.choose(SERVICE, 750) is not None


def test_new_member_ramps_up():
    """Guards against a cold upstream that gets its full share at once."""
    router = _router(_member(0), _member(1))
    router.member_changed(_member(2), 0)

    def chosen_of_300(now_ms: float) -> int:
        counts = [router.choose(SERVICE, now_ms).node_id for _ in range(300)]
        return counts.count('node-2')

    for _ in range(4):
        for number in range(3):
            router.on_start(f'node-{number}', 0)
    assert chosen_of_300(100) < 15
    assert chosen_of_300(20_000) > 60


def test_old_load_reports_lose_weight():
    """Guards against a member avoided because of a report that is long out of date."""
    router = _router(_member(0), _member(1))
    router.on_load('node-0', _report(20), 0)
    assert _chosen(router, now_ms=1) == {'node-1'}
    router.on_start('node-1', 0)
    assert 'node-0' in _chosen(router, now_ms=10_000)


def test_affinity_holds_unless_the_member_is_overloaded():
    """Guards against a resend to another guard than the one that runs the call."""
    router = _router(*(_member(number) for number in range(6)))
    picks = {router.choose(SERVICE, 0, affinity='key').node_id for _ in range(50)}
    assert len(picks) == 1
    preferred = picks.pop()
    router.on_load(preferred, _report(25), 0)
    assert router.choose(SERVICE, 0, affinity='key').node_id != preferred


def test_own_member_is_preferred_while_it_is_not_more_loaded():
    """Guards against a needless hop, and an entry that overloads its own upstream."""
    members = [_member(number) for number in range(6)]
    router = _router(*members, own_node_id='node-3')
    assert _chosen(router) == {'node-3'}
    router.on_load('node-3', _report(10), 0)
    assert 'node-3' not in _chosen(router)


def _observe(router: Router, node_id: str, latency_ms: float, count: int = 20):
    for number in range(count):
        router.on_start(node_id, number)
        router.on_done(node_id, number + latency_ms, latency_ms, True)


def test_slow_zone_adds_the_region():
    """Guards against a slowed member that is alone in its zone and keeps its calls."""
    members = [_member(0), *(_member(number, zone='north-2') for number in (1, 2, 3))]
    router = _router(*members)
    for member in members[1:]:
        _observe(router, member.node_id, 10)
    _observe(router, 'node-0', 18)
    chosen = [router.choose(SERVICE, 5000).node_id for _ in range(100)]
    assert chosen.count('node-0') < 25


def test_widening_does_not_flap_between_its_bounds():
    """Guards against calls that move between tiers with every report."""
    router = _router(_member(0), _member(1, zone='north-2'))
    router.on_load('node-0', _report(17), 0)
    assert _chosen(router, now_ms=0) == {'node-0'}
    router.on_load('node-0', _report(24), 100)
    assert 'node-1' in _chosen(router, now_ms=100)
    router.on_load('node-0', _report(17), 200)
    router.on_load('node-1', _report(17), 200)
    assert 'node-1' in _chosen(router, now_ms=200)
    router.on_load('node-0', _report(5), 300)
    assert _chosen(router, now_ms=300) == {'node-0'}


def test_waiting_calls_show_a_slow_member_before_they_end():
    """Guards against sending calls to a stuck member until its first call ends."""
    router = _router(_member(0), _member(1))
    for node_id in ('node-0', 'node-1'):
        _observe(router, node_id, 10)
        for _ in range(3):
            router.on_start(node_id, 1000 if node_id == 'node-0' else 1295)
    assert _chosen(router, now_ms=1300) == {'node-1'}


def test_cancelled_call_does_not_count_as_fast():
    """Guards against a slow member that looks fast because its calls are cancelled."""
    router = _router(_member(0), _member(1))
    _observe(router, 'node-0', 100)
    _observe(router, 'node-1', 50)
    for number in range(50):
        router.on_start('node-0', 200 + number)
        router.on_cancelled('node-0', 201 + number, 1)
    assert _chosen(router, now_ms=300) == {'node-1'}


def test_affinity_leaves_a_slow_member_and_stays_in_the_region():
    """Guards against at-most-once calls that wait at a slowed or a distant guard."""
    near = [_member(number) for number in range(4)]
    far = [_member(number, region='south', zone='s-1') for number in range(4, 8)]
    router = _router(*near, *far)
    keys = [str(key) for key in range(40)]
    picks = {router.choose(SERVICE, 0, affinity=key).node_id for key in keys}
    assert picks == {member.node_id for member in near}
    for member in near:
        _observe(router, member.node_id, 30 if member is near[0] else 10)
    later = {router.choose(SERVICE, 5000, affinity=key).node_id for key in keys}
    assert near[0].node_id not in later


def test_ejected_share_stays_within_the_cap_when_members_leave():
    """Guards against a service whose last members are all ejected."""
    members = [_member(number) for number in range(6)]
    router = _router(*members)
    for number, member in enumerate(members):
        _observe(router, member.node_id, 500 if number < 2 else 10)
    assert _chosen(router, now_ms=5000) <= {f'node-{number}' for number in range(2, 6)}
    left = dataclasses.replace(members[5], status=MemberStatus.dead)
    router.member_changed(left, 5001)
    for member in members[2:5]:
        draining = dataclasses.replace(member, status=MemberStatus.draining)
        router.member_changed(draining, 5001)
    assert _chosen(router, now_ms=5001) == {'node-0', 'node-1'}
