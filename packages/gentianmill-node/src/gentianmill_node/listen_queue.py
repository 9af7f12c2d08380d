"""Stop a listening socket from taking connections without resetting any.

Closing a listening socket resets the connections that the kernel has set up and
the process has not accepted yet. Their callers have already sent requests and
cannot tell whether those ran.
"""

import ctypes
import socket
import struct

from gentianmill_node.logs import component

SO_ATTACH_FILTER = 26
"""Socket option of Linux, see socket(7); the module ``socket`` does not name it."""

_FILTER = struct.Struct('HBBI')
_PROGRAM = struct.Struct('HP')
_INSTRUCTIONS = (
    (0x30, 0, 0, 13),  # load the byte with the flags of the TCP header
    (0x45, 0, 1, 0x2),  # continue if SYN is set, else skip one
    (0x6, 0, 0, 0),  # drop the packet
    (0x6, 0, 0, 0xFFFFFFFF),  # keep all of it
)
"""Classic BPF program, see the kernel's documentation of socket filters."""

log = component('server')


def refuse_new_connections(listener: socket.socket) -> None:
    """Let the kernel ignore new connection attempts on a listening socket.

    Handshakes that are under way still end and can be accepted.

    Args:
        listener: The listening socket.
    """
    code = b''.join(_FILTER.pack(*instruction) for instruction in _INSTRUCTIONS)
    buffer = ctypes.create_string_buffer(code, len(code))
    program = _PROGRAM.pack(len(_INSTRUCTIONS), ctypes.addressof(buffer))
    try:
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
    except OSError as error:
        # Without the filter, a connection made in the last moment is reset.
        log.info('No filter on the listening socket.', error=repr(error))
