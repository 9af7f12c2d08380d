"""Tests that broken responses of upstreams never reach a caller as complete."""

import asyncio

import pytest
from gentianmill_mesh.upstream_connection import LossKind, UpstreamLostError
from mesh_upstream import Script, ScriptedUpstream, request, run

OK_RESPONSE = b'HTTP/1.1 200 OK\r\nX-Attempt: 1\r\nContent-Length: 2\r\n\r\nok'


def _loss_kind(script: Script) -> LossKind:
    async def scenario() -> LossKind:
        async with ScriptedUpstream(script) as upstream:
            with pytest.raises(UpstreamLostError) as caught:
                await run(upstream.pool())
            return caught.value.kind

    return asyncio.run(scenario())


def test_truncated_body_is_lost():
    """Guards against a body shorter than its length that is passed on as complete."""
    truncated = b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok'
    assert _loss_kind(Script([truncated], close_after=0)) is LossKind.after_send


def test_truncated_chunks_are_lost():
    """Guards against a body without its last chunk that is passed on as complete."""
    truncated = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n'
    assert _loss_kind(Script([truncated], close_after=0)) is LossKind.after_send


def test_unframed_body_that_is_reset_is_lost():
    """Guards against a body that ends with a reset and is passed on as complete."""
    unframed = b'HTTP/1.1 200 OK\r\nX-Attempt: 1\r\n\r\nok'
    assert (
        _loss_kind(Script([unframed], close_after=0, reset=True)) is LossKind.after_send
    )


def test_bytes_that_are_not_http_are_lost():
    """Guards against passing on bytes that are not HTTP."""
    assert _loss_kind(Script([b'\x00garbage\r\n\r\n'])) is LossKind.bad_answer


def test_unresponsive_upstream_times_out():
    """Guards against an unresponsive upstream that holds a call beyond its timeout."""
    assert _loss_kind(Script([])) is LossKind.timed_out


def test_unframed_body_is_complete_after_a_clean_close():
    """Guards against losing a body without a length, which ends with its connection."""

    async def scenario() -> bytes:
        unframed = b'HTTP/1.1 200 OK\r\nX-Attempt: 1\r\n\r\nok'
        async with ScriptedUpstream(Script([unframed], close_after=0)) as upstream:
            return (await run(upstream.pool())).body

    assert asyncio.run(scenario()) == b'ok'


def test_unframed_body_of_an_upstream_that_crashed_is_lost():
    """Guards against a body that a crash cut, which ends as cleanly as a whole one."""

    async def scenario() -> LossKind:
        unframed = b'HTTP/1.1 200 OK\r\nX-Attempt: 1\r\n\r\nhalf of'
        async with ScriptedUpstream(Script([unframed], close_after=0)) as upstream:
            running = asyncio.ensure_future(run(upstream.pool()))
            while not upstream.connections:
                await asyncio.sleep(0)
            upstream.stop_listening()
            with pytest.raises(UpstreamLostError) as caught:
                await running
            return caught.value.kind

    assert asyncio.run(scenario()) is LossKind.after_send


def test_interim_responses_are_skipped():
    """Guards against a status below 200 that is passed on as the response."""

    async def scenario() -> int:
        interim = b'HTTP/1.1 103 Early Hints\r\n\r\n'
        async with ScriptedUpstream(Script([interim + OK_RESPONSE])) as upstream:
            return (await run(upstream.pool())).status

    assert asyncio.run(scenario()) == 200


def test_extra_response_makes_the_connection_unusable():
    """Guards against a second response that is passed on for the next request."""

    async def scenario() -> tuple[bytes, int]:
        stale = OK_RESPONSE.replace(b'ok', b'no')
        second = OK_RESPONSE.replace(b'Attempt: 1', b'Attempt: 2')
        async with ScriptedUpstream(Script([OK_RESPONSE + stale, second])) as upstream:
            pool = upstream.pool()
            await run(pool)
            response = await run(pool, request_id=b'2')
            return response.body, upstream.connections

    assert asyncio.run(scenario()) == (b'ok', 2)


def test_late_response_to_another_request_is_skipped():
    """Guards against passing on a response that carries the id of another request."""

    async def scenario() -> bytes:
        late = OK_RESPONSE.replace(b'Attempt: 1', b'Attempt: 0').replace(b'ok', b'no')
        async with ScriptedUpstream(Script([late + OK_RESPONSE])) as upstream:
            return (await run(upstream.pool())).body

    assert asyncio.run(scenario()) == b'ok'


def test_target_and_body_are_sent_byte_for_byte():
    """Guards against normalised quoting, as the upstream may sign what it gets."""

    async def scenario() -> bytes:
        async with ScriptedUpstream(Script([OK_RESPONSE])) as upstream:
            await run(upstream.pool(), request(b'/a%2fb//c?x=%7e&y=a+b&', 'POST', b'z'))
            return upstream.heads[0]

    head = asyncio.run(scenario())
    assert head.startswith(b'POST /a%2fb//c?x=%7e&y=a+b& HTTP/1.1\r\n')
    assert b'Content-Length: 1\r\n' in head


def test_cancelled_request_closes_its_connection():
    """Guards against an upstream that continues to work for a caller that has left."""

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
    """Guards against an unknown outcome for a request that was never sent."""

    async def scenario() -> LossKind:
        async with ScriptedUpstream(Script([])) as upstream:
            pool = upstream.pool()
        await asyncio.sleep(0)
        with pytest.raises(UpstreamLostError) as caught:
            await run(pool)
        return caught.value.kind

    assert asyncio.run(scenario()) is LossKind.before_send


def test_own_abort_is_not_the_end_of_a_response():
    """Guards against a body without length that looks complete when the node aborts."""

    async def scenario() -> LossKind:
        truncated = b'HTTP/1.1 200 OK\r\nX-Attempt: 1\r\n\r\nok'
        async with ScriptedUpstream(Script([truncated])) as upstream:
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
def test_response_truncated_in_its_head_is_lost(length: int, reset: bool):
    """Guards against a truncated head that becomes a response with an empty body."""
    script = Script([HEAD[:length]], close_after=0, reset=reset)
    assert _loss_kind(script) in {LossKind.after_send, LossKind.bad_answer}


def test_response_truncated_after_an_interim_one_is_lost():
    """Guards against a connection end that completes the head after an interim one."""
    truncated = b'HTTP/1.1 103 Early Hints\r\n\r\n' + HEAD[:-4]
    assert _loss_kind(Script([truncated], close_after=0)) is LossKind.after_send
