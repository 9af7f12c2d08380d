"""Tests of claim rows, the retention rule and commit batches."""

import uuid

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from gentianmill.claim_rows import RETENTION_MS
from gentianmill.claims import (
    ClaimTracker,
    ClaimRow,
    ClaimState,
    ClaimStep,
    CommitBatch,
    StoredResponse,
    key_expired,
)

MAX_UUID_TIME_MS = 2**48 - 1
names = st.text(st.characters(exclude_categories=['Cs']), max_size=6)
parts = st.tuples(names, names, names)
responses = st.builds(
    StoredResponse,
    st.integers(100, 599),
    st.dictionaries(names, names, max_size=3),
    st.binary(max_size=40),
)


def _row(key: str, claim_id: str = 'id') -> ClaimRow:
    return ClaimRow('s', 't', key, b'd', claim_id, 'n')


@given(parts, parts)
def test_row_keys_differ_unless_all_parts_are_equal(left, right):
    """Guards against a tenant that reads the responses of another."""
    keys = [ClaimRow(*part, b'', 'i', 'n').row_key for part in (left, right)]
    assert (keys[0] == keys[1]) == (left == right)


@given(parts, names, st.binary(max_size=16), responses)
def test_rows_survive_msgpack(part, claim_id, digest, response):
    """Guards against a response that differs when it is read back."""
    row = ClaimRow(*part, digest, claim_id, 'n', ClaimState.recorded, response)
    assert ClaimRow.decode(row.encode()) == row


@given(st.binary(max_size=30))
def test_malformed_rows_raise_one_error(content):
    """Guards against malformed rows that end the commit loop."""
    try:
        row = ClaimRow.decode(content)
    except msgspec.DecodeError:
        return
    assert isinstance(row, ClaimRow)


@given(st.integers(0, MAX_UUID_TIME_MS), st.integers(0, 2**62 - 1), st.integers(-5, 5))
def test_uuid7_keys_expire_exactly_after_the_retention(made_ms, noise, past_ms):
    """Guards against running a call whose row may have been deleted."""
    key = str(uuid.UUID(int=made_ms << 80 | 7 << 76 | 2 << 62 | noise))
    assert key_expired(key, made_ms + RETENTION_MS + past_ms) == (past_ms > 0)


@pytest.mark.parametrize('key', ['order 17', '', str(uuid.UUID(int=4 << 76 | 2 << 62))])
def test_opaque_keys_never_expire(key):
    """Guards against refusing keys that carry no date."""
    assert not key_expired(key, 1e15)


@given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 3_000_000)), max_size=9))
def test_batches_stay_within_their_limits(entries):
    """Guards against two writes of a row, or a body too large, in one batch."""
    tracker = ClaimTracker()
    batch = CommitBatch()
    for number, (key, size) in enumerate(entries):
        claim = tracker.open(_row(f'k{key}', f'id{number}'))
        claim.step = ClaimStep.recording
        response = StoredResponse(200, {}, bytes(size))
        claim.row = msgspec.structs.replace(claim.row, response=response)
        batch.add(claim)
    written = [write.key for write in batch.writes]
    assert len(written) == len(set(written))
    total = sum(len(write.value) for write in batch.writes)
    assert len(batch) <= 1 or total <= 4 * 1024 * 1024
    assert bool(batch) == bool(entries)


@given(st.sets(st.integers(0, 9)), st.booleans())
def test_every_claim_of_a_refused_batch_is_decided_or_sent_again(failed, released):
    """Guards against claims that a conflict leaves without a next step."""
    tracker = ClaimTracker()
    claims = [tracker.open(_row(f'k{number}', f'id{number}')) for number in range(10)]
    batch = tracker.next_batch()
    if released:
        for claim in claims:
            tracker.release(claim)
    tracker.on_conflict(batch, [claims[number].row.row_key for number in failed])
    step_otherwise = ClaimStep.done if released else ClaimStep.wanted
    for number, claim in enumerate(claims):
        expected_step = ClaimStep.unresolved if number in failed else step_otherwise
        assert claim.step is expected_step
        assert (claim in tracker.to_read(0)) == (number in failed)


def test_two_claims_of_one_row_go_into_different_batches():
    """Guards against a transaction that writes a row twice."""
    tracker = ClaimTracker()
    tracker.open(_row('k', 'a'))
    second = tracker.open(_row('k', 'b'))
    assert len(tracker.next_batch()) == 1
    assert second.step is ClaimStep.wanted


def test_a_claim_starts_one_call_and_is_not_released_after_its_response():
    """Guards against a second execution under one claim."""
    tracker = ClaimTracker()
    claim = tracker.open(_row('k'))
    with pytest.raises(ValueError, match='expected held'):
        tracker.start_call(claim)
    tracker.on_applied(tracker.next_batch(), 0)
    tracker.start_call(claim)
    with pytest.raises(ValueError, match='expected held'):
        tracker.start_call(claim)
    tracker.record(claim, StoredResponse(200, {}, b''))
    with pytest.raises(ValueError, match='has run'):
        tracker.release(claim)
