"""Settings and measurements by which a node sends calls."""

import dataclasses
import random

from gentianmill.completion_placement import BalancingSettings, CompletionPlacement
from gentianmill.node_table import NodeRecord
from gentianmill.placement import Placement
from gentianmill.retry_budget import RetryBudgetSettings
from gentianmill.zone_traffic import TrafficSettings

__all__ = ('DispatchPolicy',)


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchPolicy:
    """Where a node sends calls, and how many retries it sends."""

    placement: Placement
    retry_ratio: float
    """Retries per call."""

    @property
    def waits_in_own_zone_only(self) -> bool:
        """Return whether new requests take free slots only in other zones.

        They would delay the callers of that zone, whose own way is shorter.
        """
        return self.placement.traffic.settings.is_adaptive

    @classmethod
    def of_node(
        cls,
        own: NodeRecord,
        budget: RetryBudgetSettings,
        traffic: TrafficSettings | None = None,
        balancing: BalancingSettings | None = None,
    ) -> 'DispatchPolicy':
        """Return the policy of a node that has measured nothing yet.

        Args:
            own: Record of the node.
            budget: Retry budget of each service.
            traffic: Cost of traffic between availability zones; the defaults if None.
            balancing: How it chooses between upstreams; the defaults if None.
        """
        rng = random.Random()  # noqa: S311
        by_completion = balancing is not None and balancing.by_completion
        placement = CompletionPlacement if by_completion else Placement
        return cls(placement(own.zone, own.region, rng, traffic), budget.ratio)
