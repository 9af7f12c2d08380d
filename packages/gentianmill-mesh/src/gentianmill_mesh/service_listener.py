"""Serves the small requests of the platform and of the upstream on the VM."""

import asyncio
from collections.abc import Awaitable, Callable

from gentianmill.byte_budget import ByteBudget
from gentianmill.clock import Clock
from gentianmill.connection_limit import ConnectionSettings
from gentianmill.route_rules import RequestLimits
from gentianmill_mesh.caller_connections import CallerConnections
from gentianmill_mesh.entry_connection import EntryConnection
from gentianmill_mesh.entry_exchange import EntryExchange
from gentianmill_mesh.forwarder import CallerRequest
from gentianmill_mesh.http_listener import HttpListener
from gentianmill_mesh.http_message import HttpRequest, HttpResponse
from gentianmill_mesh.mesh_settings import Address, ReadAheadSettings
from gentianmill_mesh.wire_names import WireNames
from gentianmill_node.background import repeat
from gentianmill_node.logs import component

__all__ = ('Respond', 'ServiceListener', 'plain_response')

Respond = Callable[[HttpRequest], Awaitable[HttpResponse]]

LIMITS = RequestLimits(
    header_bytes=8192,
    body_bytes=64 * 1024,
    header_timeout_ms=5000,
    idle_timeout_ms=75_000,
)
CONNECTIONS = ConnectionSettings(callers=14, surplus=2, upstream=0)
READ_AHEAD = ReadAheadSettings(requests=2, bytes=LIMITS.body_bytes)
CHECK_INTERVAL_S = 1.0

STATUS_INTERNAL_ERROR = 500
STATUS_UNAVAILABLE = 503

log = component('server')


class ServiceListener(HttpListener):
    """Respond to each request, of which only few and small ones are read."""

    def __init__(
        self,
        name: str,
        respond: Respond,
        names: WireNames,
        budget: ByteBudget,
        clock: Clock,
    ) -> None:
        """Create a listener; call ``start_when_free`` to serve.

        Args:
            name: Name of the listener in the log.
            respond: Returns the response to a request.
            names: Header names of the deployment.
            budget: Limits what the node holds.
            clock: Clock of the node.
        """
        connections = CallerConnections(CONNECTIONS)
        super().__init__(connections, names, READ_AHEAD, budget, clock)
        self._name = name
        self._respond = respond
        self._checking: asyncio.Task[None] | None = None

    @property
    def closing(self) -> bool:
        """Return False: connections stay open until the process ends."""
        return False

    @property
    def limits(self) -> RequestLimits:
        """Return the bounds on requests."""
        return LIMITS

    async def start_when_free(self, address: Address) -> None:
        """Accept connections, once the address is free.

        Raises:
            OSError: If the address can't be used, and that will not change.
        """
        await self.listen(self._name, address)
        self._checking = repeat(self._check, CHECK_INTERVAL_S, self._name)

    def close(self) -> None:
        """Close everything immediately."""
        if self._checking is not None:
            self._checking.cancel()
        self.abort()

    def may_run_ahead(self, caller: CallerRequest) -> bool:
        """Return False: requests are handled one after the other."""
        return False

    def serve(self, exchange: EntryExchange, connection: EntryConnection) -> None:
        """Begin to respond."""
        exchange.task = asyncio.get_running_loop().create_task(
            self._run(exchange, connection)
        )

    def refuse(self, caller: CallerRequest, reason: str) -> HttpResponse:
        """Return the refusal of a request that is not handled."""
        log.info('Request refused.', listener=self._name, reason=reason)
        return plain_response(STATUS_UNAVAILABLE)

    async def _run(self, exchange: EntryExchange, connection: EntryConnection) -> None:
        if exchange.caller is None:
            raise ValueError('the request has not been received')
        try:
            exchange.response = await self._respond(exchange.caller.request)
        except Exception:
            log.exception('Request failed.', listener=self._name)
            exchange.response = plain_response(STATUS_INTERNAL_ERROR)
        exchange.release_request()
        connection.proceed()

    def _check(self) -> None:
        self.check_connections(LIMITS)


def plain_response(
    status: int, body: bytes = b'', content_type: str = 'text/plain'
) -> HttpResponse:
    """Return a response of this node.

    Args:
        status: HTTP status.
        body: The body.
        content_type: Its media type.
    """
    return HttpResponse(status, [[b'Content-Type', content_type.encode()]], body)
