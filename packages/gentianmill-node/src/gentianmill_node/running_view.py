"""The operators' view of the running node."""

from collections import Counter
from collections.abc import Callable, Sequence

from gentianmill.member import Member, MemberStatus

from gentianmill_node.assembly import ControlComponents, DataPathComponents
from gentianmill_node.health_watch import HealthWatch, UpstreamState
from gentianmill_node.node_view import (
    DrainReport,
    HealthReport,
    LimitsReport,
    NodeView,
    SheetReport,
)


class RunningNodeView(NodeView):
    """Assemble the reports from the components of the node."""

    def __init__(
        self,
        control: ControlComponents,
        data_path: DataPathComponents,
        health: HealthWatch,
        start_drain: Callable[[], None],
    ) -> None:
        """Create a view.

        Args:
            control: The control components.
            data_path: The components that process calls.
            health: Health checks of this node's upstream.
            start_drain: Starts the drain of the node.
        """
        self._control = control
        self._data_path = data_path
        self._health = health
        self._start_drain = start_drain

    def health(self) -> HealthReport:
        """Return whether the node accepts calls, and the reason if it does not."""
        reason = self._reason()
        return HealthReport(
            ready=not reason,
            reason=reason,
            node_id=self._control.own.node_id,
            state=self._state(),
            sheet_version=self._control.tracker.version,
        )

    def members(self) -> Sequence[Member]:
        """Return the members known to the node."""
        return self._control.members.table.members

    def limits(self) -> LimitsReport:
        """Return the load and the limits of the guard."""
        queue = self._data_path.gate.queue
        policy = self._control.policy
        return LimitsReport(
            in_flight=queue.in_flight,
            queued=queue.queued,
            limit=self._data_path.gate.limit,
            queue_delay_ms=queue.queue_delay_ms,
            level=policy.level.level,
            levels={
                service: report[0]
                for service, report in policy.levels.levels(
                    self._control.clock.now_ms()
                ).items()
            },
        )

    def drains(self) -> Sequence[DrainReport]:
        """Return the draining members; calls in flight are known only for this node."""
        own_id = self._control.own.node_id
        return [
            DrainReport(
                member.node_id,
                member.service,
                self._data_path.guard.active if member.node_id == own_id else None,
            )
            for member in self.members()
            if member.status is MemberStatus.draining
        ]

    def sheet(self) -> SheetReport:
        """Return the sheet in force."""
        record = self._control.tracker.record
        return SheetReport(
            record.version, record.text, record.accepted_by, record.accepted_unix_ms
        )

    async def drain(self) -> None:
        """Start the drain of this node; a second call has no effect."""
        if not self._data_path.guard.draining:
            self._start_drain()

    def metrics(self) -> tuple[bytes, str]:
        """Update the gauges and return all metrics with their content type."""
        metrics = self._control.metrics
        queue = self._data_path.gate.queue
        metrics.on_load(
            queue.in_flight,
            self._data_path.gate.limit,
            self._control.policy.level.level,
        )
        counts = Counter(member.status for member in self.members())
        for status in MemberStatus:
            metrics.on_members(status.name, counts[status])
        metrics.on_sheet(self._control.tracker.version)
        return metrics.render()

    def _state(self) -> str:
        if self._data_path.guard.draining:
            return UpstreamState.draining.value
        return self._health.state.value

    def _reason(self) -> str:
        if self._control.tracker.sheet is None:
            return self._control.tracker.not_ready_reason or 'no planning sheet'
        if self._data_path.guard.draining:
            return 'the node is draining'
        if self._health.state is not UpstreamState.ready:
            return f'the upstream is {self._health.state}'
        return ''
