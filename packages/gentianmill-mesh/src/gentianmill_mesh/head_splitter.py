"""Splits a byte stream where the head of an HTTP message may end."""

from collections.abc import Iterator

END = b'\r\n\r\n'

MAX_PIECES = 64
"""Pieces into which the bytes of one read are split. An upstream may send an unbounded
number of empty lines, and each piece costs a call of the parser."""


class HeadSplitter:
    """Split bytes after each empty line, even if the line arrives in parts.

    Bodies are split at empty lines too, which does no harm.
    """

    def __init__(self) -> None:
        """Start at the beginning of a stream."""
        self._tail = b''

    def pieces(self, data: bytes) -> Iterator[bytes]:
        """Yield the bytes in pieces.

        Args:
            data: The next bytes of the stream.
        """
        buffered = self._tail + data
        start = len(self._tail)
        self._tail = buffered[1 - len(END) :]
        search_from = 0
        for _ in range(MAX_PIECES):
            found = buffered.find(END, search_from)
            if found < 0:
                break
            search_from = found + 1
            yield buffered[start : found + len(END)]
            start = found + len(END)
        if start < len(buffered):
            yield buffered[start:]
