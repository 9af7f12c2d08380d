"""How long a running request has waited for the calls that it made downstream."""

import dataclasses

MAX_REQUESTS = 4096
"""Requests that are followed at a time."""


@dataclasses.dataclass(slots=True)
class _Waiting:
    """Calls under way of a request, and the time in which there was any."""

    calls: int = 0
    since_ms: float = 0
    total_ms: float = 0


class DownstreamTimes:
    """Time in which a request had a call under way, also if several overlap.

    Calls whose request is not recognised by their id count as the upstream's own work.
    """

    def __init__(self) -> None:
        """Start without requests."""
        self._requests: dict[str, _Waiting] = {}

    def start(self, request_id: str) -> None:
        """Follow a request that starts."""
        if len(self._requests) < MAX_REQUESTS:
            self._requests[request_id] = _Waiting()

    def call_began(self, request_id: str, now_ms: float) -> None:
        """Record a call of a request; nothing happens if it is not followed."""
        waiting = self._requests.get(request_id)
        if waiting is None:
            return
        if not waiting.calls:
            waiting.since_ms = now_ms
        waiting.calls += 1

    def call_ended(self, request_id: str, now_ms: float) -> None:
        """Record the end of a call of a request."""
        waiting = self._requests.get(request_id)
        if waiting is None or not waiting.calls:
            return
        waiting.calls -= 1
        if not waiting.calls:
            waiting.total_ms += now_ms - waiting.since_ms

    def end(self, request_id: str) -> float:
        """Return the time of a request that ended, in ms, and forget it."""
        waiting = self._requests.pop(request_id, None)
        return 0 if waiting is None else waiting.total_ms
