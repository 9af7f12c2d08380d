"""Teams that share a deployment, and the keys by which their requests are recognised."""

import dataclasses
import hashlib
import math
import os
from collections.abc import Collection, Iterable, Sequence

__all__ = ('Team', 'TeamDirectory', 'TeamEntry')

DIGEST_BYTES = 16

MAX_PRIORITY = 1_000_000
"""Ranks are computed from priorities, and a frame carries 64-bit integers."""

_DIGEST_KEY = os.urandom(DIGEST_BYTES)
"""Drawn at the start of the process, so that the time of a lookup tells nothing of a key."""


@dataclasses.dataclass(frozen=True, slots=True)
class Team:
    """A team and its quota over all nodes."""

    name: str
    priority: int | None = None
    """Importance of its requests in place of that of their route; 0 is the highest."""

    rate_per_s: float = 0
    """Requests a second that it may send; 0 if they are not limited."""

    burst: float = 0
    """Further requests that it may send at once."""

    @property
    def is_limited(self) -> bool:
        """Return whether the team has a quota."""
        return self.rate_per_s > 0


@dataclasses.dataclass(frozen=True, slots=True)
class TeamEntry:
    """A team and its keys, as the operator writes them."""

    team: Team
    keys: Sequence[str] = dataclasses.field(repr=False)


class TeamDirectory:
    """Find teams by key or name; keys are kept as digests only."""

    def __init__(self, entries: Iterable[TeamEntry] = ()) -> None:
        """Index the teams.

        Args:
            entries: All teams.

        Raises:
            ValueError: If a name or a key occurs twice or is empty, if a name can't be the
                value of a header, or if a rate, burst or priority is out of range. The
                message names the team, never a key.
        """
        self._by_name: dict[str, Team] = {}
        self._by_digest: dict[bytes, Team] = {}
        for entry in entries:
            self._add(entry)

    @property
    def is_empty(self) -> bool:
        """Return whether there are no teams, so that no request needs a key."""
        return not self._by_name

    @property
    def teams(self) -> Collection[Team]:
        """Return all teams."""
        return self._by_name.values()

    def find(self, name: str) -> Team | None:
        """Return a team by its name, or None."""
        return self._by_name.get(name)

    def of_key(self, key: bytes) -> Team | None:
        """Return the team that holds a key, or None."""
        return self._by_digest.get(_digest(key))

    def _add(self, entry: TeamEntry) -> None:
        team = entry.team
        if not team.name or team.name in self._by_name:
            raise ValueError(f'the team {team.name!r} is unnamed or listed twice')
        if not team.name.isprintable() or team.name != team.name.strip():
            raise ValueError(
                f'the team {team.name!r} has a name that no header can hold'
            )
        if not _is_in_range(team):
            raise ValueError(f'the team {team.name!r} has a number out of range')
        self._by_name[team.name] = team
        for key in entry.keys:
            digest = _digest(key.encode())
            if not key or digest in self._by_digest:
                raise ValueError(
                    f'the team {team.name!r} has a key that is empty or in use'
                )
            self._by_digest[digest] = team


def _is_in_range(team: Team) -> bool:
    rates = (team.rate_per_s, team.burst)
    has_rates = all(rate >= 0 and math.isfinite(rate) for rate in rates)
    return has_rates and 0 <= (team.priority or 0) <= MAX_PRIORITY


def _digest(key: bytes) -> bytes:
    return hashlib.blake2b(key, key=_DIGEST_KEY, digest_size=DIGEST_BYTES).digest()
