"""Sources of bulk bodies: an open response whose chunks arrive one by one."""

import dataclasses
import re
from collections.abc import AsyncIterator

import aiohttp

from gentianmill_node.headers import end_to_end

CHUNK_BYTES = 64 * 1024
STATUS_OK = 200
STATUS_PARTIAL = 206
_CONTENT_RANGE = re.compile(r'^bytes (\d+)-(\d+)/(\d+)$')


@dataclasses.dataclass(frozen=True, slots=True)
class ByteRange:
    """Part of a body: offset of the first byte and offset after the last one."""

    start: int
    end: int

    @property
    def length(self) -> int:
        """Return the number of bytes."""
        return self.end - self.start


@dataclasses.dataclass(slots=True)
class BulkSource:
    """An open bulk response.

    ``span`` is None if the length of the body is not known; such a body cannot be
    checked for completeness by its length, nor resumed. ``etag`` is the strong
    entity tag, or an empty string.
    """

    status: int
    headers: dict[str, str]
    span: ByteRange | None
    etag: str
    chunks: AsyncIterator[bytes]

    @property
    def has_body(self) -> bool:
        """Return whether the response carries the body or a part of it."""
        return self.status in {STATUS_OK, STATUS_PARTIAL}


def open_source(response: aiohttp.ClientResponse) -> BulkSource:
    """Return the source that reads a response in chunks."""
    return BulkSource(
        status=response.status,
        headers=end_to_end(response.headers),
        span=_span(response),
        etag=_strong_tag(response.headers.get('ETag', '')),
        chunks=response.content.iter_chunked(CHUNK_BYTES),
    )


def _strong_tag(tag: str) -> str:
    return '' if tag.startswith('W/') else tag


def _span(response: aiohttp.ClientResponse) -> ByteRange | None:
    match = _CONTENT_RANGE.match(response.headers.get('Content-Range', ''))
    if match and response.status == STATUS_PARTIAL:
        return ByteRange(int(match.group(1)), int(match.group(2)) + 1)
    if response.content_length is None:
        return None
    return ByteRange(0, response.content_length)
