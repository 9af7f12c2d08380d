"""Tests of the admission queue of a guard."""

import collections

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gentianmill.admission import AdmissionQueue
from gentianmill.concurrency_limit import FixedLimit
from gentianmill.sheet import WorkClass
from gentianmill.sheet_models import LimitsModel
from gentianmill.slots import LENT_SHARE
from gentianmill.ticket import Lane, Ticket, TicketState, Verdict

CLASSES = (
    WorkClass('billing', 0, protected=True),
    WorkClass('job_sheets', 1, protected=True),
    WorkClass('lookups', 2, protected=False),
    WorkClass('quotes', 3, protected=False),
)


def make_ticket(
    class_rank=2,
    tenant='a',
    share=1,
    size='short',
    deadline_ms=1e9,
    operation='op',
) -> Ticket:
    return Ticket(
        work_class=CLASSES[class_rank],
        tenant=tenant,
        share=share,
        size=size,
        rank=class_rank * 128,
        deadline_ms=deadline_ms,
        operation=operation,
    )


def make_queue(slots=1, **limits) -> AdmissionQueue:
    return AdmissionQueue(LimitsModel(**limits), FixedLimit(slots))


def started(decisions) -> list[Ticket]:
    return [entry.ticket for entry in decisions if entry.verdict is Verdict.start]


def test_starts_at_once_while_a_slot_is_free():
    """Guards against latency added on an idle upstream."""
    queue = make_queue(slots=2)
    ticket = make_ticket()
    assert started(queue.offer(ticket, 0)) == [ticket]
    assert queue.in_flight == 1
    assert queue.next_tick_ms(0) is None


def test_starts_the_most_important_class_first():
    """Guards against first come, first served under load."""
    queue = make_queue()
    running = make_ticket()
    queue.offer(running, 0)
    low, high = make_ticket(3), make_ticket(0)
    queue.offer(low, 1)
    queue.offer(high, 2)
    assert started(queue.finish(running, 3, ok=True)) == [high]
    assert started(queue.finish(high, 4, ok=True)) == [low]


def test_a_protected_call_evicts_an_unprotected_one_from_a_full_queue():
    """Guards against refusing billing while quotes wait."""
    queue = make_queue(queue_length=1)
    queue.offer(make_ticket(), 0)
    low, high = make_ticket(3), make_ticket(1)
    queue.offer(low, 1)
    decisions = queue.offer(high, 2)
    assert [(entry.ticket, entry.verdict) for entry in decisions] == [
        (low, Verdict.overloaded)
    ]
    assert high.state is TicketState.queued


def test_a_full_queue_sheds_the_tenant_with_the_largest_backlog():
    """Guards against one tenant filling the queue for all others."""
    queue = make_queue(queue_length=3)
    queue.offer(make_ticket(tenant='x'), 0)
    noisy = [make_ticket(tenant='noisy') for _ in range(3)]
    for ticket in noisy:
        queue.offer(ticket, 1)
    small = make_ticket(tenant='small')
    refused = [entry.ticket for entry in queue.offer(small, 2)]
    assert refused == [noisy[-1]]


def test_a_call_past_its_deadline_never_starts():
    """Guards against running work whose caller has stopped waiting."""
    queue = make_queue()
    running = make_ticket()
    queue.offer(running, 0)
    late = make_ticket(deadline_ms=10)
    queue.offer(late, 1)
    assert queue.next_tick_ms(5) == 10
    decisions = queue.finish(running, 10, ok=True)
    assert [entry.verdict for entry in decisions] == [Verdict.deadline]
    expired = make_ticket(deadline_ms=10)
    assert queue.offer(expired, 10)[0].verdict is Verdict.deadline


def test_a_standing_queue_sheds_the_lowest_class():
    """Guards against a queue that stays long indefinitely."""
    queue = make_queue(queue_delay_ms=50)
    queue.offer(make_ticket(), 0)
    kept, shed = make_ticket(0), make_ticket(3)
    queue.offer(kept, 1)
    queue.offer(shed, 1)
    decisions = queue.tick(300)
    assert [entry.ticket for entry in decisions] == [shed]
    assert kept.state is TicketState.queued


def test_protected_work_waits_while_other_work_runs():
    """Guards against shedding billing while another class holds a slot."""
    queue = make_queue(queue_delay_ms=50)
    running = make_ticket(3)
    queue.offer(running, 0)
    billing = make_ticket(0)
    queue.offer(billing, 1)
    assert not queue.tick(60000)
    assert started(queue.finish(running, 60001, ok=True)) == [billing]


def test_protected_work_is_shed_when_only_protected_work_runs():
    """Guards against an unbounded queue during an overload of protected work."""
    queue = make_queue(queue_delay_ms=50)
    queue.offer(make_ticket(0), 0)
    billing = make_ticket(0)
    queue.offer(billing, 1)
    decisions = queue.tick(60000)
    assert [entry.ticket for entry in decisions] == [billing]
    assert queue.drain_protected_refusals() == 1
    assert queue.drain_protected_refusals() == 0


