"""The claims of one node, with their transitions and group commit."""

import dataclasses
from collections.abc import Iterable

import msgspec

from gentianmill._claim_steps import Claim, ClaimStep, ClaimSteps
from gentianmill.claim_rows import ClaimRow, ClaimState, StoredResponse, key_expired

__all__ = [
    'Claim',
    'ClaimTracker',
    'ClaimRow',
    'ClaimState',
    'ClaimStep',
    'CommitBatch',
    'StoredResponse',
    'key_expired',
]

MAX_BATCH_ROWS = 500
MAX_BATCH_BYTES = 4 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class RowWrite:
    """A conditional write, with the same fields as a write of the table store."""

    key: str
    value: bytes | None
    expected_revision: int


class CommitBatch:
    """The writes of one transaction, at most one per row."""

    def __init__(self) -> None:
        """Create an empty batch."""
        self._writes: dict[str, RowWrite] = {}
        self._claims: dict[str, Claim] = {}
        self._size = 0

    def __len__(self) -> int:
        """Return the number of writes."""
        return len(self._writes)

    @property
    def writes(self) -> tuple[RowWrite, ...]:
        """Return the writes in the order in which they were added."""
        return tuple(self._writes.values())

    @property
    def claims(self) -> tuple[Claim, ...]:
        """Return the claims of the writes, in the same order."""
        return tuple(self._claims.values())

    def add(self, claim: Claim) -> bool:
        """Add the write that a claim waits for, if the batch has capacity.

        Returns:
            Whether it was added. The first write is added regardless of its size.
        """
        write = _write_for(claim)
        size = len(write.value or b'')
        full = len(self) >= MAX_BATCH_ROWS or self._size + size > MAX_BATCH_BYTES
        if write.key in self._writes or (self._writes and full):
            return False
        self._writes[write.key] = write
        self._claims[write.key] = claim
        self._size += size
        return True

    def split(self, failed: Iterable[str]) -> tuple[list[Claim], list[Claim]]:
        """Return the claims whose write failed and the others."""
        failed_keys = set(failed)
        failed_claims = [
            claim for key, claim in self._claims.items() if key in failed_keys
        ]
        others = [
            claim for key, claim in self._claims.items() if key not in failed_keys
        ]
        return failed_claims, others


