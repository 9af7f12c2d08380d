"""Spreads the version of the rules among nodes.

Each node follows the source of the rules itself. A node whose wait on the source is lost,
or that the source turns away, learns of a change from the others: each node that puts a
version in force announces it to some nodes, and one that does not get the version from
its source soon requests it from the announcer.
"""

from gentianmill.relay_messages import RulesRequest
from gentianmill.route_rules import RuleSet
from gentianmill_mesh.random_peers import RandomPeers
from gentianmill_mesh.relay_links import RelayLinks
from gentianmill_node.background import spawn

__all__ = ('RulesGossip',)

FANOUT = 3
"""Nodes to which each node announces a version; about 1 in 20 nodes is missed."""


class RulesGossip:
    """Announce versions of the rules to other nodes."""

    def __init__(self, peers: RandomPeers, links: RelayLinks) -> None:
        """Create a gossip that has announced nothing yet.

        Args:
            peers: Chooses the receivers.
            links: Links to the other nodes.
        """
        self._peers = peers
        self._links = links

    def announce(self, rules: RuleSet) -> None:
        """Announce the version of rules that have just come into force."""
        announcement = RulesRequest(rules.version)
        for record in self._peers.choose(FANOUT):
            spawn(self._links.to(record).post(announcement), 'announce rules')
