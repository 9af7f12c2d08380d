"""Ejection of members whose latency or failures are far from the median."""

import dataclasses
import statistics
from collections.abc import Collection, Sequence

from gentianmill.route_state import RouteState

REVIEW_INTERVAL_MS = 250
MIN_OBSERVATIONS = 4
LATENCY_RATIO = 2
LATENCY_MARGIN_MS = 5
FAILURE_LIMIT = 0.5
FAILURE_MARGIN = 0.3
FIRST_EJECTION_MS = 2000
MAX_EJECTION_MS = 60_000
MIN_PROBES = 3


@dataclasses.dataclass(slots=True)
class _Ejection:
    until_ms: float
    length_ms: float


class OutlierEjector:
    """Eject outliers of one service, at most a share of its members.

    An ejected member is readmitted by probing: when its ejection ends, it gets one
    call at a time until enough of them were within the normal range. Otherwise it is
    ejected again. Each ejection lasts twice as long as the previous one, up to a limit.
    """

    def __init__(self, ejected_share: float) -> None:
        """Create an ejector.

        Args:
            ejected_share: Largest share of a service that is ejected at once, 0 to 1.
        """
        self._ejected_share = ejected_share
        self._ejections: dict[str, _Ejection] = {}
        self._next_review_ms = float('-inf')
        self._median_latencies_ms: dict[bool, float] = {}

    def enforce_ejection_cap(self, states: Collection[RouteState]) -> None:
        """Readmit members beyond the cap after the service has become smaller.

        Args:
            states: All members of the service that accept calls.
        """
        restricted = [state for state in states if state.ejected or state.probing]
        restricted.sort(key=lambda state: state.probing)
        for state in restricted[int(self._ejected_share * len(states)) :]:
            state.ejected = False
            state.probing = False

    def median_ms(self, state: RouteState) -> float:
        """Return the median latency of members as far away as this one, in ms."""
        return self._median_latencies_ms.get(state.tier > 1) or float('inf')

    def review(self, states: Collection[RouteState], now_ms: float) -> None:
        """Eject and readmit members; does nothing until a review is due.

        Args:
            states: All members of the service that accept calls.
            now_ms: Current time.
        """
        if now_ms < self._next_review_ms:
            return
        self._next_review_ms = now_ms + REVIEW_INTERVAL_MS
        self._retain({state.member.node_id for state in states})
        self._median_latencies_ms = _median_latencies(states)
        median_share = _median([state.failure_share for state in states])
        for state in states:
            self._readmit(state, now_ms)
            if _is_outlier(state, self.median_ms(state), median_share):
                self._eject(state, states, now_ms)

    def _readmit(self, state: RouteState, now_ms: float) -> None:
        ejection = self._ejections.get(state.member.node_id)
        if ejection is None:
            return
        if state.ejected and now_ms >= ejection.until_ms:
            state.ejected = False
            state.probing = True
            state.latency.reset()
            state.failure_share = float(0)
        elif state.probing and state.latency.count >= MIN_PROBES:
            state.probing = False

    def _eject(
        self, state: RouteState, states: Collection[RouteState], now_ms: float
    ) -> None:
        restricted = sum(other.ejected or other.probing for other in states)
        allowed = int(self._ejected_share * len(states))
        if state.ejected or restricted - state.probing >= allowed:
            return
        previous = self._ejections.get(state.member.node_id)
        length_ms = FIRST_EJECTION_MS if previous is None else previous.length_ms * 2
        length_ms = min(length_ms, MAX_EJECTION_MS)
        self._ejections[state.member.node_id] = _Ejection(now_ms + length_ms, length_ms)
        state.ejected = True
        state.probing = False

    def _retain(self, node_ids: set[str]) -> None:
        for node_id in self._ejections.keys() - node_ids:
            self._ejections.pop(node_id)


def _is_outlier(state: RouteState, median_ms: float, median_share: float) -> bool:
    if state.failure_share > max(FAILURE_LIMIT, median_share + FAILURE_MARGIN):
        return True
    required = 1 if state.probing else MIN_OBSERVATIONS
    if state.latency.count < required:
        return False
    return state.latency.value_ms > LATENCY_RATIO * median_ms + LATENCY_MARGIN_MS


def _median_latencies(states: Collection[RouteState]) -> dict[bool, float]:
    """Return the median latency in the same region (False) and in others (True).

    Latencies of members in other regions include the link between the regions. Its
    latency is estimated as the difference of the lowest latencies on both sides.
    """
    measured = [state for state in states if state.latency.count >= MIN_OBSERVATIONS]
    near = [state.latency.value_ms for state in measured if state.tier <= 1]
    far = [state.latency.value_ms for state in measured if state.tier > 1]
    link_ms = float(0)
    if near and far:
        link_ms = max(min(far) - min(near), link_ms)
    near.extend(latency_ms - link_ms for latency_ms in far)
    median_ms = _median(near)
    return {False: median_ms, True: median_ms + link_ms}


def _median(numbers: Sequence[float]) -> float:
    return statistics.median(numbers) if numbers else float('inf')
