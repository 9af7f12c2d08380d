"""Tests of the choice by expected completion against the choice by latency ratios.

Upstreams of a service differ in speed; see ``upstream_model``. The bounds are those of the
requirement: at no load may callers wait longer than by the choice of before.
"""

import functools

import pytest

from gentianmill.completion_placement import CompletionPlacement
from gentianmill.placement import Placement
from upstream_model import UpstreamModel, spread

ENTRIES = 86
COUNT = 18
SLOTS = 30
BEGIN_MS, END_MS, STOP_MS = 2000, 5000, 7000
REGIONS = (('a', 'r'), ('b', 'r'), ('c', 's'), ('d', 's'))


@functools.cache
def _figures(placement, share, slowest, fastest, zones=(('a', 'r'),)):
    """Return mean and p99 latency in ms, and the share served in its target latency."""
    model = UpstreamModel(
        spread(COUNT, slowest, fastest, SLOTS, zones), ENTRIES, placement
    )
    model.play(share * model.capacity_per_s, STOP_MS)
    return model.figures(BEGIN_MS, END_MS)


@pytest.mark.parametrize('speeds', [(0.5, 1.5), (0.7, 1.6)])
@pytest.mark.parametrize('share', [0.5, 0.8, 1.2])
@pytest.mark.parametrize('zones', [(('a', 'r'),), REGIONS])
def test_callers_wait_no_longer_than_before(speeds, share, zones):
    """Guards against a choice that is worse than that by latency ratios."""
    before = _figures(Placement, share, *speeds, zones)
    after = _figures(CompletionPlacement, share, *speeds, zones)
    assert after[0] <= 1.03 * before[0]
    assert after[1] <= 1.06 * before[1]
    assert after[2] >= before[2] - 0.01
