"""Runs the calls that other nodes send, and sends their answers back."""

import asyncio
from collections.abc import Callable

from gentianmill.arrivals import Cause
from gentianmill.byte_budget import SMALL_BYTES, ByteBudget
from gentianmill.clock import Clock
from gentianmill.relay_messages import (
    FreshnessStatus,
    RelayAnswer,
    RelayCall,
    RelayCancel,
    RelayCredit,
    RelayPart,
)
from gentianmill_mesh.body_stream import StreamEnd, collected
from gentianmill_mesh.call_upload import CallUpload
from gentianmill_mesh.guard_call import GuardCall, GuardReply
from gentianmill_mesh.http_message import HttpRequest, HttpResponse
from gentianmill_mesh.part_sender import WINDOW_BYTES, StreamedBody, WholeBody
from gentianmill_mesh.relay_handshake import PARTS_PROTOCOL
from gentianmill_mesh.relay_sender import RelayJob, RelaySender
from gentianmill_mesh.upstream_guard import UpstreamGuard
from gentianmill_mesh.wire_names import WireNames, compact_headers
from gentianmill_node.background import spawn
from gentianmill_node.logs import component

__all__ = ('OUT_OF_MEMORY', 'CallIntake')

OUT_OF_MEMORY = 'memory'
"""Refusal of a request for which there is no room."""

log = component('relay')


