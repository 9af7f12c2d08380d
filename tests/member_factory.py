"""Members for tests."""

from gentianmill.member import Member, MemberStatus


def make_member(
    node_id: str,
    incarnation: int = 1,
    status: MemberStatus = MemberStatus.alive,
    host: str | None = None,
    region: str = 'north',
    slots: int = 5,
) -> Member:
    """Return a member whose host follows its node id unless one is given."""
    return Member(
        node_id=node_id,
        incarnation=incarnation,
        status=status,
        host=host or f'host-{node_id}',
        peer_port=1,
        control_port=2,
        region=region,
        zone=f'{region}-1',
        service='billing',
        endpoint=node_id,
        slots=slots,
    )
