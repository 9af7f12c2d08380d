"""Nodes of several services that call each other, in one process and virtual time."""

import asyncio
import random
from collections import Counter, defaultdict
from collections.abc import Callable, Sequence

from gentianmill.admission_share import ShareTable
from gentianmill.node_table import NodeRecord, NodeTable
from gentianmill.retry_budget import RetryBudgetSettings
from gentianmill.route_rules import Destination, RouteRule
from gentianmill.upstream_status import UpstreamReport
from gentianmill_mesh.dispatch_policy import DispatchPolicy
from gentianmill_mesh.dispatcher import Dispatcher, RequestProgress
from gentianmill_mesh.guard_call import GuardCall
from gentianmill_mesh.http_message import HttpRequest, HttpResponse
from gentianmill_mesh.relay_link import RelayReply
from gentianmill_mesh.upstream_connection import LossKind, UpstreamLostError
from gentianmill_mesh.upstream_guard import UpstreamGuard
from mesh_upstream import NAMES
from node_records import node_record
from virtual_time import LoopClock

SLOTS = 60
LINK_DELAY_S = 0.0005
MEAN_WORK_S = 0.02
BREAK_AFTER_S = 0.002
"""Time after which a connection breaks while its request still runs."""

TIMEOUT_MS = 4000.0
FAILED_STATUS = 500

DOWNSTREAM_CALLS = {'a': ('b', 2), 'b': ('c', 1), 'c': ('d', 3), 'd': ('', 0)}
"""By service: the service that each request calls, and how often, sequentially."""

Fault = Callable[[str, float], float]
"""Returns the share of responses that a node loses at a time in s."""


def _no_rejection(_node: str, _now_s: float) -> float:
    return 0


class Fleet:
    """Nodes whose upstreams run requests, call other services and lose responses.

    An arrival is a duplicate attempt if its id has reached the service before, or if
    the run that makes the call is a duplicate itself. This is decided without any
    information from the nodes.
    """

    def __init__(
        self,
        nodes_per_service: int,
        fault: Fault,
        rng: random.Random,
        *,
        continues_after_disconnect: bool = False,
        rejection: Fault = _no_rejection,
        budget: RetryBudgetSettings | None = None,
        team: str = '',
    ):
        """Create the nodes; must be called in the running loop.

        Args:
            nodes_per_service: Nodes of each service.
            fault: The share of responses that is lost.
            rng: Decides which responses are lost, and how long requests run.
            continues_after_disconnect: Whether connections of lost responses break early,
                while the upstream continues to run the request.
            rejection: The share of requests that an upstream rejects without running them.
            budget: Retry budget of each service.
            team: Team of all requests, or empty.
        """
        self.team = team
        self.rejection = rejection
        self.budget = budget or RetryBudgetSettings()
        self.rng = rng
        self.fault = fault
        self.continues_after_disconnect = continues_after_disconnect
        self.orphans: set[asyncio.Task[HttpResponse]] = set()
        self.requests: dict[str, list[float]] = defaultdict(list)
        self.duplicates: dict[str, list[float]] = defaultdict(list)
        self.final_statuses: Counter[int] = Counter()
        self._seen: set[str] = set()
        self._called_by_duplicate: set[str] = set()
        self.nodes: dict[str, _Node] = {}
        records = [
            node_record(f'{service}{number}', service=service, slots=SLOTS)
            for service in DOWNSTREAM_CALLS
            for number in range(nodes_per_service)
        ]
        for record in records:
            self.nodes[record.name] = _Node(self, record, records)

    async def call(self, entry: str, service: str) -> None:
        """Send a request as a caller and record its final status."""
        number = self.rng.getrandbits(48)
        response = await self.nodes[entry].send(f'{number:x}', service)
        self.final_statuses[response.status if response else 0] += 1

    def record_call(self, call_id: str, by_duplicate: bool) -> None:
        """Record a call that an upstream makes while it runs a request."""
        if by_duplicate:
            self._called_by_duplicate.add(call_id)

    def record_arrival(self, request_id: str, service: str, now_s: float) -> bool:
        """Record an arrival and return whether it is a duplicate attempt."""
        is_duplicate = (
            request_id in self._seen or request_id in self._called_by_duplicate
        )
        self._seen.add(request_id)
        if is_duplicate:
            self.duplicates[service].append(now_s)
        return is_duplicate

    def worst_excess(self, window_s: float, ratio: float) -> dict[str, float]:
        """Return, per service, the largest excess of duplicates in any window.

        Args:
            window_s: Length of the sliding windows.
            ratio: Duplicate attempts allowed per request.
        """
        return {
            service: max(
                (
                    _count_in_window(times, start_s, window_s)
                    - ratio * _max_requests(self.requests[service], start_s, window_s)
                    for start_s in times
                ),
                default=0,
            )
            for service, times in self.duplicates.items()
        }


def _count_in_window(times: Sequence[float], start_s: float, window_s: float) -> int:
    return sum(start_s <= at_s < start_s + window_s for at_s in times)


def _max_requests(times: Sequence[float], start_s: float, window_s: float) -> int:
    """Return the largest number of requests in any of three windows.

    They start at the given time, half a window earlier and a whole window earlier.
    """
    starts = (start_s, start_s - window_s / 2, start_s - window_s)
    return max(_count_in_window(times, start, window_s) for start in starts)


