"""Real entries, dispatchers and guards of a deployment whose leaf service rejects calls.

All nodes run in one process and virtual time. Unlike ``tree_model``, reports reach an entry
only in the answers to its own calls, the costs of trees are learned from samples, and hedges,
queues, deadlines and callers that return are those of nodes.
"""

import asyncio
import dataclasses
import random
from collections import Counter
from collections.abc import Coroutine

from call_fleet import Fault
from gentianmill.admission_share import ShareTable
from gentianmill.node_table import NodeRecord, NodeTable
from gentianmill.retry_budget import RetryBudgetSettings
from gentianmill.return_time import return_after_ms
from gentianmill.route_rules import Destination, RequestLimits, RouteRule, RuleSet
from gentianmill.upstream_status import UpstreamReport
from gentianmill_mesh.dispatch_policy import DispatchPolicy
from gentianmill_mesh.dispatcher import Dispatcher, RequestProgress
from gentianmill_mesh.entry_admission import EntryAdmission
from gentianmill_mesh.guard_call import GuardCall
from gentianmill_mesh.http_message import HttpRequest, HttpResponse
from gentianmill_mesh.relay_link import RelayReply
from gentianmill_mesh.upstream_connection import LossKind, UpstreamLostError
from gentianmill_mesh.upstream_guard import UpstreamGuard
from mesh_upstream import NAMES
from node_records import node_record
from virtual_time import LoopClock, run_virtual

REJECTED_SHARE = 0.55
ZONES = 6
ZONES_PER_REGION = 2
SAME_ZONE_S = 0.0002
SAME_REGION_S = 0.0014
OTHER_REGION_S = 0.03
CHECK_S = 0.25
REJECTION_S = 0.001
MS_PER_S = 1000
HONOURED_DIVISOR = 3
FAILED_STATUS = 500
TEAM = 'team'
SERVED = 'served'
FAILED = 'failed'
BEGIN_S = 11
"""The rejections begin when the guards have counted a whole window."""

END_S = BEGIN_S + 8.5
RUN_S = 22


@dataclasses.dataclass(frozen=True)
class Route:
    """A kind of request, also of those that upstreams make."""

    name: str
    service: str
    work_ms: float
    calls: tuple[str, int] = ('', 0)
    """Route that its upstream calls, and how often, one after the other."""

    per_s: float = 0
    """Requests of callers."""

    worth: float = 0
    priority: int = 1
    timeout_ms: float = 4000


@dataclasses.dataclass(frozen=True)
class Deployment:
    """Services with their nodes and slots, and what callers and upstreams ask for."""

    services: dict[str, tuple[int, int]]
    routes: tuple[Route, ...]
    leaf: str
    slack: float

    @property
    def kinds(self) -> list[Route]:
        """Return the routes that callers use."""
        return [route for route in self.routes if route.per_s]


@dataclasses.dataclass
class Request:
    """A request of a caller and what became of it."""

    kind: Route
    sent_s: float
    outcome: str = ''
    """``served``, ``failed``, or the reason of its last refusal."""

    first_refusal: str = ''


# Priorities by which the trees that cost most are the most important ones.
KESTREL_THIRD = Deployment(
    {'runbook': (12, 54), 'custody': (11, 54), 'slicer': (3, 123), 'calibra': (3, 76)},
    (
        Route('run-lookup', 'runbook', 380, ('const-fetch', 4), 117, 1.1, 1),
        Route('custody-xfer', 'custody', 100, ('slice-index', 2), 68, 1.6, 0, 2900),
        Route('slice-export', 'slicer', 220, ('', 0), 18, 1.1, 1),
        Route('calib-lineage', 'calibra', 165, ('', 0), 41, 4.1, 2, 1500),
        Route('slice-index', 'slicer', 35, ('const-fetch', 4)),
        Route('const-fetch', 'calibra', 85),
    ),
    'calibra',
    38,
)
"""Nodes and load of Kestrel, divided by 3; an entry has as many requests as there."""


