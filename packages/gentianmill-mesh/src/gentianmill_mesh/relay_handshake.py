"""Headers with which two nodes introduce themselves on a relay link."""

import dataclasses
from collections.abc import Mapping

NODE_HEADER = 'X-Node'
INCARNATION_HEADER = 'X-Incarnation'

PEER_HEADER = 'X-Peer'
"""Name of the node that the caller means; addresses of VMs that are gone are given to
others."""


@dataclasses.dataclass(frozen=True, slots=True)
class NodeIdentity:
    """A node during one life of its process."""

    name: str
    incarnation: int
    """Start of the process as Unix time in ms."""

    def headers(self) -> dict[str, str]:
        """Return the headers that carry the identity."""
        return {NODE_HEADER: self.name, INCARNATION_HEADER: str(self.incarnation)}

    @classmethod
    def from_headers(cls, headers: Mapping[str, str]) -> 'NodeIdentity | None':
        """Return the identity in a handshake, or None if it is not valid."""
        incarnation = headers.get(INCARNATION_HEADER, '')
        name = headers.get(NODE_HEADER)
        if not name or not incarnation.isdigit():
            return None
        return cls(name, int(incarnation))
