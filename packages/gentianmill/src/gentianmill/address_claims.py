"""Decide which node id holds a control address that several claim."""

from gentianmill.member import Member

_Address = tuple[str, int]


class AddressClaims:
    """The node ids that claim each control address, with their incarnations.

    A replacement starts under the address of the member that it replaces. The node
    id with the highest incarnation holds the address; a replacement raises its
    incarnation above that of the previous holder.
    """

    def __init__(self) -> None:
        """Start without claims."""
        self._claims: dict[_Address, dict[str, int]] = {}

    def add(self, member: Member) -> None:
        """Record the claim of a member with its current incarnation."""
        claims = self._claims.setdefault(_address(member), {})
        claims[member.node_id] = member.incarnation

    def remove(self, member: Member) -> None:
        """Remove the claim of a member."""
        claims = self._claims[_address(member)]
        claims.pop(member.node_id)
        if not claims:
            self._claims.pop(_address(member))

    def claimants(self, member: Member) -> list[str]:
        """Return the node ids that claim the address of a member."""
        return sorted(self._claims.get(_address(member), ()))

    def holder(self, member: Member) -> str:
        """Return the node id that holds the address of a member.

        Raises:
            KeyError: If no node id claims the address.
        """
        claims = self._claims[_address(member)]
        return max(claims, key=lambda node_id: (claims[node_id], node_id))


def _address(member: Member) -> _Address:
    return (member.host, member.control_port)
