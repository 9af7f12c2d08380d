"""Ends a connection so that its peer can tell that bytes are missing."""

import asyncio
import socket
import struct

from gentianmill_node.logs import component

__all__ = ('reset_connection', 'reset_on_close')

_LINGER = struct.Struct('ii')

log = component('entry')


def reset_on_close(transport: asyncio.BaseTransport, *, enabled: bool) -> None:
    """Set whether closing a connection, also by the end of the process, resets it."""
    sock = transport.get_extra_info('socket')
    if sock is None:
        return
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER.pack(enabled, 0))
    except OSError as error:
        log.warning('Linger time not set.', error=repr(error))


def reset_connection(transport: asyncio.WriteTransport) -> None:
    """Reset a connection, as an ordinary close would make a cut response look whole."""
    reset_on_close(transport, enabled=True)
    transport.abort()
