"""Start, drain and close one node."""

import asyncio
from collections.abc import Callable

from aiohttp import web
from gentianmill.member import MemberStatus
from gentianmill.messages import StrikeFrame
from gentianmill.settings_models import NodeSettingsModel

from gentianmill_node.background import repeat, spawn
from gentianmill_node.assembly import assemble_control, assemble_data_path
from gentianmill_node.caller_listener import CallerListener, EgressListener
from gentianmill_node.drain import drain
from gentianmill_node.health_watch import HealthWatch, UpstreamState
from gentianmill_node.auth_keys import read_key
from gentianmill_node.logs import component
from gentianmill_node.operator_listener import operator_app
from gentianmill_node.peer_listener import PeerHandlers, PeerListener
from gentianmill_node.running_view import RunningNodeView
from gentianmill_node.strikes import to_strike
from gentianmill_node.tls import node_server_context, server_context
from gentianmill_node.web_server import WebServer

HOUSEKEEPING_INTERVAL_S = 1.0

log = component('node')


class Node:
    """The listeners and components of the process beside one upstream."""

    def __init__(
        self, settings: NodeSettingsModel, on_drained: Callable[[], None]
    ) -> None:
        """Create a node that does not run yet.

        Args:
            settings: Settings of the node.
            on_drained: Called when a drain that an operator requested has ended.
        """
        self._settings = settings
        self._on_drained = on_drained
        self._control = assemble_control(settings)
        self._data = assemble_data_path(settings, self._control)
        self._caller = CallerListener(self._data.listeners)
        self._egress = EgressListener(self._data.listeners, self._data.running)
        self._peer = self._peer_listener()
        self._health = HealthWatch(
            settings.upstream, self._data.upstream, self._upstream_changed
        )
        self._server = WebServer()
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start all components, open the listeners and join the other nodes."""
        await self._data.upstream.start()
        await self._control.peers.start()
        await self._data.claims.start()
        await self._data.sweeper.start()
        await self._control.sheet_loop.start()
        await self._start_listeners()
        await self._control.members.start()
        await self._health.start()
        self._tasks.append(
            repeat(self._keep_house, HOUSEKEEPING_INTERVAL_S, 'housekeeping')
        )
        log.info('Node started.', node_id=self._control.own.node_id)

    async def drain(self) -> None:
        """Refuse new calls, finish running calls and write pending claims."""
        self.refuse_new_work()
        await drain(
            self._settings.drain,
            self._active,
            lambda: self._server.connections('caller'),
            self._stop_accepting,
        )
        await self._data.claims.close()

    def refuse_new_work(self) -> None:
        """Refuse new calls to this node's upstream and notify the other nodes."""
        self._data.guard.start_drain()
        self._control.members.set_status(MemberStatus.draining)

    def start_drain(self) -> None:
        """Drain in the background, as requested by an operator."""
        self.refuse_new_work()
        self._tasks.append(spawn(self._drain_for_operator(), 'drain'))

    async def close(self) -> None:
        """Leave the membership and close all components."""
        for task in self._tasks:
            task.cancel()
        await self._health.close()
        await self._data.sweeper.close()
        await self._control.sheet_loop.close()
        await self._control.members.close()
        await self._data.claims.close()
        await self._peer.close()
        await self._server.close()
        await self._control.peers.close()
        await self._data.upstream.close()
        await self._control.table_session.close()
        self._data.gate.close()

    def _active(self) -> int:
        return self._data.guard.active + self._caller.active + self._egress.active

    async def _stop_accepting(self) -> None:
        self._caller.end_connections()
        await self._server.stop_accepting('caller')

    async def _drain_for_operator(self) -> None:
        await self.drain()
        self._on_drained()

    async def _start_listeners(self) -> None:
        listeners = self._settings.listeners
        host = str(listeners.host)
        limit = listeners.max_body_bytes
        start = self._server.start
        tls = server_context(listeners)
        operator = self._operator_app()
        caller = self._caller.server(limit)
        await start(
            'peer',
            self._peer.app(),
            host,
            listeners.peer_port,
            node_server_context(listeners),
        )
        await start('operator', operator, host, listeners.operator_port, tls)
        await start('caller', caller, host, listeners.caller_port, tls)
        await start(
            'egress',
            self._egress.server(limit),
            str(listeners.egress_host),
            listeners.egress_port,
            tls=None,
        )

    def _operator_app(self) -> web.Application:
        view = RunningNodeView(
            self._control, self._data, self._health, self.start_drain
        )
        return operator_app(view, read_key(self._settings.keys.operator_key_file))

    def _peer_listener(self) -> PeerListener:
        handlers = PeerHandlers(
            run=self._data.guard.run_frame,
            spend=self._data.retries.spend,
            strike=self._apply_strike,
            bulk=self._data.bulk_guard.handle,
        )
        return PeerListener(handlers, read_key(self._settings.keys.peer_key_file))

    def _apply_strike(self, frame: StrikeFrame) -> None:
        if frame.service == self._control.own.service:
            self._data.suspects.merge(to_strike(frame))

    def _upstream_changed(self, state: UpstreamState) -> None:
        guard = self._data.guard
        guard.mark_upstream_draining(state is UpstreamState.draining)
        if guard.draining:
            return
        ready = state is UpstreamState.ready
        status = MemberStatus.alive if ready else MemberStatus.draining
        self._control.members.set_status(status)

    async def _keep_house(self) -> None:
        try:
            await self._control.peers.close_idle()
        except OSError as error:
            log.info('Idle connection was not closed cleanly.', error=repr(error))
        self._data.gate.tick()
