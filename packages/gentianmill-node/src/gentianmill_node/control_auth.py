"""Keys of the control listener and its clients."""

from collections.abc import Mapping

from gentianmill_node.keys import same_key

PEER_KEY_HEADER = 'x-peer-key'
GRPC_PROTOCOLS = ('h2',)
"""gRPC runs over HTTP/2, which TLS peers agree on by ALPN."""


def key_matches(metadata: Mapping[str, object], peer_key: str) -> bool:
    """Compare the key of a request with the own key in constant time."""
    offered = str(metadata.get(PEER_KEY_HEADER, ''))
    return same_key(offered.encode(), peer_key.encode())