class ClaimTracker:
    """The claims of one node and the transitions between their steps.

    A call may run only once, and only after the table has confirmed that the row
    holds the claim.
    """

    def __init__(
        self, write_timeout_ms: float = 30_000, recheck_ms: float = 1000
    ) -> None:
        """Start without claims.

        Args:
            write_timeout_ms: Time after which a write with unknown result can no longer
                take effect.
            recheck_ms: Interval between reads of the row of a released claim
                whose write may still take effect.
        """
        self._write_timeout_ms = write_timeout_ms
        self._recheck_ms = recheck_ms
        self._steps = ClaimSteps()

    def __len__(self) -> int:
        """Return the number of claims."""
        return len(self._steps)

    @property
    def unwritten(self) -> int:
        """Return the number of claims with a pending write or release."""
        held = self._steps.of(ClaimStep.held)
        running = self._steps.of(ClaimStep.running)
        return len(self) - len(held) - len(running)

    @property
    def response_bytes(self) -> int:
        """Return the size of the response bodies not yet recorded."""
        recording = self._steps.of(ClaimStep.recording)
        return sum(claim.response_bytes for claim in recording)

    def open(self, row: ClaimRow) -> Claim:
        """Add a claim whose row is to be written."""
        claim = Claim(row)
        self._steps.move(claim, ClaimStep.wanted)
        return claim

    def start_call(self, claim: Claim) -> None:
        """Allow the call of a held claim to run.

        Raises:
            ValueError: If the claim is not held, or its call was already allowed.
        """
        self._steps.require(claim, ClaimStep.held)
        self._steps.move(claim, ClaimStep.running)

    def record(self, claim: Claim, response: StoredResponse | None) -> None:
        """Record the response of a running call; None if there will be none.

        Raises:
            ValueError: If the claim is not running.
        """
        self._steps.require(claim, ClaimStep.running)
        state = ClaimState.recorded if response else ClaimState.abandoned
        claim.row = msgspec.structs.replace(claim.row, state=state, response=response)
        self._steps.move(claim, ClaimStep.recording)

    def release(self, claim: Claim) -> None:
        """Release a claim whose call did not run.

        Raises:
            ValueError: If a response was recorded.
        """
        if claim.step is ClaimStep.recording:
            raise ValueError(f'claim {claim.row.claim_id} has run')
        claim.release_requested = True
        if claim.step is ClaimStep.wanted:
            self._steps.on_row_not_written(claim)
        elif claim.step in {ClaimStep.held, ClaimStep.running}:
            self._steps.move(claim, ClaimStep.releasing)

    def next_batch(self) -> CommitBatch:
        """Return the writes of the next transaction; empty if there are none."""
        batch = CommitBatch()
        for step in (ClaimStep.recording, ClaimStep.deleting, ClaimStep.wanted):
            for claim in self._steps.of(step):
                if batch.add(claim) and step is ClaimStep.wanted:
                    self._steps.move(claim, ClaimStep.sent)
        return batch

    def on_applied(self, batch: CommitBatch, now_ms: float) -> None:
        """Record that all writes of a batch took effect."""
        for claim in batch.claims:
            if claim.step is ClaimStep.sent:
                self._steps.on_row_written(claim)
            elif claim.step is ClaimStep.deleting:
                self._on_row_absent(claim, now_ms)
            else:
                self._steps.move(claim, ClaimStep.done)

    def on_conflict(self, batch: CommitBatch, failed: Iterable[str]) -> None:
        """Record that a batch was rejected because some of its writes failed.

        A response row that already exists was written by an earlier attempt.
        """
        failed_claims, others = batch.split(failed)
        for claim in others:
            if claim.step is ClaimStep.sent:
                self._steps.on_row_not_written(claim)
        for failed_claim in failed_claims:
            self._steps.on_write_failed(failed_claim)

    def on_unknown(self, batch: CommitBatch) -> None:
        """Record that it is unknown whether a batch took effect."""
        for claim in batch.claims:
            if claim.step is ClaimStep.sent:
                claim.write_uncertain = True
            if claim.step is ClaimStep.recording:
                claim.response_unconfirmed = True
            else:
                self._steps.on_write_failed(claim)

    def to_read(self, now_ms: float) -> list[Claim]:
        """Return the claims whose row must be read now."""
        released = self._steps.of(ClaimStep.releasing)
        due = [claim for claim in released if claim.due_ms <= now_ms]
        # A response row that already exists would make every later transaction fail.
        recording = self._steps.of(ClaimStep.recording)
        due += [claim for claim in recording if claim.response_unconfirmed]
        return [*self._steps.of(ClaimStep.unresolved), *due]

    def next_read_ms(self) -> float | None:
        """Return the time in ms of the next read of a released row, or None."""
        released = self._steps.of(ClaimStep.releasing)
        return min((claim.due_ms for claim in released), default=None)

    def on_read(
        self, claim: Claim, row: ClaimRow | None, revision: int, now_ms: float
    ) -> None:
        """Move a claim to its next step by the claim id of the row that was read.

        Args:
            claim: A claim from ``to_read``.
            row: The row under ``claim.key_to_read``, or None if there is none.
            revision: Revision of the row; 0 if there is none.
            now_ms: Current time in ms.
        """
        own = row is not None and row.claim_id == claim.row.claim_id
        if own and row.state is ClaimState.settled:
            # An operator has informed the caller of the result; the call must not run.
            own = False
        if claim.step is ClaimStep.releasing:
            if own:
                claim.revision = revision
                self._steps.move(claim, ClaimStep.deleting)
            else:
                self._on_row_absent(claim, now_ms)
        elif claim.step is ClaimStep.unresolved:
            self._steps.resolve(claim, row, own)
        elif claim.step is ClaimStep.recording:
            claim.response_unconfirmed = False
            self._steps.move(claim, ClaimStep.done if own else claim.step)

    def _on_row_absent(self, claim: Claim, now_ms: float) -> None:
        if claim.write_expires_ms is None:
            claim.write_expires_ms = now_ms + self._write_timeout_ms
        if claim.write_uncertain and now_ms < claim.write_expires_ms:
            claim.due_ms = now_ms + self._recheck_ms
            self._steps.move(claim, ClaimStep.releasing)
        else:
            self._steps.move(claim, ClaimStep.done)


def _write_for(claim: Claim) -> RowWrite:
    if claim.step is ClaimStep.deleting:
        return RowWrite(claim.row.row_key, None, claim.revision)
    if claim.step is ClaimStep.recording:
        return RowWrite(claim.row.response_key, claim.row.encode(), 0)
    return RowWrite(claim.row.row_key, claim.row.encode(), 0)
