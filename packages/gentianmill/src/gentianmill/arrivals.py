"""Why requests are sent to an upstream, and how many per cause."""

import enum
from collections import Counter


class Cause(enum.StrEnum):
    """Why a request is sent to an upstream."""

    first = 'first'
    """No upstream has seen it, and it is not made for a duplicate attempt."""

    retry = 'retry'
    """An upstream may already have run it, or has rejected it."""

    hedge = 'hedge'
    """A second attempt, since the first takes unusually long."""

    inherited = 'inherited'
    """A call that an upstream makes for a request that is a duplicate attempt."""

    resend = 'resend'
    """Sent again to the same upstream, since a kept-alive connection broke."""

    @property
    def is_duplicate(self) -> bool:
        """Return whether the arrival counts against the retry budget."""
        return self is not Cause.first


class Arrivals:
    """Count the arrivals at an upstream by their cause."""

    def __init__(self) -> None:
        """Start without arrivals."""
        self._total: Counter[Cause] = Counter()
        self._reported: Counter[Cause] = Counter()
        self._has_new_duplicates = False

    @property
    def has_new_duplicates(self) -> bool:
        """Return whether duplicate attempts arrived since the last ``drain_new``."""
        return self._has_new_duplicates

    @property
    def total(self) -> Counter[Cause]:
        """Return the arrivals so far by cause."""
        return self._total

    def add(self, cause: Cause) -> None:
        """Count one arrival."""
        self._total[cause] += 1
        self._has_new_duplicates |= cause.is_duplicate

    def drain_new(self) -> dict[str, int]:
        """Return the arrivals by cause since the last call."""
        new = self._total - self._reported
        self._reported = self._total.copy()
        self._has_new_duplicates = False
        return {cause.value: count for cause, count in new.items()}
