"""The order in which members are probed."""

import random

from gentianmill.member import Member, MemberStatus

DEAD_PROBES_PER_INTERVAL = 0.5
"""Probes of each dead member per probe interval, over all nodes together."""

MAX_DEAD_PROBE_SHARE = 0.5
"""Largest share of the probe intervals in which one node probes a dead member."""


class ProbeOrder:
    """Go through all live members in a random order, then shuffle again.

    Dead members are probed occasionally, since only a probe detects that a partition
    between regions has ended.
    """

    def __init__(self, rng: random.Random) -> None:
        """Create an empty order.

        Args:
            rng: Source of randomness.
        """
        self._rng = rng
        self._live: dict[str, None] = {}
        self._dead: dict[str, None] = {}
        self._round: list[str] = []
        self._urgent: dict[str, None] = {}

    def update(self, member: Member) -> None:
        """Apply a new or changed member."""
        node_id = member.node_id
        self._live.pop(node_id, None)
        self._dead.pop(node_id, None)
        if member.status is MemberStatus.dead:
            self._dead[node_id] = None
        elif not member.has_departed:
            self._live[node_id] = None

    def prioritize(self, node_id: str) -> None:
        """Probe a member in the next interval, in addition to the regular one."""
        self._urgent[node_id] = None

    def next_targets(self) -> list[str]:
        """Return the node ids to probe in one interval: at most three."""
        targets: dict[str, None] = {}
        if self._urgent:
            targets[self._urgent.popitem()[0]] = None
        regular = self._next_live()
        if regular is not None:
            targets[regular] = None
        if self._rng.random() < self._dead_probe_rate():
            targets[self._rng.choice(tuple(self._dead))] = None
        return list(targets)

    def live_ids(self) -> list[str]:
        """Return the members that are neither dead nor left."""
        return list(self._live)

    def _next_live(self) -> str | None:
        if not self._live:
            return None
        while self._round:
            node_id = self._round.pop()
            if node_id in self._live:
                return node_id
        self._round = list(self._live)
        self._rng.shuffle(self._round)
        return self._round.pop()

    def _dead_probe_rate(self) -> float:
        nodes = len(self._live) + 1
        rate = DEAD_PROBES_PER_INTERVAL * len(self._dead) / nodes
        return min(MAX_DEAD_PROBE_SHARE, rate)
