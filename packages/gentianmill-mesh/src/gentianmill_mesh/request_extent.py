"""Where a request ends in the bytes that were received."""

from gentianmill_mesh.head_splitter import END

__all__ = ('RequestExtent',)

LINE_END = b'\r\n'


class RequestExtent:
    """Tell what a parser holds behind a request that has ended.

    One that holds nothing may be replaced, which frees the head that it keeps.
    """

    def __init__(self) -> None:
        """Start at the beginning of a request."""
        self._carry = b''
        self._received = 0
        self._head_size = 0
        self._is_known = True

    @property
    def is_at_start(self) -> bool:
        """Return whether no bytes of the next request have been received."""
        return self._is_known and not self._received

    @property
    def head_size(self) -> int:
        """Return the bytes of the head, or 0 if they are not known."""
        return self._head_size

    def add(self, piece: bytes) -> None:
        """Count bytes of the request, and perhaps of the next one."""
        if not (piece and self._is_known):
            return
        if not self._received and piece[:1] in LINE_END:
            # Empty lines before a request look like the end of its head.
            self.lose()
            return
        if not self._head_size:
            buffered = self._carry + piece
            found = buffered.find(END)
            if found < 0:
                self._carry = buffered[1 - len(END) :]
            else:
                start = self._received - len(self._carry)
                self._head_size = start + found + len(END)
        self._received += len(piece)

    def bytes_behind(self, length: int) -> int | None:
        """Return how many bytes follow the request, or None if that is not known.

        Args:
            length: Bytes of its body, which is not chunked.
        """
        if not (self._is_known and self._head_size):
            return None
        return self._received - self._head_size - length

    def begin(self) -> None:
        """Begin the next request with the next bytes."""
        self._carry = b''
        self._received = 0
        self._head_size = 0
        self._is_known = True

    def lose(self) -> None:
        """Stop counting, as the next request may have begun in the last bytes."""
        self._is_known = False
        self._head_size = 0
