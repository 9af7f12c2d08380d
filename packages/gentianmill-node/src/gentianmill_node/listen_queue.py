"""Stop a listening socket from receiving connections without resetting any.

Closing a listening socket resets the connections that the kernel has established
but the process has not accepted yet. Their callers may already have sent requests
and cannot tell whether those were executed.
"""

import ctypes
import socket
import struct

from gentianmill_node.logs import component

SO_ATTACH_FILTER = 26
"""Linux socket option, see socket(7); Python's ``socket`` module lacks it."""

_SOCK_FILTER = struct.Struct('HBBI')
_SOCK_FPROG = struct.Struct('HP')
_INSTRUCTIONS = (
    (0x30, 0, 0, 13),  # load the flags byte of the TCP header
    (0x45, 0, 1, 0x2),  # if SYN is not set, skip the next instruction
    (0x6, 0, 0, 0),  # drop the packet
    (0x6, 0, 0, 0xFFFFFFFF),  # accept the whole packet
)
"""Classic BPF program that drops SYN packets; see the kernel documentation of
socket filters."""

HANDSHAKE_WAIT_S = 0.05
"""Time for TCP handshakes in progress to complete; a round trip between availability
zones takes 1 ms."""

log = component('server')


def refuse_new_connections(listener: socket.socket) -> None:
    """Make the kernel drop new connection attempts on a listening socket.

    Handshakes in progress still complete and can be accepted.

    Args:
        listener: The listening socket.
    """
    code = b''.join(_SOCK_FILTER.pack(*instruction) for instruction in _INSTRUCTIONS)
    buffer = ctypes.create_string_buffer(code, len(code))
    program = _SOCK_FPROG.pack(len(_INSTRUCTIONS), ctypes.addressof(buffer))
    try:
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
    except OSError as error:
        # Without the filter, connections not accepted yet are reset on close.
        log.info(
            'Could not attach a filter to the listening socket.', error=repr(error)
        )
