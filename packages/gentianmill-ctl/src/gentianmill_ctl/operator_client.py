"""Requests to the operator listener of a node."""

import asyncio
from typing import Any

import aiohttp
import msgspec

from gentianmill.errors import ErrorCode, GentianmillError

_UNAUTHORISED_STATUS = 401
_SUCCESS_STATUSES = frozenset((200, 202))


class OperatorClient:
    """Client of the operator listener of one node."""

    def __init__(
        self, node: str, session: aiohttp.ClientSession, key: str = ''
    ) -> None:
        """Create a client.

        Args:
            node: ``host:port`` of the operator listener.
            session: Session with a timeout.
            key: Operator key.
        """
        self._node = node
        self._session = session
        self._headers = {'Authorization': f'Bearer {key}'}

    async def get(self, path: str) -> dict[str, Any]:
        """Return the report under a path."""
        return await self._request('GET', path)

    async def post(self, path: str) -> dict[str, Any]:
        """Send a request that changes something and return the report."""
        return await self._request('POST', path)

    async def _request(self, method: str, path: str) -> dict[str, Any]:
        """Send a request and return the report.

        Raises:
            GentianmillError: ``unauthorised``, or ``upstream_unreachable`` if
                there is no usable response.
        """
        try:
            status, body = await self._exchange(method, path)
        except (aiohttp.ClientError, asyncio.TimeoutError, ValueError) as error:
            reason = str(error) or type(error).__name__
            raise self._unreachable(f'no response from the node: {reason}') from error
        if status == _UNAUTHORISED_STATUS:
            raise GentianmillError(
                ErrorCode.unauthorised, 'ask', self._node, 'the node rejected the key'
            )
        if status not in _SUCCESS_STATUSES:
            body_text = body.decode(errors='replace')
            raise self._unreachable(f'the node returned status {status}: {body_text}')
        try:
            return msgspec.json.decode(body, type=dict[str, Any])
        except msgspec.DecodeError as error:
            raise self._unreachable(
                f'the response is not valid JSON: {error}'
            ) from error

    async def _exchange(self, method: str, path: str) -> tuple[int, bytes]:
        url = f'http://{self._node}{path}'
        async with self._session.request(
            method, url, headers=self._headers, allow_redirects=False
        ) as response:
            return response.status, await response.read()

    def _unreachable(self, message: str) -> GentianmillError:
        return GentianmillError(
            ErrorCode.upstream_unreachable, 'ask', self._node, message
        )
