"""Keys read from files."""

import hmac
from pathlib import Path


def read_key(path: str) -> str:
    """Return the key in a file."""
    return Path(path).read_text(encoding='utf-8').strip()


def same_key(left: str, right: str) -> bool:
    """Compare two keys in constant time."""
    return hmac.compare_digest(left.encode(), right.encode())
