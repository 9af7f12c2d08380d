"""Tickets of calls at a guard, and the decisions on them."""

import dataclasses
import enum

from gentianmill.sheet import WorkClass


class Lane(enum.IntEnum):
    """Kinds of work with separate capacity; lower lanes go first within a class."""

    short = 0
    long = 1
    bulk = 2


class TicketState(enum.Enum):
    """State of a ticket; only the queue changes it."""

    new = 'new'
    queued = 'queued'
    running = 'running'
    done = 'done'


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """A call at the guard; compared by identity.

    ``share`` is the weight of the tenant, ``size`` the size of the operation
    according to the sheet (``short``, ``long`` or ``bulk``) and ``operation``
    the key under which its latencies are recorded.
    """

    work_class: WorkClass
    tenant: str
    share: int
    size: str
    rank: int
    deadline_ms: float
    operation: str
    enqueued_ms: float = 0
    started_ms: float = 0
    lane: Lane = Lane.short
    state: TicketState = TicketState.new
    is_straggler: bool = False

    @property
    def protected(self) -> bool:
        """Return whether the call is shed last."""
        return self.work_class.protected

    @property
    def order(self) -> tuple[bool, bool, int, int]:
        """Return the importance; a lower value goes first and is shed last."""
        is_bulk = self.lane is Lane.bulk
        return (not self.protected, is_bulk, self.work_class.rank, self.lane.value)


def order_of(ticket: Ticket) -> tuple[bool, bool, int, int]:
    """Return the importance of a ticket, as a sort key."""
    return ticket.order


class Verdict(enum.Enum):
    """What is decided about a ticket."""

    start = 'start'
    overloaded = 'overloaded'
    deadline = 'deadline'


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """The one decision on a ticket."""

    ticket: Ticket
    verdict: Verdict
