"""Tests of the recognition of inner calls."""

import pytest
from gentianmill.arrivals import Cause
from gentianmill.call_tree import CallTree


def test_inner_calls_inherit_the_rank_of_their_request():
    """Guards against queueing a call of a payment by the priority of its own route."""
    tree = CallTree()
    tree.start('root', tree.origin('root', 0).rank, 'r')
    inner = tree.origin('root.1', 9)
    assert inner.is_inner
    assert inner.rank < tree.origin('other', 0).rank


def test_inner_calls_go_before_new_requests_of_their_priority():
    """Guards against queueing a request that has used capacity behind new ones."""
    tree = CallTree()
    tree.start('root', tree.origin('root', 2).rank, 'r')
    assert tree.origin('root.1', 2).rank < tree.origin('new', 2).rank


def test_calls_of_unknown_requests_are_new():
    """Guards against a caller that gains rank by an id like that of an inner call."""
    tree = CallTree()
    tree.start('root', 1, 'r')
    tree.end('root')
    assert not tree.origin('root.1', 2).is_inner


def test_calls_of_a_retry_count_as_retries():
    """Guards against exceeding the platform's bound, which counts them as retries."""
    tree = CallTree()
    tree.start('root', 1, 'r', Cause.retry)
    assert tree.origin('root.1', 2).cause is Cause.inherited
    assert tree.origin('new', 2).cause is Cause.first


def test_calls_of_an_abandoned_retry_count_as_retries():
    """Guards against counting them as new if an upstream runs on after a disconnect."""
    tree = CallTree()
    tree.start('root', 1, 'r', Cause.retry)
    tree.abandon('root', until_ms=50, now_ms=10)
    assert tree.origin('root.1', 2).cause is Cause.inherited
    assert not tree.orphans


def test_abandoned_requests_are_forgotten_after_their_deadline():
    """Guards against unbounded memory for requests that are lost in a long outage."""
    tree = CallTree()
    for number in range(100):
        tree.start(f'{number}', 1, 'r')
        tree.abandon(f'{number}', until_ms=number + 5, now_ms=number)
    are_inner = [tree.origin(f'{number}.1', 2).is_inner for number in range(100)]
    assert sum(are_inner) == 5


@pytest.mark.parametrize(
    'call_id', ['a1.b2.1', 'a1.b2-1', 'a1.b2/1', '7:a1.b2', 'x-7-a1.b2', 'a1.b2#c#2']
)
def test_calls_are_recognised_whatever_the_form_of_their_ids(call_id: str):
    """Guards against calls of duplicate attempts that are counted as new requests."""
    tree = CallTree()
    tree.start('a1.b2', 4, 'read', Cause.retry)
    assert tree.origin(call_id, 1).cause is Cause.inherited


@pytest.mark.parametrize('call_id', ['b2', 'a1', 'a1b2', '', 'c3-a1', 'b2.a1'])
def test_other_requests_are_new(call_id: str):
    """Guards against a new request that is taken for the call of another one."""
    tree = CallTree()
    tree.start('a1.b2', 4, 'read', Cause.retry)
    assert not tree.origin(call_id, 1).is_inner


@pytest.mark.parametrize('ends_by', ['nothing', 'abandonment'])
def test_calls_have_the_team_of_their_request(ends_by: str):
    """Guards against calls of an upstream that no team answers for, so that they stop."""
    tree = CallTree()
    tree.start('root', 1, 'r', team='ants')
    if ends_by == 'abandonment':
        tree.abandon('root', 1000, 0)
    assert tree.origin('root.1', 2).team == 'ants'
    assert not tree.origin('new', 2).team
