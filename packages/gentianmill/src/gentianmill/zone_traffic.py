"""Decide how much of each kind of work leaves the availability zone.

Answers four loads: a zone whose demand is above its upstreams' capacity while a neighbour
has room, demand that moves between zones in waves, a zone that has lost its upstreams,
and a link between zones that has become slow.

Leaving pays if the upstream with the lowest expected time is in another zone even with
the cost of the traffic added. Load reports are some 100 ms old, and many nodes read the
same ones, so that all of them would move their work at once and back again. Therefore a
node moves a limited part of its work a second.
"""

import dataclasses
import enum
import math
from collections import Counter
from types import MappingProxyType

from gentianmill.round_trip import RoundTrip

__all__ = ('Distance', 'TrafficSettings', 'ZoneTraffic')

RISE_PER_S = 2.0
"""Rise of the share that may leave, a second: half a second until all of it may, within
which a queue of one mean service time does not form."""

FALL_PER_S = 1.0
"""Fall of the share, a second. A wave of demand lasts longer."""

WANTED_WEIGHT = 0.1
"""Weight of a call in the share of calls for which leaving pays."""

ROUND_TRIP_DECAY_MS = 250.0
"""Time constant of the round trip to a zone. All nodes there are behind the same links,
so one estimate per zone follows a link that fills within a few responses."""

MAX_ROUND_TRIP_WEIGHT = 0.5
"""Largest weight of a response, as a single one may have waited for a busy process."""

LINK_WAIT_LIFETIME_MS = 2000.0
"""Time without a response from a zone after which no wait on its links is assumed; with
nothing sent, it would never be corrected."""

MS_PER_S = 1000

MAX_KINDS = 256
"""Kinds of work whose shares are kept; those of routes that are gone are dropped."""


class Distance(enum.IntEnum):
    """How far an upstream is from this node."""

    same_zone = 0
    same_region = 1
    other_region = 2


NOMINAL_ROUND_TRIP_MS = MappingProxyType(
    {Distance.same_zone: 0, Distance.same_region: 1.0, Distance.other_region: 60.0}
)
"""Network round trips in ms that the default costs contain."""


@dataclasses.dataclass(frozen=True, slots=True)
class TrafficSettings:
    """Cost of traffic that leaves the availability zone, as latency that it must save."""

    same_region_ms: float = 10.0
    """Cost in ms of a call to another zone of the region: 0.5 ms each way, and bytes that
    are billed."""

    other_region_ms: float = 160.0
    """Cost in ms of a call to another region: a network round trip of 60 ms, and bytes at
    seven times the price of those between availability zones."""

    same_region_kib_ms: float = 8.0
    other_region_kib_ms: float = 40.0
    """Additional cost in ms of each KiB of a response from another availability zone or
    region, since traffic is billed by volume. A catalogue page of 5 KiB costs ten times
    as much as one of the small calls downstream of it."""

    is_adaptive: bool = False
    """Whether measured round trips replace the nominal ones, and the share that leaves
    moves in bounded steps."""


@dataclasses.dataclass(slots=True)
class _LeavingShare:
    """The share of a kind of work that may leave."""

    share: float = 0
    wanted: float = 0
    """Recent share of calls for which leaving pays."""

    carried: float = 0
    """Calls that may leave but did not yet, below 1."""

    moved_ms: float = -math.inf

    def step(self, pays: bool, now_ms: float) -> None:
        """Move the share towards the calls for which leaving pays."""
        self.wanted += WANTED_WEIGHT * (pays - self.wanted)
        elapsed_s = min((now_ms - self.moved_ms) / MS_PER_S, 1)
        self.moved_ms = now_ms
        rise, fall = RISE_PER_S * elapsed_s, FALL_PER_S * elapsed_s
        target = 1 if pays and self.wanted > self.share else self.wanted
        self.share += min(max(target - self.share, -fall), rise)

    def take(self) -> bool:
        """Return whether the next call may leave."""
        self.carried += self.share
        if self.carried < 1:
            return False
        self.carried -= 1
        return True


class _ZoneRoundTrip:
    """The round trip to a zone: that of the path, and the present wait on its links."""

    def __init__(self, now_ms: float) -> None:
        self._path = RoundTrip()
        self._recent_ms = float(0)
        self._updated_ms = now_ms

    def observe(self, sample_ms: float, now_ms: float) -> None:
        """Apply a response."""
        self._path.observe(sample_ms, 0)
        weight = 1 - math.exp((self._updated_ms - now_ms) / ROUND_TRIP_DECAY_MS)
        weight = min(weight, MAX_ROUND_TRIP_WEIGHT)
        self._recent_ms += weight * (sample_ms - self._recent_ms)
        self._updated_ms = now_ms

    def estimate_ms(self, now_ms: float) -> float:
        """Return the estimate; the wait on the links fades without responses."""
        wait_ms = max(self._recent_ms - self._path.ms, 0)
        age = (now_ms - self._updated_ms) / LINK_WAIT_LIFETIME_MS
        return self._path.ms + wait_ms * max(1 - age, 0)


