"""Count the messages caused by the loss of a zone and by a split between regions.

The real SWIM state machines run on the simulated network of the tests, so the
figures do not depend on the load of the machine. Links between regions are cut for
a short time only; the rate of messages during a cut is extrapolated to an hour. A
run takes about four minutes.
"""

import os
from concurrent.futures import ProcessPoolExecutor

from swim_network import LogicalNetwork, LogicalNode

from gentianmill import member_codec
from gentianmill.member import MemberStatus

SIZES = (100, 300, 610)
ZONES = 6
REGIONS = 2
STEADY_S = 15
CUT_S = 45
TIME_LIMIT_S = 60
MS_PER_S = 1000
DEPARTED = frozenset((MemberStatus.dead, MemberStatus.left))

Point = dict[str, float]


class CountingNetwork(LogicalNetwork):
    """A simulated network that counts messages and the bytes of their updates."""

    def __init__(self, seed: int) -> None:
        """Create a network without nodes."""
        super().__init__(seed)
        self.messages = 0
        self.cross_region_messages = 0
        self.update_bytes = 0
        self._previous_counts = (float(), 0, 0, 0)

    def add(self, *args: str, **options: int) -> LogicalNode:
        """Add a node and count the updates that it sends."""
        node = super().add(*args, **options)
        choose_updates = node.swim.updates_for

        def choose_and_count(node_id: str) -> list:  # noqa: WPS430
            updates = choose_updates(node_id)
            self.update_bytes += sum(map(_encoded_bytes, updates))
            return updates

        node.swim.updates_for = choose_and_count
        return node

    def drain_rates(self) -> Point:
        """Return the rates per node since the last call; include full exchanges."""
        now = (
            self.now_ms,
            self.messages,
            self.cross_region_messages,
            self.update_bytes,
        )
        seconds, *counts = (
            new - old for new, old in zip(now, self._previous_counts, strict=True)
        )
        self._previous_counts = now
        scale = MS_PER_S / seconds / len(self.running())
        names = ('messages', 'messages_across', 'update_bytes')
        rates = {
            f'{name}_per_node_s': count * scale
            for name, count in zip(names, counts, strict=True)
        }
        return {'seconds': seconds / MS_PER_S, 'messages': counts[0]} | rates

    def _deliver(self, sender: LogicalNode, receiver: LogicalNode, action) -> None:
        self.messages += 1
        self.cross_region_messages += sender.region != receiver.region
        super()._deliver(sender, receiver, action)


def _encoded_bytes(member) -> int:
    return member_codec.to_update(member).ByteSize()


def run(seeds: int) -> dict:
    """Measure all sizes.

    Args:
        seeds: Seed of the network; only one run is made, since it takes minutes.
    """
    with ProcessPoolExecutor(len(SIZES) * 2) as pool:
        zones = [pool.submit(zone_loss, size, seeds) for size in SIZES]
        splits = [pool.submit(region_split, size, seeds) for size in SIZES]
        return {
            'bench': 'losses',
            'load_average': os.getloadavg(),
            'zone_loss': [future.result() for future in zones],
            'region_split': [future.result() for future in splits],
        }


def build(size: int, seed: int) -> CountingNetwork:
    """Return a network in which every node knows all others."""
    network = CountingNetwork(seed)
    for number in range(size):
        zone = number % ZONES
        region = f'r{zone % REGIONS}'
        network.add(f'n{number}', region, f'z{zone}', f'10.0.{number}')
    members = [node.table.own for node in network.running()]
    for node in network.running():
        node.swim.on_table(members, 0)
    return network


def zone_loss(size: int, seed: int) -> dict:
    """Stop all nodes of a zone and run until all others have detected it."""
    network = build(size, seed)
    network.run(STEADY_S * MS_PER_S)
    steady_rates = network.drain_rates()
    lost_ids = {node.own_id for node in network.running() if node.zone == 'z0'}
    for node_id in lost_ids:
        network.stop(node_id)
    until_agreed_s = seconds_until(network, lost_ids, DEPARTED)
    return {
        'members': size,
        'lost': len(lost_ids),
        'calm': steady_rates,
        'until_agreed_s': until_agreed_s,
        'until_agreed': network.drain_rates(),
        'wrong_deaths': sum(dead_id not in lost_ids for _, dead_id in network.deaths),
    }


def region_split(size: int, seed: int) -> dict:
    """Cut the links between the regions for a while, then restore them."""
    network = build(size, seed)
    network.run(STEADY_S * MS_PER_S)
    steady_rates = network.drain_rates()
    network.cut_regions.add(frozenset(('r0', 'r1')))
    network.run(CUT_S * MS_PER_S)
    cut_rates = network.drain_rates()
    network.cut_regions.clear()
    node_ids = set(network.nodes)
    until_joined_s = seconds_until(network, node_ids, {MemberStatus.alive})
    return {
        'members': size,
        'calm': steady_rates,
        'cut': cut_rates,
        'until_joined_s': until_joined_s,
        'until_joined': network.drain_rates(),
    }


def seconds_until(network: CountingNetwork, node_ids: set, statuses: set) -> int | None:
    """Run until ``sees_all`` holds; return the seconds, None after the time limit."""
    for elapsed_s in range(TIME_LIMIT_S):
        if sees_all(network, node_ids, statuses):
            return elapsed_s
        network.run(MS_PER_S)
    return None


def sees_all(network: CountingNetwork, node_ids: set, statuses: set) -> bool:
    """Return whether every running node sees all members in one of the statuses."""
    views = network.views().values()
    return all(view[node_id] in statuses for view in views for node_id in node_ids)
