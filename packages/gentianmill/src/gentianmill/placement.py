"""Choose the node whose upstream runs a request."""

import dataclasses
import functools
import math
import random
from collections.abc import Callable, Collection, Iterable

from gentianmill.node_table import NodeRecord
from gentianmill.node_views import MAX_PAUSE_MS, NodeView, NodeViews, FIRST_PAUSE_MS
from gentianmill.service_times import UpstreamSpeed
from gentianmill.zone_traffic import TrafficSettings, ZoneTraffic

BYTES_PER_KIB = 1024

QUEUEING_LOAD = 0.85
"""Load, relative to the limit, above which calls are expected to queue."""

QUEUEING_FACTOR = 4.0
"""Cost of load above ``QUEUEING_LOAD``, in latencies. It exceeds the expected wait,
since load reports are delayed and a full queue must be avoided early."""

LOAD_COST_FACTOR = 0.2
"""Cost of a load of 1, in latencies, so that equally fast upstreams share the load."""

ROUTE_WEIGHT = 0.04
"""Weight of a new sample in the averages of a route, which cover all nodes."""

LATENCY_WEIGHT = 0.15
"""Weight of a new sample in the latency ratio of a node."""

DEFAULT_LATENCY_MS = 60.0
"""Assumed latency of a route before the first response."""

MAX_LATENCY_RATIO = 8.0
"""Upper bound of the latency ratio of a node."""

FAILURE_COST_MS = 2000.0
"""Cost of a call that is sure to fail; multiplied by the share of failures."""

FAILURE_WEIGHT = 0.1
"""Weight of a new call in the share of failures."""

MIN_FAILURE_SHARE = 0.0005
"""Share of failures that costs 1 ms; a smaller one is lost in the random part of the
cost."""

STAYED = 'stayed'
NO_UPSTREAM = 'no_upstream_in_zone'
FASTER = 'faster_elsewhere'


@dataclasses.dataclass(frozen=True, slots=True)
class CandidateEstimate:
    """What is known about a node that may get a call; times in ms."""

    name: str
    zone: str
    region: str
    calls_ahead: float
    """Estimated calls that run or wait there."""

    limit: int
    latency_ms: float
    """Expected latency with the wait, without the cost of distance."""

    distance_ms: float
    """Cost of the traffic and of a longer way, as latency that leaving must save."""

    failure_share: float
    paused_ms: float
    """Remaining pause, as it could not run a call."""

    report_age_ms: float | None
    """Age of the load report, or None if there is none."""


