"""Membership tasks of a node: listener, probes, announcements, full exchanges."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import structlog
from grpclib.server import Server

from gentianmill.clock import Clock
from gentianmill.errors import GentianmillError
from gentianmill.member import Member, MemberStatus
from gentianmill.membership import MemberTable
from gentianmill.settings_models import NodeSettingsModel
from gentianmill.swim import Probe, Swim
from gentianmill_node.background import spawn
from gentianmill_node.announcer import Announcer
from gentianmill_node.channel_pool import Address
from gentianmill_node.control_auth import GRPC_PROTOCOLS
from gentianmill_node.control_client import ControlClient
from gentianmill_node.control_service import ControlService
from gentianmill_node.auth_keys import read_key
from gentianmill_node.member_exchange import MemberExchange
from gentianmill_node.sheet_gossip import NoSheets, SheetGossip
from gentianmill_node.table_client import TableStore
from gentianmill_node.tls import client_context, node_server_context

MS_PER_S = 1000
RETRY_INTERVAL_MS = 5000
"""Longest interval after a failed announcement or exchange, and while no other
member is known, in ms."""

REFRESHES_PER_SCAN = 5
"""Refreshes of this node's row per scan of all rows."""

JITTER_RATIO = 0.1
"""Fraction by which intervals vary at random, so that nodes do not synchronise."""

MIN_PROBE_PAUSE_MS = 1
"""A tick that fails must not keep the event loop busy."""

MAX_LEAVE_PROBES = 5
"""Largest number of members that are notified directly when this node leaves; gossip
reaches the rest."""

CLOSE_TIMEOUT_MS = 1000
"""Timeout of each closing step, for the listener and for the table, in ms."""

_log = structlog.get_logger()


