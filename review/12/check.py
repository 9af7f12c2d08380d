"""A departure of a machine that the store turns away, and five more, then a herd kill."""

import asyncio
import json
import random
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'bed-3'))

from bed import HOST, PORTS, ROOT, Deployment, call, has_trouble, rule  # noqa: E402

# The machines that are turned away are those that keep what the first one acknowledges.
sys.path.insert(0, str(ROOT / 'target' / 'deps'))

from gentianmill import rendezvous  # noqa: E402

MACHINES = 18
STEADY_S = 6
"""Time for which the deployment runs in calm before."""

LEAVE_AFTER_S = 0.3
"""Time from which the store turns machines away until the endpoint leaves."""

KILL_AFTER_S = 1.0
DOWN_S = 0.5
"""Time from the kill until the first process is started again."""

START_PAUSE_S = 0.06
KEEPERS = 5
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


async def send_regularly(deployment, nodes):
    """Let clients at some nodes send completions until the end."""
    sends = set()
    while True:
        sends.add(asyncio.ensure_future(send(deployment, random.choice(nodes))))
        sends = {each for each in sends if not each.done()}
        await asyncio.sleep(SEND_PAUSE_S)


def keepers_of(node, nodes):
    """Return the nodes that are told of the departures of one."""
    others = [other for other in nodes if other is not node]
    others.sort(key=lambda other: rendezvous.score(node.name, other.name))
    return others[-KEEPERS:]


async def run(deployment):
    """Play the case and return the exit status."""
    record, store = deployment.record, deployment.store
    for number in range(MACHINES):
        node = deployment.add('billing' if number < 2 else 'dispatch', book).node
        node.store_ip = store.address_for(number)
    leaving = deployment.endpoints[0]
    store.configure(
        7, [rule('pay', 'billing', 'unsafe', '2s')], ['billing', 'dispatch']
    )
    await deployment.start()
    away = [leaving.node, *keepers_of(leaving.node, deployment.nodes)]
    senders = [node for node in deployment.nodes[2:] if node not in away]
    sending = asyncio.ensure_future(send_regularly(deployment, senders))
    await asyncio.sleep(STEADY_S)
    if has_trouble():
        store.turned_away = {node.store_ip for node in away}
        names = [node.name for node in away]
        record.write(f'the store turns away {names}, {len(away)} of {MACHINES}')
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
        store.turned_away = set()
        record.write('all nodes are killed; the store serves all again')
        await asyncio.sleep(DOWN_S)
        leaving.node.start()
        # Eighteen starts at once would take more processor time than a test machine has.
        for node in deployment.nodes[1:]:
            await asyncio.sleep(START_PAUSE_S)
            node.start()
        record.write('all nodes are started')
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
