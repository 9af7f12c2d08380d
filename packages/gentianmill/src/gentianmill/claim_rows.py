"""Rows of at-most-once claims in the table.

A claim row reserves a key; its response is a second row under the claim id.
The response row is inserted and never changed. Recording therefore needs no
revision, and a claim that lost its row cannot record a response for the claim
that replaced it.

Rows of keys that carry a date are grouped by day, oldest first in key order, so
that expired rows are found without reading the others.
"""

import enum
import uuid
from urllib.parse import quote

import msgspec

DAY_MS = 24 * 3600 * 1000
RETENTION_MS = 35 * DAY_MS
DAY_PREFIX = '@'
"""Prefix of the day in a row key; the quoted parts never contain it."""

DAY_DIGITS = 7
"""Enough for all dates of a UUIDv7: 48 bits of milliseconds, 3,257,812 days."""

UUID_VERSION = 7
UUID_TIME_SHIFT = 80


class ClaimState(enum.StrEnum):
    """State of a claim in its row."""

    claimed = 'claimed'
    recorded = 'recorded'
    abandoned = 'abandoned'
    """The work may have run; no response will be recorded."""

    settled = 'settled'
    """An operator settled the claim; the row under the claim id has the result."""

    not_run = 'not_run'
    """An operator found that the work did not run; the key is still rejected."""


class StoredResponse(msgspec.Struct, frozen=True, array_like=True):
    """A complete response of the upstream."""

    status: int
    headers: dict[str, str]
    body: bytes


class ClaimRow(msgspec.Struct, frozen=True, array_like=True):
    """A claim, or the response recorded under it."""

    service: str
    tenant: str
    key: str
    digest: bytes
    claim_id: str
    holder: str
    state: ClaimState = ClaimState.claimed
    response: StoredResponse | None = None
    settled_by: str = ''
    """Name of the operator who settled the claim; empty if none did."""

    @classmethod
    def decode(cls, content: bytes) -> 'ClaimRow':
        """Read a row from msgpack; raise ``msgspec.DecodeError`` if malformed."""
        return msgspec.msgpack.decode(content, type=cls)

    @property
    def row_key(self) -> str:
        """Return the key of the claim row; see ``claim_row_key``."""
        return claim_row_key(self.service, self.tenant, self.key)

    @property
    def response_key(self) -> str:
        """Return the key of the row that holds the response to this claim."""
        return f'{self.row_key}/{self.claim_id}'

    def encode(self) -> bytes:
        """Return the row as msgpack."""
        return msgspec.msgpack.encode(self)


def claim_row_key(service: str, tenant: str, key: str) -> str:
    """Return the key of the row of a claim.

    It depends only on the arguments, so that each resent call finds the row.
    Parts are quoted, so that no two claims share a row.
    """
    created_ms = _key_unix_ms(key)
    if created_ms is None:
        return f'claims/{_quote(service)}/{_quote(tenant)}/{_quote(key)}'
    day = f'{created_ms // DAY_MS:0{DAY_DIGITS}}'
    return f'{dated_prefix(service)}{day}/{_quote(tenant)}/{_quote(key)}'


def dated_prefix(service: str) -> str:
    """Return the prefix of all rows of a service whose keys carry a date."""
    return f'claims/{_quote(service)}/{DAY_PREFIX}'


def key_expired(key: str, now_unix_ms: float) -> bool:
    """Return whether a key is a UUIDv7 older than the retention of its row."""
    created_ms = _key_unix_ms(key)
    return created_ms is not None and now_unix_ms - created_ms > RETENTION_MS


def _key_unix_ms(key: str) -> int | None:
    """Return the date in a UUIDv7 as Unix time in ms; None for other keys."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        # Keys of other forms are allowed; they contain no date.
        return None
    if parsed.version != UUID_VERSION:
        return None
    return parsed.int >> UUID_TIME_SHIFT


def _quote(part: str) -> str:
    return quote(part, safe='')
