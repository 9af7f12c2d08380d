"""What follows from a new planning sheet."""

from gentianmill.sheet import Sheet

from gentianmill_node.metrics import Metrics
from gentianmill_node.policy import Policy


class SheetEffects:
    """Apply a new sheet to the decision objects and to the metrics."""

    def __init__(self, policy: Policy, metrics: Metrics) -> None:
        """Create the effects.

        Args:
            policy: The decision objects.
            metrics: Metrics of the node.
        """
        self._policy = policy
        self._metrics = metrics

    def apply(self, sheet: Sheet) -> None:
        """Put a sheet in force."""
        self._policy.apply(sheet)
        self._metrics.name_tenants(sheet.tenants)
