"""Tests of the startup of a node on the platform."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
UNUSED_LIBRARIES = ('pydantic', 'grpclib', 'google.protobuf', 'yaml')
"""Libraries for settings, sheets and control, which nodes on the platform do not use."""

PROGRAM = f"""
import sys
import gentianmill_platform.program
print(' '.join(name for name in {UNUSED_LIBRARIES!r} if name in sys.modules))
"""


def test_unused_libraries_are_not_loaded():
    """Loading them delays each restart; pydantic took a third of the startup."""
    loaded = subprocess.run(
        [sys.executable, '-c', PROGRAM],
        cwd=ROOT / 'platform',
        capture_output=True,
        check=True,
        text=True,
    )
    assert not loaded.stdout.strip()


MAIN_REPLACEMENT = """
import os, runpy, signal, ssl, sys, types
program = types.ModuleType('gentianmill_platform.program')
program.main = lambda: {code}
sys.modules['gentianmill_platform.program'] = program
runpy.run_path('run.py')
"""


def _run_in_place_of_main(code: str) -> str:
    """Run an expression in place of the program and return what it printed."""
    run = subprocess.run(
        [sys.executable, '-c', MAIN_REPLACEMENT.format(code=code)],
        cwd=ROOT / 'platform',
        capture_output=True,
        check=True,
        text=True,
    )
    return run.stdout.strip()


def test_no_certificate_authorities_are_loaded():
    """Nodes on the platform use no TLS; loading authorities costs 35 ms per start."""
    code = 'print(len(ssl.create_default_context().get_ca_certs()))'
    assert _run_in_place_of_main(code) == '0'


def test_early_signal_to_reload_does_not_end_the_process():
    """A reload signal during startup ended the process (soak seed 9)."""
    code = '(os.kill(os.getpid(), signal.SIGHUP), print("alive"))'
    assert _run_in_place_of_main(code) == 'alive'
