"""Bytes of a response that are not its body."""

from aiohttp.streams import StreamReader

from gentianmill_mesh.head_room import parsed_cost

__all__ = ('ResponseHead',)

MAX_HEAD_BYTES = 256 * 1024
"""Longest head, and longest trailers; unbounded ones would fill the memory."""

LARGE_HEAD_BYTES = 8 * 1024
"""Head above which the parser, which keeps the last one, is replaced."""


class ResponseHead:
    """Count the bytes of a head, and those of trailers."""

    def __init__(self) -> None:
        """Start at the beginning of a response."""
        self._count = 0
        self._body_bytes = 0
        self._is_large = False

    @property
    def is_too_long(self) -> bool:
        """Return whether there are more bytes than any response needs."""
        return self._count > MAX_HEAD_BYTES

    @property
    def is_large(self) -> bool:
        """Return whether a parser should not keep it."""
        return self._is_large

    def begin(self) -> None:
        """Begin the next response."""
        self._count = 0
        self._body_bytes = 0

    def count(self, piece: bytes, payload: StreamReader | None) -> int:
        """Count bytes that were parsed, and return the memory that they take.

        Args:
            piece: The bytes.
            payload: Body of the response, or None if its head has not ended.
        """
        body_bytes = 0 if payload is None else payload.total_bytes
        if body_bytes > self._body_bytes:
            self._body_bytes = body_bytes
            self._count = 0
            return len(piece)
        self._count += len(piece)
        self._is_large |= self._count > LARGE_HEAD_BYTES
        return parsed_cost(piece)
