"""Tests that a test which does not end by itself is ended."""

import os
import subprocess
import sys
from pathlib import Path

TESTS = Path(__file__).parent

HANGING = """
import asyncio, threading, time


async def _never_cancelled():
    while True:
        try:
            await asyncio.sleep(3600)
        except asyncio.CancelledError:
            pass


async def _spin():
    while True:
        pass


async def _leave_task():
    asyncio.get_running_loop().create_task(_never_cancelled())
    await asyncio.sleep(0)


def test_task_that_loses_its_cancellation():
    asyncio.run(asyncio.wait_for(_never_cancelled(), 0.1))


def test_loop_that_never_yields():
    asyncio.run(asyncio.wait_for(_spin(), 0.1))


def test_loop_that_does_not_shut_down():
    asyncio.run(_leave_task())


def test_lock_that_is_never_released():
    lock = threading.Lock()
    lock.acquire()
    lock.acquire()


def test_errors_that_are_retried():
    while True:
        try:
            time.sleep(3600)
        except Exception:
            pass


def test_that_ends():
    pass
"""


def test_hanging_tests_fail_with_their_stacks(tmp_path: Path):
    """Guards against a run that never ends because one test does not."""
    (tmp_path / 'conftest.py').write_text("pytest_plugins = ('case_timeout',)\n")
    (tmp_path / 'pytest.ini').write_text('[pytest]\ncase_timeout_s = 1\n')
    (tmp_path / 'test_hanging.py').write_text(HANGING)
    run = subprocess.run(
        [sys.executable, '-m', 'pytest', '-q', '-p', 'no:cacheprovider', tmp_path],
        cwd=tmp_path,
        env={**os.environ, 'PYTHONPATH': str(TESTS)},
        capture_output=True,
        text=True,
    )
    assert '5 failed, 1 passed' in run.stdout
    assert 'in test_lock_that_is_never_released' in run.stderr
    assert 'test_hanging.py:8' in run.stdout
