"""Nodes that were killed forget which request crashes endpoints."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / 'bed'))
from bed import Bed, CannotRunError, main, rule  # noqa: E402

CONTACT_S = 4.0
MOST_RETRIES = 3
PAUSE_S = 2.5
"""Pause of the client between two attempts; a crashed endpoint is back after 1.5 s."""

HERD_KILLS = 2
ATTEMPTS_AFTER_KILL = 6


async def case(bed: Bed, trouble: bool) -> list[str]:
    entry = bed.add('entry-1', 'front', 'a')
    other_entry = bed.add('entry-2', 'front', 'b')
    backs = [bed.add('back-1', 'back', 'a'), bed.add('back-2', 'back', 'b')]
    for machine in backs:
        machine.endpoint.restart_after_s = 1.5
    bed.configure(
        [rule('poison', 'back', 'safe', attempts=1), rule('pay', 'back', 'unsafe')]
    )
    await bed.start()
    record = bed.record
    await asyncio.sleep(CONTACT_S + 1)
    paying = asyncio.ensure_future(_pay(other_entry))
    for _ in range(10):
        if len(record.of('crashed')) >= 3:
            break
        await _poison(entry)
    crashes = record.of('crashed')
    if len(crashes) < 3:
        raise CannotRunError('the request did not crash three endpoints')
    third_at = crashes[2]['at']
    bound = third_at + CONTACT_S
    await asyncio.sleep(max(bound - record.now, 0))
    for _ in range(HERD_KILLS):
        if trouble:
            await _kill_together(backs)
        await asyncio.sleep(CONTACT_S + 1)
        for _ in range(ATTEMPTS_AFTER_KILL):
            await _poison(entry)
    paying.cancel()
    late = [
        run
        for run in record.of('run')
        if run['at'] > bound and run['path'].startswith('/poison')
    ]
    lost = _lost_in(record, {run['id'] for run in late})
    record.add('reached', retries=len(late))
    if len(late) <= MOST_RETRIES:
        return []
    return [
        f'BUDGET: a request that had crashed three endpoints by {third_at} s reached '
        f'endpoints in {len(late)} further retries, the first at {late[0]["at"]} s, '
        f'and crashed each of them; {lost} payments that these ran were lost'
    ]


def _lost_in(record, endpoints: set[str]) -> int:
    """Return how many payments that some endpoints ran got no success."""
    there = {run['attempt'] for run in record.of('run') if run['id'] in endpoints}
    return sum(
        answer['attempt'] in there and answer['status'] != '200'
        for answer in record.of('answered')
        if answer['path'].startswith('/pay')
    )


async def _pay(entry) -> None:
    """Send ten payments a second, for the whole case."""
    requests = set()
    while True:
        request = asyncio.ensure_future(entry.request('POST', '/pay/x?work=300', 5000))
        requests.add(request)
        request.add_done_callback(requests.discard)
        await asyncio.sleep(0.1)


async def _kill_together(machines) -> None:
    """Kill nodes at the same moment, and start them again, as the platform does."""
    for machine in machines:
        machine.signal(signal.SIGKILL)
    await asyncio.gather(*(machine.until_exit(2) for machine in machines))
    await asyncio.sleep(0.3)
    for machine in machines:
        machine.start_node()
    for machine in machines:
        while not await machine.is_ready():
            await asyncio.sleep(0.05)


async def _poison(entry) -> None:
    await entry.request('GET', '/poison/x', 2000)
    await asyncio.sleep(PAUSE_S)


if __name__ == '__main__':
    main(__file__, case)
