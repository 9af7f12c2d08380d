"""Rows of at-most-once claims in the table.

A claim row reserves a key; its response is a second row under the claim id.
The response row is inserted, never changed, so recording needs no revision
and a claim that lost its row cannot answer for the claim that replaced it.
"""

import enum
import uuid
from urllib.parse import quote

import msgspec

RETENTION_MS = 35 * 24 * 3600 * 1000
UUID_VERSION = 7
UUID_TIME_SHIFT = 80


class ClaimState(enum.StrEnum):
    """What a row says about its claim."""

    claimed = 'claimed'
    recorded = 'recorded'
    abandoned = 'abandoned'
    """The work may have run; no response will be recorded."""


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

    @classmethod
    def decode(cls, content: bytes) -> 'ClaimRow':
        """Read a row from msgpack; raise ``msgspec.DecodeError`` if malformed."""
        return msgspec.msgpack.decode(content, type=cls)

    @property
    def row_key(self) -> str:
        """Return the key of the claim row; parts are quoted, so none collide."""
        parts = (self.service, self.tenant, self.key)
        return '/'.join(['claims', *map(_quote, parts)])

    @property
    def response_key(self) -> str:
        """Return the key of the row that holds the response to this claim."""
        return f'{self.row_key}/{self.claim_id}'

    def encode(self) -> bytes:
        """Return the row as msgpack."""
        return msgspec.msgpack.encode(self)


def key_expired(key: str, now_unix_ms: float) -> bool:
    """Return whether a key is a UUIDv7 older than the retention of its row."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return False
    if parsed.version != UUID_VERSION:
        return False
    return now_unix_ms - (parsed.int >> UUID_TIME_SHIFT) > RETENTION_MS


def _quote(part: str) -> str:
    return quote(part, safe='')
