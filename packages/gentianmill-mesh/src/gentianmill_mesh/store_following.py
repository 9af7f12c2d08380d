"""Follows the platform's store together with the other nodes.

A few nodes, the followers, ask the store for changes. Each answer between nodes tells how
recently the sender's rules and node records were known to be the newest, so that the
others know it, too, without asking. A node that hears nothing for a while asks a
follower, and then the store.
"""

import asyncio
import math
import random
import time
from collections.abc import Callable

from gentianmill.clock import NS_PER_MS, Clock
from gentianmill.confirmed import MAX_AGE_MS, UNKNOWN_AGE_MS, Confirmed
from gentianmill.followers import FollowerChoice, SilentFollowers
from gentianmill.node_table import NodeRecord, NodeTable
from gentianmill.poll_turn import (
    CHECK_MS,
    Freshness,
    OpenPoll,
    PollTurn,
    TurnAction,
    TurnSettings,
    slot_wait_ms,
    turns_within,
)
from gentianmill.relay_messages import FreshnessStatus, RulesRequest
from gentianmill_mesh.ports import PollTurns
from gentianmill_mesh.relay_links import RelayLinks
from gentianmill_mesh.rules_holder import RulesHolder
from gentianmill_node.background import spawn
from gentianmill_node.logs import component

__all__ = ('CHECK_S', 'NODES_TURNS', 'StoreFollowing')

NODES_TURNS = TurnSettings(
    confirm_within_ms=15_000,
    follower_pause_ms=5000,
    mismatch_ms=3000,
    max_mismatch_ms=12_000,
)
"""The store keeps its history for 20 s. Gossip brings changes within a second."""

CHECK_S = CHECK_MS / 1000
"""Interval at which ``StoreFollowing.check`` must be called."""

APPLY_WITHIN_MS = 9000.0
"""Time in which a change must be in force if the settings name none."""

URGENT_AGE_MS = 1000.0
"""Age of the last confirmation from which a poll must not wait for a change: a node that
has just become a follower would otherwise confirm nothing until its first poll ends."""

CHOICE_MS = 500.0
"""Time for which the choice of followers is kept, as it takes a pass over all records."""


log = component('following')