class _Node:
    def __init__(
        self, fleet: Fleet, record: NodeRecord, records: Sequence[NodeRecord]
    ) -> None:
        self._fleet = fleet
        self._record = record
        clock = LoopClock()
        shares = ShareTable()
        self.shares = shares
        table = NodeTable()
        table.merge(records)
        self._upstream = _Upstream(fleet, self, record)
        self.guard = UpstreamGuard(
            record.service, self._upstream, NAMES, shares, clock, fleet.budget
        )
        self.guard.apply_report(_report(record))
        self._dispatcher = Dispatcher(
            table,
            record,
            self.guard,
            _Links(fleet),
            shares,
            clock,
            DispatchPolicy.of_node(record, fleet.budget),
        )
        self._clock = clock

    async def send(self, request_id: str, service: str) -> HttpResponse | None:
        """Send a request from this node to a service."""
        self._fleet.requests[service].append(asyncio.get_running_loop().time())
        attempt = RequestProgress(
            request=HttpRequest(
                'GET', b'/', [[b'x-attempt', request_id.encode()]], b''
            ),
            request_id=request_id,
            rule=_rule(service),
            service=service,
            origin=self.guard.tree.origin(request_id, 1),
            deadline_ms=self._clock.now_ms() + TIMEOUT_MS,
            team=self._fleet.team,
        )
        return await self._dispatcher.run(attempt)


class _Upstream:
    """Stands in for the connection pool and the upstream behind it."""

    def __init__(self, fleet: Fleet, node: _Node, record: NodeRecord) -> None:
        self._fleet = fleet
        self._node = node
        self._record = record

    async def is_reachable(self) -> bool:
        """Return True, as the upstream never crashes."""
        return True

    def limit_idle(self, _count: int) -> None:
        """Do nothing, as there are no connections."""

    def close_expired(self) -> None:
        """Do nothing."""

    async def run(
        self, request: HttpRequest, request_id: bytes, *_: object
    ) -> HttpResponse:
        """Run a request.

        Raises:
            UpstreamLostError: If its response is lost.
        """
        text = request_id.decode()
        now_s = asyncio.get_running_loop().time()
        is_duplicate = self._fleet.record_arrival(text, self._record.service, now_s)
        if self._fleet.rng.random() < self._fleet.rejection(self._record.name, now_s):
            return HttpResponse(503, [[NAMES.not_run, b'1']], b'')
        is_lost = self._fleet.rng.random() < self._fleet.fault(self._record.name, now_s)
        response = await self._run_until_lost(text, is_duplicate, is_lost)
        if response is None or is_lost:
            raise UpstreamLostError(LossKind.after_send, 'the response is lost')
        return response

    async def _run_until_lost(
        self, text: str, is_duplicate: bool, is_lost: bool
    ) -> HttpResponse | None:
        """Return the response; None if the connection breaks while the work continues."""
        if not self._fleet.continues_after_disconnect:
            return await self._work(text, is_duplicate)
        work = asyncio.ensure_future(self._work(text, is_duplicate))
        self._fleet.orphans.add(work)
        work.add_done_callback(self._fleet.orphans.discard)
        if is_lost:
            await asyncio.sleep(BREAK_AFTER_S)
            return None
        return await asyncio.shield(work)

    async def _work(self, text: str, is_duplicate: bool) -> HttpResponse:
        await asyncio.sleep(MEAN_WORK_S * self._fleet.rng.uniform(0.5, 1.5))
        downstream, count = DOWNSTREAM_CALLS[self._record.service]
        for number in range(count):
            call_id = f'{text}.{self._fleet.rng.getrandbits(32):x}{number}'
            self._fleet.record_call(call_id, is_duplicate)
            response = await self._node.send(call_id, downstream)
            if response is None or response.status >= FAILED_STATUS:
                return HttpResponse(FAILED_STATUS, [], b'')
        return HttpResponse(200, [], b'ok')


class _Links:
    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    def reaches(self, _record: NodeRecord) -> bool:
        """Return True, as all nodes are reachable."""
        return True

    def to(self, record: NodeRecord) -> '_Link':
        """Return the link to a node."""
        return _Link(self._fleet.nodes[record.name].guard)


class _Link:
    latest_round_trip_ms = 2 * LINK_DELAY_S * 1000

    def __init__(self, guard: UpstreamGuard) -> None:
        self._guard = guard

    async def call(self, call: GuardCall) -> RelayReply:
        """Run a call on the remote node."""
        await asyncio.sleep(LINK_DELAY_S)
        reply = await self._guard.run(call)
        load = self._guard.load(call.route)
        await asyncio.sleep(LINK_DELAY_S)
        return RelayReply(reply, load)


def _rule(service: str) -> RouteRule:
    return RouteRule(
        name=service,
        host='h',
        prefix='/',
        destinations=(Destination(service, 1),),
        repeatable=True,
        bulk=False,
        timeout_ms=None,
        target_latency_ms=None,
        max_attempts=2,
        priority=0,
    )


def _report(record: NodeRecord) -> UpstreamReport:
    return UpstreamReport(
        upstream_id=record.name,
        service=record.service,
        host=record.host,
        port=1,
        zone=record.zone,
        slots=SLOTS,
        draining=False,
        sequence=1,
        start_unix_ms=1,
        cold_ms=0,
    )
