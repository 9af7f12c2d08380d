"""Routing rules: the destinations, limits and retry rules of each route."""

import dataclasses
from collections.abc import Mapping, Sequence

from gentianmill.teams import TeamDirectory


@dataclasses.dataclass(frozen=True, slots=True)
class Destination:
    """A service that runs a share of a route's requests."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class RouteRule:
    """Match and handling of the requests of one route; times in ms."""

    name: str
    host: str
    prefix: str
    destinations: tuple[Destination, ...]
    repeatable: bool
    bulk: bool
    timeout_ms: float | None
    target_latency_ms: float | None
    max_attempts: int
    priority: int
    """Importance; 0 is the highest."""

    allows_anonymous: bool = False
    """Whether its requests need no key where the rules have teams."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRule:
    """Limits that apply to each upstream of a service."""

    name: str
    health_path: str
    connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestLimits:
    """Bounds on what a caller may send; times in ms."""

    header_bytes: int
    body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class RuleSet:
    """One version of all routing rules."""

    def __init__(
        self,
        version: int,
        rules: Sequence[RouteRule],
        services: Mapping[str, ServiceRule],
        limits: RequestLimits,
        teams: TeamDirectory | None = None,
    ) -> None:
        """Index the rules.

        Args:
            version: Number that increases with each change.
            rules: All routes.
            services: Services by name.
            limits: Bounds on requests.
            teams: Teams whose keys requests need; without any, no request needs one.
        """
        self._version = version
        self._teams = teams or TeamDirectory()
        self._services = dict(services)
        self._limits = limits
        by_host: dict[str, list[RouteRule]] = {}
        for rule in rules:
            by_host.setdefault(rule.host, []).append(rule)
        for host_rules in by_host.values():
            host_rules.sort(key=_prefix_length, reverse=True)
        self._by_host = by_host
        # By prefix, the first of equal ones, as a scan of all routes would find it.
        self._by_prefix = {host: _by_prefix(routes) for host, routes in by_host.items()}
        self._longest_prefix = max(map(_prefix_length, rules), default=0)
        self._prefixes_end_with_slash = all(
            route.prefix.endswith('/') for route in rules
        )

    @property
    def version(self) -> int:
        """Return the version of the rules."""
        return self._version

    @property
    def limits(self) -> RequestLimits:
        """Return the bounds on requests."""
        return self._limits

    @property
    def teams(self) -> TeamDirectory:
        """Return the teams that share the deployment."""
        return self._teams

    @property
    def rules(self) -> list[RouteRule]:
        """Return all routes."""
        return [rule for rules in self._by_host.values() for rule in rules]

    def service(self, name: str) -> ServiceRule | None:
        """Return the limits of a service, or None if the rules do not list it."""
        return self._services.get(name)

    def find(self, host: str, path: str) -> RouteRule | None:
        """Return the route with the longest prefix of a path, or None.

        Args:
            host: Host of the request, without a port.
            path: Path of the request as it was sent.
        """
        if not self._prefixes_end_with_slash:
            candidates = self._by_host.get(host, ())
            return next(
                (rule for rule in candidates if path.startswith(rule.prefix)), None
            )
        by_prefix = self._by_prefix.get(host)
        end = path.rfind('/', 0, self._longest_prefix) + 1
        while by_prefix and end:
            rule = by_prefix.get(path[:end])
            if rule is not None:
                return rule
            end = path.rfind('/', 0, end - 1) + 1
        return None


def _by_prefix(rules: Sequence[RouteRule]) -> dict[str, RouteRule]:
    return {rule.prefix: rule for rule in reversed(rules)}


def _prefix_length(rule: RouteRule) -> int:
    return len(rule.prefix)


class SplitCounter:
    """Distribute the requests of a route over its destinations by weight.

    Smooth weighted round-robin: each request goes to the destination furthest below
    its share. Random choices would miss the weights over short periods.
    """

    def __init__(self) -> None:
        """Start without credits."""
        self._credits: dict[tuple[str, tuple[Destination, ...]], list[float]] = {}

    def pick(self, rule: RouteRule) -> str:
        """Return the service that runs the next request of a route.

        Args:
            rule: The route.
        """
        if len(rule.destinations) == 1:
            return rule.destinations[0].service
        key = (rule.name, rule.destinations)
        shares = self._credits.setdefault(key, [0 for _ in rule.destinations])
        total = sum(destination.weight for destination in rule.destinations)
        for index, destination in enumerate(rule.destinations):
            shares[index] += destination.weight
        chosen = max(range(len(shares)), key=shares.__getitem__)
        shares[chosen] -= total
        return rule.destinations[chosen].service

    def keep(self, rules: RuleSet) -> None:
        """Drop the credits of routes that are no longer in force.

        Args:
            rules: The rules in force.
        """
        known = {(rule.name, rule.destinations) for rule in rules.rules}
        self._credits = {
            key: shares for key, shares in self._credits.items() if key in known
        }
