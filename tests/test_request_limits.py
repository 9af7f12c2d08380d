"""Tests of the bounds on what a caller sends, on an open connection."""

import asyncio

import pytest
from gentianmill.byte_budget import SMALL_BYTES, ByteBudget
from gentianmill.clock import ManualClock
from gentianmill.route_rules import RequestLimits
from gentianmill_mesh.call_upload import RESERVE_WITHIN_S
from gentianmill_mesh.entry_connection import EntryConnection, EntryHandler
from gentianmill_mesh.http_message import HttpResponse
from gentianmill_mesh.mesh_settings import ReadAheadSettings
from hypothesis import given
from hypothesis import strategies as st
from mesh_upstream import NAMES

HEADER_BYTES = 8000
LIMITS = RequestLimits(HEADER_BYTES, 1_000_000, 3000, 15_000)
LARGE = SMALL_BYTES * 2


class _Transport(asyncio.Transport):
    """Record what is written, and whether it is read."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b''
        self.reading = True

    def write(self, data: bytes) -> None:
        self.written += data

    def get_write_buffer_size(self) -> int:
        return 0

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True

    def is_closing(self) -> bool:
        return False

    def write_eof(self) -> None:
        """Do nothing."""

    def abort(self) -> None:
        """Do nothing."""

    close = abort


class _Handler(EntryHandler):
    """Answer each request at once, with the time at which its time began to count."""

    def __init__(self, budget_bytes: int = 10_000_000) -> None:
        self.callers = []
        self.refused: list[str] = []
        self._budget = ByteBudget(budget_bytes)

    @property
    def closing(self) -> bool:
        return False

    @property
    def limits(self) -> RequestLimits:
        return LIMITS

    @property
    def budget(self) -> ByteBudget:
        return self._budget

    def may_run_ahead(self, caller) -> bool:
        return True

    def start(self, exchange, connection) -> None:
        self.callers.append(exchange.caller)
        exchange.response = HttpResponse(200, [], b'')

    def refuse(self, caller, reason: str) -> HttpResponse:
        self.refused.append(reason)
        return HttpResponse(503, [], b'')

    def opened(self, connection) -> None:
        """Do nothing."""

    def closed(self, connection) -> None:
        """Do nothing."""


class _Bench:
    def __init__(self, budget_bytes: int = 10_000_000) -> None:
        self.clock = ManualClock()
        self.handler = _Handler(budget_bytes)
        self.transport = _Transport()
        self.connection = EntryConnection(
            self.handler, NAMES, ReadAheadSettings(), self.clock
        )
        self.connection.connection_made(self.transport)

    @property
    def statuses(self) -> list[bytes]:
        lines = self.transport.written.split(b'\r\n')
        return [line[9:12] for line in lines if line.startswith(b'HTTP/1.1')]


def _head(*fields: str, method: str = 'GET') -> bytes:
    return '\r\n'.join((f'{method} / HTTP/1.1', 'Host: h', *fields, '', '')).encode()


def _run(scenario) -> object:
    return asyncio.run(asyncio.wait_for(scenario(), 5))


@pytest.mark.parametrize(
    ('count', 'status'), [(1, b'200'), (130, b'200'), (900, b'200'), (1300, b'431')]
)
@pytest.mark.parametrize('step', [64, 100_000])
def test_heads_are_limited_by_their_bytes(count: int, status: bytes, step: int):
    """Guards against a 400 for a request with more fields than a parser likes."""

    async def scenario() -> list[bytes]:
        bench = _Bench()
        head = _head(*(f'A{number}: ' for number in range(count)))
        for begin in range(0, len(head), step):
            bench.connection.data_received(head[begin : begin + step])
        return bench.statuses

    assert _run(scenario) == [status]


def test_many_small_requests_are_no_long_head():
    """Guards against counting the heads of several requests together."""

    async def scenario() -> int:
        bench = _Bench()
        bench.connection.data_received(_head() * 1000)
        return bench.statuses.count(b'200')

    assert _run(scenario) == 1000


def test_time_counts_from_the_head():
    """Guards against an upstream that is handed the time of the upload on top."""

    async def scenario() -> float:
        bench = _Bench()
        bench.connection.data_received(_head('Content-Length: 2', method='POST') + b'1')
        bench.clock.advance(4000)
        bench.connection.data_received(b'2')
        return bench.handler.callers[0].arrived_ms

    assert _run(scenario) == 0


@pytest.mark.parametrize(
    ('sent', 'silent_ms', 'status'),
    [
        (_head('Content-Length: 9', method='POST') + b'12', 4000, []),
        (_head('Content-Length: 9', method='POST') + b'12', 16_000, [b'408']),
        (b'GET / HTTP/1.1\r\nHost', 4000, [b'408']),
    ],
)
def test_pauses_are_judged_by_what_is_received(
    sent: bytes, silent_ms: float, status: list[bytes]
):
    """Guards against a body that pauses and is ended as if it were a head."""

    async def scenario() -> list[bytes]:
        bench = _Bench()
        for begin in range(0, len(sent), 10):
            bench.connection.data_received(sent[begin : begin + 10])
        bench.clock.advance(silent_ms)
        bench.connection.check_timeouts(3000, 15_000)
        return bench.statuses

    assert _run(scenario) == status


def test_body_that_is_told_too_long_is_refused_at_its_head():
    """Guards against reading a megabyte that is thrown away."""

    async def scenario() -> list[bytes]:
        bench = _Bench()
        head = _head(f'Content-Length: {LIMITS.body_bytes + 1}', method='POST')
        bench.connection.data_received(head)
        return bench.statuses

    assert _run(scenario) == [b'413']


@pytest.mark.parametrize('chunked', [False, True])
def test_large_body_waits_for_room_and_is_refused_as_not_run(chunked: bool):
    """Guards against a caller that fills the memory, or that waits for ever."""

    async def scenario() -> tuple[bool, bool, list[str], list[bytes]]:
        bench = _Bench(LARGE)
        taken = bench.handler.budget.reserve(LARGE, lambda: None)
        field = 'Transfer-Encoding: chunked' if chunked else f'Content-Length: {LARGE}'
        bench.connection.data_received(_head(field, method='POST'))
        if chunked:
            bench.connection.data_received(b'%x\r\n' % LARGE + bytes(LARGE - 1))
        before = bench.transport.reading
        await asyncio.sleep(RESERVE_WITHIN_S + 0.1)
        taken.release()
        return before, not bench.handler.callers, bench.handler.refused, bench.statuses

    assert _run(scenario) == (False, True, ['memory'], [b'503'])


def test_large_body_goes_on_when_there_is_room():
    """Guards against a connection that is not read any more after a wait."""

    async def scenario() -> tuple[bool, bool, list[bytes], int]:
        bench = _Bench(LARGE)
        taken = bench.handler.budget.reserve(LARGE, lambda: None)
        head = _head(f'Content-Length: {LARGE}', method='POST')
        bench.connection.data_received(head)
        before = bench.transport.reading
        taken.release()
        after = bench.transport.reading
        bench.connection.data_received(bytes(LARGE))
        return before, after, bench.statuses, bench.handler.budget.held

    assert _run(scenario) == (False, True, [b'200'], 0)


def test_caller_that_leaves_gives_its_room_back():
    """Guards against room that is lost with each broken upload."""

    async def scenario() -> int:
        bench = _Bench(LARGE)
        head = _head(f'Content-Length: {LARGE}', method='POST')
        bench.connection.data_received(head + bytes(10))
        bench.connection.connection_lost(None)
        return bench.handler.budget.held

    assert _run(scenario) == 0


class _SlowTransport(_Transport):
    """A connection whose caller reads what the test says."""

    def __init__(self) -> None:
        super().__init__()
        self.waiting = 0
        self.is_reset = False

    def get_write_buffer_size(self) -> int:
        return self.waiting

    def abort(self) -> None:
        self.is_reset = True


@pytest.mark.parametrize('second', [False, True])
def test_only_a_caller_that_reads_nothing_is_reset(second: bool):
    """Guards against a reset as two responses wait with the same number of bytes."""

    async def scenario() -> bool:
        bench = _Bench()
        bench.transport = _SlowTransport()
        bench.connection.connection_made(bench.transport)
        bench.connection.data_received(_head())
        bench.transport.waiting = 1000
        bench.connection.check_timeouts(3000, 15_000)
        bench.clock.advance(16_000)
        if second:
            bench.connection.data_received(_head())
        bench.connection.check_timeouts(3000, 15_000)
        return bench.transport.is_reset

    assert _run(scenario) is not second


def _short_lines(count: int, end: bytes = b'\r\n') -> bytes:
    return b'GET / HTTP/1.1\r\nHost: h\r\n' + b'ab:c\r\n' * count + end


def test_header_lines_are_limited():
    """Guards against heads with more lines than the setting allows."""

    async def scenario() -> list[bytes]:
        bench = _Bench()
        settings = ReadAheadSettings(header_lines=100)
        bench.connection = EntryConnection(bench.handler, NAMES, settings, bench.clock)
        bench.connection.connection_made(bench.transport)
        bench.connection.data_received(_short_lines(99))
        bench.connection.data_received(_short_lines(100))
        return bench.statuses

    assert _run(scenario) == [b'200', b'431']


@pytest.mark.parametrize('end', [b'', b'\r\n'])
def test_head_without_room_is_refused_as_not_run(end: bytes):
    """Guards against heads that take more memory than the node may hold."""

    async def scenario() -> tuple[list[bytes], int, int]:
        bench = _Bench(budget_bytes=1_000_000)
        bench.connection.data_received(_short_lines(1000, end))
        held = bench.handler.budget.held
        bench.connection.connection_lost(None)
        return bench.statuses, len(bench.handler.callers), held

    assert _run(scenario) == ([b'503'], 0, 0)


@pytest.mark.parametrize('piece', [b'ab:c\r\n' * 50, b'x' * 400])
def test_trailers_are_limited(piece: bytes):
    """Guards against trailers without end, which a parser keeps."""

    async def scenario() -> tuple[list[bytes], int]:
        bench = _Bench()
        head = _head('Transfer-Encoding: chunked', method='POST')
        bench.connection.data_received(head + b'1\r\nx\r\n0\r\nT: ')
        for _ in range(200):
            bench.connection.data_received(piece)
        return bench.statuses, bench.handler.budget.held

    assert _run(scenario) == ([b'431'], 0)


def test_lines_of_a_chunked_body_are_no_trailers():
    """Guards against an upload of many short lines that is refused for its memory."""

    async def scenario() -> list[bytes]:
        bench = _Bench(budget_bytes=2_000_000)
        bench.connection.data_received(
            _head('Transfer-Encoding: chunked', method='POST')
        )
        lines = b'\r\n0,1' * 4000
        for _ in range(10):
            bench.connection.data_received(b'%x\r\n%b\r\n' % (len(lines), lines))
        bench.connection.data_received(b'0\r\n\r\n')
        return bench.statuses

    assert _run(scenario) == [b'200']


BODIES = (
    b'',
    b'Content-Length: 5\r\n\r\na\r\n\r\n',
    b'Content-Length: 9\r\n\r\n\r\n0\r\n\r\nab',
    b'Transfer-Encoding: chunked\r\n\r\n4\r\n\r\n\r\n\r\n0\r\n\r\n',
    b'Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nT: v\r\n\r\n',
)


@given(
    st.lists(st.integers(0, len(BODIES) - 1), min_size=1, max_size=6),
    st.lists(st.integers(1, 120), max_size=12),
    st.sampled_from([b'', b'\r\n']),
)
def test_parser_is_replaced_only_between_requests(
    kinds: list[int], sizes: list[int], between: bytes
):
    """Guards against bytes of a request that are lost with the parser of the last one."""
    requests = [
        b'POST /%d HTTP/1.1\r\nHost: h\r\n%b' % (number, BODIES[kind] or b'\r\n')
        for number, kind in enumerate(kinds)
    ]
    stream = between.join(requests)

    async def scenario() -> tuple[list[bytes], list[bytes]]:
        bench = _Bench()
        left = stream
        for size in (*sizes, len(stream)):
            bench.connection.data_received(left[:size])
            left = left[size:]
        return bench.statuses, [call.request.target for call in bench.handler.callers]

    statuses, targets = _run(scenario)
    assert len(statuses) == len(requests)
    assert set(statuses) == {b'200'}
    assert targets == [b'/%d' % number for number in range(len(requests))]


LONG_BODIES = (
    b'x' * 40_000,
    b'\n' * 3000,
    b'a\r\n\r\n' * 4000,
)
"""Longer than the limit of a head; with bytes that cost most as header lines, and with
bytes that look like the end of a head."""


def _post(body: bytes, *, chunked: bool) -> bytes:
    if chunked:
        framed = b'%x\r\n%b\r\n0\r\n\r\n' % (len(body), body)
        return _head('Transfer-Encoding: chunked', method='POST') + framed
    return _head(f'Content-Length: {len(body)}', method='POST') + body


@pytest.mark.parametrize('body', LONG_BODIES, ids=['plain', 'lines', 'ends'])
@pytest.mark.parametrize('chunked', [False, True])
@pytest.mark.parametrize('begun_in_body', [False, True])
@pytest.mark.parametrize('cut', [70, 30_000])
def test_head_in_pieces_behind_a_long_body_is_served(
    body: bytes, chunked: bool, begun_in_body: bool, cut: int
):
    """Guards against a 431 or 503 by counting bytes of a body as the next head."""

    async def scenario() -> tuple[list[bytes], int]:
        bench = _Bench(budget_bytes=1_000_000)
        first = _post(body, chunked=chunked)
        for _ in range(3):
            next_head = _head('A: b')
            begun = len(next_head) // 2
            pieces = [first[cut:], next_head[:begun]]
            if begun_in_body:
                pieces = [b''.join(pieces)]
            pieces = [first[:cut], *pieces, next_head[begun:]]
            for piece in filter(None, pieces):
                bench.connection.data_received(piece)
        held = bench.handler.budget.held
        bench.connection.connection_lost(None)
        return bench.statuses, held

    statuses, held = _run(scenario)
    assert len(statuses) == 6
    assert set(statuses) == {b'200'}
    assert held < len(body)


@pytest.mark.parametrize('body', LONG_BODIES, ids=['plain', 'lines', 'ends'])
@pytest.mark.parametrize('chunked', [False, True])
@pytest.mark.parametrize('ends', [False, True])
def test_long_head_behind_a_long_body_is_refused(
    body: bytes, chunked: bool, ends: bool
):
    """Guards against heads without a limit, as they are not counted behind a body."""

    async def scenario() -> list[bytes]:
        bench = _Bench()
        head = _head('A: ' + 'b' * HEADER_BYTES)[: None if ends else -4]
        first = _post(body, chunked=chunked)
        bench.connection.data_received(first + head[:100])
        bench.connection.data_received(head[100:5000])
        bench.connection.data_received(head[5000:])
        return bench.statuses

    assert _run(scenario) == [b'200', b'431']


@given(
    st.lists(
        st.tuples(st.integers(0, 2), st.booleans(), st.integers(0, 3000)),
        min_size=1,
        max_size=5,
    ),
    st.lists(st.integers(1, 20_000), max_size=12),
)
def test_heads_within_the_limit_are_served_wherever_the_bytes_are_cut(
    requests: list[tuple[int, bool, int]], sizes: list[int]
):
    """Guards against a counter that goes on across the boundary of two messages."""
    stream = b''.join(
        _post(LONG_BODIES[kind], chunked=chunked)
        + _head('A: ' + 'b' * padding, method='GET')
        for kind, chunked, padding in requests
    )

    async def scenario() -> list[bytes]:
        bench = _Bench(budget_bytes=1_000_000_000)
        left = stream
        for size in (*sizes, len(stream)):
            bench.connection.data_received(left[:size])
            left = left[size:]
        return bench.statuses

    statuses = _run(scenario)
    assert len(statuses) == 2 * len(requests)
    assert set(statuses) == {b'200'}
