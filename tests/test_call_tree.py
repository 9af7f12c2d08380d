"""Tests of the recognition of inner calls."""

from gentianmill.arrivals import Cause
from gentianmill.call_tree import CallTree


def test_inner_calls_take_the_rank_of_their_request():
    """An inner call of payments must not wait behind lookups of its own route."""
    tree = CallTree()
    tree.start('root', tree.origin('root', 0).rank, 'r')
    inner = tree.origin('root.1', 9)
    assert inner.is_inner
    assert inner.rank < tree.origin('other', 0).rank


def test_inner_calls_go_before_new_requests_of_their_priority():
    """A request that has already cost work must not wait for new ones."""
    tree = CallTree()
    tree.start('root', tree.origin('root', 2).rank, 'r')
    assert tree.origin('root.1', 2).rank < tree.origin('new', 2).rank


def test_calls_of_unknown_requests_are_new():
    """A caller must not gain rank by an id that looks like an inner call's."""
    tree = CallTree()
    tree.start('root', 1, 'r')
    tree.end('root')
    assert not tree.origin('root.1', 2).is_inner


def test_calls_of_a_repeat_are_repeats():
    """The platform's bound counts the calls of a repeated request as retries."""
    tree = CallTree()
    tree.start('root', 1, 'r', Cause.retry)
    assert tree.origin('root.1', 2).cause is Cause.inherited
    assert tree.origin('new', 2).cause is Cause.first


def test_calls_of_a_repeat_that_was_given_up_are_repeats():
    """An upstream may go on after its connection broke; its calls seemed new."""
    tree = CallTree()
    tree.start('root', 1, 'r', Cause.retry)
    tree.give_up('root', until_ms=50, now_ms=10)
    assert tree.origin('root.1', 2).cause is Cause.inherited
    assert not tree.orphans


def test_requests_that_were_given_up_are_forgotten_when_their_time_is_over():
    """Requests lost in a long outage would take memory without end."""
    tree = CallTree()
    for number in range(100):
        tree.start(f'{number}', 1, 'r')
        tree.give_up(f'{number}', until_ms=number + 5, now_ms=number)
    known = [tree.origin(f'{number}.1', 2).is_inner for number in range(100)]
    assert sum(known) == 5
