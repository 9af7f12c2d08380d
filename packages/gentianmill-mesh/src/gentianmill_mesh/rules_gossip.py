"""Spreads the version of the rules among nodes.

The followers of the source learn of a change first. Each node that puts a version in
force announces it to some nodes of its region, and followers to some of other regions; a
node that does not know the version requests it from the announcer.
"""

from gentianmill.node_table import NodeRecord
from gentianmill.relay_messages import RulesRequest
from gentianmill.route_rules import RuleSet
from gentianmill_mesh.random_peers import RandomPeers
from gentianmill_mesh.relay_links import RelayLinks
from gentianmill_mesh.store_following import StoreFollowing
from gentianmill_node.background import spawn

__all__ = ('RulesGossip',)

FANOUT = 3
"""Nodes of the region to which each node announces a version; about 1 in 20 is missed,
and learns of it from the next answer of a node that knows it."""

REMOTE_FANOUT = 2
"""Nodes of other regions to which a follower announces a version, for regions whose own
followers can't reach the source."""


class RulesGossip:
    """Announce versions of the rules to other nodes."""

    def __init__(
        self,
        peers: RandomPeers,
        links: RelayLinks,
        region: str,
        following: StoreFollowing,
    ) -> None:
        """Create a gossip that has announced nothing yet.

        Args:
            peers: Chooses the receivers.
            links: Links to the other nodes.
            region: Region of this node.
            following: Tells whether this node is a follower.
        """
        self._peers = peers
        self._links = links
        self._region = region
        self._following = following

    def announce(self, rules: RuleSet) -> None:
        """Announce the version of rules that have just come into force."""
        receivers = self._peers.choose(FANOUT, self._is_near)
        if self._following.is_follower:
            receivers.extend(self._peers.choose(REMOTE_FANOUT, self._is_remote))
        announcement = RulesRequest(rules.version)
        for record in receivers:
            spawn(self._links.to(record).post(announcement), 'announce rules')

    def _is_near(self, record: NodeRecord) -> bool:
        return record.region == self._region

    def _is_remote(self, record: NodeRecord) -> bool:
        return record.region != self._region
