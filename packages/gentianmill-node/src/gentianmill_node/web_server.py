"""Start and stop the HTTP listeners."""

import asyncio
import dataclasses
import socket
import ssl

from aiohttp import web

from gentianmill_node.listen_queue import HANDSHAKE_WAIT_S, refuse_new_connections
from gentianmill_node.listen_socket import BACKLOG, create_listen_socket

SHUTDOWN_TIMEOUT_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Listener:
    runner: web.BaseRunner
    socket: socket.socket


class WebServer:
    """Serve each web application or server on its own listener."""

    def __init__(self) -> None:
        """Create a server without listeners."""
        self._listeners: dict[str, _Listener] = {}

    async def start(
        self,
        name: str,
        app_or_server: web.Application | web.Server,
        host: str,
        port: int,
        tls: ssl.SSLContext | None,
    ) -> None:
        """Start a listener.

        Args:
            name: Name of the listener, used to stop it.
            app_or_server: Application or server that handles the requests.
            host: IP address to listen on.
            port: TCP port.
            tls: TLS context of the listener, or None without TLS.
        """
        listening_socket = create_listen_socket(host, port)
        runner = _runner(app_or_server)
        await runner.setup()
        site = web.SockSite(runner, listening_socket, ssl_context=tls, backlog=BACKLOG)
        await site.start()
        self._listeners[name] = _Listener(runner, listening_socket)

    def connections(self, name: str) -> int:
        """Return the number of open connections of a listener."""
        listener = self._listeners.get(name)
        if listener is None or listener.runner.server is None:
            return 0
        return len(listener.runner.server.connections)

    async def stop(self, name: str) -> None:
        """Stop a listener; running requests have ``SHUTDOWN_TIMEOUT_S`` to finish."""
        listener = self._listeners.pop(name, None)
        if listener:
            await listener.runner.cleanup()

    async def stop_accepting(self, name: str) -> None:
        """Close the listening socket; open connections stay open.

        Connections that the kernel has already established are accepted first.
        """
        listener = self._listeners.get(name)
        if listener is None:
            return
        refuse_new_connections(listener.socket)
        await asyncio.sleep(HANDSHAKE_WAIT_S)
        for site in tuple(listener.runner.sites):
            await site.stop()

    async def close(self) -> None:
        """Stop all listeners."""
        for name in tuple(self._listeners):
            await self.stop(name)


def _runner(app_or_server: web.Application | web.Server) -> web.BaseRunner:
    if isinstance(app_or_server, web.Server):
        return web.ServerRunner(app_or_server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
    return web.AppRunner(
        app_or_server,
        access_log=None,
        handler_cancellation=True,
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
    )
