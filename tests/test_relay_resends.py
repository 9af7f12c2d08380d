"""Tests that a call which another node sends again does not run again."""

import asyncio

import pytest
from gentianmill.outcome import Outcome
from gentianmill.relay_messages import RelayCancel
from gentianmill_mesh.guard_call import GuardReply
from gentianmill_mesh.relay_sender import (
    ANSWER_RETENTION_MS,
    RESEND_MARGIN_MS,
    SENDER_RETENTION_MS,
)
from relay_bench import RelayBench, call

LONG_MS = 12_000
TICK_MS = 250.0


def test_resend_within_the_deadline_never_runs_again():
    """Guards against payments that run twice after a cut longer than answers are kept."""

    async def scenario() -> tuple[int, str, int]:
        bench = RelayBench()
        first = bench.connect()
        await first.send(call(1, time_left_ms=LONG_MS))
        first.lose()
        for _ in range(int(ANSWER_RETENTION_MS / TICK_MS) + 3):
            bench.clock.advance(TICK_MS)
            bench.server.check()
        bench.server.forget_departed_senders()
        second = bench.connect()
        answers = await second.send(call(1, time_left_ms=1000))
        return len(bench.guard.runs), answers[0].outcome, len(answers[0].body)

    assert asyncio.run(scenario()) == (1, Outcome.unknown.value, 0)


def test_answer_is_sent_again_while_it_is_kept():
    """Guards against an unknown outcome where the answer is still there."""

    async def scenario() -> tuple[int, bytes]:
        bench = RelayBench()
        first = bench.connect()
        await first.send(call(1), call(2))
        first.lose()
        bench.clock.advance(ANSWER_RETENTION_MS - 1)
        answers = await bench.connect().send(call(2), call(1))
        return len(bench.guard.runs), answers[1].body

    assert asyncio.run(scenario()) == (2, b'/pay')


def test_refusal_stays_a_refusal():
    """Guards against a call that has not run and is reported as unknown."""

    async def scenario() -> str:
        bench = RelayBench()
        bench.guard.reply = lambda _: GuardReply.not_run('overloaded')
        first = bench.connect()
        await first.send(call(1, time_left_ms=LONG_MS))
        first.lose()
        bench.clock.advance(ANSWER_RETENTION_MS + 1)
        bench.server.check()
        return (await bench.connect().send(call(1)))[0].outcome

    assert asyncio.run(scenario()) == Outcome.not_run.value


@pytest.mark.parametrize('late_ms', [0, SENDER_RETENTION_MS / 2])
def test_call_that_was_forgotten_does_not_run(late_ms: float):
    """Guards against a call that the network delivers after its deadline and runs."""

    async def scenario() -> tuple[int, str]:
        bench = RelayBench()
        first = bench.connect()
        await first.send(call(1, time_left_ms=LONG_MS))
        first.lose()
        bench.clock.advance(LONG_MS + RESEND_MARGIN_MS + 1 + late_ms)
        bench.server.check()
        bench.server.forget_departed_senders()
        answers = await bench.connect().send(call(1))
        return len(bench.guard.runs), answers[0].outcome

    assert asyncio.run(scenario()) == (1, Outcome.unknown.value)


def test_restarted_sender_begins_anew():
    """Guards against refusing the calls of a node that has restarted."""

    async def scenario() -> int:
        bench = RelayBench()
        await bench.connect(incarnation=1).send(call(1))
        await bench.connect(incarnation=2).send(call(1))
        return len(bench.guard.runs)

    assert asyncio.run(scenario()) == 2


def test_departed_senders_are_forgotten():
    """Guards against memory for each node that was ever replaced."""

    async def scenario() -> int:
        bench = RelayBench()
        for incarnation in range(5):
            link = bench.connect(incarnation=incarnation)
            await link.send(call(1))
            link.lose()
        bench.clock.advance(SENDER_RETENTION_MS + 1)
        bench.server.check()
        bench.server.forget_departed_senders()
        return len(bench.server._senders)

    assert asyncio.run(scenario()) == 0


def test_call_and_cancellation_in_one_read_leave_nothing_running():
    """Guards against a stop that waits for a call whose task never began."""

    async def scenario() -> tuple[bool, int]:
        bench = RelayBench()
        await bench.connect().send(call(1), RelayCancel(1))
        return bench.server.busy, len(bench.guard.runs)

    assert asyncio.run(scenario()) == (False, 0)


@pytest.mark.parametrize('is_at_upstream', [False, True])
def test_cancelled_call_that_never_reached_the_upstream_has_not_run(
    is_at_upstream: bool,
):
    """Guards against a 504 for a payment whose time passed in the queue of its guard."""

    async def scenario() -> str:
        bench = RelayBench()
        bench.guard.gate.clear()
        bench.guard.gives_to_upstream = is_at_upstream
        sender = bench.connect()
        await sender.send(call(1))
        answers = await sender.send(RelayCancel(1))
        return answers[0].outcome

    expected = Outcome.unknown if is_at_upstream else Outcome.not_run
    assert asyncio.run(scenario()) == expected.value


def test_call_that_is_cancelled_before_its_task_began_has_not_run():
    """Guards against an unknown outcome of a call that was cancelled in the same read."""

    async def scenario() -> str:
        bench = RelayBench()
        answers = await bench.connect().send(call(1), RelayCancel(1))
        return answers[0].outcome

    assert asyncio.run(scenario()) == Outcome.not_run.value
