"""Tests of the member table's merge rules."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from member_factory import make_member

from gentianmill.member import MemberStatus
from gentianmill.membership import DEPARTED_RETENTION_MS, MemberTable, precedence

NODE_IDS = ('a', 'b', 'c')

updates = st.builds(
    make_member,
    node_id=st.sampled_from(NODE_IDS),
    incarnation=st.integers(0, 3),
    status=st.sampled_from(MemberStatus),
    host=st.sampled_from(('x', 'y', 'z')),
    slots=st.integers(1, 2),
)
fixed_host_updates = st.builds(
    make_member,
    node_id=st.sampled_from(NODE_IDS),
    incarnation=st.integers(0, 3),
    status=st.sampled_from(MemberStatus),
)


def _table(*batches):
    table = MemberTable(make_member('own'))
    for batch in batches:
        for member in batch:
            table.merge(member, 0)
    return table


def _views(table):
    return {member.node_id: member for member in table.members}


@given(st.lists(updates, max_size=8), st.randoms(use_true_random=False))
def test_merge_is_commutative(batch, rng):
    """Guards against views that depend on the order of messages."""
    shuffled = list(batch)
    rng.shuffle(shuffled)
    assert _views(_table(batch)) == _views(_table(shuffled))


@given(st.lists(updates, max_size=8))
def test_merge_is_idempotent(batch):
    """Guards against a repeated message that changes something."""
    table = _table(batch)
    before = _views(table)
    assert not any([table.merge(member, 0) for member in batch])
    assert _views(table) == before


@given(
    st.lists(updates, max_size=5),
    st.lists(updates, max_size=5),
    st.lists(updates, max_size=5),
)
def test_merge_is_associative(first, second, third):
    """Guards against views that depend on which node merged the updates first."""

    def relay(table):
        return [table.merged_update(member.node_id) for member in table.members]

    left = _table(relay(_table(first, second))[1:], third)
    right = _table(first, relay(_table(second, third))[1:])
    assert _views(left) == _views(right)


@given(st.lists(fixed_host_updates, max_size=8), fixed_host_updates)
def test_old_updates_never_revive_a_member(batch, late):
    """Guards against an old update that revives a departed member."""
    table = _table(batch)
    before = table.find(late.node_id)
    table.merge(late, 0)
    after = table.find(late.node_id)
    if (
        before is not None
        and before.has_departed
        and late.incarnation <= before.incarnation
    ):
        assert after.has_departed
    if before is not None:
        assert after.incarnation >= before.incarnation


@given(st.lists(updates, max_size=8))
def test_at_most_one_member_accepts_calls_at_an_address(batch):
    """Guards against calls routed to a member that was replaced."""
    hosts = [member.host for member in _table(batch).members if not member.has_departed]
    assert len(hosts) == len(set(hosts))


@given(
    st.lists(
        st.builds(
            make_member,
            node_id=st.sampled_from(('own', 'earlier', 'other')),
            incarnation=st.integers(0, 5),
            status=st.sampled_from(MemberStatus),
            host=st.sampled_from(('host-own', 'x')),
        ),
        max_size=8,
    )
)
def test_the_own_member_always_stays_alive(batch):
    """Guards against a live node that believes its own death or replacement."""
    table = _table(batch)
    own = table.find('own')
    assert own.status is MemberStatus.alive
    assert own.host == 'host-own'
    for member in batch:
        if member.node_id == 'own':
            assert precedence(own) >= precedence(member)


def test_refutation_overrides_a_false_death_at_another_node():
    """Guards against a false death that persists after the refutation."""
    dead = make_member('own', status=MemberStatus.dead)
    table = MemberTable(make_member('own'))
    assert table.merge(dead, 0)
    other = MemberTable(make_member('other'))
    other.merge(dead, 0)
    assert other.corrections_for('own') == [dead]
    assert other.merge(table.own, 0)
    assert other.find('own').status is MemberStatus.alive


def test_refutation_keeps_the_drain():
    """Guards against routing to a draining node that refuted a suspicion."""
    table = MemberTable(make_member('own'))
    table.set_own_status(MemberStatus.draining, 0)
    table.merge(make_member('own', 2, MemberStatus.dead), 0)
    assert table.own.status is MemberStatus.draining
    assert table.own.incarnation == 3


def test_suspicion_does_not_hide_a_drain():
    """Guards against new calls to a draining member that is suspected."""
    table = _table([make_member('a', 2, MemberStatus.draining)])
    assert not table.merge(make_member('a', 2, MemberStatus.suspect), 0)
    assert not table.find('a').accepts_calls


def test_a_member_that_left_is_not_brought_back_by_its_own_node():
    """Guards against a refutation after the node has left."""
    table = MemberTable(make_member('own'))
    table.set_own_status(MemberStatus.left, 0)
    assert not table.merge(make_member('own', 2, MemberStatus.dead), 0)
    assert table.own.status is MemberStatus.left


@pytest.mark.parametrize('earlier_incarnation', [1, 1000])
def test_a_replacement_retires_the_earlier_node_id(earlier_incarnation):
    """Guards against calls to a replaced VM, even if the new VM's clock is behind."""
    earlier = make_member('earlier', earlier_incarnation, host='shared')
    replacement = MemberTable(make_member('new', 1, host='shared'))
    replacement.merge(earlier, 0)
    other = _table([earlier])
    other.merge(replacement.own, 0)
    assert other.find('earlier').status is MemberStatus.left
    assert other.find('new').status is MemberStatus.alive


def test_an_unaware_replacement_learns_who_owns_its_address():
    """Guards against a replacement that stays retired forever."""
    earlier = make_member('earlier', 1000, host='shared')
    other = _table([earlier, make_member('new', host='shared')])
    assert other.find('new').status is MemberStatus.left
    replacement = MemberTable(make_member('new', host='shared'))
    for member in other.corrections_for('new'):
        replacement.merge(member, 0)
    other.merge(replacement.own, 0)
    assert other.find('new').status is MemberStatus.alive


def test_departed_members_are_kept_and_then_expired():
    """Guards against revival by old updates, and against unbounded growth."""
    table = _table([make_member('a', 2, MemberStatus.dead)])
    table.expire_departed(DEPARTED_RETENTION_MS - 1)
    assert not table.merge(make_member('a', 2), 0)
    table.expire_departed(DEPARTED_RETENTION_MS)
    assert table.find('a') is None
    assert table.size == 1


def test_members_first_seen_as_departed_are_not_shared():
    """Guards against departed members that joining nodes pass on forever."""
    table = _table([make_member('a', 1, MemberStatus.dead), make_member('b')])
    assert {member.node_id for member in table.updates_to_share()} == {'own', 'b'}


def test_listeners_are_notified_of_retired_members():
    """Guards against a router that keeps the replaced member."""
    notifications = []
    table = _table([make_member('earlier', 1, host='shared')])
    table.subscribe(lambda member, now_ms: notifications.append((member, now_ms)))
    table.merge(make_member('new', 2, host='shared'), 7)
    statuses = {member.node_id: member.status for member, now_ms in notifications}
    assert statuses == {'earlier': MemberStatus.left, 'new': MemberStatus.alive}
    assert {now_ms for member, now_ms in notifications} == {7}
