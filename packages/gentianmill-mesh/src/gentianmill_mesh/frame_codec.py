"""WebSocket frames (RFC 6455) of the links between nodes: whole, not compressed."""

import dataclasses
import enum
import struct
import types

from gentianmill.errors import ErrorCode, GentianmillError

__all__ = ('Frame', 'FrameKind', 'FrameParser', 'encode_frame')

_FIN = 0x80
_KIND_BITS = 15
_MASKED = 0x80
_LENGTH_BITS = 0x7F
_SHORT_LENGTH_FIELD = 126
_LONG_LENGTH_FIELD = 127
_MASK_BYTES = 4
_MIN_HEAD_BYTES = 2
_MAX_SHORT_LENGTH = 125
_MAX_MEDIUM_LENGTH = 0xFFFF
_NO_MASK = bytes(_MASK_BYTES)

_SHORT_HEAD = struct.Struct('!BB')
_MEDIUM_HEAD = struct.Struct('!BBH')
_LONG_HEAD = struct.Struct('!BBQ')


class FrameKind(enum.IntEnum):
    """Kind of a frame."""

    message = 2
    close = 8
    ping = 9
    pong = 10


_KINDS = types.MappingProxyType({int(kind): kind for kind in FrameKind})


@dataclasses.dataclass(frozen=True, slots=True)
class Frame:
    """A frame that was received."""

    kind: FrameKind
    payload: bytes


def encode_frame(kind: FrameKind, payload: bytes, *, masked: bool) -> bytes:
    """Return the bytes of a frame.

    Args:
        kind: Kind of the frame.
        payload: Its content.
        masked: Whether the sender opened the connection. The mask, which protects
            proxies from web pages, is zero: no web page chooses what nodes send.
    """
    length = len(payload)
    mask_bit = _MASKED if masked else 0
    first = _FIN | kind
    if length <= _MAX_SHORT_LENGTH:
        head = _SHORT_HEAD.pack(first, mask_bit | length)
    elif length <= _MAX_MEDIUM_LENGTH:
        head = _MEDIUM_HEAD.pack(first, mask_bit | _SHORT_LENGTH_FIELD, length)
    else:
        head = _LONG_HEAD.pack(first, mask_bit | _LONG_LENGTH_FIELD, length)
    return b''.join((head, _NO_MASK if masked else b'', payload))


class FrameParser:
    """Split a stream of bytes into frames."""

    def __init__(self, max_bytes: int) -> None:
        """Create a parser at the start of a stream.

        Args:
            max_bytes: Longest payload that is accepted.
        """
        self._max_bytes = max_bytes
        self._pieces: list[bytes] = []
        self._buffered = 0
        self._needed = _MIN_HEAD_BYTES

    def feed(self, data: bytes) -> list[Frame]:
        """Return the frames that the next bytes complete.

        Args:
            data: The next bytes of the stream.

        Raises:
            GentianmillError: With code ``protocol`` if they are no valid frames.
        """
        if self._pieces:
            self._pieces.append(data)
            self._buffered += len(data)
            if self._buffered < self._needed:
                return []
            data = b''.join(self._pieces)
            self._pieces.clear()
        return self._split(data)

    def _split(self, data: bytes) -> list[Frame]:
        frames = []
        begin = 0
        while True:
            payload_begin, end = self._bounds(data, begin)
            if end > len(data):
                break
            frames.append(_frame(data, begin, payload_begin, end))
            begin = end
        self._needed = end - begin
        self._buffered = len(data) - begin
        if self._buffered:
            self._pieces.append(data[begin:] if begin else data)
        return frames

    def _bounds(self, data: bytes, begin: int) -> tuple[int, int]:
        """Return where the payload of a frame begins and ends.

        As long as its head is incomplete, both are the end of the head as far as known.
        """
        head_end = begin + _MIN_HEAD_BYTES
        if head_end > len(data):
            return head_end, head_end
        second = data[begin + 1]
        length = second & _LENGTH_BITS
        length_end = head_end + _extra_length_bytes(length)
        mask_bytes = _MASK_BYTES if second & _MASKED else 0
        payload_begin = length_end + mask_bytes
        if payload_begin > len(data):
            return payload_begin, payload_begin
        if length_end > head_end:
            length = int.from_bytes(data[head_end:length_end])
        if length > self._max_bytes:
            raise _invalid(f'a payload of {length} bytes')
        return payload_begin, payload_begin + length


def _extra_length_bytes(length: int) -> int:
    if length == _SHORT_LENGTH_FIELD:
        return 2
    return 8 if length == _LONG_LENGTH_FIELD else 0


def _frame(data: bytes, begin: int, payload_begin: int, end: int) -> Frame:
    first = data[begin]
    kind = _KINDS.get(first & _KIND_BITS)
    if kind is None or first & ~_KIND_BITS != _FIN:
        raise _invalid(f'first byte {first:#x}')
    payload = data[payload_begin:end]
    if data[begin + 1] & _MASKED:
        payload = _unmask(payload, data[payload_begin - _MASK_BYTES : payload_begin])
    return Frame(kind, payload)


def _unmask(payload: bytes, mask: bytes) -> bytes:
    if mask == _NO_MASK:
        return payload
    length = len(payload)
    pad = (mask * (length // _MASK_BYTES + 1))[:length]
    unmasked = int.from_bytes(payload) ^ int.from_bytes(pad)
    return unmasked.to_bytes(length)


def _invalid(what: str) -> GentianmillError:
    return GentianmillError(ErrorCode.protocol, 'relay', '', f'invalid frame: {what}')
