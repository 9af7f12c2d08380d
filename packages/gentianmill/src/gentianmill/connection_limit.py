"""How the descriptors of a node are divided among its connections.

Callers choose how many connections they open, and upstreams how many requests they run at
once. Each gets a part, so that links to other nodes, to the store and the listeners always
find a descriptor.
"""

import dataclasses

__all__ = ('ConnectionSettings',)

FILE_SHARE = 8
MAX_FILES = 200
"""Files need an eighth of the descriptors, at most this many."""

CALLER_SHARE = 0.5
"""Part of the rest for callers."""

UPSTREAM_SHARE = 0.2
"""Part of the rest for requests that the upstream runs at once. What remains has room for
two links to each of 610 nodes at 4,100 descriptors."""

SURPLUS_SHARE = 0.05
MIN_SURPLUS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionSettings:
    """Bounds on the connections of a node."""

    callers: int
    """Connections of callers that are served."""

    surplus: int
    """Connections beyond these whose next request is refused as not run. Further ones
    are accepted only when others have closed."""

    upstream: int
    """Connections to the upstream."""

    @classmethod
    def for_descriptors(cls, descriptors: int) -> 'ConnectionSettings':
        """Return the bounds of a process.

        Args:
            descriptors: Descriptors that it may have open.
        """
        files = min(descriptors // FILE_SHARE, MAX_FILES)
        sockets = descriptors - files
        callers = int(sockets * CALLER_SHARE)
        surplus = max(int(callers * SURPLUS_SHARE), MIN_SURPLUS)
        return cls(
            callers=max(callers - surplus, 1),
            surplus=surplus,
            upstream=max(int(sockets * UPSTREAM_SHARE), 1),
        )
