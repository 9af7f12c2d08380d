"""HTTP messages as the nodes forward them."""

import dataclasses
from collections.abc import Sequence

FIRST_SERVER_ERROR = 500

HeaderPairs = Sequence[Sequence[bytes]]


@dataclasses.dataclass(slots=True)
class HttpRequest:
    """A complete request, with its target and headers as they were sent."""

    method: str
    target: bytes
    headers: list[list[bytes]]
    body: bytes


@dataclasses.dataclass(slots=True)
class HttpResponse:
    """A complete response of an upstream."""

    status: int
    headers: list[list[bytes]]
    body: bytes
    framed: bool = True
    """Whether the length of the body is known. Otherwise the body ends when its
    connection closes, and a truncated body can't be detected."""

    attributed: bool = True
    """Whether it certainly belongs to this request: it carries the request's id, or
    the connection was not used before."""


def header(headers: HeaderPairs, name: bytes) -> bytes | None:
    """Return the first value of a header, or None.

    Args:
        headers: Pairs of name and value.
        name: Name in lower case.
    """
    for field_name, value in headers:
        if field_name.lower() == name:
            return value
    return None
