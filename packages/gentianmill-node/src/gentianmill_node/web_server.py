"""Start and stop the HTTP listeners."""

import ssl

from aiohttp import web

SHUTDOWN_TIMEOUT_S = 5.0


class WebServer:
    """Serve web applications and servers on their addresses."""

    def __init__(self) -> None:
        """Create a server without listeners."""
        self._runners: dict[str, web.BaseRunner] = {}

    async def start(
        self,
        name: str,
        served: web.Application | web.Server,
        host: str,
        port: int,
        tls: ssl.SSLContext | None,
    ) -> None:
        """Start a listener.

        Args:
            name: Name of the listener, used to stop it.
            served: Application or server that takes the requests.
            host: Address to listen on.
            port: TCP port.
            tls: TLS context of the listener, or None without TLS.
        """
        runner = _runner(served)
        await runner.setup()
        site = web.TCPSite(
            runner, host, port, ssl_context=tls, reuse_address=True, backlog=1024
        )
        await site.start()
        self._runners[name] = runner

    async def stop(self, name: str) -> None:
        """Stop a listener; requests that run are finished within the timeout."""
        runner = self._runners.pop(name, None)
        if runner:
            await runner.cleanup()

    async def stop_accepting(self, name: str) -> None:
        """Close the listening socket; open connections stay."""
        runner = self._runners.get(name)
        if runner:
            for site in tuple(runner.sites):
                await site.stop()

    async def close(self) -> None:
        """Stop all listeners."""
        for name in tuple(self._runners):
            await self.stop(name)


def _runner(served: web.Application | web.Server) -> web.BaseRunner:
    if isinstance(served, web.Server):
        return web.ServerRunner(served, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
    return web.AppRunner(
        served,
        access_log=None,
        handler_cancellation=True,
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
    )
