"""Settle a claim whose outcome stays unknown, on the word of an operator."""

import asyncio
import dataclasses

import msgspec

from gentianmill.claim_rows import ClaimRow, ClaimState, StoredResponse, claim_row_key
from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill.member_codec import row_key as member_row_key
from gentianmill_ctl.result import Result
from gentianmill_ctl.table_access import Row, RowWrite, TableAccess

WATCH_S = 150
"""Two refreshes of an announcement, which is due every 60 s, and some delay."""

LOOK_S = 5
LOWEST_STATUS = 200
HIGHEST_STATUS = 599


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimName:
    """Which claim is to be settled."""

    service: str
    tenant: str
    key: str

    @property
    def row_key(self) -> str:
        """Return the key of the claim's row."""
        return claim_row_key(self.service, self.tenant, self.key)


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """What an operator found; ``status`` 0 means that the work did not run."""

    status: int
    by: str

    def answer(self, claim: ClaimRow) -> ClaimRow:
        """Return the row that answers later resends."""
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
    """One settlement, conditional on every row that was read for it."""

    def __init__(self, table: TableAccess, name: ClaimName, verdict: Verdict) -> None:
        """Create a settlement.

        Args:
            table: The table service.
            name: The claim.
            verdict: How it ended.

        Raises:
            GentianmillError: With code ``bad_request`` if the status is none.
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

    async def send(self, watch_s: float = WATCH_S, look_s: float = LOOK_S) -> Result:
        """Settle the claim.

        Args:
            watch_s: How long an announcement of the holder must stay unchanged,
                in s.
            look_s: Pause between looks at it, in s.

        Raises:
            GentianmillError: ``settlement_refused`` if there is no such claim, a
                response exists or the holder may still run the work;
                ``settlement_conflict`` if a row changed meanwhile;
                ``store_unavailable`` if the table gives no answer.
        """
        row_key = self._name.row_key
        row = await self._table.read(row_key)
        if row is None:
            raise self._refused('there is no claim with this key')
        claim = _decode(row_key, row)
        answer = self._verdict.answer(claim)
        answer_row = await self._table.read(claim.response_key)
        if claim.state is ClaimState.settled and answer_row is not None:
            return self._settled_before(_decode(row_key, answer_row))
        settled = msgspec.structs.replace(
            claim, state=ClaimState.settled, settled_by=self._verdict.by
        )
        writes: list[RowWrite] = [
            (row_key, settled.encode(), row.revision),
            (claim.response_key, answer.encode(), _revision(answer_row)),
        ]
        if answer_row is None:
            writes.append(await self._gone_holder(claim.holder, watch_s, look_s))
        else:
            self._require_abandoned(_decode(row_key, answer_row))
        if not await self._table.transact(writes):
            raise GentianmillError(
                ErrorCode.settlement_conflict,
                'settle',
                row_key,
                'the claim or its holder changed meanwhile, nothing was changed',
            )
        return self._result(answer)

    def _settled_before(self, answer: ClaimRow) -> Result:
        # A repeated command whose first answer was lost succeeds.
        if answer == self._verdict.answer(
            msgspec.structs.replace(answer, response=None)
        ):
            return self._result(answer)
        raise self._refused(f'{answer.settled_by} settled it as {_shown(answer)}')

    def _require_abandoned(self, answer: ClaimRow) -> None:
        """Refuse a claim with a response.

        An abandoned claim has none, and its holder will not run the work again,
        so it does not matter whether the holder is still there.
        """
        if answer.state is not ClaimState.abandoned:
            raise self._refused(f'a response exists: {_shown(answer)}')

    async def _gone_holder(
        self, holder: str, watch_s: float, look_s: float
    ) -> RowWrite:
        """Wait until the holder's announcement is absent or stays unchanged.

        Returns:
            A write that changes nothing and fails if the announcement changes.
        """
        key = member_row_key(holder)
        first = await self._table.read(key)
        looks = round(watch_s / look_s)
        while first is not None and looks:
            looks -= 1
            await asyncio.sleep(look_s)
            row = await self._table.read(key)
            if row is not None and row.revision != first.revision:
                raise self._refused(
                    f'its holder {holder} is announced and may still run the work'
                )
            first = row
        return key, first.value if first else None, _revision(first)

    def _refused(self, reason: str) -> GentianmillError:
        return GentianmillError(
            ErrorCode.settlement_refused, 'settle', self._name.row_key, reason
        )

    def _result(self, answer: ClaimRow) -> Result:
        fields = {
            'claim_id': answer.claim_id,
            'holder': answer.holder,
            'settled_as': _shown(answer),
            'settled_by': answer.settled_by,
        }
        return Result(fields, [f'the claim is settled as {_shown(answer)}'])


def _shown(answer: ClaimRow) -> str:
    if answer.response is None:
        return 'not run'
    return f'run with status {answer.response.status}'


def _revision(row: Row | None) -> int:
    return row.revision if row else 0


def _decode(key: str, row: Row) -> ClaimRow:
    try:
        return ClaimRow.decode(row.value)
    except msgspec.DecodeError as error:
        message = f'the row cannot be read, nothing was changed: {error}'
        raise GentianmillError(ErrorCode.protocol, 'settle', key, message) from error
