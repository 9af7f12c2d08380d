"""Limits on the further attempts of one call."""

from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill.outcome import Outcome

from gentianmill_node.call import Call
from gentianmill_node.retry_gate import RetryGate

MAX_REDIRECTS = 2
"""A refused call that certainly did not run is redirected without a retry grant.

It has made no sub-calls, so redirects do not multiply along a call chain.
"""

REDIRECTABLE_CODES = frozenset(
    (
        ErrorCode.draining,
        ErrorCode.connection_lost,
        ErrorCode.upstream_unreachable,
        ErrorCode.suspect_elsewhere,
    )
)


class AttemptLimiter:
    """Allow a few redirects of one call; any other attempt needs a retry grant."""

    def __init__(self, retries: RetryGate, call: Call) -> None:
        """Create a limiter for one call.

        Args:
            retries: Grants retries.
            call: The call that may be sent again.
        """
        self._retries = retries
        self._call = call
        self._redirects = 0

    async def allow(self, error: GentianmillError | None) -> bool:
        """Return whether the call may be sent again.

        Args:
            error: Why the last attempt failed; None if it got a response.
        """
        if self._redirects < MAX_REDIRECTS and _is_redirectable(error):
            self._redirects += 1
            return True
        return await self._retries.grant(self._call)


def _is_redirectable(error: GentianmillError | None) -> bool:
    if error is None or error.outcome is not Outcome.not_run:
        return False
    return error.code in REDIRECTABLE_CODES
