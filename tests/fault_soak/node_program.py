"""Runs a node whose open connections fall silent at SIGUSR1.

The connections to the store, to the upstream and between nodes receive nothing any more
and get no acknowledgement, as if the network path had lost them; new ones work. Those of
callers are spared.
"""

import contextlib
import os
import runpy
import signal
import socket
import sys
from pathlib import Path

TESTS = Path(__file__).parent.parent
PROGRAM = TESTS.parent / 'platform' / 'run.py'
SILENCED_LOCAL_PORTS = frozenset((7620,))
"""Accepted connections of other nodes; the other listeners serve the VM itself."""

sys.path.insert(0, str(TESTS))
from silent_socket import silence  # noqa: E402


def _silence_connections(_signal: int, _frame: object) -> None:
    listening = _listening_ports()
    for descriptor in os.listdir('/proc/self/fd'):
        with contextlib.suppress(OSError), _duplicate(int(descriptor)) as sock:
            port = sock.getsockname()[1]
            sock.getpeername()
            if port not in listening or port in SILENCED_LOCAL_PORTS:
                silence(sock)


def _listening_ports() -> set[int]:
    ports = set()
    for descriptor in os.listdir('/proc/self/fd'):
        with contextlib.suppress(OSError), _duplicate(int(descriptor)) as sock:
            if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
                ports.add(sock.getsockname()[1])
    return ports


def _duplicate(descriptor: int) -> socket.socket:
    """Return a socket object of its own for a descriptor of this process.

    Raises:
        OSError: If the descriptor is no TCP socket.
    """
    copy = os.dup(descriptor)
    try:
        sock = socket.socket(fileno=copy)
    except OSError:
        os.close(copy)
        raise
    if sock.family != socket.AF_INET or sock.type != socket.SOCK_STREAM:
        sock.close()
        raise OSError('no TCP socket')
    return sock


signal.signal(signal.SIGUSR1, _silence_connections)
sys.path.insert(0, str(PROGRAM.parent))
sys.argv[0] = str(PROGRAM)
runpy.run_path(str(PROGRAM), run_name='__main__')
