"""Context managers of the guard: an upstream slot and a running call.

They are classes because generators with ``contextlib.asynccontextmanager``
cost several microseconds more per call.
"""

import types
from typing import Self

from gentianmill.ticket import Ticket

from gentianmill_node.admission_gate import AdmissionGate
from gentianmill_node.call import Call
from gentianmill_node.running_calls import RunningCalls
from gentianmill_node.suspect_gate import SuspectGate


class SlotHold:
    """Hold a slot of the upstream while the context is open."""

    __slots__ = ('_gate', '_ticket')

    def __init__(self, gate: AdmissionGate, ticket: Ticket) -> None:
        """Create a context that holds no slot yet.

        Args:
            gate: Grants the slots.
            ticket: The call's entry in the admission queue.
        """
        self._gate = gate
        self._ticket = ticket

    async def __aenter__(self) -> Self:
        """Wait for the slot.

        Raises:
            GentianmillError: If the call is refused; it did not run then.
        """
        await self._gate.enter(self._ticket)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Free the slot; an exception means that the call did not complete."""
        self._gate.leave(self._ticket, exc_type is None)


class RunningHold:
    """Register a call as running on the upstream while the context is open."""

    __slots__ = ('_call', '_running', '_suspects', '_token')

    def __init__(
        self, suspects: SuspectGate, running: RunningCalls, call: Call
    ) -> None:
        """Create a context that has not registered the call yet.

        Args:
            suspects: Delays or refuses crash suspects.
            running: Calls that are running, by token.
            call: The call to run.
        """
        self._suspects = suspects
        self._running = running
        self._call = call
        self._token = ''

    async def __aenter__(self) -> str:
        """Wait until the call may run and return its context token.

        Raises:
            GentianmillError: If the call is refused; it did not run then.
        """
        await self._suspects.enter(self._call.digest, self._call.deadline_ms)
        self._token = self._running.add(self._call)
        return self._token

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """End the call; an exception means that it did not complete."""
        self._running.remove(self._token)
        await self._suspects.leave(self._call.digest, exc_type is None)
