"""The steps of a claim, and transitions that do not depend on the time."""

import dataclasses
import enum

from gentianmill.claim_rows import ClaimRow


class ClaimStep(enum.StrEnum):
    """How far a claim of this node has come."""

    wanted = 'wanted'
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
    doubtful: bool = False
    """The result of a write is unknown, so it may still take effect."""

    unconfirmed: bool = False
    """The response was written with unknown result; its row must be read."""

    unwanted: bool = False
    """Nobody waits for the claim; release it as soon as it is held."""

    revision: int = 0
    rival: ClaimRow | None = None
    """The claim that holds the key instead, if ``step`` is ``lost``."""

    due_ms: float = 0
    settled_ms: float | None = None

    @property
    def key_to_read(self) -> str:
        """Return the key of the row that decides about the last write."""
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
        """Decide a claim whose row was read."""
        if own:
            self.hold(claim)
        elif row is None:
            self.want(claim)
        else:
            claim.rival = row
            # A write still under way takes effect once the rival is released.
            late = claim.doubtful
            self.move(claim, ClaimStep.releasing if late else ClaimStep.lost)

    def hold(self, claim: Claim) -> None:
        """Note that the row holds the claim."""
        unwanted = claim.unwanted
        self.move(claim, ClaimStep.releasing if unwanted else ClaimStep.held)

    def want(self, claim: Claim) -> None:
        """Note that the write of a claim did not take effect."""
        if claim.unwanted:
            late = claim.doubtful
            self.move(claim, ClaimStep.releasing if late else ClaimStep.done)
        else:
            self.move(claim, ClaimStep.wanted)

    def refuse(self, claim: Claim) -> None:
        """Note that a write failed or that its result is unknown."""
        if claim.step is ClaimStep.sent:
            self.move(claim, ClaimStep.unresolved)
        elif claim.step is ClaimStep.deleting:
            self.move(claim, ClaimStep.releasing)
        elif claim.step is ClaimStep.recording:
            self.move(claim, ClaimStep.done)

    def move(self, claim: Claim, step: ClaimStep) -> None:
        """Put a claim into a step; lost and done claims are dropped."""
        self._steps[claim.step].pop(claim.row.claim_id, None)
        claim.step = step
        if step not in {ClaimStep.lost, ClaimStep.done}:
            self._steps[step][claim.row.claim_id] = claim

    def demand(self, claim: Claim, step: ClaimStep) -> None:
        """Raise ``ValueError`` unless a claim is in a step."""
        if claim.step is not step:
            raise ValueError(
                f'claim {claim.row.claim_id} is {claim.step}, expected {step}'
            )
