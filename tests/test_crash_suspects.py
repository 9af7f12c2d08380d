"""Tests of crash suspects at one guard and at several."""

import dataclasses
import heapq
import random
from collections import Counter

import pytest

from gentianmill.crash_suspects import (
    Strike,
    SuspectList,
    SuspectVerdict,
    suspect_owner,
)
from seeds import seeds

WINDOW_MS = 1000


def test_suspect_runs_while_no_other_suspect_runs():
    """Guards against a crash that convicts the wrong one of two suspects."""
    suspects = SuspectList(WINDOW_MS)
    for digest in (b'a', b'b'):
        suspects.start(digest)
    suspects.crash(0)
    assert suspects.check(b'a', 1) is SuspectVerdict.run
    suspects.start(b'a')
    assert suspects.check(b'b', 2) is SuspectVerdict.wait
    assert suspects.check(b'ordinary', 2) is SuspectVerdict.run
    assert suspects.finish(b'a', 3) == Strike(b'a', convicted=False, cleared=True)
    assert suspects.check(b'b', 4) is SuspectVerdict.run


def test_second_crash_with_one_suspect_convicts_it():
    """Guards against a resent request that crashes one upstream after another."""
    suspects = SuspectList(WINDOW_MS)
    suspects.start(b'a')
    suspects.crash(0)
    suspects.start(b'a')
    suspects.start(b'ordinary')
    assert suspects.crash(1) == [Strike(b'a', convicted=True, cleared=False)]
    assert suspects.check(b'a', 2) is SuspectVerdict.refuse
    assert suspects.check(b'ordinary', 2) is SuspectVerdict.run
    assert suspects.check(b'a', 2 + WINDOW_MS) is SuspectVerdict.run


def test_strikes_of_other_guards_count():
    """Guards against a suspect whose crashes are counted for each upstream alone."""
    suspects = SuspectList(WINDOW_MS)
    suspects.merge(Strike(b'a', convicted=False, cleared=False), 0)
    suspects.start(b'a')
    assert suspects.crash(1) == [Strike(b'a', convicted=True, cleared=False)]
    suspects.merge(Strike(b'b', convicted=True, cleared=False), 2)
    assert suspects.check(b'b', 3) is SuspectVerdict.refuse


def test_late_clearing_does_not_revoke_a_conviction():
    """Guards against a delayed strike that readmits a convicted call."""
    suspects = SuspectList(WINDOW_MS)
    suspects.merge(Strike(b'a', convicted=True, cleared=False), 0)
    suspects.merge(Strike(b'a', convicted=False, cleared=True), 1)
    suspects.merge(Strike(b'a', convicted=False, cleared=False), 1)
    assert suspects.check(b'a', 2) is SuspectVerdict.refuse


def test_cancelled_suspect_is_not_cleared():
    """Guards against cancelled resends, which would never lead to a conviction."""
    suspects = SuspectList(WINDOW_MS)
    suspects.start(b'a')
    suspects.crash(0)
    suspects.start(b'a')
    assert suspects.finish(b'a', 1, complete=False) is None
    suspects.start(b'a')
    assert suspects.crash(2) == [Strike(b'a', convicted=True, cleared=False)]


def test_only_the_owner_runs_a_suspect():
    """Guards against a resend to several guards that crashes all of them."""
    suspects = SuspectList(WINDOW_MS, owns=lambda digest: False)
    suspects.merge(Strike(b'a', convicted=False, cleared=False), 0)
    assert suspects.check(b'a', 1) is SuspectVerdict.elsewhere


POISON = b'poison'
GUARDS = [f'guard-{number}' for number in range(6)]
RUN_MS = 60_000.0
LONG_WINDOW_MS = 1e9


@dataclasses.dataclass
class _Guard:
    node_id: str
    suspects: SuspectList
    running: dict[int, bytes] = dataclasses.field(default_factory=dict)
    notified: bool = False
    restarted_ms: float = 0.0


