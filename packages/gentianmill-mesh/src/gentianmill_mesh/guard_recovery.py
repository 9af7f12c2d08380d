"""Keeps what a guard has acknowledged beyond the end of its process.

A departure is acknowledged once the registry has it or, while that can't be reached, other
nodes. A node that starts asks both before its guard takes calls: the registry's records,
some nodes that are chosen by its name, and each node that connects to it.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterable

import msgspec

from gentianmill import rendezvous
from gentianmill.clock import NS_PER_MS, Clock
from gentianmill.departure_doubt import LATEST_REPORT_MS
from gentianmill.departures import Departure, DepartureTable
from gentianmill.node_record_codec import to_departures
from gentianmill.node_table import NodeRecord, NodeTable
from gentianmill.relay_messages import DepartureEntry, KnownState, StateRequest
from gentianmill_mesh.mesh_settings import MeshSettings
from gentianmill_mesh.ports import NodeRegistry
from gentianmill_mesh.random_peers import RandomPeers
from gentianmill_mesh.registry_presence import RegistryPresence
from gentianmill_mesh.relay_links import RelayLinks
from gentianmill_mesh.strike_gossip import MAX_ENTRIES, to_entries
from gentianmill_mesh.time_limit import within
from gentianmill_mesh.upstream_guard import STARTING, UpstreamGuard
from gentianmill_node.background import spawn
from gentianmill_node.logs import component

__all__ = ('GuardRecovery',)

KEEPERS = 5
"""Nodes that are told of a departure, and asked at the next start: with the loss of a rack
or a zone, some remain."""

ENOUGH_KEEPERS = 2
"""Nodes that must have a departure before it is acknowledged without the registry."""

ASK_TIMEOUT_S = 1.0
"""Time for the answers of other nodes at a start; nodes that are down don't answer."""

REGISTRY_ALONE_S = 0.15
"""Time after which other nodes are told, too; the registry usually answers in 4 ms."""

ACKNOWLEDGE_WITHIN_S = 0.9
"""Time in which a departure must be kept: upstreams wait 1 s for an acknowledgement."""

KEEPERS_STORE_S = 0.1
"""Time in which nodes that were told store a departure if they reach the registry: a read
and a write of 4 ms, and a round trip of 60 ms."""

NEXT_FANOUT = 3
"""Nodes to which a node passes on a departure that it did not know."""

PROMPT_READ_MS = 500.0
"""Time from the start within which a registry that was there all the while is read: some
4 ms and a round trip of 60 ms, on a VM that starts. It holds what earlier processes
acknowledged, as departures are acknowledged without it only while it is away."""

log = component('recovery')


