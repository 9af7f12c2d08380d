"""Sends large bodies in parts, so that none holds up what shares the connection."""

import abc
import dataclasses
from collections.abc import Callable

from gentianmill.relay_messages import RelayPart
from gentianmill_mesh.body_buffer import Body
from gentianmill_mesh.body_stream import BodyStream, StreamEnd

__all__ = ('WINDOW_BYTES', 'PartSender', 'PartSource', 'StreamedBody', 'WholeBody')

PART_BYTES = 64 * 1024

WINDOW_BYTES = 256 * 1024
"""Bytes of a body that are sent ahead of what its receiver has taken: with 60 ms between
regions 4 MB/s for each body."""


class PartSource(abc.ABC):
    """A body that is sent."""

    @abc.abstractmethod
    def read(self, offset: int, max_bytes: int) -> bytes:
        """Return the bytes at an offset that are there now."""

    @abc.abstractmethod
    def end(self, offset: int) -> StreamEnd:
        """Return how the body ends at an offset, if it does."""

    @abc.abstractmethod
    def begin(self, on_ready: Callable[[], None]) -> None:
        """Call a function from now on when there are more bytes."""

    @abc.abstractmethod
    def close(self) -> None:
        """Release the body, as nobody takes the rest."""


class WholeBody(PartSource):
    """A body that is there as a whole, and can be sent again from any offset."""

    def __init__(self, body: Body) -> None:
        """Set the body."""
        self._view = memoryview(body)

    def read(self, offset: int, max_bytes: int) -> bytes:
        """Return the bytes at an offset."""
        return bytes(self._view[offset : offset + max_bytes])

    def end(self, offset: int) -> StreamEnd:
        """Return whether the body ends at an offset."""
        is_end = offset >= len(self._view)
        return StreamEnd.complete if is_end else StreamEnd.none

    def begin(self, on_ready: Callable[[], None]) -> None:
        """Do nothing, as all bytes are there."""

    def close(self) -> None:
        """Do nothing, as others may need the body."""


class StreamedBody(PartSource):
    """A body that is sent while it arrives, once."""

    def __init__(self, stream: BodyStream) -> None:
        """Set the stream."""
        self._stream = stream

    def read(self, offset: int, max_bytes: int) -> bytes:
        """Return the next bytes."""
        return self._stream.take(max_bytes)

    def end(self, offset: int) -> StreamEnd:
        """Return how the body ended."""
        return self._stream.end

    def begin(self, on_ready: Callable[[], None]) -> None:
        """Call a function when bytes arrive."""
        self._stream.on_ready(on_ready)

    def close(self) -> None:
        """Stop the upstream."""
        self._stream.cancel()


@dataclasses.dataclass(slots=True)
class _Outgoing:
    source: PartSource
    offset: int
    limit: int
    is_resuming: bool
    """Whether the receiver has to tell first how much it has."""


class PartSender:
    """Send the parts of several bodies in turn on one connection."""

    def __init__(
        self, send: Callable[[RelayPart], None], may_send: Callable[[], bool]
    ) -> None:
        """Create a sender without bodies.

        Args:
            send: Sends a part.
            may_send: Returns whether the connection takes more bytes now; call ``pump``
                when it does again.
        """
        self._send = send
        self._may_send = may_send
        self._bodies: dict[int, _Outgoing] = {}
        self._unconfirmed: dict[int, int] = {}
        self._is_pumping = False

    @property
    def ahead_bytes(self) -> int:
        """Return an upper bound of what was sent ahead of what the receiver took."""
        return len(self._bodies) * WINDOW_BYTES

    @property
    def busy(self) -> bool:
        """Return whether a receiver may not have all of a body."""
        return bool(self._bodies or self._unconfirmed)

    def add(self, key: int, source: PartSource, offset: int, limit: int) -> None:
        """Send a body.

        Args:
            key: Number of its call.
            source: The body.
            offset: Bytes that the receiver has.
            limit: Bytes from the start of the body that it takes; 0 if it has to tell
                first where to go on.
        """
        self._bodies[key] = _Outgoing(source, offset, limit, is_resuming=not limit)
        source.begin(self.pump)
        self.pump()

    def grant(self, key: int, received: int, limit: int) -> bool:
        """Send on up to a new limit; return whether the body is being sent.

        Args:
            key: Number of the call.
            received: Bytes that the receiver has.
            limit: Bytes from the start of the body that it takes.
        """
        outgoing = self._bodies.get(key)
        if outgoing is None:
            if received >= self._unconfirmed.get(key, 0):
                self._unconfirmed.pop(key, None)
            return False
        if outgoing.is_resuming:
            outgoing.is_resuming = False
            outgoing.offset = received
        outgoing.limit = max(limit, outgoing.limit)
        self.pump()
        return True

    def is_sending(self, key: int) -> bool:
        """Return whether the body of a call has not been sent as a whole."""
        return key in self._bodies

    def remove(self, key: int) -> None:
        """Stop sending a body, as nobody takes the rest."""
        self._unconfirmed.pop(key, None)
        outgoing = self._bodies.pop(key, None)
        if outgoing is not None:
            outgoing.source.close()

    def close(self) -> None:
        """Stop sending, as the connection is lost."""
        for key in tuple(self._bodies):
            self.remove(key)
        self._unconfirmed.clear()

    def pump(self) -> None:
        """Send what may be sent."""
        if self._is_pumping:
            return
        self._is_pumping = True
        try:
            may_send_more = True
            while may_send_more:
                may_send_more = self._send_round()
        finally:
            self._is_pumping = False

    def _send_round(self) -> bool:
        """Send one part of each body; return whether one was sent."""
        sent = False
        for key, outgoing in tuple(self._bodies.items()):
            if not self._may_send():
                return False
            sent |= self._send_part(key, outgoing)
        return sent

    def _send_part(self, key: int, outgoing: _Outgoing) -> bool:
        if outgoing.is_resuming:
            return False
        offset = outgoing.offset
        count = min(PART_BYTES, outgoing.limit - offset)
        content = outgoing.source.read(offset, count) if count > 0 else b''
        outgoing.offset += len(content)
        end = outgoing.source.end(outgoing.offset)
        if not content and end is StreamEnd.none:
            return False
        if end is not StreamEnd.none:
            self._bodies.pop(key, None)
        if end is StreamEnd.complete:
            self._unconfirmed[key] = outgoing.offset
        self._send(RelayPart(key, offset, content, end.value))
        return True
