"""Encodes responses for callers, with the headers byte for byte as received."""

import enum
from http import HTTPStatus

from gentianmill_mesh.http_message import HttpResponse

__all__ = ('BodyEnd', 'encode_response')

_BODILESS = frozenset((204, 304))
"""Statuses whose responses have no body and no length, by RFC 9110."""


class BodyEnd(enum.Enum):
    """How a caller finds the end of a body."""

    length = 'length'
    chunks = 'chunks'
    close = 'close'


def encode_response(
    response: HttpResponse, body_end: BodyEnd, connection: bytes, *, with_body: bool
) -> bytes:
    """Return the bytes of a response.

    Args:
        response: The response of the upstream, without hop-by-hop headers.
        body_end: How the end of the body is marked.
        connection: Value of the Connection header, or nothing.
        with_body: Whether the request asked for a body.
    """
    status = response.status
    lines = [b'HTTP/1.1 %d %b' % (status, _reason(status))]
    lines.extend(b'%b: %b' % (name, text) for name, text in response.headers)
    if status not in _BODILESS:
        lines.extend(_framing(response, body_end))
    if connection:
        lines.append(b'Connection: %b' % connection)
    has_body = with_body and status not in _BODILESS
    lines.extend((b'', response.body if has_body else b''))
    return b'\r\n'.join(lines)


def _framing(response: HttpResponse, body_end: BodyEnd) -> list[bytes]:
    if body_end is BodyEnd.length:
        stream = response.stream
        length = len(response.body) if stream is None else stream.length
        return [b'Content-Length: %d' % length]
    if body_end is BodyEnd.chunks:
        return [b'Transfer-Encoding: chunked']
    return []


def _reason(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        # Upstreams may use a status without a registered phrase.
        return b'Unknown'
