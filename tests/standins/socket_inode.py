"""Finds the inode of a TCP socket of this machine by its two addresses.

/proc/net/tcp has the same data, but reading it took 25 ms with 5,000 closed sockets,
and it may omit a socket while others change. See sock_diag(7).
"""

import socket
import struct

Address = tuple[str, int]

NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
NLM_F_REQUEST = 1
ALL_STATES = 0xFFFFFFFF
NO_COOKIE = 0xFFFFFFFF
ADDRESS_BYTES = 16
HEADER = struct.Struct('=IHHII')
INODE_OFFSET = HEADER.size + 68
MAX_REPLY_BYTES = 4096


def socket_inode(local: Address, remote: Address) -> int:
    """Return the inode of an IPv4 TCP socket, or 0 if it does not exist.

    Args:
        local: Address and port of the socket.
        remote: Address and port of its peer.
    """
    request = b''.join(
        (
            struct.pack(
                '=BBBxI', socket.AF_INET, socket.IPPROTO_TCP, False, ALL_STATES
            ),
            struct.pack('>HH', local[1], remote[1]),
            _padded(local),
            _padded(remote),
            struct.pack('=III', 0, NO_COOKIE, NO_COOKIE),
        )
    )
    size = HEADER.size + len(request)
    header = HEADER.pack(size, SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, 1, 0)
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG) as kernel:
        kernel.send(header + request)
        reply = kernel.recv(MAX_REPLY_BYTES)
    if HEADER.unpack_from(reply)[1] != SOCK_DIAG_BY_FAMILY:
        return 0
    return struct.unpack_from('=I', reply, INODE_OFFSET)[0]


def _padded(address: Address) -> bytes:
    return socket.inet_aton(address[0]).ljust(ADDRESS_BYTES, b'\0')
