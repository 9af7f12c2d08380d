"""The last check of the retry budget before the upstream."""

from gentianmill.arrivals import Arrivals, Cause
from gentianmill.call_tree import RANKS_PER_PRIORITY
from gentianmill.clock import Clock
from gentianmill.repeat_budget import RepeatBudget, RetryBudgetSettings


class ArrivalGate:
    """Let first arrivals in, and repeats within the budget of their service."""

    def __init__(self, settings: RetryBudgetSettings, clock: Clock) -> None:
        """Create a gate without arrivals.

        Args:
            settings: The bound for the service.
            clock: Clock of the node.
        """
        self._budget = RepeatBudget(settings)
        self._clock = clock
        self._arrivals = Arrivals()
        self._refused = 0

    @property
    def arrivals(self) -> Arrivals:
        """Return what reached the upstream, by cause."""
        return self._arrivals

    @property
    def refused(self) -> int:
        """Return the repeats that were turned away so far."""
        return self._refused

    @property
    def credit(self) -> float:
        """Return the repeats that the budget permits now."""
        return self._budget.credit(self._clock.now_ms())

    def share_slack(self, guards: int) -> None:
        """Set the number of guards of the service."""
        self._budget.share_slack(guards)

    def refuses(self, cause: Cause, rank: int) -> bool:
        """Return whether the budget leaves no room now for a request.

        Args:
            cause: Why the request would be sent to the upstream.
            rank: Its order in the queue.
        """
        now_ms = self._clock.now_ms()
        if self._budget.permits(cause, now_ms, ordinary=_is_ordinary(rank)):
            return False
        self._refused += 1
        return True

    def admit(self, cause: Cause, rank: int) -> bool:
        """Count an arrival, or return that the budget does not permit it.

        Args:
            cause: Why the request is sent to the upstream.
            rank: Its order in the queue.
        """
        if self.refuses(cause, rank):
            return False
        now_ms = self._clock.now_ms()
        self._budget.admit(cause, now_ms, ordinary=_is_ordinary(rank))
        self._arrivals.add(cause)
        return True


def _is_ordinary(rank: int) -> bool:
    """Return whether work is not of the most important priority."""
    return rank >= RANKS_PER_PRIORITY
