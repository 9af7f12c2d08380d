"""Tests of the HTTP listeners."""

import asyncio
import socket
import time

from aiohttp import web
from gentianmill_node.direct_server import direct_server
from gentianmill_node.event_loop import new_event_loop
from gentianmill_node.web_server import WebServer
from standins.processes import HOST, free_ports

CALLERS = 20
LIMIT_S = 10
REQUEST = b'GET / HTTP/1.1\r\nHost: till.example\r\nConnection: close\r\n\r\n'


async def _respond(_request: web.BaseRequest) -> web.StreamResponse:
    return web.Response(body=b'whole')


async def _connect_while_busy(port: int) -> list[socket.socket]:
    """Connect and send from the loop's thread, so that nothing is accepted yet."""
    callers = [socket.create_connection((HOST, port)) for _ in range(CALLERS)]
    for caller in callers:
        caller.sendall(REQUEST)
    time.sleep(0.01)
    return callers


def _read_response(caller: socket.socket) -> bytes:
    caller.settimeout(LIMIT_S)
    received = b''
    while data := caller.recv(65536):
        received += data
    return received


async def _stop_with_waiting_callers() -> list[bytes]:
    server = WebServer()
    port = free_ports(1)[0]
    await server.start('caller', direct_server(_respond, 1000), HOST, port, None)
    callers = await _connect_while_busy(port)
    await server.stop_accepting('caller')
    loop = asyncio.get_running_loop()
    responses = await asyncio.gather(
        *(loop.run_in_executor(None, _read_response, caller) for caller in callers)
    )
    await server.close()
    return responses


def test_connections_not_accepted_yet_are_served():
    """Guards against a listener that resets sent requests when it closes under load."""
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        responses = runner.run(_stop_with_waiting_callers())
    assert len(responses) == CALLERS
    assert all(response.endswith(b'whole') for response in responses)


async def _connect_after_stop() -> None:
    server = WebServer()
    port = free_ports(1)[0]
    await server.start('caller', direct_server(_respond, 1000), HOST, port, None)
    await server.stop_accepting('caller')
    try:
        await asyncio.open_connection(HOST, port)
    finally:
        await server.close()


def test_connections_after_the_stop_are_refused():
    """Guards against a caller that connects after the stop and gets no response."""
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        try:
            runner.run(_connect_after_stop())
        except ConnectionRefusedError:
            return
    raise AssertionError('the connection was accepted')