@pytest.mark.parametrize('sizes', [('long',), ('bulk',), ('long', 'bulk')])
def test_long_and_bulk_work_keep_to_their_shares_beside_short_work(sizes):
    """Guards against short work blocked behind long work."""
    queue = make_queue(slots=10, long_share=0.5, bulk_share=0.3)
    earlier = [make_ticket() for _ in range(4)]
    for ticket in earlier:
        queue.offer(ticket, 0)
    for ticket in earlier:
        queue.finish(ticket, 1, ok=True)
    for _ in range(8):
        for size in sizes:
            queue.offer(make_ticket(size=size), 2)
    assert queue.in_flight == 5
    for _ in range(5):
        short = make_ticket()
        assert started(queue.offer(short, 3)) == [short]


def test_bulk_work_keeps_to_its_share_beside_long_work():
    """Guards against bulk work that runs in the share of long work."""
    queue = make_queue(slots=10, long_share=0.5, bulk_share=0.2)
    earlier = [make_ticket(size='long') for _ in range(5)]
    earlier += [make_ticket() for _ in range(4)]
    for ticket in earlier:
        queue.offer(ticket, 0)
    for ticket in earlier:
        queue.finish(ticket, 1, ok=True)
    for _ in range(8):
        queue.offer(make_ticket(size='bulk'), 2)
    assert queue.in_flight == 2


def test_long_and_bulk_work_alone_leave_a_slot_for_short_work():
    """Guards against a first short call that has to wait for a long one to end."""
    queue = make_queue(slots=10, long_share=0.5, bulk_share=0.3)
    for _ in range(20):
        queue.offer(make_ticket(size='bulk'), 0)
        queue.offer(make_ticket(size='long'), 0)
    assert queue.in_flight == 9
    short = make_ticket()
    assert started(queue.offer(short, 0)) == [short]


def test_the_shares_hold_again_once_short_work_returns():
    """Guards against bulk work that keeps slots which short work needs."""
    queue = make_queue(slots=10, long_share=0.5, bulk_share=0.3)
    bulk = [make_ticket(size='bulk') for _ in range(40)]
    running = [ticket for entry in bulk for ticket in started(queue.offer(entry, 0))]
    assert len(running) == 9
    for _ in range(6):
        queue.offer(make_ticket(), 1)
    for ticket in running:
        queue.finish(ticket, 2, ok=True)
    assert queue.in_flight <= 10
    are_running = [entry.state is TicketState.running for entry in bulk]
    assert sum(are_running) <= 4


def test_an_operation_that_runs_long_is_learned_as_long():
    """Guards against an operation whose size in the sheet is wrong."""
    queue = make_queue(slots=4)
    now_ms = 0
    for _ in range(200):
        slow, quick = make_ticket(operation='slow'), make_ticket(operation='quick')
        quicks = [make_ticket(operation='quick') for _ in range(2)]
        for ticket in (slow, quick, *quicks):
            queue.offer(ticket, now_ms)
        for ticket in (quick, *quicks):
            queue.finish(ticket, now_ms + 10, ok=True)
        now_ms += 500
        queue.finish(slow, now_ms, ok=True)
    slow, quick = make_ticket(operation='slow'), make_ticket(operation='quick')
    queue.offer(slow, now_ms)
    queue.offer(quick, now_ms)
    assert (slow.lane, quick.lane) == (Lane.long, Lane.short)


def test_cancel_frees_the_slot_and_gives_no_decision():
    """Guards against slots held by calls that nobody waits for."""
    queue = make_queue()
    running, waiting, dropped = make_ticket(), make_ticket(), make_ticket()
    for ticket in (running, waiting, dropped):
        queue.offer(ticket, 0)
    assert not queue.cancel(dropped, 1)
    assert started(queue.cancel(running, 2)) == [waiting]
    assert not queue.finish(running, 3, ok=True)
    assert queue.in_flight == 1


def test_a_ticket_cannot_be_offered_twice():
    """Guards against running one call twice."""
    queue = make_queue()
    ticket = make_ticket()
    queue.offer(ticket, 0)
    with pytest.raises(ValueError, match='offered twice'):
        queue.offer(ticket, 1)


@pytest.mark.parametrize('class_rank', [0, 2])
def test_bulk_work_progresses_beside_a_backlog_of_short_work(class_rank):
    """Guards against starving bulk work, such as the download of a manual."""
    queue = make_queue(slots=4, queue_length=50, queue_delay_ms=50)
    bulk = make_ticket(3, size='bulk')
    running = collections.deque()
    for now_ms in range(0, 4000, 5):
        decisions = []
        if now_ms == 1000:
            decisions += queue.offer(bulk, now_ms)
        if running and now_ms % 10 == 0:
            decisions += queue.finish(running.popleft(), now_ms, ok=True)
        if now_ms % 10 == 0:
            decisions += queue.offer(make_ticket(class_rank), now_ms)
        running.extend(started(decisions))
        if bulk.state is TicketState.running:
            return
    pytest.fail('the bulk call did not start')


