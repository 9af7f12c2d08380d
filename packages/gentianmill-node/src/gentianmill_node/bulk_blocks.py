"""Bulk bodies between nodes, in blocks that each carry a checksum.

TCP notices most damage, but its checksum has 16 bits; without TLS a changed byte in
a body could reach a caller as part of a whole answer. The first block holds the
status and the headers, an empty block ends the body.
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
_HEAD = struct.Struct('>II')
"""Length of the content and its CRC-32."""


class _AnswerHead(msgspec.Struct, array_like=True):
    status: int
    headers: dict[str, str]
    # Length of the body, or None if the upstream did not tell it.
    length: int | None


def block(content: bytes) -> bytes:
    """Return a block; one without content ends the body."""
    return _HEAD.pack(len(content), zlib.crc32(content)) + content


def head_block(source: BulkSource) -> bytes:
    """Return the first block of a response of the upstream."""
    length = source.span.length if source.span else None
    head = _AnswerHead(source.status, source.headers, length)
    return block(msgspec.msgpack.encode(head))


async def open_blocks(content: aiohttp.StreamReader, peer: str) -> BulkSource:
    """Return the source in a stream of blocks.

    Args:
        content: Body of the other node's response.
        peer: The other node, for errors.

    Raises:
        GentianmillError: With code ``protocol`` if a block is damaged or missing.
    """
    try:
        head = msgspec.msgpack.decode(await _read(content, peer), type=_AnswerHead)
    except msgspec.MsgspecError as error:
        raise _failure(peer, f'invalid head: {error}') from error
    return to_source(head.status, head.headers, head.length, _chunks(content, peer))


async def _chunks(content: aiohttp.StreamReader, peer: str) -> AsyncIterator[bytes]:
    while chunk := await _read(content, peer):
        yield chunk


async def _read(content: aiohttp.StreamReader, peer: str) -> bytes:
    try:
        length, checksum = _HEAD.unpack(await content.readexactly(_HEAD.size))
        if length > CHUNK_BYTES:
            raise _failure(peer, f'a block of {length} bytes')
        chunk = await content.readexactly(length)
    except asyncio.IncompleteReadError as error:
        raise _failure(peer, 'the body ended within a block') from error
    if zlib.crc32(chunk) != checksum:
        raise _failure(peer, 'a block with a wrong checksum')
    return chunk


def _failure(peer: str, message: str) -> GentianmillError:
    return GentianmillError(ErrorCode.protocol, STEP, peer, message, Outcome.unknown)
