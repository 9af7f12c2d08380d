"""Counts the bytes of the head that a connection is receiving."""

from gentianmill_mesh.head_splitter import END

__all__ = ('HeadCount',)

EMPTY_LINES = b'\r\n'


class HeadCount:
    """Count what was received of a head, without the message in front of it.

    One piece may hold the end of a body and the beginning of the next head. If it is not
    known where that begins, the last possible end of a head tells; bytes of a body that
    look like one make the count too low, never too high.
    """

    def __init__(self) -> None:
        """Start at the beginning of a head."""
        self._piece = b''
        self._begun = b''
        self._count = 0
        self._upper_bound = 0

    @property
    def count(self) -> int:
        """Return the bytes of a head that has not ended."""
        return self._count

    @property
    def upper_bound(self) -> int:
        """Return a number of bytes that a head which has ended does not exceed."""
        return self._upper_bound

    @property
    def begun(self) -> bytes:
        """Return the bytes behind the last message that belong to an incomplete head."""
        return self._begun

    @property
    def unparsed_bound(self) -> int:
        """Return a number that the bytes behind the last message do not exceed."""
        return self._upper_bound

    def add(self, piece: bytes) -> None:
        """Count a piece that arrived while no body was being received."""
        self._count += len(piece)
        self._upper_bound += len(piece)
        if piece:
            self._piece = piece

    def add_to_body(self, piece: bytes) -> None:
        """Keep a piece that arrived while a body was being received."""
        if piece:
            self._piece = piece

    def end_head(self) -> None:
        """Count nothing more, as the head has ended."""
        self._count = 0
        self._upper_bound = 0

    def end_message(
        self, body_bytes: int, behind: int | None, *, has_head: bool
    ) -> None:
        """Begin the next head with what follows the message in the last piece.

        Args:
            body_bytes: Bytes of the body in the last piece.
            behind: Bytes of that piece that follow, or None if it is not known.
            has_head: Whether the head ended in that piece, too.
        """
        piece = self._piece
        self._upper_bound = len(piece) - body_bytes
        if behind is None and has_head:
            self._begun = piece.rpartition(END)[2][body_bytes:]
        elif behind is None:
            self._begun = piece[body_bytes:]
        else:
            self._begun = piece[len(piece) - behind :]
        self._count = len(self._begun)

    def end_chunked_message(self, body_bytes: int) -> None:
        """Begin the next head with what follows the last chunk and the trailers.

        Args:
            body_bytes: Bytes of the body in the last piece.
        """
        self._upper_bound = len(self._piece) - body_bytes
        # Their end may have begun in the piece before.
        self._begun = self._piece.rpartition(END)[2].lstrip(EMPTY_LINES)
        self._count = len(self._begun)
