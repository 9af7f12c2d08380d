"""A model of entries and upstreams of different speed, in virtual time.

Entries place calls by a ``Placement``. Upstreams have slots, a queue of bounded wait and a
speed, and their guards report their load and speed with each response. A report is as old
as the way back is long, and is used until the next response to the same entry.
"""

import dataclasses
import heapq
import itertools
import random

from gentianmill.placement import Placement
from gentianmill.service_times import ServiceTimes
from node_records import node_record

SLOT_SHARE = 0.95
WAIT_SHARE = 0.3
SIGMA = 0.5
MAX_REDIRECTS = 4
SEEN_SHARE = 0.8
"""Share of the calls for which a guard recognises the calls that its upstream makes."""


@dataclasses.dataclass
class Kind:
    """A kind of work: mean own time at speed 1, mean time of its calls downstream."""

    own_ms: float
    downstream_ms: float = 0
    weight: float = 1


KINDS = {'read': Kind(300.0), 'transfer': Kind(300.0, 400.0, 0.5)}


@dataclasses.dataclass
class Upstream:
    """An upstream beside its guard."""

    node: object
    speed: float
    slots: int
    knee: float = 1.0
    """Share of its slots beyond which it works no faster."""

    resumes_at: object = None
    """Returns the end of the pause at a time, or the time itself, if it pauses by turns."""

    cold_until_ms: float = 0
    fails: bool = False
    """Whether it fails all calls, at once."""

    claims: object = None
    """Replaces the speed that its guard reports, if set."""

    running: int = 0
    waiting: list = dataclasses.field(default_factory=list)
    times: ServiceTimes = dataclasses.field(default_factory=ServiceTimes)
    peak: int = 0

    @property
    def limit(self):
        return max(int(self.slots * SLOT_SHARE), 1)

    @property
    def load(self):
        return self.running + len(self.waiting)


@dataclasses.dataclass(eq=False)
class Call:
    """A call, on its first or a further attempt."""

    entry: int
    kind: str
    begin_ms: float
    work_ms: float
    downstream_ms: float
    tried: set
    node: object = None
    sent_ms: float = 0
    started_ms: float = 0
    began_with: int = 0
    refusals: int = 0


