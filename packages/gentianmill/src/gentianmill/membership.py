"""The member table of one node and the rules by which news is merged.

Source: Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent
Infection-style Process Group Membership Protocol", 2002.
"""

import dataclasses
import operator
from collections.abc import Callable

from gentianmill.address_claims import AddressClaims
from gentianmill.member import Member, MemberStatus

GONE_KEPT_MS = 24 * 60 * 60 * 1000
"""How long a gone member is kept, in ms.

Longer than a region stays cut off and than old news about a member circulates.
"""

ChangeListener = Callable[[Member, float], None]

# dataclasses.astuple copies each field and took 80% of the time of a merge.
_all_fields = operator.attrgetter(
    *(field.name for field in dataclasses.fields(Member)),
)


class MemberTable:
    """All members that one node knows of, itself included.

    For each node id the table keeps the news with the highest precedence. If
    several node ids claim one control address, only the one with the highest
    incarnation holds it; the others show as ``left``. The view therefore does
    not depend on the order in which news arrives.
    """

    def __init__(self, own: Member) -> None:
        """Create a table that holds only the own member.

        Args:
            own: The member of this node.
        """
        self._own_id = own.node_id
        self._news: dict[str, Member] = {}
        self._views: dict[str, Member] = {}
        self._claims = AddressClaims()
        self._gone_since: dict[str, float] = {}
        self._learned_gone: set[str] = set()
        self._listeners: list[ChangeListener] = []
        self._store(own, now_ms=0)

    @property
    def own(self) -> Member:
        """Return the member of this node."""
        return self._news[self._own_id]

    @property
    def members(self) -> tuple[Member, ...]:
        """Return all members, also those that are gone and still kept."""
        return tuple(self._views.values())

    @property
    def size(self) -> int:
        """Return the number of members, gone ones included."""
        return len(self._views)

    def find(self, node_id: str) -> Member | None:
        """Return a member as it is to be treated, or None if it is unknown."""
        return self._views.get(node_id)

    def news(self, node_id: str) -> Member | None:
        """Return the merged news about a member, in the form sent to others."""
        return self._news.get(node_id)

    def subscribe(self, listener: ChangeListener) -> None:
        """Call a function with the member and the time after each change."""
        self._listeners.append(listener)

    def merge(self, member: Member, now_ms: float) -> bool:
        """Merge news about a member.

        News that the own member is suspected or dead is refuted by raising the
        own incarnation, and so is a claim of another node id to the own address.

        Args:
            member: What some node says about a member.
            now_ms: The current time in ms.

        Returns:
            Whether the table changed.
        """
        if member.node_id == self._own_id:
            refuted = self._is_refutable(member)
            if refuted:
                self._raise_own_above(member, now_ms)
            return refuted
        known = self._news.get(member.node_id)
        if known is not None and precedence(member) <= precedence(known):
            return False
        if known is None and member.is_gone:
            self._learned_gone.add(member.node_id)
        self._store(member, now_ms)
        holder = self._claims.holder(self.own)
        if holder != self._own_id and not self.own.is_gone:
            self._raise_own_above(member, now_ms)
        return True

    def set_own_status(self, status: MemberStatus, now_ms: float) -> None:
        """Change the status of the own member, with a higher incarnation."""
        incarnation = self.own.incarnation + 1
        own = dataclasses.replace(self.own, status=status, incarnation=incarnation)
        self._store(own, now_ms)

    def corrections_for(self, node_id: str) -> list[Member]:
        """Return the news that a member must hear so that it can refute it."""
        known = self._news.get(node_id)
        if known is None:
            return []
        found = []
        if known.is_gone or known.status is MemberStatus.suspect:
            found.append(known)
        holder = self._claims.holder(known)
        if holder != node_id:
            found.append(self._news[holder])
        return found

    def shared_news(self) -> list[Member]:
        """Return the news for a full exchange with another node.

        Members that were already gone when this node first heard of them are
        left out; otherwise nodes that join would hand them on for ever.
        """
        return [
            member
            for node_id, member in self._news.items()
            if node_id not in self._learned_gone
        ]

    def forget_gone(self, now_ms: float) -> None:
        """Drop members that have been gone for ``GONE_KEPT_MS``."""
        expired = [
            node_id
            for node_id, since in self._gone_since.items()
            if now_ms - since >= GONE_KEPT_MS
        ]
        for node_id in expired:
            self._claims.remove(self._news.pop(node_id))
            self._views.pop(node_id)
            self._gone_since.pop(node_id)
            self._learned_gone.discard(node_id)

    def _is_refutable(self, member: Member) -> bool:
        return not self.own.is_gone and precedence(member) > precedence(self.own)

    def _raise_own_above(self, member: Member, now_ms: float) -> None:
        incarnation = member.incarnation + 1
        self._store(dataclasses.replace(self.own, incarnation=incarnation), now_ms)

    def _store(self, member: Member, now_ms: float) -> None:
        known = self._news.get(member.node_id)
        self._news[member.node_id] = member
        affected = set()
        if known is not None:
            affected.update(self._claims.claimants(known))
            self._claims.remove(known)
        self._claims.add(member)
        affected.update(self._claims.claimants(member))
        for node_id in sorted(affected):
            self._update_view(node_id, now_ms)

    def _update_view(self, node_id: str, now_ms: float) -> None:
        view = self._news[node_id]
        if not view.is_gone and self._claims.holder(view) != node_id:
            view = dataclasses.replace(view, status=MemberStatus.left)
        if self._views.get(node_id) == view:
            return
        self._views[node_id] = view
        if view.is_gone:
            self._gone_since.setdefault(node_id, now_ms)
        else:
            self._gone_since.pop(node_id, None)
            self._learned_gone.discard(node_id)
        for listener in self._listeners:
            listener(view, now_ms)


def precedence(member: Member) -> tuple[object, ...]:
    """Return the order of news about one member; the highest is kept.

    The incarnation decides, then the status. The other fields only make the
    order total.
    """
    return (member.incarnation, member.status, _all_fields(member))
