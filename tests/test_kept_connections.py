"""Bytes of an earlier request on a kept connection are not taken for an answer."""

import asyncio

import pytest
from gentianmill.clock import MonotonicClock
from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill.settings_models import UpstreamModel
from gentianmill_node.upstream_client import UpstreamClient
from upstream_calls import upstream_call

TIME_MS = 5000
IDLE_S = 0.05
END = b'\r\n\r\n'
REFUSAL = b'HTTP/1.1 503 Full\r\nX-Outcome: not_run\r\nContent-Length: 0\r\n\r\n'
LONG_REFUSAL = REFUSAL.replace(b'0\r\n\r\n', b'4\r\n\r\nfull')
EARLIER = b'HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nearlier'
OWN = b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown'


class _WritesTwice:
    """Write an answer once more, only on the connection on which it was written."""

    def __init__(self, earlier: bytes, when: str) -> None:
        self._earlier = earlier
        self._when = when
        self._used = False
        self.again = asyncio.Event()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the first request of the first connection twice."""
        try:
            await reader.readuntil(END)
            if not self._used:
                await self._answer_twice(writer)
                await reader.readuntil(END)
                writer.write(self._earlier if self._when == 'next' else b'')
            writer.write(OWN)
            await reader.read()
        except (asyncio.IncompleteReadError, ConnectionError):
            # The node closed the connection.
            pass
        finally:
            writer.close()

    async def _answer_twice(self, writer: asyncio.StreamWriter) -> None:
        self._used = True
        writer.write(self._earlier)
        if self._when == 'at once':
            writer.write(self._earlier)
        if self._when == 'idle':
            await asyncio.sleep(IDLE_S)
            writer.write(self._earlier)
            await writer.drain()
        self.again.set()


async def _play(earlier: bytes, when: str) -> list[bytes | ErrorCode]:
    """Return how two calls end, one after the other."""
    upstream = _WritesTwice(earlier, when)
    server = await asyncio.start_server(upstream.serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    settings = UpstreamModel(
        service='s', endpoint='e', host='127.0.0.1', port=port, slots=1, connections=2
    )
    client = UpstreamClient(settings, 1000, MonotonicClock())
    ends: list[bytes | ErrorCode] = []
    async with server:
        await client.start()
        for _ in range(2):
            try:
                answer = await client.run(upstream_call(), 'token', TIME_MS)
            except GentianmillError as error:
                ends.append(error.code)
            else:
                ends.append(answer.body)
            await upstream.again.wait()
            await asyncio.sleep(IDLE_S)
        await client.close()
    return ends


@pytest.mark.parametrize('when', ['at once', 'idle', 'next'])
@pytest.mark.parametrize('refusal', [REFUSAL, LONG_REFUSAL], ids=['empty', 'body'])
def test_refusal_written_again_refuses_no_other_call(refusal: bytes, when: str):
    """A payment that ran was called not run, and ran again at another upstream."""
    assert asyncio.run(_play(refusal, when)) == [ErrorCode.upstream_refused, b'own']


@pytest.mark.parametrize('when', ['at once', 'idle'])
def test_answer_written_again_answers_no_other_call(when: str):
    """A caller got the answer of the call before on the same connection."""
    assert asyncio.run(_play(EARLIER, when)) == [b'earlier', b'own']
