"""Updates piggybacked on probes, each sent a bounded number of times."""

import heapq
import math
from collections.abc import Callable, Iterable

from gentianmill.member import Member, MemberStatus
from gentianmill.membership import MemberTable

MAX_UPDATES = 32
"""Most updates in one message.

With 8, 300 members did not agree on the loss of an availability zone within 60 s.
"""

SENDS_PER_DOUBLING = 3
"""Sends of one update for each doubling of the number of members."""

OWN_REGION_COST = 4
"""Cost of a send within the region of this node."""

OTHER_REGION_COST = 1
"""Cost of a send to another region.

Only nodes of a member's region report its death to other nodes of that region. With
equal costs, half of the sends left the region, and in a simulation of 60 members one
node learned of a death 20 s late.
"""

NodeFilter = Callable[[str], bool]


class UpdateQueue:
    """The node ids whose updates are to be passed on, least sent first.

    Each send has a cost; an update is dropped when the costs reach its limit.
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self._costs: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of updates that are still to be sent."""
        return len(self._costs)

    def add(self, node_id: str) -> None:
        """Queue the update about a member, with its cost reset to 0."""
        self._costs[node_id] = 0

    def select(self, limit: int, cost: int, allowed: NodeFilter) -> list[str]:
        """Choose the updates for one message and count them as sent.

        Args:
            limit: Sum of the costs after which an update is dropped.
            cost: Cost of a send to this receiver.
            allowed: Whether the update about a node id may go to this receiver.

        Returns:
            At most ``MAX_UPDATES`` node ids.
        """
        allowed_ids = filter(allowed, self._costs)
        chosen = heapq.nsmallest(
            MAX_UPDATES,
            allowed_ids,
            key=lambda node_id: (self._costs[node_id], node_id),
        )
        for node_id in chosen:
            self._costs[node_id] += cost
            if self._costs[node_id] >= limit:
                self._costs.pop(node_id)
        return chosen


def spend_limit(member_count: int) -> int:
    """Return the cost limit of one update at one node."""
    sends = SENDS_PER_DOUBLING * math.ceil(math.log2(member_count + 1))
    return OWN_REGION_COST * sends


class Dissemination:
    """Merge updates into the table and choose those sent to each receiver."""

    def __init__(self, table: MemberTable) -> None:
        """Create the dissemination of one node.

        Args:
            table: The member table of the node.
        """
        self._table = table
        self._queue = UpdateQueue()

    def spread(self, member: Member, now_ms: float) -> None:
        """Merge an update that this node originates and pass it on."""
        if self._table.merge(member, now_ms):
            self._queue.add(member.node_id)

    def queue_own(self) -> None:
        """Pass on a change of this node."""
        self._queue.add(self._table.own.node_id)

    def receive(self, updates: Iterable[Member], now_ms: float) -> bool:
        """Merge the updates of a message and pass on those that are new.

        Returns:
            Whether this node had to refute an update.
        """
        own = self._table.own
        for member in updates:
            unknown = self._table.find(member.node_id) is None
            changed = self._table.merge(member, now_ms)
            if changed and not (unknown and member.has_departed):
                self._queue.add(member.node_id)
        return self._queue_own_if_changed(own)

    def receive_table(self, members: Iterable[Member], now_ms: float) -> bool:
        """Merge the members of a full exchange.

        Unknown members are not passed on; otherwise a joining node would pass on the
        whole table.

        Returns:
            Whether this node had to refute an update.
        """
        own = self._table.own
        for member in members:
            unknown = self._table.find(member.node_id) is None
            if self._table.merge(member, now_ms) and not unknown:
                self._queue.add(member.node_id)
        return self._queue_own_if_changed(own)

    def updates_for(self, node_id: str) -> list[Member]:
        """Return the updates for one message; see ``Swim.updates_for``."""
        chosen = {self._table.own.node_id: self._table.own}
        for member in self._table.corrections_for(node_id):
            chosen[member.node_id] = member
        queued = self._queue.select(
            spend_limit(self._table.size),
            self._send_cost(node_id),
            lambda other: self._may_send(other, node_id),
        )
        for queued_id in queued:
            update = self._table.merged_update(queued_id)
            if update is not None:
                chosen[queued_id] = update
        return list(chosen.values())

    def table_for(self, node_id: str) -> list[Member]:
        """Return the updates for a full exchange with a member."""
        return [
            member
            for member in self._table.updates_to_share()
            if self._may_send(member.node_id, node_id)
        ]

    def _queue_own_if_changed(self, before: Member) -> bool:
        if self._table.own == before:
            return False
        self.queue_own()
        return True

    def _send_cost(self, receiver_id: str) -> int:
        receiver = self._table.find(receiver_id)
        if receiver is None or receiver.region == self._table.own.region:
            return OWN_REGION_COST
        return OTHER_REGION_COST

    def _may_send(self, node_id: str, receiver_id: str) -> bool:
        """Return whether the update about a member may be sent to a receiver.

        Each region decides on its own members. Otherwise a partitioned region would
        learn from other regions that its members are dead.
        """
        update = self._table.merged_update(node_id)
        receiver = self._table.find(receiver_id)
        if update is None or receiver is None or node_id == receiver_id:
            return True
        if update.status not in {MemberStatus.suspect, MemberStatus.dead}:
            return True
        own_region = self._table.own.region
        return receiver.region == own_region or receiver.region != update.region
