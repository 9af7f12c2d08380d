"""Large bodies of answers that another node sends in parts."""

from collections.abc import Callable

from gentianmill.byte_budget import ByteBudget
from gentianmill.relay_messages import RelayCancel, RelayCredit, RelayPart
from gentianmill_mesh.body_stream import BodyStream, StreamEnd
from gentianmill_mesh.part_sender import WINDOW_BYTES
from gentianmill_node.logs import component

__all__ = ('IncomingBodies',)

log = component('relay')


class IncomingBodies:
    """Pass parts on, and tell the other node how much more is taken."""

    def __init__(
        self, budget: ByteBudget, send: Callable[[RelayCredit | RelayCancel], object]
    ) -> None:
        """Create an object without bodies.

        Args:
            budget: Counts what is held.
            send: Sends a frame to the other node.
        """
        self._budget = budget
        self._send = send
        self._streams: dict[int, BodyStream] = {}
        self._limits: dict[int, int] = {}

    def __len__(self) -> int:
        """Return the number of bodies that have not ended."""
        return len(self._streams)

    def begin(self, key: int, length: int) -> BodyStream:
        """Return the stream of a body.

        Args:
            key: Number of its call.
            length: Bytes, or -1 if their number is not known.
        """
        stream = BodyStream(self._budget, None if length < 0 else length)
        self._streams[key] = stream
        self._limits[key] = WINDOW_BYTES
        stream.on_taken(lambda: self._grant(key))
        stream.on_finished(lambda: self._end(key))
        return stream

    def add(self, part: RelayPart) -> None:
        """Pass on a part; what was passed on before is dropped."""
        stream = self._streams.get(part.key)
        if stream is None:
            return
        if part.offset > stream.received:
            log.warning('Part of a body is missing.', key=part.key)
            stream.fail('part_missing')
            return
        stream.feed(part.content[stream.received - part.offset :])
        if part.end == StreamEnd.complete.value:
            stream.complete()
        elif part.end == StreamEnd.cut.value:
            stream.fail('cut_by_peer')

    def resume(self) -> None:
        """Ask for the rest of all bodies on a new connection."""
        for key, stream in tuple(self._streams.items()):
            self._send(RelayCredit(key, stream.received, self._limits[key]))

    def fail(self, reason: str) -> None:
        """Cut all bodies, as nothing more arrives."""
        for stream in tuple(self._streams.values()):
            stream.fail(reason)

    def _grant(self, key: int) -> None:
        stream = self._streams.get(key)
        if stream is None:
            return
        limit = stream.taken + WINDOW_BYTES
        if limit - self._limits[key] >= WINDOW_BYTES // 2:
            self._limits[key] = limit
            self._send(RelayCredit(key, stream.received, limit))

    def _end(self, key: int) -> None:
        """Tell the other node that it need not keep or send the body any more."""
        stream = self._streams.pop(key)
        limit = self._limits.pop(key)
        if stream.is_whole:
            self._send(RelayCredit(key, stream.received, limit))
        else:
            self._send(RelayCancel(key))
