"""Checks the retry budget directly before a request is sent to the upstream."""

from gentianmill.arrivals import Arrivals, Cause
from gentianmill.call_tree import RANKS_PER_PRIORITY
from gentianmill.clock import Clock
from gentianmill.retry_budget import RetryBudget, RetryBudgetSettings


class RetryBudgetGate:
    """Admit first attempts, and duplicate ones within the budget of the service."""

    def __init__(self, settings: RetryBudgetSettings, clock: Clock) -> None:
        """Create a gate that has counted no arrivals.

        Args:
            settings: Retry budget of the service.
            clock: Clock of the node.
        """
        self._budget = RetryBudget(settings)
        self._clock = clock
        self._arrivals = Arrivals()
        self._refused = 0

    @property
    def arrivals(self) -> Arrivals:
        """Return what reached the upstream, by cause."""
        return self._arrivals

    @property
    def refused(self) -> int:
        """Return how many duplicate attempts were refused so far."""
        return self._refused

    @property
    def credit(self) -> float:
        """Return how many duplicate attempts the budget admits now."""
        return self._budget.credit(self._clock.now_ms())

    @property
    def sustained_per_s(self) -> float:
        """Return how many duplicate attempts may be planned for a second now."""
        return self._budget.sustained_per_s(self._clock.now_ms())

    @property
    def counted_per_s(self) -> float:
        """Return the first attempts in a second that have earned the current credit."""
        return self._budget.counted_per_s(self._clock.now_ms())

    def share_slack(self, guards: int) -> None:
        """Set the number of guards of the service, which share the slack."""
        self._budget.share_slack(guards)

    def refuses(self, cause: Cause, rank: int) -> bool:
        """Return whether the budget does not admit a request now.

        Args:
            cause: Why the request would be sent to the upstream.
            rank: Position in the order of the queue.
        """
        now_ms = self._clock.now_ms()
        if self._budget.permits(
            cause, now_ms, ordinary=_is_ordinary(rank), inner=_is_inner(rank)
        ):
            return False
        self._refused += 1
        return True

    def admit(self, cause: Cause, rank: int) -> bool:
        """Count an arrival if the budget admits it, and return whether it does.

        Args:
            cause: Why the request is sent to the upstream.
            rank: Position in the order of the queue.
        """
        if self.refuses(cause, rank):
            return False
        now_ms = self._clock.now_ms()
        self._budget.admit(
            cause, now_ms, ordinary=_is_ordinary(rank), inner=_is_inner(rank)
        )
        self._arrivals.add(cause)
        return True


def _is_ordinary(rank: int) -> bool:
    """Return whether a request is below the highest priority."""
    return rank >= RANKS_PER_PRIORITY


def _is_inner(rank: int) -> bool:
    """Return whether an upstream makes a request for a running one."""
    return rank % RANKS_PER_PRIORITY == 0
