"""Log lines and metrics of finished calls."""

from gentianmill.errors import GentianmillError
from gentianmill.outcome import Outcome

from gentianmill_node.call import Call, CallResult
from gentianmill_node.logs import component
from gentianmill_node.metrics import Metrics

log = component('entry')


class CallReport:
    """Record the metrics of each finished call and log the failed ones."""

    def __init__(self, metrics: Metrics) -> None:
        """Create a report.

        Args:
            metrics: Metrics of the node.
        """
        self._metrics = metrics

    def done(self, call: Call, result: CallResult, latency_ms: float) -> None:
        """Report a call that ended.

        Args:
            call: The call.
            result: How it ended.
            latency_ms: Time from the request to the response in ms.
        """
        code = result.error_code.value if result.error_code else ''
        work_class = call.operation.work_class.name
        self._metrics.on_call(call.tenant, work_class, latency_ms, result.outcome, code)
        if result.outcome is Outcome.answered:
            return
        log.info(
            'Call not answered.',
            call_id=call.request_id,
            tenant=call.tenant,
            work_class=work_class,
            outcome=result.outcome.value,
            code=code,
        )

    def refused(self, error: GentianmillError) -> None:
        """Report a request that was rejected or failed inside the node."""
        log.info('Request refused.', code=error.code.value, error=str(error))
