"""The members of one service, as seen from one entry."""

from gentianmill import rendezvous
from gentianmill.ejection import REVIEW_INTERVAL_MS, OutlierEjector
from gentianmill.route_state import RouteState

TIERS = 3
IDLE_REVIEW_MS = 2000
MIN_CALLS_PER_REVIEW = 8
SPILLOVER_REFRESH_MS = 20
SPILLOVER_REFRESH_SHARE = 0.1
"""Calls, relative to the capacity, after which the spillover is decided again at once. A
burst would fill the queues of the nearest tier before `SPILLOVER_REFRESH_MS` is over."""

SPILLOVER_START_LOAD = 0.8
SPILLOVER_STOP_LOAD = 0.6
SPILLOVER_START_LATENCY_RATIO = 1.5
SPILLOVER_STOP_LATENCY_RATIO = 1.2


class RouteTable:
    """Members of one service by tier, with spillover to the next tier.

    Tiers are the same availability zone, the same region and other regions. Calls go
    to the nearest tier. When it is overloaded, they spill over to the next one. The
    spillover ends only at a clearly lower load, so that the choice does not flap.
    """

    def __init__(self, ejected_share: float) -> None:
        """Create an empty table.

        Args:
            ejected_share: Largest share of the service that is ejected at once.
        """
        self._states: dict[str, RouteState] = {}
        self._ejector = OutlierEjector(ejected_share)
        self._node_hashes: dict[str, int] = {}
        self._spilling_over = [False for _ in range(TIERS)]
        self._ended_calls = 0
        self._reviewed_ms = float('-inf')
        self._refreshed_ms = [float('-inf') for _ in range(TIERS)]
        self._started_calls = 0
        self._refresh_at_calls = [float('inf') for _ in range(TIERS)]
        self._tiers: list[list[RouteState]] = [[] for _ in range(TIERS)]

    @property
    def states(self) -> dict[str, RouteState]:
        """Return the state of each member by node id."""
        return self._states

    def add(self, state: RouteState) -> None:
        """Add a member or replace its state."""
        self._states[state.member.node_id] = state
        self._rebuild_indexes()

    def remove(self, node_id: str) -> None:
        """Remove a member."""
        self._states.pop(node_id, None)
        self._rebuild_indexes()
        self.enforce_ejection_cap()

    def enforce_ejection_cap(self) -> None:
        """Keep the ejected share within its cap after fewer members accept calls."""
        self._ejector.enforce_ejection_cap(self._accepting())

    def preferred(self, affinity: str) -> str | None:
        """Return the node id that a key prefers, from the same region if possible."""
        key_hash = rendezvous.hash_text(affinity)
        scores = {
            node_id: rendezvous.mix(key_hash, node_hash)
            for node_id, node_hash in self._node_hashes.items()
        }
        return max(scores, key=scores.__getitem__, default=None)

    def median_ms(self, state: RouteState) -> float:
        """Return the median latency of members as far away as this one, in ms."""
        return self._ejector.median_ms(state)

    def count_started(self) -> None:
        """Count a call that was sent, which may overload the nearest tier."""
        self._started_calls += 1

    def count_ended(self) -> None:
        """Count a call that ended, which may change which members are outliers."""
        self._ended_calls += 1

    def review(self, now_ms: float) -> None:
        """Review outliers once enough calls have ended or enough time has passed."""
        elapsed_ms = now_ms - self._reviewed_ms
        idle = elapsed_ms >= IDLE_REVIEW_MS
        if idle or (
            self._ended_calls >= MIN_CALLS_PER_REVIEW
            and elapsed_ms >= REVIEW_INTERVAL_MS
        ):
            self._reviewed_ms = now_ms
            self._ended_calls = 0
            self._ejector.review(self._accepting(), now_ms)

    def candidates(self, now_ms: float, excluded: frozenset[str]) -> list[RouteState]:
        """Return the members that a call may be routed to.

        Args:
            now_ms: Current time.
            excluded: Node ids that must not be chosen.

        Returns:
            The admissible members of the nearest tiers with capacity.
        """
        chosen: list[RouteState] = []
        for tier, states in enumerate(self._tiers):
            chosen.extend(
                state
                for state in states
                if state.admissible(now_ms) and state.member.node_id not in excluded
            )
            if chosen and not self._spills_over(tier, now_ms):
                break
        return chosen

    def _accepting(self) -> list[RouteState]:
        return [state for state in self._states.values() if state.accepts_calls]

    def _rebuild_indexes(self) -> None:
        states = self._states.values()
        for tier in range(TIERS):
            self._tiers[tier] = [state for state in states if state.tier == tier]
        near = [state.member.node_id for state in states if state.tier <= 1]
        node_ids = near or list(self._states)
        self._node_hashes = dict(
            zip(node_ids, map(rendezvous.hash_text, node_ids), strict=True)
        )

    def _spills_over(self, tier: int, now_ms: float) -> bool:
        is_due = (
            now_ms - self._refreshed_ms[tier] >= SPILLOVER_REFRESH_MS
            or self._started_calls >= self._refresh_at_calls[tier]
        )
        if is_due and tier < TIERS - 1:
            usable = [
                state
                for states in self._tiers[: tier + 1]
                for state in states
                if state.admissible(now_ms)
            ]
            self._refreshed_ms[tier] = now_ms
            burst = max(_limit(usable) * SPILLOVER_REFRESH_SHARE, 1)
            self._refresh_at_calls[tier] = self._started_calls + burst
            self._spilling_over[tier] = self._is_overloaded(tier, usable, now_ms)
        return self._spilling_over[tier]

    def _is_overloaded(
        self, tier: int, usable: list[RouteState], now_ms: float
    ) -> bool:
        load_bound = (
            SPILLOVER_STOP_LOAD if self._spilling_over[tier] else SPILLOVER_START_LOAD
        )
        ratio_bound = (
            SPILLOVER_STOP_LATENCY_RATIO
            if self._spilling_over[tier]
            else SPILLOVER_START_LATENCY_RATIO
        )
        latency_ratio = min(
            (state.expected_ms(now_ms) / self.median_ms(state) for state in usable),
            default=0,
        )
        return latency_ratio > ratio_bound or _load(usable, now_ms) > load_bound


def _load(usable: list[RouteState], now_ms: float) -> float:
    limit = _limit(usable)
    if not limit:
        return 0
    return sum(state.load.in_flight(now_ms) for state in usable) / limit


def _limit(usable: list[RouteState]) -> int:
    return sum(state.load.limit for state in usable)
