"""Tests of first attempts beside callers that retry at once and often.

The loads are played on the admission of one entry and the queue of one guard, in virtual time.
"""

import asyncio
import dataclasses
import functools
import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable

import pytest
from aiohttp import web
from gentianmill.admission_share import ShareTable
from gentianmill.fair_queue import FairQueue
from gentianmill.return_time import return_after_ms
from gentianmill.route_rules import Destination, RouteRule
from gentianmill.tree_costs import TreeCosts
from gentianmill.work_queue import Dispatch, WorkItem, WorkQueue
from gentianmill_mesh.entry_admission import EntryAdmission
from gentianmill_mesh.guard_call import GuardCall, GuardReply
from gentianmill_mesh.upstream_guard import UpstreamGuard
from mesh_deployment import Deployment

SLOTS = 20
SERVICE_MS = 100.0
TIME_MS = 3000.0
WAIT_MS = 1000.0
PLAYED_MS = 40_000.0
OVERLOAD = 1.3
ABUSERS = 0.1
HURRIED_MS = 20.0
"""Pause of a caller that does not wait as told."""

TEAMS = 'ants', 'bees'
KINDS = 'read', 'list'


def _rule(name: str) -> RouteRule:
    return RouteRule(
        name=name,
        host='h',
        prefix=f'/{name}',
        destinations=(Destination('s', 1),),
        repeatable=True,
        bulk=False,
        timeout_ms=5000,
        target_latency_ms=1000,
        max_attempts=2,
        priority=0,
    )


RULES = {name: _rule(name) for name in KINDS}


class _Clock:
    """A clock that the test sets."""

    time_ms = float(0)

    def now_ms(self) -> float:
        """Return the time."""
        return self.time_ms


def _admission(clock: _Clock) -> EntryAdmission:
    return EntryAdmission(ShareTable(), TreeCosts(random.Random(1)), clock)


@dataclasses.dataclass(eq=False, slots=True)
class _Caller:
    team: str
    kind: str
    end_ms: float
    is_hurried: bool
    attempts: int = 0
    served_attempt: int = 0


class _Day:
    """Callers, an entry and an upstream with too few slots."""

    def __init__(self, seed: int, abusers: float, *, tells_repeats: bool = True):
        self.rng = random.Random(seed)
        self.callers: list[_Caller] = []
        self._clock = _Clock()
        self._admission = _admission(self._clock)
        self._queue = WorkQueue(SLOTS, SLOTS * 6)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._sent: dict[WorkItem, _Caller] = {}
        self._tells_repeats = tells_repeats
        self._pauses = random.Random(seed + 1)
        gap_ms = SERVICE_MS / SLOTS / OVERLOAD
        now_ms = float(0)
        while now_ms < PLAYED_MS:
            now_ms += self.rng.expovariate(1 / gap_ms)
            caller = _Caller(
                self.rng.choice(TEAMS),
                self.rng.choice(KINDS),
                now_ms + TIME_MS,
                self.rng.random() < abusers,
            )
            self.callers.append(caller)
            self._at(now_ms, functools.partial(self._send, caller))

    def play(self) -> '_Day':
        """Play all events."""
        while self._events:
            at_ms, _, act = heapq.heappop(self._events)
            self._clock.time_ms = at_ms
            act()
        return self

    def served(self, *, hurried: bool | None = False, first: bool = False) -> float:
        """Return the fraction of callers that are served, at the first attempt or at all."""
        chosen = [
            caller for caller in self.callers if hurried in {None, caller.is_hurried}
        ]
        limit = 1 if first else 10**6
        served = sum(1 for caller in chosen if 0 < caller.served_attempt <= limit)
        return served / len(chosen)

    def served_by(self, key: Callable[[_Caller], str]) -> list[float]:
        """Return the fraction of callers that are served, by team or kind."""
        asked = Counter(map(key, self.callers))
        served = Counter(key(one) for one in self.callers if one.served_attempt)
        return [served[name] / count for name, count in asked.items()]

    def _at(self, at_ms: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_ms, next(self._order), act))

    def _send(self, caller: _Caller) -> None:
        now_ms = self._clock.time_ms
        left_ms = int(caller.end_ms - now_ms)
        if left_ms < SERVICE_MS:
            return
        caller.attempts += 1
        rule = RULES[caller.kind]
        is_repeat = self._admission.is_repeat(rule, caller.team, left_ms)
        item = WorkItem(
            0,
            caller.end_ms,
            expected_ms=SERVICE_MS,
            max_wait_ms=min(WAIT_MS, left_ms / 2),
            flow=caller.team,
            kind=caller.kind,
            is_repeat=is_repeat and self._tells_repeats,
        )
        self._sent[item] = caller
        dispatch = self._queue.offer(item, now_ms)
        self._apply(dispatch)
        if item.started_ms is None and item not in dispatch.refused:
            self._at(now_ms + item.max_wait_ms, lambda: self._time_out(item))

    def _time_out(self, item: WorkItem) -> None:
        if item.started_ms is None and not item.dropped:
            self._queue.withdraw(item)
            self._refuse(item)

    def _apply(self, dispatch: Dispatch) -> None:
        now_ms = self._clock.time_ms
        for item in dispatch.started:
            self._at(now_ms + SERVICE_MS, functools.partial(self._finish, item))
        for item in dispatch.refused:
            self._refuse(item)

    def _finish(self, item: WorkItem) -> None:
        caller = self._sent.pop(item)
        caller.served_attempt = caller.attempts
        self._apply(self._queue.finish(item, self._clock.time_ms))

    def _refuse(self, item: WorkItem) -> None:
        caller, now_ms = self._sent.pop(item), self._clock.time_ms
        left_ms = caller.end_ms - now_ms
        pause_ms = return_after_ms(0.8, left_ms, self._pauses)
        self._admission.note_refusal(caller.kind, caller.team, caller.end_ms, pause_ms)
        if caller.is_hurried:
            pause_ms = HURRIED_MS
        self._at(now_ms + pause_ms, lambda: self._send(caller))


