"""Spreads the version of the rules among nodes.

The followers of the source learn of a change first. Each node that puts a version in
force announces it to some nodes of its region, and followers to some of other regions; a
node that does not know the version requests it from the announcer.

A source that was restored from an older copy may hold rules that were replaced. Nodes that
run have kept the newer ones, so a process that starts asks some of them first.
"""

import asyncio

from gentianmill.node_table import NodeRecord
from gentianmill.relay_messages import RulesRequest
from gentianmill.route_rules import RuleSet
from gentianmill_mesh.random_peers import RandomPeers
from gentianmill_mesh.relay_links import RelayLinks
from gentianmill_mesh.rules_holder import RulesHolder
from gentianmill_mesh.store_following import StoreFollowing
from gentianmill_mesh.time_limit import within
from gentianmill_node.background import spawn
from gentianmill_node.logs import component

__all__ = ('FirstRules', 'RulesGossip')

FANOUT = 3
"""Nodes of the region to which each node announces a version; about 1 in 20 is missed,
and learns of it from the next answer of a node that knows it."""

REMOTE_FANOUT = 2
"""Nodes of other regions to which a follower announces a version, for regions whose own
followers can't reach the source."""


CHECK_WITHIN_S = 1.0
"""Time for the check, as for what else a start asks; nodes that are down don't answer."""

ASKED = 5
"""Nodes that are asked: with the loss of a zone, some remain."""

ENOUGH_ANSWERS = 2
"""Nodes with rules that must have answered; a confirmed version is in force at all."""

PAUSE_S = 0.05

log = component('rules')


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


class FirstRules:
    """Ask other nodes for newer rules than those that the source holds at a start."""

    def __init__(
        self,
        peers: RandomPeers,
        links: RelayLinks,
        rules: RulesHolder,
        following: StoreFollowing,
    ) -> None:
        """Create a check that has not begun.

        Args:
            peers: Chooses the nodes that are asked.
            links: Links to the other nodes.
            rules: Holder of the rules, which gets newer ones.
            following: Counts the answers.
        """
        self._peers = peers
        self._links = links
        self._rules = rules
        self._following = following

    async def check(self, version: int) -> None:
        """Return when others have answered, or after ``CHECK_WITHIN_S``.

        Args:
            version: Version of the source's rules.
        """
        try:
            await within(self._ask(version), CHECK_WITHIN_S)
        except TimeoutError:
            log.info('Rules not checked with other nodes.', version=version)

    async def _ask(self, version: int) -> None:
        asked: set[str] = set()
        while not self._is_answered(len(asked)):
            for record in self._peers.choose(ASKED):
                if record.name not in asked and len(asked) < ASKED:
                    asked.add(record.name)
                    request = RulesRequest(version, wants_status=True)
                    link = self._links.to(record)
                    spawn(link.ask_status(request), 'ask for newer rules')
            await asyncio.sleep(PAUSE_S)

    def _is_answered(self, asked: int) -> bool:
        if self._rules.rules is not None:
            return True
        return self._following.answers >= ENOUGH_ANSWERS or (
            0 < asked <= self._following.answers
        )
