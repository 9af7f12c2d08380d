"""A node forgets a leave that it has acknowledged when it is restarted."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / 'bed'))
from bed import Bed, CannotRunError, main, rule  # noqa: E402

DRAIN_S = 2.5
CONTACT_S = 4.0
LATE_S = 4.0
"""Lateness of one heartbeat; the page says that one may arrive seconds late."""

SERVES_ON_S = 12.0
"""Time for which the endpoint serves after its leave: at times many seconds."""


async def case(bed: Bed, trouble: bool) -> list[str]:
    entry = bed.add('entry-1', 'front', 'a')
    leaving = bed.add('back-1', 'back', 'a')
    bed.add('back-2', 'back', 'b')
    bed.configure([rule('pay', 'back', 'unsafe')])
    await bed.start()
    record = bed.record
    await asyncio.sleep(CONTACT_S + 2)
    paying = asyncio.ensure_future(_pay(entry))
    await asyncio.sleep(1)

    endpoint = leaving.endpoint
    endpoint.stop_heartbeats()
    late = endpoint.heartbeat()
    made_at = record.now
    await asyncio.sleep(0.3)
    if not await endpoint.send('leave', b'{}'):
        raise CannotRunError('the leave is not acknowledged')
    acked_at = record.now
    await asyncio.sleep(0.3)
    started_at = acked_at - CONTACT_S
    if trouble:
        leaving.signal(signal.SIGKILL)
        await leaving.until_exit(2)
        await asyncio.sleep(0.2)
        leaving.start_node()
        started_at = record.now
        while not await leaving.is_ready():
            await asyncio.sleep(0.05)
    await asyncio.sleep(made_at + LATE_S - record.now)
    await endpoint.send('heartbeat', late)
    await asyncio.sleep(acked_at + SERVES_ON_S - record.now)
    await endpoint.stop()
    await asyncio.sleep(2)
    paying.cancel()

    bound = max(acked_at + DRAIN_S, started_at + CONTACT_S)
    runs = [run for run in record.of('run') if run['id'] == endpoint.id]
    after = [run for run in runs if run['at'] > bound]
    if not after:
        return []
    ids = {run['attempt'] for run in after}
    lost = [
        answer
        for answer in record.of('answered')
        if answer['attempt'] in ids and answer['status'] != '200'
    ]
    return [
        f'DRAIN: {len(after)} requests reached {endpoint.id}, which had left at '
        f'{acked_at:.2f} s (acknowledged), between {after[0]["at"]} and '
        f'{after[-1]["at"]} s; {len(lost)} of them got no success'
    ]


async def _pay(entry) -> None:
    """Send ten payments a second, for the whole case."""
    requests = set()
    while True:
        request = asyncio.ensure_future(entry.request('POST', '/pay/x?work=300', 5000))
        requests.add(request)
        request.add_done_callback(requests.discard)
        await asyncio.sleep(0.1)


if __name__ == '__main__':
    main(__file__, case)
