"""Deadlines of suspected members."""

import dataclasses

from gentianmill.member import Member


@dataclasses.dataclass(slots=True)
class Suspicion:
    """A suspected member; ``local`` if the probes of this node failed."""

    incarnation: int
    deadline_ms: float
    local: bool


class SuspicionTable:
    """The suspected members and the time at which each is declared dead.

    A node that learned of a suspicion from another node waits twice as long as the
    node whose probes failed, so that a refutation arrives before its deadline.
    """

    def __init__(self, suspicion_ms: float) -> None:
        """Create an empty table.

        Args:
            suspicion_ms: Wait of the node whose probes failed, in ms.
        """
        self._suspicion_ms = suspicion_ms
        self._entries: dict[str, Suspicion] = {}

    @property
    def local_ids(self) -> list[str]:
        """Return the members that the probes of this node found unreachable."""
        return [node_id for node_id, entry in self._entries.items() if entry.local]

    def is_local(self, node_id: str) -> bool:
        """Return whether the probes of this node found a member unreachable."""
        entry = self._entries.get(node_id)
        return entry is not None and entry.local

    def start_local(self, member: Member, now_ms: float) -> None:
        """Suspect a member that the probes of this node did not reach."""
        deadline_ms = now_ms + self._suspicion_ms
        entry = self._entries.get(member.node_id)
        if entry is not None and entry.incarnation == member.incarnation:
            deadline_ms = min(entry.deadline_ms, deadline_ms)
        self._entries[member.node_id] = Suspicion(
            member.incarnation, deadline_ms, local=True
        )

    def start_remote(self, member: Member, now_ms: float) -> None:
        """Suspect a member that another node suspects."""
        entry = self._entries.get(member.node_id)
        if entry is not None and entry.incarnation == member.incarnation:
            return
        deadline_ms = now_ms + 2 * self._suspicion_ms
        self._entries[member.node_id] = Suspicion(
            member.incarnation, deadline_ms, local=False
        )

    def clear(self, node_id: str) -> None:
        """Stop suspecting a member."""
        self._entries.pop(node_id, None)

    def restart(self, now_ms: float) -> None:
        """Restart all deadlines, after a pause of this process."""
        for entry in self._entries.values():
            factor = 1 if entry.local else 2
            entry.deadline_ms = now_ms + factor * self._suspicion_ms

    def pop_expired(self, now_ms: float) -> list[str]:
        """Remove and return the members whose deadline has passed."""
        expired = [
            node_id
            for node_id, entry in self._entries.items()
            if now_ms >= entry.deadline_ms
        ]
        for node_id in expired:
            self._entries.pop(node_id)
        return expired
