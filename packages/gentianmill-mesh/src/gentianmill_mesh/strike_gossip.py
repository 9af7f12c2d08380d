"""Spreads which requests were lost in crashes.

All nodes know them: guards, which refuse such a request, entries, which need not send it,
and the nodes of other services, which tell a guard that has restarted. A crash is rare, so
that rumour mongering among all nodes costs little (see ``node_gossip``).
"""

from collections.abc import Iterable

from gentianmill.crash_strikes import StrikeRecord
from gentianmill.node_table import NodeTable
from gentianmill.relay_messages import CrashNews, StrikeEntry, StrikeNews
from gentianmill_mesh.crash_watch import CrashWatch
from gentianmill_mesh.random_peers import RandomPeers
from gentianmill_mesh.relay_links import RelayLinks
from gentianmill_node.background import spawn
from gentianmill_node.logs import component

__all__ = ('StrikeGossip', 'to_entries')

FIRST_FANOUT = 12
"""Nodes to which the origin sends its news, beside the guards of its service."""

NEXT_FANOUT = 3
"""Nodes to which each receiver passes on what it did not know."""

MAX_ENTRIES = 256
"""Requests in one message, some 20 KB; a crash rarely loses more than an upstream runs."""

log = component('gossip')


class StrikeGossip:
    """Tell other nodes of requests that were lost in crashes."""

    def __init__(
        self,
        service: str,
        crashes: CrashWatch,
        table: NodeTable,
        links: RelayLinks,
        peers: RandomPeers,
    ) -> None:
        """Create a gossip that has sent nothing yet.

        Args:
            service: Service of this node's upstream.
            crashes: Knows the requests.
            table: Records of all nodes.
            links: Links to the other nodes.
            peers: Chooses the receivers.
        """
        self._service = service
        self._crashes = crashes
        self._table = table
        self._links = links
        self._peers = peers
        crashes.set_announcer(self.announce)

    def announce(self, records: Iterable[StrikeRecord]) -> None:
        """Tell the guards of the service, and some other nodes."""
        guards = self._table.of_service(self._service)
        receivers = {record.name: record for record in self._peers.choose(FIRST_FANOUT)}
        receivers.update((guard.name, guard) for guard in guards)
        self._send(records, receivers.values())

    def apply(self, update: StrikeNews) -> None:
        """Join what another node tells, and pass on what is news."""
        news = self._crashes.merge(update.entries)
        if news:
            log.info('Requests lost in crashes.', count=len(news))
            self._send(news, self._peers.choose(NEXT_FANOUT))

    def apply_uncounted(self, update: CrashNews) -> None:
        """Join what a node of protocol 1 tells, which does not number crashes."""
        if not update.cleared:
            self._crashes.merge_crash(update.digests)

    def _send(self, records: Iterable[StrikeRecord], receivers: Iterable) -> None:
        update = StrikeNews(to_entries(records)[:MAX_ENTRIES])
        for receiver in receivers:
            if receiver.name != self._peers.own_name:
                spawn(self._links.to(receiver).post(update), 'tell crashes')


def to_entries(records: Iterable[StrikeRecord]) -> list[StrikeEntry]:
    """Return records in the form of a frame."""
    return [
        StrikeEntry(record.digest, list(record.crashes), list(record.cleared))
        for record in records
    ]
