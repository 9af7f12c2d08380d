"""A TCP relay between two processes, whose connections can be harmed."""

import asyncio

from standins.processes import HOST


class Cable:
    """A TCP relay whose connections can be delayed, reset, refused or made silent."""

    def __init__(self, target_port: int, target_host: str = HOST) -> None:
        """Set where connections lead."""
        self.port = 0
        self.refusing = False
        self.hanging = False
        """Whether it drops what is sent, in both directions."""

        self.losing_answers = False
        """Whether it drops only what comes back."""

        self.delay_s = float(0)
        self._target = target_host, target_port
        self._writers: set[asyncio.StreamWriter] = set()
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
        """Take no more connections and end all."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """End all connections."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.refusing:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        await asyncio.wait(
            {
                asyncio.ensure_future(self._copy(reader, far_writer)),
                asyncio.ensure_future(self._copy(far_reader, writer, is_answer=True)),
            }
        )
        self._writers -= {writer, far_writer}

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_answer: bool = False,
    ) -> None:
        loop = asyncio.get_running_loop()
        try:
            while data := await reader.read(65536):
                if not (self.hanging or (is_answer and self.losing_answers)):
                    loop.call_later(self.delay_s, writer.write, data)
        except ConnectionError:
            pass
        writer.close()
