"""Tests of reading the settings of a node."""

from ipaddress import IPv4Address

import pytest

from gentianmill.errors import ErrorCode
from gentianmill.settings_file import SettingsFileError, load_settings
from gentianmill_node.members import own_member

GOOD = """\
node: {region: puget, zone: puget-a}
upstream:
  service: billing
  endpoint: billing-1
  host: 127.0.0.1
  port: 9000
  slots: 70
  connections: 530
listeners:
  host: 127.0.0.1
  caller_port: 8001
  egress_port: 8002
  peer_port: 8003
  control_port: 8004
  operator_port: 8005
keys: {peer_key_file: peer.key, operator_key_file: operator.key}
table:
  url: http://127.0.0.1:9100
membership:
  seeds: ['127.0.0.1:8014']
"""


def _problems(text: str) -> list[tuple[int, str]]:
    with pytest.raises(SettingsFileError) as caught:
        load_settings(text, 'node.yaml')
    assert caught.value.code is ErrorCode.bad_settings
    return [(problem.line, problem.field) for problem in caught.value.problems]


def test_reads_good_settings():
    """Guards against refusing settings that follow the schema."""
    settings = load_settings(GOOD, 'node.yaml')
    assert settings.upstream.slots == 70
    assert settings.membership.sheet_poll_ms == 3000


def test_default_addresses_have_the_type_of_given_ones():
    """Guards against a default address that is text where others are addresses."""
    listeners = load_settings(GOOD, 'node.yaml').listeners
    assert listeners.egress_host == IPv4Address('127.0.0.1')
    assert listeners.host == IPv4Address('127.0.0.1')


@pytest.mark.parametrize(
    ('lines', 'announced'),
    [
        ('host: 127.0.0.1', '127.0.0.1'),
        ('host: 0.0.0.0\n  advertised_host: 127.0.0.2', '127.0.0.2'),
    ],
)
def test_announces_the_advertised_host(lines: str, announced: str):
    """Guards against a node that announces an address where it is unreachable."""
    text = GOOD.replace('host: 127.0.0.1\n  caller_port', f'{lines}\n  caller_port')
    assert own_member(load_settings(text, 'node.yaml')).host == announced


def test_lists_all_problems_with_their_lines():
    """Guards against a start that reports only the first problem."""
    text = GOOD.replace('slots: 70', 'slots: 0').replace(
        'host: 127.0.0.1', 'host: localhost', 1
    )
    text = text.replace('caller_port: 8001', 'caller_prot: 8001')
    assert _problems(text) == [
        (5, 'upstream.host'),
        (7, 'upstream.slots'),
        (9, 'listeners.caller_port'),
        (11, 'listeners.caller_prot'),
    ]


@pytest.mark.parametrize(
    ('old', 'new', 'place'),
    [
        ('peer_port: 8003', 'peer_port: 8001', (13, 'listeners.peer_port')),
        (
            'operator_port: 8005',
            'operator_port: 80050',
            (15, 'listeners.operator_port'),
        ),
        ('http://127.0.0.1:9100', 'ftp://x', (18, 'table.url')),
        ('http://127.0.0.1:9100', "'http://[x'", (18, 'table.url')),
        ("['127.0.0.1:8014']", '[nowhere]', (20, 'membership.seeds[0]')),
        ("['127.0.0.1:8014']", "['a:99999']", (20, 'membership.seeds[0]')),
        (
            'caller_port: 8001',
            'caller_port: 8001\n  certificate_file: x.pem',
            (9, 'listeners.certificate_key_file'),
        ),
        (
            'caller_port: 8001',
            'caller_port: 8001\n  advertised_host: 0.0.0.0',
            (12, 'listeners.advertised_host'),
        ),
        (
            'host: 127.0.0.1\n  caller_port',
            'host: 0.0.0.0\n  caller_port',
            (9, 'listeners.advertised_host'),
        ),
        ('slots: 70', 'slots: 070', (7, 'upstream.slots')),
        ('table:\n', 'table:\n  key_file: no\n', (18, 'table.key_file')),
    ],
)
def test_refuses_contradictory_settings(old: str, new: str, place: tuple[int, str]):
    """Guards against a node that starts and then fails on its first use."""
    assert old in GOOD
    assert _problems(GOOD.replace(old, new)) == [place]
