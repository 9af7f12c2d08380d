"""Calls that a guard runs, and their results."""

import dataclasses

from gentianmill.arrivals import Cause
from gentianmill.outcome import Outcome
from gentianmill_mesh.http_message import HttpResponse, HttpRequest


@dataclasses.dataclass(slots=True)
class GuardCall:
    """A request for the upstream on the VM of a node."""

    service: str
    request: HttpRequest
    deadline_ms: float
    rank: int
    max_wait_ms: float
    """Longest wait in the queue of the guard."""

    repeatable: bool
    caller_service: str
    route: str
    cause: Cause
    """Why the request is sent to the upstream."""

    team: str = ''
    """Name of the team that the request belongs to, or empty if none."""

    is_key_holder: bool = False
    """Whether the request itself carried a key of the team."""

    is_repeat: bool = False
    """Whether the caller was refused before and did not wait as told."""

    may_have_run: bool = False
    """Whether the guard has given the request to the upstream."""


@dataclasses.dataclass(slots=True)
class GuardReply:
    """How a call ended."""

    outcome: Outcome
    response: HttpResponse | None = None
    reason: str = ''
    calls: dict[str, int] = dataclasses.field(default_factory=dict)
    """Calls made for the request, by service; empty if they were not counted."""

    def discard(self) -> None:
        """Stop a body that nobody takes."""
        if self.response is not None:
            self.response.discard()

    @classmethod
    def not_run(cls, reason: str) -> 'GuardReply':
        """Return the reply to a call that certainly did not run."""
        return cls(Outcome.not_run, reason=reason)

    @classmethod
    def unknown(cls, reason: str) -> 'GuardReply':
        """Return the reply to a call that may have run."""
        return cls(Outcome.unknown, reason=reason)
