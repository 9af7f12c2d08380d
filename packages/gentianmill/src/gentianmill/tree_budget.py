"""Division of the calls that rejecting services can complete, at the entry.

If all upstreams of a service reject a share of their calls, its retry budget completes
only a part of the usual call trees. The entry refuses the others before any work is done
for them: DAGOR (Zhou and others, 2018) sheds at the entry by priority, Breakwater (Cho
and others, 2020) issues credits that a service can serve.
"""

import bisect
import dataclasses
import math
import random
from collections.abc import Callable, Mapping, Sequence

FLOOR_SHARE = 0.25
"""No route is served less often than this part of how often all are served."""

FLOOR_STEPS = 20
"""Halvings of the range in which the floor is searched; its error is 1 in a million."""

RATE_DECAY_MS = 20_000.0
"""Time constant of the usual rates of requests, which are kept while services reject, as
refused callers come back and would look like demand."""

PRIORITY_FACTOR = 1.5
"""How many times cheaper a tree must be, for each priority between, to go before a more
important one."""

MAX_BURST = 2.0
"""Requests of a route that may be admitted at once after a pause."""

MIN_CALLS = 0.001
"""Calls of a tree below which a route does not need the service."""

MIN_REQUESTS = 5
"""Requests of a route after which its usual rate counts as known."""

DIVISION_PERIOD_MS = 100.0
"""Time for which a division is kept; reports arrive more often."""


@dataclasses.dataclass(frozen=True, slots=True)
class TreeDemand:
    """Usual requests of a route, and the calls of each to one rejecting service."""

    route: str
    priority: int
    per_s: float
    calls: float
    services: frozenset[str] = frozenset()
    """Services that run the requests themselves."""


def divide(demands: Sequence[TreeDemand], share: float) -> dict[str, float]:
    """Return the part of the requests of each route that is admitted.

    Each route gets a floor, then the more important and among these the cheaper ones
    get what they need. The floor is the largest that is not above ``FLOOR_SHARE`` of the
    part of all requests that is admitted with it.

    Args:
        demands: All routes, also those that make no calls to the service.
        share: Part of their usual calls that the service completes.
    """
    demands = order(demands)
    low, high = float(0), min(share, FLOOR_SHARE)
    total_per_s = sum(demand.per_s for demand in demands)
    for _ in range(FLOOR_STEPS):
        floor = (low + high) / 2
        parts = _divide_above(demands, share, floor)
        admitted = sum(demand.per_s * parts[demand.route] for demand in demands)
        if admitted * FLOOR_SHARE >= floor * total_per_s:
            low = floor
        else:
            high = floor
    return _divide_above(demands, share, low)


def _divide_above(
    demands: Sequence[TreeDemand], share: float, floor: float
) -> dict[str, float]:
    left = sum(demand.per_s * demand.calls for demand in demands) * (share - floor)
    parts = {}
    for demand in demands:
        wanted = demand.per_s * demand.calls * (1 - floor)
        granted = min(wanted, max(left, 0))
        left -= granted
        is_free = demand.calls < MIN_CALLS or not wanted
        parts[demand.route] = (
            float(1) if is_free else floor + (1 - floor) * granted / wanted
        )
    return parts


def order(demands: Sequence[TreeDemand]) -> list[TreeDemand]:
    """Return the routes in the order in which they get what they need.

    Cheaper trees go first, unless they are less important and not much cheaper, or other
    requests of their service are more important.

    Args:
        demands: Routes of new requests.
    """
    priorities = sorted({one.priority for one in demands if one.calls >= MIN_CALLS})
    keys: dict[str, tuple[float, int]] = {}
    for demand in sorted(demands, key=_priority):
        steps = bisect.bisect_left(priorities, demand.priority)
        cost = demand.calls * PRIORITY_FACTOR**steps
        before = [
            keys[other.route][0]
            for other in demands
            if other.priority < demand.priority and other.services & demand.services
        ]
        keys[demand.route] = (max([cost, *before]), demand.priority)
    return sorted(demands, key=lambda one: keys[one.route])


