"""The requests of one connection, in the order in which responses are due."""

import abc
from collections import deque
from collections.abc import Iterator

from gentianmill_mesh.entry_exchange import EntryExchange
from gentianmill_mesh.forwarder import CallerRequest
from gentianmill_mesh.head_room import headers_cost
from gentianmill_mesh.mesh_settings import ReadAheadSettings

__all__ = ('ExchangeQueue', 'RunAheadPolicy')


class RunAheadPolicy(abc.ABC):
    """Decides which requests run before the responses to earlier ones are sent."""

    @property
    @abc.abstractmethod
    def closing(self) -> bool:
        """Return whether connections close after the responses that are owed."""

    @abc.abstractmethod
    def may_run_ahead(self, caller: CallerRequest) -> bool:
        """Return whether a request may run before the responses to earlier ones."""


class ExchangeQueue:
    """Hold the requests that have no response yet, and responses that wait for others.

    A request that may be repeated runs before the responses to those in front of it.
    Any other waits for them, as a response that closes the connection makes the caller
    send everything behind it again.
    """

    def __init__(self, policy: RunAheadPolicy, settings: ReadAheadSettings) -> None:
        """Create an empty queue.

        Args:
            policy: Decides which requests run ahead.
            settings: Bounds on what is read ahead of the first open response.
        """
        self._policy = policy
        self._settings = settings
        self._exchanges: deque[EntryExchange] = deque()

    def __len__(self) -> int:
        """Return the number of requests."""
        return len(self._exchanges)

    @property
    def running(self) -> int:
        """Return the number of requests whose responses are owed."""
        return sum(exchange.started for exchange in self._exchanges)

    @property
    def has_room(self) -> bool:
        """Return whether another request may be read."""
        return len(self._exchanges) < self._settings.requests and self._holds_little()

    @property
    def is_first_due(self) -> bool:
        """Return whether the first request has a response."""
        return bool(self._exchanges) and self._exchanges[0].response is not None

    def append(self, exchange: EntryExchange) -> None:
        """Add a request behind all others."""
        self._exchanges.append(exchange)

    @property
    def first(self) -> EntryExchange:
        """Return the request whose response is due next."""
        return self._exchanges[0]

    def pop_first(self) -> EntryExchange:
        """Remove the first request and return it."""
        return self._exchanges.popleft()

    def startable(self) -> Iterator[EntryExchange]:
        """Yield the requests that may start now; start each before the next is taken."""
        is_alone = len(self._exchanges) == 1
        for position, exchange in enumerate(tuple(self._exchanges)):
            if exchange.caller is None or (position and not self._may_start_behind()):
                return
            is_last = not is_alone and not self._may_run_ahead(exchange)
            if position and is_last:
                return
            if not exchange.started:
                yield exchange
            if is_last:
                return

    def take_expectation(self) -> bool:
        """Return whether to send the first caller the interim response it awaits."""
        if not self._exchanges:
            return False
        first = self._exchanges[0]
        is_awaited = first.awaits_continue and _has_room(first)
        if not is_awaited:
            return False
        first.awaits_continue = False
        return is_awaited

    def cancel(self) -> None:
        """Cancel all requests, as nobody waits for their responses."""
        for exchange in self._exchanges:
            exchange.discard()
        self._exchanges.clear()

    def clear(self) -> None:
        """Drop the requests that were not started."""
        self.cancel()

    def _may_start_behind(self) -> bool:
        return not self._policy.closing and self._holds_little()

    def _may_run_ahead(self, exchange: EntryExchange) -> bool:
        # A response without a length ends an older connection, also before others.
        return (
            exchange.is_http11
            and exchange.caller is not None
            and self._policy.may_run_ahead(exchange.caller)
        )

    def _holds_little(self) -> bool:
        if len(self._exchanges) == 1 and self._exchanges[0].response is None:
            caller = self._exchanges[0].caller
            return caller is None or len(caller.request.body) < self._settings.bytes
        held_bytes = sum(_held_bytes(exchange) for exchange in self._exchanges)
        return held_bytes < self._settings.bytes


def _held_bytes(exchange: EntryExchange) -> int:
    held_bytes = exchange.head_bytes
    if exchange.caller is not None:
        held_bytes += len(exchange.caller.request.body)
    if exchange.response is not None:
        held_bytes += len(exchange.response.body)
        held_bytes += headers_cost(exchange.response.headers)
    return held_bytes


def _has_room(exchange: EntryExchange) -> bool:
    return exchange.room is None or not exchange.room.is_waiting
