"""Runs ``Swim`` objects on a simulated lossy network with a seeded event queue."""

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable

from gentianmill.member import Member, MemberStatus
from gentianmill.membership import MemberTable
from gentianmill.settings_models import MembershipModel
from gentianmill.swim import Probe, Swim

SETTINGS = MembershipModel()
ZONE_DELAY_MS = 0.5
REGION_DELAY_MS = 30


class LogicalNode:
    """A node of the simulated network."""

    def __init__(self, own: Member, rng: random.Random) -> None:
        """Create a node that knows only itself."""
        self.own_id = own.node_id
        self.host = own.host
        self.region = own.region
        self.zone = own.zone
        self.table = MemberTable(own)
        self.swim = Swim(SETTINGS, self.table, rng)
        self.is_running = True
        self.is_paused = False
        self.backlog: list[Callable[[], None]] = []


class LogicalNetwork:
    """Delivers messages in simulated time, with loss, partitions, pauses and crashes."""

    def __init__(self, seed: int, loss: float = 0) -> None:
        """Create a network without nodes."""
        self.rng = random.Random(seed)
        self.loss = loss
        self.now_ms = float()
        self.nodes: dict[str, LogicalNode] = {}
        self.cut_regions: set[frozenset[str]] = set()
        self.deaths: list[tuple[str, str]] = []
        """Ids of an observing node and of a member that it considers dead."""

        self._addresses: dict[str, LogicalNode] = {}
        self._events: list[tuple] = []
        self._counter = itertools.count()

    def add(
        self, node_id: str, region: str, zone: str, host: str, incarnation: int = 1
    ) -> LogicalNode:
        """Add a node that learns the running members, as from a scan of the table."""
        own = Member(
            node_id=node_id,
            incarnation=incarnation,
            status=MemberStatus.alive,
            host=host,
            peer_port=1,
            control_port=2,
            region=region,
            zone=zone,
            service='billing',
            endpoint=node_id,
            slots=5,
        )
        node = LogicalNode(own, random.Random(self.rng.random()))
        for other in self.running():
            node.swim.on_table([other.table.own], self.now_ms)
        node.table.subscribe(lambda member, now_ms: self._record_death(node, member))
        self.nodes[node_id] = node
        self._addresses[host] = node
        self.after(self.rng.uniform(0, 1000), node, lambda: self._tick(node))
        self.after(self.rng.uniform(0, 60000), node, lambda: self._sync(node))
        return node

    def running(self) -> list[LogicalNode]:
        """Return the nodes that have not been stopped."""
        return [node for node in self.nodes.values() if node.is_running]

    def stop(self, node_id: str) -> None:
        """Crash a node."""
        self.nodes[node_id].is_running = False

    def pause(self, node_id: str) -> None:
        """Pause a node as SIGSTOP does; its events are queued meanwhile."""
        self.nodes[node_id].is_paused = True

    def resume(self, node_id: str) -> None:
        """Resume a paused node and process the queued events."""
        node = self.nodes[node_id]
        node.is_paused = False
        backlog = list(node.backlog)
        node.backlog.clear()
        if node.is_running:
            for action in backlog:
                action()

    def after(self, delay_ms: float, node: LogicalNode, action) -> None:
        """Schedule an action of a node, which is skipped if the node was stopped."""
        event = (self.now_ms + delay_ms, next(self._counter), node, action)
        heapq.heappush(self._events, event)

    def run(self, duration_ms: float) -> None:
        """Advance time and process the events that are due."""
        end_ms = self.now_ms + duration_ms
        while self._events and self._events[0][0] <= end_ms:
            event = heapq.heappop(self._events)
            self.now_ms = event[0]
            node, action = event[2:]
            if not node.is_running:
                continue
            if node.is_paused:
                node.backlog.append(action)
            else:
                action()
        self.now_ms = end_ms

    def views(self) -> dict[str, dict[str, MemberStatus]]:
        """Return the status of each member in the table of each running node."""
        return {
            node.own_id: {
                member.node_id: member.status for member in node.table.members
            }
            for node in self.running()
        }

    def _record_death(self, node: LogicalNode, member: Member) -> None:
        if member.status is MemberStatus.dead:
            self.deaths.append((node.own_id, member.node_id))

    def _tick(self, node: LogicalNode) -> None:
        for probe in node.swim.tick(self.now_ms):
            self._send(node, probe)
        wait_ms = node.swim.next_tick_ms - self.now_ms
        self.after(wait_ms, node, lambda: self._tick(node))

    def _send(self, node: LogicalNode, probe: Probe) -> None:
        attempt = _Attempt(self, node, probe)
        self.after(probe.timeout_ms, node, attempt.fail)
        if probe.relay is None:
            self._ping(node, probe.target, attempt.succeed)
            return

        def relay(reply: Callable[[], None]) -> Callable[[], None]:
            return lambda: self._ping(
                self.nodes[probe.relay.node_id], probe.target, reply
            )

        relay_node = self._addresses[probe.relay.host]
        if relay_node.own_id != probe.relay.node_id:
            return
        back = lambda: self._deliver(relay_node, node, attempt.succeed)  # noqa: E731
        self._deliver(node, relay_node, relay(back))

    def _ping(
        self, node: LogicalNode, target: Member, on_success: Callable[[], None]
    ) -> None:
        receiver = self._addresses[target.host]
        updates = node.swim.updates_for(target.node_id)

        def receive() -> None:
            receiver.swim.on_updates(updates, node.own_id, self.now_ms)
            reply_updates = receiver.swim.updates_for(node.own_id)

            def read() -> None:
                node.swim.on_updates(reply_updates, receiver.own_id, self.now_ms)
                if receiver.own_id == target.node_id:
                    on_success()

            self._deliver(receiver, node, read)

        self._deliver(node, receiver, receive)

    def _sync(self, node: LogicalNode) -> None:
        self.after(60000, node, lambda: self._sync(node))
        peers = [
            member
            for member in node.table.members
            if not member.has_departed and member.node_id != node.own_id
        ]
        if not peers:
            return
        receiver = self._addresses[self.rng.choice(peers).host]
        members = node.swim.table_for(receiver.own_id)

        def receive() -> None:
            receiver.swim.on_table(members, self.now_ms)
            reply_updates = receiver.swim.table_for(node.own_id)
            self._deliver(
                receiver, node, lambda: node.swim.on_table(reply_updates, self.now_ms)
            )

        self._deliver(node, receiver, receive)

    def _deliver(
        self, sender: LogicalNode, receiver: LogicalNode, action: Callable[[], None]
    ) -> None:
        pair = frozenset((sender.region, receiver.region))
        if pair in self.cut_regions or self.rng.random() < self.loss:
            return
        is_remote = sender.region != receiver.region
        base_ms = REGION_DELAY_MS if is_remote else ZONE_DELAY_MS
        self.after(base_ms * self.rng.uniform(1, 2), receiver, action)


@dataclasses.dataclass
class _Attempt:
    network: LogicalNetwork
    node: LogicalNode
    probe: Probe
    is_done: bool = False

    def succeed(self) -> None:
        if not self.is_done:
            self.is_done = True
            self.node.swim.on_ack(self.probe, self.network.now_ms)

    def fail(self) -> None:
        if self.is_done:
            return
        self.is_done = True
        now_ms = self.network.now_ms
        for probe in self.node.swim.on_timeout(self.probe, now_ms):
            self.network._send(self.node, probe)


def build(seed: int, size: int, regions: int = 2, loss: float = 0) -> LogicalNetwork:
    """Create a network with nodes spread over regions and two zones in each."""
    network = LogicalNetwork(seed, loss)
    for number in range(size):
        region = number % regions
        zone = number // regions % 2
        network.add(f'n{number}', f'r{region}', f'r{region}z{zone}', f'10.0.0.{number}')
    # Nodes added early learn of later nodes, as they do from a later table scan.
    for node in network.running():
        node.swim.on_table([other.table.own for other in network.running()], 0)
    return network