def _priority(demand: TreeDemand) -> int:
    return demand.priority


@dataclasses.dataclass(slots=True)
class _Route:
    """Usual rate of a route, and what it may admit."""

    priority: int
    services: frozenset[str]
    requests: float = 0
    weight_ms: float = 0
    updated_ms: float = 0
    part: float = 1
    tokens: float = 0
    refilled_ms: float = 0

    def observe(self, now_ms: float) -> None:
        gap_ms = now_ms - self.updated_ms
        kept = math.exp(-gap_ms / RATE_DECAY_MS)
        self.requests = self.requests * kept + 1
        self.weight_ms = self.weight_ms * kept + gap_ms
        self.updated_ms = now_ms

    @property
    def per_ms(self) -> float:
        return self.requests / max(self.weight_ms, 1)

    def take(self, now_ms: float) -> bool:
        """Admit a request at the rate of the route's part."""
        elapsed_ms = now_ms - self.refilled_ms
        self.refilled_ms = now_ms
        earned = elapsed_ms * self.per_ms * self.part
        self.tokens = min(self.tokens + earned, MAX_BURST)
        if self.part < 1 and self.tokens < 1:
            return False
        self.tokens = max(self.tokens - 1, 0)
        return True


class TreeBudget:
    """Admit the requests whose call trees the rejecting services can complete."""

    def __init__(self, rng: random.Random) -> None:
        """Start without demand.

        Args:
            rng: Starts the routes of different entries at different times.
        """
        self._rng = rng
        self._routes: dict[str, _Route] = {}
        self._divided_ms = -math.inf
        self._is_dividing = False

    def admits(
        self,
        route: str,
        priority: int,
        services: frozenset[str],
        shares: Mapping[str, float],
        calls_to: Callable[[str], Mapping[str, float]],
        now_ms: float,
    ) -> bool:
        """Count a new request, and return whether its tree can be completed.

        Args:
            route: Its route.
            priority: Its priority, 0 is the most important.
            services: Services that run it.
            shares: Part of its usual calls that each rejecting service completes.
            calls_to: Returns the calls of a tree to a service, by route.
            now_ms: Current time.
        """
        known = self._routes.get(route)
        if known is None:
            known = _Route(priority, services, updated_ms=now_ms, refilled_ms=now_ms)
            self._routes[route] = known
        known.priority = priority
        known.services = services
        if not shares or known.requests < MIN_REQUESTS:
            known.observe(now_ms)
        if not shares:
            self._is_dividing = False
            return True
        self._divide(shares, calls_to, now_ms)
        known.updated_ms = now_ms
        return known.take(now_ms)

    def part(self, route: str) -> float:
        """Return the part of the requests of a route that was admitted last."""
        known = self._routes.get(route)
        return 1 if known is None or not self._is_dividing else known.part

    def _divide(
        self,
        shares: Mapping[str, float],
        calls_to: Callable[[str], Mapping[str, float]],
        now_ms: float,
    ) -> None:
        if self._is_dividing and now_ms - self._divided_ms < DIVISION_PERIOD_MS:
            return
        self._divided_ms = now_ms
        for route in self._routes.values():
            route.part = 1
            if not self._is_dividing:
                route.tokens = self._rng.random()
                route.refilled_ms = now_ms
        self._is_dividing = True
        for service, share in shares.items():
            demands = self._demands(calls_to(service))
            for name, part in divide(demands, share).items():
                self._routes[name].part = min(self._routes[name].part, part)

    def _demands(self, calls: Mapping[str, float]) -> list[TreeDemand]:
        return [
            TreeDemand(
                name,
                route.priority,
                route.per_ms,
                calls.get(name, 0),
                route.services,
            )
            for name, route in self._routes.items()
        ]
