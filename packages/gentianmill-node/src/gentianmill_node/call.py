"""A call on its way through the node, and its answer."""

import dataclasses

from gentianmill.digest import body_digest
from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill.messages import AnswerFrame, CallFrame, LoadReport
from gentianmill.outcome import Outcome
from gentianmill.sheet import Operation

STATUS_UNAVAILABLE = 503
STATUS_BAD_GATEWAY = 502
ANSWER_MARGIN = 0.1
MAX_ANSWER_MARGIN_MS = 100


@dataclasses.dataclass(slots=True, kw_only=True)
class Call:
    """One call of one service.

    ``deadline_ms`` is a time of the node's own clock. ``identity`` is empty if
    the request may not be retried.
    """

    service: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    operation: Operation
    tenant: str
    request_id: str
    identity: str
    home: str
    depth: int
    rank: int
    deadline_ms: float
    digest: bytes
    idempotency_key: str = ''
    at_most_once: bool = False

    def to_frame(self, call_id: int, now_ms: float) -> CallFrame:
        """Return the frame that asks another node to run the call."""
        return CallFrame(
            call_id=call_id,
            service=self.service,
            method=self.method,
            path=self.path,
            tenant=self.tenant,
            request_id=self.request_id,
            identity=self.identity,
            digest=self.digest,
            time_left_ms=_guard_time(self.deadline_ms - now_ms),
            rank=self.rank,
            home=self.home,
            depth=self.depth,
            at_most_once=self.at_most_once,
            body=self.body,
            idempotency_key=self.idempotency_key,
            headers=self.headers,
        )

    @classmethod
    def from_frame(
        cls, frame: CallFrame, operation: Operation, now_ms: float
    ) -> 'Call':
        """Return the call that a frame asks for.

        Args:
            frame: Frame received from another node.
            operation: Operation of the call in this node's sheet.
            now_ms: Current time; the deadline is this plus the time left.
        """
        return cls(
            service=frame.service,
            method=frame.method,
            path=frame.path,
            headers=frame.headers,
            body=frame.body,
            operation=operation,
            tenant=frame.tenant,
            request_id=frame.request_id,
            identity=frame.identity,
            home=frame.home,
            depth=frame.depth,
            rank=frame.rank,
            deadline_ms=now_ms + frame.time_left_ms,
            digest=frame.digest,
            idempotency_key=frame.idempotency_key,
            at_most_once=frame.at_most_once or operation.at_most_once,
        )


@dataclasses.dataclass(slots=True, kw_only=True)
class Answer:
    """How a call ended."""

    outcome: Outcome
    status: int
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''
    error: GentianmillError | None = None
    load: LoadReport | None = None

    @classmethod
    def from_error(cls, error: GentianmillError) -> 'Answer':
        """Return the answer that reports an error."""
        unsure = error.outcome is Outcome.unknown
        status = STATUS_BAD_GATEWAY if unsure else STATUS_UNAVAILABLE
        return cls(outcome=error.outcome, status=status, error=error)

    @property
    def error_code(self) -> ErrorCode | None:
        """Return the code of the error, or None if the call was answered."""
        return self.error.code if self.error else None

    def to_frame(self, call_id: int) -> AnswerFrame:
        """Return the frame that ends a call of another node."""
        frame = AnswerFrame(
            call_id=call_id,
            outcome=self.outcome.value,
            status=self.status,
            body=self.body,
            digest=body_digest(self.body),
            length=len(self.body),
            headers=self.headers,
            load=self.load,
        )
        if self.error:
            frame.error_code = self.error.code.value
            frame.error_step = self.error.step
            frame.error_peer = self.error.peer
            frame.error_message = self.error.message
            frame.retry_after_ms = self.error.retry_after_ms
        return frame

    @classmethod
    def from_frame(cls, frame: AnswerFrame, peer: str) -> 'Answer':
        """Return the answer in a frame, checked for completeness.

        Args:
            frame: Frame received from another node.
            peer: Node id of the sender, for errors.

        Raises:
            GentianmillError: With code ``short_answer`` or ``digest_mismatch`` if
                the body is not the one that the sender measured.
        """
        if len(frame.body) != frame.length:
            raise _damaged(ErrorCode.short_answer, peer)
        if body_digest(frame.body) != frame.digest:
            raise _damaged(ErrorCode.digest_mismatch, peer)
        answer = cls(
            outcome=Outcome(frame.outcome),
            status=frame.status,
            headers=frame.headers,
            body=frame.body,
            load=frame.load or None,
        )
        if frame.error_code:
            answer.error = GentianmillError(
                ErrorCode(frame.error_code),
                frame.error_step,
                frame.error_peer or peer,
                frame.error_message,
                answer.outcome,
                frame.retry_after_ms,
            )
        return answer


def _guard_time(left_ms: float) -> int:
    """Return the time left for the guard, less what its answer needs to arrive.

    Otherwise the sender's timer ends first and a certain outcome becomes unknown.
    """
    return int(left_ms - min(left_ms * ANSWER_MARGIN, MAX_ANSWER_MARGIN_MS))


def _damaged(code: ErrorCode, peer: str) -> GentianmillError:
    message = 'the response body differs from the one that was sent'
    return GentianmillError(code, 'answer', peer, message, Outcome.unknown)
