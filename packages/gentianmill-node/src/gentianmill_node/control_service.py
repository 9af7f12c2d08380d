"""The control service of a node: probes, full exchanges and planning sheets."""

import abc
from typing import Any

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream

from gentianmill import control_pb2
from gentianmill.control_grpc import ControlBase
from gentianmill_node.control_auth import key_matches


class ControlAnswers(abc.ABC):
    """Answer control requests whose key was checked."""

    @abc.abstractmethod
    def answer_ping(self, request: control_pb2.PingRequest) -> control_pb2.PingReply:
        """Answer a direct probe."""

    @abc.abstractmethod
    async def answer_indirect(
        self, request: control_pb2.IndirectPingRequest
    ) -> control_pb2.IndirectPingReply:
        """Probe a target on behalf of the sender."""

    @abc.abstractmethod
    def answer_sync(self, request: control_pb2.SyncRequest) -> control_pb2.SyncReply:
        """Answer a full exchange."""

    @abc.abstractmethod
    def answer_fetch(
        self, request: control_pb2.FetchSheetRequest
    ) -> control_pb2.FetchSheetReply:
        """Return the sheet in force if it is newer than the one asked about."""


class ControlService(ControlBase):
    """Check the peer key before anything else and pass requests on."""

    def __init__(self, peer_key: str, answers: ControlAnswers) -> None:
        """Create the service.

        Args:
            peer_key: Key that all nodes share.
            answers: Answers the requests.
        """
        self._peer_key = peer_key
        self._answers = answers

    async def Ping(self, stream: Stream[Any, Any]) -> None:
        """Answer a direct probe."""
        request = await self._receive(stream)
        await stream.send_message(self._answers.answer_ping(request))

    async def IndirectPing(self, stream: Stream[Any, Any]) -> None:
        """Probe a target on behalf of the sender."""
        request = await self._receive(stream)
        await stream.send_message(await self._answers.answer_indirect(request))

    async def Sync(self, stream: Stream[Any, Any]) -> None:
        """Answer a full exchange."""
        request = await self._receive(stream)
        await stream.send_message(self._answers.answer_sync(request))

    async def FetchSheet(self, stream: Stream[Any, Any]) -> None:
        """Return the sheet in force."""
        request = await self._receive(stream)
        await stream.send_message(self._answers.answer_fetch(request))

    async def _receive(self, stream: Stream[Any, Any]) -> Any:
        if not key_matches(stream.metadata or {}, self._peer_key):
            raise GRPCError(Status.UNAUTHENTICATED, 'the peer key is wrong')
        request = await stream.recv_message()
        if request is None:
            raise GRPCError(Status.INVALID_ARGUMENT, 'the request is empty')
        return request