class UpstreamModel:
    """Plays arrivals at entries."""

    def __init__(
        self,
        upstreams,
        entries,
        placement=Placement,
        seed=1,
        target_ms=1500.0,
        ways=(0.2, 1.4, 30.0),
        lag_ms=None,
    ):
        self.upstreams = {upstream.node.name: upstream for upstream in upstreams}
        self.nodes = [upstream.node for upstream in upstreams]
        self.target_ms = target_ms
        self.lag_ms = lag_ms
        self._ways = ways
        self._rng = random.Random(seed)
        places = sorted({(node.zone, node.region) for node in self.nodes})
        self.entries = [
            placement(*places[index % len(places)], random.Random(seed * 1000 + index))
            for index in range(entries)
        ]
        self.places = [places[index % len(places)] for index in range(entries)]
        self.ended = []
        """Begin, latency and node of each call; no latency if it was refused."""

        self.placed = []
        """Time and node of each attempt."""

        self._events = []
        self._serial = itertools.count()

    @property
    def capacity_per_s(self):
        """Return the calls a second that all upstreams complete at most."""
        total = sum(kind.weight for kind in KINDS.values())
        per_s = 0
        for upstream in self.upstreams.values():
            slot_ms = sum(
                kind.weight
                / total
                * (kind.own_ms / upstream.speed + kind.downstream_ms)
                for kind in KINDS.values()
            )
            per_s += upstream.limit * upstream.knee * 1000 / slot_ms
        return per_s

    def join(self, node, at_ms):
        """Let entries know a node from a time on."""
        self.nodes.remove(node)
        self._at(at_ms, lambda _: self.nodes.append(node))

    def play(self, rate_per_s, until_ms):
        """Play arrivals at a rate, or at one that depends on the time."""
        rate = rate_per_s if callable(rate_per_s) else lambda _: rate_per_s
        self._at(0, self._arrive, rate)
        while self._events and self._events[0][0] <= until_ms:
            event = heapq.heappop(self._events)
            event[2](event[0], *event[3])

    def figures(self, begin_ms, end_ms):
        """Return mean and p99 latency, and the share served in its target latency."""
        calls = [late for at, late, _ in self.ended if begin_ms <= at < end_ms]
        served = sorted(late for late in calls if late is not None)
        in_time = sum(late <= self.target_ms for late in served)
        return (
            sum(served) / len(served),
            served[int(len(served) * 0.99)],
            in_time / len(calls),
        )

    def _at(self, time_ms, act, *arguments):
        heapq.heappush(self._events, (time_ms, next(self._serial), act, arguments))

    def _arrive(self, now_ms, rate):
        self._at(
            now_ms + self._rng.expovariate(rate(now_ms)) * 1000, self._arrive, rate
        )
        names = list(KINDS)
        weights = [KINDS[name].weight for name in names]
        kind = self._rng.choices(names, weights)[0]
        self._place(
            now_ms,
            Call(
                self._rng.randrange(len(self.entries)),
                kind,
                now_ms,
                self._draw(KINDS[kind].own_ms),
                self._draw(KINDS[kind].downstream_ms),
                set(),
            ),
        )

    def _draw(self, mean_ms):
        if not mean_ms:
            return 0
        return mean_ms * self._rng.lognormvariate(-(SIGMA**2) / 2, SIGMA)

    def _way_ms(self, entry, node):
        if self.lag_ms:
            return self.lag_ms(entry)
        place = self.places[entry]
        if node.zone == place[0]:
            return self._ways[0]
        return self._ways[1 if node.region == place[1] else 2]

    def _place(self, now_ms, call):
        entry = self.entries[call.entry]
        node = entry.choose(self.nodes, call.kind, now_ms, call.tried)
        if node is None or call.refusals > MAX_REDIRECTS:
            self.ended.append((call.begin_ms, None, ''))
            return
        call.tried.add(node.name)
        call.node = node
        call.sent_ms = now_ms
        self.placed.append((now_ms, node.name))
        entry.record_start(node.name, now_ms)
        self._at(now_ms + self._way_ms(call.entry, node), self._reach, call)

    def _reach(self, now_ms, call):
        upstream = self.upstreams[call.node.name]
        if upstream.fails:
            self._respond(now_ms, call, 'failed')
            return
        if upstream.running < upstream.limit:
            self._begin(now_ms, upstream, call)
            return
        wait_ms = len(upstream.waiting) * upstream.times.speed(1).slot_ms
        if wait_ms / upstream.limit > self.target_ms * WAIT_SHARE:
            self._respond(now_ms, call, 'refused')
            return
        upstream.waiting.append(call)
        upstream.peak = max(upstream.peak, upstream.load)
        self._at(now_ms + self.target_ms * WAIT_SHARE, self._give_up, upstream, call)

    def _give_up(self, now_ms, upstream, call):
        if call in upstream.waiting:
            upstream.waiting.remove(call)
            self._respond(now_ms, call, 'refused')

    def _begin(self, now_ms, upstream, call):
        upstream.running += 1
        call.started_ms = now_ms
        call.began_with = upstream.running
        speed = upstream.speed
        if now_ms < upstream.cold_until_ms:
            speed /= 4
        if upstream.resumes_at is not None:
            now_ms = max(now_ms, upstream.resumes_at(now_ms))
        crowd = max(upstream.running / (upstream.slots * upstream.knee), 1)
        own_ms = call.work_ms / speed * crowd
        self._at(now_ms + own_ms + call.downstream_ms, self._finish, upstream, call)

    def _finish(self, now_ms, upstream, call):
        if upstream.resumes_at is not None:
            resumed_ms = upstream.resumes_at(now_ms)
            if resumed_ms > now_ms:
                self._at(resumed_ms, self._finish, upstream, call)
                return
        running = (call.began_with + upstream.running) / 2
        upstream.running -= 1
        seen_ms = call.downstream_ms if self._rng.random() < SEEN_SHARE else 0
        if call.started_ms >= upstream.cold_until_ms:
            upstream.times.on_end(
                call.kind,
                now_ms - call.started_ms,
                seen_ms,
                running,
                upstream.limit,
            )
        if upstream.waiting:
            self._begin(now_ms, upstream, upstream.waiting.pop(0))
        self._respond(now_ms, call, 'answered')

    def _respond(self, now_ms, call, outcome):
        upstream = self.upstreams[call.node.name]
        speed = upstream.claims
        if speed is None:
            cold_ms = max(upstream.cold_until_ms - now_ms, 0)
            speed = upstream.times.speed(upstream.limit, cold_ms)
        load = (upstream.load, upstream.limit, speed)
        way_ms = self._way_ms(call.entry, call.node)
        self._at(now_ms + way_ms, self._answer, call, outcome, load)

    def _answer(self, now_ms, call, outcome, load):
        entry, name = self.entries[call.entry], call.node.name
        entry.record_end(name)
        entry.record_load(name, *load[:2], now_ms)
        entry.record_speed(name, load[2], now_ms)
        if outcome == 'answered':
            entry.record_response(name, call.kind, now_ms - call.sent_ms)
            self.ended.append((call.begin_ms, now_ms - call.begin_ms, name))
            return
        if outcome == 'failed':
            entry.record_failure(name, now_ms)
        call.refusals += 1
        self._place(now_ms, call)


def spread(count, slowest, fastest, slots, zones=(('a', 'r'),)):
    """Return upstreams with speeds spread evenly, in turn over the zones."""
    upstreams = []
    for index in range(count):
        zone, region = zones[index * 7 % count % len(zones)]
        node = node_record(f'u{index}', zone=zone, region=region, slots=slots)
        speed = slowest + (fastest - slowest) * index / (count - 1)
        upstreams.append(Upstream(node, speed, slots))
    return upstreams
