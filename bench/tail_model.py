"""Discrete-event model of one deployment, for measurements of tail latency.

Time is simulated: events are taken from a heap, without sleeping. Each of the 24
upstreams has a guard with a fixed number of slots and a first-in, first-out queue;
each node is also an entry with its own router and hedge policy. Callers arrive as a
Poisson process and choose an entry of their availability zone.
"""

import dataclasses
import heapq
import math
import random
from collections import deque
from collections.abc import Callable

from gentianmill.hedge import HedgePolicy
from gentianmill.member import Member, MemberStatus
from gentianmill.messages import LoadReport
from gentianmill.retry import RetryThrottle
from gentianmill.routing import Router
from gentianmill.sheet_models import LimitsModel

ZONES = tuple((f'region-{zone // 2}', f'zone-{zone}') for zone in range(6))
SAME_ZONE_MS = 0.1
CROSS_ZONE_MS = 0.5
CROSS_REGION_MS = 30.0
MEAN_MS = 200.0
SERVICE_TIME_SIGMA = 0.6
UTILISATION = 0.5
AT_MOST_ONCE_SHARE = 0.2
MAX_REPORT_AGE_MS = 100.0
HEDGE_GRANT_MS = 1.0
SLOW_FACTOR = 5.0
SLOWED_SHARE = 0.1
WARM_UP_MS = 4000.0
MEASURED_MS = 6000.0


@dataclasses.dataclass(frozen=True)
class Deployment:
    """Slots per endpoint of each service, and the one-way delay to callers in ms."""

    name: str
    slots: dict[str, int]
    client_ms: float


DEPLOYMENTS = (
    Deployment(
        'cascadia',
        {'dispatch': 70, 'billing': 70, 'templates': 70, 'quoting': 25},
        1,
    ),
    Deployment(
        'guild',
        {'catalogo': 35, 'tesoreria': 35, 'biblioteca': 35, 'registro': 10},
        8,
    ),
)


class Upstream:
    """An upstream behind its guard."""

    def __init__(self, member: Member) -> None:
        self.member = member
        self.slowdown = 1.0
        self.running: set[Attempt] = set()
        self.queue: deque[Attempt] = deque()
        self._report = LoadReport(0, member.slots, 0, 0, draining=False)
        self._reported_ms = -math.inf

    def report(self, now_ms: float) -> LoadReport:
        """Return the load, as of up to 100 ms ago."""
        if now_ms - self._reported_ms >= MAX_REPORT_AGE_MS:
            self._reported_ms = now_ms
            delay_ms = now_ms - self.queue[0].arrived_ms if self.queue else 0
            self._report = LoadReport(
                len(self.running), self.member.slots, delay_ms, 0, draining=False
            )
        return self._report


@dataclasses.dataclass(eq=False)
class Attempt:
    """One attempt of a call on one upstream: the first one or a hedge."""

    call: 'Call'
    upstream: Upstream
    sent_ms: float
    arrived_ms: float = 0
    ended: bool = False


@dataclasses.dataclass(eq=False)
class Call:
    """One call of a caller."""

    entry: 'Entry'
    service: str
    key: str | None
    work_ms: float
    started_ms: float
    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    done: bool = False


@dataclasses.dataclass(eq=False)
class Entry:
    """The entry role of one node."""

    node_id: str
    region: str
    zone: str
    router: Router
    hedge: HedgePolicy | None
    throttle: RetryThrottle


RouterFactory = Callable[[Member, random.Random], Router]


def current_router(member: Member, rng: random.Random) -> Router:
    """Return the router of gentianmill for the entry of a member."""
    return Router(
        member.region, member.zone, LimitsModel(), rng, own_node_id=member.node_id
    )


