"""Tests of the order of requests that wait for an upstream."""

from gentianmill.work_queue import WorkItem, WorkQueue

FAR_MS = 10_000.0


def _item(
    rank: int = 0, deadline_ms: float = FAR_MS, expected_ms: float = 0
) -> WorkItem:
    return WorkItem(rank=rank, deadline_ms=deadline_ms, expected_ms=expected_ms)


def test_running_requests_stay_within_the_limit():
    """Guards against an upstream that hangs when it gets more requests than its slots."""
    queue = WorkQueue(1, 10)
    first, second = _item(), _item()
    assert queue.offer(first, 0).started == [first]
    assert queue.offer(second, 0).started == []
    assert queue.finish(first, 5).started == [second]


def test_lowest_rank_goes_first():
    """Guards against work of an admitted request that waits behind new requests."""
    queue = WorkQueue(1, 10)
    running, late, early = _item(), _item(rank=5), _item(rank=1)
    for item in (running, late, early):
        queue.offer(item, 0)
    assert queue.finish(running, 1).started == [early]


def test_work_that_would_miss_its_deadline_is_refused():
    """Guards against a slot used for work whose caller will have left."""
    queue = WorkQueue(1, 10)
    running, too_late, waiting = _item(), _item(0, 50, 60), _item(1)
    for item in (running, too_late, waiting):
        queue.offer(item, 0)
    dispatch = queue.finish(running, 10)
    assert dispatch.refused == [too_late]
    assert dispatch.started == [waiting]


def test_full_queue_refuses_the_least_important():
    """Guards against early unimportant work that keeps important work out."""
    queue = WorkQueue(1, 1)
    running, minor, major = _item(), _item(rank=9), _item(rank=0)
    queue.offer(running, 0)
    queue.offer(minor, 0)
    assert queue.offer(major, 0).refused == [minor]


def test_withdrawn_work_leaves_the_queue():
    """Guards against a caller that left but still counts in the backlog."""
    queue = WorkQueue(1, 10)
    running, withdrawn = _item(), _item()
    queue.offer(running, 0)
    queue.offer(withdrawn, 0)
    queue.withdraw(withdrawn)
    assert queue.queued == 0
    assert queue.finish(running, 1).started == []


def test_more_slots_start_waiting_work():
    """Guards against a larger limit that takes effect only with the next request."""
    queue = WorkQueue(1, 10)
    items = [_item(), _item(), _item()]
    for item in items:
        queue.offer(item, 0)
    assert queue.resize(3, 10, 0).started == items[1:]