class MemberLoop:
    """Run the membership tasks of one node."""

    def __init__(
        self,
        settings: NodeSettingsModel,
        clock: Clock,
        table_store: TableStore,
        own: Member,
        on_change: Callable[[Member], None],
        sheets: SheetGossip | None = None,
    ) -> None:
        """Create a loop that does not run yet.

        Args:
            settings: Settings of the node; the peer key file is read here.
            clock: Clock of the node.
            table_store: The platform's table service.
            own: The member of this node. Its initial incarnation should increase with
                each start, for example the time in Unix ms.
            on_change: Called with each member that is new or changed.
            sheets: The planning sheet at this node, whose versions are gossiped.
        """
        self._settings = settings
        self._clock = clock
        self._table = MemberTable(own)
        self._table.subscribe(lambda member, now_ms: on_change(member))
        self._rng = random.Random(own.node_id)
        self._swim = Swim(settings.membership, self._table, self._rng)
        self._announcer = Announcer(clock, table_store, self._table)
        peer_key = read_key(settings.keys.peer_key_file).decode('ascii')
        self._client = ControlClient(
            clock, peer_key, client_context(settings.listeners, GRPC_PROTOCOLS)
        )
        self._exchange = MemberExchange(
            clock,
            self._client,
            self._table,
            self._swim,
            sheets or NoSheets(),
            settings.membership.probe_timeout_ms,
        )
        self._server = Server([ControlService(peer_key, self._exchange)])
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def table(self) -> MemberTable:
        """Return the member table."""
        return self._table

    async def start(self) -> None:
        """Open the control listener and start the announcements, probes and exchanges.

        Raises:
            OSError: If the control port cannot be bound.
        """
        listeners = self._settings.listeners
        await self._server.start(
            str(listeners.host),
            listeners.control_port,
            ssl=node_server_context(listeners, GRPC_PROTOCOLS),
        )
        membership = self._settings.membership
        self._spawn(self._probe_forever())
        self._spawn(
            self._run_periodically(self._announce, membership.announce_interval_ms)
        )
        self._spawn(self._run_periodically(self._sync, membership.sync_interval_ms))

    async def close(self) -> None:
        """Leave: notify some members, delete this node's row and stop all tasks."""
        for task in self._tasks:
            task.cancel()
        self.set_status(MemberStatus.left)
        await asyncio.gather(
            *[self._exchange.send_probe(probe) for probe in self._leave_probes()]
        )
        await _with_close_timeout(self._announcer.withdraw())
        self._client.close()
        self._server.close()
        await _with_close_timeout(self._server.wait_closed())

    def set_status(self, status: MemberStatus) -> None:
        """Change this node's status and gossip it to the other members."""
        self._swim.set_own_status(status, self._clock.now_ms())

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = spawn(work, 'membership')
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _probe_forever(self) -> None:
        while True:
            try:
                self._start_probes()
            except Exception:
                # An error in one step must not end the loop.
                _log.exception('membership: Probes failed.')
            wait_ms = self._swim.next_tick_ms - self._clock.now_ms()
            await asyncio.sleep(max(wait_ms, MIN_PROBE_PAUSE_MS) / MS_PER_S)

    def _start_probes(self) -> None:
        for probe in self._swim.tick(self._clock.now_ms()):
            self._spawn(self._probe(probe))
        self._client.close_idle()

    async def _probe(self, probe: Probe) -> None:
        reached = await self._exchange.send_probe(probe)
        now_ms = self._clock.now_ms()
        if reached:
            self._swim.on_ack(probe, now_ms)
            return
        for indirect in self._swim.on_timeout(probe, now_ms):
            self._spawn(self._probe(indirect))

    async def _run_periodically(
        self, step: Callable[[int], Awaitable[bool]], interval_ms: float
    ) -> None:
        """Run a step periodically, sooner after one that failed or returned False."""
        count = 0
        while True:
            wait_ms = interval_ms
            if not await _run_step(step, count):
                wait_ms = min(interval_ms, RETRY_INTERVAL_MS)
            count += 1
            factor = 1 + self._rng.uniform(-JITTER_RATIO, JITTER_RATIO)
            await asyncio.sleep(wait_ms * factor / MS_PER_S)

    async def _announce(self, count: int) -> bool:
        succeeded = True
        try:
            await self._scan_and_refresh(count)
        except GentianmillError as error:
            _log.warning('membership: Table unavailable.', cause=str(error))
            succeeded = False
        if not self._peers():
            await self._sync_with_seeds()
        elif count == 0:
            await self._sync(count)
        return succeeded and bool(self._peers())

    async def _scan_and_refresh(self, count: int) -> None:
        if count % REFRESHES_PER_SCAN == 0 or not self._peers():
            members = await self._announcer.scan()
            self._swim.on_table(members, self._clock.now_ms())
        await self._announcer.refresh()

    async def _sync_with_seeds(self) -> None:
        addresses = map(_seed_address, self._settings.membership.seeds)
        seeds = {seed for seed in addresses if seed is not None}
        seeds.discard((self._table.own.host, self._table.own.control_port))
        await asyncio.gather(*[self._exchange.send_sync(seed) for seed in seeds])

    async def _sync(self, count: int) -> bool:
        peers = self._peers()
        if not peers:
            return False
        return await self._exchange.send_sync(self._rng.choice(peers))

    def _peers(self) -> list[Address]:
        return [
            (member.host, member.control_port)
            for member in self._table.members
            if not member.has_departed and member.node_id != self._table.own.node_id
        ]

    def _leave_probes(self) -> list[Probe]:
        others = [
            member
            for member in self._table.members
            if member.status is MemberStatus.alive
        ]
        chosen = self._rng.sample(others, min(MAX_LEAVE_PROBES, len(others)))
        timeout_ms = self._settings.membership.probe_timeout_ms
        now_ms = self._clock.now_ms()
        return [Probe(0, member, None, now_ms, timeout_ms) for member in chosen]


async def _run_step(step: Callable[[int], Awaitable[bool]], count: int) -> bool:
    try:
        return await step(count)
    except Exception:
        # An error in one step must not end the loop.
        _log.exception('membership: Step failed.')
        return False


def _seed_address(seed: str) -> Address | None:
    host, _, port = seed.rpartition(':')
    if host and port.isdecimal():
        return (host, int(port))
    _log.warning('membership: Seed is not of the form host:port.', seed=seed)
    return None


async def _with_close_timeout(work: Awaitable[None]) -> None:
    try:
        async with asyncio.timeout(CLOSE_TIMEOUT_MS / MS_PER_S):
            await work
    except (TimeoutError, GentianmillError) as error:
        _log.warning('membership: Shutdown incomplete.', cause=str(error))