class TreeFleet:
    """The nodes of a deployment, and callers on the VM of each of them."""

    def __init__(
        self, deployment: Deployment, previous_share: float, seed: int, rejection: Fault
    ) -> None:
        """Create the nodes; must be called in the running loop.

        Args:
            deployment: Its services and load.
            previous_share: Part of the retry budget that is earned a window later.
            seed: Seed of the load, the work of upstreams and the rejections.
            rejection: Share of calls that an upstream rejects without running them.
        """
        self.deployment = deployment
        self.rng = random.Random(seed)
        self.rejection = rejection
        self.requests: list[Request] = []
        self.firsts: list[float] = []
        self.duplicates: list[float] = []
        self._seen: set[tuple[str, str]] = set()
        self._called_by_duplicate: set[str] = set()
        self.failures: Counter[tuple[str, str]] = Counter()
        self.routes = {route.name: route for route in deployment.routes}
        self.rules = {route.name: _rule(route) for route in deployment.routes}
        self.budget = RetryBudgetSettings(
            slack=deployment.slack, previous_share=previous_share
        )
        records = [
            _record(f'{service}{number}', service, number, slots)
            for service, (nodes, slots) in deployment.services.items()
            for number in range(nodes)
        ]
        self.nodes = {record.name: Node(self, record, records) for record in records}
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, until_s: float) -> None:
        """Let callers send requests for a time, and wait for their ends."""
        loop = asyncio.get_running_loop()
        checks = asyncio.ensure_future(self._check())
        entries = list(self.nodes.values())
        weights = [self.rng.uniform(0.5, 1.5) for _ in entries]
        kinds = self.deployment.kinds
        rates = [kind.per_s for kind in kinds]
        while loop.time() < until_s:
            await asyncio.sleep(self.rng.expovariate(sum(rates)))
            kind = self.rng.choices(kinds, rates)[0]
            entry = self.rng.choices(entries, weights)[0]
            self.start(self._request(entry, kind))
        await asyncio.gather(*self._tasks)
        checks.cancel()

    def start(self, coroutine: Coroutine[None, None, None]) -> None:
        """Run something beside the load."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def of(self, begin_s: float, end_s: float) -> list[Request]:
        """Return the requests that were sent in a time."""
        return [one for one in self.requests if begin_s <= one.sent_s < end_s]

    def record_call(self, call_id: str, by_duplicate: bool) -> None:
        """Record a call that an upstream makes while it runs a request."""
        if by_duplicate:
            self._called_by_duplicate.add(call_id)

    def record_arrival(self, request_id: str, service: str, now_s: float) -> bool:
        """Record an arrival at an upstream, and return whether it is a duplicate."""
        key = (request_id, service)
        is_duplicate = key in self._seen or request_id in self._called_by_duplicate
        self._seen.add(key)
        if service == self.deployment.leaf:
            (self.duplicates if is_duplicate else self.firsts).append(now_s)
        return is_duplicate

    async def _check(self) -> None:
        while True:
            await asyncio.sleep(CHECK_S)
            for node in self.nodes.values():
                node.guard.check()

    async def _request(self, entry: 'Node', kind: Route) -> None:
        """Send a request, and once more after a refusal as callers do."""
        loop = asyncio.get_running_loop()
        request = Request(kind, loop.time())
        self.requests.append(request)
        end_s = loop.time() + kind.timeout_ms / MS_PER_S
        outcome, pause_s = await entry.serve(kind, end_s)
        request.outcome = outcome
        if request.outcome in {SERVED, FAILED}:
            return
        request.first_refusal = request.outcome
        if pause_s * HONOURED_DIVISOR <= end_s - loop.time():
            await asyncio.sleep(pause_s)
            request.outcome = (await entry.serve(kind, end_s))[0]


class Node:
    """A node with its upstream."""

    def __init__(
        self, fleet: TreeFleet, record: NodeRecord, records: list[NodeRecord]
    ) -> None:
        """Create a node that knows all others."""
        self.record = record
        self._fleet = fleet
        self._clock = LoopClock()
        self.shares = ShareTable()
        table = NodeTable()
        table.merge(records)
        self.guard = UpstreamGuard(
            record.service,
            _Upstream(fleet, self),
            NAMES,
            self.shares,
            self._clock,
            fleet.budget,
        )
        self.guard.apply_report(_report(record))
        self.guard.gate.share_slack(len(table.of_service(record.service)))
        self._dispatcher = Dispatcher(
            table,
            record,
            self.guard,
            _Links(fleet, record),
            self.shares,
            self._clock,
            DispatchPolicy.of_node(record, fleet.budget),
        )
        self.admission = EntryAdmission(self.shares, self.guard.tree.costs, self._clock)
        self.admission.set_rules(
            RuleSet(1, list(fleet.rules.values()), {}, RequestLimits(0, 0, 0, 0))
        )

    async def serve(self, kind: Route, end_s: float) -> tuple[str, float]:
        """Return what becomes of a caller's request, and the pause that it is asked for."""
        now_ms = self._clock.now_ms()
        rule = self._fleet.rules[kind.name]
        left_ms = end_s * MS_PER_S - now_ms
        reason = self.admission.refusal(rule, rule.priority, left_ms)
        if not reason:
            request_id = f'{self._fleet.rng.getrandbits(48):x}'
            progress = self.progress(request_id, kind, end_s)
            response = await self._dispatcher.run(progress)
            if response is not None:
                return SERVED if response.status < FAILED_STATUS else FAILED, 0
            reason = progress.reason
            if progress.runs:
                self._fleet.failures[(kind.name, reason)] += 1
                return FAILED, 0
        share = self.admission.share(rule)
        left_ms = end_s * MS_PER_S - self._clock.now_ms()
        pause_ms = return_after_ms(share, left_ms, self._fleet.rng)
        return reason, pause_ms / MS_PER_S

    def progress(self, request_id: str, route: Route, end_s: float) -> RequestProgress:
        """Return a call that is made on this VM."""
        return RequestProgress(
            request=HttpRequest(
                'GET',
                route.name.encode(),
                [[NAMES.request_id, request_id.encode()]],
                b'',
            ),
            request_id=request_id,
            rule=self._fleet.rules[route.name],
            service=route.service,
            origin=self.guard.tree.origin(request_id, route.priority),
            deadline_ms=end_s * MS_PER_S,
            team=TEAM,
        )

    async def call(self, request_id: str, route: Route, end_s: float) -> bool:
        """Return whether a call of the upstream is served."""
        progress = self.progress(request_id, route, end_s)
        response = await self._dispatcher.run(progress)
        if response is not None and response.status < FAILED_STATUS:
            return True
        self._fleet.failures[(route.name, progress.reason)] += 1
        return False