class CallIntake:
    """Take calls, each once, and answer them."""

    def __init__(
        self,
        guard: UpstreamGuard,
        names: WireNames,
        status: Callable[[], FreshnessStatus],
        budget: ByteBudget,
        clock: Clock,
    ) -> None:
        """Create an intake.

        Args:
            guard: Runs the calls.
            names: Header names of the deployment.
            status: Returns how recent the rules and records of this node are.
            budget: Limits what the node holds.
            clock: Clock of the node.
        """
        self._guard = guard
        self._request_id = names.request_id
        self._status = status
        self._budget = budget
        self._clock = clock

    def start(self, sender: RelaySender, frame: RelayCall) -> None:
        """Take a call, or answer it again if it was taken before."""
        known = sender.calls.find(frame.key)
        if known is not None:
            self._resume(sender, known)
            return
        arrived_ms = self._clock.now_ms()
        if sender.calls.may_be_forgotten(frame.key):
            log.warning('Forgotten call not run.', peer=sender.name, key=frame.key)
            reply = GuardReply.unknown('forgotten')
            sender.send(self._relay_answer(frame, reply, arrived_ms))
            return
        job = RelayJob(frame, arrived_ms, self._budget)
        sender.begin(job)
        if not job.has_head_room:
            self.refuse(sender, job, OUT_OF_MEMORY)
            return
        if frame.body_bytes:
            self._receive(sender, job)
        else:
            self._run_soon(sender, job)

    def cancel(self, sender: RelaySender, frame: RelayCancel) -> None:
        """Stop a call, as nobody waits for its answer."""
        sender.parts.remove(frame.key)
        job = sender.calls.find(frame.key)
        if job is None:
            return
        if job.task is not None:
            job.task.cancel()
        elif job.upload is not None:
            self.refuse(sender, job, 'cancelled')

    def add_part(self, sender: RelaySender, frame: RelayPart) -> None:
        """Take a part of the body of a call."""
        job = sender.calls.find(frame.key)
        if job is None or job.upload is None:
            return
        if job.upload.add(frame.offset, frame.content):
            self._go_on(sender, job)
        else:
            log.warning('Part of a body is missing.', peer=sender.name, key=frame.key)
            self.refuse(sender, job, 'bad_part')

    def credit(self, sender: RelaySender, frame: RelayCredit) -> None:
        """Send on the body of an answer, also after its connection was lost."""
        job = sender.calls.find(frame.key)
        if sender.parts.grant(frame.key, frame.received, frame.limit) or job is None:
            return
        if job.body is None:
            if job.answer is not None and job.answer.body_bytes:
                # It was passed on while it arrived, and can't be sent again.
                cut = RelayPart(frame.key, frame.received, b'', StreamEnd.cut.value)
                sender.send(cut)
        elif frame.received >= len(job.body):
            # The sender has all of it, so that only the fact is still needed.
            job.drop_response()
        else:
            body = WholeBody(job.body)
            sender.parts.add(frame.key, body, frame.received, frame.limit)

    def lose_upload(self, sender: RelaySender, job: RelayJob) -> None:
        """Refuse a call whose sender does not come back with the rest of its body."""
        self.refuse(sender, job, 'link_lost')

    def refuse(self, sender: RelaySender, job: RelayJob, reason: str) -> None:
        """Answer a call whose body has not arrived; it certainly has not run."""
        job.reply = GuardReply.not_run(reason)
        self._end(sender, job)

    def _resume(self, sender: RelaySender, job: RelayJob) -> None:
        if job.answer is not None:
            self._send_answer(sender, job)
        elif job.upload is not None:
            self._grant(sender, job, is_first=True)

    def _receive(self, sender: RelaySender, job: RelayJob) -> None:
        """Reserve room for a large body; until then the sender sends one window."""
        count = job.frame.body_bytes
        if not self._budget.fits(count):
            self.refuse(sender, job, OUT_OF_MEMORY)
            return
        job.upload = CallUpload(
            self._budget,
            count,
            lambda: self._go_on(sender, job),
            lambda: self.refuse(sender, job, OUT_OF_MEMORY),
        )
        # A sender that has lost its link waits to hear how much has arrived.
        self._grant(sender, job, is_first=True)

    def _go_on(self, sender: RelaySender, job: RelayJob) -> None:
        """Run a call whose body is there, or tell its sender how much more may come."""
        if job.upload is not None and job.upload.is_whole:
            job.begin(job.upload.body())
            self._run_soon(sender, job)
        else:
            self._grant(sender, job)

    def _grant(
        self, sender: RelaySender, job: RelayJob, *, is_first: bool = False
    ) -> None:
        """Tell the sender how much of the body is taken, if that is news."""
        upload = job.upload
        if upload is not None and (upload.takes_more() or is_first):
            limit = upload.told_limit
            sender.send(RelayCredit(job.key, upload.received, limit))

    def _run_soon(self, sender: RelaySender, job: RelayJob) -> None:
        call = _guard_call(job)
        job.task = spawn(self._run(sender, job, call), 'run call')
        # A task that is cancelled before its first step never runs.
        job.task.add_done_callback(lambda _: self._end_unanswered(sender, job, call))

    def _end_unanswered(
        self, sender: RelaySender, job: RelayJob, call: GuardCall
    ) -> None:
        """End a call without a reply; it has not run if the upstream never got it."""
        if job.reply is None and not call.may_have_run:
            job.reply = GuardReply.not_run('deadline')
        self._end(sender, job)

    async def _run(self, sender: RelaySender, job: RelayJob, call: GuardCall) -> None:
        try:
            job.reply = await self._guard.run(call)
            if sender.protocol < PARTS_PROTOCOL:
                job.reply = await _whole_reply(job.reply)
        except asyncio.CancelledError:
            log.debug('Call cancelled.', key=job.key)
        except Exception:
            log.exception('Call failed with an internal error.', key=job.key)
        self._end_unanswered(sender, job, call)

    def _end(self, sender: RelaySender, job: RelayJob) -> None:
        if job.answer is not None:
            return
        reply = job.reply or GuardReply.unknown('cancelled')
        job.release_request()
        job.answer = self._relay_answer(job.frame, reply, job.arrived_ms)
        response = reply.response
        if response is not None and response.stream is not None:
            job.answer.body_bytes = _wire_length(response)
        elif response is not None and len(response.body) > SMALL_BYTES:
            if sender.protocol >= PARTS_PROTOCOL:
                job.answer.body_bytes = len(response.body)
                job.answer.body = b''
        job.keep(response)
        job.forget_request()
        sender.end(job, self._clock.now_ms())
        self._send_answer(sender, job, response)

    def _send_answer(
        self, sender: RelaySender, job: RelayJob, response: HttpResponse | None = None
    ) -> None:
        """Send the answer of a job, and its body if that does not fit into it."""
        stream = None if response is None else response.stream
        if stream is not None and sender.socket is None:
            stream.cancel()
            stream = None
        if job.answer is not None and job.answer.body_bytes:
            if job.body is None and stream is None:
                # A body that was passed on while it arrived can't be sent again.
                job.drop_response()
        if job.answer is not None:
            sender.send(job.answer)
        if job.body is not None:
            sender.parts.add(job.key, WholeBody(job.body), 0, WINDOW_BYTES)
        elif stream is not None:
            sender.parts.add(job.key, StreamedBody(stream), 0, WINDOW_BYTES)

    def _relay_answer(
        self, frame: RelayCall, reply: GuardReply, arrived_ms: float
    ) -> RelayAnswer:
        response = reply.response
        status = self._status()
        return RelayAnswer(
            key=frame.key,
            outcome=reply.outcome.value,
            status=response.status if response else 0,
            headers=self._compact(response, frame),
            body=response.body if response else b'',
            reason=reply.reason,
            framed=response.framed if response else True,
            rules_version=status.rules_version,
            load=self._guard.load(frame.route),
            spent_ms=int(self._clock.now_ms() - arrived_ms),
            rules_age_ms=status.rules_age_ms,
            nodes_digest=status.nodes_digest,
            nodes_age_ms=status.nodes_age_ms,
            calls=reply.calls,
        )

    def _compact(
        self, response: HttpResponse | None, frame: RelayCall
    ) -> list[list[bytes]]:
        if response is None:
            return []
        return compact_headers(response.headers, frame.headers, self._request_id)


async def _whole_reply(reply: GuardReply) -> GuardReply:
    """Return a reply whose body has arrived, for nodes that take none in parts."""
    response = reply.response
    if response is None or response.stream is None:
        return reply
    body = await collected(response.stream)
    if body is None:
        return GuardReply.unknown('upstream_lost')
    response.body = body
    response.stream = None
    return reply


def _wire_length(response: HttpResponse) -> int:
    if response.stream is None or response.stream.length is None:
        return -1
    return response.stream.length


def _guard_call(job: RelayJob) -> GuardCall:
    frame = job.frame
    return GuardCall(
        service=frame.service,
        request=HttpRequest(frame.method, frame.target, frame.headers, frame.body),
        deadline_ms=job.deadline_ms,
        rank=frame.rank,
        max_wait_ms=frame.patience_ms,
        repeatable=frame.repeatable,
        caller_service=frame.caller_service,
        route=frame.route,
        cause=Cause(frame.cause),
        team=frame.team,
        is_key_holder=frame.is_key_holder,
        is_repeat=frame.is_repeat,
    )
