"""Tests of the history checkers: each must report a bad history."""

import pytest

from gentianmill.outcome import Outcome
from history import (
    Completion,
    History,
    at_most_once,
    executions_within_bound,
    not_run_means_no_execution,
    complete_responses,
)


def _good() -> History:
    history = History()
    first = history.invoke('k', b'a', 0)
    history.execute(first, b'response')
    history.complete(first, Completion(Outcome.unknown))
    resend = history.invoke('k', b'a', 5)
    history.complete(resend, Completion(Outcome.answered, b'response'))
    refused = history.invoke('k', b'other', 6)
    history.complete(refused, Completion(Outcome.not_run))
    return history


def test_good_history_passes_all_checkers():
    """Guards against checkers that report a resend with the same key."""
    history = _good()
    assert not at_most_once(history)
    assert not executions_within_bound(history, 1)
    assert not not_run_means_no_execution(history)
    assert not complete_responses(history)


def test_at_most_once_finds_an_execution_in_a_resend():
    """Guards against counting executions by call instead of by key."""
    history = _good()
    history.execute(history.calls[1], b'response')
    assert at_most_once(history) == ["key 'k' was executed 2 times, allowed 1"]


def test_executions_within_bound_counts_each_key():
    """Guards against a bound that is checked for the sum of all keys."""
    history = _good()
    history.execute(history.invoke('other', b'a', 9), b'x')
    assert not executions_within_bound(history, 1)
    history.execute(history.calls[0], b'response')
    history.execute(history.calls[1], b'response')
    assert executions_within_bound(history, 2)
    assert not executions_within_bound(history, 3)


@pytest.mark.parametrize('outcome', [Outcome.not_run, Outcome.expired])
def test_not_run_means_no_execution_finds_both_forms(outcome):
    """Guards against expired calls that run."""
    history = History()
    call = history.invoke('k', b'a', 0)
    history.complete(call, Completion(outcome))
    history.execute(call, b'response')
    assert not_run_means_no_execution(history)


@pytest.mark.parametrize('response', [b'respon', b'', None, b'response of another'])
def test_truncated_and_foreign_responses_are_found(response):
    """Guards against overlooking a truncated response or that to another request."""
    history = History()
    history.execute(history.invoke('other', b'a', 0), b'response of another')
    call = history.invoke('k', b'a', 0)
    history.execute(call, b'response')
    history.complete(call, Completion(Outcome.answered, response))
    assert complete_responses(history)


def test_second_completion_is_refused():
    """Guards against a run that reports two outcomes to one caller."""
    history = _good()
    with pytest.raises(ValueError, match='completed twice'):
        history.complete(history.calls[0], Completion(Outcome.not_run))
