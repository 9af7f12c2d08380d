"""The members of one service, as seen from one entry."""

from gentianmill import rendezvous
from gentianmill.ejection import REVIEW_INTERVAL_MS, OutlierEjector
from gentianmill.route_state import RouteState

TIERS = 3
IDLE_REVIEW_MS = 2000
REVIEW_CALLS = 8
REFRESH_MS = 20
LEAVE_LOAD = 0.8
RETURN_LOAD = 0.6
LEAVE_SLOWNESS = 1.5
RETURN_SLOWNESS = 1.2


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
        self._near_hashes: dict[str, int] = {}
        self._widened = [False for _ in range(TIERS)]
        self._ended = 0
        self._reviewed_ms = float('-inf')
        self._refreshed_ms = [float('-inf') for _ in range(TIERS)]
        self._tiers: list[list[RouteState]] = [[] for _ in range(TIERS)]

    @property
    def states(self) -> dict[str, RouteState]:
        """Return the state of each member by node id."""
        return self._states

    def add(self, state: RouteState) -> None:
        """Add a member or replace its state."""
        self._states[state.member.node_id] = state
        self._arrange()

    def remove(self, node_id: str) -> None:
        """Remove a member."""
        self._states.pop(node_id, None)
        self._arrange()
        self.release()

    def release(self) -> None:
        """Keep the ejected share below the cap after fewer members take calls."""
        self._ejector.release(self._taking_calls())

    def preferred(self, affinity: str) -> str | None:
        """Return the node id that a key prefers, in the own region if it has one."""
        key_hash = rendezvous.hash_text(affinity)
        scores = {
            node_id: rendezvous.mix(key_hash, node_hash)
            for node_id, node_hash in self._near_hashes.items()
        }
        return max(scores, key=scores.__getitem__, default=None)

    def normal_ms(self, state: RouteState) -> float:
        """Return the usual latency of members as far away as this one, in ms."""
        return self._ejector.normal_ms(state)

    def note_done(self) -> None:
        """Take note that a call ended, which may change who is an outlier."""
        self._ended += 1

    def review(self, now_ms: float) -> None:
        """Look for outliers once enough calls have ended or enough time has passed."""
        waited_ms = now_ms - self._reviewed_ms
        idle = waited_ms >= IDLE_REVIEW_MS
        if idle or (self._ended >= REVIEW_CALLS and waited_ms >= REVIEW_INTERVAL_MS):
            self._reviewed_ms = now_ms
            self._ended = 0
            self._ejector.review(self._taking_calls(), now_ms)

    def candidates(self, now_ms: float, excluded: frozenset[str]) -> list[RouteState]:
        """Return the members among which a call is routed.

        Args:
            now_ms: Current time.
            excluded: Node ids that must not be chosen.

        Returns:
            The admissible members of the nearest tiers that can take the call.
        """
        chosen: list[RouteState] = []
        for tier, states in enumerate(self._tiers):
            chosen.extend(
                state
                for state in states
                if state.admissible(now_ms) and state.member.node_id not in excluded
            )
            if chosen and not self._is_wide(tier, now_ms):
                break
        return chosen

    def _taking_calls(self) -> list[RouteState]:
        return [state for state in self._states.values() if state.takes_calls]

    def _arrange(self) -> None:
        states = self._states.values()
        for tier in range(TIERS):
            self._tiers[tier] = [state for state in states if state.tier == tier]
        near = [state.member.node_id for state in states if state.tier <= 1]
        node_ids = near or list(self._states)
        self._near_hashes = dict(
            zip(node_ids, map(rendezvous.hash_text, node_ids), strict=True)
        )

    def _is_wide(self, tier: int, now_ms: float) -> bool:
        age_ms = now_ms - self._refreshed_ms[tier]
        if age_ms >= REFRESH_MS and tier < TIERS - 1:
            self._refreshed_ms[tier] = now_ms
            self._widened[tier] = self._is_overloaded(tier, now_ms)
        return self._widened[tier]

    def _is_overloaded(self, tier: int, now_ms: float) -> bool:
        inside = [
            state
            for states in self._tiers[: tier + 1]
            for state in states
            if state.admissible(now_ms)
        ]
        load_bound = RETURN_LOAD if self._widened[tier] else LEAVE_LOAD
        slow_bound = RETURN_SLOWNESS if self._widened[tier] else LEAVE_SLOWNESS
        slowness = min(
            (state.expected_ms(now_ms) / self.normal_ms(state) for state in inside),
            default=0,
        )
        return slowness > slow_bound or _load(inside, now_ms) > load_bound


def _load(usable: list[RouteState], now_ms: float) -> float:
    limit = sum(state.load.limit for state in usable)
    if not limit:
        return 0
    return sum(state.load.in_flight(now_ms) for state in usable) / limit
