"""Bound on the memory that unfinished answers of an upstream take."""

import abc

ROOM_BYTES = 64 * 1024 * 1024
"""Bytes of unfinished answers; as much as the largest body that callers may send."""


class AnswerHolder(abc.ABC):
    """Something that collects an answer."""

    @abc.abstractmethod
    def give_up(self) -> None:
        """Drop what was collected, as it takes too much room."""


class AnswerRoom:
    """Count the bytes of unfinished answers and end the longest if they are too many.

    An upstream in trouble may send without end. One such answer must neither take
    the memory of the node nor end the answers beside it.
    """

    def __init__(self, most_bytes: int = ROOM_BYTES) -> None:
        """Create an empty room.

        Args:
            most_bytes: Bytes of all unfinished answers together.
        """
        self._most_bytes = most_bytes
        self._held: dict[AnswerHolder, int] = {}
        self._total = 0

    @property
    def held_bytes(self) -> int:
        """Return the bytes held now."""
        return self._total

    def hold(self, holder: AnswerHolder, count: int) -> None:
        """Add received bytes to an answer.

        Args:
            holder: What collects it; it may be told to give up.
            count: Bytes received.
        """
        self._held[holder] = self._held.get(holder, 0) + count
        self._total += count
        if self._total > self._most_bytes:
            longest = max(self._held, key=self._held.__getitem__)
            self.free(longest)
            longest.give_up()

    def free(self, holder: AnswerHolder) -> None:
        """Take note that an answer is finished or dropped."""
        self._total -= self._held.pop(holder, 0)
