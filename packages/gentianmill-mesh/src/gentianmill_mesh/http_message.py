"""HTTP messages as the nodes pass them on."""

import dataclasses
from collections.abc import Sequence

FIRST_SERVER_ERROR = 500

HeaderPairs = Sequence[Sequence[bytes]]


@dataclasses.dataclass(slots=True)
class HttpRequest:
    """A whole request, with its target and headers as they were sent."""

    method: str
    target: bytes
    headers: list[list[bytes]]
    body: bytes


@dataclasses.dataclass(slots=True)
class HttpAnswer:
    """A whole answer of an upstream."""

    status: int
    headers: list[list[bytes]]
    body: bytes
    framed: bool = True
    """Whether the body has a length; otherwise it ends with its connection, and
    nobody can tell whether it is whole."""

    attributed: bool = True
    """Whether it is certainly for this request: it bears its id, or its connection
    had no request before."""


def header(headers: HeaderPairs, name: bytes) -> bytes | None:
    """Return the first value of a header, or None.

    Args:
        headers: Pairs of name and value.
        name: Name in lower case.
    """
    for found, text in headers:
        if found.lower() == name:
            return text
    return None
