"""Tests that messages of the users' platform are decoded strictly at the boundary."""

import json

import pytest
from gentianmill_platform.boot_settings import parse_boot_settings
from gentianmill_platform.config_decoder import ConfigDecoder
from gentianmill_platform.durations import to_ms
from gentianmill_platform.heartbeats import parse_heartbeat

CONFIG = {
    'version': 7,
    'limits': {
        'maxHeaderBytes': 16384,
        'maxBodyBytes': 1000,
        'headerTimeout': '3000ms',
        'idleTimeout': '15s',
    },
    'listeners': [
        {
            'host': 'A.example',
            'rules': [
                {
                    'name': 'pay',
                    'kind': 'unsafe',
                    'priority': 0,
                    'match': {'prefix': '/p/'},
                    'action': {'service': 's', 'timeout': '2s', 'maxAttempts': 2},
                },
                {
                    'name': 'file',
                    'kind': 'download',
                    'targetLatency': '600ms',
                    'priority': 2,
                    'match': {'prefix': '/f/'},
                    'action': {
                        'trafficSplit': [
                            {'service': 's', 'weight': 90},
                            {'service': 't', 'weight': 10},
                        ],
                        'timeout': '1500ms',
                        'maxAttempts': 3,
                    },
                },
            ],
        }
    ],
    'clusters': [{'name': 's', 'healthCheckPath': '/h', 'maxConnections': 5}],
}
HEARTBEAT = {
    'address': '10.0.0.1:80',
    'info': {'service': 's', 'version': 'v1', 'zone': 'z', 'slots': 4},
    'status': {'state': 'ready', 'sequence': 3, 'coldRemaining': '1.5s'},
    'born': 12,
}


def _decode(config: object) -> object:
    return ConfigDecoder().decode(json.dumps(config).encode())


def test_kinds_decide_what_may_be_retried():
    """A payment that is treated as repeatable may run twice."""
    rules = _decode(CONFIG)
    assert not rules.find('a.example', '/p/x').repeatable
    download = rules.find('a.example', '/f/x')
    assert download.repeatable
    assert download.bulk
    assert download.timeout_ms == 1500
    assert [part.weight for part in download.destinations] == [90, 10]


def test_unknown_kind_is_not_repeatable():
    """A kind that a later platform version adds may not be safe to retry."""
    config = json.loads(json.dumps(CONFIG))
    config['listeners'][0]['rules'][1]['kind'] = 'other'
    assert not _decode(config).find('a.example', '/f/x').repeatable


@pytest.mark.parametrize('field', ['version', 'limits', 'listeners', 'clusters'])
def test_incomplete_configuration_is_refused(field: str):
    """A truncated configuration must not replace the active one."""
    with pytest.raises(ValueError, match=field):
        _decode({name: part for name, part in CONFIG.items() if name != field})


def test_route_without_service_is_refused():
    """A route without a destination must not replace one that works."""
    config = json.loads(json.dumps(CONFIG))
    config['listeners'][0]['rules'][0]['action'].pop('service')
    with pytest.raises(ValueError, match='pay'):
        _decode(config)


def test_heartbeat_is_read():
    """Start time, sequence and slots decide where work is sent."""
    report = parse_heartbeat('i', json.dumps(HEARTBEAT).encode())
    assert (report.start_unix_ms, report.sequence, report.slots) == (12, 3, 4)
    assert report.cold_ms == 1500
    assert not report.draining


@pytest.mark.parametrize(
    ('part', 'field', 'wrong'),
    [
        ('status', 'state', 'odd'),
        ('status', 'sequence', '4'),
        ('info', 'slots', None),
        ('info', 'service', 3),
    ],
)
def test_heartbeat_of_another_writer_is_refused(part: str, field: str, wrong: object):
    """A message of another program must not change the node's own upstream."""
    heartbeat = json.loads(json.dumps(HEARTBEAT))
    heartbeat[part][field] = wrong
    with pytest.raises(ValueError):
        parse_heartbeat('i', json.dumps(heartbeat).encode())


@pytest.mark.parametrize('text', ['', '5', 'ms', '-1s', '1m', None, 5])
def test_wrong_durations_are_refused(text: object):
    """A duration read as zero would end each call at once."""
    with pytest.raises(ValueError):
        to_ms(text)


BOOT = {
    'node': 'n',
    'ip': '10.0.0.1',
    'zone': 'z',
    'region': 'r',
    'listenAddrs': {
        'outbound': '10.0.0.1:1',
        'ready': '10.0.0.1:2',
        'controlPlane': '10.0.0.1:3',
    },
    'internalPortRange': [7620, 7635],
    'appAddr': '10.0.0.1:4',
    'service': 's',
    'platform': {'address': '10.2.0.1:9'},
}


@pytest.mark.parametrize(
    ('fields', 'previous_share'),
    [
        ({}, 0),
        ({'contracts': ['base', 'retry']}, 0),
        ({'contracts': ['base', 'tenants']}, 0.85),
        ({'contracts': ['tenants'], 'bounds': ['retryBudgetPrevious=0']}, 0),
    ],
)
def test_division_of_trees_needs_teams(fields: dict, previous_share: float):
    """Guards against another retry budget for deployments that have no teams."""
    settings = parse_boot_settings(json.dumps(BOOT | fields).encode())
    assert settings.mesh.retry_budget.previous_share == previous_share


def test_settings_are_read():
    """The platform may add unknown fields, which must be ignored."""
    boot = {
        **BOOT,
        'bounds': [
            'contact=4000ms',
            'grace=6s',
            'retryBudgetRatio=0.1',
            'retryBudgetSlack=49',
            'retryBudgetPrevious=0.5',
            'budgetWindow=5s',
            'configApply=2500ms',
        ],
        'zones': {'a': 'r1', 'b': 'r1', 'c': 'r2'},
        'unknown': 1,
    }
    settings = parse_boot_settings(json.dumps(boot).encode())
    assert settings.mesh.stop_within_ms == 6000
    assert settings.mesh.config_apply_ms == 2500
    budget = settings.mesh.retry_budget
    assert (budget.ratio, budget.window_ms, budget.slack) == (0.1, 5000, 49)
    assert budget.previous_share == 0.5
    assert set(settings.mesh.zones.values()) == {'r1', 'r2'}
    assert settings.mesh.relay.port == 7620
    assert settings.store.port == 9
