"""Rendezvous hashing: all nodes with the same members pick the same one.

Source: Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit
Rates", 1998.
"""

import hashlib
from collections.abc import Iterable

SCORE_BYTES = 8


def score(key: str, node_id: str) -> int:
    """Return the 64-bit score of a node for a key."""
    text = f'{node_id}\n{key}'.encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=SCORE_BYTES).digest())


def pick(key: str, node_ids: Iterable[str]) -> str | None:
    """Return the node with the highest score for a key, or None if there is none."""
    return max(node_ids, key=lambda node_id: score(key, node_id), default=None)
