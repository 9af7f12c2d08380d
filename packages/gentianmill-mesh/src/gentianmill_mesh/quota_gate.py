"""Asks for tokens of rate-limited teams, and answers the nodes that ask for them.

Nothing is sent and no timer runs while no request belongs to a team with a quota.
"""

import asyncio
import weakref
from collections.abc import Callable

from gentianmill.clock import Clock
from gentianmill.node_table import NodeState, NodeTable
from gentianmill.quota_credit import OwnerChoice
from gentianmill.quota_members import QuotaMembers
from gentianmill.quota_account import Asker
from gentianmill.quota_owner import NOT_OWNER, QuotaOwner, new_keys
from gentianmill.quota_support import is_support
from gentianmill.relay_messages import QuotaGrant, QuotaRequest
from gentianmill.teams import Team
from gentianmill_mesh.mesh_metrics import MeshMetrics
from gentianmill_mesh.mesh_settings import MeshSettings
from gentianmill_mesh.dispatcher import Dispatcher
from gentianmill_mesh.quota_dispatcher import QuotaAdmission, QuotaDispatcher
from gentianmill_mesh.quota_limiter import (
    LimiterContext,
    QuotaLimiter,
    QuotaPort,
    QuotaState,
)
from gentianmill_mesh.relay_handshake import NodeIdentity
from gentianmill_mesh.relay_links import RelayLinks
from gentianmill_mesh.relay_sender import RelaySender
from gentianmill_mesh.time_limit import within
from gentianmill_node.background import spawn

__all__ = ('QuotaGate',)

ASK_TIMEOUT_S = 0.25
"""Time after which another node is asked: four round trips between regions."""

WAITING_TICK_S = 0.02
RENEW_TICK_S = 0.1
"""Intervals of the owner's timer while requests wait for tokens, and else."""

TRUST_VIEW_MS = 2000.0
"""Time after which a node that could not read the registry goes by what others told it."""


