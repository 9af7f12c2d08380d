"""Which nodes do not answer, found by probes that are sent only while it matters."""

import dataclasses
import math
from collections.abc import Callable

__all__ = ('QuotaProbes',)

UNREACHABLE_MS = 1000.0
"""Time without an answer after which a successor takes a node for unreachable."""

PROBE_MS = 200.0
"""Time between two probes of a node."""

PROBE_MEMORY_MS = 5000.0
"""Time since the last probe after which its silence says nothing any more."""


@dataclasses.dataclass(slots=True)
class _Probe:
    first_ms: float
    last_ms: float


class QuotaProbes:
    """Watch the nodes that come before this one in rendezvous order."""

    def __init__(self, probe: Callable[[str], None]) -> None:
        """Create a watch without probes.

        Args:
            probe: Sends a frame to a node that the node answers.
        """
        self._probe = probe
        self._probes: dict[str, _Probe] = {}

    def on_heard(self, name: str) -> None:
        """Record that a node is reachable."""
        self._probes.pop(name, None)

    def is_unreachable(self, name: str, now_ms: float) -> bool:
        """Return whether a node has not answered probes for a while, and probe it."""
        probe = self._probes.get(name)
        if probe is None or now_ms - probe.last_ms > PROBE_MEMORY_MS:
            probe = _Probe(now_ms, -math.inf)
            self._probes[name] = probe
        if now_ms - probe.last_ms >= PROBE_MS:
            probe.last_ms = now_ms
            self._probe(name)
        return now_ms - probe.first_ms >= UNREACHABLE_MS
