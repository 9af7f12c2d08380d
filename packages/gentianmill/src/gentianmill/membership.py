"""The member table of one node and the rules for merging updates.

Source: Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent
Infection-style Process Group Membership Protocol", 2002.
"""

import dataclasses
import operator
from collections.abc import Callable

from gentianmill.address_claims import AddressClaims
from gentianmill.member import Member, MemberStatus

DEPARTED_RETENTION_MS = 24 * 60 * 60 * 1000
"""How long a departed member is kept, in ms.

Longer than a region stays partitioned and than old updates about a member circulate.
"""

ChangeListener = Callable[[Member, float], None]

# dataclasses.astuple copies each field and took 80% of the time of a merge.
_all_fields = operator.attrgetter(
    *(field.name for field in dataclasses.fields(Member)),
)


class MemberTable:
    """All members that one node knows of, itself included.

    For each node id the table keeps the update with the highest precedence. If
    several node ids claim one control address, only the one with the highest
    incarnation holds it; the others are shown as ``left``. The view therefore does
    not depend on the order in which updates arrive.
    """

    def __init__(self, own: Member) -> None:
        """Create a table that holds only the member of this node.

        Args:
            own: The member of this node.
        """
        self._own_node_id = own.node_id
        self._updates: dict[str, Member] = {}
        self._views: dict[str, Member] = {}
        self._address_claims = AddressClaims()
        self._departed_since_ms: dict[str, float] = {}
        self._first_seen_departed: set[str] = set()
        self._listeners: list[ChangeListener] = []
        self._store(own, now_ms=0)

    @property
    def own(self) -> Member:
        """Return the member of this node."""
        return self._updates[self._own_node_id]

    @property
    def members(self) -> tuple[Member, ...]:
        """Return all members, including departed ones that are still kept."""
        return tuple(self._views.values())

    @property
    def size(self) -> int:
        """Return the number of members, including departed ones."""
        return len(self._views)

    def find(self, node_id: str) -> Member | None:
        """Return the effective state of a member, or None if it is unknown."""
        return self._views.get(node_id)

    def merged_update(self, node_id: str) -> Member | None:
        """Return the merged update about a member, in the form sent to others."""
        return self._updates.get(node_id)

    def subscribe(self, listener: ChangeListener) -> None:
        """Call a function with the member and the time in ms after each change."""
        self._listeners.append(listener)

    def merge(self, member: Member, now_ms: float) -> bool:
        """Merge an update about a member.

        This node refutes an update that suspects it or declares it dead by raising
        its incarnation. It does the same if another node id claims its address.

        Args:
            member: State of the member, as reported by some node.
            now_ms: The current time in ms.

        Returns:
            Whether the table changed.
        """
        if member.node_id == self._own_node_id:
            refuted = self._is_refutable(member)
            if refuted:
                self._raise_own_incarnation(member, now_ms)
            return refuted
        known = self._updates.get(member.node_id)
        if known is not None and precedence(member) <= precedence(known):
            return False
        if known is None and member.has_departed:
            self._first_seen_departed.add(member.node_id)
        self._store(member, now_ms)
        holder = self._address_claims.holder(self.own)
        if holder != self._own_node_id and not self.own.has_departed:
            self._raise_own_incarnation(member, now_ms)
        return True

    def set_own_status(self, status: MemberStatus, now_ms: float) -> None:
        """Change the status of this node under a higher incarnation."""
        incarnation = self.own.incarnation + 1
        own = dataclasses.replace(self.own, status=status, incarnation=incarnation)
        self._store(own, now_ms)

    def corrections_for(self, node_id: str) -> list[Member]:
        """Return the updates that a member must receive to be able to refute them."""
        known = self._updates.get(node_id)
        if known is None:
            return []
        found = []
        if known.has_departed or known.status is MemberStatus.suspect:
            found.append(known)
        holder = self._address_claims.holder(known)
        if holder != node_id:
            found.append(self._updates[holder])
        return found

    def updates_to_share(self) -> list[Member]:
        """Return the updates for a full exchange with another node.

        Members that had already departed when this node first learned of them are
        left out; otherwise joining nodes would pass them on forever.
        """
        return [
            member
            for node_id, member in self._updates.items()
            if node_id not in self._first_seen_departed
        ]

    def expire_departed(self, now_ms: float) -> None:
        """Drop members that departed at least ``DEPARTED_RETENTION_MS`` ago."""
        expired = [
            node_id
            for node_id, since_ms in self._departed_since_ms.items()
            if now_ms - since_ms >= DEPARTED_RETENTION_MS
        ]
        for node_id in expired:
            self._address_claims.remove(self._updates.pop(node_id))
            self._views.pop(node_id)
            self._departed_since_ms.pop(node_id)
            self._first_seen_departed.discard(node_id)

    def _is_refutable(self, member: Member) -> bool:
        return not self.own.has_departed and precedence(member) > precedence(self.own)

    def _raise_own_incarnation(self, member: Member, now_ms: float) -> None:
        incarnation = member.incarnation + 1
        self._store(dataclasses.replace(self.own, incarnation=incarnation), now_ms)

    def _store(self, member: Member, now_ms: float) -> None:
        known = self._updates.get(member.node_id)
        self._updates[member.node_id] = member
        affected = set()
        if known is not None:
            affected.update(self._address_claims.claimants(known))
            self._address_claims.remove(known)
        self._address_claims.add(member)
        affected.update(self._address_claims.claimants(member))
        for node_id in sorted(affected):
            self._update_view(node_id, now_ms)

    def _update_view(self, node_id: str, now_ms: float) -> None:
        view = self._updates[node_id]
        if not view.has_departed and self._address_claims.holder(view) != node_id:
            view = dataclasses.replace(view, status=MemberStatus.left)
        if self._views.get(node_id) == view:
            return
        self._views[node_id] = view
        if view.has_departed:
            self._departed_since_ms.setdefault(node_id, now_ms)
        else:
            self._departed_since_ms.pop(node_id, None)
            self._first_seen_departed.discard(node_id)
        for listener in self._listeners:
            listener(view, now_ms)


def precedence(member: Member) -> tuple[object, ...]:
    """Return the sort key of updates about one member; the highest is kept.

    The incarnation decides, then the status. The other fields only make the
    order total.
    """
    return (member.incarnation, member.status, _all_fields(member))
