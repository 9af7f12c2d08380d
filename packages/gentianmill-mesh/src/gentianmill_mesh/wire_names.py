"""Names of the headers that a deployment uses."""

import dataclasses

from gentianmill_mesh.http_message import HeaderPairs, header

_PER_CONNECTION = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    )
)
"""Headers of RFC 9110 that concern one connection, and those on framing."""


@dataclasses.dataclass(frozen=True, slots=True)
class WireNames:
    """Header names, in lower case, that the nodes read or set."""

    request_id: bytes
    """Id of one attempt of a caller; upstreams echo it."""

    time_left: bytes
    """Milliseconds for which the sender waits."""

    caller_service: bytes
    """Service on the VM where the request began."""

    expected_upstream: bytes
    """Id of the only upstream that may run the request."""

    not_run: bytes
    """Marks an answer of an upstream that did not run the request."""

    def forwarded(self, headers: HeaderPairs) -> list[list[bytes]]:
        """Return the headers of a request that are passed on unchanged.

        Args:
            headers: Pairs of name and value as received.
        """
        set_by_node = (self.time_left, self.caller_service, self.expected_upstream)
        listed = _connection_options(headers)
        return [
            [name, text]
            for name, text in headers
            if not _is_dropped(name.lower(), listed, set_by_node)
        ]

    def answered(self, headers: HeaderPairs) -> list[list[bytes]]:
        """Return the headers of an answer that are passed on unchanged."""
        listed = _connection_options(headers)
        return [
            [name, text]
            for name, text in headers
            if not _is_dropped(name.lower(), listed, ())
        ]


def compact(
    answer_headers: HeaderPairs, request_headers: HeaderPairs, request_id: bytes
) -> list[list[bytes]]:
    """Return the headers of an answer without those that the other node can add.

    Bytes between availability zones are paid by volume, and the echoed id of an
    inner call is often longer than the rest of its answer's headers.

    Args:
        answer_headers: Headers of the answer.
        request_headers: Headers of the request, which the other node sent.
        request_id: Name of the header that upstreams echo.
    """
    sent = header(request_headers, request_id)
    return [
        [name, text]
        for name, text in answer_headers
        if name.lower() != b'date' and (name.lower() != request_id or text != sent)
    ]


def restored(
    answer_headers: list[list[bytes]], request_headers: HeaderPairs, request_id: bytes
) -> list[list[bytes]]:
    """Return the headers of an answer with the echoed id that ``compact`` left out."""
    sent = header(request_headers, request_id)
    if sent is None or header(answer_headers, request_id) is not None:
        return answer_headers
    return [*answer_headers, [request_id, sent]]


def _connection_options(headers: HeaderPairs) -> set[bytes]:
    options: set[bytes] = set()
    for name, text in headers:
        if name.lower() == b'connection':
            options.update(option.strip().lower() for option in text.split(b','))
    return options


def _is_dropped(
    name: bytes, listed: set[bytes], set_by_node: tuple[bytes, ...]
) -> bool:
    return name in _PER_CONNECTION or name in listed or name in set_by_node
