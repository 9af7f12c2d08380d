"""Access of the operators' program to the platform's table service."""

import asyncio
import dataclasses
from collections.abc import Mapping, Sequence
from urllib.parse import quote

import aiohttp
import msgspec
from yarl import URL

from gentianmill.errors import ErrorCode, GentianmillError

RowWrite = tuple[str, bytes | None, int | None]

REVISION_HEADER = 'X-Revision'
_OK = 200
_NOT_FOUND = 404
_CONFLICT = 409
_ANSWERS = frozenset((_OK, _NOT_FOUND, _CONFLICT))
_REFUSALS = frozenset((401, 403))


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row as read; the revision changes with each write."""

    value: bytes
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    status: int
    body: bytes
    revision: str


class TableAccess:
    """Read one row, and write rows on condition of their revisions."""

    def __init__(self, url: str, session: aiohttp.ClientSession, key: str = '') -> None:
        """Use a table service.

        Args:
            url: Base URL of the table service.
            session: Session with a timeout.
            key: Bearer token; empty if none is needed.
        """
        self._url = url.rstrip('/')
        self._session = session
        self._headers = {'Authorization': f'Bearer {key}'} if key else {}

    async def read(self, key: str) -> Row | None:
        """Return a row, or None if it does not exist.

        Raises:
            GentianmillError: With code ``store_unavailable`` or ``unauthorised``.
        """
        place = f'{self._url}/rows/{quote(key, safe="")}'
        answer = await self._send('GET', place, None)
        if answer.status == _NOT_FOUND:
            return None
        if answer.status != _OK or not answer.revision.isdecimal():
            raise self._unavailable('the table did not answer with a row')
        return Row(answer.body, int(answer.revision))

    async def replace(
        self, key: str, row: Row, with_rows: Mapping[str, bytes] | None = None
    ) -> bool:
        """Write a row if its revision is the expected one.

        Args:
            key: Key of the row.
            row: New value and expected revision; 0 means no row.
            with_rows: Rows that are written without condition in the same
                transaction, by key.

        Returns:
            Whether the rows were written.

        Raises:
            GentianmillError: With code ``store_unavailable`` if it is not known
                whether the row was written.
        """
        writes: list[RowWrite] = [(key, row.value, row.revision)]
        writes += [(other, value, None) for other, value in (with_rows or {}).items()]
        return await self.transact(writes)

    async def transact(self, writes: Sequence[RowWrite]) -> bool:
        """Write all rows, or none of them.

        Args:
            writes: Key, new value and expected revision of each row. A value of
                None deletes it; revision 0 means no row, None no condition.

        Returns:
            Whether the rows were written.

        Raises:
            GentianmillError: With code ``store_unavailable`` if it is not known
                whether the rows were written.
        """
        body = msgspec.msgpack.encode(writes)
        answer = await self._send('POST', f'{self._url}/transact', body)
        if answer.status == _NOT_FOUND:
            raise self._unavailable('the table knows no transactions')
        return answer.status == _OK

    async def _send(self, method: str, place: str, body: bytes | None) -> _Answer:
        try:
            answer = await self._exchange(method, place, body)
        except (aiohttp.ClientError, asyncio.TimeoutError, ValueError) as error:
            reason = str(error) or type(error).__name__
            raise self._unavailable(f'the table did not answer: {reason}') from error
        if answer.status in _REFUSALS:
            raise GentianmillError(
                ErrorCode.unauthorised, 'table', self._url, 'the table refused the key'
            )
        if answer.status not in _ANSWERS:
            raise self._unavailable(f'the table answered {answer.status}')
        return answer

    async def _exchange(self, method: str, place: str, body: bytes | None) -> _Answer:
        async with self._session.request(
            method, URL(place, encoded=True), data=body, headers=self._headers
        ) as response:
            revision = response.headers.get(REVISION_HEADER, '')
            return _Answer(response.status, await response.read(), revision)

    def _unavailable(self, message: str) -> GentianmillError:
        return GentianmillError(
            ErrorCode.store_unavailable, 'table', self._url, message
        )
