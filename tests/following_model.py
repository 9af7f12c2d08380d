"""A model of nodes that follow the store together, on a logical clock.

Each step, nodes call others; each answer tells how recently the sender's rules were known
to be the newest. Followers poll; a node that hears nothing asks a follower, then polls.
The decisions are those of the product; only links and store are modelled.
"""

import dataclasses
import random
from collections.abc import Callable, Sequence

from gentianmill.confirmed import UNKNOWN_AGE_MS, Confirmed
from gentianmill.followers import FollowerChoice, SilentFollowers
from gentianmill.node_table import NodeRecord
from gentianmill.poll_turn import (
    Freshness,
    OpenPoll,
    PollTurn,
    TurnAction,
    slot_wait_ms,
    turns_within,
)
from node_records import node_record

STEP_MS = 50
POLL_WAIT_MS = 2500
URGENT_AGE_MS = 1000
POLL_MARGIN_MS = 1500
"""Time after its wait in which a poll without an answer ends."""

REGIONS = 3
ZONES_PER_REGION = 3
CALLS_PER_S = 10
APPLY_MS = 2500
"""The strictest bound of the deployments."""

TURNS = turns_within(APPLY_MS)


class ModelNode:
    """A node: what it knows, and the poll that it waits for."""

    def __init__(self, record: NodeRecord, rng: random.Random) -> None:
        """Create a node that has just read the rules."""
        self.record = record
        self.confirmed = Confirmed()
        self.heard = Confirmed()
        self.choice = FollowerChoice(record.name)
        self.silent = SilentFollowers()
        self.turn = PollTurn(TURNS, rng)
        self.poll = OpenPoll(TURNS)
        self.chosen: list[str] = []
        self.asked: set[str] = set()
        self.poll_ends_ms: float | None = None
        self.is_follower = False
        self.was_follower = False
        self.clock_offset_ms = float(0)
        """Difference of the wall clock."""

        self.confirmed.confirm(0)
        self.heard.confirm(0)


@dataclasses.dataclass
class Faults:
    """What is broken now."""

    dead: set[str] = dataclasses.field(default_factory=set)
    cut_from_peers: set[str] = dataclasses.field(default_factory=set)
    cut_from_store: set[str] = dataclasses.field(default_factory=set)

    def link(self, one: ModelNode, other: ModelNode) -> bool:
        """Return whether two nodes reach each other."""
        broken = self.dead | self.cut_from_peers
        return not {one.record.name, other.record.name} & broken


