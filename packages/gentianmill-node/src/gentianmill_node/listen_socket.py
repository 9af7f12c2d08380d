"""Open a listening socket, also while the former process of the VM still uses it."""

import asyncio
import errno
import itertools
import socket

from gentianmill_node.logs import component

__all__ = ('BACKLOG', 'create_listen_socket', 'open_listen_socket')

BACKLOG = 1024
"""Established connections that the kernel queues until the process accepts them."""

RETRY_PAUSE_S = 0.05

LOG_EVERY = 100
"""Attempts between two log lines: 5 s."""

TEMPORARY_ERRORS = frozenset((errno.EADDRINUSE, errno.EADDRNOTAVAIL))
"""Another process listens there, or the VM has not got its address yet."""

log = component('server')


def create_listen_socket(host: str, port: int) -> socket.socket:
    """Return a listening socket.

    Args:
        host: IP address to listen on.
        port: TCP port.

    Raises:
        OSError: If the address can't be used.
    """
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    return socket.create_server((host, port), family=family, backlog=BACKLOG)


async def open_listen_socket(name: str, host: str, port: int) -> socket.socket:
    """Return a listening socket, once its address is free.

    A process that ends because its port is taken is only started again, and can't say
    why it is not ready.

    Args:
        name: Name of the listener in the log.
        host: IP address to listen on.
        port: TCP port.

    Raises:
        OSError: If the address can't be used, and that will not change.
    """
    for attempt in itertools.count():
        try:
            return create_listen_socket(host, port)
        except OSError as error:
            if error.errno not in TEMPORARY_ERRORS:
                raise
            if not attempt % LOG_EVERY:
                log.warning(
                    'Address not free yet.', listener=name, port=port, error=repr(error)
                )
        await asyncio.sleep(RETRY_PAUSE_S)
    raise AssertionError('attempts do not end')
