"""Encoding of the frames between nodes."""

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

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(AnyFrame)


def encode(frame: AnyFrame) -> bytes:
    """Return the msgpack form of a frame."""
    return _encoder.encode(frame)


def decode(message: bytes, peer: str) -> AnyFrame:
    """Return the frame in a message.

    Args:
        message: The msgpack form.
        peer: Sender, for the error.

    Raises:
        GentianmillError: With code ``protocol`` if the message is no valid frame.
    """
    try:
        return _decoder.decode(message)
    except msgspec.MsgspecError as error:
        raise GentianmillError(
            ErrorCode.protocol, 'peer', peer, f'invalid frame: {error}'
        ) from error
