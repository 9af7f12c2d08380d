"""Room in the budget of a node for the heads of requests and responses."""

from gentianmill.byte_budget import ByteBudget, HeldKind
from gentianmill_mesh.http_message import HeaderPairs

__all__ = ('HeadRoom', 'ParserRoom', 'head_cost', 'headers_cost', 'parsed_cost')

PARSED_LINE_BYTES = 560
"""What a parser holds for a line beside its bytes: name and value as bytes and as text,
two pairs and an entry of the dictionary. Computed for CPython 3.11 on 64 bits."""

PARSED_FACTOR = 6
"""Memory for each byte of a line in a parser: once as bytes and, if it is not ASCII, up to
four times as text."""

HELD_LINE_BYTES = 240
"""What a list of headers holds for a line beside its bytes: two bytes objects, their pair
and its place in the list. Computed as above."""

IDLE_RESERVE = 8
"""A parser may keep a head while its connection is idle if there is room for this many
times more: requests that run need the room more."""


class HeadRoom:
    """The bytes that one head takes, counted until ``release``."""

    def __init__(self, budget: ByteBudget) -> None:
        """Create a room without bytes.

        Args:
            budget: Limits what the node holds.
        """
        self._budget = budget
        self._count = 0

    @property
    def count(self) -> int:
        """Return the bytes."""
        return self._count

    def may_take(self, count: int) -> bool:
        """Return whether there is room for a number of bytes in all."""
        return count <= self._count or self._budget.has_room_for_head(
            count, self._count
        )

    def resize(self, count: int) -> bool:
        """Count another number of bytes, or return False if there is no room for it."""
        if not self.may_take(count):
            return False
        self._budget.hold(HeldKind.head, count - self._count)
        self._count = count
        return True

    def release(self) -> None:
        """Count nothing more."""
        if self._count:
            self._budget.release(HeldKind.head, self._count)
            self._count = 0


class ParserRoom:
    """The bytes that the parser of a connection holds for heads and trailers.

    It keeps each line as several objects until the next head begins.
    """

    def __init__(self, budget: ByteBudget) -> None:
        """Create the room of a new parser.

        Args:
            budget: Limits what the node holds.
        """
        self._room = HeadRoom(budget)
        self._head_bytes = 0
        self._trailer_bytes = 0
        self._tail_bytes = 0
        self._next_head_bytes = 0

    def set_head(self, lines: int, size: int) -> bool:
        """Count a complete head, and return whether there is room for it."""
        self._head_bytes = _parsed_cost(lines, size)
        self._trailer_bytes = 0
        return self._update()

    def add_to_head(self, piece: bytes) -> bool:
        """Count a piece of an incomplete head."""
        self._head_bytes += parsed_cost(piece)
        self._tail_bytes = 0
        return self._update()

    def set_trailers(self, piece: bytes) -> bool:
        """Count what may be the first trailers of a body that has not ended."""
        self._trailer_bytes = parsed_cost(piece)
        return self._update()

    def add_to_trailers(self, piece: bytes) -> bool:
        """Count further trailers."""
        self._trailer_bytes += parsed_cost(piece)
        return self._update()

    def keep(self, unparsed_bytes: int, next_head: bytes) -> bool:
        """Keep the last head, and what follows its message in the bytes that were read.

        Args:
            unparsed_bytes: Bytes that follow, at most.
            next_head: Those of them that begin an incomplete head.

        Returns:
            Whether there is room for it on a connection that may be idle.
        """
        self._tail_bytes = unparsed_bytes
        self._next_head_bytes = parsed_cost(next_head)
        return self._room.may_take(self._total * IDLE_RESERVE) and self._update()

    def begin_next_head(self) -> bool:
        """Count the head that may have begun in the bytes that were read."""
        self._head_bytes += self._next_head_bytes
        self._next_head_bytes = 0
        self._tail_bytes = 0
        return self._update()

    def clear(self) -> None:
        """Count nothing, as the parser was dropped."""
        self._head_bytes = 0
        self._trailer_bytes = 0
        self._tail_bytes = 0
        self._next_head_bytes = 0
        self._room.release()

    @property
    def _total(self) -> int:
        return self._head_bytes + self._trailer_bytes + self._tail_bytes

    def _update(self) -> bool:
        return self._room.resize(self._total)


def head_cost(lines: int, size: int) -> int:
    """Return the memory that a list of headers takes.

    Args:
        lines: Number of headers.
        size: Bytes of their names and values.
    """
    return lines * HELD_LINE_BYTES + size


def headers_cost(headers: HeaderPairs) -> int:
    """Return the memory that headers take."""
    size = sum(len(name) + len(text) for name, text in headers)
    return head_cost(len(headers), size)


def _parsed_cost(lines: int, size: int) -> int:
    return lines * PARSED_LINE_BYTES + size * PARSED_FACTOR


def parsed_cost(piece: bytes) -> int:
    """Return the memory that a parser takes for bytes of a head or of trailers."""
    return _parsed_cost(piece.count(b'\n'), len(piece))
