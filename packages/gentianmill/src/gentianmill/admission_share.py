"""Share of new requests that a service can take, and its use at entries.

The pattern that it answers: a deep request makes many calls to a narrow service
far below its entry. If that service turns calls away, all work above is wasted.
So it tells how many new requests it can take, answers carry that up the call
tree, and entries refuse whole requests before any work is done.
"""

import dataclasses
import math
import random
from collections.abc import Iterable, Mapping

STEP_MS = 200.0
"""Pause between two corrections; reports need about as long per level."""

TARGET_LOAD = 1.0
"""Calls that run or wait, relative to the limit, that keep an upstream busy."""

GAIN = 0.12
"""Exponent of a correction; with reports a second old, twice that oscillates."""

LARGEST_STEP = 0.12
"""Bounds one correction, in relative terms."""

LEAST_SHARE = 0.05

ACCEPT_WEIGHT = 0.05
"""Weight of a new answer in the smoothed part of calls that are accepted."""

REJECT_POWER = 2
"""A request makes several calls to a narrow service, so its chance falls faster
than the part of them that is accepted."""

WHOLE = 1000
"""Shares are sent in thousandths."""

REPORT_MS = 2500.0
"""Age at which a report has faded; nobody is refused for old news."""

REPORT_WEIGHT = 0.2
"""Weight of a new report, as those of several guards of a service mix."""

IMPORTANT_FACTOR = 4.0
"""How much later the most important requests are refused than the least."""


class AdmissionShare:
    """The share of new requests that one upstream can take."""

    def __init__(self) -> None:
        """Take all requests."""
        self._share = 1.0
        self._corrected_ms = -math.inf
        self._accepted = float(1)

    @property
    def share(self) -> float:
        """Return the share, above 0 and up to 1."""
        return max(self._share * self._accepted**REJECT_POWER, LEAST_SHARE)

    def on_answer(self, accepted: bool) -> None:
        """Take note of whether the upstream accepted a call or rejected it."""
        self._accepted += ACCEPT_WEIGHT * (accepted - self._accepted)

    def observe(self, calls: int, limit: int, now_ms: float) -> None:
        """Correct the share by the present load.

        Args:
            calls: Calls that run or wait.
            limit: Calls that may run at once.
            now_ms: Current time.
        """
        if now_ms - self._corrected_ms < STEP_MS:
            return
        self._corrected_ms = now_ms
        load = max(calls / max(limit, 1), 0.1)
        factor = (TARGET_LOAD / load) ** GAIN
        factor = min(max(factor, 1 - LARGEST_STEP), 1 + LARGEST_STEP)
        self._share = min(max(self._share * factor, LEAST_SHARE), 1)


@dataclasses.dataclass(slots=True)
class _Report:
    share: float
    at_ms: float


class ShareTable:
    """What the services below a route can take, by the reports on answers."""

    def __init__(self) -> None:
        """Know no service."""
        self._reports: dict[str, _Report] = {}
        self._below: dict[str, set[str]] = {}

    def learn(self, route: str, shares: Mapping[str, int], now_ms: float) -> None:
        """Take over the report on an answer.

        Args:
            route: Route of the request that was answered.
            shares: Per service that runs its calls, the share in thousandths.
            now_ms: Current time.
        """
        below = self._below.setdefault(route, set())
        below.update(shares)
        for service, thousandths in shares.items():
            share = thousandths / WHOLE
            known = self._reports.get(service)
            if known is None:
                self._reports[service] = _Report(share, now_ms)
                continue
            known.share += REPORT_WEIGHT * (share - known.share)
            known.at_ms = now_ms

    def add_below(self, route: str, services: Iterable[str]) -> None:
        """Record that calls of a route go to services."""
        self._below.setdefault(route, set()).update(services)

    def shares(self, route: str, now_ms: float) -> dict[str, int]:
        """Return the shares of the services below a route, in thousandths."""
        return {
            service: int(self._share(service, now_ms) * WHOLE)
            for service in self._below.get(route, ())
        }

    def share(self, route: str, now_ms: float) -> float:
        """Return the smallest share of the services below a route."""
        below = self._below.get(route, ())
        return min((self._share(service, now_ms) for service in below), default=1)

    def _share(self, service: str, now_ms: float) -> float:
        report = self._reports.get(service)
        if report is None:
            return 1
        fade = min((now_ms - report.at_ms) / REPORT_MS, 1)
        return report.share + (1 - report.share) * max(fade, 0)


RETURN_FACTOR = 3
"""How much likelier a caller is let in who was refused before."""


def admits(
    share: float, importance: float, returning: bool, rng: random.Random
) -> bool:
    """Return whether an entry lets a new request in.

    Args:
        share: Share of new requests that the services below can take.
        importance: 0 for the least important routes, 1 for the most important.
        returning: Whether the caller was refused before; such a caller has waited
            already, so the choice is made in its favour.
        rng: Makes the choice.
    """
    chance = share * (1 + (IMPORTANT_FACTOR - 1) * importance)
    if returning:
        chance *= RETURN_FACTOR
    return chance >= 1 or rng.random() < chance
