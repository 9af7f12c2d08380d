"""Why a request reaches an upstream, and how often that happens."""

import enum
from collections import Counter


class Cause(enum.StrEnum):
    """Why a request is sent to an upstream."""

    first = 'first'
    """No upstream has seen it, nor is it made for a repeat."""

    retry = 'retry'
    """An upstream that may have run it, or rejected it, gave no answer."""

    hedge = 'hedge'
    """A second copy, as the first takes unusually long."""

    inherited = 'inherited'
    """A call that an upstream makes for a request that was itself a repeat."""

    resend = 'resend'
    """Sent again to the same upstream, as a kept connection broke."""

    @property
    def is_repeat(self) -> bool:
        """Return whether the arrival counts against the retry budget."""
        return self is not Cause.first


class Arrivals:
    """Count the arrivals at an upstream by their cause."""

    def __init__(self) -> None:
        """Start without arrivals."""
        self._total: Counter[Cause] = Counter()
        self._reported: Counter[Cause] = Counter()
        self._fresh_repeats = False

    @property
    def fresh_repeats(self) -> bool:
        """Return whether repeats came since the last call of ``take_new``."""
        return self._fresh_repeats

    @property
    def total(self) -> Counter[Cause]:
        """Return the arrivals so far by cause."""
        return self._total

    def add(self, cause: Cause) -> None:
        """Count one arrival."""
        self._total[cause] += 1
        self._fresh_repeats |= cause.is_repeat

    def take_new(self) -> dict[str, int]:
        """Return the arrivals by cause since the last call."""
        fresh = self._total - self._reported
        self._reported = self._total.copy()
        self._fresh_repeats = False
        return {cause.value: count for cause, count in fresh.items()}
