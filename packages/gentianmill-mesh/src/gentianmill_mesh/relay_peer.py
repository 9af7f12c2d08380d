"""Another node, and the frames that are exchanged with it beside calls."""

from collections.abc import Callable

from gentianmill.node_table import NodeRecord
from gentianmill.relay_messages import (
    FreshnessStatus,
    KnownState,
    NodeNews,
    QuotaGrant,
    QuotaRequest,
    RulesReply,
    RulesRequest,
    StateRequest,
    StrikeNews,
)
from gentianmill_mesh.relay_codec import RelayFrame
from gentianmill_mesh.relay_connection import (
    ConnectionListener,
    RelayConnection,
    RelayContext,
)
from gentianmill_node.background import spawn
from gentianmill_node.logs import component

__all__ = ('PostedFrame', 'RelayPeer')

POST_ATTEMPTS = 2
"""A connection may be silent; the next one was just opened."""

PostedFrame = KnownState | NodeNews | RulesRequest | StateRequest | StrikeNews

log = component('relay')


class RelayPeer(ConnectionListener):
    """Deliver frames to another node, and apply those that it sends."""

    def __init__(self, record: NodeRecord, context: RelayContext) -> None:
        """Create a peer without a connection.

        Args:
            record: The other node.
            context: State that all links share.
        """
        self._record = record
        self._context = context
        self._connection = RelayConnection(record, context, self)
        self._status_asked_ms: float | None = None
        self._handlers: dict[type, Callable[..., object]] = {
            RulesReply: lambda reply: context.on_rules(reply.document, record.name),
            NodeNews: context.on_nodes,
            FreshnessStatus: self._on_status,
            KnownState: context.on_state,
            QuotaGrant: lambda grant: context.on_quota_grant(record.name, grant),
            StateRequest: lambda asked: spawn(
                self.post(context.state_of(asked)), 'tell state'
            ),
        }

    @property
    def record(self) -> NodeRecord:
        """Return the other node."""
        return self._record

    @property
    def connected(self) -> bool:
        """Return whether the connection is open."""
        return self._connection.connected

    @property
    def unreachable(self) -> bool:
        """Return whether the last attempts to connect failed; further ones are made."""
        return self._connection.unreachable

    async def reach(self) -> bool:
        """Return whether the other node is reachable; connect if needed."""
        return self.connected or await self._connection.connect()

    async def post(self, frame: PostedFrame) -> bool:
        """Deliver a frame that is not a call; return whether the other node got it.

        The frame is sent again on a new connection if the node does not answer a ping
        after it, as the connection may have fallen silent unnoticed.
        """
        for _ in range(POST_ATTEMPTS):
            if not await self.reach():
                return False
            if self._connection.send(frame) and await self._connection.confirm():
                return True
        log.info('Frame not delivered.', peer=self._record.name)
        return False

    async def send_quota(self, frame: QuotaRequest) -> bool:
        """Send a request for tokens; return whether an open connection took it.

        It is not sent again: its sender asks another node if there is no answer.
        """
        return await self.reach() and self.send_now(frame)

    def send_now(self, frame: QuotaRequest) -> bool:
        """Send a request for tokens if the connection is open; return whether it is."""
        return self._connection.send(frame)

    async def confirm(self) -> bool:
        """Return whether the other node answers; drop a connection that is silent."""
        return await self._connection.confirm()

    async def ask_status(self, request: RulesRequest) -> None:
        """Ask the other node how recent its rules and node records are.

        Args:
            request: What this node knows; what is newer is sent, too.
        """
        self._status_asked_ms = self._context.clock.now_ms()
        await self.post(request)

    def apply_news(self, frame: RelayFrame) -> None:
        """Apply a frame that has nothing to do with calls."""
        handle = self._handlers.get(type(frame))
        if handle is not None:
            handle(frame)

    def _on_status(self, status: FreshnessStatus) -> None:
        """Apply a status that was asked for; without a request its age is unknown."""
        if self._status_asked_ms is not None:
            self._context.on_version(self._record, status.rules_version)
            self._context.on_status(status, self._status_asked_ms)
