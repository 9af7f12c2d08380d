"""Histories of at-most-once calls, and checkers of their guarantees."""

import dataclasses
from collections import Counter

from gentianmill.outcome import Outcome


@dataclasses.dataclass(frozen=True)
class Completion:
    """How a call ended for its caller; ``response`` counts only if ``answered``."""

    outcome: Outcome
    response: bytes | None = None


@dataclasses.dataclass
class Call:
    """One invocation by a caller; a resend is another call with the same key."""

    number: int
    key: str
    body: bytes
    invoked_ms: float
    executions: int = 0
    completion: Completion | None = None


class History:
    """A recorder of invocations, executions and completions."""

    def __init__(self) -> None:
        """Start without calls."""
        self.calls: list[Call] = []
        self.responses: dict[tuple[str, bytes], set[bytes]] = {}

    def invoke(self, key: str, body: bytes, now_ms: float) -> Call:
        """Record that a caller sends a call."""
        call = Call(len(self.calls), key, body, now_ms)
        self.calls.append(call)
        return call

    def execute(self, call: Call, response: bytes) -> None:
        """Record that the upstream starts to run a call that gets this response."""
        call.executions += 1
        self.responses.setdefault((call.key, call.body), set()).add(response)

    def complete(self, call: Call, completion: Completion) -> None:
        """Record the outcome of a call at its caller.

        Raises:
            ValueError: If an outcome was recorded before.
        """
        if call.completion is not None:
            raise ValueError(f'call {call.number} completed twice')
        call.completion = completion

    def executions(self) -> Counter[str]:
        """Return the number of executions of each key."""
        counts: Counter[str] = Counter()
        for call in self.calls:
            counts[call.key] += call.executions
        return counts


def executions_within_bound(history: History, bound: int) -> list[str]:
    """Report keys that were executed more often than the bound."""
    return [
        f'key {key!r} was executed {count} times, allowed {bound}'
        for key, count in history.executions().items()
        if count > bound
    ]


def at_most_once(history: History) -> list[str]:
    """Report keys that were executed more than once."""
    return executions_within_bound(history, 1)


def not_run_means_no_execution(history: History) -> list[str]:
    """Report calls that ran although their outcome says that they did not."""
    return [
        f'call {call.number} with key {call.key!r} ended as '
        f'{call.completion.outcome} but ran'
        for call in history.calls
        if call.executions
        and call.completion
        and call.completion.outcome.surely_not_run
    ]


def complete_responses(history: History) -> list[str]:
    """Report responses that are truncated or belong to another request."""
    violations = []
    for call in history.calls:
        if call.completion is None or call.completion.outcome is not Outcome.answered:
            continue
        expected = history.responses.get((call.key, call.body), set())
        if call.completion.response not in expected:
            violations.append(
                f'call {call.number} with key {call.key!r} got response '
                f'{call.completion.response!r}, expected one of {sorted(expected)}'
            )
    return violations
