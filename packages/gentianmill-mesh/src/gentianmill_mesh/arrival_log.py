"""Logs the arrivals at the upstream, so that an exhausted budget can be explained."""

from gentianmill_mesh.upstream_guard import UpstreamGuard
from gentianmill_node.logs import component

log = component('guard')


class ArrivalLog:
    """Log the arrivals at an upstream by cause, while not all are first attempts."""

    def __init__(self, guard: UpstreamGuard) -> None:
        """Create a log.

        Args:
            guard: Guard of the upstream.
        """
        self._guard = guard
        self._logged_orphans = 0

    def write(self) -> None:
        """Log the arrivals since the last line if duplicates or orphans are among them.

        An orphan is a call for a request that is not known to run on the upstream. It
        counts as a new request, even if it is made for a duplicate attempt.
        """
        orphans = self._guard.tree.orphans - self._logged_orphans
        if orphans or self._guard.gate.arrivals.has_new_duplicates:
            self._logged_orphans += orphans
            counts = self._guard.gate.arrivals.drain_new()
            credit = round(self._guard.gate.credit, 1)
            log.info('Repeats arrived.', orphans=orphans, credit=credit, **counts)
