"""Submit a planning sheet by compare-and-set."""

import asyncio
import dataclasses
import time
import uuid

import msgspec

from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill.sheet_file import SheetFileError, load_sheet
from gentianmill.sheet_models import SheetModel
from gentianmill.sheet_record import SHEET_KEY, VERSION_KEY, SheetRecord
from gentianmill_ctl.result import Result
from gentianmill_ctl.sheet_difference import Difference, differences
from gentianmill_ctl.table_access import Row, TableAccess

ATTEMPTS = 5
RETRY_PAUSE_S = 0.5
MS_PER_S = 1000


class AcceptedSheet(SheetRecord, frozen=True):
    """The record with an id by which a submission recognizes its own write."""

    submission_id: str = ''


class VersionConflictError(GentianmillError):
    """The version in force is not the expected one."""

    def __init__(
        self, expected: int, winner: AcceptedSheet, diffs: list[Difference] | None
    ) -> None:
        """Create an error.

        Args:
            expected: Version that the operator expected.
            winner: The sheet in force.
            diffs: Differences between the sheets; None if the sheet in force
                cannot be read by this version of the program.
        """
        super().__init__(
            ErrorCode.version_conflict,
            'submit',
            SHEET_KEY,
            f'expected version {expected}, but version {winner.version} of '
            f'{winner.accepted_by or "nobody"} is in force; '
            f'differences: {_joined(diffs)}',
        )
        self.details = {
            'expected_version': expected,
            'version': winner.version,
            'accepted_by': winner.accepted_by,
            'accepted_unix_ms': winner.accepted_unix_ms,
            'differences': None if diffs is None else list(map(_fields, diffs)),
        }


class Submission:
    """Submit one sheet to the table, with retries."""

    def __init__(
        self, table: TableAccess, model: SheetModel, sheet: AcceptedSheet
    ) -> None:
        """Create a submission.

        Args:
            table: The table service.
            model: The checked sheet.
            sheet: Value of the row; its version is the expected one plus one.
        """
        self._table = table
        self._model = model
        self._sheet = sheet
        self._write_uncertain = False

    async def send(self, pause_s: float = RETRY_PAUSE_S) -> Result:
        """Write the sheet, or find that an earlier attempt has written it.

        A retry after a lost response has the same condition and the same
        submission id, so the sheet is accepted at most once.

        Raises:
            GentianmillError: ``version_conflict`` if another sheet is in force;
                ``store_unavailable`` if the table service does not respond.
        """
        attempts = 1
        result = await self._try_once()
        while isinstance(result, GentianmillError):
            if attempts == ATTEMPTS:
                raise self._no_response_error(result)
            attempts += 1
            await asyncio.sleep(pause_s)
            result = await self._try_once()
        return result

    async def _try_once(self) -> Result | GentianmillError:
        try:
            return await self._write()
        except GentianmillError as error:
            if error.code is not ErrorCode.store_unavailable:
                raise
            return error

    async def _write(self) -> Result:
        row = await self._table.read(SHEET_KEY)
        current = _decode(row)
        if self._is_own(current):
            return self._accepted()
        if current.version != self._sheet.version - 1:
            raise self._conflict(current)
        revision = row.revision if row else 0
        value = msgspec.json.encode(self._sheet)
        self._write_uncertain = True
        new_row = Row(value, revision)
        version = str(self._sheet.version).encode()
        if await self._table.replace(SHEET_KEY, new_row, {VERSION_KEY: version}):
            return self._accepted()
        self._write_uncertain = False
        current = _decode(await self._table.read(SHEET_KEY))
        if self._is_own(current):
            return self._accepted()
        raise self._conflict(current)

    def _no_response_error(self, error: GentianmillError) -> GentianmillError:
        # If no write was sent, nothing can have been accepted.
        state = 'nothing was changed'
        if self._write_uncertain:
            state = f'it is not known whether version {self._sheet.version} is accepted'
        return GentianmillError(
            ErrorCode.store_unavailable,
            'submit',
            error.peer,
            f'no response in {ATTEMPTS} attempts, {state}; submit again with the same '
            f'--expect ({error.message})',
        )

    def _is_own(self, current: AcceptedSheet) -> bool:
        return current.submission_id == self._sheet.submission_id

    def _accepted(self) -> Result:
        fields = {
            'version': self._sheet.version,
            'accepted_by': self._sheet.accepted_by,
            'accepted_unix_ms': self._sheet.accepted_unix_ms,
        }
        return Result(fields, [f'version {self._sheet.version} is accepted'])

    def _conflict(self, winner: AcceptedSheet) -> VersionConflictError:
        try:
            theirs = load_sheet(winner.text, SHEET_KEY)
        except SheetFileError:
            # This version of the program cannot read the sheet in force.
            diffs = None
        else:
            diffs = differences(self._model, theirs)
        error = VersionConflictError(self._sheet.version - 1, winner, diffs)
        if self._write_uncertain:
            error.add_note(
                f'a response was lost, so version {self._sheet.version} of this '
                'submission may have been in force before'
            )
        return error


def new_sheet(text: str, expected_version: int, accepted_by: str) -> AcceptedSheet:
    """Return the value of the row for the version after the expected one."""
    return AcceptedSheet(
        version=expected_version + 1,
        text=text,
        accepted_by=accepted_by,
        accepted_unix_ms=int(time.time() * MS_PER_S),
        submission_id=uuid.uuid4().hex,
    )


def _decode(row: Row | None) -> AcceptedSheet:
    if row is None:
        return AcceptedSheet(version=0, text='', accepted_by='', accepted_unix_ms=0)
    try:
        return msgspec.json.decode(row.value, type=AcceptedSheet)
    except msgspec.DecodeError as error:
        message = f'the row cannot be read, nothing was changed: {error}'
        raise GentianmillError(
            ErrorCode.protocol, 'submit', SHEET_KEY, message
        ) from error


def _joined(diffs: list[Difference] | None) -> str:
    if diffs is None:
        return 'unknown, since the sheet in force cannot be read'
    return '; '.join(map(str, diffs)) or 'none'


def _fields(difference: Difference) -> dict[str, str | None]:
    return dataclasses.asdict(difference)
