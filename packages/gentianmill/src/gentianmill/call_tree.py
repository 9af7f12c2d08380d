"""Running requests of an upstream, and the calls that it makes for them."""

import dataclasses
import random
import re
from collections import OrderedDict
from collections.abc import Iterator

from gentianmill.arrivals import Cause
from gentianmill.tree_costs import TreeCosts

_SEPARATOR = re.compile('[^0-9A-Za-z]+')

ID_SEPARATOR = '.'
"""Usually follows the id of the calling request in the id of a call made for it."""

RANKS_PER_PRIORITY = 2
"""The first rank is for calls made for running requests, the second for new ones."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallOrigin:
    """Origin of a call."""

    rank: int
    """Order of the call in the queue of a guard; the lowest goes first."""

    parent_route: str | None
    """Route of the request for which it is made; None if the call is a new request."""

    cause: Cause = Cause.first
    """Inherited if that request is a duplicate attempt, since its calls are too."""

    team: str = ''
    """Team of that request, or empty if none."""

    @property
    def is_inner(self) -> bool:
        """Return whether an upstream makes the call for a running request."""
        return self.parent_route is not None


class CallTree:
    """Recognise the calls that an upstream makes for a request.

    Such a call belongs to a request on which work has already been spent, so it goes
    before new requests of the same priority. It has the priority of that request,
    not that of its own route.
    """

    def __init__(self) -> None:
        """Start without running requests."""
        self._running: dict[str, CallOrigin] = {}
        self._abandoned: OrderedDict[str, tuple[CallOrigin, float]] = OrderedDict()
        self._failed_downstream: set[str] = set()
        self._orphans = 0
        self._costs = TreeCosts(random.Random())  # noqa: S311

    @property
    def costs(self) -> TreeCosts:
        """Return the calls that trees make."""
        return self._costs

    @property
    def orphans(self) -> int:
        """Return the number of calls so far whose request was not known to run."""
        return self._orphans

    def start(
        self,
        request_id: str,
        rank: int,
        route: str,
        cause: Cause = Cause.first,
        team: str = '',
    ) -> None:
        """Record a request that starts on the upstream.

        Args:
            request_id: Its id.
            rank: Its order in the queue.
            route: Name of its route.
            cause: Why it was sent to the upstream.
            team: Name of its team, or empty if none.
        """
        self._costs.start(request_id)
        self._running[request_id] = CallOrigin(
            rank - rank % RANKS_PER_PRIORITY,
            route,
            Cause.inherited if cause.is_duplicate else Cause.first,
            team,
        )

    def end(self, request_id: str) -> None:
        """Record a request that ended."""
        self._running.pop(request_id, None)
        self._costs.end(request_id)
        self._failed_downstream.discard(request_id)

    def abandon(self, request_id: str, until_ms: float, now_ms: float) -> None:
        """Record that a request has no response and its caller stopped waiting.

        The upstream may continue to run it, so its calls are still recognised and
        keep their cause. Nothing happens if the request has ended.

        Args:
            request_id: Its id.
            until_ms: Deadline of the request at the upstream.
            now_ms: Current time.
        """
        origin = self._running.get(request_id)
        self.end(request_id)
        while self._abandoned and next(iter(self._abandoned.values()))[1] <= now_ms:
            self._abandoned.popitem(last=False)
        if origin is not None:
            self._abandoned[request_id] = (origin, until_ms)

    def call_failed(self, call_id: str) -> None:
        """Record that a call failed at the service that it was sent to.

        Args:
            call_id: Id of the call, not of the request that made it.
        """
        for parent_id in _parent_ids(call_id):
            if parent_id in self._running:
                self._failed_downstream.add(parent_id)
                return

    def add_call(self, call_id: str, service: str, route: str) -> None:
        """Count a call that is made for a running request.

        Args:
            call_id: Its id.
            service: Service that it is sent to.
            route: Its route.
        """
        if not self._costs.counted:
            return
        for parent_id in _parent_ids(call_id):
            if parent_id in self._running:
                self._costs.add_call(parent_id, service, route)
                return

    def parent_id(self, call_id: str) -> str | None:
        """Return the id of the running request that makes a call; None if unknown."""
        return next(
            (name for name in _parent_ids(call_id) if name in self._running), None
        )

    def has_failed_downstream(self, request_id: str) -> bool:
        """Return whether a call made for a running request has failed."""
        return request_id in self._failed_downstream

    def origin(self, request_id: str, priority: int) -> CallOrigin:
        """Return the origin of a call made on this VM.

        Args:
            request_id: Id of the call.
            priority: Priority of its route, for a call not made for a known request.
        """
        for parent_id in _parent_ids(request_id):
            parent = self._running.get(parent_id)
            if parent is None and parent_id in self._abandoned:
                parent = self._abandoned[parent_id][0]
            if parent is not None:
                return parent
        self._orphans += ID_SEPARATOR in request_id
        return CallOrigin(priority * RANKS_PER_PRIORITY + 1, None)


def _parent_ids(call_id: str) -> Iterator[str]:
    """Yield the ids that the calling request may have, the usual form first.

    The call's id contains that of the request, at its begin or its end, and a separator. An
    id without any relation to it can't be recognised.
    """
    parent_id, separator, _ = call_id.rpartition(ID_SEPARATOR)
    if separator:
        yield parent_id
    for found in _SEPARATOR.finditer(call_id):
        yield call_id[: found.start()]
        yield call_id[found.end() :]
