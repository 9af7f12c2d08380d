"""A change of the configuration while both followers are cut off the store (CONFIG)."""

import asyncio
import collections
import dataclasses
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
    Node,
    configuration,
    has_trouble,
    play,
    route,
)

SERVICES = ('dispatch', 'billing', 'templates')
MACHINES = (
    ('puget-a', 'dispatch'),
    ('puget-a', 'templates'),
    ('puget-b', 'templates'),
    ('puget-b', 'billing'),
)
WARM_UP_S = 8.0
POLL_S = 2.5
CUTS = 2
CUT_S = 4.0
CHANGE_AFTER_S = 0.02
CONFIG_APPLY_S = 2.5
PAUSE_S = 0.05
MOVED = '/job/1'
ADDED = '/new/1'


@dataclasses.dataclass
class Observed:
    """A request and what the client saw."""

    machine: str
    path: str
    sent_s: float
    status: int | None
    signature: str


class Load:
    """A client on each machine that requests all routes in turn."""

    def __init__(self, bed: Bed) -> None:
        """Create a load that does not run."""
        self.observed: list[Observed] = []
        self._bed = bed
        self._is_ending = False
        self._clients: list[asyncio.Task[None]] = []

    def begin(self) -> None:
        """Begin to send."""
        self._clients = [
            asyncio.ensure_future(self._send(node)) for node in self._bed.nodes
        ]

    async def end(self) -> None:
        """Wait for the last answers."""
        self._is_ending = True
        await asyncio.gather(*self._clients)

    async def _send(self, node: Node) -> None:
        client = Client(self._bed, node)
        while not self._is_ending:
            for path in (MOVED, '/bill/1', ADDED):
                sent = await client.send('GET', path)
                signature = ''
                if sent.answer is not None:
                    signature = sent.answer.headers.get('server-signature', '')
                self.observed.append(
                    Observed(node.name, path, sent.sent_s, sent.status, signature)
                )
            await asyncio.sleep(PAUSE_S)
        client.close()


class Polls:
    """Notes which machines wait at the store for changes of the configuration."""

    def __init__(self, bed: Bed) -> None:
        """Listen to the store."""
        self._store = bed.store
        self._last_s: dict[str, float] = {}
        self._last = ''
        self._answered = asyncio.Event()
        bed.store.on_answer = self._on_answer

    def waiting(self) -> list[str]:
        """Return the machines that have asked in the last seconds."""
        oldest_s = time.monotonic() - POLL_S - 0.5
        return [name for name, last_s in self._last_s.items() if last_s > oldest_s]

    async def until_answered(self, followers: list[str]) -> None:
        """Wait for the end of a follower's poll, while no other machine polls."""
        async with asyncio.timeout(POLL_S * 6):
            while True:
                self._answered.clear()
                await self._answered.wait()
                polling = {*self.waiting(), *self._asking()}
                if self._last in followers and polling == set(followers):
                    return

    def _asking(self) -> set[str]:
        calls = self._store.open_calls.items()
        return {
            machine for (machine, target), count in calls if count and _is_poll(target)
        }

    def _on_answer(self, machine: str, target: str) -> None:
        if _is_poll(target):
            self._last_s[machine] = time.monotonic()
            self._last = machine
            self._answered.set()


def _is_poll(target: str) -> bool:
    return 'rows-feed' in target and 'table=op' in target


def old_routes() -> list[dict]:
    """Return the routes of the first version."""
    return [route('/job/', 'dispatch'), route('/bill/', 'billing')]


def new_routes() -> list[dict]:
    """Return routes of which one leads to another service and one is added."""
    moved, *others = old_routes()
    moved['action']['service'] = 'billing'
    return [moved, *others, route('/new/', 'dispatch')]


def is_old(bed: Bed, observed: Observed) -> bool:
    """Return whether a request was handled as only the older version allows."""
    if observed.path == ADDED:
        return observed.status == 404
    if observed.path != MOVED or observed.status != 200:
        return False
    dispatchers = [each.id for each in bed.endpoints if each.node.service == 'dispatch']
    return any(observed.signature.startswith(each) for each in dispatchers)


async def scenario(bed: Bed) -> int:
    """Cut both followers off the store, and change the configuration."""
    for zone, service in MACHINES:
        bed.add(service, zone)
    bed.store.put('op', 'config', configuration(1, old_routes(), list(SERVICES)))
    await bed.start()
    polls = Polls(bed)
    load = Load(bed)
    load.begin()
    await asyncio.sleep(WARM_UP_S)
    followers = polls.waiting()
    bed.record.add(f'machines that follow the store: {followers}')
    if len(followers) != CUTS:
        raise CannotRunError(f'{len(followers)} machines follow the store')
    await polls.until_answered(followers)
    if has_trouble():
        bed.store.cut.update(followers)
        bed.record.add(f'cut off the store: {followers}')
    await asyncio.sleep(CHANGE_AFTER_S)
    bed.store.put('op', 'config', configuration(2, new_routes(), list(SERVICES)))
    acknowledged_s = time.monotonic()
    bed.record.add('version 2 is acknowledged')
    await asyncio.sleep(CUT_S - CHANGE_AFTER_S)
    bed.store.cut.clear()
    await asyncio.sleep(1)
    await load.end()
    in_touch = [each for each in load.observed if each.machine not in followers]
    late = [each for each in in_touch if each.sent_s > acknowledged_s + CONFIG_APPLY_S]
    wrong = [each for each in late if is_old(bed, each)]
    for machine, count in collections.Counter(each.machine for each in wrong).items():
        last_s = max(each.sent_s for each in wrong if each.machine == machine)
        bed.record.add(
            f'{machine}, not cut: {count} requests handled as in version 1, the last '
            f'sent {last_s - acknowledged_s:.2f} s after the acknowledgement'
        )
    bed.record.add(
        f'sent later than {CONFIG_APPLY_S} s after the acknowledgement at machines in '
        f'touch: {len(late)}, of these handled as in version 1: {len(wrong)}'
    )
    return BROKEN if wrong else HELD


play(FOLDER, scenario)
