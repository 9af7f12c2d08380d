"""What a node has learned about other nodes from their responses."""

import dataclasses
import math
from collections.abc import Callable, Collection
from typing import Generic, TypeVar

from gentianmill.node_table import NodeRecord

__all__ = ('NodeView', 'NodeViews')

FIRST_PAUSE_MS = 250.0
MAX_PAUSE_MS = 2000.0
"""Pause of a node that cannot run calls: the first one and the longest; it doubles each
time."""

MAX_REPORT_AGE_MS = 1500.0
"""Age at which a load report is ignored."""

FAILURE_DECAY_MS = 4000.0
"""Time constant of the decay of the share of failures."""


@dataclasses.dataclass(slots=True)
class NodeView:
    """What this node has learned about another one from its responses."""

    own_calls: int = 0
    """Calls from this node that have not ended."""

    own_calls_at_report: int = 0
    reported_calls: float = 0
    """Calls that run or wait there according to its last load report."""

    reported_ms: float = -math.inf
    limit: int = 1
    latency_ratio: float = 1
    """Latency relative to that of other nodes of the service."""

    failures: float = 0
    failed_ms: float = -math.inf
    paused_until_ms: float = -math.inf
    pause_ms: float = FIRST_PAUSE_MS

    def calls(self, now_ms: float) -> float:
        """Return the estimated number of calls that run or wait there."""
        others = self.reported_calls - self.own_calls_at_report
        age_ms = now_ms - self.reported_ms
        if others <= 0 or age_ms >= MAX_REPORT_AGE_MS:
            return self.own_calls
        return self.own_calls + others * (1 - age_ms / MAX_REPORT_AGE_MS)

    def failure_share(self, now_ms: float) -> float:
        """Return the share of failed calls, decayed since the last failure."""
        return self.failures * math.exp((self.failed_ms - now_ms) / FAILURE_DECAY_MS)


View = TypeVar('View', bound=NodeView)


class NodeViews(Generic[View]):
    """The state of each node, by name."""

    def __init__(self, create: Callable[[], View]) -> None:
        """Start without nodes.

        Args:
            create: Returns the state of an unknown node.
        """
        self._create = create
        self._views: dict[str, View] = {}

    def find(self, name: str) -> View:
        """Return the state of a node that may be unknown."""
        view = self._views.get(name)
        if view is None:
            view = self._create()
            self._views[name] = view
        return view

    def of(self, node: NodeRecord) -> View:
        """Return the state of a node, with the slots of its record if it is unknown."""
        view = self._views.get(node.name)
        if view is None:
            view = self.find(node.name)
            view.limit = max(node.slots, 1)
        return view

    def keep(self, names: Collection[str]) -> None:
        """Drop the state of all nodes except the given ones."""
        self._views = {
            name: view for name, view in self._views.items() if name in names
        }
