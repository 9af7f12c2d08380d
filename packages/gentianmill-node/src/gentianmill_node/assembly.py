"""Create the components of a node and connect them."""

import dataclasses

import aiohttp
from gentianmill.clock import Clock, MonotonicClock
from gentianmill.hedge import HedgePolicy
from gentianmill.concurrency_limit import AdaptiveLimit
from gentianmill.member import Member
from gentianmill.settings_models import NodeSettingsModel
from gentianmill.sheet_version import SheetTracker

from gentianmill_node.admission_gate import AdmissionGate
from gentianmill_node.bulk import BulkEntry, BulkEntryParts
from gentianmill_node.bulk_peer import BulkGuard, PeerBulkClient
from gentianmill_node.call_builder import CallBuilder
from gentianmill_node.call_report import CallReport
from gentianmill_node.caller_listener import ListenerParts
from gentianmill_node.claim_store import ClaimStore
from gentianmill_node.claim_sweeper import ClaimSweeper, sweep_turn
from gentianmill_node.commit_pace import CommitPace
from gentianmill_node.dispatch import Dispatcher, DispatchParts
from gentianmill_node.guard import Guard, GuardParts
from gentianmill_node.http_table import HttpTableStore
from gentianmill_node.auth_keys import read_key
from gentianmill_node.member_loop import MemberLoop
from gentianmill_node.members import MemberChangeHandler, own_member
from gentianmill_node.metrics import Metrics
from gentianmill_node.peer_client import PeerPool
from gentianmill_node.policy import Policy
from gentianmill_node.retry_gate import RetryGate
from gentianmill_node.running_calls import RunningCalls
from gentianmill_node.sheet_change_handler import SheetChangeHandler
from gentianmill_node.sheet_loop import SheetLoop
from gentianmill_node.sheet_source import SheetSource
from gentianmill_node.strikes import StrikeSender
from gentianmill_node.suspect_gate import SuspectGate
from gentianmill_node.tls import client_context
from gentianmill_node.upstream_client import UpstreamClient


@dataclasses.dataclass(frozen=True, slots=True)
class ControlComponents:
    """Components that track the other members and the planning sheet."""

    clock: Clock
    own: Member
    policy: Policy
    table_session: aiohttp.ClientSession
    table: HttpTableStore
    tracker: SheetTracker
    sheets: SheetSource
    sheet_loop: SheetLoop
    members: MemberLoop
    peers: PeerPool
    metrics: Metrics


@dataclasses.dataclass(frozen=True, slots=True)
class DataPathComponents:
    """Components that process calls."""

    running: RunningCalls
    upstream: UpstreamClient
    suspects: SuspectGate
    claims: ClaimStore
    sweeper: ClaimSweeper
    guard: Guard
    gate: AdmissionGate
    bulk_guard: BulkGuard
    retries: RetryGate
    listeners: ListenerParts


def assemble_control(settings: NodeSettingsModel) -> ControlComponents:
    """Create the control components of a node; call it from the running event loop.

    Args:
        settings: Settings of the node; key files are read here.

    Raises:
        GentianmillError: If a key file cannot be used.
    """
    clock = MonotonicClock()
    own = own_member(settings)
    policy = Policy(settings, own.node_id)
    session = aiohttp.ClientSession()
    table = HttpTableStore(settings.table, session)
    tracker = SheetTracker()
    metrics = Metrics()
    sheet_loop = SheetLoop(
        settings, clock, table, tracker, SheetChangeHandler(policy, metrics).apply
    )
    member_handler = MemberChangeHandler(policy, settings.node.region, clock)
    members = MemberLoop(settings, clock, table, own, member_handler.apply, sheet_loop)
    member_handler.apply(own)
    return ControlComponents(
        clock=clock,
        own=own,
        policy=policy,
        table_session=session,
        table=table,
        tracker=tracker,
        sheets=SheetSource(tracker),
        sheet_loop=sheet_loop,
        members=members,
        peers=_peer_pool(settings, clock),
        metrics=metrics,
    )


def _peer_pool(settings: NodeSettingsModel, clock: Clock) -> PeerPool:
    key = read_key(settings.keys.peer_key_file)
    return PeerPool(clock, key, client_context(settings.listeners))


def assemble_data_path(
    settings: NodeSettingsModel, control: ControlComponents
) -> DataPathComponents:
    """Create the components that process calls.

    Args:
        settings: Settings of the node.
        control: The control components.
    """
    running = RunningCalls()
    upstream = UpstreamClient(
        settings.upstream, settings.listeners.max_body_bytes, control.clock
    )
    strikes = StrikeSender(control.members.table, control.peers)
    suspects = SuspectGate(control.policy, control.clock, strikes.send)
    pace = CommitPace(control.members.table, control.tracker, control.policy)
    claims = ClaimStore(
        control.table, control.clock, control.own.node_id, pace.pause_ms
    )
    gate = AdmissionGate(
        control.policy,
        _limit(settings),
        control.clock,
        control.metrics.on_queue_delay,
    )
    guard = Guard(
        GuardParts(
            service=control.own.service,
            clock=control.clock,
            sheets=control.sheets,
            upstream=upstream,
            gate=gate,
            policy=control.policy,
            suspects=suspects,
            claims=claims,
            running=running,
        )
    )
    retries = RetryGate(
        control.policy, control.members.table, control.peers, control.clock
    )
    bulk_guard = BulkGuard(guard, upstream, control.clock)
    return DataPathComponents(
        running=running,
        upstream=upstream,
        suspects=suspects,
        claims=claims,
        sweeper=_sweeper(control, pace),
        guard=guard,
        gate=gate,
        bulk_guard=bulk_guard,
        retries=retries,
        listeners=_listener_parts(settings, control, guard, bulk_guard, retries),
    )


def _sweeper(control: ControlComponents, pace: CommitPace) -> ClaimSweeper:
    members = control.members.table
    return ClaimSweeper(
        control.table,
        control.clock,
        control.own.service,
        lambda: sweep_turn(members, control.own, pace.pause_ms()),
    )


def _listener_parts(
    settings: NodeSettingsModel,
    control: ControlComponents,
    guard: Guard,
    bulk_guard: BulkGuard,
    retries: RetryGate,
) -> ListenerParts:
    dispatcher = Dispatcher(
        DispatchParts(
            own_id=control.own.node_id,
            clock=control.clock,
            policy=control.policy,
            guard=guard,
            peers=control.peers,
            retries=retries,
            hedges=HedgePolicy(),
        )
    )
    report = CallReport(control.metrics)
    bulk = BulkEntry(
        BulkEntryParts(
            own=control.own,
            dispatcher=dispatcher,
            guard=bulk_guard,
            peers=PeerBulkClient(control.peers, control.clock),
            retries=retries,
            policy=control.policy,
            report=report,
            clock=control.clock,
        )
    )
    return ListenerParts(
        builder=CallBuilder(
            settings.node.region, control.clock, control.sheets, control.policy
        ),
        dispatcher=dispatcher,
        bulk=bulk,
        report=report,
        clock=control.clock,
        own_id=control.own.node_id,
    )


def _limit(settings: NodeSettingsModel) -> AdaptiveLimit:
    upstream = settings.upstream
    return AdaptiveLimit(upstream.slots, 1, upstream.connections)
