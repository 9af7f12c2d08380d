"""Limit on the memory for incomplete responses of an upstream."""

import abc

from gentianmill.byte_budget import ByteBudget, HeldKind

MAX_BUFFERED_BYTES = 64 * 1024 * 1024
"""Bytes of incomplete responses, and the longest response; as much as the largest body
that callers may send."""


class ResponseCollector(abc.ABC):
    """Collects the bytes of one response."""

    @abc.abstractmethod
    def abandon(self) -> None:
        """Discard the response because it takes too much memory."""


class ResponseMemory:
    """Count the bytes of incomplete responses; abort the longest above the limit.

    A faulty upstream may send an unbounded response. It must neither exhaust the
    memory of the node nor abort the responses that arrive at the same time.
    """

    def __init__(
        self,
        max_bytes: int = MAX_BUFFERED_BYTES,
        budget: ByteBudget | None = None,
        whole_bytes: int | None = None,
    ) -> None:
        """Create a limit that counts no bytes yet.

        Args:
            max_bytes: Largest total size of all incomplete responses.
            budget: Counts all that the node holds.
            whole_bytes: Total size above which responses are passed on while they
                arrive; None if they are always collected until they are whole.
        """
        self._max_bytes = max_bytes
        self._budget = budget or ByteBudget(max_bytes)
        self._whole_bytes = max_bytes if whole_bytes is None else whole_bytes
        self._buffered: dict[ResponseCollector, int] = {}
        self._total_bytes = 0

    @property
    def budget(self) -> ByteBudget:
        """Return what counts all that the node holds."""
        return self._budget

    @property
    def buffered_bytes(self) -> int:
        """Return the bytes of all incomplete responses."""
        return self._total_bytes

    @property
    def is_scarce(self) -> bool:
        """Return whether large responses should be passed on while they arrive."""
        if self._whole_bytes >= self._max_bytes:
            return False
        held = self._budget.held_of(HeldKind.response)
        return held > self._whole_bytes or self._budget.is_scarce

    def add(self, collector: ResponseCollector, count: int) -> None:
        """Count received bytes of a response.

        Args:
            collector: Collects the response; ``abandon`` may be called on it.
            count: Bytes received.
        """
        self._buffered[collector] = self._buffered.get(collector, 0) + count
        self._total_bytes += count
        self._budget.hold(HeldKind.response, count)
        if self._total_bytes > self._max_bytes:
            longest = max(self._buffered, key=self._buffered.__getitem__)
            self.release(longest)
            longest.abandon()

    def release(self, collector: ResponseCollector) -> None:
        """Stop counting a response that is complete or discarded."""
        count = self._buffered.pop(collector, 0)
        self._total_bytes -= count
        if count:
            self._budget.release(HeldKind.response, count)
