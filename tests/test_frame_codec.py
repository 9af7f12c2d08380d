"""Tests of the frames on the links between nodes."""

import pytest
from gentianmill.errors import GentianmillError
from gentianmill_mesh.frame_codec import FrameKind, FrameParser, encode_frame
from hypothesis import given
from hypothesis import strategies as st

MAX_BYTES = 70_000
LENGTHS = (0, 1, 125, 126, 127, 65_535, 65_536)


def _parse(pieces: list[bytes]) -> list[tuple[FrameKind, bytes]]:
    parser = FrameParser(MAX_BYTES)
    return [
        (frame.kind, frame.payload) for piece in pieces for frame in parser.feed(piece)
    ]


@pytest.mark.parametrize('length', LENGTHS)
@pytest.mark.parametrize('masked', [True, False])
def test_frames_arrive_as_they_were_sent(length: int, masked: bool):
    """Guards against a length that is read from the wrong bytes."""
    payload = b'x' * length
    sent = encode_frame(FrameKind.message, payload, masked=masked)
    expected = (FrameKind.message, payload)
    assert _parse([sent + sent]) == [expected, expected]


@given(
    payloads=st.lists(st.binary(max_size=300), max_size=5),
    cuts=st.lists(st.integers(0, 1500), max_size=8),
)
def test_frames_arrive_however_the_stream_is_cut(
    payloads: list[bytes], cuts: list[int]
):
    """Guards against frames that are lost or mixed up where a segment ends."""
    stream = b''.join(
        encode_frame(FrameKind.message, payload, masked=bool(number % 2))
        for number, payload in enumerate(payloads)
    )
    bounds = sorted({0, *cuts, len(stream)})
    pieces = [stream[begin:end] for begin, end in zip(bounds, bounds[1:], strict=False)]
    assert [payload for _, payload in _parse(pieces)] == payloads


@given(st.lists(st.binary(max_size=60), max_size=5))
def test_any_bytes_are_frames_or_refused(pieces: list[bytes]):
    """Guards against a peer whose bytes end the process or hang the parser."""
    try:
        _parse(pieces)
    except GentianmillError as error:
        # The connection is closed with this message.
        assert 'invalid frame' in str(error)


def test_masked_payload_is_unmasked():
    """Guards against older nodes, which mask with random bytes, not being understood."""
    masked = bytes(
        byte ^ b'\x01\x02\x03\x04'[at % 4] for at, byte in enumerate(b'hello')
    )
    frame = b'\x82\x85\x01\x02\x03\x04' + masked
    assert _parse([frame]) == [(FrameKind.message, b'hello')]


@pytest.mark.parametrize(
    'head',
    [
        pytest.param(b'\x81\x00', id='text'),
        pytest.param(b'\x02\x00', id='fragment'),
        pytest.param(b'\xc2\x00', id='compressed'),
        pytest.param(b'\x82\x7f' + b'\xff' * 8, id='endless'),
    ],
)
def test_frames_that_no_node_sends_are_refused(head: bytes):
    """Guards against a payload that fills the memory or is misread."""
    with pytest.raises(GentianmillError):
        _parse([head])
