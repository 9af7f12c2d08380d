"""Pause between commits, so that all nodes together stay within the write budget."""

from gentianmill.membership import MemberTable
from gentianmill.sheet_version import SheetTracker

from gentianmill_node.policy import Policy

MS_PER_S = 1000


class CommitPace:
    """Divide the table's write budget among the nodes that commit claims."""

    def __init__(
        self, members: MemberTable, tracker: SheetTracker, policy: Policy
    ) -> None:
        """Create a pace for this node.

        Args:
            members: Known members.
            tracker: Holds the sheet in force.
            policy: Holds the write budget.
        """
        self._members = members
        self._tracker = tracker
        self._policy = policy

    def pause_ms(self) -> float:
        """Return the pause between two commits of this node in ms."""
        budget = self._policy.limits.table_writes_per_s
        return MS_PER_S * max(self._committing_nodes(), 1) / budget

    def _committing_nodes(self) -> int:
        sheet = self._tracker.sheet
        if sheet is None:
            return 1
        services = {
            name
            for name in sheet.services
            if any(operation.at_most_once for operation in sheet.operations(name))
        }
        return sum(
            member.service in services and not member.has_departed
            for member in self._members.members
        )
