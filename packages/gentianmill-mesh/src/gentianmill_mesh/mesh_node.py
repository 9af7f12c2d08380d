"""Assembles a node that forwards requests."""

import asyncio

from gentianmill.admission_share import SHARE_SCALE, ShareTable
from gentianmill.clock import Clock, unix_ms
from gentianmill.node_table import NodeTable
from gentianmill.upstream_status import UpstreamReport
from gentianmill_mesh.arrival_log import ArrivalLog
from gentianmill_mesh.crash_watch import CrashWatch
from gentianmill_mesh.dispatcher import Dispatcher, DispatchPolicy
from gentianmill_mesh.entry_admission import EntryAdmission
from gentianmill_mesh.entry_listener import EntryListener
from gentianmill_mesh.forwarder import Forwarder
from gentianmill_mesh.guard_recovery import GuardRecovery
from gentianmill_mesh.http_message import HttpRequest, HttpResponse
from gentianmill_mesh.mesh_metrics import MeshMetrics
from gentianmill_mesh.mesh_settings import MeshSettings
from gentianmill_mesh.node_gossip import NodeGossip
from gentianmill_mesh.node_memory import NodeMemory
from gentianmill_mesh.node_reaper import NodeReaper
from gentianmill_mesh.own_state import OwnState, own_record
from gentianmill_mesh.ports import NodeRegistry, RulesSource
from gentianmill_mesh.quota_gate import QuotaGate
from gentianmill_mesh.random_peers import RandomPeers
from gentianmill_mesh.relay_handshake import NodeIdentity
from gentianmill_mesh.relay_links import RelayLinks
from gentianmill_mesh.relay_server import RelayServer, StateExchange
from gentianmill_mesh.route_explainer import RouteExplainer
from gentianmill_mesh.rules_gossip import FirstRules, RulesGossip
from gentianmill_mesh.rules_holder import RulesHolder
from gentianmill_mesh.service_listener import (
    Respond,
    ServiceListener,
    plain_response,
)
from gentianmill_mesh.store_following import CHECK_S, StoreFollowing
from gentianmill_mesh.strike_gossip import StrikeGossip
from gentianmill_mesh.suspension_watch import SuspensionWatch
from gentianmill_mesh.upstream_guard import STOPPING, UpstreamGuard
from gentianmill_mesh.upstream_pool import UpstreamPool
from gentianmill_node.background import repeat, spawn
from gentianmill_node.logs import component

STOP_MARGIN_MS = 800.0
"""Requests are aborted this long before the process would be killed: closing the links
to unresponsive nodes takes 0.2 s, and processor time is scarce at that moment."""

METRICS_PATH = b'/metrics'
EXPLAIN_PATH = b'/explain'

STOP_NOTICE_MS = 2600.0
"""Callers poll the readiness path once a second and need two polls to see the stop."""

STOP_RESPONSE_MS = 100.0
"""Time before the end of a stop in which the last responses are sent."""

IDLE_POLL_S = 0.05
MS_PER_S = 1000

TICK_S = 0.25
"""Interval between two liveness checks of the upstream and of the relay links."""

REAP_INTERVAL_S = 15
"""Interval between two checks of the nodes that this one watches, a quarter of the time
after which an unreachable node counts as dead."""

PRESENCE_INTERVAL_S = 0.5
"""Interval between two records that the registry answers: two of them and a restart are
shorter than an outage."""

ARRIVAL_LOG_TICKS = 4
"""Ticks between two log lines about duplicate attempts: 1 s, fine enough to see when a
budget was used."""

TIMEOUT_TICKS = 4
"""Ticks between two checks of idle callers: 1 s, fine enough for limits of seconds."""

MEMORY_TICKS = 4
"""Ticks between two checks of the memory: 1 s."""

FORGET_TICKS = 240
"""Ticks between two cleanups of removed nodes: 1 min; 230 are replaced a day."""

WITHHOLD_TICKS = 16
"""Ticks after which rules with teams are served though nothing has confirmed them: 4 s. By
then other nodes have passed on newer ones, and a silent store must not end the service."""

STATUS_OK = 200
STATUS_NOT_READY = 503
STATUS_NOT_FOUND = 404

log = component('node')


