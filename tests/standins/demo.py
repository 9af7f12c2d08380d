"""Run both example deployments, send a surge of requests and check the results."""

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
from standins.processes import Deployment, Pair, UpstreamSpec, running

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


def upstream_specs(name: str) -> list[UpstreamSpec]:
    """Return two upstreams for each service, in two availability zones."""
    services, region = DEPLOYMENTS[name]
    return [
        UpstreamSpec(
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
    """Send all requests; kill an upstream meanwhile and restart it."""
    work = requests(_sheet(name))
    async with aiohttp.ClientSession() as session:
        entries = [pair.caller_url for pair in deployment.pairs]
        caller = Caller(session, entries)
        semaphore = asyncio.Semaphore(CONCURRENCY)
        crash = asyncio.create_task(_crash_one(deployment, name))
        results = await asyncio.gather(
            *(_send_one(caller, semaphore, request) for request in work)
        )
        await crash
        resent = next(request for request in work if request.key)
        return [*results, await caller.send_until_settled(resent)]


async def _send_one(
    caller: Caller, semaphore: asyncio.Semaphore, request: Request
) -> Result:
    async with semaphore:
        return await caller.send_until_settled(request)


async def _crash_one(deployment: Deployment, name: str) -> None:
    await asyncio.sleep(0.3)
    pair = _pair(deployment, CRASHED[name])
    pair.upstream.send_signal(signal.SIGKILL)
    pair.upstream.wait()
    await asyncio.sleep(1)
    deployment.start_upstream(pair)


def _pair(deployment: Deployment, service: str) -> Pair:
    return next(pair for pair in deployment.pairs if pair.spec.service == service)


def _sheet(name: str) -> Path:
    return ROOT / 'examples' / name / 'sheet.yaml'


def find_faults(deployment: Deployment, results: list[Result]) -> list[str]:
    """Return the requests that were lost, run twice or truncated."""
    faults = [
        f'{result.request.request_id}: {result.fault}'
        for result in results
        if result.fault
    ]
    ran = Counter(run['key'] for run in deployment.executions() if run['key'])
    faults += [f'{key}: ran {count} times' for key, count in ran.items() if count > 1]
    for result in results:
        key = result.request.key
        if result.outcome == 'answered' and key and not ran[key]:
            faults.append(f'{result.request.request_id}: answered but not run')
        if result.outcome in {'not_run', 'lost', 'missing'}:
            faults.append(
                f'{result.request.request_id}: never answered ({result.outcome})'
            )
        if set(result.outcomes) == {'not_run'} and ran[key]:
            faults.append(f'{result.request.request_id}: reported as not run but ran')
    return faults


def table(name: str, results: list[Result]) -> list[str]:
    """Return the lines of the result table of one deployment."""
    lines = []
    for work_class in dict.fromkeys(result.request.work_class for result in results):
        class_results = [
            result for result in results if result.request.work_class == work_class
        ]
        outcomes = Counter(result.outcome for result in class_results)
        times = sorted(result.latency_ms for result in class_results)
        lines.append(
            f'{name:12}{work_class:14}{len(class_results):6}{outcomes["answered"]:10}'
            f'{outcomes["not_run"]:9}{outcomes["unknown"]:9}'
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
                running(folder, _sheet(name), upstream_specs(name))
            )
            results = asyncio.run(surge(deployment, name))
            lines += table(name, results)
            faults += find_faults(deployment, results)
    head = f'{"deployment":12}{"class":14}{"sent":>6}{"answered":>10}'
    print(head + f'{"not run":>9}{"unknown":>9}{"p50 ms":>9}{"p99 ms":>9}')
    print('\n'.join(lines))
    print('\n'.join(faults) or 'No request was lost, run twice or truncated.')
    sys.exit(bool(faults))


if __name__ == '__main__':
    main()
