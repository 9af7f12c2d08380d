"""Pause between commits, so that all nodes together respect the write budget."""

from gentianmill.membership import MemberTable

from gentianmill_node.policy import Policy
from gentianmill_node.sheet_source import SheetSource

MS_PER_S = 1000


class CommitPace:
    """Divide the table's write budget among the nodes that commit claims."""

    def __init__(
        self, members: MemberTable, sheets: SheetSource, policy: Policy
    ) -> None:
        """Create a pace.

        Args:
            members: Known members.
            sheets: Gives the sheet in force.
            policy: Holds the write budget.
        """
        self._members = members
        self._sheets = sheets
        self._policy = policy

    def pause_ms(self) -> float:
        """Return the pause between two commits of this node in ms."""
        budget = self._policy.limits.table_writes_per_s
        return MS_PER_S * max(self._committing(), 1) / budget

    def _committing(self) -> int:
        sheet = self._sheets.required()
        services = {
            name
            for name in sheet.services
            if any(operation.at_most_once for operation in sheet.operations(name))
        }
        return sum(
            member.service in services and not member.is_gone
            for member in self._members.members
        )
