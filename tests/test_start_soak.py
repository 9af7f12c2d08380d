"""A short seeded run of the soak of starts and stops."""

import pytest
from start_soak import SoakSettings, play


@pytest.mark.parametrize('seed', (1, 2, 3))
def test_starts_and_stops_lose_no_request(seed, tree, tmp_path):
    """Guards against requests that are lost, and processes that end by themselves."""
    settings = SoakSettings(seed, seconds=6, nodes=4)
    played = play(settings, tree, tmp_path)
    assert not played.violations, str(played)
    assert played.stops
