"""A queue that is fair among flows, by the cost of their items."""

import heapq
import itertools
from collections import OrderedDict
from typing import Generic, TypeVar

__all__ = ('STALE_ENTRIES', 'FairQueue')

STALE_ENTRIES = 64
"""Stale heap entries and idle flows that may accumulate before a rebuild."""

Item = TypeVar('Item')


class FairQueue(Generic[Item]):
    """Order items by virtual finish time.

    Each item advances the virtual time of its flow by its cost, so that flows with waiting
    items are served equal cost, and a flow with many items delays its own ones only.
    Source: Goyal, Vin and Cheng, "Start-time Fair Queueing", 1996.
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self._tags: OrderedDict[Item, float] = OrderedDict()
        self._charges: dict[Item, tuple[str, float]] = {}
        self._first: list[tuple[float, int, Item]] = []
        self._last: list[tuple[float, int, Item]] = []
        self._flow_tags: dict[str, float] = {}
        self._refunds: dict[str, float] = {}
        self._repeats: dict[str, list[tuple[float, int, Item]]] = {}
        self._virtual_time: float = 0
        self._serial = itertools.count()

    def __len__(self) -> int:
        """Return the number of items."""
        return len(self._tags)

    @property
    def items(self) -> list[Item]:  # noqa: WPS110
        """Return all items, the oldest first."""
        return list(self._tags)

    @property
    def oldest(self) -> Item | None:
        """Return the item that has waited longest."""
        return next(iter(self._tags), None)

    def place_for(self, flow: str, cost: float, *, is_repeat: bool = False) -> float:
        """Return the virtual finish time that an item would have in the queue now.

        Args:
            flow: Name of its flow.
            cost: Its cost, in any unit.
            is_repeat: Whether it goes after the other items of its flow.
        """
        repeat = None if is_repeat else self._next_repeat(flow)
        if repeat is not None:
            return self._tags[repeat]
        return self.tag_for(flow, cost)

    def tag_for(self, flow: str, cost: float) -> float:
        """Return the virtual finish time that the next item of a flow would get last.

        Args:
            flow: Name of its flow.
            cost: Its cost, in any unit.
        """
        flow_tag = self._flow_tags.get(flow, 0)
        if flow_tag <= self._virtual_time:
            return self._virtual_time + cost
        return flow_tag + max(cost - self._refunds.get(flow, 0), 0)

    def count_before(self, tag: float) -> int:
        """Return how many items go before one with a virtual finish time."""
        return sum(1 for other in self._tags.values() if other <= tag)

    def push(
        self, item: Item, flow: str, cost: float, *, is_repeat: bool = False
    ) -> None:
        """Add an item.

        An item that is no repeat takes the place of the next repeat of its flow, which
        goes to the end of the flow instead.

        Args:
            item: The item; compared by identity or by value.
            flow: Name of its flow.
            cost: Its cost, in the same unit for all items.
            is_repeat: Whether it goes after the other items of its flow.
        """
        displaced = None if is_repeat else self._next_repeat(flow)
        tag = self.tag_for(flow, cost)
        left = self._refunds.pop(flow, 0) - cost
        if left > 0 and self._flow_tags.get(flow, 0) > self._virtual_time:
            self._refunds[flow] = left
        self._flow_tags[flow] = tag
        if displaced is None:
            self._place(item, tag, (flow, cost), is_repeat=is_repeat)
        else:
            earlier, charge = self._tags[displaced], self._charges[displaced]
            self._place(displaced, tag, (flow, cost), is_repeat=True)
            self._place(item, earlier, charge, is_repeat=False)
        self._compact()

    def peek(self) -> Item | None:
        """Return the item that starts next, or None if the queue is empty."""
        return self._top(self._first)

    def last(self) -> Item | None:
        """Return the newest item of the flow with the largest backlog."""
        return self._top(self._last)

    def last_tag(self) -> float:
        """Return the largest virtual finish time; 0 if the queue is empty."""
        item = self.last()
        return 0 if item is None else self._tags[item]

    def start(self, item: Item) -> None:
        """Remove an item that starts and charge its flow."""
        self._virtual_time = max(self._virtual_time, self._tags.pop(item))
        self._charges.pop(item)

    def remove(self, item: Item) -> None:
        """Remove an item that does not start; its flow is not charged."""
        tag = self._tags.pop(item)
        flow, cost = self._charges.pop(item)
        if tag == self._flow_tags.get(flow):
            self._flow_tags[flow] = tag - cost
        elif flow in self._flow_tags:
            # A lower tag would put the next item before those that wait.
            self._refunds[flow] = self._refunds.get(flow, 0) + cost

    def _place(
        self, item: Item, tag: float, charge: tuple[str, float], *, is_repeat: bool
    ) -> None:
        serial = next(self._serial)
        self._tags[item] = tag
        self._charges[item] = charge
        heapq.heappush(self._first, (tag, serial, item))
        heapq.heappush(self._last, (-tag, -serial, item))
        if is_repeat:
            repeats = self._repeats.setdefault(charge[0], [])
            heapq.heappush(repeats, (tag, serial, item))

    def _next_repeat(self, flow: str) -> Item | None:
        """Return the repeat of a flow that would start first, or None."""
        repeats = self._repeats.get(flow)
        if repeats is None:
            return None
        found = self._top(repeats)
        if found is None:
            self._repeats.pop(flow)
        return found

    def _is_stale(self, entry: tuple[float, int, Item]) -> bool:
        """Return whether an item has left, or has another place by now."""
        tag = self._tags.get(entry[2])
        return tag is None or tag != abs(entry[0])

    def _top(self, heap: list[tuple[float, int, Item]]) -> Item | None:
        while heap and self._is_stale(heap[0]):
            heapq.heappop(heap)
        return heap[0][2] if heap else None

    def _compact(self) -> None:
        # Amortised constant: at least half of the entries are stale by then.
        max_entries = 2 * len(self._tags) + STALE_ENTRIES
        if len(self._first) > max_entries:
            self._first = self._without_stale(self._first)
        if len(self._last) > max_entries:
            self._last = self._without_stale(self._last)
        if len(self._flow_tags) > max_entries:
            self._flow_tags = {
                flow: tag
                for flow, tag in self._flow_tags.items()
                if tag > self._virtual_time
            }
            self._refunds = {
                flow: refund
                for flow, refund in self._refunds.items()
                if flow in self._flow_tags
            }

    def _without_stale(
        self, heap: list[tuple[float, int, Item]]
    ) -> list[tuple[float, int, Item]]:
        live = [entry for entry in heap if not self._is_stale(entry)]
        heapq.heapify(live)
        return live
