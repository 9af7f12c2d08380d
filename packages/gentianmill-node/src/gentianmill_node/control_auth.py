"""Keys of the control listener and its clients."""

import hmac
import pathlib
from collections.abc import Mapping

PEER_KEY_HEADER = 'x-peer-key'
GRPC_PROTOCOLS = ('h2',)
"""gRPC runs over HTTP/2, which TLS peers agree on by ALPN."""


def read_key(path: str) -> str:
    """Read a key file.

    Args:
        path: File with one line of ASCII text.

    Raises:
        OSError: If the file cannot be read.
        ValueError: If the key is empty or not ASCII.
    """
    key = pathlib.Path(path).read_text(encoding='utf-8').strip()
    if not key or not key.isascii():
        raise ValueError(f'the key in {path} is empty or not ASCII')
    return key


def key_matches(metadata: Mapping[str, object], peer_key: str) -> bool:
    """Compare the key of a request with the own key in constant time."""
    offered = str(metadata.get(PEER_KEY_HEADER, ''))
    return hmac.compare_digest(offered.encode(), peer_key.encode())
