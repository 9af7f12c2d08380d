"""The planning sheet as data classes, with the lookup of operations."""

import dataclasses
from collections.abc import Mapping

from gentianmill.sheet_models import LimitsModel, OperationModel, RetryModel, SheetModel

RANKS_PER_CLASS = 128
"""Admission ranks within one class of work."""


@dataclasses.dataclass(frozen=True, slots=True)
class WorkClass:
    """A class of work; rank 0 is the most important."""

    name: str
    rank: int
    protected: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Operation:
    """One kind of call of a service."""

    service: str
    name: str
    method: str
    segments: tuple[str, ...]
    work_class: WorkClass
    at_most_once: bool
    size: str
    deadline_ms: int

    @property
    def is_bulk(self) -> bool:
        """Return whether the call may wait but must be transferred completely."""
        return self.size == 'bulk'

    @property
    def is_repeatable_read(self) -> bool:
        """Return whether the call is a read, so that running it twice is harmless."""
        return self.method in {'GET', 'HEAD'} and not self.at_most_once

    def matches(self, method: str, segments: tuple[str, ...]) -> bool:
        """Return whether a method and the segments of a path match the operation."""
        if method != self.method or len(segments) != len(self.segments):
            return False
        return all(map(_segment_matches, self.segments, segments))


class Sheet:
    """An accepted planning sheet."""

    def __init__(self, model: SheetModel, version: int = 0) -> None:
        """Build a sheet from a validated model.

        Args:
            model: The validated sheet.
            version: Version under which it was accepted; 0 if it was not.

        Raises:
            KeyError: If an operation refers to a class that the sheet does not define.
        """
        self._model = model
        self._version = version
        self._classes = {
            entry.name: WorkClass(entry.name, rank, entry.protected)
            for rank, entry in enumerate(model.classes)
        }
        self._classes_by_rank = tuple(self._classes.values())
        self._operations = {
            name: tuple(self._operation(name, entry) for entry in service.operations)
            for name, service in model.services.items()
        }

    @property
    def version(self) -> int:
        """Return the version; versions only increase."""
        return self._version

    @property
    def deployment(self) -> str:
        """Return the name of the deployment."""
        return self._model.deployment

    @property
    def regions(self) -> tuple[str, ...]:
        """Return the regions among which the retry bound is divided."""
        return tuple(region.root for region in self._model.regions)

    @property
    def classes(self) -> Mapping[str, WorkClass]:
        """Return the classes of work by name."""
        return self._classes

    def class_of_rank(self, rank: int) -> WorkClass:
        """Return the class of an admission rank.

        Args:
            rank: Admission rank; ranks beyond the last class belong to it.
        """
        last = len(self._classes_by_rank) - 1
        return self._classes_by_rank[min(rank // RANKS_PER_CLASS, last)]

    @property
    def services(self) -> tuple[str, ...]:
        """Return the names of the services."""
        return tuple(self._operations)

    @property
    def tenants(self) -> tuple[str, ...]:
        """Return the tenants with a configured share."""
        return tuple(self._model.tenants.shares)

    @property
    def retry(self) -> RetryModel:
        """Return the retry settings."""
        return self._model.retry

    @property
    def limits(self) -> LimitsModel:
        """Return the limits."""
        return self._model.limits

    @property
    def retries_per_region(self) -> int:
        """Return the retries that the home node of one region may grant."""
        return self._model.retry.bound // len(self._model.regions)

    def has_service(self, name: str) -> bool:
        """Return whether the sheet lists a service."""
        return name in self._operations

    def operations(self, service: str) -> tuple[Operation, ...]:
        """Return the operations of a service; empty if it is unknown."""
        return self._operations.get(service, ())

    def find_operation(self, service: str, method: str, path: str) -> Operation | None:
        """Find the operation of a call.

        Args:
            service: Name of the service.
            method: HTTP method in capitals.
            path: Path, with or without a query string.

        Returns:
            The first operation that matches, or None.
        """
        segments = _split(path.partition('?')[0])
        for operation in self.operations(service):
            if operation.matches(method, segments):
                return operation
        return None

    def tenant_share(self, tenant: str) -> int:
        """Return the weight of a tenant among the tenants of a class."""
        tenants = self._model.tenants
        return tenants.shares.get(tenant, tenants.default_share)

    def _operation(self, service: str, entry: OperationModel) -> Operation:
        return Operation(
            service=service,
            name=entry.name,
            method=entry.method.value,
            segments=_split(entry.path),
            work_class=self._classes[entry.class_],
            at_most_once=entry.run.value == 'at_most_once',
            size=entry.size.value,
            deadline_ms=entry.deadline_ms,
        )


def _split(path: str) -> tuple[str, ...]:
    return tuple(path.strip('/').split('/'))


def _segment_matches(pattern: str, segment: str) -> bool:
    if pattern.startswith('{') and pattern.endswith('}'):
        return bool(segment)
    return pattern == segment
