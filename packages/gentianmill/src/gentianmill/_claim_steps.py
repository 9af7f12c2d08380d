"""The steps of a claim and the transitions that do not depend on time."""

import dataclasses
import enum

from gentianmill.claim_rows import ClaimRow


class ClaimStep(enum.StrEnum):
    """The step that a claim of this node has reached."""

    wanted = 'wanted'
    """The row is to be written."""

    sent = 'sent'
    unresolved = 'unresolved'
    """The write failed or its response was lost; the row must be read."""

    held = 'held'
    running = 'running'
    lost = 'lost'
    """Another claim holds the key."""

    recording = 'recording'
    releasing = 'releasing'
    """The row must be read before it is deleted, to learn its revision."""

    deleting = 'deleting'
    done = 'done'


@dataclasses.dataclass(eq=False, slots=True)
class Claim:
    """A claim of this node, compared by identity."""

    row: ClaimRow
    step: ClaimStep = ClaimStep.wanted
    write_uncertain: bool = False
    """The result of a write is unknown, so it may still take effect."""

    response_unconfirmed: bool = False
    """The result of writing the response is unknown; its row must be read."""

    release_requested: bool = False
    """The caller no longer needs the claim; it is released as soon as it is held."""

    revision: int = 0
    rival: ClaimRow | None = None
    """The claim that holds the key instead, if ``step`` is ``lost``."""

    due_ms: float = 0
    """Time of the next read, if ``step`` is ``releasing``."""

    write_expires_ms: float | None = None
    """Time after which a write with unknown result can no longer take effect."""

    @property
    def key_to_read(self) -> str:
        """Return the key of the row that shows the result of the last write."""
        recording = self.step is ClaimStep.recording
        return self.row.response_key if recording else self.row.row_key

    @property
    def response_bytes(self) -> int:
        """Return the size of the response body; 0 if there is none."""
        response = self.row.response
        return len(response.body) if response else 0


class ClaimSteps:
    """The claims of one node by step."""

    def __init__(self) -> None:
        """Start without claims."""
        self._steps: dict[ClaimStep, dict[str, Claim]] = {
            step: {} for step in ClaimStep
        }

    def __len__(self) -> int:
        """Return the number of claims."""
        return sum(map(len, self._steps.values()))

    def of(self, step: ClaimStep) -> tuple[Claim, ...]:
        """Return the claims in a step, oldest first."""
        return tuple(self._steps[step].values())

    def resolve(self, claim: Claim, row: ClaimRow | None, own: bool) -> None:
        """Move an unresolved claim by the row that was read."""
        if own:
            self.on_row_written(claim)
        elif row is None:
            self.on_row_not_written(claim)
        else:
            claim.rival = row
            # A write still in flight may take effect once the rival is released.
            may_apply_later = claim.write_uncertain
            self.move(claim, ClaimStep.releasing if may_apply_later else ClaimStep.lost)

    def on_row_written(self, claim: Claim) -> None:
        """Record that the row holds the claim."""
        release = claim.release_requested
        self.move(claim, ClaimStep.releasing if release else ClaimStep.held)

    def on_row_not_written(self, claim: Claim) -> None:
        """Record that the write of a claim did not take effect."""
        if claim.release_requested:
            may_apply_later = claim.write_uncertain
            self.move(claim, ClaimStep.releasing if may_apply_later else ClaimStep.done)
        else:
            self.move(claim, ClaimStep.wanted)

    def on_write_failed(self, claim: Claim) -> None:
        """Record that a write failed or that its result is unknown."""
        if claim.step is ClaimStep.sent:
            self.move(claim, ClaimStep.unresolved)
        elif claim.step is ClaimStep.deleting:
            self.move(claim, ClaimStep.releasing)
        elif claim.step is ClaimStep.recording:
            self.move(claim, ClaimStep.done)

    def move(self, claim: Claim, step: ClaimStep) -> None:
        """Move a claim to a step; lost and done claims are dropped."""
        self._steps[claim.step].pop(claim.row.claim_id, None)
        claim.step = step
        if step not in {ClaimStep.lost, ClaimStep.done}:
            self._steps[step][claim.row.claim_id] = claim

    def require(self, claim: Claim, step: ClaimStep) -> None:
        """Raise ``ValueError`` unless a claim is in the given step."""
        if claim.step is not step:
            raise ValueError(
                f'claim {claim.row.claim_id} is {claim.step}, expected {step}'
            )
