"""Limit on the memory for incomplete responses of an upstream."""

import abc

MAX_BUFFERED_BYTES = 64 * 1024 * 1024
"""Bytes of incomplete responses; as much as the largest body that callers may send."""


class AnswerHolder(abc.ABC):
    """Collects the bytes of one response."""

    @abc.abstractmethod
    def give_up(self) -> None:
        """Discard the response because it takes too much memory."""


class AnswerRoom:
    """Count the bytes of incomplete responses; abort the longest above the limit.

    A faulty upstream may send an unbounded response. It must neither exhaust the
    memory of the node nor abort the responses that arrive at the same time.
    """

    def __init__(self, max_bytes: int = MAX_BUFFERED_BYTES) -> None:
        """Create a limit that counts no bytes yet.

        Args:
            max_bytes: Largest total size of all incomplete responses.
        """
        self._max_bytes = max_bytes
        self._buffered: dict[AnswerHolder, int] = {}
        self._total_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Return the bytes of all incomplete responses."""
        return self._total_bytes

    def hold(self, collector: AnswerHolder, count: int) -> None:
        """Count received bytes of a response.

        Args:
            collector: Collects the response; it may be told to discard it.
            count: Bytes received.
        """
        self._buffered[collector] = self._buffered.get(collector, 0) + count
        self._total_bytes += count
        if self._total_bytes > self._max_bytes:
            longest = max(self._buffered, key=self._buffered.__getitem__)
            self.free(longest)
            longest.give_up()

    def free(self, collector: AnswerHolder) -> None:
        """Stop counting a response that is complete or discarded."""
        self._total_bytes -= self._buffered.pop(collector, 0)
