"""Refused callers return when they can be served, and not together."""

import random

from gentianmill.return_time import LEAST_MS, return_after_ms

RNG = random.Random(1)


def _pauses(share: float, time_left_ms: float | None) -> list[float]:
    return [return_after_ms(share, time_left_ms, RNG) for _ in range(500)]


def test_burst_sends_callers_past_its_crest():
    """Callers who return to the same crest are refused again and give up."""
    assert min(_pauses(0.3, 10_000)) > 1000


def test_restart_calls_callers_back_soon():
    """A refusal without overload must not cost its caller seconds."""
    assert max(_pauses(1, 10_000)) <= 900


def test_pause_is_one_that_callers_honour():
    """A caller who can't wait so long comes back at once, or never."""
    assert max(_pauses(0.1, 1500)) <= 500


def test_callers_who_were_refused_together_return_apart():
    """Callers who return together make the next crest."""
    pauses = _pauses(0.5, None)
    assert max(pauses) - min(pauses) > LEAST_MS
