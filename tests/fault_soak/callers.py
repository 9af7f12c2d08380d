"""Callers with keep-alive connections, and the outcomes of their requests."""

import asyncio
import dataclasses
import functools
import itertools
import random

import aiohttp
from aiohttp.client_proto import ResponseHandler

from fault_soak.vm import LARGE_MARK, LARGE_REPEATS, UNSAFE_PREFIX, Vm

HOST_HEADER = 'till.example'
READ_PREFIX = '/read/'
TIME_LEFT_MS = 4000
MEAN_PAUSE_S = 0.02
OK = 200
LARGE_SHARE = 0.03
"""Share of the reads whose response is large and read slowly."""

SLOW_PAUSE_S = 0.02
BLOCK_BYTES = 65_536
RESPONSE_LIMIT_S = 8


@dataclasses.dataclass(frozen=True, slots=True)
class RequestOutcome:
    """How one request ended for its caller."""

    request_id: str
    unsafe: bool
    status: int
    """0 if the connection ended without a response."""

    body: bytes
    at_s: float


class Callers:
    """Send requests to all VMs until they are stopped."""

    def __init__(self, vms: list[Vm], per_vm: int, seed: int) -> None:
        """Create callers that are not started yet."""
        self.outcomes: list[RequestOutcome] = []
        self.sent: list[float] = []
        """Times at which requests were sent, in s."""

        self._vms = vms
        self._per_vm = per_vm
        self._rng = random.Random(seed)
        self._numbers = itertools.count()
        self._tasks: list[asyncio.Task[None]] = []
        self._stopping = False

    def start(self) -> None:
        """Start sending."""
        for vm in self._vms:
            for _ in range(self._per_vm):
                self._tasks.append(asyncio.ensure_future(self._call(vm)))

    async def stop(self) -> None:
        """Stop sending and wait for the requests in flight."""
        self._stopping = True
        await asyncio.gather(*self._tasks)

    async def _call(self, vm: Vm) -> None:
        connector = aiohttp.TCPConnector()
        connector._factory = functools.partial(
            _ResetAware, loop=asyncio.get_running_loop()
        )
        async with aiohttp.ClientSession(connector=connector) as session:
            while not self._stopping:
                await self._send(session, vm)
                await asyncio.sleep(self._rng.uniform(0, 2 * MEAN_PAUSE_S))

    async def _send(self, session: aiohttp.ClientSession, vm: Vm) -> None:
        number = next(self._numbers)
        unsafe = self._rng.random() < 0.4
        prefix = UNSAFE_PREFIX if unsafe else READ_PREFIX
        request_id = f'r{number}'
        is_large = not unsafe and self._rng.random() < LARGE_SHARE
        mark = f'/{LARGE_MARK}' if is_large else ''
        status, body = 0, b''
        self.sent.append(asyncio.get_running_loop().time())
        try:
            async with session.request(
                'POST' if unsafe else 'GET',
                f'{vm.entry}{prefix}{number}{mark}',
                headers={
                    'Host': HOST_HEADER,
                    'Attempt-Id': request_id,
                    'Deadline-Ms': str(TIME_LEFT_MS),
                },
                data=b'x' * 200 if unsafe else None,
                timeout=aiohttp.ClientTimeout(total=RESPONSE_LIMIT_S),
            ) as response:
                body = await _read(response, slowly=is_large)
                status = response.status
        except aiohttp.ClientConnectorError:
            # The node does not listen; the request was not sent.
            await asyncio.sleep(MEAN_PAUSE_S)
            return
        except (aiohttp.ClientError, TimeoutError):
            # Recorded as status 0, an outcome without a response.
            pass
        now_s = asyncio.get_running_loop().time()
        self.outcomes.append(RequestOutcome(request_id, unsafe, status, body, now_s))


class _ResetAware(ResponseHandler):
    """Take a body without a length that ends with a reset for cut, as its caller must.

    aiohttp takes it for complete, however the connection ended.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the body that is being received if the connection was reset."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(repr(exc)))
        super().connection_lost(exc)


async def _read(response: aiohttp.ClientResponse, *, slowly: bool) -> bytes:
    """Return the body; that of a large response in the form of a small one."""
    if not slowly or response.status != OK:
        return await response.read()
    body = bytearray()
    async for block in response.content.iter_chunked(BLOCK_BYTES):
        body += block
        await asyncio.sleep(SLOW_PAUSE_S)
    unit, rest = divmod(len(body), LARGE_REPEATS)
    is_repeated = not rest and body == body[:unit] * LARGE_REPEATS
    return bytes(body[:unit]) * 20 if is_repeated else bytes(body)
