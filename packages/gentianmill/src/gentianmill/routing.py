"""Choose the member that a call is sent to."""

import math
import random

from gentianmill.member import Member
from gentianmill.messages import LoadReport
from gentianmill.route_state import RouteState
from gentianmill.route_table import RouteTable
from gentianmill.sheet_models import LimitsModel

__all__ = ['RouteTable', 'Router']

NO_NODES: frozenset[str] = frozenset()
UNKNOWN_LATENCY_MS = 1.0
AFFINITY_MAX_LOAD = 1.0
LATENCY_POWER = 3
AFFINITY_MAX_RATIO = 1.25
"""Latency, relative to the median, up to which calls follow their affinity."""


class Router:
    """Choose members for the calls of one entry.

    The choice follows Mitzenmacher, "The Power of Two Choices in Randomized Load
    Balancing", 2001. The score follows Wydrowski et al., "Load is not what you
    should balance: Introducing Prequal", 2024, but uses local data only.
    """

    def __init__(
        self,
        own_region: str,
        own_zone: str,
        limits: LimitsModel,
        rng: random.Random,
        own_node_id: str = '',
    ) -> None:
        """Create a router without members.

        Args:
            own_region: Region of the entry.
            own_zone: Availability zone of the entry.
            limits: Limits of the sheet.
            rng: Source of randomness.
            own_node_id: Node id of the entry; a call to its own upstream needs no hop.
        """
        self._own_region = own_region
        self._own_zone = own_zone
        self._limits = limits
        self._rng = rng
        self._own_node_id = own_node_id
        self._tables: dict[str, RouteTable] = {}
        self._states: dict[str, RouteState] = {}

    def members(self, service: str) -> list[Member]:
        """Return the members of a service that have not left."""
        table = self._tables.get(service)
        return [state.member for state in table.states.values()] if table else []

    def member_changed(self, member: Member, now_ms: float) -> None:
        """Apply a change of a member."""
        state = self._states.get(member.node_id)
        if member.has_departed:
            self._remove(member.node_id)
        elif state is None or state.member.service != member.service:
            self._remove(member.node_id)
            self._add(member, now_ms)
        else:
            state.update(member)
            self._tables[member.service].enforce_ejection_cap()

    def choose(
        self,
        service: str,
        now_ms: float,
        excluded: frozenset[str] = NO_NODES,
        affinity: str | None = None,
    ) -> Member | None:
        """Choose the member for one call.

        Args:
            service: Name of the service.
            now_ms: Current time.
            excluded: Node ids that must not be chosen, such as those already tried.
            affinity: Key whose calls prefer the same member.

        Returns:
            The member, or None if no member accepts the call.
        """
        table = self._tables.get(service)
        if table is None:
            return None
        table.review(now_ms)
        preferred = self._preferred(table, affinity, now_ms)
        if preferred is not None and preferred.member.node_id not in excluded:
            return preferred.member
        candidates = table.candidates(now_ms, excluded)
        if not candidates:
            return None
        return self._best(candidates, now_ms).member

    def on_start(self, node_id: str, now_ms: float) -> None:
        """Record a call sent to a member."""
        state = self._states.get(node_id)
        if state is not None:
            state.record_start(now_ms)
            self._tables[state.member.service].count_started()

    def on_done(self, node_id: str, now_ms: float, latency_ms: float, ok: bool) -> None:
        """Record a call that ended.

        Args:
            node_id: Member that the call was sent to.
            now_ms: Current time.
            latency_ms: Time from the start of the call to its end.
            ok: Whether the call succeeded; False counts as a failure of the member.
        """
        state = self._states.get(node_id)
        if state is not None:
            state.record_done(now_ms, latency_ms, ok)
            self._tables[state.member.service].count_ended()

    def on_cancelled(self, node_id: str, now_ms: float, elapsed_ms: float) -> None:
        """Record a call that was cancelled, such as the slower attempt of a hedge.

        Args:
            node_id: Member that the call was sent to.
            now_ms: Current time.
            elapsed_ms: Time from the start of the call, a lower bound of its latency.
        """
        state = self._states.get(node_id)
        if state is not None:
            state.record_cancelled(now_ms, elapsed_ms)
            self._tables[state.member.service].count_ended()

    def on_load(self, node_id: str, load: LoadReport, now_ms: float) -> None:
        """Apply the load report of a member."""
        state = self._states.get(node_id)
        if state is not None:
            state.load.apply_report(load, now_ms)

    def on_unreachable(self, node_id: str, now_ms: float) -> None:
        """Send no calls to a member for a time that doubles with each failure."""
        state = self._states.get(node_id)
        if state is not None:
            state.pause(now_ms)

    def _add(self, member: Member, now_ms: float) -> None:
        table = self._tables.setdefault(
            member.service, RouteTable(self._limits.ejected_share)
        )
        state = RouteState(member, self._tier(member), now_ms)
        self._states[member.node_id] = state
        table.add(state)

    def _remove(self, node_id: str) -> None:
        state = self._states.pop(node_id, None)
        if state is None:
            return
        table = self._tables[state.member.service]
        table.remove(node_id)
        if not table.states:
            self._tables.pop(state.member.service)

    def _tier(self, member: Member) -> int:
        if member.region != self._own_region:
            return 2
        return 0 if member.zone == self._own_zone else 1

    def _preferred(
        self, table: RouteTable, affinity: str | None, now_ms: float
    ) -> RouteState | None:
        if not affinity:
            return None
        chosen = table.preferred(affinity)
        state = table.states.get(chosen or '')
        if state is None or state.probing or not state.admissible(now_ms):
            return None
        in_flight = state.load.in_flight(now_ms)
        slow = state.expected_ms(now_ms) > AFFINITY_MAX_RATIO * table.median_ms(state)
        overloaded = in_flight >= AFFINITY_MAX_LOAD * state.load.limit
        return None if slow or overloaded else state

    def _best(self, candidates: list[RouteState], now_ms: float) -> RouteState:
        pair = candidates
        if len(candidates) >= 2:
            pair = _sample_two(candidates, self._rng)
        best = min(pair, key=lambda state: self._score(state, now_ms))
        own = self._states.get(self._own_node_id)
        if own is None or own is best or own not in candidates:
            return best
        return min(own, best, key=lambda state: self._score(state, now_ms))

    def _score(self, state: RouteState, now_ms: float) -> float:
        latency_ms = state.expected_ms(now_ms) or self._fallback_ms(state)
        weight = state.weight(now_ms, self._limits.slow_start_ms)
        return (state.load.in_flight(now_ms) + 1) * latency_ms**LATENCY_POWER / weight

    def _fallback_ms(self, state: RouteState) -> float:
        usual_ms = self._tables[state.member.service].median_ms(state)
        return usual_ms if math.isfinite(usual_ms) else UNKNOWN_LATENCY_MS


def _sample_two(candidates: list[RouteState], rng: random.Random) -> list[RouteState]:
    """Return two different candidates."""
    count = len(candidates)
    first = int(rng.random() * count)
    step = 1 + int(rng.random() * (count - 1))
    second = (first + step) % count
    return [candidates[first], candidates[second]]
