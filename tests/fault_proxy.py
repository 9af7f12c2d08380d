"""A TCP proxy between two processes that injects network faults."""

import asyncio
import contextlib

from gentianmill_mesh.connection_reset import reset_connection
from silent_socket import silence
from standins.processes import HOST


class FaultProxy:
    """A TCP proxy that can delay, reset, refuse or blackhole its connections."""

    def __init__(self, target_port: int, target_host: str = HOST) -> None:
        """Set the host and port that connections are forwarded to."""
        self.port = 0
        self.refusing = False
        self.dropping = False
        """Whether it drops all bytes, in both directions."""

        self.dropping_responses = False
        """Whether it drops only the bytes sent back by the target."""

        self.delay_s = float(0)
        self._target = target_host, target_port
        self._writers: set[asyncio.StreamWriter] = set()
        self._muted: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        open_writers = [
            writer for writer in self._writers if not writer.transport.is_closing()
        ]
        return len(open_writers) // 2

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset all connections; an ordinary close would look like a clean end."""
        for writer in tuple(self._writers):
            reset_connection(writer.transport)

    def mute(self) -> None:
        """Forward nothing more on the open connections; new ones work.

        The kernel still acknowledges what arrives, as for a process that hangs.
        """
        self._muted |= self._writers

    def silence(self) -> None:
        """Make the open connections silent in both directions; new ones work."""
        self.mute()
        for writer in self._writers:
            silence(writer.get_extra_info('socket'))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.refusing:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        await asyncio.wait(
            {
                asyncio.ensure_future(self._forward(reader, target_writer)),
                asyncio.ensure_future(
                    self._forward(target_reader, writer, is_response=True)
                ),
            }
        )
        # A delayed close is still due, and ``close`` must find the connection until then.
        for open_writer in (writer, target_writer):
            with contextlib.suppress(ConnectionError):
                await open_writer.wait_closed()
        self._writers -= {writer, target_writer}
        self._muted -= {writer, target_writer}

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_response: bool = False,
    ) -> None:
        loop = asyncio.get_running_loop()
        try:
            while data := await reader.read(65536):
                if not self._drops(writer, is_response=is_response):
                    loop.call_later(self.delay_s, writer.write, data)
        except ConnectionError:
            reset_connection(writer.transport)
            return
        # Not before what was read last, which is written with the same delay.
        loop.call_later(self.delay_s, writer.close)

    def _drops(self, writer: asyncio.StreamWriter, *, is_response: bool) -> bool:
        if self.dropping or writer in self._muted:
            return True
        return is_response and self.dropping_responses
