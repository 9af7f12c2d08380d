"""Choose the upstream that is expected to complete a request first.

Designed for 86 entries that each send a few calls a second to each of 37 upstreams whose
speeds differ by a factor of 3, and for 610 nodes with 27,000 calls a second.

An entry alone would need many seconds to learn 37 speeds, so guards measure them and
report them with their load. Reports are 100 to 500 ms old, and all entries read the same
ones. Therefore an entry assumes that the others have done since a report what it has done
itself, and costs within a band count as equal.
"""

import dataclasses
import functools
import math
import random
from collections.abc import Callable, Mapping

from gentianmill.node_table import NodeRecord
from gentianmill.node_views import NodeView, NodeViews
from gentianmill.placement import (
    FAILURE_COST_MS,
    LOAD_COST_FACTOR,
    MIN_FAILURE_SHARE,
    QUEUEING_LOAD,
    Placement,
)
from gentianmill.service_times import UpstreamSpeed
from gentianmill.zone_traffic import TrafficSettings

__all__ = ('BalancingSettings', 'CompletionPlacement')

BUSY_SLOPE = 8.0
MAX_BUSY_COST = 1.6
"""Cost of load above ``QUEUEING_LOAD``, in usual times in a slot, per load and at most.

A call that takes the last slot of a fast upstream delays the next ones, so it must cost
more than its own wait. The bound is above the difference of an upstream at half speed to
one at 1.5; when all upstreams have queues it is the same for all, and waits decide.
"""

SPREAD = 0.15
"""Differences of cost, in usual times in a slot, that are left to chance, so that entries
with the same reports do not all choose the same upstream."""

MAX_PEERS = 40
"""Most entries that are assumed to do as this one."""

OTHER_ZONE_COST = 0.05
OTHER_REGION_COST = 2.0
"""Additional cost of distance, in usual times in a slot.

The cheapest of many upstreams with old reports looks cheaper than it is. The second is
above ``MAX_BUSY_COST``, so that work leaves a region only if callers wait there; with half
a time in a slot, 0.2 of the calls left at 0.8 of the capacity of each region.
"""

REPORT_LIFETIME_MS = 4000.0
"""Age at which a load report is ignored. With 1.5 s, upstreams without recent calls looked
idle to all entries at once."""

UNKNOWN_LOAD = 0.8
UNKNOWN_SLOWNESS = 0.7
"""Assumed load, and time relative to the usual one, of an upstream without a report: it is
tried early, by few calls."""

FRESH_MS = 1000.0
FORGET_MS = 8000.0
"""Age up to which a slow upstream's report is believed, and the time constant with which
it is assumed to be as fast as others afterwards; the next call brings a new report."""

USUAL_WEIGHT = 0.02
"""Weight of a report in the usual times of the service, which cover all upstreams."""

SILENCE_FACTOR = 2.0
"""Times in a slot without any answer, while calls are open, after which an upstream may
have paused."""

TOLERATED_RATIO = 2.0
"""Factor by which observed latency may differ from the reported one. Averages of one pair
of nodes are too noisy to correct less."""

MAX_COLD_MS = 5000.0
"""Longest slow start that is believed."""

DEFAULT_OWN_MS = 60.0
MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class BalancingSettings:
    """How a node chooses between the upstreams of a service."""

    by_completion: bool = False
    """Whether guards measure the speed of their upstreams, and entries choose by it."""


