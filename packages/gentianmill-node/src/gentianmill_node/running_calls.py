"""Calls that are running on this node's upstream, by context token."""

import secrets

from gentianmill_node.call import Call

TOKEN_BYTES = 12


class RunningCalls:
    """Map context tokens to the calls that are running on the upstream.

    A token is random and valid only while its call runs, so an upstream cannot
    forge a context.
    """

    def __init__(self) -> None:
        """Create an empty map."""
        self._calls: dict[str, Call] = {}

    def __len__(self) -> int:
        """Return the number of running calls."""
        return len(self._calls)

    def add(self, call: Call) -> str:
        """Register a call and return its token."""
        token = secrets.token_urlsafe(TOKEN_BYTES)
        self._calls[token] = call
        return token

    def remove(self, token: str) -> None:
        """Remove a call that has ended."""
        self._calls.pop(token, None)

    def find(self, token: str) -> Call | None:
        """Return the running call with a token, or None."""
        return self._calls.get(token)
