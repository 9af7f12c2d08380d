"""Tests of the routing rules."""

from collections import Counter

import pytest
from gentianmill.route_rules import (
    Destination,
    RequestLimits,
    RouteRule,
    RuleSet,
    SplitCounter,
)
from hypothesis import given
from hypothesis import strategies as st

LIMITS = RequestLimits(1000, 1000, 1000, 1000)


def rule(prefix: str, *destinations: Destination, host: str = 'h') -> RouteRule:
    """Return a route of a host."""
    return RouteRule(
        name=prefix,
        host=host,
        prefix=prefix,
        destinations=destinations or (Destination('s', 1),),
        repeatable=True,
        bulk=False,
        timeout_ms=None,
        target_latency_ms=None,
        max_attempts=2,
        priority=0,
    )


def test_longest_prefix_wins():
    """Guards against a request that is matched to the less specific of two routes."""
    rules = RuleSet(1, [rule('/a/'), rule('/a/b/'), rule('/')], {}, LIMITS)
    assert rules.find('h', '/a/b/c').prefix == '/a/b/'
    assert rules.find('h', '/a/c').prefix == '/a/'
    assert rules.find('h', '/ab').prefix == '/'


def test_other_hosts_have_no_route():
    """Guards against a route of one host that matches requests of another."""
    rules = RuleSet(1, [rule('/a/')], {}, LIMITS)
    assert rules.find('other', '/a/b') is None


@pytest.mark.parametrize('end', ['/', ''])
@given(data=st.data())
def test_route_is_that_of_a_scan_of_all_routes(end: str, data: st.DataObject):
    """Guards against an index that finds another route than the longest prefix."""
    paths = st.text(alphabet='ab/', max_size=8).map(lambda text: f'/{text}')
    prefixes = data.draw(st.lists(paths, max_size=8))
    routes = [rule(f'{prefix}{end}') for prefix in prefixes]
    path = data.draw(paths)
    matching = [route for route in routes if path.startswith(route.prefix)]
    expected = max(matching, key=lambda route: len(route.prefix), default=None)
    assert RuleSet(1, routes, {}, LIMITS).find('h', path) is expected


def test_path_of_slashes_is_matched_at_once():
    """Guards against a search that grows with the square of the path."""
    rules = RuleSet(1, [rule('/a/')], {}, LIMITS)
    assert rules.find('h', '/' * 10_000_000) is None


def test_split_keeps_weights_over_short_spans():
    """Guards against random choices that miss the weights by a tenth in 20 requests."""
    split = rule('/a/', Destination('x', 90), Destination('y', 10))
    counter = SplitCounter()
    picked = Counter(counter.pick(split) for _ in range(20))
    assert picked == {'x': 18, 'y': 2}
