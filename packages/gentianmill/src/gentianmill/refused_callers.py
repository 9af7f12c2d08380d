"""Recognise callers that were refused and return, and whether they waited as told.

A retry is a new request with a new id on a new connection. What it has in common with the
refused one are its route, its team and the time at which its caller stops waiting. Designed
for 300 refusals a second at a node.
"""

import bisect
import dataclasses

__all__ = ('RefusedCallers',)

TOLERANCE_MS = 4.0
"""Difference of two computed ends of the same caller: a round trip between zones, and the
whole milliseconds of the header."""

EARLY_MS = 20.0
"""Time by which a caller may return early and counts as having waited; Retry-After is told in
hundredths of a second."""

MAX_REFUSALS = 4096
"""Refusals that are remembered: 300 a second for the longest usual time of 15 s."""


@dataclasses.dataclass(slots=True)
class _Flow:
    """Refusals of one route and team, in the order of their callers' ends."""

    ends_ms: list[float] = dataclasses.field(default_factory=list)
    returns_ms: list[float] = dataclasses.field(default_factory=list)

    def nearest(self, end_ms: float) -> int | None:
        """Return the position of the refusal that a caller's end belongs to, or None."""
        place = bisect.bisect_left(self.ends_ms, end_ms)
        near = [
            position
            for position in (place - 1, place)
            if 0 <= position < len(self.ends_ms)
            and abs(self.ends_ms[position] - end_ms) <= TOLERANCE_MS
        ]
        if not near:
            return None
        return min(near, key=lambda position: abs(self.ends_ms[position] - end_ms))

    def expire(self, now_ms: float) -> int:
        """Drop the refusals whose callers no longer wait, and return their number."""
        count = bisect.bisect_right(self.ends_ms, now_ms)
        self.ends_ms = self.ends_ms[count:]
        self.returns_ms = self.returns_ms[count:]
        return count


class RefusedCallers:
    """Refusals of an entry whose callers may return."""

    def __init__(self) -> None:
        """Create a memory without refusals."""
        self._flows: dict[tuple[str, str], _Flow] = {}
        self._count = 0

    def note(
        self, flow: tuple[str, str], end_ms: float, return_ms: float, now_ms: float
    ) -> None:
        """Remember a refusal.

        Args:
            flow: Route and team of the request.
            end_ms: Time at which its caller stops waiting.
            return_ms: Time at which it was told to return.
            now_ms: Current time.
        """
        refusals = self._flows.setdefault(flow, _Flow())
        known = refusals.nearest(end_ms)
        if known is not None:
            refusals.returns_ms[known] = return_ms
            return
        if self._count >= MAX_REFUSALS:
            self._expire(now_ms)
        if self._count >= MAX_REFUSALS:
            return
        place = bisect.bisect_left(refusals.ends_ms, end_ms)
        refusals.ends_ms.insert(place, end_ms)
        refusals.returns_ms.insert(place, return_ms)
        self._count += 1

    def has_waited(self, flow: tuple[str, str], end_ms: float, now_ms: float) -> bool:
        """Return whether a caller was refused here and returns when it was told to.

        Args:
            flow: Route and team of the request.
            end_ms: Time at which its caller stops waiting.
            now_ms: Current time.
        """
        refusals = self._flows.get(flow)
        if refusals is None:
            return False
        known = refusals.nearest(end_ms)
        return known is not None and now_ms >= refusals.returns_ms[known] - EARLY_MS

    def _expire(self, now_ms: float) -> None:
        for flow, refusals in tuple(self._flows.items()):
            self._count -= refusals.expire(now_ms)
            if not refusals.ends_ms:
                self._flows.pop(flow)