@pytest.mark.parametrize('seed', range(3))
def test_callers_that_retry_at_once_take_nothing_from_the_others(seed):
    """Guards against retries that crowd out first attempts, and callers that waited."""
    without, crowded = _Day(seed, 0).play(), _Day(seed, ABUSERS).play()
    assert crowded.served(first=True) >= without.served(first=True) - 0.02
    assert crowded.served() >= without.served() - 0.02
    everyone = crowded.served(hurried=None)
    for part in (lambda one: one.team, lambda one: one.kind):
        assert min(crowded.served_by(part)) >= everyone / 4


def _team_admission() -> tuple[_Clock, EntryAdmission]:
    clock = _Clock()
    admission = _admission(clock)
    assert not admission.is_repeat(RULES['read'], 'ants', TIME_MS)
    admission.note_refusal('read', 'ants', TIME_MS, 500)
    return clock, admission


def test_a_caller_that_waited_as_told_is_not_a_repeat():
    """Guards against callers that are put last although they did what they were told."""
    clock, admission = _team_admission()
    clock.time_ms = 500
    assert not admission.is_repeat(RULES['read'], 'ants', TIME_MS - 501)
    assert admission.is_repeat(RULES['read'], 'ants', TIME_MS - 700)


def test_a_caller_that_returns_early_is_a_repeat():
    """Guards against callers that gain a place by retrying at once."""
    clock, admission = _team_admission()
    clock.time_ms = 200
    assert admission.is_repeat(RULES['read'], 'ants', TIME_MS - 200)
    assert not admission.is_repeat(RULES['read'], '', TIME_MS - 200)


def test_a_repeat_goes_after_the_other_requests_of_its_team_only():
    """Guards against an order among teams that depends on their repeats."""
    queue: FairQueue[str] = FairQueue()
    queue.push('repeat-1', 'ants', 10, is_repeat=True)
    queue.push('repeat-2', 'ants', 10, is_repeat=True)
    queue.push('bee', 'bees', 20)
    queue.push('first-1', 'ants', 10)
    queue.push('first-2', 'ants', 10)
    started = []
    while queue:
        item = queue.peek()
        queue.start(item)
        started.append(item)
    ants = [item for item in started if item != 'bee']
    assert ants[:2] == ['first-1', 'first-2']
    assert set(ants[2:]) == {'repeat-1', 'repeat-2'}
    assert started.index('bee') in {1, 2}


def test_repeats_without_a_team_keep_their_order():
    """Guards against another order where no teams are configured."""
    queue = WorkQueue(1, 10)
    running = WorkItem(0, 10_000)
    queue.offer(running, 0)
    repeat = WorkItem(0, 10_000, is_repeat=True)
    queue.offer(repeat, 0)
    queue.offer(WorkItem(0, 10_000), 0)
    assert queue.finish(running, 10).started == [repeat]


async def _serve(_request: web.BaseRequest) -> web.StreamResponse:
    return web.Response(body=b'served')


async def _marks(teams: tuple, monkeypatch: pytest.MonkeyPatch) -> list[set[bool]]:
    """Return how a guard sees a first attempt, an early retry, and one that has waited."""
    marks: list[bool] = []

    async def refuse(_guard: UpstreamGuard, call: GuardCall) -> GuardReply:
        marks.append(call.is_repeat)
        return GuardReply.not_run('overloaded')

    async with Deployment(_serve, teams) as deployment:
        monkeypatch.setattr(UpstreamGuard, 'run', refuse)
        loop = asyncio.get_running_loop()
        end_s = loop.time() + 4
        seen: list[set[bool]] = []
        pause_s = float(0)
        for wait_s in (0, 0.1, None):
            await asyncio.sleep(pause_s if wait_s is None else wait_s)
            left_ms = int((end_s - loop.time()) * 1000)
            marks.clear()
            _, _, headers = await deployment.call(
                '/read/a', X_Key='Pass k', X_Time_Left=str(left_ms)
            )
            pause_s = float(headers['Retry-After'])
            seen.append(set(marks))
        return seen


@pytest.mark.parametrize('has_teams', [True, False])
def test_a_guard_is_told_which_callers_return_early(has_teams, monkeypatch):
    """Guards against a mark that is lost on the way, and one where there are no teams."""
    teams = (('ants', ('k',), None),) if has_teams else ()
    seen = asyncio.run(asyncio.wait_for(_marks(teams, monkeypatch), 20))
    assert seen == [{False}, {has_teams}, {False}]
