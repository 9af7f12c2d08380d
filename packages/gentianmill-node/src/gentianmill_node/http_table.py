"""HTTP client of the platform's table service."""

import pathlib
from collections.abc import Mapping, Sequence
from typing import TypeVar
from urllib.parse import quote

import aiohttp
import msgspec
import yarl

from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill.settings_models import TableModel
from gentianmill_node.table_client import TableRow, TableStore, TableWrite

MS_PER_S = 1000
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
RETRY_AFTER_MS = 1000
STEP = 'table'

_Rows = list[tuple[str, bytes, int]]
_Content = TypeVar('_Content')


class HttpTableStore(TableStore):
    """Read and write rows over HTTP.

    A timeout, a broken connection, an unexpected status and a malformed body
    are all reported as ``store_unavailable``.
    """

    def __init__(self, settings: TableModel, session: aiohttp.ClientSession) -> None:
        """Create a client.

        Args:
            settings: URL, key file and timeout of the table service.
            session: Session used for all requests; the caller closes it.

        Raises:
            OSError: If the key file cannot be read.
        """
        self._url = settings.url.rstrip('/')
        self._session = session
        self._timeout = aiohttp.ClientTimeout(total=settings.timeout_ms / MS_PER_S)
        self._headers: dict[str, str] = {}
        if settings.key_file:
            token = pathlib.Path(settings.key_file).read_text(encoding='utf-8')
            self._headers['Authorization'] = f'Bearer {token.strip()}'

    async def read(self, key: str) -> TableRow | None:
        """Read one row, or None if it does not exist."""
        quoted = quote(key, safe='')
        status, headers, body = await self._send('GET', f'/rows/{quoted}')
        if status == HTTP_NOT_FOUND:
            return None
        self._check_status(status, HTTP_OK)
        try:
            return TableRow(key, body, int(headers['X-Revision']))
        except (KeyError, ValueError) as error:
            raise self._unavailable_error(
                f'row {key!r} has no valid revision'
            ) from error

    async def scan(self, prefix: str) -> list[TableRow]:
        """Read all rows whose key starts with a prefix."""
        quoted = quote(prefix, safe='')
        status, _, body = await self._send('GET', f'/scan?prefix={quoted}')
        self._check_status(status, HTTP_OK)
        return [TableRow(*entry) for entry in self._decode(body, _Rows)]

    async def first_keys(self, prefix: str, limit: int) -> list[str]:
        """Return the first keys with a prefix in key order, at most ``limit``."""
        target = f'/keys?prefix={quote(prefix, safe="")}&limit={limit}'
        status, _, body = await self._send('GET', target)
        self._check_status(status, HTTP_OK)
        return self._decode(body, list[str])

    async def transact(self, writes: Sequence[TableWrite]) -> tuple[str, ...]:
        """Apply all writes, or none of them; see the base class."""
        payload = msgspec.msgpack.encode(
            [(write.key, write.value, write.expected_revision) for write in writes]
        )
        status, _, body = await self._send('POST', '/transact', payload)
        if status == HTTP_CONFLICT:
            return tuple(self._decode(body, list[str]))
        self._check_status(status, HTTP_OK)
        return ()

    async def _send(
        self, method: str, target: str, payload: bytes | None = None
    ) -> tuple[int, Mapping[str, str], bytes]:
        url = yarl.URL(self._url + target, encoded=True)
        try:
            async with self._session.request(
                method, url, data=payload, headers=self._headers, timeout=self._timeout
            ) as response:
                return response.status, response.headers, await response.read()
        except (aiohttp.ClientError, OSError) as error:
            reason = str(error) or type(error).__name__
            raise self._unavailable_error(f'{method} failed: {reason}') from error

    def _check_status(self, status: int, expected: int) -> None:
        if status != expected:
            raise self._unavailable_error(f'status {status}, expected {expected}')

    def _decode(self, body: bytes, kind: type[_Content]) -> _Content:
        try:
            return msgspec.msgpack.decode(body, type=kind)
        except msgspec.DecodeError as error:
            raise self._unavailable_error(f'malformed body: {error}') from error

    def _unavailable_error(self, reason: str) -> GentianmillError:
        return GentianmillError(
            ErrorCode.store_unavailable,
            STEP,
            self._url,
            f'table service unavailable: {reason}',
            retry_after_ms=RETRY_AFTER_MS,
        )
