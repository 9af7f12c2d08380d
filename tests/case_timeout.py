"""Ends each test that does not end by itself, as a plugin of pytest.

A limit inside the event loop does not end a test whose loop is blocked or whose task
loses its cancellation, nor the shutdown of the loop, which waits for all tasks.
"""

import asyncio
import contextlib
import faulthandler
import os
import signal
import sys
from collections.abc import Iterator

import pytest

__all__ = (
    'CaseTimeoutError',
    'limited',
    'pytest_addoption',
    'pytest_configure',
    'pytest_runtest_call',
    'pytest_runtest_protocol',
    'pytest_runtest_setup',
    'pytest_runtest_teardown',
)

LIMIT_S = 300
"""Longest time of a test with its fixtures; a test of 60 s took up to four times as long
on a busy machine."""

REPEAT_S = 5
"""Time after which the exception is raised again, as the code of a test that ends by it
may wait as well."""

TEARDOWN_S = 30
"""Time for the fixtures of a test that has exceeded the limit to end."""

EXIT_S = 60
"""Time after the limit at which the process exits: code outside of the interpreter does
not notice the signal."""

STDERR_FD = pytest.StashKey[int]()


class CaseTimeoutError(KeyboardInterrupt):
    """A test has not ended in time.

    The event loop passes on only exceptions of this base class from each task, and
    code that handles ``Exception`` does not take it for a failure of its own.
    """


@contextlib.contextmanager
def limited(limit_s: float, stderr_fd: int) -> Iterator[None]:
    """Raise an error in the main thread if a block has not ended in time.

    Args:
        limit_s: Longest time of the block in s.
        stderr_fd: File descriptor that the stacks of all threads are written to.
    """

    def expire(_signal: int, _frame: object) -> None:
        faulthandler.dump_traceback(file=stderr_fd, all_threads=True)
        raise CaseTimeoutError(f'not done within {limit_s} s\n{_task_stacks()}')

    faulthandler.dump_traceback_later(limit_s + EXIT_S, exit=True, file=stderr_fd)
    former = signal.signal(signal.SIGALRM, expire)
    signal.setitimer(signal.ITIMER_REAL, limit_s, REPEAT_S)
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0)
        _restore(former)


def _restore(former: object) -> None:
    signal.signal(signal.SIGALRM, former)
    faulthandler.cancel_dump_traceback_later()


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the setting with the limit."""
    parser.addini('case_timeout_s', 'longest time of a test in s', default=str(LIMIT_S))


def pytest_configure(config: pytest.Config) -> None:
    """Keep a descriptor of the error output, which is captured during tests."""
    config.stash[STDERR_FD] = os.dup(sys.__stderr__.fileno())


@pytest.hookimpl(wrapper=True)
def pytest_runtest_protocol(item: pytest.Item) -> Iterator[None]:
    """Limit the time of a test with its fixtures."""
    config = item.config
    with limited(float(config.getini('case_timeout_s')), config.stash[STDERR_FD]):
        return (yield)


@pytest.hookimpl(wrapper=True)
def pytest_runtest_setup() -> Iterator[None]:
    """Let a test fail whose fixtures exceed the limit."""
    with _failing():
        return (yield)


@pytest.hookimpl(wrapper=True)
def pytest_runtest_call() -> Iterator[None]:
    """Let a test fail that exceeds the limit."""
    with _failing():
        return (yield)


@pytest.hookimpl(wrapper=True)
def pytest_runtest_teardown() -> Iterator[None]:
    """Let a test fail whose fixtures exceed the limit at its end."""
    with _failing():
        return (yield)


@contextlib.contextmanager
def _failing() -> Iterator[None]:
    """Replace the error, which would end the run, by one that ends the test."""
    try:
        yield
    except CaseTimeoutError as error:
        signal.setitimer(signal.ITIMER_REAL, TEARDOWN_S, REPEAT_S)
        raise pytest.fail.Exception(str(error)) from error


def _task_stacks() -> str:
    """Return where each task of the running event loop waits."""
    loop = asyncio._get_running_loop()
    lines = []
    for task in asyncio.all_tasks(loop) if loop else ():
        lines.append(repr(task))
        awaited = task.get_coro()
        while awaited is not None:
            frame = getattr(awaited, 'cr_frame', None)
            if frame is not None:
                lines.append(f'  {frame.f_code.co_filename}:{frame.f_lineno}')
            awaited = getattr(awaited, 'cr_await', None)
    return '\n'.join(lines)
