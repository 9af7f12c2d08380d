"""Headers with which two nodes identify themselves on a relay link."""

import dataclasses
from collections.abc import Mapping

NODE_HEADER = 'X-Node'
INCARNATION_HEADER = 'X-Incarnation'

PROTOCOL_HEADER = 'X-Protocol'
PROTOCOL = 3
"""Version of the frames. A node without the header has version 1."""

PARTS_PROTOCOL = 2
"""First version with parts of bodies and requests for state."""

QUOTA_PROTOCOL = 3
"""First version with quota frames; older nodes would close the link."""

PEER_HEADER = 'X-Peer'
"""Name of the node that the sender intends to reach; the address of a removed VM may be
reused by another one."""


@dataclasses.dataclass(frozen=True, slots=True)
class NodeIdentity:
    """A node and the incarnation of its process."""

    name: str
    incarnation: int
    """Start of the process as Unix time in ms."""

    def headers(self) -> dict[str, str]:
        """Return the headers that carry the identity."""
        return {
            NODE_HEADER: self.name,
            INCARNATION_HEADER: str(self.incarnation),
            PROTOCOL_HEADER: str(PROTOCOL),
        }

    @classmethod
    def from_headers(cls, headers: Mapping[str, str]) -> 'NodeIdentity | None':
        """Return the identity in a handshake, or None if it is invalid."""
        incarnation = headers.get(INCARNATION_HEADER, '')
        name = headers.get(NODE_HEADER)
        if not name or not incarnation.isdigit():
            return None
        return cls(name, int(incarnation))


def protocol_of(headers: Mapping[str, str]) -> int:
    """Return the version of the frames that a peer understands."""
    version = headers.get(PROTOCOL_HEADER, '')
    return int(version) if version.isdecimal() else 1
