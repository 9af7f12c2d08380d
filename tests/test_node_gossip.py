"""Tests of spreading node records by gossip."""

import asyncio
import dataclasses
import random

from gentianmill.node_table import NodeRecord, NodeState, NodeTable
from gentianmill.relay_messages import NodeEntry, NodeNews
from gentianmill_mesh.node_gossip import FIRST_FANOUT, NodeGossip
from gentianmill_mesh.random_peers import RandomPeers
from gentianmill_mesh.relay_codec import decode, encode
from node_records import node_record

NODES = 200
SEEDS = range(5)
MIN_SHARE = 0.9
"""With a fanout of three, gossip reaches about 94 of 100 nodes (Demers)."""


def _record(number: int, revision: int = 1) -> NodeRecord:
    return node_record(f'n{number}', revision=revision)


class _Network:
    """Nodes whose frames are delivered at once."""

    def __init__(self, count: int, rng: random.Random) -> None:
        """Create nodes that know each other."""
        self.frames = 0
        self.unreachable: set[str] = set()
        self.tables = [NodeTable() for _ in range(count)]
        records = [_record(number) for number in range(count)]
        for table in self.tables:
            table.merge(records)
        self.gossips = {
            record.name: NodeGossip(
                table, self, RandomPeers(record.name, table, self, rng)
            )
            for record, table in zip(records, self.tables, strict=True)
        }

    def to(self, record: NodeRecord) -> '_Link':
        """Return the link to a node."""
        return _Link(self, record.name)

    def reaches(self, record: NodeRecord) -> bool:
        """Return whether a node is not known to be unreachable."""
        return record.name not in self.unreachable

    def is_connected(self, _record: NodeRecord) -> bool:
        """Return that all links are open."""
        return True


class _Link:
    def __init__(self, network: _Network, name: str) -> None:
        self._network = network
        self._name = name

    async def post(self, message: NodeNews) -> None:
        """Deliver a frame after encoding and decoding it as on the wire."""
        self._network.frames += 1
        self._network.gossips[self._name].apply(decode(encode(message), 'peer'))


def _announce(network: _Network, record: NodeRecord) -> int:
    """Announce a record and return how many nodes know it then."""

    _announce_from(network, record.name, record)
    return sum(table.find(record.name) == record for table in network.tables)


def _announce_from(network: _Network, origin: str, record: NodeRecord) -> None:
    async def scenario() -> None:
        network.gossips[origin].announce(record)
        while len(asyncio.all_tasks()) > 1:
            await asyncio.sleep(0)

    asyncio.run(scenario())


def test_most_nodes_learn_of_a_change_at_once():
    """A new upstream that others do not know gets no work."""
    for seed in SEEDS:
        network = _Network(NODES, random.Random(seed))
        assert _announce(network, _record(0, 2)) >= NODES * MIN_SHARE


def test_known_records_are_not_forwarded_again():
    """Gossip that never ends would load all links."""
    network = _Network(NODES, random.Random(1))
    _announce(network, _record(0, 2))
    frames = network.frames
    assert _announce(network, _record(0, 2)) >= NODES * MIN_SHARE
    assert network.frames - frames <= FIRST_FANOUT + NODES * (1 - MIN_SHARE) * 3


def test_late_records_do_not_replace_newer_ones():
    """A record that is delivered late would bring a stopped node back."""
    network = _Network(3, random.Random(1))
    newer = dataclasses.replace(_record(0, 5), state=NodeState.leaving)
    _announce(network, newer)
    _announce_from(network, 'n1', _record(0, 4))
    assert all(table.find('n0') == newer for table in network.tables)


def test_unreadable_records_are_skipped():
    """A node of a later version may name a state that this one does not know."""
    network = _Network(2, random.Random(1))
    message = NodeNews([])
    for state in ('dancing', 'leaving'):
        entry = {**dataclasses.asdict(_record(0, 7)), 'state': state}
        message.entries.append(NodeEntry(**entry))

    async def scenario() -> None:
        network.gossips['n1'].apply(message)

    asyncio.run(scenario())
    assert network.tables[1].find('n0').state is NodeState.leaving
