"""A small model of callers, nodes and upstreams on a logical clock.

It compares policies; it does not predict latencies of a real deployment.
Assumptions: a call samples its service time when it starts (log-normal,
sigma 0.5); an upstream with more calls than slots slows down by the factor
(in flight / slots) to the power 1.3; one hop between nodes takes 1 ms; of two
random endpoints a call goes to the one to which its node has fewer outstanding
calls.
"""

import dataclasses
import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

from bench.policies import Policy, level_table, work_classes
from bench.workload import (
    HOP_MS,
    Deployment,
    RequestType,
    Service,
    Step,
)
from gentianmill.level import rank_of
from gentianmill.sheet import WorkClass

SERVICE_TIME_SIGMA = 0.5
SLOWDOWN_EXPONENT = 1.3
STRAGGLER_FACTOR = 30
TENANT_COUNT = 30
NOISY_NEIGHBOUR_SLOWDOWN = 1.5
NOISY_NEIGHBOUR_MEAN_MS = 300
NOISY_NEIGHBOUR_MEAN_GAP_MS = 6000
MAX_RESENDS = 3
RESEND_PAUSE_MS = 200
RETRY_BURST = 10
RETRY_RATIO = 0.1


@dataclasses.dataclass(frozen=True)
class Load:
    """Demand and disturbances as functions of the time.

    ``rate`` returns requests per second, ``slowdown`` the factor on the service
    times of a service and ``weight`` the factor on the weight of a class.
    ``slowed_endpoint`` is the factor on the service times of one endpoint of the
    busiest service.
    """

    end_ms: float
    rate: Callable[[float], float]
    slowdown: Callable[[str, float], float] = lambda service, now_ms: 1
    weight: Callable[[int], float] = lambda class_rank: 1
    straggler_share: float = 0
    slowed_endpoint: float = 1


@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """A request of a caller, over all its attempts."""

    kind: RequestType
    work_class: WorkClass
    rank: int
    tenant: str
    sent_ms: float
    done_ms: float | None = None
    straggled: bool = False
    attempts: int = 0

    @property
    def is_good(self) -> bool:
        """Return whether the caller received the complete response in time."""
        if self.done_ms is None:
            return False
        return self.done_ms - self.sent_ms <= self.kind.max_wait_ms


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of the caller: the first or a resend of the request."""

    request: Request
    deadline_ms: float
    alive: bool = True
    retries: int = 0
    # A dict keeps insertion order; the order of a set differs between runs.
    calls: dict['Call', None] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, eq=False)
class Call:
    """One call of an attempt."""

    attempt: Attempt
    step: Step
    node: 'Node'
    on_done: Callable[[bool], None]
    state: str = 'sent'
    endpoint: 'Endpoint | None' = None
    ticket: Any = None
    tried: set['Endpoint'] = dataclasses.field(default_factory=set)


class Node:
    """State of a node as entry and egress."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.outstanding: Counter[Endpoint] = Counter()
        self.levels = level_table(deployment)
        self.retry_tokens: float = RETRY_BURST


class Endpoint:
    """An upstream with its node and guard."""

    def __init__(self, simulation: 'Simulation', name: str, service: Service) -> None:
        self.name = name
        self.service = service
        self.node = Node(simulation.deployment)
        self.in_flight = 0
        self.unprotected_in_flight = 0
        self.slowdown: float = 1
        self.constant_slowdown: float = 1
        self.guard = simulation.policy.guard(simulation, self)


