"""Metrics of a node that forwards requests, in the Prometheus text format."""

import resource
from collections import Counter as Tally
from collections.abc import Mapping

from aioprometheus import Counter, Gauge, Histogram, Registry, render
from aioprometheus.histogram import Histogram as LabelledHistogram

MAX_ROUTES = 64
"""Routes with a label of their own, as the operator may add hundreds of routes;
further routes share ``OTHER_ROUTE``."""

OTHER_ROUTE = 'other'
LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2.5, 5, 10)
MS_PER_S = 1000
BYTES_PER_KIB = 1024


class MeshMetrics:
    """Count the decisions of a node and measure its latencies."""

    def __init__(self) -> None:
        """Create the metrics in a separate registry."""
        self._registry = Registry()
        self._routes: set[str] = set()
        self._latency = Histogram(
            'gentianmill_request_seconds',
            'Time from a request to its answer, by route.',
            registry=self._registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self._histograms: dict[str, LabelledHistogram] = {}
        self._requests = self._counter('requests', 'Requests by route and end.')
        self._decisions = self._counter('decisions', 'Decisions by kind and reason.')
        self._arrivals = self._counter('arrivals', 'Arrivals at the upstream by cause.')
        # aioprometheus encodes the labels as JSON for each increment, so counts are
        # accumulated here until they are rendered.
        self._ended: Tally[tuple[str, str]] = Tally()
        self._decided: Tally[tuple[str, str]] = Tally()
        self._gauges: dict[str, Gauge] = {}

    def on_request(self, route: str, end: str, latency_ms: float) -> None:
        """Record the end of a request.

        Args:
            route: Name of its route.
            end: Status of its response.
            latency_ms: Time since it arrived.
        """
        label = self._label(route)
        self._ended[label, end] += 1
        histogram = self._histograms.get(label)
        if histogram is None:
            labels = {'route': label}
            self._latency.observe(labels, latency_ms / MS_PER_S)
            self._histograms[label] = self._latency.get_value(labels)
        else:
            histogram.observe(latency_ms / MS_PER_S)

    def on_decision(self, kind: str, reason: str) -> None:
        """Record a decision, such as ``refused`` for the reason ``overloaded``."""
        self._decided[kind, reason] += 1

    def on_rejections(self, service: str, count: int) -> None:
        """Record how often upstreams of a service rejected a call that has ended."""
        self._decided['rejected', service] += count

    def on_arrivals(self, total: Mapping[str, int]) -> None:
        """Set the total arrivals at the upstream, by cause."""
        for cause, count in total.items():
            self._arrivals.set({'cause': str(cause)}, count)

    def set_gauge(self, name: str, doc: str, value: float) -> None:
        """Set a gauge.

        Args:
            name: Name without the prefix of the project.
            doc: Description with the unit.
            value: The new value.
        """
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = Gauge(f'gentianmill_{name}', doc, registry=self._registry)
            self._gauges[name] = gauge
        gauge.set({}, value)

    def render(self) -> tuple[bytes, str]:
        """Return the metrics in the text format, and its content type."""
        for (route, end), count in self._ended.items():
            self._requests.add({'route': route, 'end': end}, count)
        for (kind, reason), count in self._decided.items():
            self._decisions.add({'kind': kind, 'reason': reason}, count)
        self._ended.clear()
        self._decided.clear()
        peak_kib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        self.set_gauge('peak_bytes', 'Peak memory.', peak_kib * BYTES_PER_KIB)
        text, headers = render(self._registry, ['text/plain'])
        return text, headers['Content-Type']

    def _label(self, route: str) -> str:
        if route not in self._routes:
            if len(self._routes) >= MAX_ROUTES:
                return OTHER_ROUTE
            self._routes.add(route)
        return route

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(f'gentianmill_{name}_total', doc, registry=self._registry)
