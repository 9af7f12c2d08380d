"""Policies that the measurements compare, each with a guard and a retry rule."""

import collections
import contextlib
import dataclasses
import importlib
import types
from collections.abc import Iterator
from typing import TYPE_CHECKING, Any

from gentianmill.admission import AdmissionQueue
from gentianmill.level import AdmissionLevel
from gentianmill.level_table import LevelTable
from gentianmill.concurrency_limit import AdaptiveLimit
from gentianmill.messages import LoadReport
from gentianmill.sheet import RANKS_PER_CLASS, WorkClass
from gentianmill.sheet_models import LimitsModel
from gentianmill.ticket import Ticket, Verdict

if TYPE_CHECKING:
    from bench.model import Call, Endpoint, Node, Simulation
    from bench.workload import Deployment

MAX_RETRIES_PER_ATTEMPT = 6
MAX_BASELINE_RETRIES = 2
MAX_FIFO_LENGTH = 400


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """How guards admit calls and entries retry refused calls.

    ``overrides`` maps ``module.CONSTANT`` of gentianmill to an earlier value, so
    that an earlier version of the policy can be run beside the current one.
    """

    name: str
    kind: str
    overrides: tuple[tuple[str, Any], ...] = ()

    @property
    def uses_gentianmill(self) -> bool:
        """Return whether the decision objects of gentianmill are used."""
        return self.kind == 'gentianmill'

    @contextlib.contextmanager
    def applied(self) -> Iterator[None]:
        """Apply the overrides while the context is open."""
        saved = []
        for path, value in self.overrides:
            module_name, constant = path.rsplit('.', 1)
            module = importlib.import_module(f'gentianmill.{module_name}')
            saved.append((module, constant, getattr(module, constant)))
            setattr(module, constant, value)
        try:
            yield
        finally:
            for module, constant, value in saved:
                setattr(module, constant, value)

    def guard(self, simulation: 'Simulation', endpoint: 'Endpoint') -> Any:
        """Create the guard of an endpoint."""
        return _GUARDS[self.kind](simulation, endpoint)

    def may_retry(self, node: 'Node', call: 'Call') -> bool:
        """Return whether a refused call goes to another endpoint."""
        if not self.uses_gentianmill:
            return len(call.tried) <= MAX_BASELINE_RETRIES
        if len(call.tried) == node.deployment.endpoints:
            return False
        if call.attempt.retries >= MAX_RETRIES_PER_ATTEMPT or node.retry_tokens < 1:
            return False
        node.retry_tokens -= 1
        call.attempt.retries += 1
        return True


def work_classes(deployment: 'Deployment') -> tuple[WorkClass, ...]:
    """Return the classes of a deployment."""
    return tuple(
        WorkClass(name, rank, rank < deployment.protected_count)
        for rank, name in enumerate(deployment.classes)
    )


def level_table(deployment: 'Deployment') -> LevelTable:
    """Return the table of admission levels of an entry."""
    return LevelTable(
        len(deployment.classes) * RANKS_PER_CLASS - 1,
        deployment.protected_count * RANKS_PER_CLASS - 1,
    )


class OpenGuard:
    """No overload control: run as many calls as there are connections."""

    def __init__(self, simulation: 'Simulation', endpoint: 'Endpoint') -> None:
        self._simulation = simulation
        self._endpoint = endpoint

    def offer(self, call: 'Call') -> None:
        if self._endpoint.in_flight < self._endpoint.service.connections:
            self._simulation.begin(call)
        else:
            self._simulation.refuse(call)

    def finish(self, call: 'Call', ok: bool) -> None:
        """Do nothing, since no calls are queued."""

    def report(self) -> None:
        """Return no load report."""


