"""Tests of the routing rules."""

from collections import Counter

from gentianmill.route_rules import (
    Destination,
    RequestLimits,
    RouteRule,
    RuleSet,
    SplitCounter,
)

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


def test_split_keeps_weights_over_short_spans():
    """Guards against random choices that miss the weights by a tenth in 20 requests."""
    split = rule('/a/', Destination('x', 90), Destination('y', 10))
    counter = SplitCounter()
    picked = Counter(counter.pick(split) for _ in range(20))
    assert picked == {'x': 18, 'y': 2}