@dataclasses.dataclass(slots=True)
class _SpeedView(NodeView):
    """What is known about a node and the speed of its upstream."""

    own_ms: Mapping[str, float] = dataclasses.field(default_factory=dict)
    slot_ms: float = 0
    """Mean time of a call in a slot; 0 before the first report."""

    capacity: int = 1
    slowness: float = 1
    """Own time relative to the usual one."""

    cold_until_ms: float = -math.inf
    answered_ms: float = -math.inf
    """Time of the last answer, or at which the first of the open calls began."""

    correction: float = 1
    """Observed latency relative to that expected from reports, beyond the tolerance."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Choice:
    """What the costs of all candidates of a call have in common."""

    route: str
    now_ms: float
    usual_ms: float
    slot_ms: float
    width_ms: float
    """Differences of cost that are left to chance."""

    peers: float


class CompletionPlacement(Placement):
    """Choose the node with the lowest expected completion, plus a cost of distance."""

    def __init__(
        self,
        zone: str,
        region: str,
        rng: random.Random,
        traffic: TrafficSettings | None = None,
    ) -> None:
        """Create a placement without reports.

        Args:
            zone: Availability zone of this node.
            region: Region of this node.
            rng: Source of randomness that spreads calls.
            traffic: Cost of traffic between availability zones; the defaults if None.
        """
        super().__init__(zone, region, rng, traffic)
        self._speeds = NodeViews(_SpeedView)
        self._views = self._speeds
        self._usual_ms: dict[str, float] = {}
        self._usual_slot_ms: float = 0
        self._own_calls: float = 0
        self._all_calls: float = 0

    @property
    def peers(self) -> float:
        """Return how many entries, this one included, share the upstreams."""
        return min(max(self._all_calls / max(self._own_calls, 1), 1), MAX_PEERS)

    def record_start(self, name: str, now_ms: float = 0) -> None:
        """Record a call that is sent."""
        view = self._speeds.find(name)
        if not view.own_calls:
            view.answered_ms = now_ms
        view.own_calls += 1

    def record_load(self, name: str, calls: int, limit: int, now_ms: float) -> None:
        """Apply a load report; see the base class."""
        super().record_load(name, calls, limit, now_ms)
        view = self._speeds.find(name)
        view.answered_ms = now_ms
        self._own_calls += USUAL_WEIGHT * (view.own_calls + 1 - self._own_calls)
        self._all_calls += USUAL_WEIGHT * (calls + 1 - self._all_calls)

    def record_speed(self, name: str, speed: UpstreamSpeed, now_ms: float) -> None:
        """Apply what a guard has measured; see the base class."""
        view = self._speeds.find(name)
        view.cold_until_ms = now_ms + min(speed.cold_ms, MAX_COLD_MS)
        if not speed.slot_ms or not speed.own_ms:
            view.slot_ms = 0
            return
        view.capacity = speed.capacity or view.limit
        view.slot_ms = speed.slot_ms
        view.own_ms = speed.own_ms
        usual_ms = self._usual_slot_ms or speed.slot_ms
        self._usual_slot_ms = usual_ms + USUAL_WEIGHT * (speed.slot_ms - usual_ms)
        view.slowness = sum(
            own_ms / self._follow_usual(kind, own_ms)
            for kind, own_ms in speed.own_ms.items()
        ) / len(speed.own_ms)

    def record_response(
        self, name: str, route: str, latency_ms: float, size_bytes: int = 0
    ) -> None:
        """Update the estimates from a response; see the base class."""
        super().record_response(name, route, latency_ms, size_bytes)
        view = self._speeds.find(name)
        usual_ms = self._usual_ms.get(route)
        if usual_ms is None or not view.slot_ms:
            return
        route_ms = max(self._latencies_ms[route], usual_ms)
        own_ms = view.own_ms.get(route) or usual_ms * view.slowness
        expected = (route_ms + own_ms - usual_ms) / route_ms
        factor = view.latency_ratio / max(expected, 1 / MAX_PEERS)
        view.correction = max(factor / TOLERATED_RATIO, 1)
        if factor < 1 / TOLERATED_RATIO:
            view.correction = factor * TOLERATED_RATIO

    def load_share(self, node: NodeRecord, now_ms: float) -> float:
        """Return the calls that run or wait at a node relative to its capacity."""
        view = self._speeds.of(node)
        capacity = view.capacity if view.slot_ms else view.limit
        return view.calls(now_ms) / capacity

    def _load_cost(
        self, route: str, now_ms: float, *, is_first: bool
    ) -> Callable[[NodeRecord], float]:
        return functools.partial(self._cost_ms, self._choice(route, now_ms, is_first))

    def _choice(self, route: str, now_ms: float, is_first: bool) -> _Choice:
        usual_ms = self._usual_ms.get(route, DEFAULT_OWN_MS)
        slot_ms = self._usual_slot_ms or usual_ms
        return _Choice(
            route,
            now_ms,
            usual_ms,
            slot_ms,
            slot_ms * SPREAD if is_first else 1,
            self.peers,
        )

    def _cost_ms(self, choice: _Choice, node: NodeRecord) -> float:
        view = self._speeds.of(node)
        if choice.now_ms < view.paused_until_ms:
            return math.inf
        own_ms, load = _own_and_load(view, choice)
        cost_ms = own_ms * (1 + load * LOAD_COST_FACTOR)
        cost_ms += self._rng.random() * choice.width_ms
        if load > QUEUEING_LOAD:
            cost_ms += _busy_cost_ms(view, choice, load)
        if view.own_calls:
            cost_ms += _silence_cost_ms(view, choice)
        if view.failures > MIN_FAILURE_SHARE:
            cost_ms += view.failure_share(choice.now_ms) * FAILURE_COST_MS
        if node.zone == self._zone:
            return cost_ms
        is_near = node.region == self._region
        factor = OTHER_ZONE_COST if is_near else OTHER_REGION_COST
        return cost_ms + choice.slot_ms * factor

    def _completion_ms(self, node: NodeRecord, route: str, now_ms: float) -> float:
        """Return the expected time until a response, plus the cost of distance."""
        view = self._speeds.of(node)
        choice = self._choice(route, now_ms, is_first=False)
        own_ms, load = _own_and_load(view, choice)
        size_kib = self._sizes_kib.get(route, 0)
        return (
            own_ms
            + max(load - 1, 0) * (view.slot_ms or choice.slot_ms)
            + view.failure_share(now_ms) * FAILURE_COST_MS
            + self._traffic.cost_ms(node.zone, node.region, size_kib, now_ms)
        )

    def _follow_usual(self, kind: str, own_ms: float) -> float:
        """Apply a reported time to the usual one and return it."""
        usual_ms = self._usual_ms.get(kind, own_ms)
        usual_ms += USUAL_WEIGHT * (own_ms - usual_ms)
        self._usual_ms[kind] = usual_ms
        return max(usual_ms, 1)


def _own_and_load(view: _SpeedView, choice: _Choice) -> tuple[float, float]:
    """Return the upstream's own time for a call, and its load for its capacity."""
    now_ms, usual_ms = choice.now_ms, choice.usual_ms
    age_ms = now_ms - view.reported_ms
    new_calls = view.own_calls - view.own_calls_at_report
    calls = view.own_calls + (choice.peers - 1) * new_calls
    if view.slot_ms:
        capacity = view.capacity
        own_ms = view.own_ms.get(choice.route) or usual_ms * view.slowness
        own_ms *= view.correction
        if own_ms > usual_ms and age_ms > FRESH_MS:
            believed = math.exp(-age_ms / FORGET_MS)
            own_ms = usual_ms + (own_ms - usual_ms) * believed
    else:
        capacity = view.limit
        own_ms = usual_ms * UNKNOWN_SLOWNESS
        calls += UNKNOWN_LOAD * capacity
    others = view.reported_calls - view.own_calls_at_report
    if others > 0 and age_ms < REPORT_LIFETIME_MS:
        calls += others * (1 - age_ms / REPORT_LIFETIME_MS)
    if now_ms < view.cold_until_ms:
        chill = 1 + (view.cold_until_ms - now_ms) / MS_PER_S
        own_ms *= chill
        calls *= chill
    return own_ms, calls / capacity


def _busy_cost_ms(view: _SpeedView, choice: _Choice, load: float) -> float:
    busy = min(BUSY_SLOPE * (load - QUEUEING_LOAD), MAX_BUSY_COST)
    waiting = max(load - 1, 0)
    return choice.slot_ms * busy + waiting * (view.slot_ms or choice.slot_ms)


def _silence_cost_ms(view: _SpeedView, choice: _Choice) -> float:
    silent_ms = choice.now_ms - view.answered_ms
    return max(silent_ms - SILENCE_FACTOR * (view.slot_ms or choice.slot_ms), 0)
