"""Guarantees that must hold under all faults, checked at callers and upstreams."""

import bisect
from collections.abc import Iterator, Sequence

from fault_soak.callers import RequestOutcome
from fault_soak.faults import Faults
from fault_soak.vm import MEMORY_MB, RETRY_SLACK, Vm

REFUSALS = frozenset((408, 421, 429, 503))
"""Statuses which guarantee that a request has not run and never will."""

MIN_SERVED_SHARE = 0.9
"""Minimum share of requests that must be served after recovery."""

MIN_JUDGED_REQUESTS = 20
BYTES_PER_MB = 1_000_000

RETRY_RATIO = 0.2
RETRY_WINDOW_S = 10
"""The retry budget of the nodes: duplicate attempts per request in any window."""


def violated_invariants(
    outcomes: list[RequestOutcome],
    vms: list[Vm],
    faults: Faults,
    recovered_s: tuple[float, float],
) -> list[str]:
    """Return a line for each violation of a guarantee.

    Args:
        outcomes: How each request ended for its caller.
        vms: The VMs, whose upstreams record which requests ran.
        faults: The faults that were injected.
        recovered_s: Begin and end of the time in which requests must be served, in s.
    """
    ran: dict[str, int] = {}
    upstream_violations = [line for vm in vms for line in vm.upstream.violations]
    for vm in vms:
        for request_id, times in vm.upstream.ran.items():
            ran[request_id] = ran.get(request_id, 0) + times
    violations = [
        *upstream_violations,
        *(line for outcome in outcomes for line in _call_violations(outcome, ran)),
    ]
    violations.extend(f'{name} did not stop in time' for name in faults.late_stops)
    violations.extend(
        f'{vm.name} exited unexpectedly with code {code}'
        for vm in vms
        for code in vm.unexpected_exits
    )
    violations.extend(
        f'{vm.name} took {vm.peak_memory_bytes // BYTES_PER_MB} MB'
        for vm in vms
        if vm.peak_memory_bytes > MEMORY_MB * BYTES_PER_MB
    )
    violations.extend(_recovery_violations(outcomes, recovered_s))
    return violations


def _call_violations(outcome: RequestOutcome, ran: dict[str, int]) -> Iterator[str]:
    times = ran.get(outcome.request_id, 0)
    if outcome.unsafe and times > 1:
        yield f'{outcome.request_id}: ran {times} times'
    if outcome.unsafe and outcome.status in REFUSALS and times:
        yield f'{outcome.request_id}: refused with {outcome.status} but has run'
    if outcome.status == 200 and not _is_own_response(outcome):
        yield f'{outcome.request_id}: response was {outcome.body[:40]!r}'
    if outcome.status == 200 and not times:
        yield f'{outcome.request_id}: has a response but has not run'


def _is_own_response(outcome: RequestOutcome) -> bool:
    return outcome.body == f'{outcome.request_id} back'.encode() * 20


def _recovery_violations(
    outcomes: list[RequestOutcome], recovered_s: tuple[float, float]
) -> Iterator[str]:
    begin_s, end_s = recovered_s
    late = [outcome for outcome in outcomes if begin_s <= outcome.at_s < end_s]
    served = sum(outcome.status == 200 for outcome in late)
    if len(late) < MIN_JUDGED_REQUESTS or served < MIN_SERVED_SHARE * len(late):
        yield f'{served} of {len(late)} served after the last fault'


def interrupted(outcomes: list[RequestOutcome], vms: list[Vm]) -> list[str]:
    """Return the requests that ran but whose callers received no response.

    Planned operations alone must not cause any.

    Args:
        outcomes: How each request ended for its caller.
        vms: The VMs.
    """
    ran = {name for vm in vms for name in vm.upstream.ran}
    return [
        f'{outcome.request_id}: ran but got no response'
        for outcome in outcomes
        if not outcome.status and outcome.request_id in ran
    ]


def beyond_retry_budget(sent: Sequence[float], vms: list[Vm]) -> list[str]:
    """Return a line if there were more duplicate attempts than the budget allows.

    Requests are counted in three windows: that of the duplicates, and those that start
    half a window and a whole window earlier. The largest number is used.

    Args:
        sent: Times at which callers sent requests, in s, ascending.
        vms: The VMs, whose upstreams record which requests arrived.
    """
    seen: set[str] = set()
    duplicates: list[float] = []
    arrivals = [arrival for vm in vms for arrival in vm.upstream.arrivals]
    for at_s, request_id in sorted(arrivals):
        if request_id in seen:
            duplicates.append(at_s)
        seen.add(request_id)
    for start_s in duplicates:
        starts = (start_s, start_s - RETRY_WINDOW_S / 2, start_s - RETRY_WINDOW_S)
        requests = max(_count_in_window(sent, start) for start in starts)
        allowed = requests * RETRY_RATIO + RETRY_SLACK
        if _count_in_window(duplicates, start_s) > allowed:
            return [
                f'{_count_in_window(duplicates, start_s)} duplicate attempts for {requests} requests'
            ]
    return []


def _count_in_window(times: Sequence[float], start_s: float) -> int:
    end_s = start_s + RETRY_WINDOW_S
    return bisect.bisect_left(times, end_s) - bisect.bisect_left(times, start_s)
