"""Choice of the node whose upstream runs a request."""

import dataclasses
import math
import random
from collections.abc import Collection, Iterable

from gentianmill.node_table import NodeRecord

SAME_REGION_MS = 10.0
"""Cost of another availability zone of the region: 0.5 ms each way, paid bytes."""

OTHER_REGION_MS = 160.0
"""Cost of another region: 60 ms there and back, and bytes at seven times the price
of those between availability zones."""

ZONE_KIB_MS = 8.0
REGION_KIB_MS = 40.0
"""Further cost of each KiB of an answer from another availability zone or region,
as bytes are paid by volume: a catalogue page of 5 KiB costs ten times as much as
one of the small calls below it."""

BYTES_PER_KIB = 1024

FULL_SHARE = 0.85
"""Load, relative to the limit, above which a wait is expected."""

WAIT_FACTOR = 4.0
"""Cost of a load beyond that share, in latencies; a full queue is to be avoided
sooner than its wait alone would do, as reports of it are old."""

SPREAD_FACTOR = 0.2
"""Cost of a load of 1, in latencies; upstreams of equal speed share the work."""

ROUTE_WEIGHT = 0.04
"""Weight of a new latency in that of its route, which many nodes share."""

LATENCY_WEIGHT = 0.15
"""Weight of a new latency in a smoothed one."""

FIRST_LATENCY_MS = 60.0
"""Assumed latency of a route before the first answer."""

SLOWEST = 8.0
"""Bounds how much slower than the others a node may seem."""

FIRST_PAUSE_MS = 250.0
LONGEST_PAUSE_MS = 2000.0
"""A node that cannot run calls is left out for a time that doubles each time."""

REPORT_AGE_MS = 1500.0
"""Age at which a reported load counts for nothing."""

FAILURE_COST_MS = 2000.0
"""Cost of a certain failure, in proportion for a share of failures."""

FAILURE_WEIGHT = 0.1
"""Weight of a new call in the share of failures."""

NO_FAILURES = 0.0005
"""Share of failures whose cost is 1 ms, less than the random part of a cost."""

FAILURE_FADE_MS = 4000.0
"""Time after which a failure share without calls has fallen to a third."""


@dataclasses.dataclass(slots=True)
class _NodeView:
    """What this node knows of another one from its answers."""

    own: int = 0
    """Calls from here that have not ended."""

    own_at_report: int = 0
    reported: float = 0
    """Calls that run or wait there, as it said last."""

    reported_ms: float = -math.inf
    limit: int = 1
    slowness: float = 1
    """Latency relative to that of other nodes of the service."""

    failures: float = 0
    failed_ms: float = -math.inf
    paused_until_ms: float = -math.inf
    pause_ms: float = FIRST_PAUSE_MS

    def calls(self, now_ms: float) -> float:
        """Return the estimated number of calls that run or wait there."""
        others = self.reported - self.own_at_report
        age_ms = now_ms - self.reported_ms
        if others <= 0 or age_ms >= REPORT_AGE_MS:
            return self.own
        return self.own + others * (1 - age_ms / REPORT_AGE_MS)

    def failure_share(self, now_ms: float) -> float:
        """Return the share of failed calls, faded since the last failure."""
        return self.failures * math.exp((self.failed_ms - now_ms) / FAILURE_FADE_MS)


