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

TARGET_LOAD = 1.0
"""Running and waiting calls, relative to the limit, that keep an upstream busy."""

CORRECTION_EXPONENT = 0.12
"""Exponent of a correction; at twice this value, the share oscillates if reports are a
second old."""

MAX_CORRECTION = 0.12
"""Largest relative change of one correction."""

MIN_SHARE = 0.05

RESPONSE_WEIGHT = 0.05
"""Weight of a new response in the smoothed share of accepted calls."""

ACCEPTED_EXPONENT = 2
"""Exponent of the share of accepted calls.

A request makes several calls to a bottleneck service, so its chance of success
falls faster than the share of calls that are accepted.
"""

SHARE_SCALE = 1000
"""Shares are sent as integers, in thousandths."""

REPORT_LIFETIME_MS = 2500.0
"""Age at which a report has no effect, so that no request is refused for an old one."""

REPORT_WEIGHT = 0.2
"""Weight of a new report in the smoothed share over all guards of a service."""

MAX_IMPORTANCE_FACTOR = 4.0
"""Admission chance of the most important requests relative to the least."""


class AdmissionShare:
    """The share of new requests that one upstream can accept."""

    def __init__(self) -> None:
        """Start with a share of 1, at which all requests are accepted."""
        self._share = 1.0
        self._corrected_ms = -math.inf
        self._accepted_share = float(1)

    @property
    def share(self) -> float:
        """Return the share, above 0 and up to 1."""
        return max(self._share * self._accepted_share**ACCEPTED_EXPONENT, MIN_SHARE)

    def on_response(self, accepted: bool) -> None:
        """Record whether the upstream accepted a call or rejected it."""
        self._accepted_share += RESPONSE_WEIGHT * (accepted - self._accepted_share)

    def observe(self, calls: int, limit: int, now_ms: float) -> None:
        """Correct the share by the current load.

        Args:
            calls: Running and waiting calls.
            limit: Calls that may run at once.
            now_ms: Current time.
        """
        if now_ms - self._corrected_ms < STEP_MS:
            return
        self._corrected_ms = now_ms
        load = max(calls / max(limit, 1), 0.1)
        factor = (TARGET_LOAD / load) ** CORRECTION_EXPONENT
        factor = min(max(factor, 1 - MAX_CORRECTION), 1 + MAX_CORRECTION)
        self._share = min(max(self._share * factor, MIN_SHARE), 1)


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
            previous.share += REPORT_WEIGHT * (share - previous.share)
            previous.received_ms = now_ms

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
