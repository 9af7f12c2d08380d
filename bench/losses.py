"""Count what the loss of a zone and a split between regions cost in messages.

The real SWIM state machines run on the logical network of the tests, so the
figures do not depend on the load of the machine. Region links are cut for a short
time only; the rate of messages during a cut is extrapolated to an hour. A run takes
about four minutes.
"""

import os
from concurrent.futures import ProcessPoolExecutor

from swim_network import LogicalNetwork, LogicalNode

from gentianmill import member_codec
from gentianmill.member import MemberStatus

SIZES = (100, 300, 610)
ZONES = 6
REGIONS = 2
CALM_S = 15
CUT_S = 45
LIMIT_S = 60
MS_PER_S = 1000
GONE = frozenset((MemberStatus.dead, MemberStatus.left))

Point = dict[str, float]


class CountingNetwork(LogicalNetwork):
    """A network that counts messages and the bytes of their updates."""

    def __init__(self, seed: int) -> None:
        """Create a network without nodes."""
        super().__init__(seed)
        self.messages = 0
        self.across = 0
        self.update_bytes = 0
        self._last = (float(), 0, 0, 0)

    def add(self, *args: str, **options: int) -> LogicalNode:
        """Add a node and count the updates that it sends."""
        node = super().add(*args, **options)
        choose = node.swim.updates_for

        def counted(node_id: str) -> list:  # noqa: WPS430
            updates = choose(node_id)
            self.update_bytes += sum(map(_size, updates))
            return updates

        node.swim.updates_for = counted
        return node

    def take(self) -> Point:
        """Return the rates per node since the last call, full exchanges included."""
        now = (self.now_ms, self.messages, self.across, self.update_bytes)
        seconds, *counts = (new - old for new, old in zip(now, self._last, strict=True))
        self._last = now
        scale = MS_PER_S / seconds / len(self.running())
        names = ('messages', 'messages_across', 'update_bytes')
        rates = {
            f'{name}_per_node_s': count * scale
            for name, count in zip(names, counts, strict=True)
        }
        return {'seconds': seconds / MS_PER_S, 'messages': counts[0]} | rates

    def _deliver(self, sender: LogicalNode, receiver: LogicalNode, action) -> None:
        self.messages += 1
        self.across += sender.region != receiver.region
        super()._deliver(sender, receiver, action)


def _size(member) -> int:
    return member_codec.to_update(member).ByteSize()


def run(seeds: int) -> dict:
    """Measure all sizes.

    Args:
        seeds: Seed of the network; one run is made, since it takes long.
    """
    with ProcessPoolExecutor(len(SIZES) * 2) as pool:
        zones = [pool.submit(zone_loss, size, seeds) for size in SIZES]
        splits = [pool.submit(region_split, size, seeds) for size in SIZES]
        return {
            'bench': 'losses',
            'load_average': os.getloadavg(),
            'zone_loss': [point.result() for point in zones],
            'region_split': [point.result() for point in splits],
        }


def build(size: int, seed: int) -> CountingNetwork:
    """Return a network whose nodes know each other."""
    network = CountingNetwork(seed)
    for number in range(size):
        zone = number % ZONES
        region = f'r{zone % REGIONS}'
        network.add(f'n{number}', region, f'z{zone}', f'10.0.{number}')
    everyone = [node.table.own for node in network.running()]
    for node in network.running():
        node.swim.on_table(everyone, 0)
    return network


def zone_loss(size: int, seed: int) -> dict:
    """Stop all nodes of a zone and run until all others know it."""
    network = build(size, seed)
    network.run(CALM_S * MS_PER_S)
    calm = network.take()
    lost = {node.own_id for node in network.running() if node.zone == 'z0'}
    for node_id in lost:
        network.stop(node_id)
    until_agreed_s = seconds_until(network, lost, GONE)
    return {
        'members': size,
        'lost': len(lost),
        'calm': calm,
        'until_agreed_s': until_agreed_s,
        'until_agreed': network.take(),
        'wrong_deaths': sum(victim not in lost for _, victim in network.deaths),
    }


def region_split(size: int, seed: int) -> dict:
    """Cut the regions from each other for a while, then join them."""
    network = build(size, seed)
    network.run(CALM_S * MS_PER_S)
    calm = network.take()
    network.cut_regions.add(frozenset(('r0', 'r1')))
    network.run(CUT_S * MS_PER_S)
    cut = network.take()
    network.cut_regions.clear()
    everyone = set(network.nodes)
    until_joined_s = seconds_until(network, everyone, {MemberStatus.alive})
    return {
        'members': size,
        'calm': calm,
        'cut': cut,
        'until_joined_s': until_joined_s,
        'until_joined': network.take(),
    }


def seconds_until(network: CountingNetwork, node_ids: set, wanted: set) -> int | None:
    """Run until all nodes see members in a wanted status; None past the limit."""
    for elapsed_s in range(LIMIT_S):
        if sees_all(network, node_ids, wanted):
            return elapsed_s
        network.run(MS_PER_S)
    return None


def sees_all(network: CountingNetwork, node_ids: set, wanted: set) -> bool:
    """Return whether all running nodes see the members in a wanted status."""
    views = network.views().values()
    return all(view[node_id] in wanted for view in views for node_id in node_ids)
