"""A simulated upstream: slots, latency, drain, cold start, shedding and crashes.

Run as ``python -m standins.upstream --host 127.0.0.1 --port 9000 --service billing``.
Each execution is appended to the file of ``--log`` as one JSON line before it
starts, so that the history survives a crash of this process.
"""

import argparse
import asyncio
import dataclasses
import hashlib
import json
import os
import random
import signal
import time
from pathlib import Path

import aiohttp
from aiohttp import web

CRASH_MARK = b'crash-upstream'
CRASH_EXIT_CODE = 70
NOT_RUN = {'X-Outcome': 'not_run'}
WORK_HEADER = 'X-Work-Ms'
STATUS_OK = 200
STATUS_FAILED = 503
BLOCK_BYTES = 64 * 1024
FORWARDED = ('X-Call-Context', 'X-Deadline-Ms')


@dataclasses.dataclass
class Behaviour:
    """Behaviour of an upstream, which POST /_control/behaviour changes at runtime."""

    state: str = 'ready'
    reported_state: str = ''
    latency_ms: float = 2.0
    slow_factor: float = 1.0
    spread: float = 0
    straggler_share: float = 0
    straggler_factor: float = 30.0
    queue_limit: int = 10_000
    cut_after_bytes: int = 0
    file_bytes: int = 300_000
    fails: bool = False
    """Respond with 503 to each call after it ran."""

    pass_failures: bool = False
    """Respond with 503 if a call to another service did not return 200."""

    lose_answers: bool = False
    """Abort the connection of each call after it ran."""

    def sample_ms(self) -> float:
        """Return a service time; log-normal with sigma ``spread`` and mean latency."""
        time_ms = self.latency_ms * self.slow_factor
        if self.spread:
            time_ms *= random.lognormvariate(-(self.spread**2) / 2, self.spread)
        if random.random() < self.straggler_share:
            time_ms *= self.straggler_factor
        return time_ms


