"""Outcomes of a call."""

import enum


class Outcome(enum.StrEnum):
    """What is known about a call when it has ended."""

    answered = 'answered'
    """The upstream returned a complete response."""

    not_run = 'not_run'
    """It is certain that the upstream did not start the work."""

    unknown = 'unknown'
    """The call was dispatched and no complete response arrived."""

    expired = 'expired'
    """The deadline passed before dispatch; the work did not run."""

    @property
    def surely_not_run(self) -> bool:
        """Return whether the work certainly did not run."""
        return self in {Outcome.not_run, Outcome.expired}
