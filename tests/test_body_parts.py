"""Tests that bodies in parts arrive whole, in order and no faster than they are taken."""

import asyncio
from collections import deque

import pytest
from gentianmill.byte_budget import ByteBudget, HeldKind
from gentianmill.relay_messages import RelayCancel, RelayCredit, RelayPart
from gentianmill_mesh.body_buffer import BodyBuffer
from gentianmill_mesh.body_stream import BodyStream, StreamEnd, collected, stream_of
from gentianmill_mesh.incoming_bodies import IncomingBodies
from gentianmill_mesh.part_sender import (
    WINDOW_BYTES,
    PartSender,
    StreamedBody,
    WholeBody,
)
from hypothesis import given
from hypothesis import strategies as st

LENGTH = WINDOW_BYTES * 3 + 17
BODY = bytes(range(256)) * (LENGTH // 256) + bytes(LENGTH % 256)
KEY = 7


class _Wire:
    """Two ends of a connection, on which frames wait until they are delivered."""

    def __init__(self) -> None:
        self.budget = ByteBudget(100_000_000)
        self.is_writable = True
        self.parts: deque[RelayPart] = deque()
        self.replies: deque[RelayCredit | RelayCancel] = deque()
        self.sender = PartSender(self.parts.append, lambda: self.is_writable)
        self.incoming = IncomingBodies(self.budget, self.replies.append)

    def deliver(self) -> None:
        """Deliver all frames that are under way, and those that they cause."""
        while self.parts or self.replies:
            while self.parts:
                self.incoming.add(self.parts.popleft())
            while self.replies:
                reply = self.replies.popleft()
                if isinstance(reply, RelayCredit):
                    self.sender.grant(reply.key, reply.received, reply.limit)
                else:
                    self.sender.remove(reply.key)


def _drain(wire: _Wire, stream: BodyStream, size: int = 10_000) -> bytes:
    received = bytearray()
    while not stream.end:
        wire.deliver()
        piece = stream.take(size)
        received += piece
        if not (piece or wire.parts or wire.replies or stream.end):
            break
    return bytes(received)


@pytest.mark.parametrize('length', [LENGTH, -1])
def test_body_arrives_whole(length: int):
    """Guards against lost, repeated or reordered parts."""
    wire = _Wire()
    stream = wire.incoming.begin(KEY, length)
    wire.sender.add(KEY, WholeBody(BODY), 0, WINDOW_BYTES)
    assert _drain(wire, stream) == BODY
    assert stream.end is StreamEnd.complete
    assert wire.budget.held == 0
    assert len(wire.incoming) == 0


def test_slow_receiver_holds_one_window():
    """Guards against a node that holds all of a body whose reader is slow."""
    wire = _Wire()
    stream = wire.incoming.begin(KEY, LENGTH)
    wire.sender.add(KEY, WholeBody(BODY), 0, WINDOW_BYTES)
    for _ in range(20):
        wire.deliver()
    assert stream.buffered == WINDOW_BYTES
    assert wire.budget.held_of(HeldKind.response) == WINDOW_BYTES


def test_bodies_share_a_connection():
    """Guards against a large body that holds up the ones behind it."""
    wire = _Wire()
    for key in (1, 2):
        wire.incoming.begin(key, LENGTH)
        wire.sender.add(key, WholeBody(BODY), 0, WINDOW_BYTES)
    assert {part.key for part in list(wire.parts)[-2:]} == {2}
    wire.is_writable = False
    for key in (1, 2):
        wire.sender.grant(key, 0, WINDOW_BYTES * 2)
    wire.parts.clear()
    wire.is_writable = True
    wire.sender.pump()
    assert [part.key for part in list(wire.parts)[:4]] == [1, 2, 1, 2]


def test_nothing_is_sent_while_the_connection_is_full():
    """Guards against parts that pile up in front of all other frames."""
    wire = _Wire()
    wire.is_writable = False
    wire.incoming.begin(KEY, LENGTH)
    wire.sender.add(KEY, WholeBody(BODY), 0, WINDOW_BYTES)
    assert not wire.parts
    wire.is_writable = True
    wire.sender.pump()
    assert wire.parts


@given(st.integers(0, LENGTH))
def test_body_goes_on_where_its_receiver_says(lost_at: int):
    """Guards against a download that starts anew, or has a gap, after a lost link."""
    wire = _Wire()
    stream = wire.incoming.begin(KEY, LENGTH)
    stream.feed(BODY[:lost_at])
    received = bytearray()
    while piece := stream.take(50_000):
        received += piece
    wire.replies.clear()
    wire.sender.add(KEY, WholeBody(BODY), 0, 0)
    assert not wire.parts
    wire.incoming.resume()
    received += _drain(wire, stream)
    assert bytes(received) == BODY
    assert stream.end is StreamEnd.complete


def test_receiver_that_leaves_stops_the_sender():
    """Guards against an upstream that sends a body which nobody takes."""
    wire = _Wire()
    source = BodyStream(wire.budget)
    source.feed(BODY)
    stream = wire.incoming.begin(KEY, -1)
    wire.sender.add(KEY, StreamedBody(source), 0, WINDOW_BYTES)
    wire.deliver()
    stream.cancel()
    wire.deliver()
    assert source.is_finished
    assert wire.budget.held == 0


@pytest.mark.parametrize('streamed', [False, True])
def test_sender_is_busy_until_its_receiver_has_all(streamed: bool):
    """Guards against a process that ends while bytes of a body are under way."""
    wire = _Wire()
    body = stream_of(BODY, wire.budget) if streamed else BODY
    source = StreamedBody(body) if streamed else WholeBody(body)
    stream = wire.incoming.begin(KEY, LENGTH)
    wire.sender.add(KEY, source, 0, LENGTH)
    assert not wire.sender.is_sending(KEY)
    assert wire.sender.busy
    assert _drain(wire, stream) == BODY
    assert not wire.sender.busy


def test_sender_is_not_busy_after_its_receiver_has_left():
    """Guards against a stop that waits for a receiver that wants nothing more."""
    wire = _Wire()
    for key, limit in ((KEY, LENGTH), (KEY + 1, WINDOW_BYTES)):
        stream = wire.incoming.begin(key, LENGTH)
        wire.sender.add(key, WholeBody(BODY), 0, limit)
        stream.cancel()
    assert wire.sender.busy
    wire.deliver()
    assert not wire.sender.busy


def test_cut_is_passed_on():
    """Guards against a body that was cut and looks complete."""
    wire = _Wire()
    source = BodyStream(wire.budget)
    stream = wire.incoming.begin(KEY, -1)
    wire.sender.add(KEY, StreamedBody(source), 0, WINDOW_BYTES)
    source.feed(b'half')
    source.fail('reset')
    assert _drain(wire, stream) == b'half'
    assert stream.end is StreamEnd.cut


@pytest.mark.parametrize('length', [3, 5])
def test_body_of_another_length_is_cut(length: int):
    """Guards against a body that is shorter or longer than was told."""
    stream = BodyStream(ByteBudget(100), length)
    stream.feed(b'four')
    stream.complete()
    stream.take(100)
    assert stream.end is StreamEnd.cut


def test_missing_part_cuts_the_body():
    """Guards against a gap that is passed over."""
    wire = _Wire()
    stream = wire.incoming.begin(KEY, -1)
    wire.incoming.add(RelayPart(KEY, 5, b'x', ''))
    assert stream.end is StreamEnd.cut


def test_body_can_be_collected():
    """Guards against a node of protocol 1 that gets half of a body."""

    async def scenario() -> tuple[object, object]:
        budget = ByteBudget(100_000_000)
        cut = BodyStream(budget)
        collecting = asyncio.ensure_future(collected(cut))
        await asyncio.sleep(0)
        cut.feed(b'half')
        cut.fail('reset')
        return await collected(stream_of(BODY, budget)), await collecting

    assert asyncio.run(scenario()) == (BODY, None)


@given(st.lists(st.binary(max_size=70_000), max_size=6))
def test_buffer_returns_what_was_added(pieces: list[bytes]):
    """Guards against a body that is damaged as it grows."""
    buffer = BodyBuffer()
    for piece in pieces:
        buffer.add(piece)
    assert bytes(buffer.body()) == b''.join(pieces)
    assert len(buffer) == sum(map(len, pieces))
