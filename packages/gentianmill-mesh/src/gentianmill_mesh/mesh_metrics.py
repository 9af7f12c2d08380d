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

MAX_TEAMS = 512
"""Teams with a label of their own; their names come from the rules, and a deployment may
have 500 of them. Further teams share ``OTHER_TEAM``."""

OTHER_TEAM = 'other'
STATUS_CLASS = 100
LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2.5, 5, 10)
MS_PER_S = 1000
BYTES_PER_KIB = 1024


class MeshMetrics:
    """Count the decisions of a node and measure its latencies."""

    def __init__(self) -> None:
        """Create the metrics in a separate registry."""
        self._registry = Registry()
        self._routes: set[str] = set()
        self._teams: set[str] = set()
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
        self._team_requests = self._counter(
            'team_requests', 'Requests by team and class of the status.'
        )
        self._team_refusals = self._counter(
            'team_refusals', 'Requests that were not run, by team and reason.'
        )
        self._placements = self._counter(
            'placements', 'Calls by service, and by the reason to leave the zone.'
        )
        # aioprometheus encodes the labels as JSON for each increment, so counts are
        # accumulated here until they are rendered.
        self._ended: Tally[tuple[str, str]] = Tally()
        self._decided: Tally[tuple[str, str]] = Tally()
        self._ended_by_team: Tally[tuple[str, str]] = Tally()
        self._refused_by_team: Tally[tuple[str, str]] = Tally()
        self._quotas = self._counter('quota', 'Quota decisions by team and kind.')
        self._owned = Gauge(
            'gentianmill_quota_owned',
            "Fraction of the region's rate of a team that this node issues.",
            registry=self._registry,
        )
        self._quota_decided: Tally[tuple[str, str]] = Tally()
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

    def on_team_request(self, team: str, status: int) -> None:
        """Record the end of a request of a team.

        Args:
            team: Name of the team; nothing is recorded without one.
            status: Status of its response.
        """
        if team:
            end = f'{status // STATUS_CLASS}xx'
            self._ended_by_team[self._team_label(team), end] += 1

    def on_team_refusal(self, team: str, reason: str) -> None:
        """Record that a request of a team was not run.

        Args:
            team: Name of the team; nothing is recorded without one.
            reason: Why it was not run.
        """
        if team:
            self._refused_by_team[self._team_label(team), reason] += 1

    def on_quota(self, team: str, kind: str) -> None:
        """Record a decision on a request of a team, ``granted`` or ``refused``."""
        self._quota_decided[self._team_label(team), kind] += 1

    def on_owned_quota(
        self, team: str, totals: Mapping[str, int], share: float
    ) -> None:
        """Set what this node did as an owner of a team.

        Args:
            team: Name of the team.
            totals: Tokens and refusals by kind since the start of the process.
            share: Fraction of the region's rate that it issues.
        """
        label = self._team_label(team)
        if label == OTHER_TEAM:
            return
        for kind, total in totals.items():
            self._quotas.set({'team': label, 'kind': kind}, total)
        self._owned.set({'team': label}, share)

    def on_rejections(self, service: str, count: int) -> None:
        """Record how often upstreams of a service rejected a call that has ended."""
        self._decided['rejected', service] += count

    def on_arrivals(self, total: Mapping[str, int]) -> None:
        """Set the total arrivals at the upstream, by cause."""
        for cause, count in total.items():
            self._arrivals.set({'cause': str(cause)}, count)

    def on_placements(self, total: Mapping[tuple[str, str], int]) -> None:
        """Set the total of placed calls by service and reason."""
        for (service, reason), count in total.items():
            self._placements.set({'service': service, 'reason': reason}, count)

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
        _move(self._ended, self._requests, 'route', 'end')
        _move(self._decided, self._decisions, 'kind', 'reason')
        _move(self._ended_by_team, self._team_requests, 'team', 'end')
        _move(self._refused_by_team, self._team_refusals, 'team', 'reason')
        _move(self._quota_decided, self._quotas, 'team', 'kind')
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

    def _team_label(self, team: str) -> str:
        if team not in self._teams:
            if len(self._teams) >= MAX_TEAMS:
                return OTHER_TEAM
            self._teams.add(team)
        return team

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(f'gentianmill_{name}_total', doc, registry=self._registry)


def _move(
    counts: Tally[tuple[str, str]], counter: Counter, first: str, second: str
) -> None:
    """Add accumulated counts to a counter with two labels, and clear them."""
    for (first_label, second_label), count in counts.items():
        counter.add({first: first_label, second: second_label}, count)
    counts.clear()
