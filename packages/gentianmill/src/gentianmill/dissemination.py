"""Updates that ride on probes, each sent a bounded number of times."""

import heapq
import math
from collections.abc import Callable, Iterable

from gentianmill.member import Member, MemberStatus
from gentianmill.membership import MemberTable

MAX_UPDATES = 32
"""Updates taken from the queue for one message.

With 8, the loss of an availability zone was not agreed on within 60 s at 300 members.
"""

SENDS_PER_DOUBLING = 3
"""Sends of one update for each doubling of the number of members."""

OWN_REGION_COST = 4
"""Cost of a send within the own region."""

OTHER_REGION_COST = 1
"""Cost of a send to another region.

Only a member's own region spreads the news of its death there. When all sends
cost the same, half of them left the region, and in a simulation of 60 members
one node missed a death for 20 s.
"""

NodeFilter = Callable[[str], bool]


class UpdateQueue:
    """The node ids whose news is to be passed on, least sent first.

    Each send has a cost; an update is dropped when the costs reach its limit.
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self._spent: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of updates that are still to be sent."""
        return len(self._spent)

    def add(self, node_id: str) -> None:
        """Start to send the news about a member, from the first send again."""
        self._spent[node_id] = 0

    def take(self, limit: int, cost: int, allowed: NodeFilter) -> list[str]:
        """Choose the updates for one message and count them as sent.

        Args:
            limit: Sum of the costs after which an update is dropped.
            cost: Cost of a send to this receiver.
            allowed: Whether the update about a node id may go to this receiver.

        Returns:
            At most ``MAX_UPDATES`` node ids.
        """
        allowed_ids = filter(allowed, self._spent)
        chosen = heapq.nsmallest(
            MAX_UPDATES,
            allowed_ids,
            key=lambda node_id: (self._spent[node_id], node_id),
        )
        for node_id in chosen:
            self._spent[node_id] += cost
            if self._spent[node_id] >= limit:
                self._spent.pop(node_id)
        return chosen


def spend_limit(member_count: int) -> int:
    """Return the cost that one node spends on one update."""
    sends = SENDS_PER_DOUBLING * math.ceil(math.log2(member_count + 1))
    return OWN_REGION_COST * sends


class Dissemination:
    """Merge news into the table and decide what each receiver is told."""

    def __init__(self, table: MemberTable) -> None:
        """Create the dissemination of one node.

        Args:
            table: The member table of the node.
        """
        self._table = table
        self._queue = UpdateQueue()

    def spread(self, member: Member, now_ms: float) -> None:
        """Merge news that this node itself found out and pass it on."""
        if self._table.merge(member, now_ms):
            self._queue.add(member.node_id)

    def spread_own(self) -> None:
        """Pass on a change of the own member."""
        self._queue.add(self._table.own.node_id)

    def receive(self, updates: Iterable[Member], now_ms: float) -> bool:
        """Merge updates of a message and pass on what is new.

        Returns:
            Whether the own member had to refute something.
        """
        own = self._table.own
        for member in updates:
            unknown = self._table.find(member.node_id) is None
            changed = self._table.merge(member, now_ms)
            if changed and not (unknown and member.is_gone):
                self._queue.add(member.node_id)
        return self._note_own(own)

    def receive_table(self, members: Iterable[Member], now_ms: float) -> bool:
        """Merge the members of a full exchange.

        Unknown members are not passed on; a node that joins would otherwise
        pass on the whole table.

        Returns:
            Whether the own member had to refute something.
        """
        own = self._table.own
        for member in members:
            unknown = self._table.find(member.node_id) is None
            if self._table.merge(member, now_ms) and not unknown:
                self._queue.add(member.node_id)
        return self._note_own(own)

    def updates_for(self, node_id: str) -> list[Member]:
        """Return the updates for one message; see ``Swim.updates_for``."""
        chosen = {self._table.own.node_id: self._table.own}
        for member in self._table.corrections_for(node_id):
            chosen[member.node_id] = member
        queued = self._queue.take(
            spend_limit(self._table.size),
            self._cost_to(node_id),
            lambda other: self._may_tell(other, node_id),
        )
        for queued_id in queued:
            news = self._table.news(queued_id)
            if news is not None:
                chosen[queued_id] = news
        return list(chosen.values())

    def table_for(self, node_id: str) -> list[Member]:
        """Return the news for a full exchange with a member."""
        return [
            member
            for member in self._table.shared_news()
            if self._may_tell(member.node_id, node_id)
        ]

    def _note_own(self, before: Member) -> bool:
        if self._table.own == before:
            return False
        self.spread_own()
        return True

    def _cost_to(self, receiver_id: str) -> int:
        receiver = self._table.find(receiver_id)
        if receiver is None or receiver.region == self._table.own.region:
            return OWN_REGION_COST
        return OTHER_REGION_COST

    def _may_tell(self, node_id: str, receiver_id: str) -> bool:
        """Return whether news may go to a receiver.

        Each region judges its own members. A region that was cut off would
        otherwise hear from the other side that its own members are dead.
        """
        news = self._table.news(node_id)
        receiver = self._table.find(receiver_id)
        if news is None or receiver is None or node_id == receiver_id:
            return True
        if news.status not in {MemberStatus.suspect, MemberStatus.dead}:
            return True
        own_region = self._table.own.region
        return receiver.region == own_region or receiver.region != news.region
