"""Tests of the bounds on retries."""

from hypothesis import given
from hypothesis import strategies as st

from gentianmill import retry


def test_ledger_grants_the_allowance_once_per_window():
    """Guards against a resend whose retries are counted from zero."""
    ledger = retry.RetryLedger(2, 1000)
    grants = [ledger.spend('a', now_ms) for now_ms in range(0, 3000, 500)]
    assert grants == [True, True, False, False, False, False]
    assert ledger.spend('b', 3000)
    assert ledger.spend('a', 4000)


def test_ledger_refuses_a_call_without_identity():
    """Guards against one count shared by all anonymous requests."""
    assert not retry.RetryLedger(2, 1000).spend('', 0)


def test_full_ledger_refuses_and_keeps_its_counts(monkeypatch):
    """Guards against a flood of identities that evicts a used-up count."""
    monkeypatch.setattr(retry, 'MAX_IDENTITIES', 3)
    ledger = retry.RetryLedger(1, 1000)
    assert ledger.spend('a', 0)
    assert [ledger.spend(f'flood {number}', 1) for number in range(5)].count(True) == 2
    assert not ledger.spend('a', 2)
    assert len(ledger) == 3


@given(st.lists(st.tuples(st.floats(0, 3000), st.booleans()), max_size=300))
def test_throttle_keeps_retries_within_the_ratio(events):
    """Guards against an entry whose retries add more than a tenth of its calls."""
    throttle = retry.RetryThrottle(0.1)
    now_ms, calls, retries = 0.0, 0, 0
    for pause_ms, is_retry in events:
        now_ms += pause_ms
        if is_retry:
            retries += throttle.try_retry(now_ms)
        else:
            throttle.on_call(now_ms)
            calls += 1
        assert retries <= calls * 0.1


def test_throttle_ignores_calls_before_its_window():
    """Guards against retries earned at low load and spent during an overload."""
    throttle = retry.RetryThrottle(0.1)
    for _ in range(100):
        throttle.on_call(0)
    assert throttle.try_retry(1)
    assert not throttle.try_retry(20_000)


def test_retries_counted_when_they_arrive_use_up_the_ratio():
    """Guards against retries admitted earlier that are not counted when they arrive."""
    throttle = retry.RetryThrottle(0.1)
    for _ in range(100):
        throttle.on_call(0)
    for _ in range(10):
        throttle.on_retry(0)
    assert not throttle.try_retry(0)
    assert throttle.used_share(0) >= 1
