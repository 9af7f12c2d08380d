"""Tests that a duplicate response on a persistent connection reaches no other call."""

import asyncio

import pytest
from gentianmill.clock import MonotonicClock
from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill.settings_models import UpstreamModel
from gentianmill_node.upstream_client import UpstreamClient
from upstream_calls import upstream_call

CALL_TIMEOUT_MS = 5000
IDLE_S = 0.05
HEADER_END = b'\r\n\r\n'
REFUSAL = b'HTTP/1.1 503 Full\r\nX-Outcome: not_run\r\nContent-Length: 0\r\n\r\n'
LONG_REFUSAL = REFUSAL.replace(b'0\r\n\r\n', b'4\r\n\r\nfull')
EARLIER_RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nearlier'
OWN_RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown'


class _DuplicatingUpstream:
    """Write the first response twice, on the connection of its request only."""

    def __init__(self, first_response: bytes, when: str) -> None:
        self._response = first_response
        self._when = when
        self._has_responded = False
        self.first_request_done = asyncio.Event()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Respond twice to the first request of the first connection."""
        try:
            await reader.readuntil(HEADER_END)
            if not self._has_responded:
                await self._respond_twice(writer)
                await reader.readuntil(HEADER_END)
                writer.write(self._response if self._when == 'next' else b'')
            writer.write(OWN_RESPONSE)
            await reader.read()
        except (asyncio.IncompleteReadError, ConnectionError):
            # The node closed the connection.
            pass
        finally:
            writer.close()

    async def _respond_twice(self, writer: asyncio.StreamWriter) -> None:
        self._has_responded = True
        writer.write(self._response)
        if self._when == 'at once':
            writer.write(self._response)
        if self._when == 'idle':
            await asyncio.sleep(IDLE_S)
            writer.write(self._response)
            await writer.drain()
        self.first_request_done.set()


async def _run_two_calls(first_response: bytes, when: str) -> list[bytes | ErrorCode]:
    """Run two calls sequentially and return their bodies or error codes."""
    upstream = _DuplicatingUpstream(first_response, when)
    server = await asyncio.start_server(upstream.serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    settings = UpstreamModel(
        service='s', endpoint='e', host='127.0.0.1', port=port, slots=1, connections=2
    )
    client = UpstreamClient(settings, 1000, MonotonicClock())
    results: list[bytes | ErrorCode] = []
    async with server:
        await client.start()
        for _ in range(2):
            try:
                response = await client.run(upstream_call(), 'token', CALL_TIMEOUT_MS)
            except GentianmillError as error:
                results.append(error.code)
            else:
                results.append(response.body)
            await upstream.first_request_done.wait()
            await asyncio.sleep(IDLE_S)
        await client.close()
    return results


@pytest.mark.parametrize('when', ['at once', 'idle', 'next'])
@pytest.mark.parametrize('refusal', [REFUSAL, LONG_REFUSAL], ids=['empty', 'body'])
def test_duplicate_refusal_refuses_no_other_call(refusal: bytes, when: str):
    """A payment that ran was reported as not run, and ran again at another upstream."""
    assert asyncio.run(_run_two_calls(refusal, when)) == [
        ErrorCode.upstream_refused,
        b'own',
    ]


@pytest.mark.parametrize('when', ['at once', 'idle'])
def test_duplicate_response_completes_no_other_call(when: str):
    """A caller received the response to the previous call on the same connection."""
    assert asyncio.run(_run_two_calls(EARLIER_RESPONSE, when)) == [b'earlier', b'own']
