"""Tests of which calls of a sender are remembered, against a model that forgets nothing."""

from gentianmill.call_ledger import CallLedger
from hypothesis import given
from hypothesis import strategies as st

RETENTION_MS = 10.0


def test_call_is_remembered_until_its_time():
    """Guards against a payment that runs twice because its first run was forgotten."""
    ledger = CallLedger()
    ledger.add(1, 'payment')
    ledger.expire_at(1, 100)
    ledger.forget_expired(99)
    assert ledger.find(1) == 'payment'
    ledger.forget_expired(100)
    assert ledger.find(1) is None
    assert ledger.may_be_forgotten(1)


def test_later_calls_of_a_sender_are_new():
    """Guards against refusing the calls of a sender whose earlier ones were forgotten."""
    ledger = CallLedger()
    for key in (1, 2):
        ledger.add(key, key)
    ledger.expire_at(1, 5)
    ledger.forget_expired(6)
    assert not ledger.may_be_forgotten(3)
    assert ledger.find(2) == 2


@given(
    st.lists(
        st.tuples(st.integers(0, 12), st.integers(0, 30)),
        max_size=60,
    )
)
def test_no_call_is_taken_twice(steps: list[tuple[int, int]]):
    """Guards against second runs, whatever the order of resends and of expiries."""
    ledger: CallLedger[int] = CallLedger()
    taken: set[int] = set()
    now_ms = 0.0
    for key, pause_ms in steps:
        now_ms += pause_ms
        ledger.forget_expired(now_ms)
        if ledger.find(key) is None and not ledger.may_be_forgotten(key):
            assert key not in taken
            taken.add(key)
            ledger.add(key, key)
            ledger.expire_at(key, now_ms + RETENTION_MS)
