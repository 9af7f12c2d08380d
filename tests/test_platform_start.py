"""What the start of a node on the platform costs."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
HEAVY = ('pydantic', 'grpclib', 'google.protobuf', 'yaml')
"""Libraries for settings, sheets and control that a node does not use there."""

PROGRAM = f"""
import sys
import gentianmill_platform.program
print(' '.join(name for name in {HEAVY!r} if name in sys.modules))
"""


def test_unused_libraries_are_not_loaded():
    """Each restarted node would load them before it serves; pydantic took a third."""
    loaded = subprocess.run(
        [sys.executable, '-c', PROGRAM],
        cwd=ROOT / 'platform',
        capture_output=True,
        check=True,
        text=True,
    )
    assert not loaded.stdout.strip()


RUN_INSTEAD = """
import os, runpy, signal, ssl, sys, types
program = types.ModuleType('gentianmill_platform.program')
program.main = lambda: {code}
sys.modules['gentianmill_platform.program'] = program
runpy.run_path('run.py')
"""


def _run_instead(code: str) -> str:
    """Run an expression in place of the program and return what it printed."""
    run = subprocess.run(
        [sys.executable, '-c', RUN_INSTEAD.format(code=code)],
        cwd=ROOT / 'platform',
        capture_output=True,
        check=True,
        text=True,
    )
    return run.stdout.strip()


def test_no_list_of_authorities_is_read():
    """No connection of a node there uses TLS, and the list costs 35 ms a start."""
    code = 'print(len(ssl.create_default_context().get_ca_certs()))'
    assert _run_instead(code) == '0'


def test_early_signal_to_reload_does_not_end_the_process():
    """A node that was told to reload while it started was gone (soak seed 9)."""
    code = '(os.kill(os.getpid(), signal.SIGHUP), print("alive"))'
    assert _run_instead(code) == 'alive'
