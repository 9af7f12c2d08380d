"""Nodes with quotas and a network that delays, loses and repeats frames, in own time."""

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable

from gentianmill.quota_credit import LocalAllowance, OwnerChoice, QuotaCredit
from gentianmill.quota_members import QuotaMembers
from gentianmill.quota_account import Asker
from gentianmill.quota_owner import NOT_OWNER, QuotaOwner, new_keys
from gentianmill.quota_support import is_support
from gentianmill.relay_messages import QuotaGrant, QuotaRequest
from gentianmill.teams import Team

ASK_TIMEOUT_MS = 250.0
TICK_MS = 50.0


@dataclasses.dataclass(slots=True)
class _Ask:
    owner: str
    wanted: int
    sent_ms: float


class QuotaNode:
    """The decision modules of one process, as an entry and as an owner of one team."""

    def __init__(self, network: 'QuotaNetwork', name: str, start: int) -> None:
        """Start the process."""
        self.network = network
        self.name = name
        self.process = f'{name}/{start}'
        region = network.region_of[name]
        now_ms = network.now_ms
        self.members = QuotaMembers(name, region, network.regions)
        self.members.update(network.view_of(name), now_ms)
        self.keys = new_keys()
        self.own = Asker(name, self.process)
        self.owner = QuotaOwner(
            self.members, self.own, self._find_team, self.keys, now_ms
        )
        self.team = network.team
        self.credit = QuotaCredit()
        self.choice = OwnerChoice(self.members)
        self.allowance = LocalAllowance(now_ms)
        self.version = 0
        self.waiting = 0
        self.ask: tuple[int, _Ask] | None = None
        self.retry_ms = float(0)

    def _find_team(self, name: str) -> Team | None:
        return self.team if name == self.team.name else None

    def request(self) -> None:
        """Accept a request of a caller."""
        self.credit.on_demand(self.network.now_ms)
        self.waiting += 1
        self.work()

    def work(self) -> None:
        """Use tokens, and ask for more."""
        now_ms = self.network.now_ms
        while self.waiting and self.credit.take(now_ms):
            self.waiting -= 1
            self.network.arrive()
        if self.ask is not None and now_ms - self.ask[1].sent_ms >= ASK_TIMEOUT_MS:
            self.choice.on_silent(self.ask[1].owner, now_ms)
            self.ask = None
        if not self.waiting or self.ask is not None or now_ms < self.retry_ms:
            return
        name = self.choice.choose(self.team.name, now_ms)
        if name is None:
            while self.waiting:
                self.waiting -= 1
                if self.allowance.take(self.team, self.members.count(now_ms), now_ms):
                    self.network.arrive()
            return
        wanted = self.credit.wanted(self.waiting, now_ms)
        request = QuotaRequest(next(self.keys), self.team.name, wanted, 0)
        self.ask = (request.key, _Ask(name, wanted, now_ms))
        self.send(name, request)

    def give_surplus_back(self) -> None:
        """Return tokens that are not needed."""
        surplus = self.credit.take_surplus(self.network.now_ms)
        if surplus:
            name = self.choice.choose(self.team.name, self.network.now_ms)
            request = QuotaRequest(next(self.keys), self.team.name, 0, surplus)
            self.send(name or self.name, request)

    def tick(self) -> None:
        """Do what is due."""
        self.owner.tick(self.network.now_ms)
        self.flush()
        self.work()

    def send(self, name: str, frame: QuotaRequest | QuotaGrant) -> None:
        """Send a frame to a node, or apply it if that is this one."""
        if name == self.name:
            self.receive(self.own, frame)
        else:
            self.network.send(self, name, frame)

    def flush(self) -> None:
        """Send the frames of the owner."""
        for outgoing in self.owner.drain():
            self.send(outgoing.to.name, outgoing.frame)

    def receive(self, sender: Asker, frame: QuotaRequest | QuotaGrant) -> None:
        """Apply a frame."""
        now_ms = self.network.now_ms
        self.owner.on_heard(sender.name)
        if isinstance(frame, QuotaRequest):
            self.owner.on_request(sender, frame, now_ms)
        elif is_support(frame) or self.ask is None or self.ask[0] != frame.key:
            self.owner.on_grant(sender.name, frame, now_ms)
        else:
            self._on_answer(sender.name, frame)
        self.flush()

    def _on_answer(self, name: str, grant: QuotaGrant) -> None:
        now_ms = self.network.now_ms
        ask = self.ask[1]
        self.ask = None
        self.choice.on_answer(name)
        if grant.granted == NOT_OWNER:
            self.choice.on_declined(name, self.team.name, now_ms)
        else:
            self.credit.on_grant(
                ask.wanted, grant.granted, grant.lifetime_ms, ask.sent_ms, now_ms
            )
            if not grant.granted:
                self.retry_ms = now_ms + max(grant.retry_after_ms, 1)
        self.work()


