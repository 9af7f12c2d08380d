"""Shows where a call would be placed now, and why, without placing it."""

import copy
import dataclasses
from collections.abc import Iterable, Sequence

from gentianmill.node_table import NodeRecord
from gentianmill.placement import CandidateEstimate, Placement

__all__ = ('PlacementPreview', 'preview_placement')


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementPreview:
    """The candidates for a call, and the one that would be chosen."""

    chosen: str
    """Name of the node, or empty if there is none."""

    reason: str
    """Why it stays in the availability zone or leaves; empty if there is no node."""

    candidates: Sequence[CandidateEstimate]


def preview_placement(
    placement: Placement, nodes: Iterable[NodeRecord], route: str, now_ms: float
) -> PlacementPreview:
    """Return where a call would go.

    The decision is made by a copy, so that neither counters nor shares change. Costs of
    equal size are ordered by chance, as they are for a real call.

    Args:
        placement: What the node knows about the others.
        nodes: Nodes beside upstreams of the service.
        route: Name of the route.
        now_ms: Current time.
    """
    trial = copy.deepcopy(placement)
    known = tuple(nodes)
    estimates = [trial.estimate(node, route, now_ms) for node in known]
    before = trial.traffic.calls.copy()
    chosen = trial.choose(known, route, now_ms)
    if chosen is None:
        return PlacementPreview('', '', estimates)
    _, reason = next(iter(trial.traffic.calls - before))
    return PlacementPreview(chosen.name, reason, estimates)
