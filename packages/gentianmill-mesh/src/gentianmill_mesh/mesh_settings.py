"""Settings of a node that forwards requests."""

import dataclasses

from gentianmill.repeat_budget import RetryBudgetSettings
from gentianmill_mesh.wire_names import WireNames


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """Where a listener is."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> 'Address':
        """Return the address in a text such as ``10.0.0.1:80``.

        Raises:
            ValueError: If the text is no address.
        """
        host, _, port = text.rpartition(':')
        if not host or not port.isdigit():
            raise ValueError(f'{text!r} is no address')
        return cls(host, int(port))


@dataclasses.dataclass(frozen=True, slots=True)
class MeshSettings:
    """What a node knows when it starts."""

    node: str
    zone: str
    region: str
    service: str
    """Service of the upstream on the same VM."""

    upstream: Address
    entry: Address
    readiness: Address
    relay: Address
    metrics: Address
    readiness_path: str
    names: WireNames
    stop_within_ms: float
    """Time from the signal to stop until the process is killed."""

    retry_budget: RetryBudgetSettings = RetryBudgetSettings()
