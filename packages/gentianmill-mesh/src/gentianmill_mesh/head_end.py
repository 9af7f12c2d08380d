"""Finds where heads of HTTP messages may end in a stream of bytes."""

from collections.abc import Iterator

END = b'\r\n\r\n'

MOST_PIECES = 64
"""Pieces that the bytes of one read are cut into; an upstream may send empty lines
without end, and each piece costs a call of the parser."""


class HeadEnd:
    """Cut bytes behind each empty line, also if it arrives in parts.

    Empty lines in bodies cut them too, which does no harm.
    """

    def __init__(self) -> None:
        """Start at the begin of a stream."""
        self._before = b''

    def pieces(self, data: bytes) -> Iterator[bytes]:
        """Return the bytes in pieces.

        Args:
            data: The next bytes of the stream.
        """
        known = self._before + data
        start = len(self._before)
        self._before = known[1 - len(END) :]
        begin = 0
        for _ in range(MOST_PIECES):
            found = known.find(END, begin)
            if found < 0:
                break
            begin = found + 1
            yield known[start : found + len(END)]
            start = found + len(END)
        if start < len(known):
            yield known[start:]
