"""Tests of the detection of requests that crash their upstreams."""

import itertools
import random

import pytest
from gentianmill.crash_strikes import (
    LOSS_WINDOW_MS,
    MAX_CRASHES,
    REFRESH_MS,
    STRIKE_LIFETIME_MS,
    STRIKES,
    CrashStrikes,
    StrikeRecord,
)
from hypothesis import given
from hypothesis import strategies as st

CAUSE = b'cause'
NEIGHBOUR = b'neighbour'
_numbers = itertools.count(1)


def _crash(
    strikes: CrashStrikes, *digests: bytes, at_ms: float = 0
) -> list[StrikeRecord]:
    for digest in digests:
        strikes.record_loss(digest, at_ms)
    return strikes.record_crash(next(_numbers), at_ms + 1)


def _struck(*crashes: int) -> StrikeRecord:
    return StrikeRecord(CAUSE, frozenset(crashes))


def test_request_is_refused_after_three_crashes():
    """Guards against a caller that crashes a whole service by resending a request."""
    strikes = CrashStrikes()
    for number in range(STRIKES):
        assert not strikes.refuses(CAUSE, number)
        _crash(strikes, CAUSE, at_ms=number)
    assert strikes.refuses(CAUSE, STRIKES)


def test_crashes_of_other_upstreams_count():
    """Guards against a request that reaches a different upstream each time."""
    strikes = CrashStrikes()
    for crash in range(STRIKES):
        strikes.merge([_struck(crash)], 0)
    assert strikes.refuses(CAUSE, 1)


def test_crash_that_is_told_several_times_counts_once():
    """Guards against refusing a request because news of one crash takes several ways."""
    strikes = CrashStrikes()
    assert strikes.merge([_struck(7)], 0)
    for _ in range(STRIKES):
        assert not strikes.merge([_struck(7)], 1)
    assert not strikes.refuses(CAUSE, 1)


def test_neighbours_that_complete_are_cleared():
    """Guards against refusing requests that only ran at the same time as the cause."""
    strikes = CrashStrikes()
    for _ in range(STRIKES):
        _crash(strikes, CAUSE, NEIGHBOUR)
        strikes.record_completion(NEIGHBOUR, 1)
    assert not strikes.refuses(NEIGHBOUR, 1)


def test_late_news_of_a_cleared_crash_does_not_count():
    """Guards against refusing an innocent request as news arrives in another order."""
    strikes = CrashStrikes()
    strikes.merge([_struck(1, 2, 3)], 0)
    cleared = strikes.record_completion(CAUSE, 1)
    strikes.merge([_struck(1, 2, 3)], 2)
    assert not strikes.refuses(CAUSE, 2)
    other = CrashStrikes()
    other.merge([cleared], 0)
    other.merge([_struck(1, 2, 3)], 1)
    assert not other.refuses(CAUSE, 1)


def test_loss_without_a_crash_is_not_counted():
    """Guards against blaming a request for a connection lost without a crash."""
    strikes = CrashStrikes()
    strikes.record_loss(CAUSE, 0)
    assert strikes.record_crash(1, LOSS_WINDOW_MS + 1) == []


def test_strikes_do_not_expire_while_the_request_comes():
    """Guards against one more crash each time that strikes expire."""
    strikes = CrashStrikes()
    strikes.merge([_struck(1, 2, 3)], 0)
    now_ms = 0.0
    for _ in range(20):
        now_ms += REFRESH_MS + 1
        assert strikes.refuses(CAUSE, now_ms)
        assert strikes.refreshed(CAUSE, now_ms)
        assert not strikes.refreshed(CAUSE, now_ms)
    assert not strikes.refuses(CAUSE, now_ms + STRIKE_LIFETIME_MS + 1)


def test_refresh_reaches_nodes_that_do_not_see_the_request():
    """Guards against a guard that forgets a request which others still refuse."""
    near, far = CrashStrikes(), CrashStrikes()
    for strikes in (near, far):
        strikes.merge([_struck(1, 2, 3)], 0)
    now_ms = REFRESH_MS + 1
    assert far.merge(near.refreshed(CAUSE, now_ms), now_ms)
    assert far.refuses(CAUSE, STRIKE_LIFETIME_MS + 1)


def test_what_others_tell_is_bounded():
    """Guards against memory that grows with what another node sends."""
    strikes = CrashStrikes()
    strikes.merge([_struck(*range(1000))], 0)
    assert len(strikes.latest(1)[0].crashes) == MAX_CRASHES


_RECORDS = st.lists(
    st.builds(
        StrikeRecord,
        st.sampled_from([CAUSE, NEIGHBOUR]),
        st.frozensets(st.integers(0, 5), max_size=3),
        st.frozensets(st.integers(0, 5), max_size=2),
    ),
    max_size=8,
)


@given(_RECORDS, st.randoms(use_true_random=False))
def test_order_and_repetition_of_news_make_no_difference(
    records: list[StrikeRecord], rng: random.Random
):
    """Guards against nodes that disagree on a request for good."""
    first, second = CrashStrikes(), CrashStrikes()
    first.merge(records, 0)
    shuffled = records + records[:3]
    rng.shuffle(shuffled)
    for record in shuffled:
        second.merge([record], 0)
    assert set(first.latest(9)) == set(second.latest(9))


@pytest.mark.parametrize('crash', [0, 2**63 - 1])
def test_all_numbers_of_crashes_are_usable(crash: int):
    """Guards against a number that a frame can't carry."""
    strikes = CrashStrikes()
    strikes.record_loss(CAUSE, 0)
    assert strikes.record_crash(crash, 1)[0].crashes == {crash}
