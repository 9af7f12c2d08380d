"""The open connections of callers, within a limit."""

import itertools
from collections import OrderedDict

from gentianmill.connection_limit import ConnectionSettings
from gentianmill_mesh.entry_connection import EntryConnection
from gentianmill_node.descriptors import allow_descriptors
from gentianmill_node.logs import component

__all__ = ('CallerConnections',)

MIN_IDLE_MS = 1000.0
"""A connection that was idle for this long may be closed in favour of a new one."""

MAX_TRIED = 32
"""Connections that are tried for each new one, the longest without a request first."""

log = component('entry')


class CallerConnections:
    """Make room for new connections by closing idle ones.

    Beyond the limit, a connection is surplus: its next request is refused as not run, so
    that its caller knows when to come back.
    """

    def __init__(self, settings: ConnectionSettings) -> None:
        """Create an empty set.

        Args:
            settings: Bounds on the connections.
        """
        self._settings = settings
        # Ordered by the time of the last request.
        self._open: OrderedDict[EntryConnection, None] = OrderedDict()
        self._surplus: set[EntryConnection] = set()

    @classmethod
    def within_descriptors(cls, wanted: int | None) -> 'CallerConnections':
        """Return an empty set that leaves descriptors for other connections.

        Args:
            wanted: Descriptors that the process may have open, or None if the system
                decides.
        """
        descriptors = allow_descriptors(wanted)
        settings = ConnectionSettings.for_descriptors(descriptors)
        log.info(
            'Descriptors.',
            allowed=descriptors,
            callers=settings.callers,
            upstream=settings.upstream,
        )
        return cls(settings)

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._open)

    @property
    def settings(self) -> ConnectionSettings:
        """Return the bounds on the connections of the node."""
        return self._settings

    @property
    def all(self) -> tuple[EntryConnection, ...]:
        """Return all open connections."""
        return tuple(self._open)

    def has_room(self, opening: int) -> bool:
        """Return whether another connection may be accepted.

        Args:
            opening: Connections that were accepted and are not added yet.
        """
        bound = self._settings.callers + self._settings.surplus
        return len(self._open) + opening < bound

    def make_room(self) -> None:
        """Close an idle connection if no other is accepted."""
        if not self.has_room(opening=0):
            self._close_idle()

    def add(self, connection: EntryConnection) -> None:
        """Add a connection, and close an idle one if there are too many."""
        is_full = len(self._open) >= self._settings.callers
        if is_full and not self._close_idle():
            self._surplus.add(connection)
        self._open[connection] = None

    def on_request(self, connection: EntryConnection) -> None:
        """Record that a connection is in use."""
        if connection in self._open:
            self._open.move_to_end(connection)

    def discard(self, connection: EntryConnection) -> None:
        """Remove a connection that was closed."""
        self._open.pop(connection, None)
        self._surplus.discard(connection)

    def is_surplus(self, connection: EntryConnection) -> bool:
        """Return whether to refuse the requests of a connection.

        It is not surplus any more once others have closed.
        """
        if connection not in self._surplus:
            return False
        if len(self._open) - len(self._surplus) < self._settings.callers:
            self._surplus.discard(connection)
        return connection in self._surplus

    def _close_idle(self) -> bool:
        tried = tuple(itertools.islice(self._open, MAX_TRIED))
        return any(connection.close_if_idle(MIN_IDLE_MS) for connection in tried)
