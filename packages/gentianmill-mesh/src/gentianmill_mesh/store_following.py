"""Follows the platform's store together with the other nodes.

A few nodes, the followers, ask the store for changes. Each answer between nodes tells how
recently the sender's rules and node records were known to be the newest, so that the
others know it, too, without asking. A node that hears nothing for a while asks a
follower, and then the store.
"""

import asyncio
import math
import random
from collections.abc import Callable

from gentianmill.clock import Clock
from gentianmill.confirmed import UNKNOWN_AGE_MS, Confirmed
from gentianmill.followers import FollowerChoice
from gentianmill.node_table import NodeRecord, NodeTable
from gentianmill.poll_turn import Freshness, PollTurn, TurnAction, TurnSettings
from gentianmill.relay_messages import FreshnessStatus, RulesRequest
from gentianmill_mesh.ports import PollTurns
from gentianmill_mesh.relay_links import RelayLinks
from gentianmill_mesh.rules_holder import RulesHolder
from gentianmill_node.background import spawn

__all__ = ('NODES_TURNS', 'RULES_TURNS', 'StoreFollowing')

RULES_TURNS = TurnSettings(
    confirm_within_ms=3000,
    follower_pause_ms=0,
    mismatch_ms=math.inf,
    max_mismatch_ms=math.inf,
)
"""Followers wait for changes, at most 2.5 s a poll, so that confirmations are younger.
Newer rules are told as such, so there is no mismatch to wait for."""

NODES_TURNS = TurnSettings(
    confirm_within_ms=15_000,
    follower_pause_ms=5000,
    mismatch_ms=3000,
    max_mismatch_ms=12_000,
)
"""The store keeps its history for 20 s. Gossip brings changes within a second."""


URGENT_AGE_MS = 1000.0
"""Age of the last confirmation from which a poll must not wait for a change: a node that
has just become a follower would otherwise confirm nothing until its first poll ends."""

CHOICE_MS = 500.0
"""Time for which the choice of followers is kept, as it takes a pass over all records."""


