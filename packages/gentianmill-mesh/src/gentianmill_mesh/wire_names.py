"""Names of the headers that a deployment uses."""

import dataclasses

from gentianmill_mesh.http_message import HeaderPairs, header

_HOP_BY_HOP = frozenset(
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
"""Hop-by-hop headers of RFC 9110 and headers on message framing."""


@dataclasses.dataclass(frozen=True, slots=True)
class WireNames:
    """Header names, in lower case, that the nodes read or set."""

    request_id: bytes
    """Id of one attempt of a caller; upstreams return it in the response."""

    time_left: bytes
    """Time for which the sender waits, in ms."""

    caller_service: bytes
    """Service on the VM from which the request was sent."""

    expected_upstream: bytes
    """Id of the only upstream that may run the request."""

    not_run: bytes
    """Marks the response of an upstream that did not run the request."""

    key: bytes
    """Scheme and key of the caller's team."""

    key_scheme: bytes
    """Scheme in front of a key, compared without regard to case."""

    team: bytes
    """Name of the team whose key the request carried."""

    @property
    def request_id_text(self) -> str:
        """Return the name of the header with the id of an attempt."""
        return self.request_id.decode()

    @property
    def time_left_text(self) -> str:
        """Return the name of the header with the time for which the sender waits."""
        return self.time_left.decode()

    def keys(self, headers: HeaderPairs) -> tuple[bytes, ...]:
        """Return the keys in a request; one of another scheme is empty.

        Args:
            headers: Pairs of name and value as received.
        """
        return tuple(
            _key(value, self.key_scheme)
            for name, value in headers
            if name.lower() == self.key
        )

    def without_team(self, headers: HeaderPairs) -> list[list[bytes]]:
        """Return the headers of a request without keys and names of teams."""
        dropped = (self.key, self.team)
        return [[name, value] for name, value in headers if name.lower() not in dropped]

    def forwarded_request(self, headers: HeaderPairs) -> list[list[bytes]]:
        """Return the headers of a request that are forwarded unchanged.

        Args:
            headers: Pairs of name and value as received.
        """
        set_by_node = (self.time_left, self.caller_service, self.expected_upstream)
        hop_by_hop = _connection_options(headers)
        return [
            [name, value]
            for name, value in headers
            if not _is_dropped(name.lower(), hop_by_hop, set_by_node)
        ]

    def forwarded_response(self, headers: HeaderPairs) -> list[list[bytes]]:
        """Return the headers of a response that are forwarded unchanged."""
        hop_by_hop = _connection_options(headers)
        return [
            [name, value]
            for name, value in headers
            if not _is_dropped(name.lower(), hop_by_hop, ())
        ]


def compact_headers(
    response_headers: HeaderPairs, request_headers: HeaderPairs, request_id: bytes
) -> list[list[bytes]]:
    """Return the headers of a response without those that the other node can add.

    Traffic between availability zones costs money per byte, and the echoed id of a
    call that an upstream makes is often longer than all other headers of its response.

    Args:
        response_headers: Headers of the response.
        request_headers: Headers of the request, which the other node sent.
        request_id: Name of the header that upstreams echo.
    """
    sent = header(request_headers, request_id)
    return [
        [name, value]
        for name, value in response_headers
        if name.lower() != b'date' and (name.lower() != request_id or value != sent)
    ]


def restore_headers(
    response_headers: list[list[bytes]], request_headers: HeaderPairs, request_id: bytes
) -> list[list[bytes]]:
    """Return the headers of a response with the echoed id that was left out."""
    sent = header(request_headers, request_id)
    if sent is None or header(response_headers, request_id) is not None:
        return response_headers
    return [*response_headers, [request_id, sent]]


def _key(value: bytes, expected_scheme: bytes) -> bytes:
    scheme, _, key = value.strip().partition(b' ')
    return key.strip() if scheme.lower() == expected_scheme.lower() else b''


def _connection_options(headers: HeaderPairs) -> set[bytes]:
    options: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b'connection':
            options.update(option.strip().lower() for option in value.split(b','))
    return options


def _is_dropped(
    name: bytes, hop_by_hop: set[bytes], set_by_node: tuple[bytes, ...]
) -> bool:
    return name in _HOP_BY_HOP or name in hop_by_hop or name in set_by_node