class GuardRecovery:
    """Know what this guard must not forget and, for other nodes, what theirs must not."""

    def __init__(
        self,
        settings: MeshSettings,
        guard: UpstreamGuard,
        table: NodeTable,
        links: RelayLinks,
        peers: RandomPeers,
        registry: NodeRegistry,
        clock: Clock,
    ) -> None:
        """Create a recovery that has not begun.

        Args:
            settings: Settings of this node.
            guard: Guard of the upstream on this VM.
            table: Records of all nodes.
            links: Links to the other nodes.
            peers: Chooses the nodes to which departures are passed on.
            registry: Tells for how long it was away before this start.
            clock: Clock of the node.
        """
        self._clock = clock
        self._created_ms = clock.now_ms()
        self._interval_ms = settings.report_interval_ms
        self._witnesses: set[str] = set()
        self._own_name = settings.node
        self._is_first_start = settings.first_start
        self._guard = guard
        self._table = table
        self._links = links
        self._peers = peers
        self._registry = registry
        self._presence = RegistryPresence(settings.node, table, links, registry)
        self._others = DepartureTable()
        self._kept: set[Departure] = set()
        self._has_read_table = False
        self._on_ended: Callable[[], None] | None = None
        self._publish: Callable[[], None] | None = None

    @property
    def has_read_table(self) -> bool:
        """Return whether the records of all nodes were read."""
        return self._has_read_table

    @property
    def may_publish(self) -> bool:
        """Return whether the record of an earlier process may be overwritten."""
        return self._has_read_table and self._on_ended is None

    def begin(self, on_ended: Callable[[], None]) -> None:
        """Let the guard take no calls until ``on_ended`` is called.

        Args:
            on_ended: Called once when the guard knows what it must not forget.
        """
        self._on_ended = on_ended
        self._publish = on_ended
        self._guard.refuse_calls(STARTING)
        if self._interval_ms and not self._is_first_start:
            now_unix_ms = time.time_ns() // NS_PER_MS
            self._guard.status.doubt.begin(
                self._interval_ms, self._clock.now_ms(), now_unix_ms
            )
            log.info('Upstream may have left, not used yet.')

    def abandon(self) -> None:
        """Stop learning, as the node stops."""
        self._on_ended = None

    def table_read(self) -> None:
        """Learn from the records of all nodes, and ask some of these nodes."""
        if self._has_read_table:
            return
        own = self._table.find(self._own_name)
        if own is not None:
            self.restore(own.departures, 'registry')
        self._has_read_table = True
        if self._is_first_start:
            self._end()
            return
        spawn(self._ask_keepers(), 'ask what must be known')
        if self._guard.status.doubt.is_active and self._uptime_ms < PROMPT_READ_MS:
            spawn(self._check_outage(), 'check outage')

    async def renew_presence(self) -> None:
        """Record that the registry answers, if it is this node's turn."""
        await self._presence.renew()

    def wanted_state(self) -> StateRequest | None:
        """Return what to ask a node that connects, while the registry is silent."""
        if self._on_ended is None or self._has_read_table:
            return None
        return StateRequest(self._own_name)

    def state_of(self, request: StateRequest) -> KnownState:
        """Return what this node knows for another one."""
        record = self._table.find(request.node)
        known = set(self._others.of_node(request.node))
        if record is not None:
            known.update(record.departures)
        strikes = self._guard.crashes.latest(MAX_ENTRIES)
        return KnownState(
            request.node,
            _entries(known),
            to_entries(strikes),
            self._own_name,
            int(self._uptime_ms),
        )

    def on_state(self, state: KnownState) -> None:
        """Learn what another node knows, for this node or to pass it on."""
        try:
            departures = to_departures(state.departures)
        except ValueError as error:
            log.warning('Departures not readable.', error=str(error))
            return
        if state.node == self._own_name:
            if state.uptime_ms >= self._uptime_ms + LATEST_REPORT_MS:
                self._witnesses.add(state.teller)
            self.restore(departures, 'node')
            self._guard.crashes.merge(state.strikes)
            if not self._has_read_table:
                self._end()
        elif self._others.add(state.node, departures):
            log.info('Departures kept for a node.', node=state.node)
            if any(
                keeper.name == self._own_name for keeper in self._keepers(state.node)
            ):
                adding = self._registry.add_departures(state.node, departures)
                spawn(adding, 'store departures')
            for record in self._peers.choose(NEXT_FANOUT):
                spawn(self._links.to(record).post(state), 'pass on departures')

    def restore(self, departures: Iterable[Departure], source: str) -> None:
        """Learn what others know that this node must not forget.

        Args:
            departures: Departures of upstreams on this VM.
            source: Who told them, for the log.
        """
        known = set(departures) - set(self._guard.status.departures)
        if known:
            log.info('Departures restored.', source=source, count=len(known))
            self._kept |= known
            self._guard.status.restore(known)

    async def keep(self, stored: 'asyncio.Future[None] | None') -> bool:
        """Wait until the departures outlive this process, and return whether they do.

        Args:
            stored: Done when the registry has the own record with the departures; None
                if it may not be written yet.
        """
        departures = set(self._guard.status.departures)
        if departures <= self._kept:
            return True
        waits = {asyncio.ensure_future(self._tell_keepers(departures, stored))}
        if stored is not None:
            waits.add(asyncio.ensure_future(asyncio.shield(stored)))
        done, pending = await asyncio.wait(
            waits, timeout=ACKNOWLEDGE_WITHIN_S, return_when=asyncio.FIRST_COMPLETED
        )
        for late in pending:
            late.cancel()
        is_kept = any(ended.exception() is None for ended in done)
        if is_kept:
            self._kept |= departures
        log.info('Departures.', kept=is_kept, count=len(departures))
        return is_kept

    async def _tell_keepers(
        self, departures: set[Departure], stored: 'asyncio.Future[None] | None'
    ) -> None:
        """Return when the registry or enough other nodes know, else wait for ever."""
        if stored is not None:
            await asyncio.wait({stored}, timeout=REGISTRY_ALONE_S)
            if stored.done():
                return
        state = KnownState(self._own_name, _entries(departures))
        told = [
            asyncio.ensure_future(self._links.to(record).post(state))
            for record in self._keepers(self._own_name)
        ]
        delivered = 0
        try:
            for next_told in asyncio.as_completed(told):
                delivered += await next_told
                if delivered >= min(ENOUGH_KEEPERS, len(told)):
                    # All processes may be killed right after the acknowledgement.
                    await asyncio.sleep(KEEPERS_STORE_S)
                    return
            await asyncio.get_running_loop().create_future()
        finally:
            if delivered < ENOUGH_KEEPERS:
                for task in told:
                    task.cancel()

    async def _ask_keepers(self) -> None:
        request = StateRequest(self._own_name)
        keepers = self._keepers(self._own_name)
        asked = [self._links.to(record).post(request) for record in keepers]
        try:
            await within(_finish(asked), ASK_TIMEOUT_S)
        except TimeoutError:
            log.info('Not all nodes told what they know.', asked=len(asked))
        if self._has_witnesses(keepers):
            self._trust(witnesses=len(self._witnesses))
        self._end()

    async def _check_outage(self) -> None:
        """Trust the registry if it was there until shortly before the start.

        Departures are acknowledged without it only while it is away.
        """
        if await self._presence.was_steady(self._uptime_ms):
            self._trust(by_registry=True)

    def _trust(self, **evidence: object) -> None:
        """End the doubt, as no departure can be missing."""
        if not self._guard.status.doubt.end():
            return
        log.info('All departures are known.', **evidence)
        if self._on_ended is None and self._publish is not None:
            # The guard takes calls already, as a node told it before the registry did.
            self._publish()

    def _has_witnesses(self, keepers: list[NodeRecord]) -> bool:
        """Return whether one that told knows each departure that was acknowledged.

        That is so if too few nodes are left for an acknowledgement. Only processes count
        that ran while reports were sent which may still arrive.
        """
        others = len({record.name for record in keepers} - self._witnesses)
        return others < min(ENOUGH_KEEPERS, len(keepers)) or not keepers

    @property
    def _uptime_ms(self) -> float:
        return self._clock.now_ms() - self._created_ms

    def _keepers(self, node: str) -> list[NodeRecord]:
        """Return the nodes that keep departures for a node, the same at each start."""
        others = [record for record in self._table.records if record.name != node]
        others.sort(key=lambda other: rendezvous.score(node, other.name))
        return others[-KEEPERS:]

    def _end(self) -> None:
        on_ended = self._on_ended
        if on_ended is not None:
            self._on_ended = None
            self._guard.refuse_calls('')
            log.info('Guard takes calls.', read_records=self._has_read_table)
            on_ended()


async def _finish(works: Iterable[Awaitable[object]]) -> None:
    """Wait for all, as a task: a future of them that is cancelled is logged as a fault."""
    await asyncio.gather(*works)


def _entries(departures: Iterable[Departure]) -> list[DepartureEntry]:
    return [
        msgspec.convert(departure, DepartureEntry, from_attributes=True)
        for departure in departures
    ]
