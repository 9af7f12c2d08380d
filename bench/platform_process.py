"""The stand-in platform as a process of a measurement."""

import contextlib
import socket
import subprocess
import sys
from collections.abc import Iterator

from standins.processes import wait_for

HOST = '127.0.0.1'


@contextlib.contextmanager
def platform_port() -> Iterator[int]:
    """Run the stand-in platform; yield its loopback port."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        port = probe.getsockname()[1]
    command = [sys.executable, '-m', 'standins.platform', '--port', str(port)]
    platform = subprocess.Popen(command)
    try:
        wait_for(lambda: is_open(port), 'the platform')
        yield port
    finally:
        platform.terminate()
        platform.wait()


def is_open(port: int) -> bool:
    """Return whether a loopback port accepts connections."""
    with socket.socket() as probe:
        return probe.connect_ex((HOST, port)) == 0
