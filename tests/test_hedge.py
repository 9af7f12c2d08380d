"""Tests of the hedge policy."""

from gentianmill import hedge


def test_no_hedge_before_enough_observations():
    """Guards against hedging every call of an operation after one fast call."""
    policy = hedge.HedgePolicy()
    for _ in range(hedge.MIN_OBSERVATIONS - 1):
        policy.observe('quoting.read', 10)
    assert policy.delay_ms('quoting.read') is None
    policy.observe('quoting.read', 10)
    assert policy.delay_ms('quoting.read') == 10


def test_delay_is_a_high_percentile_of_the_latencies():
    """Guards against hedging far more than one call in twenty."""
    policy = hedge.HedgePolicy()
    for latency_ms in range(1, 101):
        policy.observe('quoting.read', latency_ms)
    assert policy.delay_ms('quoting.read') >= 95


def test_memory_is_bounded():
    """Guards against growth with the number of operation names."""
    policy = hedge.HedgePolicy()
    for number in range(hedge.MAX_OPERATIONS + 10):
        for _ in range(hedge.MIN_OBSERVATIONS):
            policy.observe(f'operation {number}', 5)
    assert policy.delay_ms('operation 0') is None
    assert policy.delay_ms(f'operation {hedge.MAX_OPERATIONS + 9}') == 5
