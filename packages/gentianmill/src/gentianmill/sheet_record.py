"""The accepted planning sheet as a row of the platform's table."""

import msgspec

SHEET_KEY = 'sheet/current'
VERSION_KEY = 'sheet/version'
"""Row with the version only, written in the transaction that accepts the sheet."""


class SheetRecord(msgspec.Struct, frozen=True):
    """An accepted sheet and its version."""

    version: int
    text: str
    accepted_by: str
    accepted_unix_ms: int


def encode_record(record: SheetRecord) -> bytes:
    """Return the JSON form of an accepted sheet."""
    return msgspec.json.encode(record)


def decode_record(value: bytes) -> SheetRecord:
    """Read an accepted sheet.

    Raises:
        msgspec.DecodeError: If the value is not the JSON form of a record.
    """
    return msgspec.json.decode(value, type=SheetRecord)
