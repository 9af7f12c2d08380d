"""Deadlines of suspected members."""

import dataclasses

from gentianmill.member import Member


@dataclasses.dataclass(slots=True)
class Suspicion:
    """A suspected member; ``own`` if the own probes found it unreachable."""

    incarnation: int
    deadline_ms: float
    own: bool


class SuspicionTable:
    """The suspected members and when each is declared dead.

    A node that only heard of a suspicion waits twice as long as the node whose
    probes failed, so that a refutation reaches it first.
    """

    def __init__(self, suspicion_ms: float) -> None:
        """Create an empty table.

        Args:
            suspicion_ms: Wait of the node whose probes failed, in ms.
        """
        self._suspicion_ms = suspicion_ms
        self._entries: dict[str, Suspicion] = {}

    @property
    def own_ids(self) -> list[str]:
        """Return the members that the own probes found unreachable."""
        return [node_id for node_id, entry in self._entries.items() if entry.own]

    def is_own(self, node_id: str) -> bool:
        """Return whether the own probes found a member unreachable."""
        entry = self._entries.get(node_id)
        return entry is not None and entry.own

    def start_own(self, member: Member, now_ms: float) -> None:
        """Suspect a member whose own probes failed."""
        deadline_ms = now_ms + self._suspicion_ms
        entry = self._entries.get(member.node_id)
        if entry is not None and entry.incarnation == member.incarnation:
            deadline_ms = min(entry.deadline_ms, deadline_ms)
        self._entries[member.node_id] = Suspicion(
            member.incarnation, deadline_ms, own=True
        )

    def start_heard(self, member: Member, now_ms: float) -> None:
        """Suspect a member that another node suspects."""
        entry = self._entries.get(member.node_id)
        if entry is not None and entry.incarnation == member.incarnation:
            return
        deadline_ms = now_ms + 2 * self._suspicion_ms
        self._entries[member.node_id] = Suspicion(
            member.incarnation, deadline_ms, own=False
        )

    def clear(self, node_id: str) -> None:
        """Stop suspecting a member."""
        self._entries.pop(node_id, None)

    def restart(self, now_ms: float) -> None:
        """Give all suspected members the full time again, after a pause."""
        for entry in self._entries.values():
            factor = 1 if entry.own else 2
            entry.deadline_ms = now_ms + factor * self._suspicion_ms

    def take_expired(self, now_ms: float) -> list[str]:
        """Remove and return the members whose deadline has passed."""
        expired = [
            node_id
            for node_id, entry in self._entries.items()
            if now_ms >= entry.deadline_ms
        ]
        for node_id in expired:
            self._entries.pop(node_id)
        return expired
