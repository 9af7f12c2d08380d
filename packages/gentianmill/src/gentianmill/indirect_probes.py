"""Choose the relays of indirect probes and count the outstanding probes."""

import random
from collections.abc import Iterable

from gentianmill.member import Member

RELAYS = 3
"""Members asked to probe a target that did not respond."""


class IndirectProbes:
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

        Members of different regions come first: if two regions are partitioned from
        each other, a third one still reaches the target.

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
        """Drop an attempt."""
        self._remaining.pop(attempt, None)

    def clear(self) -> None:
        """Drop all attempts."""
        self._remaining.clear()
