"""Tests of the slots that are lent for running stragglers."""

from test_admission import make_queue, make_ticket, started

from gentianmill.admission import AdmissionQueue
from gentianmill.slots import LENT_SHARE
from gentianmill.stragglers import STRAGGLER_RATIO
from gentianmill.ticket import Ticket

SLOTS = 20
USUAL_MS = 10
LATE_MS = STRAGGLER_RATIO * USUAL_MS + 1
LENT_SLOTS = int(LENT_SHARE * SLOTS)


def _full_queue(
    has_usual_latency: bool = True,
) -> tuple[AdmissionQueue, list[Ticket], float]:
    """Return a full queue, the running calls and the time.

    With ``has_usual_latency``, finished calls of the operation have set one.
    """
    queue = make_queue(slots=SLOTS)
    now_ms = 0
    for _ in range(50 if has_usual_latency else 0):
        finished = make_ticket()
        queue.offer(finished, now_ms)
        now_ms += USUAL_MS
        queue.finish(finished, now_ms, ok=True)
    running = [make_ticket() for _ in range(SLOTS)]
    for ticket in running:
        queue.offer(ticket, now_ms)
    return queue, running, now_ms


def _wait(queue: AdmissionQueue, now_ms: float, count: int = 1) -> list[Ticket]:
    waiting = [make_ticket(operation='other') for _ in range(count)]
    for ticket in waiting:
        assert not started(queue.offer(ticket, now_ms))
    return waiting


def test_a_call_does_not_wait_for_a_straggler():
    """Guards against short work that waits behind calls that run far too long."""
    queue, running, now_ms = _full_queue()
    for ticket in running[1:]:
        queue.finish(ticket, now_ms, ok=True)
        queue.offer(make_ticket(operation='fresh'), now_ms)
    waiting = _wait(queue, now_ms)
    assert not started(queue.tick(now_ms + USUAL_MS))
    assert started(queue.tick(now_ms + LATE_MS)) == waiting


def test_only_a_part_of_the_slots_is_lent():
    """Guards against a slow upstream that gets more calls the slower it is."""
    queue, _, now_ms = _full_queue()
    waiting = _wait(queue, now_ms, SLOTS)
    assert started(queue.tick(now_ms + LATE_MS)) == waiting[:LENT_SLOTS]
    assert queue.in_flight == SLOTS + LENT_SLOTS


def test_a_slot_is_returned_when_its_straggler_ends():
    """Guards against a limit that grows with each straggler."""
    queue, running, now_ms = _full_queue()
    waiting = _wait(queue, now_ms, 2 * SLOTS)
    now_ms += LATE_MS
    queue.tick(now_ms)
    for ticket in running:
        queue.cancel(ticket, now_ms)
    assert queue.in_flight == SLOTS
    assert queue.queued == len(waiting) - SLOTS


def test_nothing_is_lent_for_operations_without_a_usual_latency():
    """Guards against treating the first calls after a start as stragglers."""
    queue, _, now_ms = _full_queue(has_usual_latency=False)
    _wait(queue, now_ms)
    assert not started(queue.tick(now_ms + LATE_MS))
    assert queue.in_flight == SLOTS
