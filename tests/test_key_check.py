"""Tests of the identity, rank and importance of requests with keys."""

import dataclasses
import random

import pytest
from gentianmill.admission_share import SHARE_SCALE, ShareTable
from gentianmill.call_tree import RANKS_PER_PRIORITY, CallTree
from gentianmill.clock import ManualClock
from gentianmill.route_rules import Destination, RequestLimits, RouteRule, RuleSet
from gentianmill.teams import (
    MAX_WITHDRAWN,
    Team,
    TeamDirectory,
    TeamEntry,
    WithdrawnKeys,
)
from gentianmill.tree_costs import TreeCosts
from gentianmill_mesh.entry_admission import EntryAdmission
from gentianmill_mesh.forwarder import CallerRequest
from gentianmill_mesh.http_message import HttpRequest
from gentianmill_mesh.key_check import KeyCheck
from mesh_upstream import NAMES

KEY = b'k-ants'
LIMITS = RequestLimits(1, 1, 1, 1)
REQUESTS = 200
TEAMS = 500
RULE = RouteRule(
    name='r',
    host='h',
    prefix='/',
    destinations=(Destination('s', 1),),
    repeatable=True,
    bulk=False,
    timeout_ms=None,
    target_latency_ms=None,
    max_attempts=2,
    priority=5,
)
IMPORTANT = dataclasses.replace(RULE, name='i', prefix='/i/', priority=1)


def _rules(priority: int | None, version: int = 1, key: bytes = KEY) -> RuleSet:
    teams = TeamDirectory([TeamEntry(Team('ants', priority), [key.decode()])])
    return RuleSet(version, [RULE, IMPORTANT], {}, LIMITS, teams)


@pytest.mark.parametrize(('priority', 'expected'), [(0, 0), (9, 9), (None, 5)])
def test_priority_of_the_team_replaces_that_of_the_route(
    priority: int | None, expected: int
):
    """Guards against a priority of 0 that counts as none, and one that is ignored."""
    check = KeyCheck(NAMES, CallTree())
    identity = check.identify((KEY,), 'new', _rules(priority), RULE)
    assert identity.priority == expected
    assert identity.origin.rank == expected * RANKS_PER_PRIORITY + 1


def test_calls_of_an_upstream_keep_the_rank_of_their_request():
    """Guards against calls that overtake by the key of another team."""
    tree = CallTree()
    tree.start('root', 8, 'r', team='bees')
    check = KeyCheck(NAMES, tree)
    identity = check.identify((), 'root.1', _rules(0), RULE)
    assert (identity.team, identity.is_key_holder) == ('bees', False)
    assert (identity.origin.rank, identity.refusal) == (8, '')


def test_call_of_an_upstream_with_a_withdrawn_key_is_refused():
    """Guards against a key that is accepted because the request id is known."""
    tree = CallTree()
    tree.start('root', 8, 'r', team='ants')
    check = KeyCheck(NAMES, tree)
    check.set_rules(_rules(None))
    later = _rules(None, 2, b'k-new')
    check.set_rules(later)
    identity = check.identify((KEY,), 'root.1', later, RULE)
    assert (identity.refusal, identity.team) == ('withdrawn_key', 'ants')


def test_important_team_is_admitted_while_others_are_refused():
    """Guards against an entry that refuses by the route what its team makes important."""
    clock = ManualClock(100_000)
    shares = ShareTable()
    shares.record(RULE.name, {'s': SHARE_SCALE // 2}, clock.now_ms())
    admission = EntryAdmission(shares, TreeCosts(random.Random(1)), clock)
    admission.set_rules(_rules(0))
    random.seed(1)

    def admitted(priority: int) -> int:
        return sum(admission.admits(RULE, priority, None) for _ in range(REQUESTS))

    assert admitted(0) == REQUESTS
    assert admitted(RULE.priority) < REQUESTS


def test_representation_of_a_request_shows_no_key():
    """Guards against a key in the log line of a fault."""
    request = HttpRequest('GET', b'/', [[b'X-Key', b'Pass k-ants']], b'')
    caller = CallerRequest(request, '1', 'h', '/', 0, None, (KEY,))
    assert 'k-ants' not in repr(caller)


def test_withdrawn_keys_that_are_remembered_are_bounded():
    """Guards against memory that grows with each rotation of keys."""
    withdrawn = WithdrawnKeys()
    for number in range(MAX_WITHDRAWN + 10):
        former = TeamDirectory([TeamEntry(Team('ants'), [f'k{number}'])])
        withdrawn.record(TeamDirectory().withdrawn_since(former))
    assert withdrawn.team_of(b'k9') == ''
    assert withdrawn.team_of(b'k10') == 'ants'


def test_many_teams_are_told_apart_under_load():
    """Guards against a key that counts for another of 500 teams, as keys rotate."""
    entries = [
        TeamEntry(Team(f't{number}'), [f'k{number}', f'next{number}'])
        for number in range(TEAMS)
    ]
    tree = CallTree()
    check = KeyCheck(NAMES, tree)
    for version in (1, 2):
        keys = slice(version - 1, 2)
        kept = [TeamEntry(entry.team, entry.keys[keys]) for entry in entries]
        rules = RuleSet(version, [RULE], {}, LIMITS, TeamDirectory(kept))
        check.set_rules(rules)
        expected = 'withdrawn_key' if version == 2 else ''
        for number in range(TEAMS):
            current = check.identify((b'next%d' % number,), 'new', rules, RULE)
            assert (current.team, current.refusal) == (f't{number}', '')
            former = check.identify((b'k%d' % number,), 'new', rules, RULE)
            assert former.team == f't{number}'
            assert former.refusal == expected
