"""Run both deployments as processes, send the surge and check the history."""

import asyncio
import contextlib
import itertools
import signal
import sys
import tempfile
from collections import Counter
from pathlib import Path

import aiohttp
import yaml

from standins.caller import Caller, Request, Result
from standins.processes import Deployment, Pair, Place, running

ROOT = Path(__file__).parent.parent.parent
CALLS_PER_OPERATION = 30
CONCURRENCY = 24
FILES = '/templates/{name}/file,/guias/{name}/archivo'
DEPLOYMENTS = {
    'cascadia': (('dispatch', 'billing', 'templates', 'quoting'), 'puget'),
    'guild': (('catalogo', 'tesoreria', 'biblioteca', 'registro'), 'occidente'),
}
CRASHED = {'cascadia': 'dispatch', 'guild': 'tesoreria'}
SUB_CALLS = {
    'dispatch': {'/job-sheets/j1': ['/templates/templates/t1']},
    'catalogo': {'/articulos/a1': ['/registro/talleres/w1']},
}


def places(name: str) -> list[Place]:
    """Return two upstreams for each service, in two availability zones."""
    services, region = DEPLOYMENTS[name]
    return [
        Place(
            service,
            f'{service}-{zone}',
            region,
            f'{region}-{zone}',
            files=FILES,
            calls=SUB_CALLS.get(service, {}),
        )
        for service, zone in itertools.product(services, ('a', 'b'))
    ]


def requests(sheet_file: Path) -> list[Request]:
    """Return requests for every operation of a sheet."""
    sheet = yaml.safe_load(sheet_file.read_text())
    return [
        _request(service, operation, number)
        for number in range(CALLS_PER_OPERATION)
        for service, entry in sheet['services'].items()
        for operation in entry['operations']
    ]


def _request(service: str, operation: dict, number: int) -> Request:
    name = operation['name']
    path = operation['path']
    while '{' in path:
        head, _, rest = path.partition('{')
        field, _, tail = rest.partition('}')
        path = f'{head}{field}{number}{tail}'
    once = operation.get('run') == 'at_most_once'
    body = f'{name} {number}'.encode() if operation['method'] == 'POST' else b''
    return Request(
        service=service,
        method=operation['method'],
        path=path,
        work_class=operation['class'],
        request_id=f'{name}-{number}',
        key=f'{name}-{number}' if once else '',
        body=body,
        is_file=operation.get('size') == 'bulk',
    )


async def surge(deployment: Deployment, name: str) -> list[Result]:
    """Send all requests, kill an upstream on the way and start it again."""
    work = requests(_sheet(name))
    async with aiohttp.ClientSession() as session:
        entries = [pair.caller_url for pair in deployment.pairs]
        caller = Caller(session, entries)
        gate = asyncio.Semaphore(CONCURRENCY)
        crash = asyncio.create_task(_crash_one(deployment, name))
        results = await asyncio.gather(*(_one(caller, gate, one) for one in work))
        await crash
        resent = next(one for one in work if one.key)
        return [*results, await caller.finish(resent)]


async def _one(caller: Caller, gate: asyncio.Semaphore, request: Request) -> Result:
    async with gate:
        return await caller.finish(request)


async def _crash_one(deployment: Deployment, name: str) -> None:
    await asyncio.sleep(0.3)
    pair = _pair(deployment, CRASHED[name])
    pair.upstream.send_signal(signal.SIGKILL)
    pair.upstream.wait()
    await asyncio.sleep(1)
    deployment.start_upstream(pair)


def _pair(deployment: Deployment, service: str) -> Pair:
    return next(pair for pair in deployment.pairs if pair.place.service == service)


def _sheet(name: str) -> Path:
    return ROOT / 'examples' / name / 'sheet.yaml'


def find_faults(deployment: Deployment, results: list[Result]) -> list[str]:
    """Return what was lost, doubled or cut short."""
    faults = [f'{one.request.request_id}: {one.fault}' for one in results if one.fault]
    ran = Counter(run['key'] for run in deployment.executions() if run['key'])
    faults += [f'{key}: ran {count} times' for key, count in ran.items() if count > 1]
    for one in results:
        key = one.request.key
        if one.outcome == 'answered' and key and not ran[key]:
            faults.append(f'{one.request.request_id}: answered but did not run')
        if one.outcome in {'not_run', 'lost', 'missing'}:
            faults.append(f'{one.request.request_id}: never answered ({one.outcome})')
        if set(one.outcomes) == {'not_run'} and ran[key]:
            faults.append(f'{one.request.request_id}: told not run, but ran')
    return faults


def table(name: str, results: list[Result]) -> list[str]:
    """Return the lines of the table of one deployment."""
    lines = []
    for work_class in dict.fromkeys(one.request.work_class for one in results):
        part = [one for one in results if one.request.work_class == work_class]
        ends = Counter(one.outcome for one in part)
        times = sorted(one.latency_ms for one in part)
        lines.append(
            f'{name:12}{work_class:14}{len(part):6}{ends["answered"]:10}'
            f'{ends["not_run"]:9}{ends["unknown"]:9}'
            f'{times[len(times) // 2]:9.1f}{times[int(len(times) * 0.99)]:9.1f}'
        )
    return lines


def main() -> None:
    """Run the demo; the exit code is 0 only if there was no fault."""
    lines = []
    faults = []
    for name in DEPLOYMENTS:
        with contextlib.ExitStack() as stack:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
            deployment = stack.enter_context(
                running(folder, _sheet(name), places(name))
            )
            results = asyncio.run(surge(deployment, name))
            lines += table(name, results)
            faults += find_faults(deployment, results)
    head = f'{"deployment":12}{"class":14}{"sent":>6}{"answered":>10}'
    print(head + f'{"not run":>9}{"unknown":>9}{"p50 ms":>9}{"p99 ms":>9}')
    print('\n'.join(lines))
    print('\n'.join(faults) or 'Nothing was lost, doubled or cut short.')
    sys.exit(bool(faults))


if __name__ == '__main__':
    main()
