"""Share of new requests that a service can accept, and its use at entries.

A request with a deep call tree makes many calls to a bottleneck service far
downstream of its entry. If that service rejects a call, the work already done
for the request is wasted. So each service reports which share of new requests it
can accept, responses carry the reports up the call tree, and entries refuse
requests before any work is done for them.
"""

import dataclasses
import math
import random
from collections.abc import Iterable, Mapping

STEP_MS = 200.0
"""Time between two corrections; reports take about as long per call tree level."""

MAX_STEPS = 10
"""Corrections that are made up for after a time without observations."""

TARGET_LOAD = 1.0
"""Running and waiting calls, relative to the limit, that keep an upstream busy."""

CORRECTION_EXPONENT = 0.12
"""Exponent of a correction; at twice this value, the share oscillates if reports are a
second old."""

MAX_CORRECTION = 0.12
"""Largest relative change of one correction."""

MIN_SHARE = 0.05

IDLE_LOAD = 0.75
"""Load below which an upstream has free slots for whatever comes."""

IDLE_MS = 300.0
"""Time with free slots after which the share is raised at once. Within it, the reports
to entries and their effect cross the network, so that a dip lasts shorter."""

MIN_LOAD = 0.05
"""Load that is assumed at least, as a request that comes alone is no measure."""

RESPONSE_DECAY_MS = 400.0
"""Time constant with which accepted and rejected calls are forgotten."""

ACCEPTED_EXPONENT = 2
"""Exponent of the share of accepted calls.

A request makes several calls to a bottleneck service, so its chance of success
falls faster than the share of calls that are accepted.
"""

SHARE_SCALE = 1000
"""Shares are sent as integers, in thousandths."""

REPORT_LIFETIME_MS = 1000.0
"""Age at which a report has no effect, so that no request is refused for an old one."""

REPORT_DECAY_MS = 250.0
"""Time constant with which reports of all guards of a service are averaged. After a pause,
the next report counts almost alone."""

MIN_REPORT_AGE_MS = 5.0
"""Least weight of a report, as several come in one read."""

TREE_REPORT_DECAY_MS = 100.0
"""Time constant with which the reports of rejections are averaged over the guards of a
service; each of them is an average over 400 ms already."""

END_WEIGHT = 0.5
"""Least weight of a report that rejections are over, so that a few of them suffice."""

TREE_REPORT_LIFETIME_MS = 900.0
TREE_FORWARD_MS = 200.0
"""Age at which a report of rejections has no effect, and at which it is not passed on. With
one node between, it ends 1.1 s after its guard sent it, unless the guard reports before that
the rejections are over. An entry that refuses most requests gets few reports; with 700 ms,
one in 15 had none."""

MAX_TREE_SHARE = 0.95
"""Completable share from which all requests are admitted."""

MAX_IMPORTANCE_FACTOR = 4.0
"""Admission chance of the most important requests relative to the least."""


class AdmissionShare:
    """The share of new requests that one upstream can accept.

    It follows the load by time, not by the count of answers: after a surge few calls are
    answered, as most are refused. It is a share per service as in Breakwater (Cho and
    others, 2020), where credits follow the queueing delay, fed back up the call tree so
    that a request is refused before work is done for it as in DAGOR (Zhou and others,
    "Overload control for scaling WeChat microservices", 2018).
    """

    def __init__(self) -> None:
        """Start with a share of 1, at which all requests are accepted."""
        self._share = 1.0
        self._corrected_ms = -math.inf
        self._idle_since_ms: float | None = None
        self._accepted = float(0)
        self._rejected = float(0)
        self._counted_ms = -math.inf

    @property
    def share(self) -> float:
        """Return the share, above 0 and up to 1."""
        return max(self._share * self._accepted_share**ACCEPTED_EXPONENT, MIN_SHARE)

    @property
    def load_share(self) -> float:
        """Return the share by the load alone, without what the upstream rejects."""
        return self._share

    def on_response(self, accepted: bool, now_ms: float) -> None:
        """Record whether the upstream accepted a call or rejected it."""
        kept = math.exp((self._counted_ms - now_ms) / RESPONSE_DECAY_MS)
        self._counted_ms = now_ms
        self._accepted = self._accepted * kept + accepted
        self._rejected = self._rejected * kept + (not accepted)

    def observe(self, calls: int, limit: int, now_ms: float) -> None:
        """Correct the share by the current load; call it regularly.

        Args:
            calls: Running and waiting calls.
            limit: Calls that may run at once.
            now_ms: Current time.
        """
        load = calls / max(limit, 1)
        if self._has_been_idle(load, now_ms):
            # The load grows with the share, so that this share would fill the slots.
            self._share = min(self._share * TARGET_LOAD / max(load, MIN_LOAD), 1)
            self._idle_since_ms = now_ms - IDLE_MS + STEP_MS
            self._rejected = 0
        steps = (now_ms - self._corrected_ms) / STEP_MS
        if steps < 1:
            return
        self._corrected_ms = now_ms
        factor = (TARGET_LOAD / max(load, 2 * MIN_LOAD)) ** CORRECTION_EXPONENT
        factor = min(max(factor, 1 - MAX_CORRECTION), 1 + MAX_CORRECTION)
        self._share *= factor ** min(steps, MAX_STEPS)
        self._share = min(max(self._share, MIN_SHARE), 1)

    @property
    def _accepted_share(self) -> float:
        # One accepted call is assumed, so that a single rejection says little.
        return (self._accepted + 1) / (self._accepted + self._rejected + 1)

    def _has_been_idle(self, load: float, now_ms: float) -> bool:
        if load > IDLE_LOAD:
            self._idle_since_ms = None
            return False
        if self._idle_since_ms is None:
            self._idle_since_ms = now_ms
        return now_ms - self._idle_since_ms >= IDLE_MS


