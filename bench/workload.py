"""Deployments, operations and request mixes used by the measurements.

Assumptions: the sizes of services are those of the design page, which specifies no
service times. 27,000 calls/s on 610 endpoints are 44 calls/s per endpoint, so
with tens of slots each the mean must be several hundred milliseconds. Short
operations take 40 to 250 ms, long ones 0.9 s, bulk ones 1.2 s. A call occupies
its slot while it waits for the calls that it makes.
"""

import dataclasses
import types
from collections import Counter
from collections.abc import Iterator, Mapping

ENDPOINTS = 6
HOP_MS = 1.0
CHAIN_DEPTH = 17


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One call of a tree: an operation and the calls that it makes sequentially."""

    service: str
    name: str
    mean_ms: float
    children: tuple['Step', ...] = ()
    size: str = 'short'

    @property
    def operation(self) -> str:
        """Return the name of the operation with that of its service."""
        return f'{self.service}.{self.name}'

    def hold_ms(self) -> float:
        """Return how long the call occupies its slot without any load."""
        children_ms = sum(child.hold_ms() + 2 * HOP_MS for child in self.children)
        return self.mean_ms + children_ms

    def steps(self) -> Iterator['Step']:
        """Yield this call and all its descendants."""
        yield self
        for child in self.children:
            yield from child.steps()


@dataclasses.dataclass(frozen=True, slots=True)
class RequestType:
    """A type of request: its class, its part of the demand and its call tree."""

    name: str
    class_rank: int
    weight: float
    tree: Step
    max_wait_ms: float = 3000


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """Size of each endpoint of a service."""

    slots: int
    connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Services and the mix of requests."""

    name: str
    classes: tuple[str, ...]
    protected_count: int
    services: Mapping[str, Service]
    requests: tuple[RequestType, ...]
    endpoints: int = ENDPOINTS

    def capacity_per_s(self) -> float:
        """Return the requests per second that saturate the busiest service."""
        busiest = self.busiest_service()
        slots = self.endpoints * self.services[busiest].slots
        return 1000 * slots / self._demand_ms()[busiest]

    def busiest_service(self) -> str:
        """Return the service that saturates first as the demand grows."""
        demand_ms = self._demand_ms()
        return max(
            demand_ms,
            key=lambda service: demand_ms[service] / self.services[service].slots,
        )

    def _demand_ms(self) -> Counter[str]:
        """Return the mean slot time per service that a request needs."""
        demand_ms: Counter[str] = Counter()
        weights = sum(request.weight for request in self.requests)
        for request in self.requests:
            for step in request.tree.steps():
                demand_ms[step.service] += request.weight / weights * step.hold_ms()
        return demand_ms


def chain(services: tuple[str, ...], depth: int, mean_ms: float) -> Step:
    """Return a chain of nested calls that cycles through the services."""
    nested: tuple[Step, ...] = ()
    for level in reversed(range(depth)):
        service = services[level % len(services)]
        nested = (Step(service, 'internal', mean_ms, nested),)
    return nested[0]


_CASCADIA_SERVICES = types.MappingProxyType(
    {
        'dispatch': Service(70, 530),
        'billing': Service(70, 530),
        'templates': Service(70, 530),
        'quoting': Service(25, 240),
    }
)
_SPECIFICATION = Step('quoting', 'specification', 120)
_RECORD = Step('billing', 'record', 150, (Step('dispatch', 'mark', 60),))

CASCADIA = Deployment(
    name='cascadia',
    classes=('billing', 'job_sheets', 'quotes', 'templates', 'internal'),
    protected_count=2,
    services=_CASCADIA_SERVICES,
    requests=(
        RequestType('deposit', 0, 0.08, Step('billing', 'deposit', 250)),
        RequestType(
            'completion', 1, 0.12, Step('dispatch', 'complete', 200, (_RECORD,))
        ),
        RequestType(
            'job_sheet', 1, 0.25, Step('dispatch', 'lookup', 120, (_SPECIFICATION,))
        ),
        RequestType(
            'quote',
            2,
            0.2,
            Step('quoting', 'quote', 150, (Step('billing', 'price', 80),)),
        ),
        RequestType('tint', 2, 0.08, _SPECIFICATION),
        RequestType('estimate', 2, 0.02, Step('quoting', 'estimate', 900, size='long')),
        RequestType(
            'template',
            3,
            0.15,
            Step('templates', 'fetch', 1200, size='bulk'),
            max_wait_ms=15000,
        ),
        RequestType(
            'lookup',
            4,
            0.09,
            chain(('dispatch', 'templates', 'billing'), 4, 40),
        ),
        RequestType(
            'deep_lookup',
            4,
            0.01,
            chain(tuple(_CASCADIA_SERVICES), CHAIN_DEPTH, 40),
        ),
    ),
)

_GUILD_SERVICES = types.MappingProxyType(
    {
        'catalogo': Service(35, 320),
        'tesoreria': Service(35, 320),
        'biblioteca': Service(35, 320),
        'registro': Service(10, 170),
    }
)
_MEMBER = Step('registro', 'member', 80)

GUILD = Deployment(
    name='guild',
    classes=('dues', 'orders', 'registry', 'catalogue', 'guides'),
    protected_count=2,
    services=_GUILD_SERVICES,
    requests=(
        RequestType('dues', 0, 0.1, Step('tesoreria', 'pay', 250, (_MEMBER,))),
        RequestType(
            'order',
            1,
            0.15,
            Step('catalogo', 'order', 150, (Step('tesoreria', 'charge', 200),)),
        ),
        RequestType('registry', 2, 0.15, Step('registro', 'read', 80)),
        RequestType('catalogue', 3, 0.425, Step('catalogo', 'lookup', 100)),
        RequestType('report', 3, 0.02, Step('catalogo', 'report', 900, size='long')),
        RequestType(
            'guide',
            4,
            0.15,
            Step('biblioteca', 'fetch', 1200, size='bulk'),
            max_wait_ms=15000,
        ),
        RequestType(
            'deep_lookup',
            3,
            0.005,
            chain(tuple(_GUILD_SERVICES), CHAIN_DEPTH, 40),
        ),
    ),
)

DEPLOYMENTS = types.MappingProxyType(
    {deployment.name: deployment for deployment in (CASCADIA, GUILD)}
)
