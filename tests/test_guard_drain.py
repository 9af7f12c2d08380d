"""Tests of the guard of an upstream that drains while its node keeps running."""

import asyncio
from unittest import mock

import pytest
from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill.outcome import Outcome
from gentianmill_node.guard import Guard


def _code(guard: Guard) -> tuple[Outcome, ErrorCode | None]:
    call = mock.Mock(at_most_once=False)
    result = asyncio.run(guard.run(call))
    return result.outcome, result.error_code


def test_an_upstream_that_drains_gets_no_call():
    """Guards against running calls of nodes that do not know of the drain yet."""
    parts = mock.MagicMock()
    parts.policy.level.admits.return_value = False
    guard = Guard(parts)
    guard.load = mock.Mock()
    guard.mark_upstream_draining(True)
    assert _code(guard) == (Outcome.not_run, ErrorCode.draining)
    guard.mark_upstream_draining(False)
    assert _code(guard) == (Outcome.not_run, ErrorCode.overloaded)


class _Scenario:
    """A guard with mocked parts that starts to drain while a call waits."""

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
        """Report to the guard that its upstream drains, and return a claim."""
        self.guard.mark_upstream_draining(True)
        return mock.Mock()


def test_payment_whose_upstream_drains_during_its_claim_is_not_run():
    """Guards against an unknown outcome of a payment sent to a stopping upstream."""
    scenario = _Scenario()
    scenario.parts.claims.claim = mock.AsyncMock(side_effect=scenario.drain)
    call = mock.Mock(at_most_once=True, deadline_ms=1000)
    result = asyncio.run(scenario.guard.run(call))
    assert (result.outcome, result.error_code) == (Outcome.not_run, ErrorCode.draining)
    scenario.parts.upstream.run.assert_not_awaited()
    scenario.parts.claims.release.assert_awaited_once()


def test_call_whose_upstream_drains_while_it_waits_for_a_slot_is_not_run():
    """Guards against sending queued calls to an upstream that is known to drain."""
    scenario = _Scenario()
    scenario.parts.gate.enter = mock.AsyncMock(side_effect=scenario.drain)
    call = mock.Mock(at_most_once=False, deadline_ms=1000)
    result = asyncio.run(scenario.guard.run(call))
    assert (result.outcome, result.error_code) == (Outcome.not_run, ErrorCode.draining)
    scenario.parts.upstream.run.assert_not_awaited()


def test_download_whose_upstream_drains_while_it_waits_for_a_slot_is_not_run():
    """Guards against a bulk body started by an upstream that is about to stop."""
    scenario = _Scenario()
    scenario.parts.gate.enter = mock.AsyncMock(side_effect=scenario.drain)

    async def admit() -> None:
        async with scenario.guard.admitted(mock.Mock()):
            pytest.fail('the call was admitted')

    with pytest.raises(GentianmillError) as caught:
        asyncio.run(admit())
    assert caught.value.code is ErrorCode.draining


def test_calls_accepted_before_their_node_drains_are_finished():
    """Guards against a planned stop of a node that refuses calls it has accepted."""
    scenario = _Scenario()

    def stop(*_: object) -> mock.Mock:
        scenario.guard.start_drain()
        return mock.Mock()

    scenario.parts.claims.claim = mock.AsyncMock(side_effect=stop)
    scenario.parts.claims.record = mock.AsyncMock()
    asyncio.run(scenario.guard.run(mock.Mock(at_most_once=True, deadline_ms=1000)))
    scenario.parts.upstream.run.assert_awaited_once()
