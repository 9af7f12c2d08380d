"""How recently a replicated state is known to have been the newest."""

import math

__all__ = ('MAX_AGE_MS', 'UNKNOWN_AGE_MS', 'Confirmed')

UNKNOWN_AGE_MS = -1
"""Age on the wire of a state that was never confirmed."""

MAX_AGE_MS = 3_600_000
"""Longest age on the wire; an older confirmation is worth nothing."""


class Confirmed:
    """The last time at which a state was known to be the newest.

    The time never goes back: what was the newest then has only been replaced by what
    this node knows now.
    """

    def __init__(self) -> None:
        """Start without a confirmation."""
        self._as_of_ms = -math.inf

    @property
    def as_of_ms(self) -> float:
        """Return the time, or minus infinity if there is none."""
        return self._as_of_ms

    def confirm(self, as_of_ms: float) -> None:
        """Record that the state was the newest at a time.

        Args:
            as_of_ms: The time, by the clock of this node.
        """
        self._as_of_ms = max(self._as_of_ms, as_of_ms)

    def age_ms(self, now_ms: float) -> float:
        """Return the time since then, or infinity.

        Args:
            now_ms: Current time.
        """
        return max(now_ms - self._as_of_ms, 0)

    def wire_age_ms(self, now_ms: float) -> int:
        """Return the age rounded up, or ``UNKNOWN_AGE_MS``.

        Args:
            now_ms: Current time.
        """
        age_ms = self.age_ms(now_ms)
        return math.ceil(age_ms) if age_ms <= MAX_AGE_MS else UNKNOWN_AGE_MS
