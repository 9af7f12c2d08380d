"""Digests of calls and bodies."""

import hashlib

DIGEST_BYTES = 16


def call_digest(service: str, method: str, path: str, body: bytes) -> bytes:
    """Return a digest that identifies the content of a call.

    Args:
        service: Name of the service.
        method: HTTP method in capitals.
        path: Path with query string.
        body: Complete body.

    Returns:
        16 bytes; equal for equal content.
    """
    head = f'{service}\n{method}\n{path}\n'.encode()
    return hashlib.blake2b(head + body, digest_size=DIGEST_BYTES).digest()


def body_digest(body: bytes) -> bytes:
    """Return the 16-byte digest of a body, used to detect damaged responses."""
    return hashlib.blake2b(body, digest_size=DIGEST_BYTES).digest()
