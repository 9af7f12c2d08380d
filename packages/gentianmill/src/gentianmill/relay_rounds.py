"""Indirect probes: which members relay them and how many are outstanding."""

import random
from collections.abc import Iterable

from gentianmill.member import Member

RELAYS = 3
"""Members asked to probe a target that did not answer."""


class RelayRounds:
    """The indirect probes of each attempt that have not failed yet."""

    def __init__(self, rng: random.Random) -> None:
        """Start without attempts.

        Args:
            rng: Source of randomness.
        """
        self._rng = rng
        self._remaining: dict[int, int] = {}

    def start(self, attempt: int, candidates: Iterable[Member]) -> list[Member]:
        """Choose the relays of an attempt.

        Members of different regions come first: if only the link between two
        regions is cut, a third one still reaches the target.

        Args:
            attempt: Number of the attempt.
            candidates: Live members other than the target.

        Returns:
            At most ``RELAYS`` members.
        """
        shuffled = list(candidates)
        self._rng.shuffle(shuffled)
        first: dict[str, Member] = {}
        rest: list[Member] = []
        for member in shuffled:
            if first.setdefault(member.region, member) is not member:
                rest.append(member)
        relays = [*first.values(), *rest][:RELAYS]
        if relays:
            self._remaining[attempt] = len(relays)
        return relays

    def fail_one(self, attempt: int) -> bool:
        """Count a failed indirect probe; return whether it was the last one."""
        remaining = self._remaining.get(attempt)
        if remaining is None:
            return False
        if remaining > 1:
            self._remaining[attempt] = remaining - 1
            return False
        self.end(attempt)
        return True

    def end(self, attempt: int) -> None:
        """Forget an attempt."""
        self._remaining.pop(attempt, None)

    def clear(self) -> None:
        """Forget all attempts."""
        self._remaining.clear()
