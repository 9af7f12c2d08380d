"""Tests that unbounded responses of the platform's store are not buffered."""

import asyncio

import pytest
from endless_upstream import BLOCK, OK, EndlessUpstream, peak_growth_bytes
from gentianmill.errors import GentianmillError
from gentianmill_mesh.mesh_settings import Address
from gentianmill_platform.store import Store

CLOSE_TIMEOUT_S = 30

MAX_GROWTH_BYTES = 100 * 1024 * 1024
"""Memory that a response may take, with copies; VMs have 200 MB and more."""

HEAD = OK + b'Content-Type: application/json\r\n'
UNBOUNDED = {
    'body without a length': (HEAD + b'\r\n', BLOCK),
    'body of a huge length': (HEAD + b'Content-Length: 99999999999\r\n\r\n', BLOCK),
    'chunks': (
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n',
        b'10000\r\n' + BLOCK + b'\r\n',
    ),
    'headers': (HEAD, b'a: b\r\n' * 100),
}


@pytest.mark.parametrize('name', UNBOUNDED)
def test_unbounded_store_response_is_abandoned(name: str):
    """Guards against buffering until the timeout, which fills the memory of a node."""

    async def scenario() -> str:
        async with EndlessUpstream(*UNBOUNDED[name]) as upstream:
            store = Store(Address('127.0.0.1', upstream.port))
            await store.start()
            with pytest.raises(GentianmillError) as caught:
                await store.read('nodes')
            await asyncio.wait_for(upstream.client_closed.wait(), CLOSE_TIMEOUT_S)
            await store.close()
            return str(caught.value)

    message, grown = peak_growth_bytes(scenario())
    assert 'no answer' in message
    assert grown < MAX_GROWTH_BYTES