class Placement:
    """Choose the node that is expected to answer first, at a price for distance."""

    def __init__(self, zone: str, region: str, rng: random.Random) -> None:
        """Create a placement that knows no load.

        Args:
            zone: Own availability zone.
            region: Own region.
            rng: Breaks ties.
        """
        self._zone = zone
        self._region = region
        self._rng = rng
        self._views: dict[str, _NodeView] = {}
        self._latencies: dict[str, float] = {}
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
        best: NodeRecord | None = None
        best_cost = math.inf
        usual_ms = self._latencies.get(route, FIRST_LATENCY_MS)
        size_kib = self._sizes_kib.get(route, 0)
        for node in nodes:
            if node.name in excluded:
                continue
            cost = self._cost_ms(node, usual_ms, now_ms)
            if node.zone != self._zone:
                cost += self._distance_ms(node, size_kib)
            if cost < best_cost:
                best, best_cost = node, cost
        return best

    def cost_ms(self, node: NodeRecord, route: str, now_ms: float) -> float:
        """Return the expected cost of a call in ms; infinite while paused."""
        usual_ms = self._latencies.get(route, FIRST_LATENCY_MS)
        size_kib = self._sizes_kib.get(route, 0)
        return self._cost_ms(node, usual_ms, now_ms) + self._distance_ms(node, size_kib)

    def _cost_ms(self, node: NodeRecord, usual_ms: float, now_ms: float) -> float:
        """Return the cost without that of distance; runs for each node at each call."""
        view = self._view(node)
        if now_ms < view.paused_until_ms:
            return math.inf
        load = view.calls(now_ms) / view.limit
        relative = view.slowness * (1 + load * SPREAD_FACTOR)
        if load > FULL_SHARE:
            relative += view.slowness * (load - FULL_SHARE) * WAIT_FACTOR
        cost_ms = usual_ms * relative + self._rng.random()
        if view.failures > NO_FAILURES:
            cost_ms += view.failure_share(now_ms) * FAILURE_COST_MS
        return cost_ms

    def start(self, name: str) -> None:
        """Take note of a call that is sent."""
        self._views.setdefault(name, _NodeView()).own += 1

    def end(self, name: str) -> None:
        """Take note of a call that ended."""
        view = self._views.setdefault(name, _NodeView())
        view.own = max(view.own - 1, 0)

    def answered(
        self, name: str, route: str, latency_ms: float, size_bytes: int = 0
    ) -> None:
        """Learn from an answer.

        Args:
            name: The node that answered.
            route: Name of the route.
            latency_ms: Time from sending to the answer.
            size_bytes: Length of its body.
        """
        view = self._views.setdefault(name, _NodeView())
        view.pause_ms = FIRST_PAUSE_MS
        view.failures *= 1 - FAILURE_WEIGHT
        usual_ms = self._latencies.setdefault(route, latency_ms)
        ratio = min(latency_ms / max(usual_ms, 1), SLOWEST)
        view.slowness += LATENCY_WEIGHT * (ratio - view.slowness)
        self._latencies[route] = usual_ms + ROUTE_WEIGHT * (latency_ms - usual_ms)
        size_kib = size_bytes / BYTES_PER_KIB
        usual_kib = self._sizes_kib.setdefault(route, size_kib)
        self._sizes_kib[route] = usual_kib + ROUTE_WEIGHT * (size_kib - usual_kib)

    def overtaken(self, name: str, route: str, spent_ms: float) -> None:
        """Learn from a call that was given up while it ran.

        Args:
            name: The node that had not answered.
            route: Name of the route.
            spent_ms: Time since the call was sent.
        """
        view = self._views.setdefault(name, _NodeView())
        ratio = spent_ms / max(self._latencies.get(route, spent_ms), 1)
        if ratio > view.slowness:
            view.slowness += LATENCY_WEIGHT * (min(ratio, SLOWEST) - view.slowness)

    def load_share(self, node: NodeRecord, now_ms: float) -> float:
        """Return the calls that run or wait at a node relative to its limit."""
        view = self._view(node)
        return view.calls(now_ms) / view.limit

    def failed(self, name: str, now_ms: float) -> None:
        """Learn from a call that was lost or that the upstream failed."""
        view = self._views.setdefault(name, _NodeView())
        view.failures = view.failure_share(now_ms)
        view.failures += FAILURE_WEIGHT * (1 - view.failures)
        view.failed_ms = now_ms

    def loaded(self, name: str, calls: int, limit: int, now_ms: float) -> None:
        """Take over a load report.

        Args:
            name: The node that reports.
            calls: Calls that run or wait there.
            limit: Calls that may run there at once.
            now_ms: Current time.
        """
        view = self._views.setdefault(name, _NodeView())
        view.reported = calls
        view.own_at_report = view.own
        view.reported_ms = now_ms
        view.limit = max(limit, 1)

    def pause(self, name: str, now_ms: float) -> None:
        """Leave a node out that cannot run calls now."""
        view = self._views.setdefault(name, _NodeView())
        if now_ms < view.paused_until_ms:
            return
        view.paused_until_ms = now_ms + view.pause_ms
        view.pause_ms = min(view.pause_ms * 2, LONGEST_PAUSE_MS)

    def keep(self, names: Collection[str]) -> None:
        """Forget all nodes but the given ones."""
        self._views = {
            name: view for name, view in self._views.items() if name in names
        }

    def _view(self, node: NodeRecord) -> _NodeView:
        view = self._views.get(node.name)
        if view is None:
            view = _NodeView(limit=max(node.slots, 1))
            self._views[node.name] = view
        return view

    def _distance_ms(self, node: NodeRecord, size_kib: float) -> float:
        if node.zone == self._zone:
            return 0
        if node.region == self._region:
            return SAME_REGION_MS + size_kib * ZONE_KIB_MS
        return OTHER_REGION_MS + size_kib * REGION_KIB_MS
