"""Spreads changed node records by gossip.

The registry stores the records. Its calls cost money, and if each node watched it,
each change would cost one call per node. So the node whose record was accepted sends
it to some others, and each receiver that did not have it yet sends it to a few more
(rumour mongering; Demers and others, "Epidemic Algorithms for Replicated Database
Maintenance", 1987). A node that the gossip misses gets the record at its next poll.
"""

from collections.abc import Callable, Sequence

import msgspec

from gentianmill.node_record_codec import check_record
from gentianmill.node_table import NodeRecord, NodeTable
from gentianmill.relay_messages import NodeEntry, NodeNews
from gentianmill_mesh.random_peers import RandomPeers
from gentianmill_mesh.relay_links import RelayLinks
from gentianmill_node.background import spawn
from gentianmill_node.logs import component

FIRST_FANOUT = 12
"""Nodes to which the origin sends a record."""

NEXT_FANOUT = 3
"""Nodes to which each receiver sends a new record; about 1 in 20 nodes is missed."""

MAX_LATEST = 32
"""Records that are sent to a node that lacks some: more than change within the seconds in
which a difference is found, about 3 KB."""

log = component('gossip')


class NodeGossip:
    """Spread records among nodes."""

    def __init__(
        self,
        table: NodeTable,
        links: RelayLinks,
        peers: RandomPeers,
        on_records: Callable[[Sequence[NodeRecord]], None] | None = None,
    ) -> None:
        """Create a gossip that has sent nothing yet.

        Args:
            table: Node records known to this node.
            links: Links to the other nodes.
            peers: Chooses the receivers.
            on_records: Called with the records that another node sends.
        """
        self._on_records = on_records
        self._table = table
        self._links = links
        self._peers = peers

    def announce(self, record: NodeRecord) -> None:
        """Spread a record that the registry has just accepted.

        Args:
            record: Record of this node, with the revision that the registry gave it.
        """
        self._table.merge([record])
        self._send([record], FIRST_FANOUT)

    def apply(self, update: NodeNews) -> None:
        """Merge records from another node, and forward those that are new."""
        records = []
        for entry in update.entries:
            try:
                records.append(check_record(entry))
            except ValueError as error:
                log.warning(
                    'Node record not readable.', node=entry.name, error=str(error)
                )
        changed = self._table.merge(records)
        for record in changed:
            log.info(
                'Node changed.',
                node=record.name,
                state=record.state.value,
                service=record.service,
                revision=record.revision,
            )
        if self._on_records is not None:
            self._on_records(records)
        if changed:
            self._send(changed, NEXT_FANOUT)

    def latest_for(self, digest: int) -> NodeNews | None:
        """Return the records that changed last, for a node that lacks some.

        Args:
            digest: Digest of the records that it knows; nothing is sent if it is the own.
        """
        if digest == self._table.digest:
            return None
        return NodeNews([_entry(record) for record in self._table.latest(MAX_LATEST)])

    def _send(self, records: Sequence[NodeRecord], fanout: int) -> None:
        update = NodeNews([_entry(record) for record in records])
        for node in self._peers.choose(fanout):
            spawn(self._links.to(node).post(update), 'send records')


def _entry(record: NodeRecord) -> NodeEntry:
    return msgspec.convert(record, NodeEntry, from_attributes=True)
