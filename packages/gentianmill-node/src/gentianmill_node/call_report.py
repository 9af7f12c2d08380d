"""Logs and metrics of finished calls."""

from gentianmill.errors import GentianmillError
from gentianmill.outcome import Outcome

from gentianmill_node.call import Answer, Call
from gentianmill_node.logs import component
from gentianmill_node.metrics import Metrics

log = component('entry')


class CallReport:
    """Write one log line and the metrics of each call that ends."""

    def __init__(self, metrics: Metrics) -> None:
        """Create a report.

        Args:
            metrics: Metrics of the node.
        """
        self._metrics = metrics

    def done(self, call: Call, answer: Answer, latency_ms: float) -> None:
        """Report a call that ended.

        Args:
            call: The call.
            answer: How it ended.
            latency_ms: Time from the request to the answer in ms.
        """
        code = answer.error_code.value if answer.error_code else ''
        work_class = call.operation.work_class.name
        self._metrics.on_call(call.tenant, work_class, latency_ms, answer.outcome, code)
        if answer.outcome is Outcome.answered:
            return
        log.info(
            'Call not answered.',
            call_id=call.request_id,
            tenant=call.tenant,
            work_class=work_class,
            outcome=answer.outcome.value,
            code=code,
        )

    def refused(self, error: GentianmillError) -> None:
        """Report a request that did not become a call."""
        log.info('Request refused.', code=error.code.value, error=str(error))
