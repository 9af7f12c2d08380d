"""HTTP messages as the nodes forward them."""

import dataclasses
from collections.abc import Sequence

from gentianmill_mesh.body_buffer import Body
from gentianmill_mesh.body_stream import BodyStream

FIRST_SERVER_ERROR = 500

HeaderPairs = Sequence[Sequence[bytes]]


@dataclasses.dataclass(slots=True)
class HttpRequest:
    """A complete request, with its target and headers as they were sent."""

    method: str
    target: bytes
    # Not in the representation, as they hold the credentials of callers.
    headers: list[list[bytes]] = dataclasses.field(repr=False)
    body: Body


@dataclasses.dataclass(slots=True)
class HttpResponse:
    """A response of an upstream, whole or with a body that arrives."""

    status: int
    headers: list[list[bytes]]
    body: Body
    stream: BodyStream | None = None
    """Carries the body while it arrives; ``body`` is empty then."""

    framed: bool = True
    """Whether the end of the body is marked. Otherwise it is the end of the connection,
    and a body that its upstream has cut can't be told from a whole one."""

    attributed: bool = True
    """Whether it certainly belongs to this request: it carries the request's id, or
    the connection was not used before."""

    def discard(self) -> None:
        """Stop a body that nobody takes."""
        if self.stream is not None:
            self.stream.cancel()


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
