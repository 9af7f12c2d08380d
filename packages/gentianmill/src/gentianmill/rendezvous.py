"""Rendezvous hashing: all nodes with the same member list pick the same node.

Source: Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit
Rates", 1998.
"""

import hashlib
from collections.abc import Iterable

SCORE_BYTES = 8
MASK = 0xFFFFFFFFFFFFFFFF


def score(key: str, node_id: str) -> int:
    """Return the 64-bit score of a node for a key."""
    text = f'{node_id}\n{key}'.encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=SCORE_BYTES).digest())


def pick(key: str, node_ids: Iterable[str]) -> str | None:
    """Return the node with the highest score for a key, or None if there is none."""
    return max(node_ids, key=lambda node_id: score(key, node_id), default=None)


def hash_text(text: str) -> int:
    """Return the 64-bit hash of a key or node id, as input for ``mix``."""
    digest = hashlib.blake2b(text.encode(), digest_size=SCORE_BYTES).digest()
    return int.from_bytes(digest)


def mix(key_hash: int, node_hash: int) -> int:
    """Return the 64-bit score of a node from the hashes of a key and a node id.

    It costs about a third of ``score``, since both hashes can be cached.
    """
    return (key_hash | 1) * node_hash & MASK
