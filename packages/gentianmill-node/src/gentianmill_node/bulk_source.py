"""Sources of bulk bodies: open responses that are read in chunks."""

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

    ``span`` is None if the length of the body is unknown; such a body can neither
    be checked for completeness by its length nor be resumed. ``etag`` is the strong
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
    return to_source(
        response.status,
        end_to_end(response.headers),
        response.content_length,
        response.content.iter_chunked(CHUNK_BYTES),
    )


def to_source(
    status: int,
    headers: dict[str, str],
    length: int | None,
    chunks: AsyncIterator[bytes],
) -> BulkSource:
    """Return the source of a response.

    Args:
        status: Its status.
        headers: Its end-to-end headers.
        length: Length of its body in bytes, or None if it is unknown.
        chunks: Its body.
    """
    lower_headers = {name.lower(): text for name, text in headers.items()}
    tag = lower_headers.get('etag', '')
    return BulkSource(
        status=status,
        headers=headers,
        span=_span(status, lower_headers, length),
        etag='' if tag.startswith('W/') else tag,
        chunks=chunks,
    )


def _span(status: int, headers: dict[str, str], length: int | None) -> ByteRange | None:
    match = _CONTENT_RANGE.match(headers.get('content-range', ''))
    if match and status == STATUS_PARTIAL:
        return ByteRange(int(match.group(1)), int(match.group(2)) + 1)
    return None if length is None else ByteRange(0, length)
