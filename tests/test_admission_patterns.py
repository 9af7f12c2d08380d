"""Tests of who is refused during and after a surge, each for one pattern of load."""

from admission_model import AdmissionModel, Kind, Request

SLOTS = 24
READ = Kind('read', work_ms=1000, rank=3, importance=0)
LOOKUP = Kind('lookup', work_ms=100, rank=3, importance=0)
PAYMENT = Kind('payment', work_ms=5, rank=1, importance=0.5, patience_ms=2000)
SURGE_MS = 6000
AFTER_MS = 12_000


def _refused(requests: list[Request]) -> int:
    return sum(request.refused_ms is not None for request in requests)


def _idle_refusals(model: AdmissionModel) -> int:
    return sum(request.idle_refusal for request in model.requests)


def _served(requests: list[Request]) -> int:
    return sum(request.served_ms is not None for request in requests)


def test_payments_after_a_surge_are_not_refused():
    """Guards against refusals for seconds after a surge whose slots are free again.

    The pattern: reads at 25 times the capacity, then only a few payments.
    """
    model = AdmissionModel([SLOTS])
    model.send(READ, SLOTS * 25, 0, SURGE_MS)
    model.send(PAYMENT, 4, SURGE_MS, SURGE_MS + AFTER_MS)
    model.run(SURGE_MS + AFTER_MS + 5000)
    assert _idle_refusals(model) <= 2
    late = model.of(PAYMENT, SURGE_MS + 2000)
    assert _refused(late) == 0
    assert _served(late) == len(late)


def test_surge_is_served_at_the_capacity():
    """Guards against a share that is so low that slots stay free during a surge."""
    model = AdmissionModel([SLOTS])
    model.send(READ, SLOTS * 5, 0, SURGE_MS)
    model.run(SURGE_MS + 5000)
    assert _served(model.of(READ)) >= 138


def test_surge_and_calm_of_the_same_kind():
    """Guards against refusing the usual load after a surge of it."""
    model = AdmissionModel([SLOTS])
    model.send(LOOKUP, SLOTS * 10 * 5, 0, SURGE_MS)
    model.send(LOOKUP, SLOTS * 10 * 0.6, SURGE_MS, SURGE_MS + AFTER_MS)
    model.run(SURGE_MS + AFTER_MS + 5000)
    assert _idle_refusals(model) <= 2
    assert _refused(model.of(LOOKUP, SURGE_MS + 2500)) == 0


def test_flood_that_leaves_makes_no_mark():
    """Guards against payments refused for callers that have gone."""
    model = AdmissionModel([SLOTS])
    model.send(READ, SLOTS * 25, 0, 2000, leave_after_ms=300)
    model.send(PAYMENT, 4, 2500, 2500 + AFTER_MS)
    model.run(2500 + AFTER_MS + 5000)
    assert _refused(model.of(PAYMENT, 3500)) <= 2


def test_service_that_halves_its_slots_and_gets_them_back():
    """Guards against a share that follows the capacity down and not up."""
    model = AdmissionModel([SLOTS])
    per_s = SLOTS * 10 * 0.8
    model.send(LOOKUP, per_s, 0, 15_000)
    model.at(3000, lambda: model.resize(SLOTS // 2))
    model.at(8000, lambda: model.resize(SLOTS))
    model.run(20_000)
    assert _refused(model.of(LOOKUP, 0, 3000)) == 0
    during = model.of(LOOKUP, 4500, 8000)
    assert _served(during) >= 336  # 0.8 of the capacity in 3.5 s
    assert _refused(model.of(LOOKUP, 9500)) == 0


def test_slow_upstream_among_good_ones():
    """Guards against refusals for the sake of one slow upstream."""
    model = AdmissionModel([SLOTS, SLOTS, SLOTS], speeds=[1, 1, 0.1])
    model.send(LOOKUP, SLOTS * 10 * 2 * 0.7, 0, 10_000)
    model.run(15_000)
    lookups = model.of(LOOKUP, 1000)
    assert _refused(lookups) <= 0.02 * len(lookups)


def test_entry_that_sees_no_answers():
    """Guards against an entry that refuses for ever what it has heard last."""
    model = AdmissionModel([SLOTS], entries=2)
    model.send(READ, SLOTS * 10, 0, SURGE_MS, entry=0)
    model.send(READ, SLOTS * 10, 0, SURGE_MS, entry=1)
    model.at(SURGE_MS, lambda: model.deaf.add(1))
    for entry in (0, 1):
        model.send(PAYMENT, 4, SURGE_MS, SURGE_MS + AFTER_MS, entry=entry)
    model.run(SURGE_MS + AFTER_MS + 5000)
    assert _idle_refusals(model) <= 2
    assert _refused(model.of(PAYMENT, SURGE_MS + 2500)) == 0


def test_return_after_a_crash_of_all_upstreams():
    """Guards against refusals after all upstreams are back."""
    model = AdmissionModel([SLOTS, SLOTS])

    def set_down(is_down: bool) -> None:
        for guard in model.guards:
            guard.is_down = is_down

    model.send(LOOKUP, SLOTS * 10 * 1.2, 0, 12_000)
    model.at(3000, lambda: set_down(True))
    model.at(6000, lambda: set_down(False))
    model.run(17_000)
    assert _refused(model.of(LOOKUP, 7000)) == 0
