"""Tests of the admission level of a guard."""

from hypothesis import given, settings
from hypothesis import strategies as st

from gentianmill.level import PERIOD_MS, AdmissionLevel, rank_of
from gentianmill.sheet import RANKS_PER_CLASS, WorkClass

PROTECTED_LEVEL = 2 * RANKS_PER_CLASS - 1


def test_rank_is_class_times_128_plus_a_stable_hash():
    """Guards against calls of one request that are admitted differently."""
    quotes = WorkClass('quotes', 3, protected=False)
    ranks = {rank_of(quotes, f'request {number}') for number in range(2000)}
    assert min(ranks) == 3 * 128
    assert max(ranks) == 3 * 128 + 127
    assert rank_of(quotes, 'x') == rank_of(quotes, 'x')


def overload(level: AdmissionLevel, begin_ms: float, periods: int, refused: bool):
    for period in range(periods):
        for rank in range(level.level + 1):
            level.admits(rank)
        level.observe(begin_ms + period * PERIOD_MS, 1000, refused)
    return begin_ms + periods * PERIOD_MS


def test_sheds_a_small_part_of_the_admitted_calls_per_period():
    """Guards against refusing a whole class at the first sign of load."""
    level = AdmissionLevel(5, 2)
    overload(level, 0, 3, refused=False)
    assert 0.85 * 640 <= level.level < 640 - 1


def test_protected_ranks_stay_open_unless_the_queue_refuses_protected_calls():
    """Guards against shedding billing while other work could be shed."""
    level = AdmissionLevel(5, 2)
    now_ms = overload(level, 0, 200, refused=False)
    assert level.level == PROTECTED_LEVEL
    overload(level, now_ms, 200, refused=True)
    assert 0 < level.level < PROTECTED_LEVEL


@settings(deadline=None, max_examples=50)
@given(st.lists(st.tuples(st.floats(0, 500), st.booleans()), max_size=200))
def test_opens_fully_within_5_s_after_the_load_ends(observations):
    """Guards against an overload that outlasts its cause."""
    level = AdmissionLevel(5, 2)
    now_ms = 0.0
    for delay_ms, refused in observations:
        level.admits(level.level)
        level.observe(now_ms, delay_ms, refused)
        assert 0 <= level.level < 640
        now_ms += 100
    for step in range(51):
        level.observe(now_ms + step * 100, 0, refused=False)
    assert level.is_open
    assert level.admits(639)


def test_a_short_burst_does_not_lower_the_level():
    """Guards against shedding for a queue that drains within a period."""
    level = AdmissionLevel(5, 2)
    for now_ms in range(0, 2000, 10):
        level.observe(now_ms, 100 if now_ms % 250 else 0, refused=False)
    assert level.is_open


def test_opens_while_nothing_is_observed():
    """Guards against a guard that keeps a low level because it gets no calls."""
    level = AdmissionLevel(5, 2)
    now_ms = overload(level, 0, 100, refused=False)
    level.observe(now_ms + 10_000, 0, refused=False)
    assert level.is_open
