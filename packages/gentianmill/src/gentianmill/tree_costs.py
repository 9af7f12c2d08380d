"""How many calls to each service the call tree of a request makes.

A guard counts the calls of some of the requests on its upstream. Calls at deeper levels
are added as the average of their route, which its node has learned from their answers,
so that no level must count the same requests. Rajomon (Xing and others, 2025) sends
prices up the call graph in a similar way; counts change only with the software.
"""

import random
from collections.abc import Mapping

SAMPLE_PERIOD = 8
"""One request in this number is counted, and its answer carries the counts."""

MAX_COUNTED = 256
"""Requests that are counted at a time."""

COST_WEIGHT = 0.1
"""Weight of a new tree in the averages of a route."""


class TreeCosts:
    """Average calls of a tree by route and service, and counts of running requests."""

    def __init__(self, rng: random.Random) -> None:
        """Start without counts.

        Args:
            rng: Rounds averages, so that their sums are right on average.
        """
        self._rng = rng
        self._started = 0
        self._counted: dict[str, dict[str, float]] = {}
        self._averages: dict[str, dict[str, float]] = {}

    @property
    def counted(self) -> int:
        """Return the number of running requests whose calls are counted."""
        return len(self._counted)

    def start(self, request_id: str) -> None:
        """Count the calls of a request that starts, if it is in the sample."""
        self._started += 1
        if self._started % SAMPLE_PERIOD == 1 and len(self._counted) < MAX_COUNTED:
            self._counted[request_id] = {}

    def add_call(self, request_id: str, service: str, route: str) -> None:
        """Add a call that is made for a request, with all calls below it.

        Args:
            request_id: Id of the request that makes it.
            service: Service that runs the call.
            route: Its route.
        """
        counts = self._counted.get(request_id)
        if counts is None:
            return
        counts[service] = counts.get(service, 0) + 1
        for below, count in self._averages.get(route, {}).items():
            counts[below] = counts.get(below, 0) + count

    def end(self, request_id: str) -> dict[str, int]:
        """Return the calls of a request by service; empty if it is not counted."""
        counts = self._counted.pop(request_id, None)
        if not counts:
            return {}
        return {
            service: int(count + self._rng.random())
            for service, count in counts.items()
        }

    def learn(self, route: str, calls: Mapping[str, int]) -> None:
        """Apply the counts of an answered request.

        Args:
            route: Its route.
            calls: Calls by service; empty if they were not counted.
        """
        if not calls:
            return
        averages = self._averages.get(route)
        if averages is None:
            self._averages[route] = {name: float(calls[name]) for name in calls}
            return
        for service in averages.keys() | calls.keys():
            count = calls.get(service, 0)
            # A deeper level is new when the node below has just learned of it.
            average = averages.get(service, count)
            averages[service] = average + COST_WEIGHT * (count - average)

    def calls(self, route: str) -> Mapping[str, float]:
        """Return the average calls below a request by service; empty if unknown."""
        return self._averages.get(route, {})
