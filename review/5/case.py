"""A heartbeat that is two seconds late ends a read at which an endpoint works."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / 'bed'))
from bed import Bed, CannotRunError, main, rule  # noqa: E402

CONTACT_S = 4.0
LATE_S = 2.0
WORK_MS = 4300
DEADLINE_MS = 10_000
READS = 6


async def case(bed: Bed, trouble: bool) -> list[str]:
    entry = bed.add('entry-1', 'front', 'a')
    late = bed.add('back-1', 'back', 'a').endpoint
    bed.add('back-2', 'back', 'b')
    bed.configure([rule('read', 'back', 'safe', attempts=1)])
    await bed.start()
    record = bed.record
    await asyncio.sleep(CONTACT_S + 1)
    if trouble:
        late.late_s = LATE_S
    sent_beats = late.sequence
    while late.sequence == sent_beats:
        await asyncio.sleep(0.01)
    reads = [
        asyncio.ensure_future(
            entry.request('GET', f'/read/x?work={WORK_MS}', DEADLINE_MS, f'read-{n}')
        )
        for n in range(READS)
    ]
    await asyncio.sleep(0.4)
    there = {run['attempt'] for run in record.of('run') if run['id'] == late.id}
    if not there:
        raise CannotRunError('no read runs on the endpoint')
    entry.signal(signal.SIGTERM)
    stopped_at = record.now
    await asyncio.gather(*reads)
    await entry.until_exit(6.5)
    cut = [
        answer
        for answer in record.of('answered')
        if answer['attempt'] in there and not answer['signed']
    ]
    if not cut:
        return []
    dropped = {drop['attempt'] for drop in record.of('dropped')}
    return [
        f'LOST: {len(cut)} of {len(there)} reads at which {late.id} was at work '
        f'({len(dropped & there)} were cut off there) got '
        f'{cut[0]["status"] or "no answer"} from the node, '
        f'{cut[0]["at"] - stopped_at:.2f} s after the SIGTERM and with more than '
        f'{DEADLINE_MS / 1000 - 4:.0f} s left'
    ]


if __name__ == '__main__':
    main(__file__, case)
