"""Authentication of control calls between nodes."""

from collections.abc import Mapping

from gentianmill_node.auth_keys import same_key

PEER_KEY_HEADER = 'x-peer-key'
GRPC_PROTOCOLS = ('h2',)
"""ALPN protocols to offer; gRPC requires HTTP/2."""


def key_matches(metadata: Mapping[str, object], peer_key: str) -> bool:
    """Return whether a request carries the peer key; compares in constant time."""
    offered = str(metadata.get(PEER_KEY_HEADER, ''))
    return same_key(offered.encode(), peer_key.encode())
