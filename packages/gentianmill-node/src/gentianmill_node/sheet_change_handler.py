"""The handling of a new planning sheet."""

from gentianmill.sheet import Sheet

from gentianmill_node.metrics import Metrics
from gentianmill_node.policy import Policy


class SheetChangeHandler:
    """Apply a new sheet to the policy objects and to the metrics."""

    def __init__(self, policy: Policy, metrics: Metrics) -> None:
        """Create the handler of new sheets.

        Args:
            policy: The policy objects.
            metrics: Metrics of the node.
        """
        self._policy = policy
        self._metrics = metrics

    def apply(self, sheet: Sheet) -> None:
        """Apply a sheet that has come into force."""
        self._policy.apply(sheet)
        self._metrics.set_named_tenants(sheet.tenants)
