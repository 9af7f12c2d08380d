"""gRPC client for control calls to other nodes."""

import asyncio
import ssl
from collections.abc import Callable
from typing import Any

from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from gentianmill import control_pb2
from gentianmill.clock import Clock
from gentianmill.control_grpc import ControlStub
from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill_node.channel_pool import Address, ChannelPool
from gentianmill_node.control_auth import PEER_KEY_HEADER

MS_PER_S = 1000
_STEP = 'control'


class ControlClient:
    """Send control calls; each failure is raised as a ``GentianmillError``."""

    def __init__(
        self, clock: Clock, peer_key: str, tls: ssl.SSLContext | None = None
    ) -> None:
        """Create a client without open channels.

        Args:
            clock: Clock for the idle time of channels.
            peer_key: Key that all nodes share.
            tls: Context for TLS; None for plain TCP.
        """
        self._metadata = {PEER_KEY_HEADER: peer_key}
        self._pool = ChannelPool(clock, tls)

    @property
    def open_channels(self) -> int:
        """Return the number of open channels."""
        return len(self._pool)

    async def ping(
        self, address: Address, request: control_pb2.PingRequest, timeout_ms: float
    ) -> control_pb2.PingReply:
        """Probe a node; see ``Ping`` in ``control.proto``."""
        return await self._call(address, _ping, request, timeout_ms)

    async def indirect_ping(
        self,
        address: Address,
        request: control_pb2.IndirectPingRequest,
        timeout_ms: float,
    ) -> control_pb2.IndirectPingReply:
        """Ask a node to probe another one."""
        return await self._call(address, _indirect_ping, request, timeout_ms)

    async def sync(
        self, address: Address, request: control_pb2.SyncRequest, timeout_ms: float
    ) -> control_pb2.SyncReply:
        """Exchange member tables with a node."""
        return await self._call(address, _sync, request, timeout_ms)

    async def fetch_sheet(
        self, address: Address, newer_than: int, timeout_ms: float
    ) -> control_pb2.FetchSheetReply:
        """Fetch the planning sheet of a node if its version is above ``newer_than``."""
        request = control_pb2.FetchSheetRequest(newer_than=newer_than)
        return await self._call(address, _fetch_sheet, request, timeout_ms)

    def close_idle(self) -> None:
        """Close the channels whose idle time has reached the pool's limit."""
        self._pool.close_idle()

    def close(self) -> None:
        """Close all channels."""
        self._pool.close()

    async def _call(
        self,
        address: Address,
        method: Callable[[Channel], Any],
        request: Any,
        timeout_ms: float,
    ) -> Any:
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                async with self._pool.lend(address) as channel:
                    return await method(channel)(request, metadata=self._metadata)
        except TimeoutError as error:
            raise _connection_error(
                address, f'no answer within {timeout_ms:.0f} ms'
            ) from error
        except GRPCError as error:
            raise _refusal_error(address, error) from error
        except (OSError, ProtocolError, StreamTerminatedError) as error:
            raise _connection_error(
                address, str(error) or type(error).__name__
            ) from error


def _ping(channel: Channel) -> Any:
    return ControlStub(channel).Ping


def _indirect_ping(channel: Channel) -> Any:
    return ControlStub(channel).IndirectPing


def _sync(channel: Channel) -> Any:
    return ControlStub(channel).Sync


def _fetch_sheet(channel: Channel) -> Any:
    return ControlStub(channel).FetchSheet


def _connection_error(address: Address, cause: str) -> GentianmillError:
    host, port = address
    return GentianmillError(
        ErrorCode.connection_lost, _STEP, f'{host}:{port}', f'control call: {cause}'
    )


def _refusal_error(address: Address, error: GRPCError) -> GentianmillError:
    host, port = address
    code = ErrorCode.internal
    if error.status is Status.UNAUTHENTICATED:
        code = ErrorCode.unauthorised
    message = f'control call refused: {error.status.name} {error.message or ""}'.strip()
    return GentianmillError(code, _STEP, f'{host}:{port}', message)
