"""Tests of the frames between nodes."""

import pytest

from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill.messages import AnswerFrame, LoadReport
from gentianmill_node.frames import decode, encode

RESPONSE = AnswerFrame(
    call_id=7,
    outcome='answered',
    status=200,
    body=b'paid',
    digest=b'0123456789abcdef',
    length=4,
    headers={'Content-Type': 'text/plain'},
    load=LoadReport(
        in_flight=1, limit=8, queue_delay_ms=0.5, level=639, draining=False
    ),
)


def _is_refused(message: bytes) -> bool:
    try:
        decode(message, 'peer')
    except GentianmillError as error:
        return error.code is ErrorCode.protocol
    return False


def test_frames_are_unchanged_by_encoding():
    """Guards against a frame that differs when it is decoded."""
    assert decode(encode(RESPONSE), 'peer') == RESPONSE


@pytest.mark.parametrize('bits', [0x10, 0x80, 0xFF])
def test_a_changed_byte_is_noticed(bits: int):
    """Guards against a response to another call, or with another status or header."""
    message = encode(RESPONSE)
    for position, byte in enumerate(message):
        changed = bytearray(message)
        changed[position] = byte ^ bits
        assert _is_refused(bytes(changed)), position


def test_a_truncated_frame_is_noticed():
    """Guards against taking a truncated frame for a complete one."""
    message = encode(RESPONSE)
    assert all(_is_refused(message[:length]) for length in range(len(message)))