@dataclasses.dataclass(slots=True)
class _Report:
    share: float
    received_ms: float


class ShareTable:
    """Reported shares of the services downstream of each route."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._reports: dict[str, _Report] = {}
        self._downstream: dict[str, set[str]] = {}
        self._tree_reports: dict[str, _Report] = {}
        self._inner_tree_reports: dict[str, _Report] = {}

    def record(self, route: str, shares: Mapping[str, int], now_ms: float) -> None:
        """Record the report in a response.

        Args:
            route: Route of the request.
            shares: Share in thousandths per service that runs its calls.
            now_ms: Current time.
        """
        downstream = self._downstream.setdefault(route, set())
        downstream.update(shares)
        for service, thousandths in shares.items():
            share = thousandths / SHARE_SCALE
            previous = self._reports.get(service)
            if previous is None:
                self._reports[service] = _Report(share, now_ms)
                continue
            age_ms = max(now_ms - previous.received_ms, MIN_REPORT_AGE_MS)
            weight = 1 - math.exp(-age_ms / REPORT_DECAY_MS)
            previous.share += weight * (share - previous.share)
            previous.received_ms = now_ms

    def record_trees(
        self,
        route: str,
        tree_shares: Mapping[str, int],
        now_ms: float,
        *,
        is_inner: bool = False,
    ) -> None:
        """Record the shares of trees that rejecting services complete.

        Only reports in answers to calls of running requests are passed on, and only those
        of services downstream of the call. Those in answers to new requests came from nodes
        to which this one may report itself, and would go round between them after the
        rejections.

        Args:
            route: Route of the request.
            tree_shares: Share in thousandths per service; 1000 after its rejections.
            now_ms: Current time.
            is_inner: Whether the call was made for a running request.
        """
        for service, thousandths in tree_shares.items():
            share = thousandths / SHARE_SCALE
            _average(self._tree_reports, service, share, now_ms)
            if is_inner and self.is_downstream(route, service):
                _average(self._inner_tree_reports, service, share, now_ms)

    def tree_shares(self, now_ms: float) -> dict[str, float]:
        """Return the services that reject calls, and the share that each completes."""
        return {
            service: report.share
            for service, report in self._tree_reports.items()
            if now_ms - report.received_ms < TREE_REPORT_LIFETIME_MS
            and report.share < MAX_TREE_SHARE
        }

    def forwarded_trees(self, now_ms: float) -> dict[str, int]:
        """Return the recent shares of services below, in thousandths."""
        return {
            service: int(report.share * SHARE_SCALE)
            for service, report in self._inner_tree_reports.items()
            if now_ms - report.received_ms < TREE_FORWARD_MS
        }

    def rejects_below(self, route: str, now_ms: float) -> bool:
        """Return whether a service that a route needs rejects calls now."""
        downstream = self._downstream.get(route, ())
        return any(service in downstream for service in self.tree_shares(now_ms))

    def is_downstream(self, route: str, service: str) -> bool:
        """Return whether calls of a route go to a service."""
        return service in self._downstream.get(route, ())

    def add_downstream(self, route: str, services: Iterable[str]) -> None:
        """Record services that the calls of a route go to."""
        self._downstream.setdefault(route, set()).update(services)

    def shares(self, route: str, now_ms: float) -> dict[str, int]:
        """Return the shares of the services downstream of a route, in thousandths."""
        return {
            service: int(self._share(service, now_ms) * SHARE_SCALE)
            for service in self._downstream.get(route, ())
        }

    def share(self, route: str, now_ms: float) -> float:
        """Return the smallest share among the services downstream of a route."""
        downstream = self._downstream.get(route, ())
        return min((self._share(service, now_ms) for service in downstream), default=1)

    def _share(self, service: str, now_ms: float) -> float:
        report = self._reports.get(service)
        if report is None:
            return 1
        faded_share = min((now_ms - report.received_ms) / REPORT_LIFETIME_MS, 1)
        return report.share + (1 - report.share) * max(faded_share, 0)


def _average(
    reports: dict[str, _Report], service: str, share: float, now_ms: float
) -> None:
    """Apply a report of one guard to the average over the guards of its service."""
    known = reports.get(service)
    if known is None or now_ms - known.received_ms >= TREE_REPORT_LIFETIME_MS:
        reports[service] = _Report(share, now_ms)
        return
    age_ms = max(now_ms - known.received_ms, MIN_REPORT_AGE_MS)
    weight = 1 - math.exp(-age_ms / TREE_REPORT_DECAY_MS)
    if share >= 1:
        weight = max(weight, END_WEIGHT)
    known.share += weight * (share - known.share)
    known.received_ms = now_ms


REFUSED_BEFORE_FACTOR = 3
"""Factor on the admission chance of a caller that was refused before."""


def admits(
    share: float, importance: float, returning: bool, rng: random.Random
) -> bool:
    """Return whether an entry admits a new request.

    Args:
        share: Share of new requests that the downstream services can accept.
        importance: 0 for the least important routes, 1 for the most important.
        returning: Whether the caller was refused before; such a caller has already
            waited, so its chance is higher.
        rng: Random numbers for the decision.
    """
    chance = share * (1 + (MAX_IMPORTANCE_FACTOR - 1) * importance)
    if returning:
        chance *= REFUSED_BEFORE_FACTOR
    return chance >= 1 or rng.random() < chance
