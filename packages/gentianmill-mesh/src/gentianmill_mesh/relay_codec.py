"""Encoding of the frames on relay links."""

import msgspec

from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill.relay_messages import (
    CrashNews,
    FreshnessStatus,
    KnownState,
    NodeNews,
    RelayAnswer,
    RelayCall,
    RelayCancel,
    RelayCredit,
    RelayPart,
    RulesReply,
    RulesRequest,
    StateRequest,
    StrikeNews,
)

RelayFrame = (
    CrashNews
    | FreshnessStatus
    | KnownState
    | NodeNews
    | RelayAnswer
    | RelayCall
    | RelayCancel
    | RelayCredit
    | RelayPart
    | RulesReply
    | RulesRequest
    | StateRequest
    | StrikeNews
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(RelayFrame)

encode = _encoder.encode


def decode(message: bytes, peer: str) -> RelayFrame:
    """Return the frame in a message.

    Args:
        message: The msgpack form.
        peer: Name of the sender, for the error message.

    Raises:
        GentianmillError: With code ``protocol`` if the message is not a valid frame.
    """
    try:
        return _decoder.decode(message)
    except msgspec.MsgspecError as error:
        raise GentianmillError(
            ErrorCode.protocol, 'relay', peer, f'invalid frame: {error}'
        ) from error
