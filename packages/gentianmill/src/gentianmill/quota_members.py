"""Which nodes may own the quota of a team, and which ones support an owner.

Teams are hashed to a fixed number of domains, so that the nodes that support the owner of a
domain agree on what they support although they may know different nodes.
"""

import dataclasses
import functools
from collections.abc import Mapping

from gentianmill.rendezvous import hash_text, score

__all__ = ('DOMAINS', 'MAX_VOTERS', 'QuotaMembers', 'domain_of')

DOMAINS = 32
"""Domains of teams; at most this many nodes of a region renew their support, which bounds
the messages at 610 nodes."""

MAX_VOTERS = 11
"""Nodes of a region that support owners. A voter that some nodes do not know yet adds an
eleventh of the region's rate until they do."""

RECENT_MS = 6000.0
"""Time for which a node counts after it was last known or asked for support: the time in which
nodes learn of each other, and a window."""

SETTLE_MS = 4000.0
"""Time after the registry was read and has this node in which it does not rely on its count
of the nodes. Nodes learn of each other within 3 s, and support given before ends within 1 s."""

MAX_TEAMS = 1024
"""Teams whose domain is remembered, twice those at the design size; it is asked for with each
request."""

MAX_CANDIDATES = 3
"""Nodes of a region that may own a domain, the first and two successors."""


@functools.lru_cache(maxsize=MAX_TEAMS)
def domain_of(team: str) -> int:
    """Return the domain of a team."""
    return hash_text(team) % DOMAINS


@dataclasses.dataclass(frozen=True, slots=True)
class _Recent:
    region: str
    at_ms: float


class QuotaMembers:
    """The nodes that serve, as one node knows them."""

    def __init__(self, own: str, region: str, regions: int | None = None) -> None:
        """Create a view with this node only.

        Args:
            own: Name of this node.
            region: Its region.
            regions: Number of regions of the deployment, or None to count those of the
                known nodes.
        """
        self._own = own
        self._region = region
        self._regions = regions
        self._region_of: dict[str, str] = {own: region}
        self._ranked: dict[tuple[int, str], tuple[str, ...]] = {}
        self._voters: tuple[str, ...] | None = None
        self._recent: dict[str, _Recent] = {}
        self._confirmed_ms: float | None = None

    @property
    def own(self) -> str:
        """Return the name of this node."""
        return self._own

    @property
    def region(self) -> str:
        """Return the region of this node."""
        return self._region

    @property
    def region_count(self) -> int:
        """Return the number of regions, by which the rate of a team is divided."""
        if self._regions:
            return self._regions
        return len({self._region, *self._region_of.values()})

    @property
    def other_regions(self) -> tuple[str, ...]:
        """Return the other regions of the known nodes in a fixed order."""
        return tuple(sorted(set(self._region_of.values()) - {self._region}))

    @property
    def voters(self) -> tuple[str, ...]:
        """Return the nodes of the own region that support owners."""
        if self._voters is None:
            ranked = _ranked('voters', self._names_in(self._region))
            self._voters = tuple(ranked[:MAX_VOTERS])
        return self._voters

    def note(self, name: str, now_ms: float) -> None:
        """Count a node of the region that other nodes may know, although this one does not."""
        self._recent[name] = _Recent(self._region, now_ms)

    def count(self, now_ms: float) -> int:
        """Return the number of nodes in all regions, with those known a while ago."""
        self._forget_old(now_ms)
        return len({*self._region_of, *self._recent, self._own})

    def voter_count(self, now_ms: float) -> int:
        """Return by how many voters the region's rate is divided.

        Nodes that this one has ceased to know, or knows only by their requests, count for a
        while, as others may rely on their support.
        """
        self._forget_old(now_ms)
        recent = {
            name for name, seen in self._recent.items() if seen.region == self._region
        }
        return min(len(recent.union(self.voters)), MAX_VOTERS)

    def is_settled(self, now_ms: float) -> bool:
        """Return whether this process and the others have had time to learn of each other."""
        confirmed_ms = self._confirmed_ms
        return confirmed_ms is not None and now_ms - confirmed_ms >= SETTLE_MS

    def update(
        self,
        region_of: Mapping[str, str],
        now_ms: float,
        *,
        is_confirmed: bool = True,
    ) -> None:
        """Set the nodes that serve.

        Args:
            region_of: Their regions by name, with this node if it serves.
            now_ms: Current time.
            is_confirmed: Whether this process has read the registry of the nodes.
        """
        if self._own not in region_of:
            # Others may cease to count this node, and learn of its return.
            self._confirmed_ms = None
        elif is_confirmed and self._confirmed_ms is None:
            self._confirmed_ms = now_ms
        if region_of != self._region_of:
            for name, region in self._region_of.items():
                self._recent[name] = _Recent(region, now_ms)
            self._region_of = dict(region_of)
            self._ranked.clear()
            self._voters = None

    def is_local(self, name: str) -> bool:
        """Return whether a node is in the own region."""
        return self._region_of.get(name) == self._region

    def candidates(self, domain: int, region: str) -> tuple[str, ...]:
        """Return the nodes of a region that may own a domain, the first one first."""
        found = self._ranked.get((domain, region))
        if found is None:
            ranked = _ranked(f'quota {domain}', self._names_in(region))
            found = tuple(ranked[:MAX_CANDIDATES])
            self._ranked[domain, region] = found
        return found

    def rank(self, domain: int, name: str) -> int:
        """Return the position of a node among the candidates of the own region."""
        candidates = self.candidates(domain, self._region)
        return candidates.index(name) if name in candidates else MAX_CANDIDATES

    def _forget_old(self, now_ms: float) -> None:
        for name, seen in tuple(self._recent.items()):
            if now_ms - seen.at_ms >= RECENT_MS:
                self._recent.pop(name)

    def _names_in(self, region: str) -> list[str]:
        return [name for name, other in self._region_of.items() if other == region]


def _ranked(key: str, names: list[str]) -> list[str]:
    return sorted(names, key=lambda name: (score(key, name), name), reverse=True)
