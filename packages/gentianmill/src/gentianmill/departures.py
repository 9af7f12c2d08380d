"""Starts of upstreams that take no more calls."""

import dataclasses
from collections import OrderedDict
from collections.abc import Iterable

__all__ = ('Departure', 'DepartureTable', 'Departures')

MAX_DEPARTURES = 4
"""Upstreams remembered for one VM, the last ones; each reports for some seconds only."""

MAX_NODES = 1024
"""Nodes whose departures are remembered for them, enough for four days at 230 a day."""


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """The latest start of an upstream that takes no more calls."""

    upstream_id: str
    start_unix_ms: int


class Departures:
    """The departures of the upstreams of one VM."""

    def __init__(self) -> None:
        """Start without departures."""
        self._starts: OrderedDict[str, int] = OrderedDict()

    @property
    def entries(self) -> tuple[Departure, ...]:
        """Return the departures, oldest first."""
        return tuple(Departure(*entry) for entry in self._starts.items())

    def add(self, departure: Departure) -> bool:
        """Record a departure; return whether it was new."""
        known = self._starts.get(departure.upstream_id, -1)
        if departure.start_unix_ms <= known:
            return False
        self._starts[departure.upstream_id] = departure.start_unix_ms
        self._starts.move_to_end(departure.upstream_id)
        while len(self._starts) > MAX_DEPARTURES:
            self._starts.popitem(last=False)
        return True

    def covers(self, upstream_id: str, start_unix_ms: int) -> bool:
        """Return whether a start of an upstream takes no more calls."""
        return start_unix_ms <= self._starts.get(upstream_id, -1)


class DepartureTable:
    """What other nodes must not forget of their upstreams, kept for their restart."""

    def __init__(self) -> None:
        """Start without nodes."""
        self._nodes: OrderedDict[str, Departures] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of nodes."""
        return len(self._nodes)

    def of_node(self, node: str) -> tuple[Departure, ...]:
        """Return the departures on the VM of a node."""
        known = self._nodes.get(node)
        return () if known is None else known.entries

    def add(self, node: str, departures: Iterable[Departure]) -> bool:
        """Record departures on the VM of a node; return whether one was new."""
        known = self._nodes.setdefault(node, Departures())
        is_new = any([known.add(departure) for departure in departures])
        self._nodes.move_to_end(node)
        while len(self._nodes) > MAX_NODES:
            self._nodes.popitem(last=False)
        return is_new