class Model:
    """One run of one deployment with one type of router."""

    def __init__(
        self,
        deployment: Deployment,
        factory: RouterFactory,
        seed: int,
        slowed: bool,
        hedged: bool = True,
    ) -> None:
        """Create the nodes and schedule the first arrivals.

        Args:
            deployment: Deployment to simulate.
            factory: Creates the router of an entry.
            seed: Seed of arrivals, service times and the choice of slowed upstreams.
            slowed: Whether a tenth of the upstreams slow down after the warm-up.
            hedged: Whether entries hedge repeatable reads.
        """
        self._rng = random.Random(seed)
        self._deployment = deployment
        self._events: list = []
        self._sequence = 0
        self.latencies_ms: list[float] = []
        self.calls = 0
        self.hedges = 0
        self.slow_attempts = 0
        self.attempts = 0
        self._upstreams = self._make_upstreams()
        self._entries = self._make_entries(factory, seed, hedged)
        slowed_ids = self._rng.sample(
            sorted(self._upstreams), math.ceil(SLOWED_SHARE * len(self._upstreams))
        )
        self._schedule(WARM_UP_MS, self._slow_down, slowed_ids if slowed else [])
        for service, slots in deployment.slots.items():
            gap_ms = MEAN_MS / (slots * len(ZONES) * UTILISATION)
            self._schedule(0, self._arrive, (service, gap_ms))

    def run(self) -> None:
        """Run the warm-up and the measured time, until all calls have ended."""
        events = self._events
        while events:
            now_ms, _, action, argument = heapq.heappop(events)
            action(now_ms, argument)

    def _make_upstreams(self) -> dict[str, Upstream]:
        upstreams = {}
        for service, slots in self._deployment.slots.items():
            for region, zone in ZONES:
                node_id = f'{service}-{zone}'
                member = Member(
                    node_id=node_id,
                    incarnation=0,
                    status=MemberStatus.alive,
                    host='127.0.0.1',
                    peer_port=1,
                    control_port=2,
                    region=region,
                    zone=zone,
                    service=service,
                    endpoint=node_id,
                    slots=slots,
                )
                upstreams[node_id] = Upstream(member)
        return upstreams

    def _make_entries(
        self, factory: RouterFactory, seed: int, hedged: bool
    ) -> dict[str, list[Entry]]:
        entries: dict[str, list[Entry]] = {zone: [] for _, zone in ZONES}
        for node_id, upstream in self._upstreams.items():
            member = upstream.member
            router = factory(member, random.Random(f'{seed} {node_id}'))
            for other in self._upstreams.values():
                router.member_changed(other.member, -1e6)
            hedge = HedgePolicy() if hedged else None
            entry = Entry(
                node_id, member.region, member.zone, router, hedge, RetryThrottle(0.1)
            )
            entries[member.zone].append(entry)
        return entries

    def _schedule(self, at_ms: float, action, argument) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (at_ms, self._sequence, action, argument))

    def _slow_down(self, now_ms: float, node_ids: list[str]) -> None:
        for node_id in node_ids:
            self._upstreams[node_id].slowdown = SLOW_FACTOR

    def _arrive(self, now_ms: float, arrivals: tuple[str, float]) -> None:
        service, gap_ms = arrivals
        rng = self._rng
        if now_ms < WARM_UP_MS + MEASURED_MS:
            self._schedule(now_ms + rng.expovariate(1 / gap_ms), self._arrive, arrivals)
        zone = rng.choice(ZONES)[1]
        entry = rng.choice(self._entries[zone])
        key = str(rng.random()) if rng.random() < AT_MOST_ONCE_SHARE else None
        work_ms = MEAN_MS * rng.lognormvariate(
            -SERVICE_TIME_SIGMA * SERVICE_TIME_SIGMA / 2, SERVICE_TIME_SIGMA
        )
        call = Call(entry, service, key, work_ms, now_ms)
        self.calls += 1
        entry.throttle.on_call(now_ms)
        self._send(now_ms, call, frozenset())
        if key is None and entry.hedge is not None:
            delay_ms = entry.hedge.delay_ms(service)
            if delay_ms is not None:
                self._schedule(now_ms + delay_ms, self._try_hedge, call)

    def _try_hedge(self, now_ms: float, call: Call) -> None:
        if call.done or not call.entry.throttle.try_retry(now_ms):
            return
        self._schedule(now_ms + HEDGE_GRANT_MS, self._hedge, call)

    def _hedge(self, now_ms: float, call: Call) -> None:
        if not call.done:
            self.hedges += 1
            first_id = call.attempts[0].upstream.member.node_id
            self._send(now_ms, call, frozenset((first_id,)))

    def _send(self, now_ms: float, call: Call, excluded: frozenset[str]) -> None:
        router = call.entry.router
        member = router.choose(call.service, now_ms, excluded, call.key)
        if member is None:
            if not excluded:
                raise RuntimeError(f'no member of {call.service} at {now_ms} ms')
            return
        router.on_start(member.node_id, now_ms)
        upstream = self._upstreams[member.node_id]
        attempt = Attempt(call, upstream, now_ms)
        call.attempts.append(attempt)
        self.attempts += 1
        self.slow_attempts += upstream.slowdown > 1
        self._schedule(
            now_ms + _network_delay_ms(call.entry, member), self._offer, attempt
        )

    def _offer(self, now_ms: float, attempt: Attempt) -> None:
        if attempt.ended:
            return
        attempt.arrived_ms = now_ms
        upstream = attempt.upstream
        if len(upstream.running) < upstream.member.slots:
            self._start(now_ms, attempt)
        else:
            upstream.queue.append(attempt)

    def _start(self, now_ms: float, attempt: Attempt) -> None:
        attempt.upstream.running.add(attempt)
        work_ms = attempt.call.work_ms
        if len(attempt.call.attempts) > 1:
            # A hedge samples its own service time, since slow work is partly random.
            work_ms = MEAN_MS * self._rng.lognormvariate(
                -SERVICE_TIME_SIGMA * SERVICE_TIME_SIGMA / 2, SERVICE_TIME_SIGMA
            )
        self._schedule(
            now_ms + work_ms * attempt.upstream.slowdown, self._finish, attempt
        )

    def _finish(self, now_ms: float, attempt: Attempt) -> None:
        if attempt.ended:
            return
        attempt.ended = True
        self._release_slot(now_ms, attempt)
        load = attempt.upstream.report(now_ms)
        return_ms = _network_delay_ms(attempt.call.entry, attempt.upstream.member)
        self._schedule(now_ms + return_ms, self._respond, (attempt, load))

    def _release_slot(self, now_ms: float, attempt: Attempt) -> None:
        upstream = attempt.upstream
        upstream.running.discard(attempt)
        while upstream.queue and len(upstream.running) < upstream.member.slots:
            waiting = upstream.queue.popleft()
            if not waiting.ended:
                self._start(now_ms, waiting)

    def _respond(self, now_ms: float, response: tuple[Attempt, LoadReport]) -> None:
        attempt, load = response
        call = attempt.call
        router = call.entry.router
        node_id = attempt.upstream.member.node_id
        router.on_load(node_id, load, now_ms)
        if call.done:
            return
        call.done = True
        router.on_done(node_id, now_ms, now_ms - attempt.sent_ms, True)
        for other in call.attempts:
            if other is not attempt:
                self._cancel(now_ms, other)
        elapsed_ms = now_ms - call.started_ms
        if call.entry.hedge is not None:
            call.entry.hedge.observe(call.service, elapsed_ms)
        if call.started_ms >= WARM_UP_MS:
            self.latencies_ms.append(elapsed_ms + 2 * self._deployment.client_ms)

    def _cancel(self, now_ms: float, attempt: Attempt) -> None:
        member = attempt.upstream.member
        attempt.call.entry.router.on_cancelled(
            member.node_id, now_ms, now_ms - attempt.sent_ms
        )
        if not attempt.ended:
            delay_ms = _network_delay_ms(attempt.call.entry, member)
            self._schedule(now_ms + delay_ms, self._apply_cancellation, attempt)

    def _apply_cancellation(self, now_ms: float, attempt: Attempt) -> None:
        if not attempt.ended:
            attempt.ended = True
            self._release_slot(now_ms, attempt)


def _network_delay_ms(entry: Entry, member: Member) -> float:
    if entry.node_id == member.node_id:
        return 0
    if entry.zone == member.zone:
        return SAME_ZONE_MS
    return CROSS_ZONE_MS if entry.region == member.region else CROSS_REGION_MS
