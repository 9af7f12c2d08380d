"""Tests of the guard of an upstream that drains while its node runs on."""

import asyncio
from unittest import mock

from gentianmill.errors import ErrorCode
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
