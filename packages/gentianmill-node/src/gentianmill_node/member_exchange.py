"""Control messages between this node and others, in both directions."""

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
from gentianmill_node.control_service import ControlAnswers
from gentianmill_node.sheet_gossip import SheetGossip

FETCH_TIMEOUT_MS = 2000
"""Longest wait for a sheet or a full exchange, in ms."""

_log = structlog.get_logger()


class MemberExchange(ControlAnswers):
    """Build and read control messages and feed them to ``Swim``."""

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
            swim: Decides what to tell and takes what was heard.
            sheets: The planning sheet at this node.
            probe_timeout_ms: Longest wait when probing for another node, in ms.
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
            Whether the target answered.
        """
        try:
            return await self._send(probe)
        except GentianmillError as error:
            _log.debug('membership: probe failed', cause=str(error))
            return False

    async def send_sync(self, address: Address) -> bool:
        """Exchange full member tables with the node at an address.

        Returns:
            Whether the node answered.
        """
        holder = self._member_at(address)
        node_id = holder.node_id if holder else ''
        request = control_pb2.SyncRequest(
            sender_id=self._table.own.node_id,
            members=_to_updates(self._swim.table_for(node_id)),
            sheet_version=self._sheets.record.version,
        )
        try:
            reply = await self._client.sync(address, request, FETCH_TIMEOUT_MS)
        except GentianmillError as error:
            _log.debug('membership: full exchange failed', cause=str(error))
            return False
        self._swim.on_table(_from_updates(reply.members), self._clock.now_ms())
        self._learn_sheet(address, reply.sheet_version)
        return True

    def answer_ping(self, request: control_pb2.PingRequest) -> control_pb2.PingReply:
        """Answer a direct probe, also one meant for an earlier node id here."""
        self._hear(request.sender_id, request.updates)
        self._learn_from(request.sender_id, request.sheet_version)
        return control_pb2.PingReply(
            node_id=self._table.own.node_id,
            updates=_to_updates(self._swim.updates_for(request.sender_id)),
            sheet_version=self._sheets.record.version,
        )

    async def answer_indirect(
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

    def answer_sync(self, request: control_pb2.SyncRequest) -> control_pb2.SyncReply:
        """Answer a full exchange."""
        self._swim.on_table(_from_updates(request.members), self._clock.now_ms())
        self._learn_from(request.sender_id, request.sheet_version)
        return control_pb2.SyncReply(
            members=_to_updates(self._swim.table_for(request.sender_id)),
            sheet_version=self._sheets.record.version,
        )

    def answer_fetch(
        self, request: control_pb2.FetchSheetRequest
    ) -> control_pb2.FetchSheetReply:
        """Return the sheet in force if it is newer than the one asked about."""
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
        return await self._ask_relay(probe.target, probe.relay, probe.timeout_ms)

    async def _ping(self, target: Member, timeout_ms: float) -> bool:
        request = control_pb2.PingRequest(
            sender_id=self._table.own.node_id,
            target_id=target.node_id,
            updates=_to_updates(self._swim.updates_for(target.node_id)),
            sheet_version=self._sheets.record.version,
        )
        address = _address(target)
        reply = await self._client.ping(address, request, timeout_ms)
        self._hear(reply.node_id, reply.updates)
        self._learn_sheet(address, reply.sheet_version)
        # A replacement answers under the address of the member that is gone.
        return reply.node_id == target.node_id

    async def _ask_relay(
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
        self._hear(relay.node_id, reply.updates)
        return reply.reached

    def _hear(
        self, sender_id: str, updates: Iterable[control_pb2.MemberUpdate]
    ) -> None:
        self._swim.on_updates(_from_updates(updates), sender_id, self._clock.now_ms())

    def _learn_from(self, sender_id: str, version: int) -> None:
        sender = self._table.find(sender_id)
        if sender is not None:
            self._learn_sheet(_address(sender), version)

    def _learn_sheet(self, address: Address, version: int) -> None:
        fetch = functools.partial(
            self._client.fetch_sheet, address, timeout_ms=FETCH_TIMEOUT_MS
        )
        self._sheets.learn(version, fetch)

    def _member_at(self, address: Address) -> Member | None:
        for member in self._table.members:
            if _address(member) == address and not member.is_gone:
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
            _log.warning('membership: unreadable update', cause=str(error))
    return members
