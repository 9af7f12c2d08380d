"""A body that is collected until it is whole."""

from gentianmill.byte_budget import SMALL_BYTES

__all__ = ('Body', 'BodyBuffer')

Body = bytes | bytearray


class BodyBuffer:
    """Collect a body without holding it twice.

    The pieces of a small body are joined at its end. A large one grows in place: the
    allocator extends such a block by moving its pages, not by copying them.
    """

    def __init__(self) -> None:
        """Start an empty body."""
        self._pieces: list[bytes] = []
        self._large: bytearray | None = None
        self._size = 0

    def __len__(self) -> int:
        """Return the bytes so far."""
        return self._size

    def add(self, piece: bytes) -> None:
        """Append a piece."""
        self._size += len(piece)
        if self._large is not None:
            self._large += piece
            return
        self._pieces.append(piece)
        if self._size > SMALL_BYTES:
            self._large = bytearray(b''.join(self._pieces))
            self._pieces.clear()

    def body(self) -> Body:
        """Return the body; nothing may be added any more."""
        if self._large is not None:
            return self._large
        return b''.join(self._pieces)
