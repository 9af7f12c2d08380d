"""Tests of the token bucket with changing limits."""

import math

from gentianmill.quota_bucket import QuotaBucket


def _full(rate_per_s: float = 10, capacity: float = 20) -> QuotaBucket:
    bucket = QuotaBucket(0)
    bucket.update(rate_per_s, capacity, 0)
    bucket.update(rate_per_s, capacity, 10_000)
    return bucket


def test_a_new_bucket_is_empty():
    """Guards against a burst from each owner that starts."""
    bucket = QuotaBucket(0)
    bucket.update(10, 20, 5000)
    assert bucket.take(1) == 0
    bucket.update(10, 20, 5100)
    assert bucket.take(5) == 1


def test_a_reduction_caps_the_tokens_at_once():
    """Guards against a burst of the old limit after ``quota down``."""
    bucket = _full()
    bucket.update(10, 5, 10_000)
    assert bucket.take(100) == 5


def test_the_time_before_a_change_counts_with_the_lower_rate():
    """Guards against a refill at a rate that had ended long before it was noticed."""
    bucket = _full()
    bucket.take(100)
    bucket.update(2, 20, 11_000)
    assert bucket.take(100) == 2
    bucket.update(10, 20, 12_000)
    assert bucket.take(100) == 2


def test_the_wait_for_a_token_follows_the_rate():
    """Guards against a Retry-After at which there is no token, or none at all."""
    bucket = _full()
    bucket.take(100)
    assert bucket.wait_ms(1) == 100
    bucket.update(0, 20, 10_000)
    assert math.isinf(bucket.wait_ms(1))
    bucket.update(10, 20, 10_000)
    bucket.update(10, 20, 10_100)
    assert bucket.take(1) == 1


def test_a_clock_that_stands_still_or_goes_back_adds_no_tokens():
    """Guards against tokens that are refilled twice for the same time."""
    bucket = _full()
    bucket.take(100)
    bucket.update(10, 20, 9000)
    bucket.update(10, 20, 10_000)
    assert bucket.take(100) == 0
