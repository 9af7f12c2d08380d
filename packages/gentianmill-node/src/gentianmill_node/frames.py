"""Encoding of the frames between nodes.

Each message ends with a checksum: a byte corrupted in transit could otherwise
assign a response to another call or change its status, and still be a valid frame.
"""

import zlib

import msgspec
from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill.messages import (
    AnswerFrame,
    CallFrame,
    CancelFrame,
    GrantFrame,
    SpendFrame,
    StrikeFrame,
)

AnyFrame = AnswerFrame | CallFrame | CancelFrame | GrantFrame | SpendFrame | StrikeFrame

CHECKSUM_BYTES = 4

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(AnyFrame)


def encode(frame: AnyFrame) -> bytes:
    """Return the msgpack form of a frame and its CRC-32, high byte first."""
    content = _encoder.encode(frame)
    return content + _checksum(content)


def decode(message: bytes, peer: str) -> AnyFrame:
    """Return the frame in a message.

    Args:
        message: The msgpack form and its checksum.
        peer: Sender, for the error.

    Raises:
        GentianmillError: With code ``protocol`` if the message is not a valid frame.
    """
    content = message[:-CHECKSUM_BYTES]
    if message[-CHECKSUM_BYTES:] != _checksum(content):
        raise GentianmillError(
            ErrorCode.protocol, 'peer', peer, 'invalid frame: wrong checksum'
        )
    try:
        return _decoder.decode(content)
    except msgspec.MsgspecError as error:
        raise GentianmillError(
            ErrorCode.protocol, 'peer', peer, f'invalid frame: {error}'
        ) from error


def _checksum(content: bytes) -> bytes:
    return zlib.crc32(content).to_bytes(CHECKSUM_BYTES)
