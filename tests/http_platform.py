"""Serves the simulated platform over HTTP within a test."""

import contextlib
from collections.abc import AsyncIterator

from aiohttp import ClientSession, web

from gentianmill.settings_models import TableModel
from gentianmill_node.http_table import HttpTableStore
from standins.platform import Platform


@contextlib.asynccontextmanager
async def http_store(timeout_ms: int = 2000) -> AsyncIterator[tuple]:
    """Serve a platform; yield a client of its table, and the platform."""
    platform = Platform()
    # As with web.run_app, a handler continues after its client has disconnected.
    runner = web.AppRunner(platform.application())
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    url = f'http://127.0.0.1:{runner.addresses[0][1]}'
    try:
        async with ClientSession() as session:
            settings = TableModel(url=url, timeout_ms=timeout_ms)
            yield HttpTableStore(settings, session), platform
    finally:
        await runner.cleanup()
