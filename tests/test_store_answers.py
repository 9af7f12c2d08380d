"""Answers of the platform's store that never end are not kept."""

import asyncio

import pytest
from endless_upstream import BLOCK, OK, EndlessUpstream, peak_growth_bytes
from gentianmill.errors import GentianmillError
from gentianmill_mesh.mesh_settings import Address
from gentianmill_platform.store import Store

TIME_S = 30

MOST_BYTES = 100 * 1024 * 1024
"""Memory that an answer may take, with copies; VMs have 200 MB and more."""

HEAD = OK + b'Content-Type: application/json\r\n'
ENDLESS = {
    'body without a length': (HEAD + b'\r\n', BLOCK),
    'body of a huge length': (HEAD + b'Content-Length: 99999999999\r\n\r\n', BLOCK),
    'chunks': (
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n',
        b'10000\r\n' + BLOCK + b'\r\n',
    ),
    'headers': (HEAD, b'a: b\r\n' * 100),
}


@pytest.mark.parametrize('name', ENDLESS)
def test_store_answer_without_end_is_given_up(name: str):
    """It was collected up to the time of the call, and filled the memory of a node."""

    async def scenario() -> str:
        async with EndlessUpstream(*ENDLESS[name]) as upstream:
            store = Store(Address('127.0.0.1', upstream.port))
            await store.start()
            with pytest.raises(GentianmillError) as caught:
                await store.read('nodes')
            await asyncio.wait_for(upstream.ended.wait(), TIME_S)
            await store.close()
            return str(caught.value)

    message, grown = peak_growth_bytes(scenario())
    assert 'no answer' in message
    assert grown < MOST_BYTES
