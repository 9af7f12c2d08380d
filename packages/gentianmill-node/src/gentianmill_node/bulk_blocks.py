"""Bulk bodies between nodes, in blocks with a checksum each.

TCP detects most corruption, but its checksum has only 16 bits; without TLS a
corrupted byte in a body could reach a caller in a response that looks complete. The
first block holds the status and the headers, an empty block ends the body.
"""

import asyncio
import struct
import zlib
from collections.abc import AsyncIterator

import aiohttp
import msgspec
from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill.outcome import Outcome

from gentianmill_node.bulk_source import CHUNK_BYTES, BulkSource, to_source

STEP = 'bulk'
_BLOCK_HEADER = struct.Struct('>II')
"""Length of the content in bytes and its CRC-32."""


class _ResponseHead(msgspec.Struct, array_like=True):
    status: int
    headers: dict[str, str]
    # Length of the body in bytes, or None if the upstream did not announce it.
    length: int | None


def block(content: bytes) -> bytes:
    """Return the encoded block of some content; an empty one ends the body."""
    return _BLOCK_HEADER.pack(len(content), zlib.crc32(content)) + content


def head_block(source: BulkSource) -> bytes:
    """Return the first block of a response: its status, headers and length."""
    length = source.span.length if source.span else None
    head = _ResponseHead(source.status, source.headers, length)
    return block(msgspec.msgpack.encode(head))


async def open_blocks(content: aiohttp.StreamReader, peer: str) -> BulkSource:
    """Return the source that reads a stream of blocks.

    Args:
        content: Body of the other node's response.
        peer: The other node, for errors.

    Raises:
        GentianmillError: With code ``protocol`` if a block is corrupted or missing.
    """
    try:
        head = msgspec.msgpack.decode(
            await _read_block(content, peer), type=_ResponseHead
        )
    except msgspec.MsgspecError as error:
        raise _protocol_error(peer, f'invalid head: {error}') from error
    return to_source(head.status, head.headers, head.length, _chunks(content, peer))


async def _chunks(content: aiohttp.StreamReader, peer: str) -> AsyncIterator[bytes]:
    while chunk := await _read_block(content, peer):
        yield chunk


async def _read_block(content: aiohttp.StreamReader, peer: str) -> bytes:
    try:
        length, checksum = _BLOCK_HEADER.unpack(
            await content.readexactly(_BLOCK_HEADER.size)
        )
        if length > CHUNK_BYTES:
            raise _protocol_error(peer, f'a block of {length} bytes')
        chunk = await content.readexactly(length)
    except asyncio.IncompleteReadError as error:
        raise _protocol_error(peer, 'the body ended within a block') from error
    if zlib.crc32(chunk) != checksum:
        raise _protocol_error(peer, 'a block with a wrong checksum')
    return chunk


def _protocol_error(peer: str, message: str) -> GentianmillError:
    return GentianmillError(ErrorCode.protocol, STEP, peer, message, Outcome.unknown)
