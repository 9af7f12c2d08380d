"""A request on a connection of a caller, and its response."""

import asyncio
import dataclasses

from aiohttp import HttpVersion11
from aiohttp.http_parser import RawRequestMessage

from gentianmill_mesh.forwarder import CallerRequest
from gentianmill_mesh.head_room import HeadRoom
from gentianmill_mesh.http_message import HttpResponse
from gentianmill_mesh.request_room import RequestRoom
from gentianmill_mesh.response_encoder import BodyEnd, encode_response
from gentianmill_node.logs import component

__all__ = ('EntryExchange',)

STATUS_BAD_GATEWAY = 502

log = component('entry')


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

    arrived_ms: float = 0
    """Time in ms at which the head was complete, from which the time left counts."""

    room: RequestRoom | None = None
    """Room for the body."""

    head_room: HeadRoom | None = None
    """Room for the head."""

    is_dropped: bool = False

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

    @property
    def ends_connection(self) -> bool:
        """Return whether the connection must close to mark the end of the response.

        A body whose upstream marked its end in this way may have been cut by it, so that
        the node must not mark it as whole. An older caller can find the end of a body
        that still arrives in no other way.
        """
        response = self.response
        if response is None or not response.framed:
            return True
        stream = response.stream
        is_open = stream is not None and stream.length is None
        return is_open and not self.is_http11

    def body_end(self, *, closing: bool) -> BodyEnd:
        """Return how the caller finds the end of the body.

        Args:
            closing: Whether the connection closes after the response.
        """
        if self.ends_connection and closing:
            return BodyEnd.close
        stream = None if self.response is None else self.response.stream
        if stream is None or stream.length is not None:
            return BodyEnd.length
        return BodyEnd.chunks

    def replace_unmarked(self) -> None:
        """Replace a response whose end can't be marked, as the connection must go on.

        Requests behind this one were passed on, and their responses are owed.
        """
        log.info('Response without a length not delivered.')
        if self.response is not None:
            self.response.discard()
        self.response = HttpResponse(
            STATUS_BAD_GATEWAY, [], b'the end of the response is not known\n'
        )

    @property
    def head_bytes(self) -> int:
        """Return the bytes that the head takes."""
        return 0 if self.head_room is None else self.head_room.count

    def release_request(self) -> None:
        """Give back the room of the body, which is not needed any more."""
        if self.room is not None:
            self.room.release()

    def release(self) -> None:
        """Give back all room, as the exchange has ended."""
        self.release_request()
        if self.head_room is not None:
            self.head_room.release()

    def discard(self) -> None:
        """Drop the exchange, as nobody waits for its response."""
        self.is_dropped = True
        if self.task is not None:
            self.task.cancel()
        if self.response is not None:
            self.response.discard()
        self.release()

    def encode(self, response: HttpResponse, *, closing: bool) -> bytes:
        """Return the bytes of the response, without a body that still arrives.

        Args:
            response: The response.
            closing: Whether the connection closes after it.
        """
        body_end = self.body_end(closing=closing)
        connection = b''
        if closing:
            connection = b'close'
        elif not self.is_http11:
            connection = b'keep-alive'
        return encode_response(
            response, body_end, connection, with_body=self.wants_body
        )
