"""The limit on the open descriptors of the process."""

import resource

from gentianmill_node.logs import component

__all__ = ('allow_descriptors',)

MANY_DESCRIPTORS = 65_536
"""Used where the system sets no limit."""

log = component('node')


def allow_descriptors(wanted: int | None) -> int:
    """Raise the soft limit as far as is wanted and permitted, and return it.

    Args:
        wanted: Descriptors that the process may have open, or None if only the limit of
            the system counts.
    """
    soft, hard = (
        _finite(limit) for limit in resource.getrlimit(resource.RLIMIT_NOFILE)
    )
    allowed = min(wanted or hard, hard)
    if soft >= allowed:
        return allowed
    try:
        resource.setrlimit(resource.RLIMIT_NOFILE, (allowed, hard))
    except (OSError, ValueError) as error:
        log.info('Limit on descriptors not raised.', limit=soft, error=repr(error))
        return soft
    return allowed


def _finite(limit: int) -> int:
    return MANY_DESCRIPTORS if limit == resource.RLIM_INFINITY else limit
