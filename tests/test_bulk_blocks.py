"""Tests of the blocks in which nodes forward bulk bodies."""

import asyncio

import aiohttp
import pytest
from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill_node.bulk_blocks import block, head_block, open_blocks
from gentianmill_node.bulk_source import BulkSource, to_source

HEADERS = {'Etag': '"v1"', 'Content-Type': 'application/pdf'}


def _head() -> bytes:
    return head_block(to_source(200, HEADERS, 6, chunks=None))


def _read(message: bytes) -> tuple[BulkSource, bytes]:
    """Return the source in a message and its complete body."""

    async def scenario() -> tuple[BulkSource, bytes]:
        loop = asyncio.get_running_loop()
        protocol = aiohttp.base_protocol.BaseProtocol(loop)
        content = aiohttp.StreamReader(protocol, 2**16, loop=loop)
        content.feed_data(message)
        content.feed_eof()
        source = await open_blocks(content, 'peer')
        return source, b''.join([chunk async for chunk in source.chunks])

    return asyncio.run(scenario())


def test_a_body_arrives_as_it_was_sent():
    """Guards against losing the status, length or tag needed to resume a download."""
    source, body = _read(_head() + block(b'abc') + block(b'def') + block(b''))
    assert body == b'abcdef'
    assert (source.status, source.etag, source.span.end) == (200, '"v1"', 6)


@pytest.mark.parametrize('place', range(len(_head() + block(b'abc') + block(b''))))
def test_each_changed_byte_is_noticed(place: int):
    """Guards against a corrupt body, status or length that reaches a caller."""
    message = bytearray(_head() + block(b'abc') + block(b''))
    message[place] ^= 1
    with pytest.raises(GentianmillError) as caught:
        _read(bytes(message))
    assert caught.value.code is ErrorCode.protocol


def test_a_body_that_ends_early_is_refused():
    """Guards against accepting a body whose connection closed between two blocks."""
    with pytest.raises(GentianmillError):
        _read(_head() + block(b'abc'))
