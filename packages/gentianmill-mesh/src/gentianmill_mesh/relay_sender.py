"""Another node that sends calls, and what this node knows of these calls."""

import asyncio
from collections import deque
from collections.abc import Callable

import msgspec

from gentianmill.byte_budget import ByteBudget, HeldKind
from gentianmill.call_ledger import CallLedger
from gentianmill.outcome import Outcome
from gentianmill.relay_messages import RelayAnswer, RelayCall
from gentianmill_mesh.body_buffer import Body
from gentianmill_mesh.call_upload import CallUpload
from gentianmill_mesh.frame_socket import FrameSocket
from gentianmill_mesh.guard_call import GuardReply
from gentianmill_mesh.head_room import HeadRoom, headers_cost
from gentianmill_mesh.http_message import HttpResponse
from gentianmill_mesh.part_sender import PartSender
from gentianmill_mesh.relay_codec import RelayFrame, encode
from gentianmill_mesh.relay_handshake import PROTOCOL
from gentianmill_node.logs import component

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

log = component('relay')


class RelayJob:
    """A call of another node and, once it has ended, its answer."""

    def __init__(self, frame: RelayCall, arrived_ms: float, budget: ByteBudget) -> None:
        """Create a job that has not begun.

        Args:
            frame: The call.
            arrived_ms: Time in ms at which it arrived.
            budget: Limits what the node holds.
        """
        self.frame = frame
        self.arrived_ms = arrived_ms
        self.upload: CallUpload | None = None
        self.task: asyncio.Task[None] | None = None
        self.reply: GuardReply | None = None
        self.answer: RelayAnswer | None = None
        self.body: Body | None = None
        """Body of the answer if it does not fit into the frame."""

        self._budget = budget
        self._head_room = HeadRoom(budget)
        self._has_head_room = self._head_room.resize(headers_cost(frame.headers))
        self._room: CallUpload | None = None
        self._kept_bytes = 0

    @property
    def key(self) -> int:
        """Return the number of the call."""
        return self.frame.key

    @property
    def has_head_room(self) -> bool:
        """Return whether there was room for the headers of the request."""
        return self._has_head_room

    @property
    def deadline_ms(self) -> float:
        """Return the time in ms until which its sender waits."""
        return self.arrived_ms + self.frame.time_left_ms

    def begin(self, body: Body) -> None:
        """Set the body, which has arrived in parts."""
        self.frame.body = body
        self._room = self.upload
        self.upload = None

    def release_request(self) -> None:
        """Drop the body of the request, as the call has ended."""
        for room in (self._room, self.upload):
            if room is not None:
                room.release()
        self._room = None
        self.upload = None
        self.frame.body = b''

    def forget_request(self) -> None:
        """Drop what is needed only until the call is answered."""
        self.frame.headers = []
        self.frame.target = b''
        self._head_room.release()

    def keep(self, response: HttpResponse | None) -> None:
        """Keep the answer until ``drop_response``; a body that arrives is not kept."""
        if self.answer is None or response is None:
            return
        self._kept_bytes = headers_cost(response.headers)
        if response.stream is None:
            if self.answer.body_bytes:
                self.body = response.body
            self._kept_bytes += len(response.body)
        self._budget.hold(HeldKind.kept, self._kept_bytes)

    def drop_response(self) -> None:
        """Keep only that the call was taken; a resend learns that it may have run."""
        self._budget.release(HeldKind.kept, self._kept_bytes)
        self._kept_bytes = 0
        self.body = None
        self.reply = None
        if self.answer is None or self.answer.outcome == Outcome.not_run.value:
            return
        self.answer = msgspec.structs.replace(
            self.answer,
            outcome=Outcome.unknown.value,
            status=0,
            headers=[],
            body=b'',
            body_bytes=0,
            reason='answer_dropped',
        )


class RelaySender:
    """An incarnation of a node that sends calls.

    Its calls outlive a connection: a call that is resent on a new connection is
    matched with the earlier one, so that a call that may run only once is not run
    again.
    """

    def __init__(
        self, name: str, on_lost_upload: Callable[['RelaySender', RelayJob], None]
    ) -> None:
        """Create a sender without a connection.

        Args:
            name: Name of the node.
            on_lost_upload: Called with a call whose body does not arrive any more.
        """
        self.name = name
        self._on_lost_upload = on_lost_upload
        self.calls: CallLedger[RelayJob] = CallLedger()
        self.protocol = PROTOCOL
        """Version of the frames that the node understands."""

        self.incarnation = 0
        """Start of its process as Unix time in ms."""

        self.running = 0
        """Number of calls that have not ended."""

        self.last_received_ms = float(0)
        self.socket: FrameSocket | None = None
        self.parts = PartSender(self.send, self._may_send)
        self._answered: deque[tuple[float, RelayJob]] = deque()
        self._detached_ms = float(0)
        self._resume_until_ms = float(0)
        self._expiry: asyncio.TimerHandle | None = None

    def attach(self, socket: FrameSocket) -> None:
        """Use a connection."""
        self.parts.close()
        self.socket = socket
        if self._expiry is not None:
            self._expiry.cancel()
            self._expiry = None

    def detach(self, socket: FrameSocket, now_ms: float) -> None:
        """Handle the loss of a connection; repeatable calls soon end."""
        if self.socket is not socket:
            return
        self.socket = None
        if self.parts.busy:
            # The node asks for the rest of its bodies on a new connection.
            self._resume_until_ms = now_ms + REATTACH_TIMEOUT_MS
        self.parts.close()
        self._detached_ms = now_ms
        self._expiry = asyncio.get_running_loop().call_later(
            REATTACH_TIMEOUT_MS / MS_PER_S, self._stop_repeatable
        )

    def is_busy(self, now_ms: float) -> bool:
        """Return whether the node still waits for an answer, or for bytes of one."""
        is_resuming = now_ms < self._resume_until_ms
        return bool(self.running) or self.parts.busy or is_resuming

    def send(self, frame: RelayFrame) -> None:
        """Send a frame, if there is a connection."""
        if self.socket is None:
            return
        try:
            self.socket.send(encode(frame))
        except ConnectionError as error:
            log.info('Reply not sent, the link is closed.', error=repr(error))

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

    def shed_answers(self) -> None:
        """Drop the answers that the node has probably received, to free memory."""
        if self.socket is None:
            return
        for _, job in self._answered:
            if not self.parts.is_sending(job.key):
                job.drop_response()

    def _may_send(self) -> bool:
        return self.socket is not None and self.socket.writable

    def _stop_repeatable(self) -> None:
        for job in self.calls.entries:
            if job.upload is not None:
                self._on_lost_upload(self, job)
            elif job.frame.repeatable and job.task is not None:
                job.task.cancel()
