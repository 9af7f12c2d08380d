"""A body of a response that is passed on while it arrives."""

import asyncio
import enum
from collections import deque
from collections.abc import Callable

from gentianmill.byte_budget import SMALL_BYTES, ByteBudget, HeldKind
from gentianmill_mesh.body_buffer import Body, BodyBuffer

__all__ = ('BodyStream', 'StreamEnd', 'collected', 'stream_of')


class StreamEnd(enum.StrEnum):
    """How a body ended."""

    none = ''
    complete = 'complete'
    cut = 'cut'


class BodyStream:
    """Carry the bytes of one body from a producer to a consumer.

    The producer stops reading while the consumer is slow: it watches ``buffered`` in the
    function that it gives to ``on_taken``.
    """

    def __init__(self, budget: ByteBudget, length: int | None = None) -> None:
        """Create a stream without bytes.

        Args:
            budget: Counts what is held.
            length: Bytes of the whole body, or None if it is not known yet.
        """
        self._budget = budget
        self._length = length
        self._pieces: deque[memoryview | bytes] = deque()
        self._buffered = 0
        self._taken = 0
        self._end = StreamEnd.none
        self._reason = ''
        self._is_cancelled = False
        self._on_ready: Callable[[], None] | None = None
        self._on_taken: Callable[[], None] | None = None
        self._on_finished: list[Callable[[], None]] = []

    @property
    def length(self) -> int | None:
        """Return the bytes of the whole body, or None if it is not known."""
        return self._length

    @property
    def buffered(self) -> int:
        """Return the bytes that wait for the consumer."""
        return self._buffered

    @property
    def taken(self) -> int:
        """Return the bytes that the consumer has taken."""
        return self._taken

    @property
    def received(self) -> int:
        """Return the bytes that have arrived."""
        return self._taken + self._buffered

    @property
    def is_finished(self) -> bool:
        """Return whether no more bytes arrive."""
        return self._is_cancelled or self._end is not StreamEnd.none

    @property
    def is_whole(self) -> bool:
        """Return whether all bytes have arrived."""
        return self._end is StreamEnd.complete and not self._is_cancelled

    @property
    def end(self) -> StreamEnd:
        """Return how the body ended, once all of its bytes were taken or it was cut."""
        if self._end is StreamEnd.complete and self._buffered:
            return StreamEnd.none
        return self._end

    @property
    def reason(self) -> str:
        """Return why the body was cut."""
        return self._reason

    def on_ready(self, listener: Callable[[], None]) -> None:
        """Set the function that is called when bytes or the end have arrived."""
        self._on_ready = listener

    def on_taken(self, listener: Callable[[], None]) -> None:
        """Set the function that is called when the consumer has taken bytes."""
        self._on_taken = listener

    def on_finished(self, listener: Callable[[], None]) -> None:
        """Add a function that is called once when no more bytes arrive."""
        if self.is_finished:
            listener()
        else:
            self._on_finished.append(listener)

    def feed(self, piece: memoryview | bytes) -> None:
        """Append bytes; they are dropped if nobody takes them any more."""
        if self.is_finished or not piece:
            return
        self._pieces.append(piece)
        self._buffered += len(piece)
        self._budget.hold(HeldKind.response, len(piece))
        self._notify(self._on_ready)

    def complete(self) -> None:
        """End the body; it is cut if bytes of its length are missing."""
        if self._length is not None and self.received != self._length:
            self.fail('bytes are missing')
            return
        self._finish(StreamEnd.complete)

    def fail(self, reason: str) -> None:
        """Cut the body.

        Args:
            reason: Why the rest is missing.
        """
        self._reason = self._reason or reason
        self._finish(StreamEnd.cut)

    def cancel(self) -> None:
        """Drop what is buffered, as nobody takes it; the producer stops."""
        self._is_cancelled = True
        self._pieces.clear()
        self._budget.release(HeldKind.response, self._buffered)
        self._buffered = 0
        self._notify_finished()

    def take(self, max_bytes: int) -> bytes:
        """Return the next bytes, or nothing if there are none now."""
        if not self._pieces:
            return b''
        piece = self._pieces.popleft()
        if len(piece) > max_bytes:
            rest = memoryview(piece)
            self._pieces.appendleft(rest[max_bytes:])
            piece = rest[:max_bytes]
        self._buffered -= len(piece)
        self._taken += len(piece)
        self._budget.release(HeldKind.response, len(piece))
        self._notify(self._on_taken)
        return bytes(piece)

    def _finish(self, end: StreamEnd) -> None:
        if self.is_finished:
            return
        self._end = end
        self._notify_finished()
        self._notify(self._on_ready)

    def _notify_finished(self) -> None:
        while self._on_finished:
            self._on_finished.pop(0)()

    def _notify(self, listener: Callable[[], None] | None) -> None:
        if listener is not None:
            listener()


def stream_of(body: Body, budget: ByteBudget) -> BodyStream:
    """Return the stream of a whole body."""
    stream = BodyStream(budget, len(body))
    stream.feed(memoryview(body))
    stream.complete()
    return stream


async def collected(stream: BodyStream) -> Body | None:
    """Return the whole body of a stream, or None if it is cut."""
    buffer = BodyBuffer()
    while True:
        has_arrived = asyncio.Event()
        stream.on_ready(has_arrived.set)
        while piece := stream.take(SMALL_BYTES):
            buffer.add(piece)
        if stream.end is StreamEnd.complete:
            return buffer.body()
        if stream.end is StreamEnd.cut:
            return None
        await has_arrived.wait()
