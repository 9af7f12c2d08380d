"""Tests of the command that shows where a request would go now."""

import asyncio
import json
import random

import pytest
from aiohttp import web
from gentianmill.placement import Placement
from gentianmill.placement_preview import preview_placement
from gentianmill_ctl.cli import run
from gentianmill_ctl.result import ExitCode
from mesh_deployment import RULE_HOST, Deployment
from node_records import node_record
from standins.processes import HOST, free_ports

ROUTE = 'r'
LIMIT_S = 60
KEY = 'secret-key'
TEAMS = (('shop', [KEY], 1, 40.0, 10.0),)


async def _answer(_request: web.BaseRequest) -> web.StreamResponse:
    return web.Response(body=b'done')


async def _command(*arguments: str) -> int:
    return await asyncio.to_thread(run, ['explain-route', *arguments, '--json'])


def _run(scenario, teams=()):
    async def run_in_deployment():
        async with Deployment(_answer, teams) as deployment:
            return await scenario(deployment)

    return asyncio.run(asyncio.wait_for(run_in_deployment(), LIMIT_S))


def _question(deployment: Deployment, path: str) -> tuple[str, ...]:
    node = f'{HOST}:{deployment.metrics_ports["entry"]}'
    return (path, '--host', RULE_HOST, '--node', node)


def _printed(capsys) -> dict:
    """Return what the command printed, below the log lines of the nodes."""
    return json.loads(capsys.readouterr().out.splitlines()[-1])


def test_preview_changes_nothing_and_names_the_choice():
    """Guards against a question that moves the shares or counters of real calls."""
    placement = Placement('a', 'r', random.Random(1))
    near = node_record('near', zone='a', region='r')
    away = node_record('away', zone='b', region='r')
    placement.record_load('near', 4, 10, 0)
    first = preview_placement(placement, [near, away], ROUTE, 100)
    second = preview_placement(placement, [near, away], ROUTE, 100)
    assert first == second
    assert (first.chosen, first.reason) == ('near', 'stayed')
    assert not placement.traffic.calls
    near_estimate, away_estimate = first.candidates
    assert not near_estimate.distance_ms
    assert away_estimate.distance_ms > 0
    assert near_estimate.report_age_ms == 100
    assert away_estimate.report_age_ms is None


def test_preview_without_an_upstream_chooses_none():
    """Guards against an error where a service has no upstream."""
    preview = preview_placement(Placement('a', 'r', random.Random(1)), [], ROUTE, 0)
    assert not (preview.chosen or preview.reason or preview.candidates)


def test_command_shows_the_route_and_sends_nothing(capsys):
    """Guards against an explanation that runs the request or takes a token."""

    async def scenario(deployment: Deployment) -> tuple[int, int, str]:
        code = await _command(*_question(deployment, '/pay/a'), '--team', 'shop')
        return code, len(deployment.seen), await deployment.metrics()

    code, runs, metrics = _run(scenario, TEAMS)
    fields = _printed(capsys)
    assert (code, runs) == (ExitCode.success, 0)
    assert (fields['route'], fields['team'], fields['priority']) == ('/pay/', 'shop', 1)
    assert fields['needs_key']
    destination = fields['destinations'][0]
    assert (destination['service'], destination['chosen']) == ('back', 'back')
    assert destination['candidates'][0]['zone'] == 'a'
    assert KEY not in json.dumps(fields)
    assert 'gentianmill_placements_total{' not in metrics


@pytest.mark.parametrize(
    ('path', 'extra', 'code'),
    [
        ('/none/a', (), ExitCode.refused),
        ('/pay/a', ('--team', 'unknown'), ExitCode.refused),
    ],
)
def test_unknown_route_or_team_is_told(path, extra, code, capsys):
    """Guards against an exit code of 0 for a request that would be refused."""

    async def scenario(deployment: Deployment) -> int:
        return await _command(*_question(deployment, path), *extra)

    assert _run(scenario, TEAMS) == code
    assert 'no ' in _printed(capsys)['message']


def test_service_without_an_upstream_is_told(capsys):
    """Guards against a report that names no node and looks like a success."""

    async def scenario(deployment: Deployment) -> int:
        deployment.table.remove('back', deployment.table.find('back').revision + 1)
        return await _command(*_question(deployment, '/read/a'))

    assert _run(scenario) == ExitCode.unavailable
    assert 'no upstream of back' in _printed(capsys)['message']


def test_node_that_does_not_answer_is_told(capsys):
    """Guards against a traceback where the address of a node is wrong."""
    port = free_ports(1)[0]
    arguments = ('/read/a', '--host', RULE_HOST, '--node', f'{HOST}:{port}')
    assert asyncio.run(_command(*arguments)) == ExitCode.unavailable
    assert 'no answer' in _printed(capsys)['message']
