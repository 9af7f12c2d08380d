"""Another node that sends calls, and what this node knows of these calls."""

import asyncio
from collections import deque

import msgspec

from gentianmill.call_ledger import CallLedger
from gentianmill.outcome import Outcome
from gentianmill.relay_messages import RelayAnswer
from gentianmill_mesh.frame_socket import FrameSocket
from gentianmill_mesh.guard_call import GuardReply
from gentianmill_mesh.relay_handshake import PROTOCOL

__all__ = ('RelayJob', 'RelaySender')

REATTACH_TIMEOUT_MS = 1500.0
"""Time that repeatable calls keep running after the link of their sender was lost."""

ANSWER_RETENTION_MS = 10_000.0
"""Time that an answer is kept for a sender that lost its link. After it, only the fact
that the call was taken is kept."""

RESEND_MARGIN_MS = 10_000.0
"""Time after the deadline of a call, and after its end, for which it is remembered: its
sender resends it until the deadline, by its own clock and over a network that may hold
bytes back for seconds."""

SENDER_RETENTION_MS = 600_000.0
"""Time for which a disconnected sender is remembered; one that was cut off for longer has
timed out all of its calls."""

MS_PER_S = 1000


class RelayJob:
    """A call of another node and, once it has ended, its answer."""

    __slots__ = ('answer', 'deadline_ms', 'key', 'repeatable', 'reply', 'task')

    def __init__(self, key: int, repeatable: bool, deadline_ms: float) -> None:
        """Create a job that has not begun.

        Args:
            key: Number of the call.
            repeatable: Whether it may run more than once.
            deadline_ms: Time in ms until which its sender waits.
        """
        self.key = key
        self.repeatable = repeatable
        self.deadline_ms = deadline_ms
        self.task: asyncio.Task[None] | None = None
        self.reply: GuardReply | None = None
        self.answer: RelayAnswer | None = None

    def drop_response(self) -> None:
        """Keep only that the call was taken; a resend learns that it may have run."""
        if self.answer is None or self.answer.outcome == Outcome.not_run.value:
            return
        self.reply = None
        self.answer = msgspec.structs.replace(
            self.answer,
            outcome=Outcome.unknown.value,
            status=0,
            headers=[],
            body=b'',
            reason='answer_dropped',
        )


class RelaySender:
    """An incarnation of a node that sends calls.

    Its calls outlive a connection: a call that is resent on a new connection is
    matched with the earlier one, so that a call that may run only once is not run
    again.
    """

    def __init__(self, name: str) -> None:
        """Create a sender without a connection.

        Args:
            name: Name of the node.
        """
        self.name = name
        self.calls: CallLedger[RelayJob] = CallLedger()
        self.protocol = PROTOCOL
        """Version of the frames that the node understands."""

        self.running = 0
        """Number of calls that have not ended."""

        self.last_received_ms = float(0)
        self.socket: FrameSocket | None = None
        self._answered: deque[tuple[float, RelayJob]] = deque()
        self._detached_ms = float(0)
        self._expiry: asyncio.TimerHandle | None = None

    def attach(self, socket: FrameSocket) -> None:
        """Use a connection."""
        self.socket = socket
        if self._expiry is not None:
            self._expiry.cancel()
            self._expiry = None

    def detach(self, socket: FrameSocket, now_ms: float) -> None:
        """Handle the loss of a connection; repeatable calls soon end."""
        if self.socket is not socket:
            return
        self.socket = None
        self._detached_ms = now_ms
        self._expiry = asyncio.get_running_loop().call_later(
            REATTACH_TIMEOUT_MS / MS_PER_S, self._stop_repeatable
        )

    def begin(self, job: RelayJob) -> None:
        """Remember a call that starts."""
        self.calls.add(job.key, job)
        self.running += 1

    def end(self, job: RelayJob, now_ms: float) -> None:
        """Keep the answer of a call for a while, and for longer that it was taken."""
        self.running -= 1
        self._answered.append((now_ms, job))
        last_ms = max(now_ms, job.deadline_ms) + RESEND_MARGIN_MS
        self.calls.expire_at(job.key, last_ms)
        self.forget_expired(now_ms)

    def forget_expired(self, now_ms: float) -> None:
        """Drop old answers, and forget the calls that can't be sent again."""
        while self._answered and self._answered[0][0] < now_ms - ANSWER_RETENTION_MS:
            self._answered.popleft()[1].drop_response()
        self.calls.forget_expired(now_ms)

    def is_departed(self, now_ms: float) -> bool:
        """Return whether nothing that this sender might resend is forgotten with it."""
        is_gone = self.socket is None and not self.calls
        return is_gone and now_ms - self._detached_ms > SENDER_RETENTION_MS

    def _stop_repeatable(self) -> None:
        for job in self.calls.entries:
            if job.repeatable and job.task is not None:
                job.task.cancel()
