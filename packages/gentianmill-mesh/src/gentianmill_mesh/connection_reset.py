"""Ends a connection so that its peer can tell that bytes are missing."""

import asyncio
import socket
import struct

from gentianmill_node.logs import component

__all__ = ('reset_connection', 'reset_on_close', 'was_reset')

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


def was_reset(transport: asyncio.BaseTransport) -> bool:
    """Return whether the peer has reset a connection that ends without an error.

    If bytes and a reset arrive together, libuv reports the end of the stream instead of
    the error, which stays at the socket.
    """
    sock = transport.get_extra_info('socket')
    if sock is None:
        return False
    try:
        return bool(sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))
    except OSError as error:
        log.warning('Error of a socket not known.', error=repr(error))
        return True
