"""Builds members for tests."""

from gentianmill.member import Member, MemberStatus


def make_member(
    node_id: str,
    incarnation: int = 1,
    status: MemberStatus = MemberStatus.alive,
    host: str | None = None,
    region: str = 'north',
    slots: int = 5,
    zone: str | None = None,
    service: str = 'billing',
) -> Member:
    """Return a member whose host is derived from its node id unless one is given."""
    return Member(
        node_id=node_id,
        incarnation=incarnation,
        status=status,
        host=host or f'host-{node_id}',
        peer_port=1,
        control_port=2,
        region=region,
        zone=zone or f'{region}-1',
        service=service,
        endpoint=node_id,
        slots=slots,
    )
