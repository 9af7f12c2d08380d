"""Tests of the queue that is fair among tenants."""

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from gentianmill.sheet import WorkClass
from gentianmill.tenant_queue import TenantQueue
from gentianmill.ticket import Ticket

CLASS = WorkClass('quotes', 0, protected=False)


def make_ticket(tenant: str, share: int = 1) -> Ticket:
    return Ticket(CLASS, tenant, share, 'short', 0, 1e9, 'op')


@settings(deadline=None, max_examples=60)
@given(
    st.dictionaries(
        st.sampled_from('abcde'), st.integers(1, 5), min_size=2, max_size=5
    ),
    st.lists(st.sampled_from('abcde'), max_size=200),
)
def test_backlogged_tenants_differ_by_at_most_one_call_per_share(shares, order):
    """Guards against a tenant that waits while another one is served twice."""
    queue = TenantQueue()
    for tenant in filter(shares.__contains__, order):
        queue.push(make_ticket(tenant, shares[tenant]))
    for _ in range(60):
        for tenant, share in shares.items():
            queue.push(make_ticket(tenant, share))
    starts = Counter()
    for _ in range(60):
        ticket = queue.peek()
        queue.start(ticket)
        starts[ticket.tenant] += 1
        for one, one_share in shares.items():
            for two, two_share in shares.items():
                gap = starts[one] / one_share - starts[two] / two_share
                assert abs(gap) <= 1 / one_share + 1 / two_share + 1e-9


def test_calls_of_one_tenant_keep_their_order():
    """Guards against a call that is overtaken by a later one of its tenant."""
    queue = TenantQueue()
    tickets = [make_ticket('a') for _ in range(20)]
    for ticket in tickets:
        queue.push(ticket)
    assert queue.oldest is tickets[0]
    assert queue.last() is tickets[-1]
    for ticket in tickets:
        assert queue.peek() is ticket
        queue.start(ticket)
    assert queue.peek() is None
    assert queue.last() is None


def test_a_tenant_is_not_charged_for_calls_that_are_removed():
    """Guards against a tenant that pays for calls which were shed."""
    queue = TenantQueue()
    shed = [make_ticket('a') for _ in range(50)]
    for ticket in shed:
        queue.push(ticket)
    for ticket in reversed(shed):
        queue.remove(ticket)
    later, other = make_ticket('a'), make_ticket('b')
    queue.push(later)
    queue.push(other)
    assert queue.peek() is later


def test_memory_stays_bounded_with_ever_new_tenants():
    """Guards against a caller that invents a tenant per call."""
    queue = TenantQueue()
    for number in range(5000):
        ticket = make_ticket(f'tenant {number}')
        queue.push(ticket)
        queue.start(ticket)
    fair = queue._queue
    entries = len(fair._first) + len(fair._last) + len(fair._flow_tags)
    assert entries < 500
