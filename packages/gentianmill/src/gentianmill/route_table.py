"""The members of one service, as seen from one entry."""

from gentianmill.ejection import OutlierEjector
from gentianmill.route_state import RouteState

TIERS = 3
REFRESH_MS = 20
LEAVE_LOAD = 0.8
RETURN_LOAD = 0.6


class RouteTable:
    """Members of one service by tier, and how far out calls may go.

    Tiers are the own availability zone, the own region and beyond. Calls go to the
    nearest tier. When it is overloaded, the next tier is added; it is removed again
    only at a clearly lower load, so that the choice does not flap.
    """

    def __init__(self, ejected_share: float) -> None:
        """Create an empty table.

        Args:
            ejected_share: Largest share of the service that is ejected at once.
        """
        self._states: dict[str, RouteState] = {}
        self._ejector = OutlierEjector(ejected_share)
        self._widened = [False for _ in range(TIERS)]
        self._refreshed_ms = float('-inf')

    @property
    def states(self) -> dict[str, RouteState]:
        """Return the state of each member by node id."""
        return self._states

    def add(self, state: RouteState) -> None:
        """Add a member or replace its state."""
        self._states[state.member.node_id] = state

    def remove(self, node_id: str) -> None:
        """Remove a member."""
        self._states.pop(node_id, None)

    def candidates(self, now_ms: float, excluded: frozenset[str]) -> list[RouteState]:
        """Return the members among which a call is routed.

        Args:
            now_ms: Current time.
            excluded: Node ids that must not be chosen.

        Returns:
            The admissible members of the nearest tiers that can take the call.
        """
        self._refresh(now_ms)
        tiers: list[list[RouteState]] = [[] for _ in range(TIERS)]
        for node_id, state in self._states.items():
            if node_id not in excluded and state.admissible(now_ms):
                tiers[state.tier].append(state)
        chosen: list[RouteState] = []
        for tier, states in enumerate(tiers):
            chosen.extend(states)
            if chosen and not self._widened[tier]:
                break
        return chosen

    def _refresh(self, now_ms: float) -> None:
        if now_ms < self._refreshed_ms + REFRESH_MS:
            return
        self._refreshed_ms = now_ms
        self._ejector.review(list(self._states.values()), now_ms)
        for tier in range(TIERS - 1):
            self._widened[tier] = self._is_overloaded(tier, now_ms)

    def _is_overloaded(self, tier: int, now_ms: float) -> bool:
        inside = [state for state in self._states.values() if state.tier <= tier]
        bound = RETURN_LOAD if self._widened[tier] else LEAVE_LOAD
        return _load(inside, now_ms) > bound


def _load(states: list[RouteState], now_ms: float) -> float:
    usable = [state for state in states if state.admissible(now_ms)]
    limit = sum(state.load.limit for state in usable)
    if not limit:
        return 0
    return sum(state.load.in_flight(now_ms) for state in usable) / limit
