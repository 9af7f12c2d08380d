"""Answers of upstreams that break the protocol never reach a caller as whole."""

import asyncio

import pytest
from gentianmill_mesh.upstream_connection import LossKind, UpstreamLostError
from mesh_upstream import Script, ScriptedUpstream, request, run

WHOLE = b'HTTP/1.1 200 OK\r\nX-Attempt: 1\r\nContent-Length: 2\r\n\r\nok'


def _lost(script: Script) -> LossKind:
    async def scenario() -> LossKind:
        async with ScriptedUpstream(script) as upstream:
            with pytest.raises(UpstreamLostError) as caught:
                await run(upstream.pool())
            return caught.value.kind

    return asyncio.run(scenario())


def test_truncated_body_is_lost():
    """A body shorter than its length must not be passed on as whole."""
    cut = b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok'
    assert _lost(Script([cut], close_after=0)) is LossKind.after_send


def test_truncated_chunks_are_lost():
    """A chunked body without its last chunk must not be passed on as whole."""
    cut = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n'
    assert _lost(Script([cut], close_after=0)) is LossKind.after_send


def test_unframed_body_that_is_reset_is_lost():
    """A body that ends with its connection is whole only after a clean close."""
    unframed = b'HTTP/1.1 200 OK\r\nX-Attempt: 1\r\n\r\nok'
    assert _lost(Script([unframed], close_after=0, reset=True)) is LossKind.after_send


def test_bytes_that_are_no_answer_are_lost():
    """Bytes that are not HTTP must not be passed on."""
    assert _lost(Script([b'\x00garbage\r\n\r\n'])) is LossKind.bad_answer


def test_silence_ends_in_time():
    """An upstream that never answers must not hold a call beyond its time."""
    assert _lost(Script([])) is LossKind.timed_out


def test_unframed_body_is_whole_after_a_clean_close():
    """A body without a length is read up to the end of its connection."""

    async def scenario() -> bytes:
        unframed = b'HTTP/1.1 200 OK\r\nX-Attempt: 1\r\n\r\nok'
        async with ScriptedUpstream(Script([unframed], close_after=0)) as upstream:
            return (await run(upstream.pool())).body

    assert asyncio.run(scenario()) == b'ok'


def test_interim_answers_are_skipped():
    """A status below 200 is not the answer."""

    async def scenario() -> int:
        interim = b'HTTP/1.1 103 Early Hints\r\n\r\n'
        async with ScriptedUpstream(Script([interim + WHOLE])) as upstream:
            return (await run(upstream.pool())).status

    assert asyncio.run(scenario()) == 200


def test_extra_answer_spoils_the_connection():
    """A second answer must not become the answer of the next request."""

    async def scenario() -> tuple[bytes, int]:
        stale = WHOLE.replace(b'ok', b'no')
        second = WHOLE.replace(b'Attempt: 1', b'Attempt: 2')
        async with ScriptedUpstream(Script([WHOLE + stale, second])) as upstream:
            pool = upstream.pool()
            await run(pool)
            answer = await run(pool, request_id=b'2')
            return answer.body, upstream.connections

    assert asyncio.run(scenario()) == (b'ok', 2)


def test_late_answer_of_another_request_is_skipped():
    """An answer that bears another id is dropped and the right one awaited."""

    async def scenario() -> bytes:
        late = WHOLE.replace(b'Attempt: 1', b'Attempt: 0').replace(b'ok', b'no')
        async with ScriptedUpstream(Script([late + WHOLE])) as upstream:
            return (await run(upstream.pool())).body

    assert asyncio.run(scenario()) == b'ok'


def test_target_and_body_are_sent_byte_for_byte():
    """Quoting must not be normalised; the upstream may sign what it gets."""

    async def scenario() -> bytes:
        async with ScriptedUpstream(Script([WHOLE])) as upstream:
            await run(upstream.pool(), request(b'/a%2fb//c?x=%7e&y=a+b&', 'POST', b'z'))
            return upstream.heads[0]

    head = asyncio.run(scenario())
    assert head.startswith(b'POST /a%2fb//c?x=%7e&y=a+b& HTTP/1.1\r\n')
    assert b'Content-Length: 1\r\n' in head


def test_cancelled_request_closes_its_connection():
    """An upstream stops the work of a caller who left when its connection ends."""

    async def scenario() -> int:
        async with ScriptedUpstream(Script([])) as upstream:
            task = asyncio.ensure_future(run(upstream.pool()))
            while not upstream.heads:
                await asyncio.sleep(0)
            task.cancel()
            await asyncio.wait({task})
            while upstream.open_connections:
                await asyncio.sleep(0)
            return upstream.connections

    assert asyncio.run(scenario()) == 1


def test_refused_connection_has_not_run():
    """Only a request that was never sent may be reported as not run."""

    async def scenario() -> LossKind:
        async with ScriptedUpstream(Script([])) as upstream:
            pool = upstream.pool()
        await asyncio.sleep(0)
        with pytest.raises(UpstreamLostError) as caught:
            await run(pool)
        return caught.value.kind

    assert asyncio.run(scenario()) is LossKind.before_send


def test_own_abort_is_not_the_end_of_an_answer():
    """An answer without a length must not look whole because the node closed."""

    async def scenario() -> LossKind:
        cut = b'HTTP/1.1 200 OK\r\nX-Attempt: 1\r\n\r\nok'
        async with ScriptedUpstream(Script([cut])) as upstream:
            pool = upstream.pool()
            running = asyncio.ensure_future(run(pool))
            await asyncio.sleep(0.1)
            pool.abandon_repeatable()
            with pytest.raises(UpstreamLostError) as caught:
                await running
            return caught.value.kind

    assert asyncio.run(scenario()) is LossKind.after_send


HEAD = b'HTTP/1.1 200 OK\r\nX-Attempt: 1\r\nContent-Length: 2\r\n\r\n'


@pytest.mark.parametrize('reset', [False, True])
@pytest.mark.parametrize('length', range(1, len(HEAD)))
def test_answer_cut_in_its_head_is_lost(length: int, reset: bool):
    """A cut head became a whole answer with an empty body."""
    script = Script([HEAD[:length]], close_after=0, reset=reset)
    assert _lost(script) in {LossKind.after_send, LossKind.bad_answer}


def test_answer_cut_in_its_head_after_an_interim_one_is_lost():
    """The end of the connection must not complete the head after an interim one."""
    cut = b'HTTP/1.1 103 Early Hints\r\n\r\n' + HEAD[:-4]
    assert _lost(Script([cut], close_after=0)) is LossKind.after_send
