"""Specification of the claim protocol for the model checker.

Several calls with one key arrive at different guards; all but the first are
resends. The table may lose responses, writes may take effect late, and guards
may crash or pause; a pause is any number of steps of other guards in between.
"""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from minicheck import Protocol

from gentianmill.claims import ClaimStep

CRASHED = 'crashed'
IDLE = 'idle'
NO_ROW = 0
UNSENT = frozenset(
    (ClaimStep.wanted, ClaimStep.sent, ClaimStep.unresolved, ClaimStep.held)
)
VARIANTS = {
    'take_over_crashed_claim': 2,
    'overwrite_after_lost_answer': 2,
    'run_before_claim': 2,
    'run_after_lost_answer': 2,
    'run_after_not_run_answer': 2,
    'delete_without_fencing': 3,
    'not_run_although_running': 2,
    'settle_while_holder_may_run': 2,
    'settle_by_deleting': 2,
}
"""Incorrect protocols, and the number of calls needed to refute each."""


class Call(NamedTuple):
    """One call and the claim that its guard makes for it."""

    step: str = IDLE
    write_state: str = ''
    """State of the write: ``out`` (in flight), ``applied``, ``refused``, or none."""

    late: bool = False
    """Whether an insert may still take effect though its sender stopped waiting.

    At most one such insert for each call keeps the model finite.
    """

    write_uncertain: bool = False
    reported_not_run: bool = False
    ran: bool = False

    def updated(self, **changes: object) -> 'Call':
        """Return a copy with some fields changed."""
        return self._replace(**changes)


State = tuple[int, tuple[Call, ...]]
"""Number of the call that owns the row, from 1, or ``NO_ROW``; and all calls."""

Steps = Iterator[tuple[str, int, Call]]
"""Name of the step, and the row and the call after it."""


def on_row_present(call: Call) -> Call:
    """Return a call after its row was confirmed to exist."""
    return call.updated(
        step=ClaimStep.releasing if call.reported_not_run else ClaimStep.held
    )


def on_row_absent(call: Call) -> Call:
    """Return a call after its row was found absent."""
    if not call.reported_not_run:
        return call.updated(step=ClaimStep.wanted)
    return call.updated(
        step=ClaimStep.releasing if call.write_uncertain else ClaimStep.done
    )


def claim_steps(row: int, call: Call, me: int) -> Steps:
    """Yield the steps until it is decided which call holds the key."""
    if call.step == IDLE:
        yield 'open', row, call.updated(step=ClaimStep.wanted)
    if call.step == ClaimStep.wanted:
        yield 'send', row, call.updated(step=ClaimStep.sent, write_state='out')
    if call.step == ClaimStep.sent:
        yield from response_steps(row, call)
    if call.write_state == 'out' and row == NO_ROW:
        yield 'effect', me, call.updated(write_state='applied')
    elif call.write_state == 'out':
        yield 'effect', row, call.updated(write_state='refused')
    if call.late:
        yield 'late_effect', row or me, call.updated(late=False)
        yield 'late_loss', row, call.updated(late=False)
    if call.step == ClaimStep.unresolved:
        yield 'read', row, read(row, call, me)


def response_steps(row: int, call: Call) -> Steps:
    """Yield the responses that the guard may get for its write, or none."""
    unsure = call.updated(
        step=ClaimStep.unresolved, write_state='', write_uncertain=True
    )
    if call.write_state == 'applied':
        yield 'answer_applied', row, on_row_present(call.updated(write_state=''))
    if call.write_state == 'refused':
        yield (
            'answer_refused',
            row,
            call.updated(write_state='', step=ClaimStep.unresolved),
        )
    if call.write_state == 'out':
        yield 'answer_lost', row, unsure.updated(late=True)
    yield 'answer_lost', row, unsure


def read(row: int, call: Call, me: int) -> Call:
    """Return a call after its row was read; the claim id decides who holds it."""
    if row == me:
        return on_row_present(call)
    if row == NO_ROW:
        return on_row_absent(call)
    return call.updated(
        step=ClaimStep.releasing if call.write_uncertain else ClaimStep.lost
    )


def run_steps(row: int, call: Call) -> Steps:
    """Yield the steps of a call that holds its claim, and of abandoning a call."""
    if call.step == ClaimStep.held:
        yield 'take', row, call.updated(step=ClaimStep.running)
    if call.step == ClaimStep.running and not call.ran:
        yield 'run', row, call.updated(ran=True)
        yield (
            'release',
            row,
            call.updated(step=ClaimStep.releasing, reported_not_run=True),
        )
    if call.step == ClaimStep.running and call.ran:
        yield 'record', row, call.updated(step=ClaimStep.recording)
    if call.step == ClaimStep.recording:
        yield 'record_applied', row, call.updated(step=ClaimStep.done)
        yield 'record_lost', row, call
    if call.step in UNSENT and not call.reported_not_run:
        yield 'release', row, release(call)
    if call.step not in {IDLE, CRASHED, ClaimStep.done, ClaimStep.lost}:
        late = call.late or call.write_state == 'out'
        yield 'crash', row, call.updated(step=CRASHED, write_state='', late=late)


