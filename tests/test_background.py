"""Tests that background tasks leave a log line when they fail."""

import asyncio
import gc

import structlog
from gentianmill.settings_models import UpstreamModel
from gentianmill_node.background import repeat, spawn
from gentianmill_node.health_watch import HealthWatch
from gentianmill_node.upstream_client import UpstreamClient


SETTINGS = UpstreamModel(
    service='s',
    endpoint='e',
    host='127.0.0.1',
    port=1,
    slots=1,
    connections=1,
    poll_ms=10,
)


class _FailingUpstream(UpstreamClient):
    """Raises an unexpected error at each poll but the first."""

    def __init__(self) -> None:
        self.polls = 0

    async def health(self) -> str:
        self.polls += 1
        if self.polls > 1:
            raise RuntimeError('a fault')
        return 'ready'


async def _fail() -> None:
    raise RuntimeError('a fault')


def test_task_that_fails_is_logged():
    """Guards against a task that ends without a log line, as nobody awaits it."""

    async def scenario() -> None:
        spawn(_fail(), 'example')
        await asyncio.sleep(0)
        await asyncio.sleep(0)

    with structlog.testing.capture_logs() as lines:
        asyncio.run(scenario())
    assert [line['task'] for line in lines] == ['example']


def test_task_without_other_references_is_not_collected():
    """Guards against a task that the garbage collector ends midway."""

    async def scenario() -> bool:
        ended = asyncio.Event()

        async def wait() -> None:
            # Only the task refers to this future.
            loop = asyncio.get_running_loop()
            waiting = loop.create_future()
            loop.call_later(0.01, lambda: waiting.done() or waiting.set_result(None))
            await waiting
            ended.set()

        spawn(wait(), 'example')
        await asyncio.sleep(0)
        gc.collect()
        await asyncio.wait_for(ended.wait(), 5)
        return ended.is_set()

    assert asyncio.run(scenario())


def test_periodic_task_goes_on_after_a_failure():
    """Guards against a watch that ends for good with its first failure."""

    async def scenario() -> int:
        count = 0

        def step() -> None:
            nonlocal count
            count += 1
            raise RuntimeError('a fault')

        task = repeat(step, 0, 'example')
        while count < 3:
            await asyncio.sleep(0)
        task.cancel()
        return count

    with structlog.testing.capture_logs() as lines:
        assert asyncio.run(scenario()) == 3
    assert len(lines) >= 3


def test_cancelled_task_is_not_logged():
    """Guards against a log line for each task that a stop ends."""

    async def scenario() -> None:
        task = spawn(asyncio.sleep(10), 'example')
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.sleep(0)

    with structlog.testing.capture_logs() as lines:
        asyncio.run(scenario())
    assert not lines


def test_health_is_polled_after_a_poll_that_failed():
    """Guards against a node that never notices again that its upstream is down."""
    upstream = _FailingUpstream()

    async def scenario() -> None:
        watch = HealthWatch(SETTINGS, upstream, lambda _: None)
        await watch.start()
        while upstream.polls < 4:
            await asyncio.sleep(0)
        await watch.close()

    with structlog.testing.capture_logs():
        asyncio.run(asyncio.wait_for(scenario(), 5))
