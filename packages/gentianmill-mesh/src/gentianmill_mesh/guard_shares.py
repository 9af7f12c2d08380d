"""What a guard reports to entries: the new requests that its upstream can take."""

from gentianmill.admission_share import (
    REPORT_LIFETIME_MS,
    SHARE_SCALE,
    AdmissionShare,
    ShareTable,
)
from gentianmill.arrivals import Cause
from gentianmill.rejection_gauge import RejectionGauge
from gentianmill.relay_messages import GuardLoad

from gentianmill_mesh.retry_budget_gate import RetryBudgetGate


class GuardShares:
    """Measure the share of new requests, and of call trees while calls are rejected."""

    def __init__(
        self,
        service: str,
        shares: ShareTable,
        gate: RetryBudgetGate,
        *,
        completes_trees: bool,
    ) -> None:
        """Start without responses.

        Args:
            service: Service of the upstream.
            shares: Reports of the services that the upstream calls.
            gate: Retry budget of the guard.
            completes_trees: Whether entries divide the budget while calls are rejected.
        """
        self._service = service
        self._shares = shares
        self._gate = gate
        self._completes_trees = completes_trees
        self._share = AdmissionShare()
        self._rejections = RejectionGauge()

    def on_arrival(self, cause: Cause, now_ms: float) -> None:
        """Record a request that is sent to the upstream."""
        if not cause.is_duplicate:
            self._rejections.on_first_attempt(now_ms)

    def on_response(self, accepted: bool, now_ms: float) -> None:
        """Record whether the upstream accepted a call or rejected it."""
        self._share.on_response(accepted, now_ms)
        self._rejections.on_response(accepted, now_ms)

    def report(self, load: GuardLoad, route: str, now_ms: float) -> None:
        """Set the shares of a load report.

        Args:
            load: The report, with the calls that run and wait.
            route: Route of the request whose response carries it.
            now_ms: Current time.
        """
        self._share.observe(load.running + load.queued, load.limit, now_ms)
        load.shares = self._shares.shares(route, now_ms)
        load.shares[self._service] = int(self._share.share * SHARE_SCALE)
        if self._completes_trees:
            load.tree_shares = self._shares.forwarded_trees(now_ms)
            self._report_rejections(load, now_ms)

    def _report_rejections(self, load: GuardLoad, now_ms: float) -> None:
        """Report the trees that can be completed while calls are rejected.

        An upstream that rejects calls for want of slots reports its share, as before.
        """
        if load.running + load.queued >= load.limit:
            return
        if self._rejections.is_rejecting(now_ms):
            share = self._rejections.completable_share(
                self._gate.sustained_per_s, self._gate.counted_per_s
            )
            load.tree_shares[self._service] = int(share * SHARE_SCALE)
            load.shares[self._service] = int(self._share.load_share * SHARE_SCALE)
        elif self._rejections.has_ended_within(REPORT_LIFETIME_MS, now_ms):
            load.tree_shares[self._service] = SHARE_SCALE
