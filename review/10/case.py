"""A leave that only nodes in memory knew, when all processes are killed (DRAIN)."""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'bed-2'))

from bed import (  # noqa: E402
    BROKEN,
    CONTACT_S,
    HELD,
    Bed,
    CannotRunError,
    Client,
    Endpoint,
    Message,
    configuration,
    has_trouble,
    play,
    route,
)

STORE_DOWN_S = 4.5
LEAVE_AFTER_S = 1.0
KILL_AFTER_S = 0.3
DOWN_S = 0.5
LATE_S = 4.0
"""Time after the leave at which a heartbeat from before it arrives."""

STAY_S = 16.0
"""Time for which the endpoint serves after its leave was acknowledged."""

DRAIN_S = 2.5
WORK_S = 0.02
SLOW_WORK_S = 0.4
PAUSE_S = 0.05


class Runs:
    """Notes when requests begin to run at an endpoint."""

    def __init__(self) -> None:
        """Begin without any."""
        self.times_s: list[float] = []

    async def answer(
        self, endpoint: Endpoint, request: Message, writer: asyncio.StreamWriter
    ) -> None:
        """Run a request for a short time."""
        self.times_s.append(time.monotonic())
        await asyncio.sleep(WORK_S)
        writer.write(endpoint.signed(request, 200, b'done'))


async def answer_slowly(
    endpoint: Endpoint, request: Message, writer: asyncio.StreamWriter
) -> None:
    """Answer as a slower endpoint of the service does."""
    await asyncio.sleep(SLOW_WORK_S)
    writer.write(endpoint.signed(request, 200, b'done'))


async def send_payments(bed: Bed, ending: asyncio.Event) -> None:
    """Send unsafe requests on a kept connection until the end."""
    client = Client(bed, bed.nodes[0])
    while not ending.is_set():
        await client.send('POST', '/completion/1', b'x' * 1200, deadline_ms=2000)
        await asyncio.sleep(PAUSE_S)
    client.close()


async def kill_all(bed: Bed) -> None:
    """Kill all processes at once and start them again."""
    for node in bed.nodes:
        node.send(signal.SIGKILL)
    for node in bed.nodes:
        await node.until_ended()
    await asyncio.sleep(DOWN_S)
    for node in bed.nodes:
        node.start()


async def scenario(bed: Bed) -> int:
    """Let an endpoint leave while the store is down, and kill all nodes."""
    bed.add('dispatch')
    leaving = bed.add('billing')
    other = bed.add('billing')
    other.handler = answer_slowly
    runs = Runs()
    leaving.handler = runs.answer
    routes = [route('/completion/', 'billing', 'unsafe', timeout='2s')]
    bed.store.put('op', 'config', configuration(1, routes, ['dispatch', 'billing']))
    await bed.start()
    ending = asyncio.Event()
    clients = [asyncio.ensure_future(send_payments(bed, ending)) for _ in range(4)]
    await asyncio.sleep(CONTACT_S)
    if has_trouble():
        bed.store.cut.update(node.name for node in bed.nodes)
        bed.record.add('the store is down')
    down_s = time.monotonic()
    await asyncio.sleep(LEAVE_AFTER_S)
    late_heartbeat = leaving.heartbeat()
    leaving.stop_reports()
    acknowledged = await leaving.report('leave', leaving.leave())
    acknowledged_s = time.monotonic()
    bed.record.add(f'leave of {leaving.id} acknowledged: {acknowledged}')
    if not acknowledged:
        raise CannotRunError('the leave was not acknowledged')
    await asyncio.sleep(KILL_AFTER_S)
    if has_trouble():
        await kill_all(bed)
    await asyncio.sleep(max(down_s + STORE_DOWN_S - time.monotonic(), 0))
    bed.store.cut.clear()
    back_s = time.monotonic()
    bed.record.add('the store is back')
    await asyncio.sleep(max(acknowledged_s + LATE_S - time.monotonic(), 0))
    arrived = await leaving.report('heartbeat', late_heartbeat)
    bed.record.add(f'late heartbeat answered with success: {arrived}')
    await asyncio.sleep(max(acknowledged_s + STAY_S - time.monotonic(), 0))
    ending.set()
    await asyncio.gather(*clients)
    begin_s = max(acknowledged_s + DRAIN_S, back_s + CONTACT_S)
    late = [begun_s for begun_s in runs.times_s if begun_s > begin_s]
    bed.record.add(
        f'runs at the endpoint that left: {len(runs.times_s)}, of these later than '
        f'{DRAIN_S} s after the acknowledgement, with all machines in touch: {len(late)}'
    )
    return BROKEN if late else HELD


play(FOLDER, scenario)
