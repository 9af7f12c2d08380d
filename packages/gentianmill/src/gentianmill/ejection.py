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
LONGEST_EJECTION_MS = 60_000
PROBES = 3


@dataclasses.dataclass(slots=True)
class _Ejection:
    until_ms: float
    length_ms: float


class OutlierEjector:
    """Eject outliers of one service, at most a share of its members.

    An ejected member is readmitted by probing: after a pause it gets one call at a
    time, until enough of them were normal or it is ejected again for twice as long.
    """

    def __init__(self, ejected_share: float) -> None:
        """Create an ejector.

        Args:
            ejected_share: Largest share of a service that is ejected at once, 0 to 1.
        """
        self._ejected_share = ejected_share
        self._ejections: dict[str, _Ejection] = {}
        self._next_review_ms = float('-inf')
        self._normal_ms: dict[bool, float] = {}

    def release(self, states: Collection[RouteState]) -> None:
        """Readmit members above the cap after the service has become smaller.

        Args:
            states: All members of the service that take calls.
        """
        out = [state for state in states if state.ejected or state.probing]
        out.sort(key=lambda state: state.probing)
        for state in out[int(self._ejected_share * len(states)) :]:
            state.ejected = False
            state.probing = False

    def normal_ms(self, state: RouteState) -> float:
        """Return the median latency of members as far away as this one, in ms."""
        return self._normal_ms.get(state.tier > 1) or float('inf')

    def review(self, states: Collection[RouteState], now_ms: float) -> None:
        """Eject and readmit members; does nothing until a review is due.

        Args:
            states: All members of the service that take calls.
            now_ms: Current time.
        """
        if now_ms < self._next_review_ms:
            return
        self._next_review_ms = now_ms + REVIEW_INTERVAL_MS
        self._forget({state.member.node_id for state in states})
        self._normal_ms = _normal_latencies(states)
        failures = _median([state.failure_share for state in states])
        for state in states:
            self._readmit(state, now_ms)
            if _is_outlier(state, self.normal_ms(state), failures):
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
        elif state.probing and state.latency.count >= PROBES:
            state.probing = False

    def _eject(
        self, state: RouteState, states: Collection[RouteState], now_ms: float
    ) -> None:
        out = sum(other.ejected or other.probing for other in states)
        allowed = int(self._ejected_share * len(states))
        if state.ejected or out - state.probing >= allowed:
            return
        last = self._ejections.get(state.member.node_id)
        length_ms = FIRST_EJECTION_MS if last is None else last.length_ms * 2
        length_ms = min(length_ms, LONGEST_EJECTION_MS)
        self._ejections[state.member.node_id] = _Ejection(now_ms + length_ms, length_ms)
        state.ejected = True
        state.probing = False

    def _forget(self, node_ids: set[str]) -> None:
        for node_id in self._ejections.keys() - node_ids:
            self._ejections.pop(node_id)


def _is_outlier(state: RouteState, normal_ms: float, failures: float) -> bool:
    if state.failure_share > max(FAILURE_LIMIT, failures + FAILURE_MARGIN):
        return True
    enough = 1 if state.probing else MIN_OBSERVATIONS
    if state.latency.count < enough:
        return False
    return state.latency.value_ms > LATENCY_RATIO * normal_ms + LATENCY_MARGIN_MS


def _normal_latencies(states: Collection[RouteState]) -> dict[bool, float]:
    """Return the normal latency inside the own region (False) and beyond (True).

    Members beyond the region also show the latency of the link. It is taken to be
    the difference of the lowest latencies on both sides.
    """
    known = [state for state in states if state.latency.count >= MIN_OBSERVATIONS]
    near = [state.latency.value_ms for state in known if state.tier <= 1]
    far = [state.latency.value_ms for state in known if state.tier > 1]
    link_ms = float(0)
    if near and far:
        link_ms = max(min(far) - min(near), link_ms)
    near.extend(latency_ms - link_ms for latency_ms in far)
    median_ms = _median(near)
    return {False: median_ms, True: median_ms + link_ms}


def _median(numbers: Sequence[float]) -> float:
    return statistics.median(numbers) if numbers else float('inf')
