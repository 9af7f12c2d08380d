"""Tests of large request bodies that another node sends in parts."""

import asyncio

import pytest
from gentianmill.outcome import Outcome
from gentianmill.relay_messages import RelayCancel, RelayCredit, RelayPart
from gentianmill_mesh.call_upload import RESERVE_WITHIN_S
from gentianmill_mesh.part_sender import PartSender, WholeBody
from relay_bench import BUDGET_BYTES, RelayBench, call

BODY = bytes(range(256)) * 600
"""Larger than a frame, smaller than the window that may be sent at once."""


def _upload(key: int = 1) -> object:
    sent = call(key)
    sent.body_bytes = len(BODY)
    return sent


def _parts(key: int = 1, begin: int = 0) -> list[RelayPart]:
    step = 50_000
    return [
        RelayPart(key, offset, BODY[offset : offset + step], '')
        for offset in range(begin, len(BODY), step)
    ]


def _run(scenario) -> object:
    return asyncio.run(asyncio.wait_for(scenario(), 5))


def test_body_in_parts_runs_once_it_is_whole():
    """Guards against an upstream that gets a part of a payment."""

    async def scenario() -> tuple[int, int, str, int]:
        bench = RelayBench()
        link = bench.connect()
        parts = _parts()
        await link.send(_upload(), *parts[:-1])
        before = len(bench.guard.runs)
        answers = await link.send(parts[-1])
        held = bench.budget.held
        return before, len(bench.guard.runs), answers[-1].outcome, held

    assert _run(scenario) == (0, 1, Outcome.answered.value, len(b'/pay'))


@pytest.mark.parametrize('free_first', [True, False])
def test_body_that_arrived_before_there_was_room_runs(free_first: bool):
    """Guards against a call whose body is there and that never runs."""

    async def scenario() -> int:
        bench = RelayBench()
        taken = bench.budget.reserve(BUDGET_BYTES, lambda: None)
        link = bench.connect()
        parts = _parts()
        if free_first:
            await link.send(_upload(), *parts[:-1])
            taken.release()
            await link.send(parts[-1])
        else:
            await link.send(_upload(), *parts)
            taken.release()
        for _ in range(5):
            await asyncio.sleep(0)
        return len(bench.guard.runs)

    assert _run(scenario) == 1


def test_body_without_room_is_refused_as_not_run():
    """Guards against a call that waits for room until its caller gives up."""

    async def scenario() -> tuple[str, str, int]:
        bench = RelayBench()
        taken = bench.budget.reserve(BUDGET_BYTES, lambda: None)
        link = bench.connect()
        await link.send(_upload(), *_parts())
        await asyncio.sleep(RESERVE_WITHIN_S + 0.1)
        answer = link.socket.frames[-1]
        taken.release()
        return answer.outcome, answer.reason, bench.budget.held

    assert _run(scenario) == (Outcome.not_run.value, 'memory', 0)


def test_sender_that_reconnects_learns_where_to_go_on():
    """Guards against an upload that waits for ever after its link was lost."""

    async def scenario() -> tuple[list[int], int]:
        bench = RelayBench()
        first = bench.connect()
        await first.send(_upload(1), _parts(1)[0])
        first.lose()
        second = bench.connect()
        # The second call was lost on the way, so that its resend is new here.
        answers = await second.send(_upload(1), _upload(2))
        credits = [frame for frame in answers if isinstance(frame, RelayCredit)]
        await second.send(*_parts(1, credits[0].received), *_parts(2))
        return [credit.received for credit in credits], len(bench.guard.runs)

    assert _run(scenario) == ([50_000, 0], 2)


def test_resent_body_waits_for_the_credit():
    """Guards against parts that the receiver already has."""
    sent: list[RelayPart] = []
    sender = PartSender(sent.append, lambda: True)
    sender.add(1, WholeBody(BODY), 0, 0)
    assert not sent
    sender.grant(1, 50_000, len(BODY))
    assert sent[0].offset == 50_000
    assert b''.join(part.content for part in sent) == BODY[50_000:]


def test_cancelled_upload_gives_its_room_back():
    """Guards against room that is lost with each caller that leaves."""

    async def scenario() -> tuple[int, bool, int]:
        bench = RelayBench()
        link = bench.connect()
        await link.send(_upload(), _parts()[0], RelayCancel(1))
        return bench.budget.held, bench.server.busy, len(bench.guard.runs)

    assert _run(scenario) == (0, False, 0)


def test_gap_in_a_body_is_refused():
    """Guards against a body with a gap that runs."""

    async def scenario() -> tuple[str, int]:
        bench = RelayBench()
        link = bench.connect()
        answers = await link.send(_upload(), _parts()[1])
        return answers[-1].outcome, len(bench.guard.runs)

    assert _run(scenario) == (Outcome.not_run.value, 0)
