"""A departure that is acknowledged while answers of the store are lost, then a herd kill."""

import asyncio
import json
import random
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'bed-3'))

from bed import HOST, PORTS, Deployment, call, has_trouble, rule  # noqa: E402

STEADY_S = 8
"""Time for which the deployment runs in calm before."""

LOST_WRITES_LATE_S = 5
"""Delay of a write whose answer is lost; the pages name 1 to 6 s."""

LOST_FOR_S = 4.5
LEAVE_AFTER_S = 2.5
"""Time from which answers are lost until the endpoint leaves."""

KILL_AFTER_S = 1.0
DOWN_S = 0.5
LATE_BEAT_S = 3
"""Age of the last heartbeat when it arrives."""

SERVES_ON_S = 14
CONTACT_S = 4
DRAIN_S = 2.5
SEND_PAUSE_S = 0.02
RULE_BROKEN, RULE_HELD, NOT_RUN = 1, 0, 2


async def book(_endpoint, _request):
    """Record a completion."""
    await asyncio.sleep(0.02)
    return b'booked'


async def send(deployment, node):
    """Send one completion and note its answer."""
    attempt = f'{random.getrandbits(64):016x}'
    request = (
        f'POST /pay/{attempt} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\n'
        'Deadline-Ms: 2000\r\nContent-Length: 2\r\n\r\nhi'
    )
    try:
        async with asyncio.timeout(2.5):
            answer = await call(node.ip, PORTS['outbound'], request.encode())
    except (OSError, TimeoutError):
        answer = None
    status = answer.status if answer else 0
    deployment.record.write(f'client at {node.name}: {attempt} answered {status}')


async def send_regularly(deployment, node):
    """Let clients send completions until the end."""
    sends = set()
    while True:
        sends.add(asyncio.ensure_future(send(deployment, node)))
        sends = {each for each in sends if not each.done()}
        await asyncio.sleep(SEND_PAUSE_S)


class Losses:
    """Loses the answers of some writes; these are done late, if they still may be."""

    def __init__(self, deployment):
        """Lose nothing yet."""
        self._deployment = deployment
        self.is_on = False
        self.lost = 0
        self.answered = 0
        self._silent = []

    async def fate(self, entries):
        """Return what becomes of a write; those of the table of nodes are lost."""
        tables = {row['table'] for row in entries['writes']}
        if not (self.is_on and 'nodes' in tables):
            self.answered += self.is_on
            return ''
        self.lost += 1
        keys = [row['key'] for row in entries['writes']]
        self._deployment.record.write(f'store: answer of a write of {keys} is lost')
        loop = asyncio.get_running_loop()
        loop.call_later(LOST_WRITES_LATE_S, self._do, entries)
        # Nothing more is delivered on the connection.
        self._silent.append(loop.create_future())
        return await self._silent[-1]

    def _do(self, entries):
        answer = self._deployment.store.apply(entries)
        status = answer.split()[1].decode()
        self._deployment.record.write(f'store: late write done, status {status}')


async def run(deployment):
    """Play the case and return the exit status."""
    record = deployment.record
    leaving = deployment.add('billing', book)
    deployment.add('billing', book)
    deployment.add('dispatch', book)
    deployment.store.configure(
        7, [rule('pay', 'billing', 'unsafe', '2s')], ['billing', 'dispatch']
    )
    losses = Losses(deployment)
    deployment.store.on_write = losses.fate
    await deployment.start()
    sending = asyncio.ensure_future(send_regularly(deployment, deployment.nodes[2]))
    await asyncio.sleep(STEADY_S)
    if has_trouble():
        record.write('store: answers of some writes are lost from now on')
        losses.is_on = True
    await asyncio.sleep(LEAVE_AFTER_S)
    leaving.stop_reports()
    # This one is under way for some seconds.
    late_beat, beat_s = leaving.heartbeat(), time.monotonic()
    is_acknowledged = False
    while not is_acknowledged:
        body = json.dumps({'born': leaving.born}).encode()
        is_acknowledged = await leaving.report('leave', body)
    left_s = time.monotonic()
    record.write(f'{leaving.id} has left, acknowledged')
    if has_trouble():
        await asyncio.sleep(KILL_AFTER_S)
        for node in deployment.nodes:
            node.kill()
        record.write('all nodes are killed')
        await asyncio.sleep(DOWN_S)
        for node in deployment.nodes:
            node.start()
        losses.is_on = False
        record.write(
            f'nodes are started; {losses.lost} writes had no answer, '
            f'{losses.answered} had one'
        )
    disrupted_s = time.monotonic()
    await asyncio.sleep(max(beat_s + LATE_BEAT_S - time.monotonic(), 0))
    leaving._address = ''
    is_acknowledged = await leaving.report('heartbeat', late_beat)
    record.write(f'heartbeat from before the leave arrives: {is_acknowledged}')
    await asyncio.sleep(max(left_s + SERVES_ON_S - time.monotonic(), 0))
    sending.cancel()
    leaving.close()
    record.write(f'{leaving.id} ends')
    bound_s = max(left_s + DRAIN_S, disrupted_s + CONTACT_S)
    late = [begin for _, begin in leaving.runs if begin > bound_s]
    served = sum(begin > bound_s for _, begin in deployment.endpoints[1].runs)
    record.write(
        f'{len(late)} requests reached {leaving.id} over {DRAIN_S} s after its leave was '
        f'acknowledged, sent by machines in touch ({served} reached the other one): '
        f'DRAIN {"broken" if late else "held"}'
    )
    if not served and not late:
        return NOT_RUN
    return RULE_BROKEN if late else RULE_HELD


async def main():
    """Return the exit status."""
    deployment = Deployment(HERE)
    try:
        async with asyncio.timeout(110):
            return await run(deployment)
    except (OSError, TimeoutError) as error:
        deployment.record.write(f'the case could not run: {error!r}')
        return NOT_RUN
    finally:
        deployment.close()


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
