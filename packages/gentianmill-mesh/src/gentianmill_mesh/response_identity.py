"""Which response on a connection belongs to the current request."""

from aiohttp.http_parser import RawResponseMessage

from gentianmill_mesh.body_buffer import Body
from gentianmill_mesh.body_stream import BodyStream
from gentianmill_mesh.http_message import HttpResponse, header

__all__ = ('ResponseIdentity',)


class ResponseIdentity:
    """Match the ids that an upstream echoes with those of the requests."""

    def __init__(self, id_header: bytes) -> None:
        """Create the identity of a new connection.

        Args:
            id_header: Name of the header with the id, in lower case.
        """
        self._id_header = id_header
        self._expected_id: bytes | None = None
        self._requests = 0
        self._echoes_ids = False

    def begin(self, request_id: bytes | None) -> None:
        """Expect the response to a request.

        Args:
            request_id: Its id, or None if it has none.
        """
        self._expected_id = request_id
        self._requests += 1

    def is_other(self, message: RawResponseMessage) -> bool:
        """Return whether a response belongs to another request."""
        if self._expected_id is None:
            return False
        response_id = header(message.raw_headers, self._id_header)
        if response_id is None:
            return self._echoes_ids
        return response_id != self._expected_id

    def response(
        self,
        message: RawResponseMessage,
        body: Body,
        stream: BodyStream | None = None,
        *,
        framed: bool,
    ) -> HttpResponse:
        """Return the response to the current request."""
        has_id = header(message.raw_headers, self._id_header) is not None
        self._echoes_ids |= has_id
        return HttpResponse(
            message.code,
            [list(pair) for pair in message.raw_headers],
            body,
            stream,
            framed,
            attributed=self._requests == 1 or has_id,
        )
