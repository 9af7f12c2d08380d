"""Client of the platform's table service for ``gentianmillctl``."""

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
_EXPECTED_STATUSES = frozenset((_OK, _NOT_FOUND, _CONFLICT))
_UNAUTHORISED_STATUSES = frozenset((401, 403))


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row as it was read; the revision changes with each write."""

    value: bytes
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Response:
    status: int
    body: bytes
    revision: str


class TableAccess:
    """Read single rows, and write rows if their revisions are the expected ones."""

    def __init__(self, url: str, session: aiohttp.ClientSession, key: str = '') -> None:
        """Create a client.

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
        row_url = f'{self._url}/rows/{quote(key, safe="")}'
        response = await self._send('GET', row_url, None)
        if response.status == _NOT_FOUND:
            return None
        if response.status != _OK or not response.revision.isdecimal():
            raise self._unavailable('the table service did not return a row')
        return Row(response.body, int(response.revision))

    async def replace(
        self, key: str, row: Row, with_rows: Mapping[str, bytes] | None = None
    ) -> bool:
        """Write a row if its revision is the expected one.

        Args:
            key: Key of the row.
            row: New value and expected revision; 0 means that no row exists.
            with_rows: Values by key of rows that are written unconditionally in
                the same transaction.

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
                None deletes the row; revision 0 means that no row exists, None
                writes unconditionally.

        Returns:
            Whether the rows were written.

        Raises:
            GentianmillError: With code ``store_unavailable`` if it is not known
                whether the rows were written.
        """
        body = msgspec.msgpack.encode(writes)
        response = await self._send('POST', f'{self._url}/transact', body)
        if response.status == _NOT_FOUND:
            raise self._unavailable('the table service does not support transactions')
        return response.status == _OK

    async def _send(
        self, method: str, request_url: str, body: bytes | None
    ) -> _Response:
        try:
            response = await self._exchange(method, request_url, body)
        except (aiohttp.ClientError, asyncio.TimeoutError, ValueError) as error:
            reason = str(error) or type(error).__name__
            raise self._unavailable(
                f'no response from the table service: {reason}'
            ) from error
        if response.status in _UNAUTHORISED_STATUSES:
            raise GentianmillError(
                ErrorCode.unauthorised,
                'table',
                self._url,
                'the table service rejected the key',
            )
        if response.status not in _EXPECTED_STATUSES:
            raise self._unavailable(
                f'the table service returned status {response.status}'
            )
        return response

    async def _exchange(
        self, method: str, request_url: str, body: bytes | None
    ) -> _Response:
        async with self._session.request(
            method, URL(request_url, encoded=True), data=body, headers=self._headers
        ) as response:
            revision = response.headers.get(REVISION_HEADER, '')
            return _Response(response.status, await response.read(), revision)

    def _unavailable(self, message: str) -> GentianmillError:
        return GentianmillError(
            ErrorCode.store_unavailable, 'table', self._url, message
        )