class Placement:
    """Choose the node with the lowest expected latency, plus a cost of distance."""

    def __init__(
        self,
        zone: str,
        region: str,
        rng: random.Random,
        traffic: TrafficSettings | None = None,
    ) -> None:
        """Create a placement without load data.

        Args:
            zone: Availability zone of this node.
            region: Region of this node.
            rng: Source of randomness that breaks ties.
            traffic: Cost of traffic between availability zones; the defaults if None.
        """
        self._traffic = ZoneTraffic(zone, region, traffic or TrafficSettings())
        self._zone = zone
        self._region = region
        self._rng = rng
        self._views = NodeViews(NodeView)
        self._latencies_ms: dict[str, float] = {}
        self._sizes_kib: dict[str, float] = {}

    def choose(
        self,
        nodes: Iterable[NodeRecord],
        route: str,
        now_ms: float,
        excluded: Collection[str] = (),
    ) -> NodeRecord | None:
        """Return the node with the lowest expected cost, or None.

        Args:
            nodes: Nodes beside upstreams of the service.
            route: Name of the route.
            now_ms: Current time.
            excluded: Names of nodes that were tried already.
        """
        near: NodeRecord | None = None
        near_ms = math.inf
        away: NodeRecord | None = None
        away_ms = math.inf
        load_cost_ms = self._load_cost(route, now_ms, is_first=not excluded)
        distance_ms = self._traffic.costs_ms(self._sizes_kib.get(route, 0))
        untried = (node for node in nodes if node.name not in excluded)
        for node in untried:
            cost_ms = load_cost_ms(node)
            if node.zone == self._zone:
                if cost_ms < near_ms:
                    near, near_ms = node, cost_ms
                continue
            cost_ms += distance_ms[node.region == self._region]
            if self._traffic.settings.is_adaptive:
                cost_ms += self._traffic.extra_ms(node.zone, node.region, now_ms)
            if cost_ms < away_ms:
                away, away_ms = node, cost_ms
        pays = away_ms < near_ms and self._pays(near, away, route, now_ms)
        return self._near_or_away(near, away, route, now_ms, pays=pays)

    def _pays(
        self,
        near: NodeRecord | None,
        away: NodeRecord | None,
        route: str,
        now_ms: float,
    ) -> bool:
        """Return whether the cheaper node away is also expected to respond earlier."""
        if near is None or away is None or not self._traffic.settings.is_adaptive:
            return True
        away_ms = self._completion_ms(away, route, now_ms)
        return away_ms < self._completion_ms(near, route, now_ms)

    def estimate(
        self, node: NodeRecord, route: str, now_ms: float
    ) -> CandidateEstimate:
        """Return what is known about a node.

        Args:
            node: The node.
            route: Name of the route.
            now_ms: Current time.
        """
        view = self._views.of(node)
        size_kib = self._sizes_kib.get(route, 0)
        distance_ms = self._traffic.cost_ms(node.zone, node.region, size_kib, now_ms)
        failure_share = view.failure_share(now_ms)
        completion_ms = self._completion_ms(node, route, now_ms)
        has_report = math.isfinite(view.reported_ms)
        return CandidateEstimate(
            name=node.name,
            zone=node.zone,
            region=node.region,
            calls_ahead=view.calls(now_ms),
            limit=view.limit,
            latency_ms=completion_ms - distance_ms - failure_share * FAILURE_COST_MS,
            distance_ms=distance_ms,
            failure_share=failure_share,
            paused_ms=max(view.paused_until_ms - now_ms, 0),
            report_age_ms=now_ms - view.reported_ms if has_report else None,
        )

    @property
    def traffic(self) -> ZoneTraffic:
        """Return what is decided and counted about traffic between zones."""
        return self._traffic

    def _near_or_away(
        self,
        near: NodeRecord | None,
        away: NodeRecord | None,
        route: str,
        now_ms: float,
        *,
        pays: bool,
    ) -> NodeRecord | None:
        chosen, reason = near, STAYED
        if near is None:
            chosen, reason = away, NO_UPSTREAM
        elif away is not None:
            distance = self._traffic.distance(away.zone, away.region)
            if self._traffic.may_leave(route, distance, now_ms, pays=pays):
                chosen, reason = away, FASTER
        if chosen is not None:
            self._traffic.count(chosen.service, reason)
        return chosen

    def _completion_ms(self, node: NodeRecord, route: str, now_ms: float) -> float:
        """Return the expected time until a response, plus the cost of distance.

        Unlike the cost by which nodes of a zone are compared, it contains no cost of load
        below ``QUEUEING_LOAD``: no caller waits there, and traffic between zones would
        follow each small difference in load.
        """
        view = self._views.of(node)
        size_kib = self._sizes_kib.get(route, 0)
        waiting = max(view.calls(now_ms) / view.limit - QUEUEING_LOAD, 0)
        relative = view.latency_ratio * (1 + waiting * QUEUEING_FACTOR)
        route_ms = self._latencies_ms.get(route, DEFAULT_LATENCY_MS)
        return (
            route_ms * relative
            + view.failure_share(now_ms) * FAILURE_COST_MS
            + self._traffic.cost_ms(node.zone, node.region, size_kib, now_ms)
        )

    def _load_cost(
        self, route: str, now_ms: float, *, is_first: bool
    ) -> Callable[[NodeRecord], float]:
        """Return the function that computes the cost of a node without its distance.

        It is called for each node at each call, so its speed matters.

        Args:
            route: Name of the route.
            now_ms: Current time.
            is_first: Whether no node was tried yet.
        """
        route_ms = self._latencies_ms.get(route, DEFAULT_LATENCY_MS)
        return functools.partial(self._load_cost_ms, route_ms, now_ms)

    def _load_cost_ms(self, route_ms: float, now_ms: float, node: NodeRecord) -> float:
        view = self._views.of(node)
        if now_ms < view.paused_until_ms:
            return math.inf
        load = view.calls(now_ms) / view.limit
        relative = view.latency_ratio * (1 + load * LOAD_COST_FACTOR)
        if load > QUEUEING_LOAD:
            relative += view.latency_ratio * (load - QUEUEING_LOAD) * QUEUEING_FACTOR
        cost_ms = route_ms * relative + self._rng.random()
        if view.failures > MIN_FAILURE_SHARE:
            cost_ms += view.failure_share(now_ms) * FAILURE_COST_MS
        return cost_ms

    def record_start(self, name: str, now_ms: float = 0) -> None:
        """Record a call that is sent."""
        self._views.find(name).own_calls += 1

    def record_end(self, name: str) -> None:
        """Record a call that ended."""
        view = self._views.find(name)
        view.own_calls = max(view.own_calls - 1, 0)

    def record_response(
        self, name: str, route: str, latency_ms: float, size_bytes: int = 0
    ) -> None:
        """Update the estimates from a response.

        Args:
            name: The node that responded.
            route: Name of the route.
            latency_ms: Time from sending the call to the response.
            size_bytes: Length of its body.
        """
        view = self._views.find(name)
        view.pause_ms = FIRST_PAUSE_MS
        view.failures *= 1 - FAILURE_WEIGHT
        route_ms = self._latencies_ms.setdefault(route, latency_ms)
        ratio = min(latency_ms / max(route_ms, 1), MAX_LATENCY_RATIO)
        view.latency_ratio += LATENCY_WEIGHT * (ratio - view.latency_ratio)
        self._latencies_ms[route] = route_ms + ROUTE_WEIGHT * (latency_ms - route_ms)
        size_kib = size_bytes / BYTES_PER_KIB
        route_kib = self._sizes_kib.setdefault(route, size_kib)
        self._sizes_kib[route] = route_kib + ROUTE_WEIGHT * (size_kib - route_kib)

    def record_cancelled(self, name: str, route: str, spent_ms: float) -> None:
        """Update the estimates from a call that was cancelled while it ran.

        Args:
            name: The node that had not responded.
            route: Name of the route.
            spent_ms: Time since the call was sent.
        """
        view = self._views.find(name)
        ratio = spent_ms / max(self._latencies_ms.get(route, spent_ms), 1)
        if ratio > view.latency_ratio:
            view.latency_ratio += LATENCY_WEIGHT * (
                min(ratio, MAX_LATENCY_RATIO) - view.latency_ratio
            )

    def load_share(self, node: NodeRecord, now_ms: float) -> float:
        """Return the calls that run or wait at a node relative to its limit."""
        view = self._views.of(node)
        return view.calls(now_ms) / view.limit

    def record_failure(self, name: str, now_ms: float) -> None:
        """Record a call that was lost or that the upstream failed."""
        view = self._views.find(name)
        view.failures = view.failure_share(now_ms)
        view.failures += FAILURE_WEIGHT * (1 - view.failures)
        view.failed_ms = now_ms

    def record_load(self, name: str, calls: int, limit: int, now_ms: float) -> None:
        """Apply a load report.

        Args:
            name: The node that reports.
            calls: Calls that run or wait there.
            limit: Calls that may run there at once.
            now_ms: Current time.
        """
        view = self._views.find(name)
        view.reported_calls = calls
        view.own_calls_at_report = view.own_calls
        view.reported_ms = now_ms
        view.limit = max(limit, 1)

    def record_speed(self, name: str, speed: UpstreamSpeed, now_ms: float) -> None:
        """Apply what a guard has measured about the speed of its upstream.

        Args:
            name: The node that reports.
            speed: The report.
            now_ms: Current time.
        """

    def pause(self, name: str, now_ms: float) -> None:
        """Stop choosing a node that cannot run calls now, for a time that doubles."""
        view = self._views.find(name)
        if now_ms < view.paused_until_ms:
            return
        view.paused_until_ms = now_ms + view.pause_ms
        view.pause_ms = min(view.pause_ms * 2, MAX_PAUSE_MS)

    def keep(self, names: Collection[str]) -> None:
        """Drop the state of all nodes except the given ones."""
        self._views.keep(names)

    def record_round_trip(
        self, node: NodeRecord, round_trip_ms: float, now_ms: float
    ) -> None:
        """Record the network round trip of a response from another availability zone.

        Args:
            node: The node that responded.
            round_trip_ms: Time from sending the call to the response, without the time
                that the node spent on it.
            now_ms: Current time.
        """
        if self._traffic.settings.is_adaptive:
            self._traffic.observe_round_trip(node.zone, round_trip_ms, now_ms)