class _Upstream:
    """Stands in for the connection pool and the upstream behind it."""

    def __init__(self, fleet: TreeFleet, node: Node) -> None:
        self._fleet = fleet
        self._node = node
        self._slowness = fleet.rng.uniform(0.7, 1.3)

    async def is_reachable(self) -> bool:
        """Return True, as the upstream never crashes."""
        return True

    def limit_idle(self, _count: int) -> None:
        """Do nothing, as there are no connections."""

    def close_expired(self) -> None:
        """Do nothing."""

    async def run(
        self,
        request: HttpRequest,
        request_id: bytes,
        _headers: object,
        _repeatable: bool,
        timeout_s: float,
        *_: object,
    ) -> HttpResponse:
        """Reject a request, or run it with its calls.

        Raises:
            UpstreamLostError: If its time is over.
        """
        fleet, text = self._fleet, request_id.decode()
        now_s = asyncio.get_running_loop().time()
        service = self._node.record.service
        is_duplicate = fleet.record_arrival(text, service, now_s)
        if fleet.rng.random() < fleet.rejection(service, now_s):
            await asyncio.sleep(REJECTION_S)
            return HttpResponse(503, [[NAMES.not_run, b'1']], b'')
        route = fleet.routes[request.target.decode()]
        work = self._work(text, route, now_s + timeout_s, is_duplicate)
        try:
            return await asyncio.wait_for(work, timeout_s)
        except TimeoutError:
            raise UpstreamLostError(LossKind.timed_out, 'its time is over') from None

    async def _work(
        self, text: str, route: Route, end_s: float, is_duplicate: bool
    ) -> HttpResponse:
        work_s = route.work_ms / MS_PER_S * self._slowness
        await asyncio.sleep(work_s * self._fleet.rng.uniform(0.5, 1.5))
        name, count = route.calls
        for number in range(count):
            call_id = f'{text}.{number}'
            self._fleet.record_call(call_id, is_duplicate)
            if not await self._node.call(call_id, self._fleet.routes[name], end_s):
                return HttpResponse(FAILED_STATUS, [], b'')
        return HttpResponse(200, [], b'ok')


