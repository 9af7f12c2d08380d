"""Makes an open TCP connection silent, as on a network path that lost its state."""

import ctypes
import socket
import struct

SO_ATTACH_FILTER = 26
"""Option of Linux; the socket module has no name for it."""

_RETURN = 6
_DROP_ALL = ctypes.create_string_buffer(struct.pack('HBBI', _RETURN, 0, 0, 0))
_PROGRAM = struct.pack('HL', 1, ctypes.addressof(_DROP_ALL))


def silence(sock: socket.socket) -> None:
    """Drop all further segments that arrive at a socket before TCP acknowledges them.

    The peer gets no reset: its data and its keep-alive probes stay unacknowledged.
    """
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, _PROGRAM)
