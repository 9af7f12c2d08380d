"""Encoding of the frames on relay links."""

import msgspec

from gentianmill import relay_messages
from gentianmill.errors import ErrorCode, GentianmillError

RelayFrame = (
    relay_messages.CrashNews
    | relay_messages.FreshnessStatus
    | relay_messages.KnownState
    | relay_messages.NodeNews
    | relay_messages.QuotaGrant
    | relay_messages.QuotaRequest
    | relay_messages.RelayAnswer
    | relay_messages.RelayCall
    | relay_messages.RelayCancel
    | relay_messages.RelayCredit
    | relay_messages.RelayPart
    | relay_messages.RulesReply
    | relay_messages.RulesRequest
    | relay_messages.StateRequest
    | relay_messages.StrikeNews
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
