"""Exchange of control messages with other nodes, in both directions."""

import functools
from collections.abc import Iterable

import structlog

from gentianmill import control_pb2, member_codec
from gentianmill.clock import Clock
from gentianmill.errors import GentianmillError
from gentianmill.member import Member
from gentianmill.membership import MemberTable
from gentianmill.swim import Probe, Swim
from gentianmill_node.channel_pool import Address
from gentianmill_node.control_client import ControlClient
from gentianmill_node.control_service import ControlHandler
from gentianmill_node.sheet_gossip import SheetGossip

EXCHANGE_TIMEOUT_MS = 2000
"""Timeout of a sheet fetch or a full exchange, in ms."""

_log = structlog.get_logger()


class MemberExchange(ControlHandler):
    """Encode and decode control messages and pass their contents to ``Swim``."""

    def __init__(
        self,
        clock: Clock,
        client: ControlClient,
        table: MemberTable,
        swim: Swim,
        sheets: SheetGossip,
        probe_timeout_ms: float,
    ) -> None:
        """Create the exchange of one node.

        Args:
            clock: Clock of the node.
            client: Sends control calls.
            table: The member table.
            swim: Chooses the updates to send and applies those received.
            sheets: The planning sheet at this node, whose version is gossiped.
            probe_timeout_ms: Timeout of a probe on behalf of another node, in ms.
        """
        self._clock = clock
        self._client = client
        self._table = table
        self._swim = swim
        self._sheets = sheets
        self._probe_timeout_ms = probe_timeout_ms

    async def send_probe(self, probe: Probe) -> bool:
        """Send a probe, directly or through its relay.

        Returns:
            Whether the target responded.
        """
        try:
            return await self._send(probe)
        except GentianmillError as error:
            _log.debug('membership: Probe failed.', cause=str(error))
            return False

    async def send_sync(self, address: Address) -> bool:
        """Exchange full member tables with the node at an address.

        Returns:
            Whether the node responded.
        """
        peer = self._member_at(address)
        peer_id = peer.node_id if peer else ''
        request = control_pb2.SyncRequest(
            sender_id=self._table.own.node_id,
            members=_to_updates(self._swim.table_for(peer_id)),
            sheet_version=self._sheets.record.version,
        )
        try:
            reply = await self._client.sync(address, request, EXCHANGE_TIMEOUT_MS)
        except GentianmillError as error:
            _log.debug('membership: Full exchange failed.', cause=str(error))
            return False
        self._swim.on_table(_from_updates(reply.members), self._clock.now_ms())
        self._on_peer_sheet_version(address, reply.sheet_version)
        return True

    def handle_ping(self, request: control_pb2.PingRequest) -> control_pb2.PingReply:
        """Respond to a direct probe, even if it is addressed to a previous node id."""
        self._apply_updates(request.sender_id, request.updates)
        self._on_sender_sheet_version(request.sender_id, request.sheet_version)
        return control_pb2.PingReply(
            node_id=self._table.own.node_id,
            updates=_to_updates(self._swim.updates_for(request.sender_id)),
            sheet_version=self._sheets.record.version,
        )

    async def handle_indirect_ping(
        self, request: control_pb2.IndirectPingRequest
    ) -> control_pb2.IndirectPingReply:
        """Probe a target on behalf of the sender."""
        target = self._table.find(request.target_id)
        reached = False
        if target is not None:
            now_ms = self._clock.now_ms()
            probe = Probe(0, target, None, now_ms, self._probe_timeout_ms)
            reached = await self.send_probe(probe)
        return control_pb2.IndirectPingReply(
            reached=reached,
            updates=_to_updates(self._swim.updates_for(request.sender_id)),
        )

    def handle_sync(self, request: control_pb2.SyncRequest) -> control_pb2.SyncReply:
        """Merge the sender's member table and return this node's table."""
        self._swim.on_table(_from_updates(request.members), self._clock.now_ms())
        self._on_sender_sheet_version(request.sender_id, request.sheet_version)
        return control_pb2.SyncReply(
            members=_to_updates(self._swim.table_for(request.sender_id)),
            sheet_version=self._sheets.record.version,
        )

    def handle_fetch_sheet(
        self, request: control_pb2.FetchSheetRequest
    ) -> control_pb2.FetchSheetReply:
        """Return the sheet in force if it is newer than the requested version."""
        record = self._sheets.record
        if record.version <= request.newer_than:
            return control_pb2.FetchSheetReply()
        return control_pb2.FetchSheetReply(
            version=record.version,
            text=record.text,
            accepted_by=record.accepted_by,
            accepted_unix_ms=record.accepted_unix_ms,
        )

    async def _send(self, probe: Probe) -> bool:
        if probe.relay is None:
            return await self._ping(probe.target, probe.timeout_ms)
        return await self._ping_via_relay(probe.target, probe.relay, probe.timeout_ms)

    async def _ping(self, target: Member, timeout_ms: float) -> bool:
        request = control_pb2.PingRequest(
            sender_id=self._table.own.node_id,
            target_id=target.node_id,
            updates=_to_updates(self._swim.updates_for(target.node_id)),
            sheet_version=self._sheets.record.version,
        )
        address = _address(target)
        reply = await self._client.ping(address, request, timeout_ms)
        self._apply_updates(reply.node_id, reply.updates)
        self._on_peer_sheet_version(address, reply.sheet_version)
        # A replacement node may respond at the address of a departed member.
        return reply.node_id == target.node_id

    async def _ping_via_relay(
        self, target: Member, relay: Member, timeout_ms: float
    ) -> bool:
        request = control_pb2.IndirectPingRequest(
            sender_id=self._table.own.node_id,
            target_id=target.node_id,
            target_host=target.host,
            target_port=target.control_port,
        )
        address = _address(relay)
        reply = await self._client.indirect_ping(address, request, timeout_ms)
        self._apply_updates(relay.node_id, reply.updates)
        return reply.reached

    def _apply_updates(
        self, sender_id: str, updates: Iterable[control_pb2.MemberUpdate]
    ) -> None:
        self._swim.on_updates(_from_updates(updates), sender_id, self._clock.now_ms())

    def _on_sender_sheet_version(self, sender_id: str, version: int) -> None:
        sender = self._table.find(sender_id)
        if sender is not None:
            self._on_peer_sheet_version(_address(sender), version)

    def _on_peer_sheet_version(self, address: Address, version: int) -> None:
        fetch = functools.partial(
            self._client.fetch_sheet, address, timeout_ms=EXCHANGE_TIMEOUT_MS
        )
        self._sheets.on_peer_version(version, fetch)

    def _member_at(self, address: Address) -> Member | None:
        for member in self._table.members:
            if _address(member) == address and not member.has_departed:
                return member
        return None


def _address(member: Member) -> Address:
    return (member.host, member.control_port)


def _to_updates(members: Iterable[Member]) -> list[control_pb2.MemberUpdate]:
    return [member_codec.to_update(member) for member in members]


def _from_updates(updates: Iterable[control_pb2.MemberUpdate]) -> list[Member]:
    members = []
    for update in updates:
        try:
            members.append(member_codec.from_update(update))
        except ValueError as error:
            _log.warning('membership: Unreadable update.', cause=str(error))
    return members