class StoreFollowing:
    """Know how recent this node's rules and node records are, and tell others."""

    def __init__(
        self,
        own: NodeRecord,
        table: NodeTable,
        links: RelayLinks,
        rules: RulesHolder,
        clock: Clock,
        apply_within_ms: float = APPLY_WITHIN_MS,
    ) -> None:
        """Create a state in which nothing is confirmed.

        Args:
            own: Record of this node.
            table: Records of all nodes.
            links: Links to the other nodes.
            rules: Rules in force.
            clock: Clock of the node.
            apply_within_ms: Time in which a change of the rules must be in force.
        """
        self._own = own
        self._table = table
        self._links = links
        self._rules = rules
        self._clock = clock
        self._created_ms = clock.now_ms()
        self._choice = FollowerChoice(own.name)
        self._silent = SilentFollowers()
        self._answers = 0
        self._asked: set[str] = set()
        self._confirmed_rules = Confirmed()
        self._rules_from_others = Confirmed()
        self._confirmed_nodes = Confirmed()
        self._mismatch_since_ms: float | None = None
        self._chosen: list[NodeRecord] = []
        self._chosen_ms = -math.inf
        self._rules_turns = _Turns(
            turns_within(apply_within_ms),
            own.name,
            self,
            self.rules_freshness,
            self._confirmed_rules,
        )
        self._nodes_turns = _Turns(
            NODES_TURNS, own.name, self, self.nodes_freshness, self._confirmed_nodes
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
    def chosen_followers(self) -> list[NodeRecord]:
        """Return the followers of this node's region, as far as it knows."""
        now_ms = self.now_ms
        if now_ms - self._chosen_ms >= CHOICE_MS:
            self._chosen_ms = now_ms
            self._chosen = self._choice.followers(
                self._own.region, self._table.records, self._is_usable
            )
        return self._chosen

    @property
    def is_follower(self) -> bool:
        """Return whether this node asks the store on behalf of others."""
        return any(record.name == self._own.name for record in self.chosen_followers)

    @property
    def rules_age_ms(self) -> float:
        """Return the time since the rules were known to be the newest, in ms."""
        return self._confirmed_rules.age_ms(self.now_ms)

    @property
    def answers(self) -> int:
        """Return how many statuses of nodes that have rules were received."""
        return self._answers

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
        self._answers += status.rules_version >= 0
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
        """Ask the followers for their status; it is applied when it arrives."""
        request = RulesRequest(
            self._rules.version, wants_status=True, nodes_digest=self._table.digest
        )
        others = self._other_followers()
        self._asked = {record.name for record in others}
        for record in others:
            spawn(self._links.to(record).ask_status(request), 'ask follower')

    def replace_followers(self, age_ms: float) -> None:
        """Choose other followers, as those that were asked knew nothing newer.

        Args:
            age_ms: Age of the last confirmation.
        """
        others = {record.name for record in self._other_followers()}
        # Followers chosen since the question may have news.
        names = sorted(others & self._asked)
        if names:
            # One line for each outage, in which followers are replaced again and again.
            if self._silent.mark(names, self.now_ms):
                age_ms = min(age_ms, MAX_AGE_MS)
                log.info('Followers without news.', names=names, age_ms=round(age_ms))
            self._chosen_ms = -math.inf

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

    def _other_followers(self) -> list[NodeRecord]:
        own = self._own.name
        return [record for record in self.chosen_followers if record.name != own]

    def _is_usable(self, record: NodeRecord) -> bool:
        is_silent = self._silent.has(record.name, self.now_ms)
        return self._links.reaches(record) and not is_silent


AGREE_MS = 3000.0
"""Time after a change of the followers in which their polls may end together, as they
learn of it one after the other and each poll under way goes on."""

UNALIGNED_SHARE = 0.8
"""Longest wait of a follower meanwhile, as a share of the age at which others ask."""


class _Turns(PollTurns):
    """Wait until a poll is due."""

    def __init__(
        self,
        settings: TurnSettings,
        own_name: str,
        following: StoreFollowing,
        freshness: Callable[[], Freshness],
        confirmed: Confirmed,
    ) -> None:
        self._turn = PollTurn(settings, random.Random())  # noqa: S311
        self._own_name = own_name
        self._poll = OpenPoll(settings)
        self._was_follower = False
        self._names: list[str] = []
        self._changed_ms = -math.inf
        self._is_polling = False
        self._following = following
        self._freshness = freshness
        self._confirmed = confirmed
        self._due: asyncio.Future[None] | None = None

    @property
    def is_urgent(self) -> bool:
        """Return whether the last confirmation is so old that a new one is needed now."""
        return self._confirmed.age_ms(self._following.now_ms) > URGENT_AGE_MS

    def wait_ms(self, longest_ms: int) -> int:
        """Return how long the next poll should wait for a change.

        The first poll of a new follower does not wait, as others need a confirmation.
        """
        self._is_polling = True
        names = [record.name for record in self._following.chosen_followers]
        if names != self._names:
            self._names = names
            self._changed_ms = self._following.now_ms
        was_follower = self._was_follower
        self._was_follower = self._following.is_follower
        is_new = self._was_follower and not was_follower
        if is_new or self.is_urgent:
            return 0
        if self._own_name not in names:
            return longest_ms
        rank = names.index(self._own_name)
        unix_ms = time.time_ns() / NS_PER_MS
        wait_ms = slot_wait_ms(unix_ms, rank, len(names), longest_ms)
        if self._following.now_ms - self._changed_ms < AGREE_MS:
            # Another follower may still wait for the same slot.
            wait_ms = min(wait_ms, self._turn.limit_ms * UNALIGNED_SHARE)
        return int(wait_ms)

    async def until_due(self) -> None:
        """Wait until this node must poll."""
        self._is_polling = False
        self._turn.begin(self._following.now_ms)
        self._due = asyncio.get_running_loop().create_future()
        self.check()
        try:
            await self._due
        finally:
            self._due = None
            self._poll.begin()

    def check(self) -> None:
        """End the wait if the poll is due; ask others while a poll gets no answer."""
        if self._is_polling:
            self._check_poll()
        if self._due is None or self._due.done():
            return
        known = self._freshness()
        action = self._turn.decide(self._following.now_ms, known)
        if action is TurnAction.ask_follower:
            self._following.ask_follower()
        elif action is TurnAction.replace_followers:
            self._following.replace_followers(known.age_ms)
            self._following.ask_follower()
        elif action is TurnAction.poll:
            self._due.set_result(None)

    def _check_poll(self) -> None:
        """Ask others if the poll under way does not confirm what this node knows.

        It may be cut off the store, and others may be silent, too.
        """
        now_ms = self._following.now_ms
        age_ms = self._confirmed.age_ms(now_ms)
        action = self._poll.decide(now_ms, age_ms, self._turn.limit_ms)
        if action is TurnAction.replace_followers:
            self._following.replace_followers(age_ms)
        if action is not TurnAction.wait:
            self._following.ask_follower()
