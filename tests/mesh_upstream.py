"""An upstream whose responses are scripted byte for byte."""

import asyncio
import dataclasses
import socket
import struct

from gentianmill.clock import MonotonicClock
from gentianmill_mesh.http_message import HttpRequest, HttpResponse
from gentianmill_mesh.upstream_pool import UpstreamPool
from gentianmill_mesh.wire_names import WireNames

NAMES = WireNames(
    request_id=b'x-attempt',
    time_left=b'x-time-left',
    caller_service=b'x-caller',
    expected_upstream=b'x-expected',
    not_run=b'x-not-run',
    key=b'x-key',
    key_scheme=b'Pass',
    team=b'x-team',
)


@dataclasses.dataclass
class Script:
    """The responses that the upstream sends, and when it closes the connection."""

    responses: list[bytes]
    close_after: int = -1
    """Index of the response after which it closes; -1 for never."""

    reset: bool = False
    """Whether it closes with a TCP reset."""


class ScriptedUpstream:
    """Accept connections and respond to requests sequentially from a script."""

    def __init__(self, script: Script) -> None:
        """Set the script."""
        self.heads: list[bytes] = []
        self.connections = 0
        self.open_connections = 0
        self._script = script
        self._sent = 0
        self._server: asyncio.Server | None = None
        self.port = 0

    async def __aenter__(self) -> 'ScriptedUpstream':
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop listening."""
        self._server.close()

    def stop_listening(self) -> None:
        """Refuse new connections."""
        self._server.close()

    def pool(self) -> UpstreamPool:
        """Return a pool of connections to this upstream."""
        return UpstreamPool('127.0.0.1', self.port, NAMES, MonotonicClock())

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self.open_connections += 1
        try:
            await self._respond(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            # The node closed the connection.
            pass
        finally:
            # Also when the event loop ends, after which nothing can close it.
            writer.close()
            self.open_connections -= 1

    async def _respond(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            self.heads.append(await reader.readuntil(b'\r\n\r\n'))
            if self._sent >= len(self._script.responses):
                continue
            number = self._sent
            self._sent += 1
            writer.write(self._script.responses[number])
            await writer.drain()
            if number == self._script.close_after:
                await self._close(writer)
                return

    async def _close(self, writer: asyncio.StreamWriter) -> None:
        if self._script.reset:
            # Closing with a linger time of 0 sends RST instead of FIN.
            linger = struct.pack('ii', 1, 0)
            writer.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, linger
            )
            writer.transport.abort()
        else:
            writer.close()


def request(
    target: bytes = b'/a', method: str = 'GET', body: bytes = b''
) -> HttpRequest:
    """Return a request with an id."""
    return HttpRequest(method, target, [[b'Host', b'h'], [b'X-Attempt', b'1']], body)


async def run(
    pool: UpstreamPool,
    sent: HttpRequest | None = None,
    request_id: bytes = b'1',
    repeatable: bool = True,
) -> HttpResponse:
    """Run a request with a timeout of one second."""
    return await pool.run(
        sent or request(), request_id, [], repeatable, 1, lambda: True
    )