class _Service:
    """Guards of one service, a poison call that crashes upstreams, and other calls.

    All callers resend until they are served or refused. The caller of the poison
    call sends copies to several guards without waiting for a response.
    """

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self._guards = {node_id: self._guard(node_id) for node_id in GUARDS}
        self._events: list = []
        self._sequence = 0
        self._max_delay_ms = self._rng.choice([5, 40, 200])
        self.crashes = Counter()
        self.served: set[bytes] = set()
        self.refused: set[bytes] = set()
        self.ordinary = {f'call {number}'.encode() for number in range(60)}
        for digest in sorted(self.ordinary):
            self._at(self._rng.uniform(0, 3000), 'send', digest)
        for _ in range(30):
            self._at(self._rng.uniform(1000, 4000), 'send', POISON)

    def run(self) -> None:
        while self._events:
            now_ms, _, kind, argument = heapq.heappop(self._events)
            if now_ms <= RUN_MS:
                getattr(self, f'_{kind}')(now_ms, argument)

    def _guard(self, node_id: str) -> _Guard:
        def owns(digest: bytes) -> bool:
            return suspect_owner(digest, GUARDS) == node_id

        return _Guard(node_id, SuspectList(LONG_WINDOW_MS, owns))

    def _at(self, at_ms: float, kind: str, argument) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (at_ms, self._sequence, kind, argument))

    def _send(self, now_ms: float, digest: bytes) -> None:
        guard = self._guards[self._rng.choice(GUARDS)]
        self._arrive(now_ms, (guard, digest))

    def _arrive(self, now_ms: float, pair: tuple[_Guard, bytes]) -> None:
        guard, digest = pair
        if now_ms < guard.restarted_ms:
            self._at(now_ms + 50, 'arrive', pair)
            return
        verdict = guard.suspects.check(digest, now_ms)
        if verdict is SuspectVerdict.refuse:
            self.refused.add(digest)
        elif verdict is SuspectVerdict.elsewhere:
            owner = self._guards[suspect_owner(digest, GUARDS)]
            self._at(now_ms + 1, 'arrive', (owner, digest))
        elif verdict is SuspectVerdict.wait:
            self._at(now_ms + 5, 'arrive', pair)
        else:
            self._start(now_ms, guard, digest)

    def _start(self, now_ms: float, guard: _Guard, digest: bytes) -> None:
        guard.suspects.start(digest)
        self._sequence += 1
        call = self._sequence
        guard.running[call] = digest
        run_ms = self._rng.uniform(10, 400)
        kind = 'crash' if digest == POISON else 'finish'
        self._at(now_ms + run_ms, kind, (guard, call, guard.notified))

    def _finish(self, now_ms: float, ended: tuple[_Guard, int, bool]) -> None:
        guard, call, _ = ended
        digest = guard.running.pop(call, None)
        if digest is None:
            return
        self.served.add(digest)
        strike = guard.suspects.finish(digest, now_ms)
        if strike is not None:
            self._broadcast(now_ms, guard, [strike])

    def _crash(self, now_ms: float, ended: tuple[_Guard, int, bool]) -> None:
        guard, call, notified = ended
        if call not in guard.running:
            return
        self.crashes['known' if notified else 'running'] += 1
        self._broadcast(now_ms, guard, guard.suspects.crash(now_ms))
        guard.notified = True
        guard.restarted_ms = now_ms + self._rng.uniform(0, 500)
        for digest in guard.running.values():
            self._at(now_ms + self._rng.uniform(1, 50), 'send', digest)
        guard.running.clear()

    def _broadcast(self, now_ms: float, sender: _Guard, strikes: list[Strike]) -> None:
        for guard in self._guards.values():
            if guard is not sender:
                delay_ms = self._rng.uniform(0.5, self._max_delay_ms)
                self._at(now_ms + delay_ms, 'strikes', (guard, strikes))

    def _strikes(self, now_ms: float, pair: tuple[_Guard, list[Strike]]) -> None:
        guard, strikes = pair
        for strike in strikes:
            guard.suspects.merge(strike, now_ms)
            guard.notified = guard.notified or strike.digest == POISON


@pytest.mark.parametrize('seed', seeds(20))
def test_poison_call_is_refused_and_other_calls_are_served(seed):
    """Guards against a chain of crashes, and refusal of calls beside the poison call.

    The first crash and one trial at the owner are allowed, apart from copies that
    started at a guard before it was notified of the first crash.
    """
    service = _Service(seed)
    service.run()
    assert service.crashes['running'] >= 1
    assert service.crashes['known'] <= 1
    assert POISON in service.refused
    assert service.ordinary <= service.served
    assert service.refused == {POISON}
