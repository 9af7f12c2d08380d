"""Accepts the requests of callers and of the upstream on the same VM."""

import asyncio

from gentianmill.byte_budget import ByteBudget
from gentianmill.clock import Clock
from gentianmill.route_rules import RequestLimits
from gentianmill_mesh.caller_connections import CallerConnections
from gentianmill_mesh.entry_connection import EntryConnection
from gentianmill_mesh.entry_exchange import EntryExchange
from gentianmill_mesh.forwarder import (
    STOPPING,
    AdmittedRequest,
    CallerRequest,
    Forwarder,
)
from gentianmill_mesh.http_listener import HttpListener
from gentianmill_mesh.http_message import HttpResponse
from gentianmill_mesh.mesh_settings import MeshSettings
from gentianmill_node.listen_queue import HANDSHAKE_WAIT_S, refuse_new_connections
from gentianmill_node.logs import component

__all__ = ('EntryListener',)

FIRST_LIMITS = RequestLimits(
    header_bytes=65_536,
    body_bytes=64 * 1024 * 1024,
    header_timeout_ms=10_000,
    idle_timeout_ms=60_000,
)
"""Bounds on what is read before the first rules arrive; it is refused then."""

IDLE_POLL_S = 0.02
STATUS_BAD_GATEWAY = 502
FAULT_EVENT = 'Request failed with an internal error.'

log = component('entry')


class EntryListener(HttpListener):
    """Serve HTTP to callers."""

    def __init__(
        self,
        forwarder: Forwarder,
        settings: MeshSettings,
        budget: ByteBudget,
        clock: Clock,
    ) -> None:
        """Create a listener; call ``listen`` to serve.

        Args:
            forwarder: Returns the response to a request.
            settings: Settings of the node.
            budget: Limits what the node holds.
            clock: Clock of the node.
        """
        super().__init__(
            CallerConnections.within_descriptors(settings.descriptors),
            settings.names,
            settings.read_ahead,
            budget,
            clock,
        )
        self._forwarder = forwarder
        self._closing = False

    @property
    def running(self) -> int:
        """Return the number of requests whose responses are owed."""
        return sum(connection.running for connection in self._connections.all)

    @property
    def closing(self) -> bool:
        """Return whether connections close after their next response."""
        return self._closing

    @property
    def limits(self) -> RequestLimits:
        """Return the bounds on requests."""
        return self._forwarder.limits or FIRST_LIMITS

    def close_connections(self) -> None:
        """Close each connection after the responses that are owed on it."""
        self._closing = True

    def refuse_new(self) -> None:
        """Refuse requests that are not forwarded yet, also those still being received."""
        self._forwarder.refuse_new()
        for connection in self._connections.all:
            connection.refuse_incomplete(STOPPING)

    async def drain(self, timeout_s: float) -> None:
        """Accept nothing more, and wait until all connections are closed.

        Connections that the kernel has already established are accepted first.

        Args:
            timeout_s: Time in s after which the remaining connections are aborted.
        """
        if self._acceptor is None:
            return
        loop = asyncio.get_running_loop()
        end_s = loop.time() + timeout_s
        refuse_new_connections(self._acceptor.listening_socket)
        await asyncio.sleep(HANDSHAKE_WAIT_S)
        self._acceptor.close()
        while self._connections and loop.time() < end_s:
            for connection in self._connections.all:
                connection.close_if_idle()
            await asyncio.sleep(IDLE_POLL_S)
        if self.running:
            log.warning('Requests are cut.', requests=self.running)
        self.abort()

    def check_timeouts(self) -> None:
        """Close the connections whose callers are idle for too long."""
        limits = self._forwarder.limits
        if limits is not None:
            self.check_connections(limits)

    def may_run_ahead(self, caller: CallerRequest) -> bool:
        """Return whether a request may run before the responses to earlier ones."""
        return self._forwarder.is_repeatable(caller)

    def serve(self, exchange: EntryExchange, connection: EntryConnection) -> None:
        """Admit a request, or set its refusal."""
        if exchange.caller is None:
            raise ValueError('the request has not been received')
        try:
            admitted = self._forwarder.admit(exchange.caller)
        except Exception:
            log.exception(FAULT_EVENT, request_id=exchange.caller.request_id)
            exchange.response = _fault()
            return
        if isinstance(admitted, HttpResponse):
            exchange.response = admitted
            return
        exchange.task = asyncio.get_running_loop().create_task(
            self._run(exchange, connection, admitted)
        )

    def refuse(self, caller: CallerRequest, reason: str) -> HttpResponse:
        """Return the refusal of a request that was not received as a whole."""
        return self._forwarder.refuse(caller, reason)

    async def _run(
        self,
        exchange: EntryExchange,
        connection: EntryConnection,
        admitted: AdmittedRequest,
    ) -> None:
        try:
            exchange.response = await self._forwarder.run(admitted)
        except asyncio.CancelledError:
            # The caller has left; otherwise nothing would answer it.
            connection.abort()
            raise
        except Exception:
            log.exception(FAULT_EVENT, request_id=admitted.caller.request_id)
            exchange.response = _fault()
        exchange.release_request()
        if exchange.is_dropped:
            exchange.response.discard()
        connection.proceed()


def _fault() -> HttpResponse:
    return HttpResponse(STATUS_BAD_GATEWAY, [], b'fault\n')
