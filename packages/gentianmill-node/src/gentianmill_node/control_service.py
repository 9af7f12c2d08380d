"""gRPC service of a node for probes, full member exchanges and planning sheets."""

import abc
from typing import Any

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream

from gentianmill import control_pb2
from gentianmill.control_grpc import ControlBase
from gentianmill_node.control_auth import key_matches


class ControlHandler(abc.ABC):
    """Handle control requests that passed the peer key check."""

    @abc.abstractmethod
    def handle_ping(self, request: control_pb2.PingRequest) -> control_pb2.PingReply:
        """Respond to a direct probe."""

    @abc.abstractmethod
    async def handle_indirect_ping(
        self, request: control_pb2.IndirectPingRequest
    ) -> control_pb2.IndirectPingReply:
        """Probe a target on behalf of the sender."""

    @abc.abstractmethod
    def handle_sync(self, request: control_pb2.SyncRequest) -> control_pb2.SyncReply:
        """Merge the sender's member table and return this node's table."""

    @abc.abstractmethod
    def handle_fetch_sheet(
        self, request: control_pb2.FetchSheetRequest
    ) -> control_pb2.FetchSheetReply:
        """Return the sheet in force if it is newer than the requested version."""


class ControlService(ControlBase):
    """Check the peer key of each request, then pass the request to a handler."""

    def __init__(self, peer_key: str, handler: ControlHandler) -> None:
        """Create the service.

        Args:
            peer_key: Key that all nodes share.
            handler: Handles the requests.
        """
        self._peer_key = peer_key
        self._handler = handler

    async def Ping(self, stream: Stream[Any, Any]) -> None:
        """Respond to a direct probe."""
        request = await self._receive(stream)
        await stream.send_message(self._handler.handle_ping(request))

    async def IndirectPing(self, stream: Stream[Any, Any]) -> None:
        """Probe a target on behalf of the sender."""
        request = await self._receive(stream)
        await stream.send_message(await self._handler.handle_indirect_ping(request))

    async def Sync(self, stream: Stream[Any, Any]) -> None:
        """Merge the sender's member table and return this node's table."""
        request = await self._receive(stream)
        await stream.send_message(self._handler.handle_sync(request))

    async def FetchSheet(self, stream: Stream[Any, Any]) -> None:
        """Return the sheet in force if it is newer than the requested version."""
        request = await self._receive(stream)
        await stream.send_message(self._handler.handle_fetch_sheet(request))

    async def _receive(self, stream: Stream[Any, Any]) -> Any:
        if not key_matches(stream.metadata or {}, self._peer_key):
            raise GRPCError(Status.UNAUTHENTICATED, 'the peer key is wrong')
        request = await stream.recv_message()
        if request is None:
            raise GRPCError(Status.INVALID_ARGUMENT, 'the request is empty')
        return request