class MeshNode:
    """A node: entry for callers, guard of its upstream, relay to other nodes."""

    def __init__(
        self,
        settings: MeshSettings,
        source: RulesSource,
        registry: NodeRegistry,
        rules: RulesHolder,
        clock: Clock,
    ) -> None:
        """Create a node; call ``start`` to serve.

        Args:
            settings: Settings of the node.
            source: Source of the routing rules.
            registry: Registry of the nodes.
            rules: Holder of the routing rules in force.
            clock: Clock of the node, which advances during a suspension, too.
        """
        self._settings = settings
        self._source = source
        self._registry = registry
        self._rules = rules
        self._clock = clock
        self._table = NodeTable()
        self._metrics = MeshMetrics()
        self._identity = NodeIdentity(settings.node, unix_ms())
        own = own_record(settings, self._identity)
        shares = ShareTable()
        upstream = settings.upstream
        self._memory = NodeMemory(settings.memory_bytes)
        budget = self._memory.budget
        self._pool = UpstreamPool(
            upstream.host,
            upstream.port,
            settings.names,
            self._clock,
            self._memory.responses,
        )
        self._guard = UpstreamGuard(
            settings.service,
            self._pool,
            settings.names,
            shares,
            self._clock,
            settings.retry_budget,
        )
        self._links = RelayLinks(
            self._identity,
            settings.region,
            rules,
            self._table,
            settings.names,
            self._clock,
            budget,
        )
        self._following = StoreFollowing(
            own,
            self._table,
            self._links,
            rules,
            self._clock,
            settings.config_apply_ms,
        )
        peers = RandomPeers(settings.node, self._table, self._links)
        self._gossip = NodeGossip(
            self._table, self._links, peers, registry.records_seen
        )
        rules.on_change(
            RulesGossip(peers, self._links, settings.region, self._following).announce
        )
        if not settings.first_start:
            rules.check_first(
                FirstRules(peers, self._links, rules, self._following).check
            )
        self._table.keep_deleted_if(self._links.is_connected)
        self._reaper = NodeReaper(
            settings.node, self._table, self._links, registry, self._clock
        )
        self._recovery = GuardRecovery(
            settings, self._guard, self._table, self._links, peers, registry, clock
        )
        strikes = StrikeGossip(
            settings.service, self._guard.crashes, self._table, self._links, peers
        )
        self._own = OwnState(
            own, self._guard, self._recovery, registry, self._gossip.announce
        )
        self._quotas = QuotaGate(
            settings,
            self._identity,
            self._table,
            self._links,
            rules.find_team,
            self._metrics,
            self._clock,
        )
        self._relay = RelayServer(
            self._identity,
            self._guard,
            rules,
            settings.names,
            budget,
            self._clock,
            StateExchange(
                self._gossip.apply,
                self._links.on_peer_version,
                self._following.status,
                self._gossip.latest_for,
                self._recovery.on_state,
                self._recovery.state_of,
                strikes.apply,
                strikes.apply_uncounted,
                self._recovery.wanted_state,
                self._quotas.on_request,
            ),
        )
        if settings.balancing.by_completion:
            self._guard.speed.enable()
        policy = DispatchPolicy.of_node(
            own, settings.retry_budget, settings.traffic, settings.balancing
        )
        self._traffic = policy.placement.traffic
        self._dispatcher = Dispatcher(
            self._table,
            own,
            self._guard,
            self._links,
            shares,
            self._clock,
            policy,
        )
        admission = EntryAdmission(shares, self._guard.tree.costs, self._clock)
        self._explainer = RouteExplainer(
            settings,
            rules,
            self._dispatcher,
            policy.placement,
            admission,
            self._following,
            clock,
        )
        self._forwarder = Forwarder(
            rules,
            self._guard,
            self._quotas.limit(self._dispatcher),
            admission,
            self._metrics,
            self._clock,
            settings.names,
        )
        self._entry = EntryListener(self._forwarder, settings, budget, self._clock)
        self._arrival_log = ArrivalLog(self._guard)
        self._suspension = SuspensionWatch(clock, self._renew_waits)
        self._readiness = self.service_listener('readiness', self._serve_readiness)
        self._metrics_listener = self.service_listener('metrics', self._serve_operators)
        self._stopping = False
        self._ticks = 0
        self._withheld_ticks = 0
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def ready(self) -> bool:
        """Return whether callers should use this node."""
        return not self._stopping and self._rules.served is not None

    @property
    def crashes(self) -> CrashWatch:
        """Return the watch for crashes of the upstream."""
        return self._guard.crashes

    def service_listener(self, name: str, respond: Respond) -> ServiceListener:
        """Return a listener for small requests, which counts against the memory.

        Args:
            name: Name of the listener in the log.
            respond: Returns the response to a request.
        """
        return ServiceListener(
            name, respond, self._settings.names, self._memory.budget, self._clock
        )

    async def start(self) -> None:
        """Open the listeners and start to receive routing rules and node records.

        It waits while the former process of the VM uses an address. If it is cancelled,
        call ``close``.
        """
        settings = self._settings
        self._links.start(
            self._following.on_status,
            self._gossip.apply,
            self._recovery.on_state,
            self._recovery.state_of,
            self._quotas.on_grant,
        )
        self._recovery.begin(self._own.publish)
        await self._relay.listen(settings.relay)
        await self._readiness.start_when_free(settings.readiness)
        # Calls do not depend on it.
        opening = self._metrics_listener.start_when_free(settings.metrics)
        self._tasks.append(spawn(opening, 'metrics'))
        await self._entry.listen('entry', settings.entry)
        following = self._following
        await self._source.start(
            self._rules, following.rules_turns, following.rules_confirmed
        )
        await self._registry.start(
            self._table,
            self._own.accepted,
            following.nodes_turns,
            self._on_nodes_confirmed,
        )
        self._tasks += [
            repeat(self._tick, TICK_S, 'tick'),
            repeat(self._following.check, CHECK_S, 'follow'),
            repeat(self._reap, REAP_INTERVAL_S, 'reap'),
            repeat(self._recovery.renew_presence, PRESENCE_INTERVAL_S, 'presence'),
        ]
        log.info(
            'Started.',
            node=settings.node,
            incarnation=self._identity.incarnation,
            service=settings.service,
            zone=settings.zone,
        )

    def apply_settings(self, settings: MeshSettings) -> None:
        """Apply the settings that may change while the node runs.

        Args:
            settings: All settings; the address of the upstream and the time for a stop
                take effect now, others at the next start.
        """
        self._settings = self._settings.with_live(settings)
        self._pool.move(settings.upstream.host, settings.upstream.port)

    def apply_report(self, report: UpstreamReport, *, is_current: bool = False) -> bool:
        """Apply a status report of the upstream on the VM.

        Args:
            report: The report.
            is_current: Whether it was sent after this process had started, which its
                arrival does not tell.

        Returns:
            Whether a current report is needed, as the upstream may have left before.
        """
        if report.service != self._settings.service:
            log.warning(
                'Report ignored, it is for another service.', service=report.service
            )
            return False
        # Beyond this number it would fail to connect, as if the upstream were gone.
        limit = self._entry.connections.settings.upstream
        if self._guard.apply_report(report.with_slots(limit), is_current=is_current):
            self._own.publish()
        else:
            self._own.publish_departures()
        return self._guard.status.doubt.is_active

    def upstream_left(self, upstream_id: str, start_unix_ms: int = 0) -> None:
        """Record that the upstream on the VM is leaving.

        Args:
            upstream_id: Its id.
            start_unix_ms: Its start as Unix time in ms, or 0 if it is not told.
        """
        now_unix_ms = unix_ms()
        self._guard.upstream_left(upstream_id, start_unix_ms, now_unix_ms)
        self._own.publish_departures()

    async def departures_kept(self) -> bool:
        """Return whether what upstreams said of their leaving outlives this process.

        It waits for the registry or for other nodes, for less than a second.
        """
        return await self._own.departures_kept()

    async def stop(self) -> None:
        """Finish the running requests and close the listeners."""
        begin_ms = self._clock.now_ms()
        self._stopping = True
        self._recovery.abandon()
        self._guard.refuse_calls(STOPPING)
        self._own.publish()
        self._entry.close_connections()
        log.info('Stopping.', requests=self._entry.running)
        deadline_ms = begin_ms + self._settings.stop_within_ms - STOP_MARGIN_MS
        self._forwarder.end_by(deadline_ms - STOP_RESPONSE_MS)
        notice_end_ms = min(begin_ms + STOP_NOTICE_MS, deadline_ms)
        await asyncio.sleep(max(notice_end_ms - self._clock.now_ms(), 0) / MS_PER_S)
        self._entry.refuse_new()
        await self._drain_callers(deadline_ms)
        await self._wait_until_idle(deadline_ms)
        await self._relay.finish()
        log.info('Stopped.', requests=self._entry.running)
        await self.close()

    async def close(self) -> None:
        """Close everything immediately."""
        for task in self._tasks:
            task.cancel()
        self._entry.abort()
        self._quotas.close()
        self._readiness.close()
        self._metrics_listener.close()
        await self._source.close()
        await self._registry.close()
        self._relay.close()
        await self._links.close()
        self._pool.close()

    async def _wait_until_idle(self, deadline_ms: float) -> None:
        """Wait until no call runs, and other nodes have received their answers."""
        while self._clock.now_ms() < deadline_ms:
            if not (self._guard.busy or self._relay.busy):
                return
            await asyncio.sleep(IDLE_POLL_S)
        log.warning('Responses are cut.', to_nodes=self._relay.busy)

    async def _drain_callers(self, deadline_ms: float) -> None:
        """Accept no more connections, and close each one after its current request.

        Callers may send until the process exits, so waiting for a pause between
        requests would accept new ones until the deadline and abort them then. The
        links stay open meanwhile, as requests that were read need them.
        """
        left_ms = max(deadline_ms - self._clock.now_ms(), 0)
        await self._entry.drain(left_ms / MS_PER_S)

    def _tick(self) -> None:
        self._ticks += 1
        self._suspension.check()
        self._guard.check()
        self._relay.check()
        self._quotas.knows_nodes()
        self._withheld_ticks = (
            self._withheld_ticks + 1 if self._rules.is_withheld else 0
        )
        if self._withheld_ticks > WITHHOLD_TICKS:
            self._rules.serve_unconfirmed()
        if not self._ticks % ARRIVAL_LOG_TICKS:
            self._arrival_log.write()
            guards = self._table.of_service(self._settings.service)
            self._guard.gate.share_slack(len(guards))
        if not self._ticks % TIMEOUT_TICKS:
            self._entry.check_timeouts()
        if not self._ticks % MEMORY_TICKS:
            self._memory.check()
        if not self._ticks % FORGET_TICKS:
            self._forget_removed_nodes()

    def _renew_waits(self) -> None:
        self._source.refresh()
        self._registry.refresh()
        self._links.end_overdue_calls()

    async def _reap(self) -> None:
        if not self._stopping:
            await self._reaper.check()

    def _forget_removed_nodes(self) -> None:
        self._table.purge_deleted()
        self._links.forget_removed_nodes()
        self._dispatcher.forget_removed_nodes()
        self._relay.forget_departed_senders()

    def _on_nodes_confirmed(self, as_of_ms: float) -> None:
        self._following.nodes_confirmed(as_of_ms)
        self._quotas.on_nodes_confirmed()
        if not self._recovery.has_read_table:
            self._recovery.table_read()
            self._own.publish()

    async def _serve_operators(self, request: HttpRequest) -> HttpResponse:
        path, _, query = request.target.partition(b'?')
        if path == EXPLAIN_PATH:
            return self._explainer.respond(query)
        if path != METRICS_PATH:
            return plain_response(STATUS_NOT_FOUND)
        load = self._guard.load('')
        gauges = (
            ('running', 'Requests that the upstream runs.', load.running),
            ('queued', 'Requests that wait for the upstream.', load.queued),
            ('limit', 'Requests that the upstream may run at once.', load.limit),
            (
                'share',
                'Share of new requests in thousandths.',
                load.shares[self._guard.service],
            ),
            (
                'tree_share',
                'Completable share of usual calls, in thousandths, while rejecting.',
                load.tree_shares.get(self._guard.service, SHARE_SCALE),
            ),
            (
                'service_ms',
                'Mean time of a request on the upstream in ms; 0 if not measured.',
                load.service_ms,
            ),
            (
                'capacity',
                'Requests beyond which the upstream completes no more at once.',
                load.capacity,
            ),
            ('nodes', 'Nodes known.', len(self._table)),
            (
                'repeats_refused',
                'Repeats refused by the retry budget.',
                self._guard.gate.refused,
            ),
            (
                'repeat_credit',
                'Repeats that the retry budget permits now.',
                self._guard.gate.credit,
            ),
            *self._memory.gauges,
            ('rules_version', 'Version of the rules in force.', self._rules.version),
            (
                'rules_source_silent_ms',
                'Time in ms since the source of the rules last answered.',
                self._source.silent_ms,
            ),
            (
                'rules_age_ms',
                'Time in ms since the rules were known to be the newest.',
                self._following.rules_age_ms,
            ),
            (
                'nodes_age_ms',
                'Time in ms since the node records were known to be the newest.',
                self._following.nodes_freshness().age_ms,
            ),
            (
                'follower',
                'Whether this node asks the store on behalf of others.',
                int(self._following.is_follower),
            ),
            (
                'entry_connections',
                'Connections of callers.',
                len(self._entry.connections),
            ),
            (
                'entry_connections_limit',
                'Connections of callers that are served.',
                self._entry.connections.settings.callers,
            ),
            ('entry_running', 'Requests of callers under way.', self._entry.running),
            ('upstream_connections', 'Connections opened.', self._pool.opened),
        )
        for name, doc, value in gauges:
            self._metrics.set_gauge(name, doc, value)
        self._quotas.report()
        self._metrics.on_arrivals(self._guard.gate.arrivals.total)
        self._metrics.on_placements(self._traffic.calls)
        text, content_type = self._metrics.render()
        return plain_response(STATUS_OK, text, content_type)

    async def _serve_readiness(self, request: HttpRequest) -> HttpResponse:
        path = request.target.partition(b'?')[0].decode(errors='replace')
        if path != self._settings.readiness_path:
            return plain_response(STATUS_NOT_FOUND)
        return plain_response(STATUS_OK if self.ready else STATUS_NOT_READY)