def test_tenants_share_starts_by_weight():
    """Guards against a large tenant that starves small workshops."""
    queue = make_queue(queue_length=400, queue_delay_ms=10000)
    running = make_ticket()
    queue.offer(running, 0)
    for _ in range(90):
        queue.offer(make_ticket(tenant='big', share=2), 0)
        queue.offer(make_ticket(tenant='small', share=1), 0)
    counts = collections.Counter()
    for now_ms in range(1, 91):
        running = started(queue.finish(running, now_ms, ok=True))[0]
        counts[running.tenant] += 1
        assert abs(counts['big'] - 2 * counts['small']) <= 3


class Driver:
    """Apply random events to a queue and check each decision."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.queue = make_queue(slots, queue_length=5, queue_delay_ms=20)
        self.now_ms = 0.0
        self.undecided: dict[Ticket, None] = {}
        self.running: dict[Ticket, None] = {}
        self.cancelled: set[Ticket] = set()

    def apply(self, event: tuple) -> None:
        kind, number, ticket_args, step_ms = event
        self.now_ms += step_ms
        if kind == 'offer':
            ticket = make_ticket(**ticket_args)
            ticket.deadline_ms += self.now_ms
            self.undecided[ticket] = None
            self.check(self.queue.offer(ticket, self.now_ms))
        elif kind == 'finish' and self.running:
            ticket = list(self.running)[number % len(self.running)]
            self.running.pop(ticket)
            self.check(self.queue.finish(ticket, self.now_ms, ok=number % 2 == 0))
        elif kind == 'cancel' and self.undecided:
            ticket = list(self.undecided)[number % len(self.undecided)]
            self.undecided.pop(ticket)
            self.cancelled.add(ticket)
            self.check(self.queue.cancel(ticket, self.now_ms))
        elif kind == 'tick':
            self.check(self.queue.tick(self.now_ms))

    def check(self, decisions) -> None:
        for decision in decisions:
            ticket = decision.ticket
            assert ticket in self.undecided
            self.undecided.pop(ticket)
            if decision.verdict is Verdict.start:
                assert ticket.deadline_ms > self.now_ms
                self.running[ticket] = None
        self.check_protected(decisions)
        assert len(self.running) == self.queue.in_flight
        assert self.queue.in_flight <= self.slots + self.lent()
        assert len(self.undecided) == self.queue.queued

    def lent(self) -> int:
        """Return the slots that may be lent because stragglers occupy their own."""
        stragglers = [ticket for ticket in self.running if ticket.is_straggler]
        assert all(ticket.started_ms < self.now_ms for ticket in stragglers)
        return min(len(stragglers), int(LENT_SHARE * self.slots))

    def check_protected(self, decisions) -> None:
        refused_at = [
            index
            for index, decision in enumerate(decisions)
            if decision.verdict is Verdict.overloaded and decision.ticket.protected
        ]
        if not refused_at:
            return
        assert all(ticket.protected for ticket in self.undecided)
        later = started(decisions[refused_at[0] :])
        assert all(ticket.protected for ticket in later)


EVENTS = st.tuples(
    st.sampled_from(['offer', 'offer', 'offer', 'finish', 'cancel', 'tick']),
    st.integers(0, 1000),
    st.fixed_dictionaries(
        {
            'class_rank': st.integers(0, 3),
            'tenant': st.sampled_from('abc'),
            'share': st.integers(1, 3),
            'size': st.sampled_from(['short', 'short', 'long', 'bulk']),
            'deadline_ms': st.sampled_from([0, 30, 300, 1e6]),
            'operation': st.sampled_from(['x', 'y']),
        }
    ),
    st.sampled_from([0, 1, 7, 40, 1000]),
)


@settings(deadline=None, max_examples=150)
@given(st.integers(1, 6), st.lists(EVENTS, max_size=120))
def test_each_ticket_is_decided_once_and_protected_work_is_shed_last(slots, events):
    """Guards against lost calls, double starts and shedding in the wrong order."""
    driver = Driver(slots)
    for event in events:
        driver.apply(event)
    while driver.running or driver.undecided:
        driver.now_ms += 1
        for ticket in list(driver.running):
            driver.running.pop(ticket)
            driver.check(driver.queue.finish(ticket, driver.now_ms, ok=True))
        driver.check(driver.queue.tick(driver.now_ms))
    assert driver.queue.in_flight == 0
    assert driver.queue.next_tick_ms(driver.now_ms) is None
