"""Tests of teams and their keys in the operator's configuration."""

import json

import pytest
from gentianmill.teams import MAX_PRIORITY, Team, TeamDirectory, TeamEntry
from gentianmill_mesh.rules_holder import RulesHolder
from gentianmill_platform.config_decoder import ConfigDecoder
from gentianmill_platform.header_names import HEADER_NAMES
from rules_deployment import config

KEY = 'k-secret-1'
OTHER_KEY = 'k-secret-2'


def _tenant(**changes: object) -> dict[str, object]:
    return {'name': 'ants', 'apiKeys': [KEY]} | changes


def _document(version: int, *tenants: object, **changes: object) -> bytes:
    return json.dumps(config(version) | {'tenants': tenants} | changes).encode()


def test_teams_are_read():
    """Guards against a quota or a priority that the operator set and nobody applies."""
    rules = ConfigDecoder().decode(
        _document(
            1, _tenant(priority=0, ratePerS=2.5, burst=7), _tenant(name='b', apiKeys=[])
        )
    )
    assert rules.teams.of_key(KEY.encode()) == Team('ants', 0, 2.5, 7)
    assert rules.teams.find('b') == Team('b')
    assert not rules.teams.is_empty


def test_configuration_without_teams_needs_no_keys():
    """Guards against requests that are refused where no teams are configured."""
    assert ConfigDecoder().decode(json.dumps(config(1)).encode()).teams.is_empty
    assert ConfigDecoder().decode(_document(1)).teams.is_empty


def test_team_whose_keys_are_left_out_has_none():
    """Guards against a withdrawal that is rejected, as writers leave out empty lists."""
    for tenant in ({'name': 'ants'}, _tenant(apiKeys=None)):
        rules = ConfigDecoder().decode(_document(1, tenant))
        assert rules.teams.find('ants') is not None
        assert rules.teams.of_key(KEY.encode()) is None


def test_routes_need_a_key_unless_they_allow_requests_without_one():
    """Guards against a route that is open because a field is missing."""
    document = config(1, ['/read/', '/open/'])
    document['listeners'][0]['rules'][1]['allowAnonymous'] = True
    rules = ConfigDecoder().decode(json.dumps(document).encode())
    allowed = {rule.prefix: rule.allows_anonymous for rule in rules.rules}
    assert allowed == {'/read/': False, '/open/': True}


INVALID = {
    'duplicate_team': [_tenant(), _tenant(apiKeys=[OTHER_KEY])],
    'key_of_two_teams': [_tenant(name='bees'), _tenant()],
    'key_listed_twice': [_tenant(apiKeys=[KEY, KEY])],
    'empty_key': [_tenant(apiKeys=[KEY, ''])],
    'negative_rate': [_tenant(ratePerS=-1)],
    'negative_burst': [_tenant(burst=-0.5)],
    'negative_priority': [_tenant(priority=-1)],
    'huge_priority': [_tenant(priority=MAX_PRIORITY + 1)],
    'infinite_rate': [_tenant(ratePerS='RATE')],
    'rate_of_another_type': [_tenant(ratePerS=KEY)],
    'keys_of_another_type': [_tenant(apiKeys=KEY)],
    'key_of_another_type': [_tenant(apiKeys=[KEY, 5])],
}


@pytest.mark.parametrize('name', INVALID)
def test_invalid_teams_are_rejected_with_a_reason_without_keys(name: str):
    """Guards against rules that are half applied, and a key in the log."""
    document = _document(2, *INVALID[name]).replace(b'"RATE"', b'1e999')
    with pytest.raises(ValueError, match="'ants'") as caught:
        ConfigDecoder().decode(document)
    assert 'k-secret' not in str(caught.value)


@pytest.mark.parametrize(
    'name', ['', ' ants', 'ants ', 'a\r\nHost: b', 'a\tb', 'a\u2028b', 5, None]
)
def test_names_that_no_header_can_hold_are_rejected(name: object):
    """Guards against a name that adds a header to the requests of its team."""
    with pytest.raises(ValueError, match='team'):
        ConfigDecoder().decode(_document(2, _tenant(name=name)))


def test_last_valid_rules_stay_in_force():
    """Guards against an invalid version that takes keys away or keeps later ones out."""
    holder = RulesHolder(ConfigDecoder())
    assert holder.offer(_document(1, _tenant()), 'test')
    assert not holder.offer(_document(2, _tenant(ratePerS=-1)), 'test')
    assert holder.rules.teams.of_key(KEY.encode()) == Team('ants')
    assert holder.offer(_document(3, _tenant(apiKeys=[])), 'test')
    assert holder.rules.teams.of_key(KEY.encode()) is None


def test_directory_keeps_no_keys():
    """Guards against a key in a dump of the process or of an object."""
    directory = TeamDirectory([TeamEntry(Team('ants'), [KEY])])
    assert KEY not in repr(vars(directory))
    assert KEY not in repr(TeamEntry(Team('ants'), [KEY]))


def test_headers_of_the_platform():
    """Guards against keys that are looked for in a header that the platform lacks."""
    sent = [[b'Authorization', b'Token abc'], [b'Tenant', b'ants'], [b'Accept', b'a']]
    assert HEADER_NAMES.keys(sent) == (b'abc',)
    assert HEADER_NAMES.without_team(sent) == [[b'Accept', b'a']]
    assert HEADER_NAMES.team == b'tenant'
