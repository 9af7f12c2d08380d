"""Model check of the claim protocol, and its agreement with ``ClaimTracker``."""

from collections import deque

import msgspec
import pytest
from minicheck import check_safety

from gentianmill.claims import (
    ClaimTracker,
    ClaimRow,
    ClaimState,
    ClaimStep,
    StoredResponse,
)
from models.claim_model import CRASHED, IDLE, VARIANTS, State, claim_protocol

MAX_STATES = 200_000
SETTLE_MS = 30_000


def _check(calls: int, variant: str = '') -> dict:
    return check_safety(claim_protocol(calls, variant), max_states=MAX_STATES)


def test_protocol_is_safe_in_all_states():
    """Guards against two executions of one key in any interleaving."""
    result = _check(3)
    assert result['exhaustive'], result.get('incomplete_reason')
    verdicts = {name: found['holds'] for name, found in result['properties'].items()}
    assert verdicts == {'at_most_once': True, 'not_run_means_no_execution': True}


@pytest.mark.parametrize(('variant', 'calls'), VARIANTS.items())
def test_known_bad_variants_are_refuted(variant, calls):
    """Guards against a specification that would accept any protocol."""
    found = _check(calls, variant)['properties'].values()
    refuted = [entry for entry in found if entry['holds'] is False]
    assert refuted
    assert any(
        step['label'] and step['label'].startswith(variant)
        for entry in refuted
        for step in entry['counterexample']
    )


@pytest.mark.parametrize(
    ('variant', 'property_name'),
    [
        ('settle_while_holder_may_run', 'not_run_means_no_execution'),
        ('settle_by_deleting', 'at_most_once'),
    ],
)
def test_a_wrong_settlement_breaks_one_property_only(variant, property_name):
    """Guards against a settled row that does not even block a second call."""
    found = _check(2, variant)['properties']
    refuted = [name for name, entry in found.items() if entry['holds'] is False]
    assert refuted == [property_name]


class _Guard:
    """A ``ClaimTracker`` with one claim, driven by the labels of the model."""

    def __init__(self, number: int, table: dict[str, ClaimRow]) -> None:
        self.tracker = ClaimTracker(write_timeout_ms=SETTLE_MS)
        self.row = ClaimRow('s', 't', 'k', b'd', f'id{number}', f'n{number}')
        self.claim = None
        self.batch = None
        self.failed: tuple[str, ...] = ()
        self.now_ms = 0.0
        self._table = table

    def do(self, name: str) -> None:
        """Perform the step that a label names."""
        getattr(self, f'_{name}')()

    def _open(self) -> None:
        self.claim = self.tracker.open(self.row)

    def _send(self) -> None:
        self.batch = self.tracker.next_batch()
        assert [write.expected_revision for write in self.batch.writes] == [0]

    def _effect(self) -> None:
        key = self.row.row_key
        self.failed = (key,) if key in self._table else ()
        self._table.setdefault(key, self.row)

    def _late_effect(self) -> None:
        self._table.setdefault(self.row.row_key, self.row)

    def _late_loss(self) -> None:
        """Do nothing: no response reaches the guard."""

    def _crash(self) -> None:
        """Do nothing: a crashed guard performs no step."""

    def _operator_settles(self) -> None:
        """Mark the row as ``gentianmillctl settle`` does."""
        self._table[self.row.row_key] = msgspec.structs.replace(
            self.row, state=ClaimState.settled
        )

    def _answer_applied(self) -> None:
        self.tracker.on_applied(self.batch, self.now_ms)

    def _answer_refused(self) -> None:
        self.tracker.on_conflict(self.batch, self.failed)

    def _answer_lost(self) -> None:
        self.tracker.on_unknown(self.batch)

    def _read(self) -> None:
        assert self.tracker.to_read(float('inf')) == [self.claim]
        found = self._table.get(self.row.row_key)
        self.tracker.on_read(self.claim, found, 1 if found else 0, self.now_ms)

    def _settle(self) -> None:
        self._read()
        self.now_ms += SETTLE_MS
        if self.claim.step is ClaimStep.releasing:
            self._read()

    def _take(self) -> None:
        self.tracker.start_call(self.claim)

    def _run(self) -> None:
        with pytest.raises(ValueError, match='expected held'):
            self.tracker.start_call(self.claim)

    def _release(self) -> None:
        self.tracker.release(self.claim)

    def _record(self) -> None:
        self.tracker.record(self.claim, StoredResponse(200, {}, b''))

    def _record_applied(self) -> None:
        self.tracker.on_applied(self.tracker.next_batch(), self.now_ms)

    def _record_lost(self) -> None:
        self.tracker.on_unknown(self.tracker.next_batch())

    def _delete_applied(self) -> None:
        batch = self.tracker.next_batch()
        self._table.pop(self.row.row_key)
        self.tracker.on_applied(batch, self.now_ms)

    def _delete_lost_after_effect(self) -> None:
        batch = self.tracker.next_batch()
        self._table.pop(self.row.row_key)
        self.tracker.on_unknown(batch)

    def _delete_lost(self) -> None:
        self.tracker.on_unknown(self.tracker.next_batch())


def _replay(labels: list[str], state: State) -> None:
    row, calls = state
    table: dict[str, ClaimRow] = {}
    guards = [_Guard(number, table) for number in range(1, len(calls) + 1)]
    for label in labels:
        name, _, number = label.partition(':')
        guards[int(number) - 1].do(name)
    holders = [found.claim_id for found in table.values()]
    assert holders == [f'id{row}'][: bool(row)], labels
    for guard, call in zip(guards, calls, strict=True):
        if call.step in {IDLE, CRASHED}:
            continue
        assert guard.claim.step == call.step, labels
        assert guard.claim.release_requested == call.reported_not_run, labels
        assert guard.claim.write_uncertain == call.write_uncertain, labels
        is_tracked = call.step not in {ClaimStep.done, ClaimStep.lost}
        assert len(guard.tracker) == int(is_tracked), labels


def test_claim_tracker_makes_every_step_of_the_model():
    """Guards against an implementation that deviates from its specification."""
    protocol = claim_protocol(2, merge=False)
    paths = {protocol.initial: []}
    queue = deque(paths)
    names = set()
    while queue:
        state = queue.popleft()
        for label, after in protocol.transitions(state):
            labels = [*paths[state], label]
            _replay(labels, after)
            names.add(label.partition(':')[0])
            if after not in paths:
                paths[after] = labels
                queue.append(after)
    methods = [name for name in _Guard.__dict__ if name.startswith('_')]
    steps = {name for name in methods if not name.startswith('__')}
    assert {f'_{name}' for name in names} == steps