class FifoGuard(OpenGuard):
    """A fixed concurrency limit with a bounded first-in, first-out queue."""

    def __init__(self, simulation: 'Simulation', endpoint: 'Endpoint') -> None:
        super().__init__(simulation, endpoint)
        self._queue: collections.deque[Call] = collections.deque()

    def offer(self, call: 'Call') -> None:
        if self._endpoint.in_flight < self._endpoint.service.slots:
            self._simulation.begin(call)
        elif len(self._queue) < MAX_FIFO_LENGTH:
            self._queue.append(call)
        else:
            self._simulation.refuse(call)

    def finish(self, call: 'Call', ok: bool) -> None:
        if self._queue:
            self._simulation.begin(self._queue.popleft())


class NodeGuard:
    """A guard that uses the decision objects of gentianmill."""

    def __init__(self, simulation: 'Simulation', endpoint: 'Endpoint') -> None:
        service = endpoint.service
        deployment = simulation.deployment
        self._simulation = simulation
        self._endpoint = endpoint
        self._limit = AdaptiveLimit(service.slots, 1, service.connections)
        self._queue = AdmissionQueue(LimitsModel(), self._limit)
        self._level = AdmissionLevel(
            len(deployment.classes), deployment.protected_count
        )
        self._calls: dict[Ticket, Call] = {}
        self._tick_at_ms = float('inf')

    @property
    def level(self) -> int:
        return self._level.level

    @property
    def limit(self) -> int:
        return self._limit.limit

    @property
    def queued(self) -> int:
        return self._queue.queued

    def offer(self, call: 'Call') -> None:
        self._observe()
        request = call.attempt.request
        if not self._level.admits(request.rank):
            self._simulation.refuse(call)
            return
        ticket = Ticket(
            work_class=request.work_class,
            tenant=request.tenant,
            share=1,
            size=call.step.size,
            rank=request.rank,
            deadline_ms=call.attempt.deadline_ms,
            operation=call.step.operation,
        )
        call.ticket = ticket
        self._calls[ticket] = call
        self._apply(self._queue.offer(ticket, self._simulation.now_ms))

    def finish(self, call: 'Call', ok: bool) -> None:
        self._calls.pop(call.ticket, None)
        self._apply(self._queue.finish(call.ticket, self._simulation.now_ms, ok))
        self._observe()

    def cancel(self, call: 'Call') -> None:
        self._calls.pop(call.ticket, None)
        self._apply(self._queue.cancel(call.ticket, self._simulation.now_ms))

    def report(self) -> LoadReport:
        return LoadReport(
            in_flight=self._queue.in_flight,
            limit=self._limit.limit,
            queue_delay_ms=self._queue.queue_delay_ms,
            level=self._level.level,
            draining=False,
            levels_below=self._endpoint.node.levels.levels(self._simulation.now_ms),
        )

    def _tick(self) -> None:
        self._tick_at_ms = float('inf')
        self._apply(self._queue.tick(self._simulation.now_ms))
        self._observe()

    def _observe(self) -> None:
        refused = self._queue.drain_protected_refusals() > 0
        delay_ms = self._queue.queue_delay_ms
        self._level.observe(self._simulation.now_ms, delay_ms, refused)

    def _apply(self, decisions: list) -> None:
        for decision in decisions:
            call = self._calls[decision.ticket]
            if decision.verdict is Verdict.start:
                self._simulation.begin(call)
            else:
                self._calls.pop(decision.ticket)
                self._simulation.refuse(call)
        now_ms = self._simulation.now_ms
        due_ms = self._queue.next_tick_ms(now_ms)
        if due_ms is not None and due_ms < self._tick_at_ms:
            self._tick_at_ms = due_ms
            self._simulation.schedule(due_ms - now_ms, self._tick)


_GUARDS = types.MappingProxyType(
    {'open': OpenGuard, 'fifo': FifoGuard, 'gentianmill': NodeGuard}
)

NO_CONTROL = Policy('no_control', 'open')
FIXED_LIMIT = Policy('fixed_limit', 'fifo')
CURRENT = Policy('current', 'gentianmill')

# An earlier version, in which long and bulk work never exceed long_share, even while
# other work needs no slots.
PREVIOUS = Policy('previous', 'gentianmill', (('slots.SHORT_RESERVE', 1.0),))
