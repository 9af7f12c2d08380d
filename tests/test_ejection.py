"""Tests of outlier ejection."""

from hypothesis import given
from hypothesis import strategies as st
from member_factory import make_member

from gentianmill.ejection import FIRST_EJECTION_MS, REVIEW_INTERVAL_MS, OutlierEjector
from gentianmill.route_state import RouteState


def _states(count: int, tier: int = 1) -> list[RouteState]:
    return [
        RouteState(
            make_member(f'node-{number}', 0, service='quoting', slots=25),
            tier,
            added_ms=-1e9,
        )
        for number in range(count)
    ]


def _run(state: RouteState, latency_ms: float, count: int = 30, ok: bool = True):
    for _ in range(count):
        state.record_start(0)
        state.record_done(latency_ms, latency_ms, ok)


@given(
    st.lists(
        st.lists(
            st.tuples(st.sampled_from([1, 10, 100, 1000]), st.booleans()),
            min_size=12,
            max_size=12,
        ),
        max_size=20,
    ),
    st.integers(1, 12),
    st.floats(0, 1),
)
def test_ejected_share_stays_within_the_cap(rounds, count, share):
    """Guards against ejecting so many members that the rest are overloaded."""
    states = _states(count)
    ejector = OutlierEjector(share)
    for number, latencies in enumerate(rounds):
        for state, (latency_ms, ok) in zip(states, latencies, strict=False):
            _run(state, latency_ms, ok=ok)
        ejector.review(states, number * 700)
        excluded = sum(state.ejected or state.probing for state in states)
        assert excluded <= share * count


def test_slow_member_is_ejected_and_readmitted_by_probes():
    """Guards against a recovered member that never gets calls again."""
    states = _states(6)
    ejector = OutlierEjector(0.34)
    for state in states:
        _run(state, 10)
    _run(states[0], 500)
    ejector.review(states, 0)
    assert not states[0].admissible(0)
    ejector.review(states, FIRST_EJECTION_MS + 1)
    assert states[0].admissible(FIRST_EJECTION_MS + 1)
    states[0].record_start(0)
    assert not states[0].admissible(FIRST_EJECTION_MS + 1)
    states[0].record_done(10, 10, ok=True)
    _run(states[0], 10, count=2)
    ejector.review(states, FIRST_EJECTION_MS + 2 + REVIEW_INTERVAL_MS)
    states[0].record_start(0)
    assert states[0].admissible(FIRST_EJECTION_MS + 2 + REVIEW_INTERVAL_MS)


def test_failing_member_is_ejected():
    """Guards against a member that fails fast and so attracts every call."""
    states = _states(6)
    for state in states:
        _run(state, 10)
    _run(states[0], 1, count=60, ok=False)
    OutlierEjector(0.34).review(states, 0)
    assert [state for state in states if state.ejected] == states[:1]


def test_distance_is_no_reason_for_ejection():
    """Guards against ejecting all members of another region because of its distance."""
    near, far = _states(3), _states(3, tier=2)
    for state in near:
        _run(state, 5)
    for state in far:
        _run(state, 65)
    OutlierEjector(0.5).review(near + far, 0)
    assert not any(state.ejected for state in near + far)
