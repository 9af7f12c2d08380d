"""Tests that logging does not block calls, even if nobody reads the log."""

import os

from gentianmill_mesh.log_sink import BUFFER_BYTES, BURST_LINES, LogSink

LINE = 'x' * 1000


def _read_all(descriptor: int) -> bytes:
    os.set_blocking(descriptor, False)
    chunks = []
    while True:
        try:
            chunks.append(os.read(descriptor, 65536))
        except BlockingIOError:
            return b''.join(chunks)


def test_pipe_that_nobody_reads_does_not_block():
    """A full pipe would block the event loop, and with it all calls."""
    reader, writer = os.pipe()
    sink = LogSink(writer)
    for _ in range(BURST_LINES):
        sink.write(f'{LINE}\n')
    assert sink.dropped > 0
    assert sink.dropped <= BURST_LINES - BUFFER_BYTES // len(LINE)
    os.close(reader)
    os.close(writer)


def test_lines_are_complete_after_the_reader_resumes():
    """A truncated line could not be parsed."""
    reader, writer = os.pipe()
    sink = LogSink(writer)
    for _ in range(200):
        sink.write(f'{LINE}\n')
    received = _read_all(reader)
    sink.flush()
    received += _read_all(reader)
    assert {len(line) for line in received.splitlines()} == {len(LINE)}
    os.close(reader)
    os.close(writer)


def test_volume_is_bounded_and_drops_are_counted():
    """A burst of refusals must not fill the disks of the log collector."""
    reader, writer = os.pipe()
    sink = LogSink(writer)
    for _ in range(BURST_LINES * 2):
        sink.write('line\n')
    assert _read_all(reader).count(b'line\n') <= BURST_LINES + 60
    assert sink.dropped > 0
    os.close(reader)
    os.close(writer)


def test_a_stop_is_logged_during_a_burst_of_decisions():
    """The line of a stop was dropped among refusals, so the stop had no explanation."""
    reader, writer = os.pipe()
    sink = LogSink(writer)
    for _ in range(BURST_LINES * 2):
        sink.write('{"event": "entry: Request refused."}\n')
    sink.write('{"event": "node: Stopping."}\n')
    assert b'node: Stopping.' in _read_all(reader)
    os.close(reader)
    os.close(writer)