class StoreFollowing:
    """Know how recent this node's rules and node records are, and tell others."""

    def __init__(
        self,
        own: NodeRecord,
        table: NodeTable,
        links: RelayLinks,
        rules: RulesHolder,
        clock: Clock,
    ) -> None:
        """Create a state in which nothing is confirmed.

        Args:
            own: Record of this node.
            table: Records of all nodes.
            links: Links to the other nodes.
            rules: Rules in force.
            clock: Clock of the node.
        """
        self._own = own
        self._table = table
        self._links = links
        self._rules = rules
        self._clock = clock
        self._created_ms = clock.now_ms()
        self._choice = FollowerChoice(own.name)
        self._rng = random.Random()  # noqa: S311
        self._confirmed_rules = Confirmed()
        self._rules_from_others = Confirmed()
        self._confirmed_nodes = Confirmed()
        self._mismatch_since_ms: float | None = None
        self._chosen: list[NodeRecord] = []
        self._chosen_ms = -math.inf
        self._rules_turns = _Turns(
            RULES_TURNS, self, self.rules_freshness, self._confirmed_rules
        )
        self._nodes_turns = _Turns(
            NODES_TURNS, self, self.nodes_freshness, self._confirmed_nodes
        )

    @property
    def rules_turns(self) -> PollTurns:
        """Return the turns to poll the source of the rules."""
        return self._rules_turns

    @property
    def nodes_turns(self) -> PollTurns:
        """Return the turns to poll the registry."""
        return self._nodes_turns

    @property
    def is_follower(self) -> bool:
        """Return whether this node asks the store on behalf of others."""
        return any(record.name == self._own.name for record in self._followers())

    @property
    def rules_age_ms(self) -> float:
        """Return the time since the rules were known to be the newest, in ms."""
        return self._confirmed_rules.age_ms(self.now_ms)

    @property
    def now_ms(self) -> float:
        """Return the current time."""
        return self._clock.now_ms()

    def status(self) -> FreshnessStatus:
        """Return what other nodes are told."""
        now_ms = self.now_ms
        rules_age_ms = self._confirmed_rules.wire_age_ms(now_ms)
        if self._rules.is_withheld:
            # Others would serve them on the word of this node, which does not.
            rules_age_ms = UNKNOWN_AGE_MS
        return FreshnessStatus(
            rules_version=self._rules.version,
            rules_age_ms=rules_age_ms,
            nodes_digest=self._table.digest,
            nodes_age_ms=self._confirmed_nodes.wire_age_ms(now_ms),
        )

    def on_status(self, status: FreshnessStatus, sent_ms: float) -> None:
        """Apply what another node tells; a negative age confirms nothing.

        Args:
            status: What it knows.
            sent_ms: A time, by the clock of this node, before which it was not sent.
        """
        if status.rules_age_ms >= 0:
            as_of_ms = sent_ms - status.rules_age_ms
            if status.rules_version == self._rules.version:
                self._confirmed_rules.confirm(as_of_ms)
                self._rules_from_others.confirm(as_of_ms)
                # What was the newest before the start may miss what an earlier process of
                # this node had in force.
                if as_of_ms >= self._created_ms:
                    self._rules.confirm_newest()
        if status.nodes_age_ms >= 0:
            self._on_nodes(status.nodes_digest, sent_ms - status.nodes_age_ms)

    def rules_freshness(self) -> Freshness:
        """Return what others say about the rules; one that is alone must poll on."""
        age_ms = self._rules_from_others.age_ms(self.now_ms)
        return Freshness(age_ms, 0, self.is_follower)

    def nodes_freshness(self) -> Freshness:
        """Return what this node knows about the node records."""
        now_ms = self.now_ms
        since_ms = self._mismatch_since_ms
        mismatch_ms = 0 if since_ms is None else now_ms - since_ms
        age_ms = self._confirmed_nodes.age_ms(now_ms)
        return Freshness(age_ms, mismatch_ms, self.is_follower)

    def rules_confirmed(self, as_of_ms: float) -> None:
        """Record that the source had no newer rules at a time."""
        if self._confirmed_rules.as_of_ms == -math.inf:
            # A node that has just started waits for others to find it.
            self._rules_from_others.confirm(as_of_ms)
        self._confirmed_rules.confirm(as_of_ms)

    def nodes_confirmed(self, as_of_ms: float) -> None:
        """Record that the registry had no other records at a time."""
        self._confirmed_nodes.confirm(as_of_ms)
        self._mismatch_since_ms = None

    def ask_follower(self) -> None:
        """Ask a follower for its status; it is applied when it arrives."""
        followers = [
            record for record in self._followers() if record.name != self._own.name
        ]
        if followers:
            link = self._links.to(self._rng.choice(followers))
            request = RulesRequest(
                self._rules.version, wants_status=True, nodes_digest=self._table.digest
            )
            spawn(link.ask_status(request), 'ask follower')

    def check(self) -> None:
        """End the waits for polls that are due; call it regularly."""
        self._rules_turns.check()
        self._nodes_turns.check()
        if self._rules.is_withheld:
            # A follower asks nobody else, and would serve nothing while the store is away.
            self.ask_follower()

    def _on_nodes(self, digest: int, as_of_ms: float) -> None:
        if digest == self._table.digest:
            self.nodes_confirmed(as_of_ms)
        elif self._mismatch_since_ms is None:
            if as_of_ms > self._confirmed_nodes.as_of_ms:
                self._mismatch_since_ms = self.now_ms

    def _followers(self) -> list[NodeRecord]:
        now_ms = self.now_ms
        if now_ms - self._chosen_ms >= CHOICE_MS:
            self._chosen_ms = now_ms
            self._chosen = self._choice.followers(
                self._own.region, self._table.records, self._links.reaches
            )
        return self._chosen


class _Turns(PollTurns):
    """Wait until a poll is due."""

    def __init__(
        self,
        settings: TurnSettings,
        following: StoreFollowing,
        freshness: Callable[[], Freshness],
        confirmed: Confirmed,
    ) -> None:
        self._turn = PollTurn(settings, random.Random())  # noqa: S311
        self._following = following
        self._freshness = freshness
        self._confirmed = confirmed
        self._due: asyncio.Future[None] | None = None

    @property
    def is_urgent(self) -> bool:
        """Return whether the last confirmation is so old that a new one is needed now."""
        return self._confirmed.age_ms(self._following.now_ms) > URGENT_AGE_MS

    async def until_due(self) -> None:
        """Wait until this node must poll."""
        self._turn.begin(self._following.now_ms)
        self._due = asyncio.get_running_loop().create_future()
        self.check()
        try:
            await self._due
        finally:
            self._due = None

    def check(self) -> None:
        """End the wait if the poll is due."""
        if self._due is None or self._due.done():
            return
        action = self._turn.decide(self._following.now_ms, self._freshness())
        if action is TurnAction.ask_follower:
            self._following.ask_follower()
        elif action is TurnAction.poll:
            self._due.set_result(None)
