"""Tests of the frames between nodes."""

import pytest

from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill.messages import AnswerFrame, LoadReport
from gentianmill_node.frames import decode, encode

ANSWER = AnswerFrame(
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


def test_reads_what_it_writes():
    """Guards against a frame that arrives as another one."""
    assert decode(encode(ANSWER), 'peer') == ANSWER


@pytest.mark.parametrize('bits', [0x10, 0x80, 0xFF])
def test_a_changed_byte_is_noticed(bits: int):
    """Guards against an answer for another call, or with another status or header."""
    message = encode(ANSWER)
    for place, byte in enumerate(message):
        changed = bytearray(message)
        changed[place] = byte ^ bits
        assert _is_refused(bytes(changed)), place


def test_a_missing_end_is_noticed():
    """Guards against a frame cut short that is taken for a whole one."""
    message = encode(ANSWER)
    assert all(_is_refused(message[:length]) for length in range(len(message)))
