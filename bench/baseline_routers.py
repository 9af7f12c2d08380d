"""Simple routers for comparison; each chooses among the members of its own region."""

import random
from types import MappingProxyType

from gentianmill.member import Member
from gentianmill.messages import LoadReport


class RandomRouter:
    """Choose a random member of the own region."""

    def __init__(self, own: Member, rng: random.Random) -> None:
        self._own = own
        self._rng = rng
        self._members: dict[str, list[Member]] = {}

    def member_changed(self, member: Member, now_ms: float) -> None:
        """Add a member of the own region."""
        if member.region == self._own.region:
            self._members.setdefault(member.service, []).append(member)

    def choose(self, service: str, now_ms: float, excluded, affinity) -> Member | None:
        """Choose a member; affinity is ignored."""
        members = [
            member
            for member in self._members[service]
            if member.node_id not in excluded
        ]
        return self._choose_member(service, members) if members else None

    def on_start(self, node_id: str, now_ms: float) -> None:
        """Ignore the start of a call."""

    def on_done(self, node_id: str, now_ms: float, latency_ms: float, ok: bool) -> None:
        """Ignore the end of a call."""

    def on_cancelled(self, node_id: str, now_ms: float, elapsed_ms: float) -> None:
        """Ignore the end of a call."""

    def on_load(self, node_id: str, load: LoadReport, now_ms: float) -> None:
        """Ignore the load report."""

    def _choose_member(self, service: str, members: list[Member]) -> Member:
        return self._rng.choice(members)


class RoundRobinRouter(RandomRouter):
    """Choose the members of the own region round-robin."""

    def __init__(self, own: Member, rng: random.Random) -> None:
        super().__init__(own, rng)
        self._positions: dict[str, int] = {}

    def _choose_member(self, service: str, members: list[Member]) -> Member:
        position = self._positions.get(service, self._rng.randrange(len(members)))
        self._positions[service] = position + 1
        return members[position % len(members)]


class LeastInFlightRouter(RandomRouter):
    """Choose the member with the fewest calls in flight from this entry."""

    def __init__(self, own: Member, rng: random.Random) -> None:
        super().__init__(own, rng)
        self._in_flight: dict[str, int] = {}

    def on_start(self, node_id: str, now_ms: float) -> None:
        """Count the call."""
        self._in_flight[node_id] = self._in_flight.get(node_id, 0) + 1

    def on_done(self, node_id: str, now_ms: float, latency_ms: float, ok: bool) -> None:
        """Count the call as ended."""
        self._in_flight[node_id] -= 1

    def _choose_member(self, service: str, members: list[Member]) -> Member:
        return min(
            members,
            key=lambda member: (
                self._in_flight.get(member.node_id, 0),
                self._rng.random(),
            ),
        )


BASELINES = MappingProxyType(
    {
        'random': RandomRouter,
        'round_robin': RoundRobinRouter,
        'least_in_flight': LeastInFlightRouter,
    }
)
