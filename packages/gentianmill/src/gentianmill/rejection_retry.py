"""When a call that an upstream rejected, and so did not run, is sent again.

The work of its call tree would be lost with it, so it is sent until an upstream takes
it, its time is over, or the guards' retry budgets are used up. The guards bound the
number of retries; the pauses here keep the load from jumping.
"""

import random

RETRY_PAUSE_MS = 10.0
"""Mean pause before the second retry and each later one. The first one goes out at once,
as usually another upstream takes the call."""

FIRST_ROUND_PAUSE_MS = 40.0
MAX_ROUND_PAUSE_MS = 320.0
"""Mean pause after several guards refused a call for its budget; it doubles each time. A
guard of 350 first attempts/s earns a retry each 17 ms."""

REFUSALS_PER_ROUND = 4
"""Guards that may refuse a call for its budget before it pauses; each costs a message."""

MAX_REFUSED_ROUNDS = 6
"""Rounds with only refusals after which the budget of the service counts as used up."""

MAX_NEW_REJECTIONS = 8
"""Rejections after which a new request goes back to its caller, for which no work was done
yet; at a share of 0.55 rejected, 1 in 200 has so many."""


class RejectionRetry:
    """The rejections of one call, and the upstreams that may get it again."""

    def __init__(self) -> None:
        """Start without rejections."""
        self._rejections = 0
        self._retry_nodes: set[str] = set()
        self._refusals = 0
        self._refused_rounds = 0

    @property
    def rejections(self) -> int:
        """Return how many upstreams have rejected the call so far."""
        return self._rejections

    @property
    def retry_nodes(self) -> set[str]:
        """Return the nodes of the current round that did not run the call."""
        return self._retry_nodes

    @property
    def was_refused(self) -> bool:
        """Return whether guards refused the call for their budgets in the last round."""
        return bool(self._refused_rounds)

    @property
    def is_round_over(self) -> bool:
        """Return whether so many guards refused the call that it must pause."""
        return self._refusals >= REFUSALS_PER_ROUND

    def on_rejection(self, node: str) -> None:
        """Record that an upstream rejected the call."""
        self._rejections += 1
        self._retry_nodes.add(node)
        self._refused_rounds = 0

    def on_budget_refusal(self, node: str) -> None:
        """Record that the retry budget of a guard refused the call."""
        self._refusals += 1
        self._retry_nodes.add(node)

    def may_retry(self, *, is_inner: bool) -> bool:
        """Return whether the call may be sent again after a rejection.

        Args:
            is_inner: Whether an upstream makes it for a running request.
        """
        return is_inner or self._rejections <= MAX_NEW_REJECTIONS

    def begin_round(self) -> bool:
        """Begin to offer the call to the same nodes again.

        Returns:
            Whether it may be offered; not if the budget of the service is used up.
        """
        self._refused_rounds += bool(self._refusals)
        self._refusals = 0
        self._retry_nodes = set()
        return self._refused_rounds <= MAX_REFUSED_ROUNDS

    def pause_ms(self, rng: random.Random) -> float:
        """Return the pause before the next retry.

        Args:
            rng: Random numbers that spread the retries of different calls.
        """
        if self._refused_rounds and not self._refusals:
            doubled_ms = FIRST_ROUND_PAUSE_MS * 2 ** (self._refused_rounds - 1)
            return rng.uniform(0.5, 1.5) * min(doubled_ms, MAX_ROUND_PAUSE_MS)
        if self._rejections <= 1 or self._refusals:
            return 0
        return rng.uniform(0.5, 1.5) * RETRY_PAUSE_MS
