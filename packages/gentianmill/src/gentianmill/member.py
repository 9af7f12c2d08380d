"""A member: a node and the upstream beside it."""

import dataclasses
import enum


class MemberStatus(enum.IntEnum):
    """Status of a member; the numbers equal those in ``control.proto``."""

    alive = 0
    suspect = 1
    draining = 2
    left = 3
    dead = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """State of a member, as known to a node.

    A higher incarnation replaces a lower one; only the member itself raises it.
    """

    node_id: str
    incarnation: int
    status: MemberStatus
    host: str
    peer_port: int
    control_port: int
    region: str
    zone: str
    service: str
    endpoint: str
    slots: int

    @property
    def accepts_calls(self) -> bool:
        """Return whether calls may be routed to the member."""
        return self.status in {MemberStatus.alive, MemberStatus.suspect}

    @property
    def has_departed(self) -> bool:
        """Return whether the member has left or is dead."""
        return self.status in {MemberStatus.left, MemberStatus.dead}