class Simulation:
    """Run one policy under one load."""

    def __init__(
        self, deployment: Deployment, policy: Policy, load: Load, seed: int
    ) -> None:
        self.deployment = deployment
        self.policy = policy
        self.now_ms: float = 0
        self.requests: list[Request] = []
        self.protected_refusals = 0
        self.protected_shed_early = 0
        self._load = load
        # The callers have their own generator, so that every policy gets the
        # same demand.
        self._caller_rng = random.Random(seed)
        self._rng = random.Random(seed + 1)
        self._events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._event_numbers = itertools.count()
        self._weights = [
            kind.weight * load.weight(kind.class_rank) for kind in deployment.requests
        ]
        self._classes = work_classes(deployment)
        self._endpoints = {
            name: [Endpoint(self, name, service) for _ in range(deployment.endpoints)]
            for name, service in deployment.services.items()
        }
        self._all_endpoints = list(
            itertools.chain.from_iterable(self._endpoints.values())
        )
        slowed = self._endpoints[deployment.busiest_service()][0]
        slowed.constant_slowdown = load.slowed_endpoint

    @property
    def endpoints(self) -> dict[str, list[Endpoint]]:
        return self._endpoints

    def run(self) -> 'Simulation':
        """Run until the end of the load, with the overrides of the policy applied."""
        self.schedule(0, self._arrive)
        for endpoint in self._all_endpoints:
            self.schedule(
                self._rng.expovariate(1 / NOISY_NEIGHBOUR_MEAN_GAP_MS),
                self._toggle_noisy_neighbour,
                endpoint,
            )
        with self.policy.applied():
            while self._events:
                at_ms, _, action, args = heapq.heappop(self._events)
                self.now_ms = at_ms
                if at_ms > self._load.end_ms:
                    break
                action(*args)
        return self

    def schedule(
        self, delay_ms: float, action: Callable[..., None], *args: Any
    ) -> None:
        """Call ``action`` after a delay."""
        event = (self.now_ms + delay_ms, next(self._event_numbers), action, args)
        heapq.heappush(self._events, event)

    def begin(self, call: Call) -> None:
        """Run a call on its upstream."""
        endpoint = call.endpoint
        call.state = 'running'
        endpoint.in_flight += 1
        endpoint.unprotected_in_flight += not call.attempt.request.work_class.protected
        contention = (
            max(1, endpoint.in_flight / endpoint.service.slots) ** SLOWDOWN_EXPONENT
        )
        slowdown = self._load.slowdown(endpoint.name, self.now_ms)
        slowdown *= endpoint.constant_slowdown
        noise = self._rng.lognormvariate(
            -SERVICE_TIME_SIGMA * SERVICE_TIME_SIGMA / 2, SERVICE_TIME_SIGMA
        )
        time_ms = call.step.mean_ms * contention * slowdown * endpoint.slowdown * noise
        if call.step.size == 'short' and self._is_straggler():
            call.attempt.request.straggled = True
            time_ms *= STRAGGLER_FACTOR
        self.schedule(time_ms, self._advance, call, 0)

    def refuse(self, call: Call) -> None:
        """Respond that a call did not run."""
        call.state = 'done'
        self._count_refusal(call.attempt.request, [call.endpoint])
        report = call.endpoint.guard.report()
        self.schedule(HOP_MS, self._refused, call, report)

    def _is_straggler(self) -> bool:
        share = self._load.straggler_share
        return share > 0 and self._rng.random() < share

    def _count_refusal(self, request: Request, endpoints: list[Endpoint]) -> None:
        if not request.work_class.protected:
            return
        self.protected_refusals += 1
        if any(endpoint.unprotected_in_flight for endpoint in endpoints):
            self.protected_shed_early += 1

    def _toggle_noisy_neighbour(self, endpoint: Endpoint) -> None:
        is_slow = endpoint.slowdown > 1
        endpoint.slowdown = 1 if is_slow else NOISY_NEIGHBOUR_SLOWDOWN
        mean_ms = NOISY_NEIGHBOUR_MEAN_GAP_MS if is_slow else NOISY_NEIGHBOUR_MEAN_MS
        self.schedule(
            self._rng.expovariate(1 / mean_ms), self._toggle_noisy_neighbour, endpoint
        )

    # Callers.

    def _arrive(self) -> None:
        rng = self._caller_rng
        rate = self._load.rate(self.now_ms)
        self.schedule(1000 * rng.expovariate(rate), self._arrive)
        kind = rng.choices(self.deployment.requests, self._weights)[0]
        work_class = self._classes[kind.class_rank]
        request = Request(
            kind=kind,
            work_class=work_class,
            rank=rank_of(work_class, str(len(self.requests))),
            tenant=f't{int(TENANT_COUNT * rng.random() ** 2)}',
            sent_ms=self.now_ms,
        )
        self.requests.append(request)
        self._send(request, rng.randrange(len(self._all_endpoints)))

    def _send(self, request: Request, entry: int) -> None:
        request.attempts += 1
        max_wait_ms = request.kind.max_wait_ms
        attempt = Attempt(request, self.now_ms + max_wait_ms)
        self.schedule(max_wait_ms, self._time_out, attempt)
        node = self._all_endpoints[entry].node
        call = Call(attempt, request.kind.tree, node, lambda ok: self._end(attempt, ok))
        self._launch(call)

    def _end(self, attempt: Attempt, ok: bool) -> None:
        if not attempt.alive:
            return
        attempt.alive = False
        if ok and attempt.request.done_ms is None:
            attempt.request.done_ms = self.now_ms
        if not ok:
            self._resend(attempt.request)

    def _time_out(self, attempt: Attempt) -> None:
        if not attempt.alive:
            return
        attempt.alive = False
        if self.policy.uses_gentianmill:
            for call in tuple(attempt.calls):
                self._cancel(call)
        self._resend(attempt.request)

    def _resend(self, request: Request) -> None:
        if request.attempts > MAX_RESENDS:
            return
        pause_ms = RESEND_PAUSE_MS * 2 ** (request.attempts - 1)
        pause_ms *= 0.5 + self._rng.random()
        entry = self._rng.randrange(len(self._all_endpoints))
        self.schedule(pause_ms, self._send, request, entry)

    # Nodes.

    def _launch(self, call: Call) -> None:
        node = call.node
        node.retry_tokens = min(RETRY_BURST, node.retry_tokens + RETRY_RATIO)
        request = call.attempt.request
        service = call.step.service
        if self.policy.uses_gentianmill:
            if not node.levels.admits(service, request.rank, self.now_ms):
                self._count_refusal(request, self._closed_endpoints(call))
                self.schedule(0, call.on_done, False)
                return
        self._dispatch(call)

    def _closed_endpoints(self, call: Call) -> list[Endpoint]:
        """Return the endpoints in the call's tree whose admission level excludes it.

        If there are none, return all endpoints of the service, since then the
        refusal is unnecessary.
        """
        rank = call.attempt.request.rank
        services = {step.service for step in call.step.steps()}
        closed = [
            endpoint
            for service in services
            for endpoint in self._endpoints[service]
            if endpoint.guard.level < rank
        ]
        return closed or self._endpoints[call.step.service]

    def _dispatch(self, call: Call) -> None:
        endpoints = self._endpoints[call.step.service]
        candidates = [endpoint for endpoint in endpoints if endpoint not in call.tried]
        sampled = self._rng.sample(candidates, min(2, len(candidates)))
        outstanding = call.node.outstanding
        call.endpoint = min(sampled, key=lambda endpoint: outstanding[endpoint])
        outstanding[call.endpoint] += 1
        call.state = 'sent'
        call.attempt.calls[call] = None
        self.schedule(HOP_MS, self._offer, call)

    def _offer(self, call: Call) -> None:
        if call.state == 'sent':
            call.state = 'queued'
            call.endpoint.guard.offer(call)

    def _advance(self, call: Call, child_index: int) -> None:
        if call.state != 'running':
            return
        children = call.step.children
        if child_index == len(children):
            self._finish(call, ok=True)
            return
        if self.policy.uses_gentianmill:
            rank = call.attempt.request.rank
            levels = call.endpoint.node.levels
            levels.on_egress(children[child_index].service, rank)
        child = Call(
            call.attempt,
            children[child_index],
            call.endpoint.node,
            lambda ok: self._child_done(call, child_index, ok),
        )
        self._launch(child)

    def _child_done(self, call: Call, child_index: int, ok: bool) -> None:
        if call.state != 'running':
            return
        if ok:
            self._advance(call, child_index + 1)
        else:
            self._finish(call, ok=False)

    def _finish(self, call: Call, ok: bool) -> None:
        call.state = 'done'
        self._release_slot(call)
        call.endpoint.guard.finish(call, ok)
        report = call.endpoint.guard.report()
        self.schedule(HOP_MS, self._responded, call, ok, report)

    def _release_slot(self, call: Call) -> None:
        call.endpoint.in_flight -= 1
        call.endpoint.unprotected_in_flight -= (
            not call.attempt.request.work_class.protected
        )

    def _cancel(self, call: Call) -> None:
        state = call.state
        call.state = 'done'
        call.attempt.calls.pop(call, None)
        call.node.outstanding[call.endpoint] -= 1
        if state == 'running':
            self._release_slot(call)
        if state in {'queued', 'running'}:
            call.endpoint.guard.cancel(call)

    def _responded(self, call: Call, ok: bool, report: Any) -> None:
        self._apply_report(call, report)
        call.on_done(ok)

    def _refused(self, call: Call, report: Any) -> None:
        self._apply_report(call, report)
        call.tried.add(call.endpoint)
        if call.attempt.alive and self.policy.may_retry(call.node, call):
            self._dispatch(call)
        else:
            call.on_done(False)

    def _apply_report(self, call: Call, report: Any) -> None:
        if call in call.attempt.calls:
            call.attempt.calls.pop(call, None)
            call.node.outstanding[call.endpoint] -= 1
        if report is not None:
            call.node.levels.update(
                call.step.service, str(id(call.endpoint)), report, self.now_ms
            )
