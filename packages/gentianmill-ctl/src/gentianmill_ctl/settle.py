"""Settle a claim whose outcome stays unknown, as an operator decides."""

import asyncio
import dataclasses

import msgspec

from gentianmill.claim_rows import ClaimRow, ClaimState, StoredResponse, claim_row_key
from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill.member_codec import row_key as member_row_key
from gentianmill_ctl.result import Result
from gentianmill_ctl.table_access import Row, RowWrite, TableAccess

WATCH_S = 150
"""Two announcement refreshes, one every 60 s by default, and a margin for delays."""

POLL_INTERVAL_S = 5
LOWEST_STATUS = 200
HIGHEST_STATUS = 599


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimName:
    """Service, tenant and idempotency key of the claim to be settled."""

    service: str
    tenant: str
    key: str

    @property
    def row_key(self) -> str:
        """Return the key of the claim's row."""
        return claim_row_key(self.service, self.tenant, self.key)


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Decision of an operator; ``status`` 0 means that the work did not run."""

    status: int
    by: str

    def response_row(self, claim: ClaimRow) -> ClaimRow:
        """Return the response row, which decides the result of later resends."""
        if not self.status:
            return msgspec.structs.replace(
                claim, state=ClaimState.not_run, settled_by=self.by
            )
        return msgspec.structs.replace(
            claim,
            state=ClaimState.recorded,
            response=StoredResponse(self.status, {}, b''),
            settled_by=self.by,
        )


class Settlement:
    """One settlement, written only if no row that was read for it has changed."""

    def __init__(self, table: TableAccess, name: ClaimName, verdict: Verdict) -> None:
        """Create a settlement.

        Args:
            table: The table service.
            name: The claim.
            verdict: How the call ended, as the operator decided.

        Raises:
            GentianmillError: With code ``bad_request`` if the status is invalid.
        """
        status = verdict.status
        if status and not LOWEST_STATUS <= status <= HIGHEST_STATUS:
            raise GentianmillError(
                ErrorCode.bad_request,
                'arguments',
                str(status),
                f'--status is neither 0 nor {LOWEST_STATUS} to {HIGHEST_STATUS}',
            )
        self._table = table
        self._name = name
        self._verdict = verdict

    async def send(
        self, watch_s: float = WATCH_S, poll_interval_s: float = POLL_INTERVAL_S
    ) -> Result:
        """Settle the claim.

        Args:
            watch_s: How long the holder's announcement must stay unchanged, in s.
            poll_interval_s: Pause between two reads of the announcement, in s.

        Raises:
            GentianmillError: ``settlement_refused`` if there is no such claim, a
                response exists or the holder may still run the work;
                ``settlement_conflict`` if a row changed meanwhile;
                ``store_unavailable`` if the table service does not respond.
        """
        row_key = self._name.row_key
        row = await self._table.read(row_key)
        if row is None:
            raise self._refused('there is no claim with this key')
        claim = _decode(row_key, row)
        response = self._verdict.response_row(claim)
        existing_row = await self._table.read(claim.response_key)
        if claim.state is ClaimState.settled and existing_row is not None:
            return self._settled_before(_decode(row_key, existing_row))
        settled = msgspec.structs.replace(
            claim, state=ClaimState.settled, settled_by=self._verdict.by
        )
        writes: list[RowWrite] = [
            (row_key, settled.encode(), row.revision),
            (claim.response_key, response.encode(), _revision(existing_row)),
        ]
        if existing_row is None:
            writes.append(
                await self._holder_condition(claim.holder, watch_s, poll_interval_s)
            )
        else:
            self._require_abandoned(_decode(row_key, existing_row))
        if not await self._table.transact(writes):
            raise GentianmillError(
                ErrorCode.settlement_conflict,
                'settle',
                row_key,
                'the claim or its holder changed meanwhile, nothing was changed',
            )
        return self._result(response)

    def _settled_before(self, existing: ClaimRow) -> Result:
        # A command that is repeated because its first response was lost succeeds.
        if existing == self._verdict.response_row(
            msgspec.structs.replace(existing, response=None)
        ):
            return self._result(existing)
        raise self._refused(
            f'{existing.settled_by} settled it as {_result_text(existing)}'
        )

    def _require_abandoned(self, existing: ClaimRow) -> None:
        """Refuse a claim with a response.

        An abandoned claim has none, and its holder will not run the work again,
        so it does not matter whether the holder is still alive.
        """
        if existing.state is not ClaimState.abandoned:
            raise self._refused(f'a response exists: {_result_text(existing)}')

    async def _holder_condition(
        self, holder: str, watch_s: float, poll_interval_s: float
    ) -> RowWrite:
        """Wait until the holder's announcement is absent or stays unchanged long enough.

        Returns:
            A write that keeps the row as it is and fails if it changes meanwhile.
        """
        key = member_row_key(holder)
        last_row = await self._table.read(key)
        polls_left = round(watch_s / poll_interval_s)
        while last_row is not None and polls_left:
            polls_left -= 1
            await asyncio.sleep(poll_interval_s)
            row = await self._table.read(key)
            if row is not None and row.revision != last_row.revision:
                raise self._refused(
                    f'its holder {holder} is announced and may still run the work'
                )
            last_row = row
        return key, last_row.value if last_row else None, _revision(last_row)

    def _refused(self, reason: str) -> GentianmillError:
        return GentianmillError(
            ErrorCode.settlement_refused, 'settle', self._name.row_key, reason
        )

    def _result(self, settled: ClaimRow) -> Result:
        fields = {
            'claim_id': settled.claim_id,
            'holder': settled.holder,
            'settled_as': _result_text(settled),
            'settled_by': settled.settled_by,
        }
        return Result(fields, [f'the claim is settled as {_result_text(settled)}'])


def _result_text(row: ClaimRow) -> str:
    if row.response is None:
        return 'not run'
    return f'run with status {row.response.status}'


def _revision(row: Row | None) -> int:
    return row.revision if row else 0


def _decode(key: str, row: Row) -> ClaimRow:
    try:
        return ClaimRow.decode(row.value)
    except msgspec.DecodeError as error:
        message = f'the row cannot be read, nothing was changed: {error}'
        raise GentianmillError(ErrorCode.protocol, 'settle', key, message) from error
