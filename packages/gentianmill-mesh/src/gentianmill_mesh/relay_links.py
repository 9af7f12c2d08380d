"""The links of a node to all others."""

import asyncio
from collections.abc import Callable

from gentianmill.byte_budget import ByteBudget
from gentianmill.clock import Clock
from gentianmill.node_table import NodeRecord, NodeTable
from gentianmill.relay_messages import (
    FreshnessStatus,
    KnownState,
    NodeNews,
    QuotaGrant,
    RulesRequest,
    StateRequest,
)
from gentianmill_mesh.relay_handshake import NodeIdentity
from gentianmill_mesh.relay_connection import RelayContext
from gentianmill_mesh.relay_link import RelayLink, new_call_keys
from gentianmill_mesh.rules_holder import RulesHolder
from gentianmill_mesh.wire_names import WireNames
from gentianmill_node.background import spawn

RULES_REQUEST_DELAY_S = 0.3
"""Time in which newer rules usually arrive, from this region or after a request."""

MAX_FAILING_SHARE = 0.5
"""Share of links that may fail; above it this node is more likely disconnected."""


class RelayLinks:
    """Keep one link for each other node."""

    def __init__(
        self,
        identity: NodeIdentity,
        region: str,
        rules: RulesHolder,
        table: NodeTable,
        names: WireNames,
        clock: Clock,
        budget: ByteBudget,
    ) -> None:
        """Create an empty set of links; call ``start`` before use.

        Args:
            identity: Identity of this node.
            region: Region of this node.
            rules: Routing rules in force, updated from nodes with newer ones.
            table: The other nodes.
            names: Header names of the deployment.
            clock: Clock of the node.
            budget: Limits what the node holds.
        """
        self._identity = identity
        self._region = region
        self._rules = rules
        self._table = table
        self._names = names
        self._clock = clock
        self._budget = budget
        self._links: dict[str, RelayLink] = {}
        self._context: RelayContext | None = None
        self._requested_versions: set[int] = set()

    def start(
        self,
        on_status: Callable[[FreshnessStatus, float], None],
        on_nodes: Callable[[NodeNews], None],
        on_state: Callable[[KnownState], None],
        state_of: Callable[[StateRequest], KnownState],
        on_quota_grant: Callable[[str, QuotaGrant], None],
    ) -> None:
        """Make links possible; call it while the event loop runs.

        Args:
            on_status: Called with what another node knows, and with a time in ms, by the
                clock of this node, before which it was not sent.
            on_nodes: Called with node records of another node.
            on_state: Called with what another node knows about the guard of a node.
            state_of: Returns what this node knows about the guard of another one.
            on_quota_grant: Called with the name of a node and its grant of tokens.
        """
        self._context = RelayContext(
            identity=self._identity,
            clock=self._clock,
            keys=new_call_keys(),
            names=self._names,
            on_version=self._on_version,
            on_rules=self._rules.offer,
            on_status=on_status,
            on_nodes=on_nodes,
            budget=self._budget,
            on_state=on_state,
            state_of=state_of,
            on_quota_grant=on_quota_grant,
        )

    async def close(self) -> None:
        """Close all links."""
        await asyncio.gather(*(link.close() for link in self._links.values()))

    def to(self, record: NodeRecord) -> RelayLink:
        """Return the link to a node."""
        if self._context is None:
            raise RuntimeError('the relay links are not started')
        link = self._links.get(record.name)
        if link is None or _address_changed(link.record, record):
            if link is not None:
                spawn(link.close(), 'close link')
            link = RelayLink(record, self._context)
            self._links[record.name] = link
        return link

    def reaches(self, record: NodeRecord) -> bool:
        """Return whether a node may be reachable; False while attempts to connect fail."""
        link = self._links.get(record.name)
        return (
            link is None
            or not link.unreachable
            or _address_changed(link.record, record)
        )

    def is_connected(self, record: NodeRecord) -> bool:
        """Return whether the link to a node is open."""
        link = self._links.get(record.name)
        return link is not None and link.connected

    @property
    def is_well_connected(self) -> bool:
        """Return whether this node reaches most of the others that it tried."""
        links = self._links.values()
        failing = sum(link.unreachable for link in links)
        is_any_open = any(link.connected for link in links)
        return is_any_open and failing <= len(links) * MAX_FAILING_SHARE

    def on_peer_version(self, name: str, version: int) -> None:
        """Request the rules of another node soon if they are still newer then.

        Args:
            name: The other node.
            version: Version of its rules.
        """
        record = self._table.find(name)
        if record is not None:
            self._on_version(record, version)

    def end_overdue_calls(self) -> None:
        """Time out the calls whose deadlines have passed during a suspension."""
        for link in self._links.values():
            link.end_overdue_calls()

    def forget_removed_nodes(self) -> None:
        """Close the links to nodes that are no longer known."""
        for name, link in tuple(self._links.items()):
            if self._table.find(name) is None and not (link.connected or link.busy):
                self._links.pop(name)
                spawn(link.close(), 'close link')

    def _on_version(self, record: NodeRecord, version: int) -> None:
        if version > self._rules.version and version not in self._requested_versions:
            self._requested_versions.add(version)
            spawn(self._request_rules(record, version), 'request rules')

    async def _request_rules(self, record: NodeRecord, version: int) -> None:
        """Request newer rules, at once from this region, else if nobody else brings them.

        Bytes between regions cost more than those from the source.
        """
        if record.region != self._region:
            await asyncio.sleep(RULES_REQUEST_DELAY_S)
        if self._rules.version < version:
            request = RulesRequest(self._rules.version)
            spawn(self.to(record).post(request), 'request rules')
            await asyncio.sleep(RULES_REQUEST_DELAY_S)
        self._requested_versions.discard(version)


def _address_changed(known: NodeRecord, record: NodeRecord) -> bool:
    return (known.host, known.relay_port) != (record.host, record.relay_port)