class QuotaGate(QuotaPort, QuotaAdmission):
    """Admit the requests of teams within their quotas."""

    def __init__(
        self,
        settings: MeshSettings,
        identity: NodeIdentity,
        table: NodeTable,
        links: RelayLinks,
        find_team: Callable[[str], Team | None],
        metrics: MeshMetrics,
        clock: Clock,
    ) -> None:
        """Create a gate.

        Args:
            settings: Settings of the node.
            identity: Identity of this node.
            table: Records of all nodes.
            links: Links to the other nodes.
            find_team: Returns a team by its name in the configuration in force.
            metrics: Counts grants and refusals by team.
            clock: Clock of the node.
        """
        regions = len(set(settings.zones.values())) or None
        self._members = QuotaMembers(settings.node, settings.region, regions)
        self._table = table
        self._links = links
        self._metrics = metrics
        self._clock = clock
        self._keys = new_keys()
        self._own = Asker(identity.name, f'{identity.name}/{identity.incarnation}')
        self._started_ms = clock.now_ms()
        self._owner = QuotaOwner(
            self._members, self._own, find_team, self._keys, self._started_ms
        )
        self._choice = OwnerChoice(self._members)
        self._context = LimiterContext(
            port=self,
            members=self._members,
            choice=self._choice,
            keys=self._keys,
            metrics=metrics,
            clock=clock,
            started_ms=self._started_ms,
        )
        self._limiters: dict[str, QuotaLimiter] = {}
        self._asks: dict[int, asyncio.Future[QuotaGrant]] = {}
        self._senders: weakref.WeakValueDictionary[str, RelaySender] = (
            weakref.WeakValueDictionary()
        )
        self._find_team = find_team
        self._has_read_registry = False
        self._digest: int | None = None
        self._timer: asyncio.TimerHandle | None = None

    def limit(self, dispatcher: Dispatcher) -> QuotaDispatcher:
        """Return a dispatcher that runs requests within their quotas only."""
        return QuotaDispatcher(dispatcher, self, self._find_team, self._clock)

    async def admit(self, team: Team) -> float | None:
        """Return None if a request may be sent, else the time in ms until a retry.

        Cancelling this coroutine uses no token.

        Args:
            team: Team of the request, which has a quota.
        """
        return await self._limiter(team).admit()

    def give_back(self, team: Team) -> None:
        """Return the token of a request that was not sent."""
        self._limiter(team).give_back()

    def state(self, team: Team) -> QuotaState:
        """Return what is known of the quota of a team."""
        return self._limiter(team).state

    def on_nodes_confirmed(self) -> None:
        """Record that the registry of the nodes was read."""
        if not self._has_read_registry:
            self._has_read_registry = True
            self._digest = None

    def on_request(self, sender: RelaySender, request: QuotaRequest) -> None:
        """Answer another node, now or when there are tokens."""
        asker = Asker(sender.name, f'{sender.name}/{sender.incarnation}')
        self._senders[asker.process] = sender
        self._owner.on_heard(sender.name)
        if self.knows_nodes():
            self._owner.on_request(asker, request, self._clock.now_ms())
            self._flush()
        elif not is_support(request):
            sender.send(QuotaGrant(request.key, request.team, NOT_OWNER, 0, 0))

    def on_grant(self, name: str, grant: QuotaGrant) -> None:
        """Apply the answer of another node."""
        self._owner.on_heard(name)
        self._choice.on_answer(name)
        asked = self._asks.get(grant.key)
        if asked is None or is_support(grant):
            self._owner.on_grant(name, grant, self._clock.now_ms())
            self._flush()
        elif not asked.done():
            asked.set_result(grant)

    def report(self) -> None:
        """Write the counts of the teams that this node owns to the metrics."""
        now_ms = self._clock.now_ms()
        for team, counts in self._owner.counts.items():
            self._metrics.on_owned_quota(
                team,
                {
                    'issued': counts.issued,
                    'refused_by_owner': counts.refused,
                    'borrowed': counts.borrowed,
                    'lent': counts.lent,
                },
                self._owner.share(team, now_ms),
            )

    def knows_nodes(self) -> bool:
        """Update the members; return whether they are known well enough to be an owner.

        Call it regularly: members settle from when they are known, also without requests.
        """
        if self._digest != self._table.digest:
            self._digest = self._table.digest
            self._members.update(
                self._serving_nodes(),
                self._clock.now_ms(),
                is_confirmed=self._has_read_registry,
            )
        if self._has_read_registry:
            return True
        return self._clock.now_ms() - self._started_ms >= TRUST_VIEW_MS

    def close(self) -> None:
        """Stop the timers."""
        if self._timer is not None:
            self._timer.cancel()
        for limiter in self._limiters.values():
            limiter.close()

    def _limiter(self, team: Team) -> QuotaLimiter:
        limiter = self._limiters.get(team.name)
        if limiter is None:
            limiter = QuotaLimiter(team, self._context)
            self._limiters[team.name] = limiter
        limiter.team = team
        return limiter

    def _serving_nodes(self) -> dict[str, str]:
        """Return the region of each node, without this one until the registry has it.

        The others do not know this node before, and issue its part of the rate.
        """
        return {
            record.name: record.region
            for record in self._table.records
            if record.state is NodeState.serving
        }

    async def ask(self, name: str, request: QuotaRequest) -> QuotaGrant | None:
        """Return the answer of a node, or None if there is none in time."""
        loop = asyncio.get_running_loop()
        asked: asyncio.Future[QuotaGrant] = loop.create_future()
        self._asks[request.key] = asked
        try:
            if name == self._own.name:
                self._owner.on_request(self._own, request, self._clock.now_ms())
                self._flush()
            elif not await self._send(name, request):
                return None
            await asyncio.wait((asked,), timeout=ASK_TIMEOUT_S)
        finally:
            self._asks.pop(request.key, None)
        if asked.done():
            return asked.result()
        self._check_link(name)
        return None

    async def _send(self, name: str, frame: QuotaRequest) -> bool:
        """Send a frame; return whether the connection took it."""
        record = self._table.find(name)
        if record is None or not self._links.reaches(record):
            return False
        link = self._links.to(record)
        if link.connected:
            return link.send_now(frame)
        try:
            return await within(link.send_quota(frame), ASK_TIMEOUT_S)
        except TimeoutError:
            # The caller counts the node as silent, which is logged.
            return False

    def post(self, name: str, frame: QuotaRequest) -> None:
        """Send a frame in the order of the calls, without waiting for a connection."""
        if name == self._own.name:
            self._owner.on_request(self._own, frame, self._clock.now_ms())
            self._flush()
            return
        record = self._table.find(name)
        if record is None:
            return
        link = self._links.to(record)
        if not (link.connected and link.send_now(frame)):
            spawn(self._send(name, frame), 'ask for quota')

    def _check_link(self, name: str) -> None:
        """Have the connection to a silent node dropped if it is lost."""
        record = self._table.find(name)
        if record is not None and name != self._own.name:
            spawn(self._links.to(record).confirm(), 'confirm link')

    def _flush(self) -> None:
        """Send what the owner has to send, and keep its timer running while needed."""
        for outgoing in self._owner.drain():
            if isinstance(outgoing.frame, QuotaRequest):
                self.post(outgoing.to.name, outgoing.frame)
            elif outgoing.to == self._own:
                self.on_grant(self._own.name, outgoing.frame)
            else:
                sender = self._senders.get(outgoing.to.process)
                if sender is not None:
                    sender.send(outgoing.frame)
        self._start_timer()

    def _start_timer(self) -> None:
        if not self._owner.is_active:
            return
        delay_s = WAITING_TICK_S if self._owner.has_waiting else RENEW_TICK_S
        loop = asyncio.get_running_loop()
        if self._timer is not None:
            if self._timer.when() <= loop.time() + delay_s:
                return
            self._timer.cancel()
        self._timer = loop.call_later(delay_s, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self.knows_nodes()
        self._owner.tick(self._clock.now_ms())
        self._flush()
