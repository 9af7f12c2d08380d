"""What must hold whatever happens, from what callers and upstreams have seen."""

import bisect
from collections.abc import Iterator, Sequence

from fault_soak.callers import Told
from fault_soak.faults import Faults
from fault_soak.place import RETRY_SLACK, Place

REFUSALS = frozenset((408, 421, 429, 503))
"""Statuses that promise that a request has not run and never will."""

LEAST_SERVED = 0.9
"""Part of the requests that is served once everything is well again."""

LEAST_JUDGED = 20

RETRY_RATIO = 0.2
RETRY_WINDOW_S = 10
"""The retry budget of the settings: repeats per request, in any such time."""


def broken_promises(
    told: list[Told], places: list[Place], faults: Faults, recovered_s: float
) -> list[str]:
    """Return a line for each promise that was broken.

    Args:
        told: How each request ended for its caller.
        places: The VMs, whose upstreams know what ran.
        faults: What was done to them.
        recovered_s: Time from which on requests must be served again.
    """
    ran: dict[str, int] = {}
    wrong = [line for place in places for line in place.upstream.wrong]
    for place in places:
        for request_id, times in place.upstream.ran.items():
            ran[request_id] = ran.get(request_id, 0) + times
    broken = [*wrong, *(line for end in told for line in _broken(end, ran))]
    broken.extend(f'{name} did not stop in time' for name in faults.late_stops)
    broken.extend(
        f'{place.name} ended by itself with {code}'
        for place in places
        for code in place.own_ends
    )
    broken.extend(_unrecovered(told, recovered_s))
    return broken


def _broken(end: Told, ran: dict[str, int]) -> Iterator[str]:
    times = ran.get(end.request_id, 0)
    if end.unsafe and times > 1:
        yield f'{end.request_id}: ran {times} times'
    if end.unsafe and end.status in REFUSALS and times:
        yield f'{end.request_id}: refused with {end.status} and has run'
    if end.status == 200 and not _is_own(end):
        yield f'{end.request_id}: answered with {end.body[:40]!r}'
    if end.status == 200 and not times:
        yield f'{end.request_id}: answered and has not run'


def _is_own(end: Told) -> bool:
    return end.body == f'{end.request_id} back'.encode() * 20


def _unrecovered(told: list[Told], recovered_s: float) -> Iterator[str]:
    late = [end for end in told if end.at_s >= recovered_s]
    served = sum(end.status == 200 for end in late)
    if len(late) < LEAST_JUDGED or served < LEAST_SERVED * len(late):
        yield f'{served} of {len(late)} served after the last fault'


def interrupted(told: list[Told], places: list[Place]) -> list[str]:
    """Return requests that ran and whose callers got no answer.

    Planned work alone must not cause any.

    Args:
        told: How each request ended for its caller.
        places: The VMs.
    """
    ran = {name for place in places for name in place.upstream.ran}
    return [
        f'{end.request_id}: ran and was cut'
        for end in told
        if not end.status and end.request_id in ran
    ]


def beyond_retry_budget(sent: Sequence[float], places: list[Place]) -> list[str]:
    """Return a line if more requests arrived again than the retry budget permits.

    Requests are counted in the window of the repeats, in the one before it or in
    the one half a window before it, whichever has most.

    Args:
        sent: When callers sent requests, in s, in order.
        places: The VMs, whose upstreams know what arrived.
    """
    seen: set[str] = set()
    repeats: list[float] = []
    arrivals = [arrival for place in places for arrival in place.upstream.arrivals]
    for at_s, request_id in sorted(arrivals):
        if request_id in seen:
            repeats.append(at_s)
        seen.add(request_id)
    for start_s in repeats:
        starts = (start_s, start_s - RETRY_WINDOW_S / 2, start_s - RETRY_WINDOW_S)
        requests = max(_within(sent, start) for start in starts)
        permitted = requests * RETRY_RATIO + RETRY_SLACK
        if _within(repeats, start_s) > permitted:
            return [f'{_within(repeats, start_s)} repeats for {requests} requests']
    return []


def _within(times: Sequence[float], start_s: float) -> int:
    end_s = start_s + RETRY_WINDOW_S
    return bisect.bisect_left(times, end_s) - bisect.bisect_left(times, start_s)
