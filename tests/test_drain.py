"""Tests of the graceful shutdown."""

import asyncio

from aiohttp import web
from gentianmill.settings_models import DrainModel
from gentianmill_node.direct_server import direct_server
from gentianmill_node.drain import drain
from gentianmill_node.event_loop import new_event_loop
from gentianmill_node.web_server import WebServer
from standins.processes import HOST, free_ports

PAUSE_S = 0.3
REQUEST = b'GET / HTTP/1.1\r\nHost: till.example\r\nConnection: close\r\n\r\n'


async def _respond(_request: web.BaseRequest) -> web.StreamResponse:
    return web.Response(body=b'whole')


async def _drained_server(server: WebServer) -> None:
    await drain(
        DrainModel(notice_ms=0, limit_ms=1000),
        int,
        lambda: server.connections('caller'),
        lambda: server.stop_accepting('caller'),
    )
    await server.close()


async def _send_late() -> bytes:
    server = WebServer()
    port = free_ports(1)[0]
    await server.start('caller', direct_server(_respond, 1000), HOST, port, None)
    reader, writer = await asyncio.open_connection(HOST, port)
    draining = asyncio.ensure_future(_drained_server(server))
    await asyncio.sleep(PAUSE_S)
    writer.write(REQUEST)
    reply = await reader.read()
    await draining
    return reply


def test_a_connected_caller_may_still_send():
    """Guards against disconnecting a caller whose request arrives during the stop."""
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        assert runner.run(_send_late()).endswith(b'whole')
