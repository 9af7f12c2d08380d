"""Tests of the ports that processes of test runs reserve."""

import subprocess
import sys

from standins.processes import PORTS, TESTS, free_ports, reserve_port

RESERVE = 'from standins.processes import reserve_port; print(reserve_port({port}))'


def _reserved_by_another_process(port: int) -> bool:
    command = [sys.executable, '-c', RESERVE.format(port=port)]
    done = subprocess.run(command, cwd=TESTS, capture_output=True, check=True)
    return done.stdout.strip() == b'True'


def test_port_is_not_given_to_another_run():
    """Guards against concurrent test runs that give one port to an upstream of each."""
    port = free_ports(1)[0]
    assert not _reserved_by_another_process(port)


def test_port_of_a_run_that_ended_is_free_again():
    """Guards against ended runs that use up the ports of the machine."""
    port = next(port for port in PORTS if _reserved_by_another_process(port))
    assert reserve_port(port)


def test_ports_of_a_run_differ():
    """Guards against two listeners of a run on one port, which cannot both start."""
    ports = free_ports(40)
    assert len(set(ports)) == len(ports)