class FollowingModel:
    """Nodes, their links and the store."""

    def __init__(self, count: int, seed: int, calls_per_s: float = CALLS_PER_S) -> None:
        """Create nodes that know each other and have just read the rules."""
        self.rng = random.Random(seed)  # noqa: S311
        self.nodes = [ModelNode(_record(number), self.rng) for number in range(count)]
        self._by_name = {node.record.name: node for node in self.nodes}
        self.faults = Faults()
        self.now_ms = 0.0
        self.store_calls = 0
        self.ages_ms: list[float] = []
        """Ages of the confirmations of all nodes that run, one per node and second."""

        self._calls_per_step = calls_per_s * STEP_MS / 1000
        self._choose_followers()

    @property
    def followers(self) -> list[ModelNode]:
        """Return the nodes that take themselves for followers."""
        return [node for node in self.nodes if node.is_follower]

    @property
    def oldest_ms(self) -> float:
        """Return the largest age at nodes that would not learn of a change at once.

        The open poll of a node that reaches the store ends with the change. Nodes that
        are cut off the store have no bound.
        """
        ages_ms = (
            node.confirmed.age_ms(self.now_ms)
            for node in self.nodes
            if node.poll_ends_ms is None
            and node.record.name not in self.faults.cut_from_store
        )
        return max(ages_ms, default=0)

    def cut_followers(self) -> None:
        """Cut the present followers off the store, beside those that already are."""
        cut = (node.record.name for node in self.followers)
        self.faults.cut_from_store.update(cut)

    def run(self, duration_ms: float) -> None:
        """Let time pass."""
        for _ in range(int(duration_ms / STEP_MS)):
            self.now_ms += STEP_MS
            if not self.now_ms % 500:
                self._choose_followers()
            for node in self.nodes:
                if node.record.name not in self.faults.dead:
                    self._step(node)
            if not self.now_ms % 1000:
                self._record_ages()

    def _choose_followers(self) -> None:
        for node in self.nodes:
            self._choose_followers_of(node)

    def _choose_followers_of(self, node: ModelNode) -> None:
        records = [each.record for each in self.nodes]
        chosen = node.choice.followers(
            node.record.region, records, self._reaches_from(node)
        )
        node.is_follower = node.record in chosen
        node.chosen = [record.name for record in chosen]

    def _reaches_from(self, node: ModelNode) -> Callable[[NodeRecord], bool]:
        return lambda other: (
            self.faults.link(node, self._by_name[other.name])
            and not node.silent.has(other.name, self.now_ms)
        )

    def _step(self, node: ModelNode) -> None:
        if self.rng.random() < self._calls_per_step:
            self._hear(node, self.rng.choice(self.nodes))
        if node.poll_ends_ms is not None:
            self._wait_for_poll(node)
            return
        age_ms = node.heard.age_ms(self.now_ms)
        known = Freshness(age_ms, 0, node.is_follower)
        action = node.turn.decide(self.now_ms, known)
        if action is TurnAction.poll:
            self._poll(node)
        elif action is TurnAction.replace_followers:
            self._replace_followers(node)
            self._ask_followers(node)
        elif action is TurnAction.ask_follower:
            self._ask_followers(node)

    def _poll(self, node: ModelNode) -> None:
        self.store_calls += 1
        wait_ms = POLL_WAIT_MS
        is_new = node.is_follower and not node.was_follower
        node.was_follower = node.is_follower
        if is_new or node.confirmed.age_ms(self.now_ms) > URGENT_AGE_MS:
            wait_ms = STEP_MS
        elif node.is_follower:
            rank = node.chosen.index(node.record.name)
            unix_ms = self.now_ms + node.clock_offset_ms
            wait_ms = slot_wait_ms(unix_ms, rank, len(node.chosen), POLL_WAIT_MS)
        if node.record.name in self.faults.cut_from_store:
            wait_ms += POLL_MARGIN_MS
        node.poll_ends_ms = self.now_ms + wait_ms
        node.poll.begin()

    def _wait_for_poll(self, node: ModelNode) -> None:
        if self.now_ms >= node.poll_ends_ms:
            self._end_poll(node)
            return
        age_ms = node.confirmed.age_ms(self.now_ms)
        action = node.poll.decide(self.now_ms, age_ms, node.turn.limit_ms)
        if action is TurnAction.replace_followers:
            self._replace_followers(node)
        if action is not TurnAction.wait:
            self._ask_followers(node)

    def _replace_followers(self, node: ModelNode) -> None:
        others = {name for name in node.chosen if name != node.record.name}
        node.silent.mark(sorted(others & node.asked), self.now_ms)
        self._choose_followers_of(node)

    def _ask_followers(self, node: ModelNode) -> None:
        node.asked = {name for name in node.chosen if name != node.record.name}
        for name in node.asked:
            self._hear(node, self._by_name[name])

    def _hear(self, node: ModelNode, other: ModelNode) -> None:
        if not self.faults.link(node, other):
            return
        age_ms = other.confirmed.wire_age_ms(self.now_ms)
        if age_ms != UNKNOWN_AGE_MS:
            node.confirmed.confirm(self.now_ms - age_ms)
            node.heard.confirm(self.now_ms - age_ms)

    def _end_poll(self, node: ModelNode) -> None:
        node.poll_ends_ms = None
        if node.record.name not in self.faults.cut_from_store:
            node.confirmed.confirm(self.now_ms)
        node.turn.begin(self.now_ms)

    def _record_ages(self) -> None:
        for node in self.nodes:
            if node.record.name not in self.faults.dead:
                self.ages_ms.append(node.confirmed.age_ms(self.now_ms))


def quantile_ms(ages_ms: Sequence[float], share: float) -> float:
    """Return the age below which a share of the ages lies."""
    ordered = sorted(ages_ms)
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)]


def _record(number: int) -> NodeRecord:
    region = number % REGIONS
    zone = number // REGIONS % ZONES_PER_REGION
    return node_record(
        f'node-{number}', region=f'region-{region}', zone=f'zone-{region}-{zone}'
    )
