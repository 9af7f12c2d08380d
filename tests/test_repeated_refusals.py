"""Tests of refusals that an upstream writes twice on one connection."""

import asyncio

import pytest
from gentianmill.admission_share import ShareTable
from gentianmill.arrivals import Cause
from gentianmill.clock import MonotonicClock
from gentianmill.outcome import Outcome
from gentianmill.retry_budget import RetryBudgetSettings
from gentianmill.upstream_status import UpstreamReport
from gentianmill_mesh.guard_call import GuardCall, GuardReply
from gentianmill_mesh.http_message import HttpRequest
from gentianmill_mesh.upstream_guard import UpstreamGuard
from mesh_upstream import NAMES, Script, ScriptedUpstream

REFUSAL = b'HTTP/1.1 503 Full\r\nX-Not-Run: full\r\nContent-Length: 0\r\n'
MISDIRECTED = b'HTTP/1.1 421 Other\r\nContent-Length: 0\r\n'
OK_RESPONSE = b'HTTP/1.1 200 OK\r\nX-Attempt: %b\r\nContent-Length: 2\r\n\r\nok'
HEADERS_END = b'\r\n'
ECHO_1 = b'X-Attempt: 1\r\n'
ECHO_2 = b'X-Attempt: 2\r\n'


def _call(number: bytes, *, repeatable: bool) -> GuardCall:
    clock = MonotonicClock()
    return GuardCall(
        service='back',
        request=HttpRequest('POST', b'/a', [[b'X-Attempt', number]], b''),
        deadline_ms=clock.now_ms() + 500,
        rank=0,
        max_wait_ms=100,
        repeatable=repeatable,
        caller_service='front',
        route='r',
        cause=Cause.first,
    )


def _guard(upstream: ScriptedUpstream) -> UpstreamGuard:
    clock = MonotonicClock()
    guard = UpstreamGuard(
        'back', upstream.pool(), NAMES, ShareTable(), clock, RetryBudgetSettings()
    )
    guard.apply_report(
        UpstreamReport(
            upstream_id='u1',
            service='back',
            host='127.0.0.1',
            port=upstream.port,
            zone='a',
            slots=4,
            draining=False,
            sequence=1,
            start_unix_ms=1,
            cold_ms=0,
        )
    )
    return guard


def _run_two_calls(
    responses: list[bytes], *, repeatable: bool = False
) -> list[GuardReply]:
    """Return the replies to two calls that share a connection."""

    async def scenario() -> list[GuardReply]:
        async with ScriptedUpstream(Script(responses)) as upstream:
            guard = _guard(upstream)
            replies = [
                await guard.run(_call(number, repeatable=repeatable))
                for number in (b'1', b'2')
            ]
            return replies

    return asyncio.run(scenario())


@pytest.mark.parametrize('refusal', [REFUSAL, MISDIRECTED], ids=['full', 'other'])
@pytest.mark.parametrize('echo', [ECHO_1, b''], ids=['with its id', 'without'])
def test_refusal_written_again_is_skipped(refusal: bytes, echo: bytes):
    """Guards against a duplicate that marks the next payment, which ran, as not run."""
    first = refusal + ECHO_1 + HEADERS_END
    duplicate = refusal + echo + HEADERS_END
    replies = _run_two_calls([first, duplicate + OK_RESPONSE % b'2'])
    assert replies[0].outcome is Outcome.not_run
    assert replies[1].outcome is Outcome.answered


@pytest.mark.parametrize('refusal', [REFUSAL, MISDIRECTED], ids=['full', 'other'])
@pytest.mark.parametrize('repeatable', [False, True])
def test_refusal_without_an_id_on_a_kept_connection_is_unknown(
    refusal: bytes, repeatable: bool
):
    """Guards against a copy of the previous refusal that is applied to a running call."""
    replies = _run_two_calls(
        [refusal + HEADERS_END, refusal + HEADERS_END], repeatable=repeatable
    )
    assert replies[0].outcome is Outcome.not_run
    assert replies[1].outcome is Outcome.unknown


def test_refusal_with_its_id_on_a_kept_connection_is_not_run():
    """Guards against an outcome ``unknown`` for a call that may safely be retried."""
    replies = _run_two_calls(
        [REFUSAL + ECHO_1 + HEADERS_END, REFUSAL + ECHO_2 + HEADERS_END]
    )
    assert [reply.outcome for reply in replies] == [Outcome.not_run, Outcome.not_run]


@pytest.mark.parametrize('length', range(1, len(REFUSAL + ECHO_1 + HEADERS_END)))
def test_split_duplicate_refusal_does_not_refuse_the_next_call(length: int):
    """Guards against the second part being parsed as the response to the next call."""
    refusal = REFUSAL + ECHO_1 + HEADERS_END
    replies = _run_two_calls(
        [refusal + refusal[:length], refusal[length:] + OK_RESPONSE % b'2']
    )
    assert replies[0].outcome is Outcome.not_run
    assert replies[1].outcome is not Outcome.not_run
