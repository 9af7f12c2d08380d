"""Tests of the guard of an upstream that drains while its node runs on."""

import asyncio
from unittest import mock

import pytest
from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill.outcome import Outcome
from gentianmill_node.guard import Guard


def _code(guard: Guard) -> tuple[Outcome, ErrorCode | None]:
    call = mock.Mock(at_most_once=False)
    answer = asyncio.run(guard.run(call))
    return answer.outcome, answer.error_code


def test_an_upstream_that_drains_gets_no_call():
    """Guards against calls of nodes that do not yet know that the upstream leaves."""
    parts = mock.MagicMock()
    parts.policy.level.admits.return_value = False
    guard = Guard(parts)
    guard.load = mock.Mock()
    guard.note_upstream(True)
    assert _code(guard) == (Outcome.not_run, ErrorCode.draining)
    guard.note_upstream(False)
    assert _code(guard) == (Outcome.not_run, ErrorCode.overloaded)


class _Claimed:
    """A guard whose upstream starts to drain while a call waits for its claim."""

    def __init__(self) -> None:
        self.parts = mock.MagicMock()
        self.guard = Guard(self.parts)
        self.guard.load = mock.Mock()
        self.parts.clock.now_ms.return_value = 0
        self.parts.gate.enter = mock.AsyncMock()
        self.parts.suspects.enter = mock.AsyncMock()
        self.parts.suspects.leave = mock.AsyncMock()
        self.parts.claims.release = mock.AsyncMock()
        self.parts.upstream.run = mock.AsyncMock()

    def drain(self, *_: object) -> mock.Mock:
        """Note that the upstream drains, and return a claim."""
        self.guard.note_upstream(True)
        return mock.Mock()


def test_payment_whose_upstream_drains_during_its_claim_is_not_run():
    """It was sent to an upstream that drained and was about to end, and was unknown."""
    play = _Claimed()
    play.parts.claims.claim = mock.AsyncMock(side_effect=play.drain)
    call = mock.Mock(at_most_once=True, deadline_ms=1000)
    answer = asyncio.run(play.guard.run(call))
    assert (answer.outcome, answer.error_code) == (Outcome.not_run, ErrorCode.draining)
    play.parts.upstream.run.assert_not_awaited()
    play.parts.claims.release.assert_awaited_once()


def test_call_whose_upstream_drains_while_it_waits_for_a_slot_is_not_run():
    """A queue of calls reached an upstream after it was seen to drain."""
    play = _Claimed()
    play.parts.gate.enter = mock.AsyncMock(side_effect=play.drain)
    call = mock.Mock(at_most_once=False, deadline_ms=1000)
    answer = asyncio.run(play.guard.run(call))
    assert (answer.outcome, answer.error_code) == (Outcome.not_run, ErrorCode.draining)
    play.parts.upstream.run.assert_not_awaited()


def test_download_whose_upstream_drains_while_it_waits_for_a_slot_is_not_run():
    """A bulk body was begun by an upstream that was about to end."""
    play = _Claimed()
    play.parts.gate.enter = mock.AsyncMock(side_effect=play.drain)

    async def admit() -> None:
        async with play.guard.admitted(mock.Mock()):
            pytest.fail('the call was admitted')

    with pytest.raises(GentianmillError) as caught:
        asyncio.run(admit())
    assert caught.value.code is ErrorCode.draining


def test_calls_accepted_before_their_node_drains_are_finished():
    """A planned stop of a node must not refuse what it has accepted."""
    play = _Claimed()

    def stop(*_: object) -> mock.Mock:
        play.guard.start_drain()
        return mock.Mock()

    play.parts.claims.claim = mock.AsyncMock(side_effect=stop)
    play.parts.claims.record = mock.AsyncMock()
    asyncio.run(play.guard.run(mock.Mock(at_most_once=True, deadline_ms=1000)))
    play.parts.upstream.run.assert_awaited_once()
