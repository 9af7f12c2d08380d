"""A listener whose connections and memory are bounded."""

import abc

from gentianmill.byte_budget import ByteBudget
from gentianmill.clock import Clock
from gentianmill.route_rules import RequestLimits
from gentianmill_mesh.caller_connections import CallerConnections
from gentianmill_mesh.entry_connection import EntryConnection, EntryHandler
from gentianmill_mesh.entry_exchange import EntryExchange
from gentianmill_mesh.mesh_settings import Address, ReadAheadSettings
from gentianmill_mesh.wire_names import WireNames
from gentianmill_node.connection_acceptor import ConnectionAcceptor
from gentianmill_node.listen_socket import open_listen_socket

__all__ = ('TOO_MANY_CONNECTIONS', 'HttpListener')

TOO_MANY_CONNECTIONS = 'connections'
"""Reason of the refusals on connections beyond the limit."""


class HttpListener(EntryHandler):
    """Accept connections up to a limit, and refuse requests on those beyond it."""

    def __init__(
        self,
        connections: CallerConnections,
        names: WireNames,
        read_ahead: ReadAheadSettings,
        budget: ByteBudget,
        clock: Clock,
    ) -> None:
        """Create a listener; call ``listen`` to serve.

        Args:
            connections: Holds the open connections.
            names: Header names of the deployment.
            read_ahead: Bounds on what is read ahead on a connection.
            budget: Limits what the node holds.
            clock: Clock of the node.
        """
        self._connections = connections
        self._names = names
        self._read_ahead = read_ahead
        self._budget = budget
        self._clock = clock
        self._acceptor: ConnectionAcceptor | None = None

    @property
    def connections(self) -> CallerConnections:
        """Return the open connections."""
        return self._connections

    @property
    def budget(self) -> ByteBudget:
        """Return the limit on what the node holds."""
        return self._budget

    async def listen(self, name: str, address: Address) -> None:
        """Accept connections, once the address is free.

        Args:
            name: Name of the listener in the log.
            address: Address to listen on.

        Raises:
            OSError: If the address can't be used, and that will not change.
        """
        listening = await open_listen_socket(name, address.host, address.port)
        self._acceptor = ConnectionAcceptor(
            listening, self._new_connection, self._has_room
        )
        self._acceptor.resume()

    def start(self, exchange: EntryExchange, connection: EntryConnection) -> None:
        """Handle a request: set its response, or its task, which does so later."""
        if exchange.caller is None:
            raise ValueError('the request has not been received')
        self._connections.on_request(connection)
        if self._connections.is_surplus(connection):
            exchange.response = self.refuse(exchange.caller, TOO_MANY_CONNECTIONS)
            exchange.keeps_alive = False
        else:
            self.serve(exchange, connection)

    @abc.abstractmethod
    def serve(self, exchange: EntryExchange, connection: EntryConnection) -> None:
        """Handle a request on a connection within the limit."""

    def abort(self) -> None:
        """Close everything immediately."""
        if self._acceptor is not None:
            self._acceptor.close()
        for connection in self._connections.all:
            connection.abort()

    def check_connections(self, limits: RequestLimits) -> None:
        """Close connections that take too long, and idle ones if room is needed.

        Args:
            limits: Bounds on what callers may take.
        """
        for connection in self._connections.all:
            connection.check_timeouts(limits.header_timeout_ms, limits.idle_timeout_ms)
        self._connections.make_room()

    def opened(self, connection: EntryConnection) -> None:
        """Count a new connection."""
        self._connections.add(connection)

    def closed(self, connection: EntryConnection) -> None:
        """Forget a connection that was closed."""
        self._connections.discard(connection)
        if self._acceptor is not None:
            self._acceptor.resume()

    def _new_connection(self) -> EntryConnection:
        return EntryConnection(self, self._names, self._read_ahead, self._clock)

    def _has_room(self) -> bool:
        opening = 0 if self._acceptor is None else self._acceptor.opening
        if self._connections.has_room(opening):
            return True
        # When that has closed, accepting is resumed.
        self._connections.make_room()
        return False
