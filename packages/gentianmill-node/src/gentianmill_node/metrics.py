"""Metrics of a node, exported in the Prometheus text format."""

import collections
import re
from collections.abc import Collection

from aioprometheus import Counter, Gauge, Histogram, Registry, render
from aioprometheus.histogram import Histogram as LabelledHistogram

from gentianmill.outcome import Outcome

MAX_OTHER_TENANTS = 50
"""Maximum number of labels for tenants that the sheet does not name."""

OTHER_TENANT = 'other'
_SAFE_LABEL = re.compile(r'[\w .@:/+-]{1,64}')
MS_PER_S = 1000
LATENCY_BUCKETS_S = (0.001, 0.005, 0.01, 0.05, 0.1, 0.2, 0.5, 1, 5, 10, 60)
QUEUE_DELAY_BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 5)


class TenantLabels:
    """Bound the number of tenant labels, as callers may send any tenant name."""

    def __init__(self) -> None:
        """Start without known tenants."""
        self._named: frozenset[str] = frozenset()
        self._unnamed: set[str] = set()

    def set_named_tenants(self, tenants: Collection[str]) -> None:
        """Set the tenants that the sheet names."""
        self._named = frozenset(tenants)

    def label(self, tenant: str) -> str:
        """Return the label of a tenant: its name, or ``other``."""
        # aioprometheus does not escape label values, so a tenant name with other
        # characters could forge metric lines.
        if not _SAFE_LABEL.fullmatch(tenant):
            return OTHER_TENANT
        if tenant in self._named or tenant in self._unnamed:
            return tenant
        if len(self._unnamed) >= MAX_OTHER_TENANTS:
            return OTHER_TENANT
        self._unnamed.add(tenant)
        return tenant


class Metrics:
    """Count and time the calls of one node."""

    def __init__(self) -> None:
        """Create the metrics in a separate registry."""
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
        # aioprometheus encodes the labels of each observation as JSON. To avoid this
        # cost per call, outcomes are summed up here until the next rendering, and
        # the histogram of each label set is looked up only once.
        self._outcome_counts: collections.Counter[tuple[str, str, str]] = (
            collections.Counter()
        )
        self._latency_histograms: dict[tuple[str, str], LabelledHistogram] = {}
        self._delay_histograms: dict[str, LabelledHistogram] = {}
        self._in_flight = self._gauge('in_flight', 'Calls running at the upstream.')
        self._limit = self._gauge('limit', 'Concurrency limit of the guard.')
        self._level = self._gauge('level', 'Admission level of the guard.')
        self._members = self._gauge('members', 'Members known to the node, by status.')
        self._sheet_version = self._gauge(
            'sheet_version', 'Version of the planning sheet in force; 0 if none.'
        )

    def set_named_tenants(self, tenants: Collection[str]) -> None:
        """Set the tenants that the sheet names; each has a label of its own."""
        self._tenants.set_named_tenants(tenants)

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
            tenant: Tenant name sent by the caller.
            work_class: Name of the class of work.
            latency_ms: Time from the start of handling to the end of the call, in ms.
            outcome: Outcome of the call.
            code: Error code; empty if the call got a response.
        """
        latency_s = latency_ms / MS_PER_S
        label = self._tenants.label(tenant)
        histogram = self._latency_histograms.get((label, work_class))
        if histogram is None:
            labels = {'tenant': label, 'class': work_class}
            self._latency.observe(labels, latency_s)
            self._latency_histograms[label, work_class] = self._latency.get_value(
                labels
            )
        else:
            histogram.observe(latency_s)
        self._outcome_counts[work_class, outcome.value, code] += 1

    def on_queue_delay(self, work_class: str, delay_ms: float) -> None:
        """Record how long a call waited in the queue, in ms."""
        delay_s = delay_ms / MS_PER_S
        histogram = self._delay_histograms.get(work_class)
        if histogram is None:
            labels = {'class': work_class}
            self._queue_delay.observe(labels, delay_s)
            self._delay_histograms[work_class] = self._queue_delay.get_value(labels)
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
        """Return the metrics in the text format, and their content type."""
        self._flush_outcome_counts()
        text, headers = render(self._registry, ['text/plain'])
        return text, headers['Content-Type']

    def _flush_outcome_counts(self) -> None:
        for (work_class, outcome, code), count in self._outcome_counts.items():
            labels = {'class': work_class, 'outcome': outcome, 'code': code}
            self._outcomes.add(labels, count)
        self._outcome_counts.clear()

    def _gauge(self, name: str, doc: str) -> Gauge:
        return Gauge(f'gentianmill_{name}', doc, registry=self._registry)
