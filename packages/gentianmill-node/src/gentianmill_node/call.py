"""A call that the node processes, and its result."""

import dataclasses

from gentianmill.digest import body_digest
from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill.messages import AnswerFrame, CallFrame, LoadReport
from gentianmill.outcome import Outcome
from gentianmill.sheet import Operation

STATUS_UNAVAILABLE = 503
STATUS_BAD_GATEWAY = 502
RESPONSE_MARGIN_RATIO = 0.1
MAX_RESPONSE_MARGIN_MS = 100


@dataclasses.dataclass(slots=True, kw_only=True)
class Call:
    """One call to one service.

    ``deadline_ms`` is a time of this node's clock. ``identity`` names the
    request in the retry ledger of its home node; it is empty if the request may
    not be retried.
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
            time_left_ms=_guard_time_left_ms(self.deadline_ms - now_ms),
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
        """Return the call that a frame requests.

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
class CallResult:
    """How a call ended."""

    outcome: Outcome
    status: int
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''
    error: GentianmillError | None = None
    load: LoadReport | None = None

    @classmethod
    def from_error(cls, error: GentianmillError) -> 'CallResult':
        """Return the result that reports an error."""
        is_unknown = error.outcome is Outcome.unknown
        status = STATUS_BAD_GATEWAY if is_unknown else STATUS_UNAVAILABLE
        return cls(outcome=error.outcome, status=status, error=error)

    @property
    def error_code(self) -> ErrorCode | None:
        """Return the error code, or None if there is no error."""
        return self.error.code if self.error else None

    def to_frame(self, call_id: int) -> AnswerFrame:
        """Return the frame that reports the result to the calling node."""
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
    def from_frame(cls, frame: AnswerFrame, peer: str) -> 'CallResult':
        """Return the result in a frame after checking that its body is complete.

        Args:
            frame: Frame received from another node.
            peer: Node id of the sender, for errors.

        Raises:
            GentianmillError: With code ``short_answer`` or ``digest_mismatch`` if
                the body has another length or digest than the sender computed.
        """
        if len(frame.body) != frame.length:
            raise _damaged_body(ErrorCode.short_answer, peer)
        if body_digest(frame.body) != frame.digest:
            raise _damaged_body(ErrorCode.digest_mismatch, peer)
        result = cls(
            outcome=Outcome(frame.outcome),
            status=frame.status,
            headers=frame.headers,
            body=frame.body,
            load=frame.load or None,
        )
        if frame.error_code:
            result.error = GentianmillError(
                ErrorCode(frame.error_code),
                frame.error_step,
                frame.error_peer or peer,
                frame.error_message,
                result.outcome,
                frame.retry_after_ms,
            )
        return result


def _guard_time_left_ms(left_ms: float) -> int:
    """Return the time limit of the guard in ms: the time left minus a margin.

    The margin lets the guard's response arrive. Without it the sender would time out
    first, and a known outcome would be reported as unknown.
    """
    return int(left_ms - min(left_ms * RESPONSE_MARGIN_RATIO, MAX_RESPONSE_MARGIN_MS))


def _damaged_body(code: ErrorCode, peer: str) -> GentianmillError:
    message = 'the response body differs from the one that was sent'
    return GentianmillError(code, 'answer', peer, message, Outcome.unknown)