class ZoneTraffic:
    """Bound how fast work moves to other zones, and count what left and why."""

    def __init__(self, zone: str, region: str, settings: TrafficSettings) -> None:
        """Create a state in which nothing leaves.

        Args:
            zone: Availability zone of this node.
            region: Region of this node.
            settings: Cost of traffic.
        """
        self._zone = zone
        self._region = region
        self._settings = settings
        self._shares: dict[tuple[str, Distance], _LeavingShare] = {}
        self._round_trips: dict[str, _ZoneRoundTrip] = {}
        self._calls: Counter[tuple[str, str]] = Counter()

    @property
    def settings(self) -> TrafficSettings:
        """Return the cost of traffic."""
        return self._settings

    @property
    def calls(self) -> Counter[tuple[str, str]]:
        """Return the calls so far by service and reason; `stayed` for the own zone."""
        return self._calls

    def distance(self, zone: str, region: str) -> Distance:
        """Return the distance of an upstream.

        Args:
            zone: Its availability zone.
            region: Its region.
        """
        if zone == self._zone:
            return Distance.same_zone
        if region == self._region:
            return Distance.same_region
        return Distance.other_region

    def costs_ms(self, size_kib: float) -> tuple[float, float]:
        """Return the costs of another region and of another zone of the own one, in ms.

        Args:
            size_kib: Mean size of the responses.
        """
        costs = self._settings
        return (
            costs.other_region_ms + size_kib * costs.other_region_kib_ms,
            costs.same_region_ms + size_kib * costs.same_region_kib_ms,
        )

    def observe_round_trip(
        self, zone: str, round_trip_ms: float, now_ms: float
    ) -> None:
        """Record the network round trip of a response from another zone.

        Args:
            zone: Its availability zone.
            round_trip_ms: Time on the way, in both directions.
            now_ms: Current time.
        """
        trip = self._round_trips.get(zone)
        if trip is None:
            if len(self._round_trips) >= MAX_KINDS:
                self._round_trips.clear()
            trip = _ZoneRoundTrip(now_ms)
            self._round_trips[zone] = trip
        trip.observe(round_trip_ms, now_ms)

    def extra_ms(self, zone: str, region: str, now_ms: float) -> float:
        """Return by how much the way to a zone is longer than the costs assume, in ms.

        Args:
            zone: The availability zone.
            region: Its region.
            now_ms: Current time.
        """
        trip = self._round_trips.get(zone)
        if trip is None or not self._settings.is_adaptive:
            return 0
        return (
            trip.estimate_ms(now_ms)
            - NOMINAL_ROUND_TRIP_MS[self.distance(zone, region)]
        )

    def cost_ms(self, zone: str, region: str, size_kib: float, now_ms: float) -> float:
        """Return the cost of a call to a zone, as latency that it must save, in ms.

        Args:
            zone: The availability zone.
            region: Its region.
            size_kib: Mean size of the responses.
            now_ms: Current time.
        """
        if zone == self._zone:
            return 0
        is_near = region == self._region
        return self.costs_ms(size_kib)[is_near] + self.extra_ms(zone, region, now_ms)

    def may_leave(
        self, kind: str, distance: Distance, now_ms: float, *, pays: bool
    ) -> bool:
        """Return whether a call goes to another zone.

        Args:
            kind: Kind of work, such as a route.
            distance: Distance of the best upstream outside of the zone.
            now_ms: Current time.
            pays: Whether it is expected to answer earlier than the best one of the zone,
                with the cost of the traffic added.
        """
        if not self._settings.is_adaptive:
            return pays
        key = (kind, distance)
        state = self._shares.get(key)
        if state is None:
            if len(self._shares) >= MAX_KINDS:
                self._shares.clear()
            state = _LeavingShare(moved_ms=now_ms)
            self._shares[key] = state
        state.step(pays, now_ms)
        return pays and state.take()

    def count(self, service: str, reason: str) -> None:
        """Count a call.

        Args:
            service: Its service.
            reason: Why it left, or `stayed`.
        """
        self._calls[service, reason] += 1
