"""Tests of the byte budget between regions."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gentianmill.link_budget import LinkBudget
from gentianmill.sheet_models import LimitsModel

BLOCKS = st.lists(
    st.tuples(st.floats(0, 50), st.integers(1, 1_000_000)), min_size=1, max_size=60
)


def _budget(senders: int = 1) -> LinkBudget:
    limits = LimitsModel(region_link_mbit=4000, region_bulk_share=0.5)
    return LinkBudget(limits, senders)


def test_rate_is_the_bulk_share_of_the_link():
    """Guards against a mix-up of bits and bytes."""
    assert _budget().rate == pytest.approx(250_000)
    assert _budget(senders=10).rate == pytest.approx(25_000)


@given(BLOCKS)
def test_no_window_carries_more_than_the_rate(blocks):
    """Guards against bulk bursts that delay calls on a link between regions."""
    budget = _budget()
    now_ms = 0.0
    releases = []
    for pause_ms, size_bytes in blocks:
        now_ms += pause_ms
        wait_ms = budget.spend('north', size_bytes, now_ms)
        assert wait_ms >= 0
        releases.append((now_ms + wait_ms, size_bytes))
    for first, (start_ms, _) in enumerate(releases):
        sent = 0
        for release_ms, size_bytes in releases[first:]:
            window_ms = release_ms - start_ms
            assert sent <= budget.rate * window_ms + 1
            sent += size_bytes


def test_regions_do_not_share_a_budget():
    """Guards against one busy link that blocks the others."""
    budget = _budget()
    budget.spend('north', 10_000_000, 0)
    assert budget.spend('south', 10, 0) == 0
    assert budget.spend('north', 10, 0) == pytest.approx(40)
