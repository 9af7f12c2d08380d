"""Metrics of a node, in the Prometheus text format."""

import collections
import re
from collections.abc import Collection

from aioprometheus import Counter, Gauge, Histogram, Registry, render
from aioprometheus.histogram import Histogram as LabelledHistogram

from gentianmill.outcome import Outcome

MAX_OTHER_TENANTS = 50
"""Tenants that the sheet does not name but that get a label of their own."""

OTHER_TENANT = 'other'
_SAFE_LABEL = re.compile(r'[\w .@:/+-]{1,64}')
MS_PER_S = 1000
LATENCY_BUCKETS_S = (0.001, 0.005, 0.01, 0.05, 0.1, 0.2, 0.5, 1, 5, 10, 60)
QUEUE_DELAY_BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 5)


class TenantLabels:
    """Bound the number of tenant labels, since callers choose tenant names."""

    def __init__(self) -> None:
        """Know no tenant."""
        self._named: frozenset[str] = frozenset()
        self._seen: set[str] = set()

    def name_tenants(self, tenants: Collection[str]) -> None:
        """Set the tenants that the sheet names."""
        self._named = frozenset(tenants)

    def label(self, tenant: str) -> str:
        """Return the label of a tenant: its name, or ``other``."""
        # aioprometheus does not escape labels; others could forge lines.
        if not _SAFE_LABEL.fullmatch(tenant):
            return OTHER_TENANT
        if tenant in self._named or tenant in self._seen:
            return tenant
        if len(self._seen) >= MAX_OTHER_TENANTS:
            return OTHER_TENANT
        self._seen.add(tenant)
        return tenant


class Metrics:
    """Count and time the calls of one node."""

    def __init__(self) -> None:
        """Create the metrics in a registry of their own."""
        self._registry = Registry()
        self._tenants = TenantLabels()
        self._latency = Histogram(
            'gentianmill_latency_seconds',
            'Time from admission to the end of a call, by tenant and class.',
            registry=self._registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self._queue_delay = Histogram(
            'gentianmill_queue_delay_seconds',
            'Time that a call waited in the queue of the guard, by class.',
            registry=self._registry,
            buckets=QUEUE_DELAY_BUCKETS_S,
        )
        self._outcomes = Counter(
            'gentianmill_outcomes_total',
            'Calls that ended, by class, outcome and error code.',
            registry=self._registry,
        )
        # aioprometheus encodes the labels of each observation as JSON. Outcomes
        # are therefore added up until they are rendered, and the histogram of
        # each label or pair of labels is looked up once.
        self._ended: collections.Counter[tuple[str, str, str]] = collections.Counter()
        self._histograms: dict[tuple[str, str], LabelledHistogram] = {}
        self._delays: dict[str, LabelledHistogram] = {}
        self._in_flight = self._gauge('in_flight', 'Calls running at the upstream.')
        self._limit = self._gauge('limit', 'Concurrency limit of the guard.')
        self._level = self._gauge('level', 'Admission level of the guard.')
        self._members = self._gauge('members', 'Members known to the node, by status.')
        self._sheet_version = self._gauge(
            'sheet_version', 'Version of the planning sheet in force; 0 if none.'
        )

    def name_tenants(self, tenants: Collection[str]) -> None:
        """Set the tenants that the sheet names; each has a label of its own."""
        self._tenants.name_tenants(tenants)

    def on_call(
        self,
        tenant: str,
        work_class: str,
        latency_ms: float,
        outcome: Outcome,
        code: str = '',
    ) -> None:
        """Record the end of a call.

        Args:
            tenant: Tenant as given by the caller.
            work_class: Name of the class of work.
            latency_ms: Time from admission to the end, in ms.
            outcome: What is known about the call.
            code: Error code; empty if the call was answered.
        """
        latency_s = latency_ms / MS_PER_S
        label = self._tenants.label(tenant)
        histogram = self._histograms.get((label, work_class))
        if histogram is None:
            labels = {'tenant': label, 'class': work_class}
            self._latency.observe(labels, latency_s)
            self._histograms[label, work_class] = self._latency.get_value(labels)
        else:
            histogram.observe(latency_s)
        self._ended[work_class, outcome.value, code] += 1

    def on_queue_delay(self, work_class: str, delay_ms: float) -> None:
        """Record how long a call waited in the queue, in ms."""
        delay_s = delay_ms / MS_PER_S
        histogram = self._delays.get(work_class)
        if histogram is None:
            labels = {'class': work_class}
            self._queue_delay.observe(labels, delay_s)
            self._delays[work_class] = self._queue_delay.get_value(labels)
        else:
            histogram.observe(delay_s)

    def on_load(self, in_flight: int, limit: int, level: int) -> None:
        """Record the calls in flight, the concurrency limit and the admission level."""
        self._in_flight.set({}, in_flight)
        self._limit.set({}, limit)
        self._level.set({}, level)

    def on_members(self, status: str, count: int) -> None:
        """Record the number of members with a status."""
        self._members.set({'status': status}, count)

    def on_sheet(self, version: int) -> None:
        """Record the version of the sheet in force; 0 if there is none."""
        self._sheet_version.set({}, version)

    def render(self) -> tuple[bytes, str]:
        """Return the metrics in the text format, and its content type."""
        self._add_ended()
        text, headers = render(self._registry, ['text/plain'])
        return text, headers['Content-Type']

    def _add_ended(self) -> None:
        for (work_class, outcome, code), count in self._ended.items():
            labels = {'class': work_class, 'outcome': outcome, 'code': code}
            self._outcomes.add(labels, count)
        self._ended.clear()

    def _gauge(self, name: str, doc: str) -> Gauge:
        return Gauge(f'gentianmill_{name}', doc, registry=self._registry)
