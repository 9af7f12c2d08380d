"""Node records as they are stored and sent, checked before they are used.

Other writers may leave entries among the records; one that names no usable node must be
rejected here, as an invalid port or number raises errors wherever it is used later.
"""

from collections.abc import Iterable
from typing import Annotated

import msgspec

from gentianmill.departures import MAX_DEPARTURES, Departure
from gentianmill.node_table import NodeRecord, NodeState

__all__ = ('check_record', 'decode_record', 'encode_record', 'to_departures')

MAX_INT64 = 2**63 - 1
"""Largest number that a frame carries."""

MAX_PORT = 65_535
MAX_SLOTS = 1_000_000
"""Far above the slots of any upstream; queues are sized by them."""

MAX_TEXT_LENGTH = 255

_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_TEXT_LENGTH)]
_Host = Annotated[
    str, msgspec.Meta(pattern='^[0-9A-Za-z.:_-]+$', max_length=MAX_TEXT_LENGTH)
]
_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INT64)]


class _DepartureRow(msgspec.Struct):
    upstream_id: _Name
    start_unix_ms: _Count


class _NodeRow(msgspec.Struct):
    name: _Name
    incarnation: _Count
    revision: _Count
    host: _Host
    relay_port: Annotated[int, msgspec.Meta(ge=1, le=MAX_PORT)]
    service: _Name
    zone: _Name
    region: _Name
    slots: Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)]
    state: NodeState
    departures: Annotated[
        list[_DepartureRow], msgspec.Meta(max_length=MAX_DEPARTURES)
    ] = []


def encode_record(record: NodeRecord) -> bytes:
    """Return the JSON form of a record."""
    return msgspec.json.encode(record)


def decode_record(document: bytes, key: str, revision: int) -> NodeRecord:
    """Return the record in a row of the registry.

    Args:
        document: The record as JSON.
        key: Key of the row, which must be the name of the node.
        revision: Version of the row.

    Raises:
        ValueError: If it is not a valid record of that node.
    """
    try:
        row = msgspec.json.decode(document, type=_NodeRow)
    except RecursionError as error:
        raise ValueError('the record is nested too deeply') from error
    if row.name != key:
        raise ValueError(f'the record names the node {row.name!r}')
    row.revision = revision
    return check_record(row)


def check_record(fields: object) -> NodeRecord:
    """Return a record with the attributes of an object, such as a frame.

    Args:
        fields: Object with the attributes of a record.

    Raises:
        ValueError: If an attribute is missing or not valid.
    """
    row = msgspec.convert(fields, _NodeRow, from_attributes=True)
    return NodeRecord(
        **msgspec.structs.asdict(row) | {'departures': to_departures(row.departures)}
    )


def to_departures(entries: Iterable[object]) -> tuple[Departure, ...]:
    """Return checked departures from objects with their attributes, such as frames.

    Raises:
        ValueError: If an attribute is missing or not valid.
    """
    rows = [
        msgspec.convert(entry, _DepartureRow, from_attributes=True) for entry in entries
    ]
    return tuple(Departure(row.upstream_id, row.start_unix_ms) for row in rows)
