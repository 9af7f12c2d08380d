"""Run the stand-in platform as a separate process of a measurement."""

import contextlib
import subprocess
import sys
from collections.abc import Iterator

from standins.processes import free_ports, is_open, wait_for


@contextlib.contextmanager
def platform_port() -> Iterator[int]:
    """Run the stand-in platform while the context is open; yield its port."""
    port = free_ports(1)[0]
    command = [sys.executable, '-m', 'standins.platform', '--port', str(port)]
    platform = subprocess.Popen(command)
    try:
        wait_for(lambda: is_open(port), 'the platform')
        yield port
    finally:
        platform.terminate()
        platform.wait()
