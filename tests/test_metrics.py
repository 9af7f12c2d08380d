"""Tests of the metrics."""

from gentianmill.outcome import Outcome
from gentianmill_node.metrics import MAX_OTHER_TENANTS, Metrics


def _lines(metrics: Metrics) -> list[str]:
    text, content_type = metrics.render()
    assert content_type.startswith('text/plain')
    return text.decode().splitlines()


def test_renders_histograms_counters_and_gauges():
    """Guards against a metric that operators alert on but that is missing."""
    metrics = Metrics()
    metrics.on_call('shop', 'billing', 30, Outcome.answered)
    metrics.on_call('shop', 'billing', 3, Outcome.not_run, 'overloaded')
    metrics.on_queue_delay('billing', 4)
    metrics.on_load(in_flight=3, limit=9, level=128)
    metrics.on_members('alive', 5)
    metrics.on_sheet(7)
    lines = _lines(metrics)
    for expected in (
        'gentianmill_latency_seconds_count{class="billing",tenant="shop"} 2.0',
        'gentianmill_latency_seconds_bucket{class="billing",le="0.005",tenant="shop"} 1.0',
        'gentianmill_queue_delay_seconds_bucket{class="billing",le="0.002"} 0.0',
        'gentianmill_queue_delay_seconds_bucket{class="billing",le="0.005"} 1.0',
        'gentianmill_outcomes_total{class="billing",code="overloaded",outcome="not_run"} 1',
        'gentianmill_in_flight 3',
        'gentianmill_limit 9',
        'gentianmill_level 128',
        'gentianmill_members{status="alive"} 5',
        'gentianmill_sheet_version 7',
    ):
        assert expected in lines


def test_bounds_the_tenant_labels():
    """Guards against callers who exhaust memory with invented tenants."""
    metrics = Metrics()
    for number in range(200):
        metrics.on_call(f'tenant-{number}', 'quotes', 1, Outcome.answered)
    metrics.set_named_tenants({'late'})
    metrics.on_call('late', 'quotes', 1, Outcome.answered)
    lines = [line for line in _lines(metrics) if '_latency_seconds_count' in line]
    assert len(lines) == MAX_OTHER_TENANTS + 2
    assert any('tenant="late"' in line for line in lines)
    assert any(line.endswith('tenant="other"} 150.0') for line in lines)


def test_a_tenant_name_cannot_forge_a_line():
    """Guards against label text that breaks the text format."""
    metrics = Metrics()
    forged = 'x"} 1\ngentianmill_level 9999 #'
    metrics.set_named_tenants({forged})
    metrics.on_call(forged, 'quotes', 1, Outcome.answered)
    metrics.on_call('t' * 500, 'quotes', 1, Outcome.answered)
    metrics.on_call('', 'quotes', 1, Outcome.answered)
    lines = _lines(metrics)
    assert '9999' not in ''.join(lines)
    assert (
        'gentianmill_latency_seconds_count{class="quotes",tenant="other"} 3.0' in lines
    )


def test_counts_all_calls_across_renderings():
    """Guards against calls that are lost or counted twice between two scrapes."""
    metrics = Metrics()
    for calls in (3, 2):
        for _ in range(calls):
            metrics.on_call('shop', 'billing', 30, Outcome.answered)
        metrics.render()
    lines = _lines(metrics)
    assert (
        'gentianmill_outcomes_total{class="billing",code="",outcome="answered"} 5'
        in lines
    )
    assert (
        'gentianmill_latency_seconds_count{class="billing",tenant="shop"} 5.0' in lines
    )
