"""Logs what reached the upstream, so that a used budget can be explained."""

from gentianmill.arrivals import Cause
from gentianmill_mesh.upstream_guard import UpstreamGuard
from gentianmill_node.logs import component

log = component('guard')


class ArrivalLog:
    """Log the arrivals at an upstream by cause, while repeats are among them."""

    def __init__(self, guard: UpstreamGuard) -> None:
        """Create a log.

        Args:
            guard: Guard of the upstream.
        """
        self._guard = guard
        self._orphans = 0

    def write(self) -> None:
        """Log what came since the last call, if it was more than first arrivals."""
        counts = self._guard.arrivals.take_new()
        orphans = self._guard.tree.orphans - self._orphans
        self._orphans += orphans
        if orphans or counts.keys() - {Cause.first.value}:
            log.info('Repeats arrived.', orphans=orphans, **counts)
