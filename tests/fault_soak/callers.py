"""Callers that keep their connections, and what they were told."""

import asyncio
import dataclasses
import itertools
import random

import aiohttp

from fault_soak.place import UNSAFE_PREFIX, Place

HOST_HEADER = 'till.example'
READ_PREFIX = '/read/'
TIME_LEFT_MS = 4000
PAUSE_S = 0.02
LIMIT_S = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Told:
    """How one request ended for its caller."""

    request_id: str
    unsafe: bool
    status: int
    """0 if the connection ended without an answer."""

    body: bytes
    at_s: float


class Callers:
    """Send requests to all VMs until they are stopped."""

    def __init__(self, places: list[Place], per_place: int, seed: int) -> None:
        """Create callers that do not run."""
        self.told: list[Told] = []
        self.sent: list[float] = []
        """When requests were sent, in s."""

        self._places = places
        self._per_place = per_place
        self._rng = random.Random(seed)
        self._numbers = itertools.count()
        self._tasks: list[asyncio.Task[None]] = []
        self._stopping = False

    def start(self) -> None:
        """Begin to send."""
        for place in self._places:
            for _ in range(self._per_place):
                self._tasks.append(asyncio.ensure_future(self._call(place)))

    async def stop(self) -> None:
        """Send no more and let requests under way end."""
        self._stopping = True
        await asyncio.gather(*self._tasks)

    async def _call(self, place: Place) -> None:
        async with aiohttp.ClientSession() as session:
            while not self._stopping:
                await self._send(session, place)
                await asyncio.sleep(self._rng.uniform(0, 2 * PAUSE_S))

    async def _send(self, session: aiohttp.ClientSession, place: Place) -> None:
        number = next(self._numbers)
        unsafe = self._rng.random() < 0.4
        prefix = UNSAFE_PREFIX if unsafe else READ_PREFIX
        request_id = f'r{number}'
        status, body = 0, b''
        self.sent.append(asyncio.get_running_loop().time())
        try:
            async with session.request(
                'POST' if unsafe else 'GET',
                f'{place.entry}{prefix}{number}',
                headers={
                    'Host': HOST_HEADER,
                    'Attempt-Id': request_id,
                    'Deadline-Ms': str(TIME_LEFT_MS),
                },
                data=b'x' * 200 if unsafe else None,
                timeout=aiohttp.ClientTimeout(total=LIMIT_S),
            ) as response:
                body = await response.read()
                status = response.status
        except aiohttp.ClientConnectorError:
            # Nobody listens; the request was not sent.
            await asyncio.sleep(PAUSE_S)
            return
        except (aiohttp.ClientError, TimeoutError):
            # Kept as an end without an answer.
            pass
        now_s = asyncio.get_running_loop().time()
        self.told.append(Told(request_id, unsafe, status, body, now_s))
