"""A request on a connection of a caller, and its response."""

import asyncio
import dataclasses

from aiohttp import HttpVersion11
from aiohttp.http_parser import RawRequestMessage

from gentianmill_mesh.forwarder import CallerRequest
from gentianmill_mesh.http_message import HttpResponse
from gentianmill_mesh.response_encoder import BodyEnd, encode_response

__all__ = ('EntryExchange',)


@dataclasses.dataclass(slots=True)
class EntryExchange:
    """A request that was received, completely or not, and what became of it."""

    caller: CallerRequest | None = None
    """The request; None if it is malformed or its body has not ended."""

    keeps_alive: bool = False
    """Whether the caller lets the connection go on after the response."""

    is_http11: bool = True
    wants_body: bool = True
    awaits_continue: bool = False
    """Whether the caller sends the body only after an interim response."""

    response: HttpResponse | None = None
    task: 'asyncio.Task[None] | None' = None

    @classmethod
    def of(cls, message: RawRequestMessage) -> 'EntryExchange':
        """Return the exchange of a request whose head was received.

        Args:
            message: The head.
        """
        return cls(
            keeps_alive=not (message.should_close or message.upgrade),
            is_http11=message.version >= HttpVersion11,
            wants_body=message.method != 'HEAD',
        )

    @classmethod
    def ended_by(cls, response: HttpResponse) -> 'EntryExchange':
        """Return an exchange that ends the connection with a response of the node.

        Args:
            response: Says why the connection ends.
        """
        return cls(response=response)

    @property
    def started(self) -> bool:
        """Return whether the request was handled, so that its response is owed."""
        return self.task is not None or self.response is not None

    def encode(self, response: HttpResponse, *, closing: bool) -> bytes:
        """Return the bytes of the response.

        A body without a length ends with the connection, as adding a length would hide
        that it may be cut. Only where the connection must go on, since requests behind
        this one were passed on, it is sent in chunks.

        Args:
            response: The response.
            closing: Whether the connection closes after it.
        """
        body_end = BodyEnd.length
        if not response.framed:
            body_end = BodyEnd.close if closing else BodyEnd.chunks
        connection = b''
        if closing:
            connection = b'close'
        elif not self.is_http11:
            connection = b'keep-alive'
        return encode_response(
            response, body_end, connection, with_body=self.wants_body
        )
