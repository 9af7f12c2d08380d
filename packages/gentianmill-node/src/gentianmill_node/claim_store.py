"""Claims of calls that run at most once, one transaction per claim."""

import dataclasses
import secrets

import msgspec
from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill.outcome import Outcome

from gentianmill_node.table_client import TableWrite


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRequest:
    service: str
    tenant: str
    key: str
    digest: bytes
    deadline_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class StoredResponse:
    status: int
    headers: dict
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    row: str
    digest: bytes
    claim_id: str


class ClaimStore:
    def __init__(self, table, clock, node_id, pause_ms):
        self._table = table

    async def start(self):
        """Do nothing."""

    async def close(self):
        """Do nothing."""

    async def claim(self, request):
        claim = Claim(
            f'claims/{request.service}/{request.tenant}/{request.key}',
            request.digest,
            secrets.token_hex(8),
        )
        row = await self._table.read(claim.row)
        if row is None:
            value = msgspec.msgpack.encode([request.digest, claim.claim_id, None])
            if not await self._table.transact([TableWrite(claim.row, value, 0)]):
                return claim
            row = await self._table.read(claim.row)
        digest, _, response = msgspec.msgpack.decode(row.value)
        if digest != request.digest:
            raise GentianmillError(ErrorCode.key_reused, 'claim', '', 'key reused')
        if response is None:
            raise GentianmillError(
                ErrorCode.in_progress, 'claim', '', 'running', Outcome.unknown
            )
        return StoredResponse(*response)

    async def record(self, claim, response):
        value = msgspec.msgpack.encode(
            [claim.digest, claim.claim_id, dataclasses.astuple(response)]
        )
        await self._table.transact([TableWrite(claim.row, value, None)])

    async def release(self, claim):
        await self._table.transact([TableWrite(claim.row, None, None)])