class QuotaNetwork:
    """All nodes, the clock, and what arrives at upstreams."""

    def __init__(
        self, region_of: dict[str, str], team: Team, rng: random.Random
    ) -> None:
        """Start all nodes, which know each other.

        Args:
            region_of: Region of each node.
            team: The team that all requests belong to.
            rng: Source of delays and faults.
        """
        self.region_of = region_of
        self.regions = len(set(region_of.values()))
        self.team = team
        self.now_ms = float(0)
        self.arrivals: list[float] = []
        self.cuts: set[tuple[str, str]] = set()
        self.unknown: set[tuple[str, str]] = set()
        """Pairs of a node and another one that it does not know."""

        self.loss = float(0)
        self.repeats = float(0)
        self.max_delay_ms = float(5)
        self.sent = 0
        self._rng = rng
        self._order = itertools.count()
        self._starts = itertools.count(1)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self.nodes: dict[str, QuotaNode] = {}
        for name in region_of:
            self.start(name)

    def view_of(self, name: str) -> dict[str, str]:
        """Return the nodes that a node knows."""
        return {
            other: region
            for other, region in self.region_of.items()
            if (name, other) not in self.unknown
        }

    def start(self, name: str) -> None:
        """Start a node, or replace its process."""
        self.nodes[name] = QuotaNode(self, name, next(self._starts))
        self.nodes[name].team = self.team

    def kill(self, name: str) -> None:
        """End a process."""
        self.nodes.pop(name, None)

    def arrive(self) -> None:
        """Count a request that reaches an upstream."""
        self.arrivals.append(self.now_ms)

    def send(self, node: QuotaNode, name: str, frame: object) -> None:
        """Deliver a frame later, or not, or twice."""
        if self.nodes.get(node.name) is not node or (node.name, name) in self.cuts:
            return
        self.sent += 1
        copies = 1 + (self._rng.random() < self.repeats)
        for _ in range(copies):
            if self._rng.random() >= self.loss:
                self._schedule(node, name, frame)

    def run(self, until_ms: float) -> None:
        """Advance the time, with ticks of all nodes."""
        while self.now_ms < until_ms:
            step_ms = min(self.now_ms + TICK_MS, until_ms)
            self._deliver(step_ms)
            self.now_ms = step_ms
            for node in tuple(self.nodes.values()):
                node.tick()

    def schedule(self, at_ms: float, act: Callable[[], None]) -> None:
        """Call a function at a time."""
        heapq.heappush(self._events, (at_ms, next(self._order), act))

    def _deliver(self, until_ms: float) -> None:
        while self._events and self._events[0][0] <= until_ms:
            at_ms, _, act = heapq.heappop(self._events)
            self.now_ms = max(self.now_ms, at_ms)
            act()

    def _schedule(self, node: QuotaNode, name: str, frame: object) -> None:
        delay_ms = self._rng.uniform(0.5, self.max_delay_ms)
        if self.region_of[name] != self.region_of[node.name]:
            delay_ms += 30
        sender, cut = node.own, (node.name, name)

        def deliver() -> None:
            if name in self.nodes and cut not in self.cuts:
                self.nodes[name].receive(sender, frame)

        self.schedule(self.now_ms + delay_ms, deliver)
