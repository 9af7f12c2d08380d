"""Settings of a node that forwards requests."""

import dataclasses
from collections.abc import Mapping

from gentianmill.completion_placement import BalancingSettings
from gentianmill.node_record_codec import MAX_PORT
from gentianmill.retry_budget import RetryBudgetSettings
from gentianmill.zone_traffic import TrafficSettings
from gentianmill_mesh.wire_names import WireNames

MAX_HEADER_LINES = 4096
"""Default limit on header lines: as many of the shortest lines fit into 16,384 bytes."""


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """Address of a listener."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> 'Address':
        """Parse an address such as ``10.0.0.1:80``.

        Raises:
            ValueError: If the text is not an address.
        """
        host, _, port = text.rpartition(':')
        if not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
            raise ValueError(f'{text!r} is not an address')
        return cls(host, int(port))


@dataclasses.dataclass(frozen=True, slots=True)
class ReadAheadSettings:
    """Bounds on what is read on a caller's connection ahead of its first open response.

    At a bound, the connection is not read until a response was sent.
    """

    requests: int = 16
    """Requests without a response."""

    bytes: int = 1024 * 1024
    """Bytes of these requests, and of responses that wait for others."""

    header_lines: int = MAX_HEADER_LINES
    """Header lines and trailers of a request."""


@dataclasses.dataclass(frozen=True, slots=True)
class MeshSettings:
    """Settings that a node reads when it starts."""

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
    """Time from the stop signal until the process is killed."""

    memory_bytes: int | None = None
    """Memory that the process may take, or None if it is not limited."""

    descriptors: int | None = None
    """Descriptors that the process may have open, or None if the system decides."""

    first_start: bool = False
    """Whether the whole deployment starts for the first time, so that no other node knows
    what an earlier process of this one has acknowledged."""

    report_interval_ms: float = 0
    """Time between two reports of an upstream. With one, a process that can't know what
    an earlier one has acknowledged uses its upstream from the first report on that was
    sent after the start of the process; with 0, from any report on."""

    config_apply_ms: float = 9000
    """Time after its acknowledgement in which a change of the rules must be in force."""

    retry_budget: RetryBudgetSettings = RetryBudgetSettings()
    read_ahead: ReadAheadSettings = ReadAheadSettings()
    traffic: TrafficSettings = TrafficSettings()
    balancing: BalancingSettings = BalancingSettings()
    zones: Mapping[str, str] = dataclasses.field(default_factory=dict)
    """Region of each availability zone, or nothing if they are not listed."""

    def with_live(self, changed: 'MeshSettings') -> 'MeshSettings':
        """Return these settings with the changes that take effect while a node runs."""
        return dataclasses.replace(
            self, upstream=changed.upstream, stop_within_ms=changed.stop_within_ms
        )
