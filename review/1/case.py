"""A payment runs twice after a cut of the network between two nodes."""

import asyncio
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / 'bed'))
from bed import Bed, CannotRunError, CutProxy, main, rule, until  # noqa: E402

CONTACT_S = 4.0
CUT_S = 10.7
"""Length of the cut; the site file has ``node_cut`` for 12 s."""

LONG_MS = 10_650
SHORT_MS = 120
PAYMENTS = 5
DEADLINE_MS = 12_000
"""The longest deadline of the site files."""


async def case(bed: Bed, trouble: bool) -> list[str]:
    entry = bed.add('entry-1', 'front', 'a')
    back = bed.add('back-1', 'back', 'b')
    third = bed.add('entry-2', 'front', 'a')
    bed.configure([rule('pay', 'back', 'unsafe', timeout='12s')])
    record = bed.record
    await bed.store.start()
    proxy = CutProxy(record, back.ip)
    await proxy.start()
    bed.store.proxied.add(back.name)
    await back.endpoint.start()
    back.start_node()

    async def is_known() -> bool:
        row = bed.store.rows.get(('nodes', '', back.name))
        return row is not None and await back.is_ready()

    await until(is_known, 20, 'the node beside the endpoint is not known')
    await asyncio.sleep(1)
    for machine in (entry, third):
        await machine.endpoint.start()
        machine.start_node()
    await bed.until_ready(20)
    await asyncio.sleep(CONTACT_S + 2)

    payments = [_pay(entry, LONG_MS, 'long')]
    await asyncio.sleep(0.15)
    payments += [_pay(entry, SHORT_MS, f'short-{n}') for n in range(PAYMENTS)]
    await asyncio.sleep(0.05)
    if len(record.of('run')) != 1 + PAYMENTS:
        raise CannotRunError('the payments do not run')
    if trouble:
        proxy.begin_cut()
    await asyncio.sleep(CUT_S)
    if trouble:
        proxy.end_cut()
    await asyncio.gather(*payments)
    await asyncio.sleep(1)
    runs = Counter(run['attempt'] for run in record.of('run'))
    twice = [attempt for attempt, count in runs.items() if count > 1]
    if not twice:
        return []
    return [f'TWICE: {len(twice)} payments ran more than once: {", ".join(twice)}']


def _pay(entry, work_ms: int, attempt: str) -> 'asyncio.Task[object]':
    path = f'/pay/x?work={work_ms}'
    return asyncio.ensure_future(entry.request('POST', path, DEADLINE_MS, attempt))


if __name__ == '__main__':
    main(__file__, case)
