"""A write of a process that has ended is done after that of its successor (RECOVER)."""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'bed-2'))

from bed import (  # noqa: E402
    BROKEN,
    HELD,
    Bed,
    CannotRunError,
    Client,
    Sent,
    configuration,
    has_trouble,
    play,
    route,
)

LATE_S = 5.9
"""Time after which the store does the write; `how = "late"` allows 1 to 6 s."""

BEFORE_S = 4.0
KILL_AFTER_S = 1.0
DOWN_S = 0.75
RECOVERY_S = 15.0
JUDGED_S = 8.0
PAUSE_S = 0.1


class Load:
    """Clients of the first machine whose requests need the second one's endpoint."""

    def __init__(self, bed: Bed, count: int) -> None:
        """Create a load that does not run."""
        self.sent: list[Sent] = []
        self._bed = bed
        self._count = count
        self._is_ending = False
        self._clients: list[asyncio.Task[None]] = []

    def begin(self) -> None:
        """Begin to send."""
        self._clients = [
            asyncio.ensure_future(self._send()) for _ in range(self._count)
        ]

    async def end(self) -> None:
        """Wait for the last answers."""
        self._is_ending = True
        await asyncio.gather(*self._clients)

    def served(self, begin_s: float, end_s: float) -> tuple[int, int]:
        """Return how many of the requests sent in a time were served, and all."""
        sent = [each for each in self.sent if begin_s <= each.sent_s < end_s]
        return sum(each.status == 200 for each in sent), len(sent)

    async def _send(self) -> None:
        client = Client(self._bed, self._bed.nodes[0])
        while not self._is_ending:
            self.sent.append(await client.send('GET', '/bill/1'))
            await asyncio.sleep(PAUSE_S)
        client.close()


async def kill_all(bed: Bed) -> None:
    """Kill all processes, and start them again, as the final fault of a day does."""
    for node in bed.nodes:
        node.send(signal.SIGKILL)
    for node in bed.nodes:
        await node.until_ended()
    await asyncio.sleep(DOWN_S)
    for node in bed.nodes:
        node.start()
    for node in bed.nodes:
        await node.until_ready()


async def scenario(bed: Bed) -> int:
    """Stop the second machine, whose last write is late; then the final fault."""
    bed.add('dispatch')
    billing = bed.add('billing').node
    services = ['dispatch', 'billing']
    bed.store.put(
        'op', 'config', configuration(1, [route('/bill/', 'billing')], services)
    )
    await bed.start()
    load = Load(bed, count=3)
    load.begin()
    begin_s = time.monotonic()
    await asyncio.sleep(BEFORE_S)
    if has_trouble():
        bed.store.late_write = lambda _table, row: (
            LATE_S if row['key'] == billing.name else None
        )
    fault_s = time.monotonic()
    billing.send(signal.SIGTERM)
    await asyncio.sleep(KILL_AFTER_S)
    bed.store.late_write = lambda _table, _row: None
    changed = configuration(2, [route('/bill/', 'billing', maxAttempts=1)], services)
    bed.store.put('op', 'config', changed)
    await kill_all(bed)
    back_s = time.monotonic()
    await asyncio.sleep(RECOVERY_S + JUDGED_S)
    await load.end()
    served, count = load.served(begin_s, fault_s)
    bed.record.add(f'before the final fault: {served} of {count} requests served')
    if not count or served * 4 < count:
        raise CannotRunError('too few requests were served before the fault')
    judged_s = back_s + RECOVERY_S
    served, count = load.served(judged_s, judged_s + JUDGED_S)
    bed.record.add(f'later than {RECOVERY_S} s after the start: {served} of {count}')
    row = bed.store.row('nodes', billing.name)
    bed.record.add(f'row of {billing.name}: {row}')
    return BROKEN if served * 4 < count else HELD


play(FOLDER, scenario)
