"""Requests that run on an upstream, and the calls that they make."""

import dataclasses
from collections import OrderedDict

from gentianmill.arrivals import Cause

ID_SEPARATOR = '.'
"""Ends the id of the caller in the id of a call that it makes."""

RANKS_PER_PRIORITY = 2


@dataclasses.dataclass(frozen=True, slots=True)
class CallOrigin:
    """Where a call comes from."""

    rank: int
    """Order of the call in the queue of a guard; the lowest goes first."""

    parent_route: str | None
    """Route of the request for which an upstream makes it; None if it is new."""

    cause: Cause = Cause.first
    """Inherited if that request is a repeat, as its calls count as repeats too."""

    @property
    def is_inner(self) -> bool:
        """Return whether an upstream makes the call for a request that it runs."""
        return self.parent_route is not None


class CallTree:
    """Recognise the calls that an upstream makes for a request.

    Such a call is part of a request that has already cost something, so it goes
    before new requests of the same priority. It takes the priority of the request,
    not the one of its own route.
    """

    def __init__(self) -> None:
        """Start without running requests."""
        self._running: dict[str, CallOrigin] = {}
        self._given_up: OrderedDict[str, tuple[CallOrigin, float]] = OrderedDict()
        self._failed_below: set[str] = set()
        self._orphans = 0

    @property
    def orphans(self) -> int:
        """Return the calls so far whose request was not known to run."""
        return self._orphans

    def start(
        self, request_id: str, rank: int, route: str, cause: Cause = Cause.first
    ) -> None:
        """Take note of a request that starts on the upstream.

        Args:
            request_id: Its id.
            rank: Its order in the queue.
            route: Name of its route.
            cause: Why it was sent to the upstream.
        """
        self._running[request_id] = CallOrigin(
            rank - rank % RANKS_PER_PRIORITY,
            route,
            Cause.inherited if cause.is_repeat else Cause.first,
        )

    def end(self, request_id: str) -> None:
        """Take note of a request that ended."""
        self._running.pop(request_id, None)
        self._failed_below.discard(request_id)

    def give_up(self, request_id: str, until_ms: float, now_ms: float) -> None:
        """Take note that a request has no answer and nobody waits for it any more.

        Its upstream may go on with it, and its calls stay those of a repeat. Nothing
        happens if the request has ended.

        Args:
            request_id: Its id.
            until_ms: When the time that the upstream has for it is over.
            now_ms: Current time.
        """
        origin = self._running.get(request_id)
        self.end(request_id)
        while self._given_up and next(iter(self._given_up.values()))[1] <= now_ms:
            self._given_up.popitem(last=False)
        if origin is not None:
            self._given_up[request_id] = (origin, until_ms)

    def call_failed(self, call_id: str) -> None:
        """Take note that a call failed at the service that it was for.

        Args:
            call_id: Id of the call, not of the request that made it.
        """
        parent_id = _parent_id(call_id)
        if parent_id in self._running:
            self._failed_below.add(parent_id)

    def failed_below(self, request_id: str) -> bool:
        """Return whether a call that a running request made has failed."""
        return request_id in self._failed_below

    def origin(self, request_id: str, priority: int) -> CallOrigin:
        """Return where a call from this VM comes from.

        Args:
            request_id: Id of the call.
            priority: Priority of its route, for a call that no request makes.
        """
        parent_id = _parent_id(request_id)
        parent = self._running.get(parent_id)
        if parent is None and parent_id in self._given_up:
            parent = self._given_up[parent_id][0]
        if parent is None:
            self._orphans += bool(parent_id)
            return CallOrigin(priority * RANKS_PER_PRIORITY + 1, None)
        return parent


def _parent_id(call_id: str) -> str:
    return call_id.rpartition(ID_SEPARATOR)[0]
