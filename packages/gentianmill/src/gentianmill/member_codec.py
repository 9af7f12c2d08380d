"""Members as control messages and as rows of the platform's table."""

import dataclasses

import msgspec

from gentianmill.control_pb2 import MemberUpdate
from gentianmill.member import Member, MemberStatus

ROW_PREFIX = 'members/'


class MemberRow(msgspec.Struct, frozen=True):
    """The announcement of a member; the count increases with each refresh."""

    member: Member
    refresh_count: int


def row_key(node_id: str) -> str:
    """Return the key of the row of a member."""
    return f'{ROW_PREFIX}{node_id}'


def encode_row(row: MemberRow) -> bytes:
    """Return the msgpack form of a row."""
    return msgspec.msgpack.encode(row)


def decode_row(value: bytes) -> MemberRow:
    """Read a row.

    Raises:
        msgspec.DecodeError: If the value is not the msgpack form of a row.
    """
    return msgspec.msgpack.decode(value, type=MemberRow)


def to_update(member: Member) -> MemberUpdate:
    """Return a member as a control message."""
    return MemberUpdate(
        node_id=member.node_id,
        incarnation=member.incarnation,
        status=member.status,
        host=member.host,
        peer_port=member.peer_port,
        control_port=member.control_port,
        region=member.region,
        zone=member.zone,
        service=member.service,
        endpoint=member.endpoint,
        slots=member.slots,
    )


def from_update(update: MemberUpdate) -> Member:
    """Return the member of a control message.

    Raises:
        ValueError: If the status is not a member of ``MemberStatus``.
    """
    fields = (field.name for field in dataclasses.fields(Member))
    member = Member(**{name: getattr(update, name) for name in fields})
    return dataclasses.replace(member, status=MemberStatus(update.status))
