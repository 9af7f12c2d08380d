"""Tests of the limit on what a node holds, against a model."""

from gentianmill.byte_budget import REQUEST_SHARE, ByteBudget, HeldKind, Reservation
from hypothesis import given
from hypothesis import strategies as st

LIMIT = 1000
LANE = int(LIMIT * REQUEST_SHARE)


class _Owner:
    def __init__(self) -> None:
        self.granted = 0

    def grant(self) -> None:
        self.granted += 1


def test_large_requests_wait_for_room_in_order():
    """Guards against small uploads that starve a large one."""
    budget = ByteBudget(LIMIT)
    first = budget.reserve(LANE, _Owner().grant)
    owners = [_Owner(), _Owner()]
    large = budget.reserve(LANE, owners[0].grant)
    small = budget.reserve(1, owners[1].grant)
    assert (first.is_granted, large.is_granted, small.is_granted) == (
        True,
        False,
        False,
    )
    first.release()
    assert (large.is_granted, owners[0].granted) == (True, 1)
    assert not small.is_granted
    large.release()
    assert small.is_granted


def test_responses_leave_room_beside_uploads():
    """Guards against uploads that keep all responses from being read."""
    budget = ByteBudget(LIMIT)
    budget.reserve(LANE, _Owner().grant)
    assert not budget.reserve(1, _Owner().grant).is_granted
    budget.hold(HeldKind.response, LIMIT - LANE)
    assert budget.held == LIMIT


def test_request_that_alone_takes_more_than_its_part_is_granted():
    """Guards against a body within the limits of the operator that is never taken."""
    budget = ByteBudget(LIMIT)
    assert budget.reserve(LIMIT, _Owner().grant).is_granted
    assert budget.fits(LIMIT)
    assert not budget.fits(LIMIT + 1)


def test_wait_that_is_given_up_lets_others_pass():
    """Guards against a caller that left and blocks all uploads behind it."""
    budget = ByteBudget(LIMIT)
    budget.hold(HeldKind.response, LIMIT - 10)
    blocked = budget.reserve(100, _Owner().grant)
    owner = _Owner()
    small = budget.reserve(5, owner.grant)
    blocked.release()
    assert (small.is_granted, owner.granted) == (True, 1)


def test_release_counts_once():
    """Guards against room that is given back twice."""
    budget = ByteBudget(LIMIT)
    reservation = budget.reserve(10, _Owner().grant)
    reservation.release()
    reservation.release()
    assert budget.held == 0


_STEPS = st.lists(
    st.one_of(
        st.tuples(st.just('reserve'), st.integers(1, LIMIT)),
        st.tuples(st.just('release'), st.integers(0, 30)),
        st.tuples(st.just('respond'), st.integers(1, LIMIT // 2)),
        st.tuples(st.just('deliver'), st.integers(0, 30)),
    ),
    max_size=60,
)


@given(_STEPS)
def test_no_order_of_events_takes_more_than_the_limit(steps: list[tuple[str, int]]):
    """Guards against a node that is ended for its memory, or an upload that never runs."""
    budget = ByteBudget(LIMIT)
    reservations: list[Reservation] = []
    responses: list[int] = []
    for kind, number in steps:
        if kind == 'reserve':
            reservations.append(budget.reserve(number, _Owner().grant))
        elif kind == 'release' and reservations:
            reservations.pop(number % len(reservations)).release()
        elif kind == 'respond' and budget.held + number <= LIMIT:
            responses.append(number)
            budget.hold(HeldKind.response, number)
        elif kind == 'deliver' and responses:
            budget.release(HeldKind.response, responses.pop(number % len(responses)))
        granted = sum(entry.count for entry in reservations if entry.is_granted)
        assert budget.held == granted + sum(responses)
        assert budget.held <= LIMIT
        waiting = [entry for entry in reservations if not entry.is_granted]
        assert budget.waiting == len(waiting)
    for number in responses:
        budget.release(HeldKind.response, number)
    while reservations:
        assert any(entry.is_granted for entry in reservations)
        reservations = [entry for entry in reservations if not _finish(entry)]
    assert budget.held == 0


def _finish(reservation: Reservation) -> bool:
    if reservation.is_granted:
        reservation.release()
        return True
    return False