def release(call: Call) -> Call:
    """Return a call that ended as ``not_run`` before its claim was used."""
    reported = call.updated(reported_not_run=True)
    if call.step == ClaimStep.wanted:
        return on_row_absent(reported)
    return on_row_present(reported) if call.step == ClaimStep.held else reported


def settlement_steps(row: int, call: Call, me: int) -> Steps:
    """Yield how an operator settles a claim whose holder crashed.

    The row stays, so the key is refused; accounting records show what ran.
    """
    crashed = call.step == CRASHED and row == me
    if crashed and not call.ran and not call.reported_not_run:
        yield 'operator_settles', row, call.updated(reported_not_run=True)


def release_steps(row: int, call: Call, me: int) -> Steps:
    """Yield the steps that delete the row of a released claim."""
    again = call.updated(step=ClaimStep.releasing)
    done = call.updated(step=ClaimStep.done)
    if call.step == ClaimStep.releasing and row == me:
        yield 'read', row, call.updated(step=ClaimStep.deleting)
    elif call.step == ClaimStep.releasing and not call.late:
        yield 'settle', row, done
    if call.step == ClaimStep.deleting and row == me:
        yield 'delete_applied', NO_ROW, again if call.write_uncertain else done
        yield 'delete_lost_after_effect', NO_ROW, again
        yield 'delete_lost', row, again


def bad_steps(variant: str, state: State, me: int) -> Steps:
    """Yield the additional steps of an incorrect protocol."""
    row, calls = state
    call = calls[me - 1]
    run = call.updated(step=ClaimStep.running)
    if _may_seize(variant, state, call):
        yield variant, me, run
    if _may_run(variant, call, row == me):
        yield variant, row, run
    if variant == 'delete_without_fencing' and call.step == ClaimStep.releasing:
        yield variant, NO_ROW, call.updated(step=ClaimStep.done)
    may_run = call.step in {ClaimStep.held, ClaimStep.running} and not call.ran
    if variant == 'settle_while_holder_may_run' and row == me and may_run:
        yield variant, row, call.updated(reported_not_run=True)
    if variant == 'settle_by_deleting' and row == me and may_run:
        yield variant, NO_ROW, call
    if variant == 'not_run_although_running' and call.ran:
        yield variant, row, call.updated(reported_not_run=True)


def _may_seize(variant: str, state: State, call: Call) -> bool:
    row, calls = state
    if variant == 'take_over_crashed_claim':
        crashed = bool(row) and calls[row - 1].step == CRASHED
        return crashed and call.step == ClaimStep.lost
    unsure = call.step == ClaimStep.unresolved and call.write_uncertain
    return variant == 'overwrite_after_lost_answer' and unsure


def _may_run(variant: str, call: Call, owns: bool) -> bool:
    if variant == 'run_before_claim':
        return call.step == ClaimStep.wanted
    if variant == 'run_after_lost_answer':
        return call.step == ClaimStep.unresolved and call.write_uncertain
    late = call.step == ClaimStep.releasing and call.write_uncertain and owns
    return variant == 'run_after_not_run_answer' and late


def transitions_of(
    variant: str, *, merge: bool
) -> Callable[[State], list[tuple[str, State]]]:
    """Return the transition function of the protocol or of a variant of it."""

    def transitions(state: State) -> list[tuple[str, State]]:
        row, calls = state
        found = []
        for me, call in enumerate(calls, start=1):
            for name, new_row, new_call in (
                *claim_steps(row, call, me),
                *run_steps(row, call),
                *release_steps(row, call, me),
                *settlement_steps(row, call, me),
                *bad_steps(variant, state, me),
            ):
                after = (new_row, (*calls[: me - 1], new_call, *calls[me:]))
                found.append((f'{name}:{me}', canonical(after) if merge else after))
        return found

    return transitions


def canonical(state: State) -> State:
    """Return the state with the calls in a fixed order.

    Calls are interchangeable, so the checker treats states that differ only in
    their order as one state.
    """
    row, calls = state
    order = sorted(
        range(len(calls)), key=lambda position: (calls[position], position + 1 == row)
    )
    new_row = order.index(row - 1) + 1 if row else NO_ROW
    return new_row, tuple(calls[position] for position in order)


def claim_protocol(calls: int, variant: str = '', *, merge: bool = True) -> Protocol:
    """Return the protocol, or an incorrect variant, for a number of calls.

    With ``merge``, the numbers in labels are positions in the canonical order.
    """
    return Protocol(
        name=variant or 'claims',
        candidate=bool(variant),
        fields=('row', 'calls'),
        initial=(NO_ROW, (Call(),) * calls),
        transitions=transitions_of(variant, merge=merge),
        invariants={
            'at_most_once': lambda at: sum(call.ran for call in at['calls']) <= 1,
            'not_run_means_no_execution': lambda at: (
                not any(call.ran and call.reported_not_run for call in at['calls'])
            ),
        },
    )