class Upstream:
    """Serves any path; serves files and makes its own calls as configured."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        """Create an upstream from command line arguments."""
        self.service = arguments.service
        self._port = arguments.port
        self.behaviour = Behaviour(latency_ms=arguments.latency_ms)
        self._egress = arguments.egress
        self._calls = json.loads(arguments.calls)
        self._slots = asyncio.Semaphore(arguments.slots)
        self._waiting = 0
        self._in_flight = 0
        self._log_path = arguments.log
        self._file_patterns = arguments.files.split(',')
        self._cold_until = time.monotonic() + arguments.cold_s
        self._session: aiohttp.ClientSession | None = None

    def app(self) -> web.Application:
        """Return the web application."""
        app = web.Application(client_max_size=16 * 1024 * 1024)
        app.router.add_get('/health', self._health)
        app.router.add_post('/_control/behaviour', self._set_behaviour)
        for pattern in self._file_patterns:
            app.router.add_get(pattern, self._file)
        app.router.add_route('*', '/{path:.*}', self._work)
        app.cleanup_ctx.append(self._client)
        return app

    async def _client(self, _: web.Application):
        self._session = aiohttp.ClientSession()
        yield
        await self._session.close()

    async def _health(self, _: web.Request) -> web.Response:
        state = self.behaviour.reported_state or self._state()
        return web.json_response({'state': state, 'in_flight': self._in_flight})

    def _state(self) -> str:
        if time.monotonic() < self._cold_until:
            return 'starting'
        return self.behaviour.state

    async def _set_behaviour(self, request: web.Request) -> web.Response:
        changes = await request.json()
        self.behaviour = dataclasses.replace(self.behaviour, **changes)
        return web.json_response(dataclasses.asdict(self.behaviour))

    async def _work(self, request: web.Request) -> web.Response:
        body = await request.read()
        if self._is_refusing():
            return web.Response(status=503, headers=NOT_RUN)
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        self._in_flight += 1
        try:
            return await self._run(request, body)
        finally:
            self._in_flight -= 1
            self._slots.release()

    def _is_refusing(self) -> bool:
        return self._state() != 'ready' or self._waiting >= self.behaviour.queue_limit

    async def _run(self, request: web.Request, body: bytes) -> web.Response:
        self._record(request, body)
        if CRASH_MARK in body:
            os._exit(CRASH_EXIT_CODE)
        work_ms = self.behaviour.sample_ms()
        await asyncio.sleep(work_ms / 1000)
        statuses = await self._call_others(request)
        if self.behaviour.lose_answers:
            request.transport.abort()
        return web.json_response(
            status=self._status(statuses),
            headers={WORK_HEADER: str(work_ms)},
            data={
                'service': self.service,
                'path': request.raw_path,
                'request_id': request.headers.get('X-Request-Id', ''),
                'body_sha256': hashlib.sha256(body).hexdigest(),
                'calls': statuses,
            },
        )

    def _status(self, statuses: list[int]) -> int:
        failed = self.behaviour.pass_failures and set(statuses) - {STATUS_OK}
        return STATUS_FAILED if failed or self.behaviour.fails else STATUS_OK

    async def _call_others(self, request: web.Request) -> list[int]:
        targets = self._calls.get(request.path, ())
        headers = {
            name: request.headers[name] for name in FORWARDED if name in request.headers
        }
        statuses = []
        for target in targets:
            async with self._session.get(
                self._egress + target, headers=headers
            ) as response:
                await response.read()
                statuses.append(response.status)
        return statuses

    def _record(self, request: web.Request, body: bytes) -> None:
        if not self._log_path:
            return
        line = {
            'service': self.service,
            'method': request.method,
            'path': request.raw_path,
            'key': request.headers.get('Idempotency-Key', ''),
            'request_id': request.headers.get('X-Request-Id', ''),
            'body_sha256': hashlib.sha256(body).hexdigest(),
            'context': request.headers.get('X-Call-Context', ''),
            'outcome': request.headers.get('X-Outcome', ''),
            'port': self._port,
        }
        with Path(self._log_path).open('a', encoding='utf-8') as log:
            log.write(json.dumps(line) + '\n')

    async def _file(self, request: web.Request) -> web.StreamResponse:
        if self._is_refusing():
            return web.Response(status=503, headers=NOT_RUN)
        self._record(request, b'')
        content = file_content(request.match_info['name'], self.behaviour.file_bytes)
        etag = f'"{hashlib.sha256(content).hexdigest()[:16]}"'
        part = content
        headers = {'ETag': etag, 'Accept-Ranges': 'bytes'}
        status = 200
        byte_range = request.http_range
        if (
            byte_range.start is not None
            and request.headers.get('If-Range', etag) == etag
        ):
            stop = len(content) if byte_range.stop is None else byte_range.stop
            part = content[byte_range.start : stop]
            span = (
                f'{byte_range.start}-{byte_range.start + len(part) - 1}/{len(content)}'
            )
            headers['Content-Range'] = f'bytes {span}'
            status = 206
        response = web.StreamResponse(status=status, headers=headers)
        response.content_length = len(part)
        await response.prepare(request)
        abort_after_bytes = self.behaviour.cut_after_bytes
        for offset in range(0, len(part), BLOCK_BYTES):
            await response.write(part[offset : offset + BLOCK_BYTES])
            if abort_after_bytes and offset + BLOCK_BYTES >= abort_after_bytes:
                self.behaviour.cut_after_bytes = 0
                await asyncio.sleep(0.05)
                request.transport.abort()
                return response
        await response.write_eof()
        return response


def file_content(name: str, size: int) -> bytes:
    """Return the deterministic content of a file."""
    block = hashlib.sha256(name.encode()).digest()
    return (block * (size // len(block) + 1))[:size]


async def serve(app: web.Application, host: str, port: int) -> None:
    """Serve an application until SIGTERM."""
    runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()
    await runner.cleanup()


def main() -> None:
    """Parse the arguments and serve."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--service', required=True)
    parser.add_argument('--slots', type=int, default=16)
    parser.add_argument('--latency-ms', type=float, default=2.0)
    parser.add_argument('--cold-s', type=float, default=0)
    parser.add_argument('--egress', default='', help='URL of the node egress listener')
    parser.add_argument('--calls', default='{}', help='JSON: path to list of own calls')
    parser.add_argument(
        '--files', default='/files/{name}', help='path patterns of files'
    )
    parser.add_argument('--log', default='')
    arguments = parser.parse_args()

    async def run() -> None:
        await serve(Upstream(arguments).app(), arguments.host, arguments.port)

    asyncio.run(run())


if __name__ == '__main__':
    main()