class _Links:
    def __init__(self, fleet: TreeFleet, own: NodeRecord) -> None:
        self._fleet = fleet
        self._own = own
        self._links: dict[str, _Link] = {}

    def reaches(self, _record: NodeRecord) -> bool:
        """Return True, as all nodes are reachable."""
        return True

    def to(self, record: NodeRecord) -> '_Link':
        """Return the link to a node."""
        link = self._links.get(record.name)
        if link is None:
            guard = self._fleet.nodes[record.name].guard
            link = _Link(guard, _delay_s(self._own, record))
            self._links[record.name] = link
        return link


class _Link:
    def __init__(self, guard: UpstreamGuard, delay_s: float) -> None:
        self._guard = guard
        self._delay_s = delay_s
        self.latest_round_trip_ms = 2 * delay_s * MS_PER_S

    async def call(self, call: GuardCall) -> RelayReply:
        """Run a call on the remote node."""
        await asyncio.sleep(self._delay_s)
        reply = await self._guard.run(call)
        load = self._guard.load(call.route)
        await asyncio.sleep(self._delay_s)
        return RelayReply(reply, load)


def _delay_s(one: NodeRecord, other: NodeRecord) -> float:
    if one.zone == other.zone:
        return SAME_ZONE_S
    return SAME_REGION_S if one.region == other.region else OTHER_REGION_S


def _rule(route: Route) -> RouteRule:
    return RouteRule(
        name=route.name,
        host='h',
        prefix=f'/{route.name}/',
        destinations=(Destination(route.service, 1),),
        repeatable=True,
        bulk=False,
        timeout_ms=route.timeout_ms,
        target_latency_ms=route.timeout_ms / 2,
        max_attempts=2,
        priority=route.priority,
    )


def _record(name: str, service: str, number: int, slots: int) -> NodeRecord:
    zone = number % ZONES
    return node_record(
        name,
        service=service,
        slots=slots,
        zone=str(zone),
        region=str(zone // ZONES_PER_REGION),
    )


def _report(record: NodeRecord) -> UpstreamReport:
    return UpstreamReport(
        upstream_id=record.name,
        service=record.service,
        host=record.host,
        port=1,
        zone=record.zone,
        slots=record.slots,
        draining=False,
        sequence=1,
        start_unix_ms=1,
        cold_ms=0,
    )


def play(deployment: Deployment, previous_share: float, seed: int) -> TreeFleet:
    """Return a deployment after a time in which its leaf rejected calls.

    Args:
        deployment: Its services and load.
        previous_share: Part of the retry budget that is earned a window later.
        seed: Seed of the load, the work of upstreams and the rejections.
    """
    return run_virtual(_play(deployment, previous_share, seed))


async def _play(deployment: Deployment, previous_share: float, seed: int) -> TreeFleet:
    def rejection(service: str, now_s: float) -> float:
        is_rejecting = service == deployment.leaf and BEGIN_S <= now_s < END_S
        return REJECTED_SHARE * is_rejecting

    fleet = TreeFleet(deployment, previous_share, seed, rejection)
    await fleet.run(RUN_S)
    return fleet
