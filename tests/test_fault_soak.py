"""Tests of the fault soak: short runs with seeds that found faults, and its checks."""

import asyncio
import math

import aiohttp
import pytest
from fault_soak.callers import RequestOutcome
from fault_soak.deployment import run_soak
from fault_soak.faults import Faults
from fault_soak.invariants import beyond_retry_budget, interrupted, violated_invariants
from fault_soak.version_watch import VersionWatch
from fault_soak.vm import Vm

SECONDS = 6
VMS = 4

OWN_BODY = b'r1 back' * 20


class _Upstream:
    def __init__(self, ran: dict[str, int]) -> None:
        self.ran = ran
        self.arrivals: list[tuple[float, str]] = []
        self.violations: list[str] = []


class _VmStub(Vm):
    def __init__(self, **ran: int) -> None:
        self.upstream = _Upstream(ran)
        self.unexpected_exits: list[int] = []
        self.peak_memory_bytes = 0


class _Faults(Faults):
    def __init__(self) -> None:
        self.late_stops: list[str] = []


def _result(
    status: int, body: bytes = OWN_BODY, *, unsafe: bool = True
) -> RequestOutcome:
    return RequestOutcome('r1', unsafe, status, body, 0)


def _violations(outcome: RequestOutcome, **ran: int) -> list[str]:
    lines = violated_invariants([outcome], [_VmStub(**ran)], _Faults(), (1, math.inf))
    return [line for line in lines if line.startswith('r1')]


@pytest.mark.parametrize(
    ('seed', 'planned'),
    [
        (7, True),
        (7, False),
        # A node that got the signal to reload during its start exited by itself.
        (9, True),
    ],
)
def test_no_invariant_is_violated(seed: int, planned: bool):
    """Guards against faults that show only with real processes and signals."""
    soak = asyncio.run(run_soak(seed, SECONDS, VMS, planned=planned))
    assert not soak.violations
    assert soak.served > 100


def test_double_execution_is_noticed():
    """Guards against a soak that passes although an unsafe request ran twice."""
    assert _violations(_result(200), r1=2)
    assert not _violations(_result(200), r1=1)
    assert not _violations(_result(200, unsafe=False), r1=2)


def test_false_refusal_is_noticed():
    """Guards against reporting a payment that ran as refused: its caller pays again."""
    assert _violations(_result(503), r1=1)
    assert not _violations(_result(503))
    assert not _violations(_result(504), r1=1)


def test_foreign_and_truncated_responses_are_noticed():
    """Guards against a caller that receives the response to another request."""
    assert _violations(_result(200, b'r2 back' * 20), r1=1)
    assert _violations(_result(200, OWN_BODY[:-1]), r1=1)
    assert _violations(_result(200))


def test_interrupted_request_is_noticed():
    """Guards against planned work that interrupts a request."""
    assert interrupted([_result(0)], [_VmStub(r1=1)])
    assert not interrupted([_result(0)], [_VmStub()])


def test_retries_beyond_the_retry_budget_are_noticed():
    """Guards against a soak that passes however much the retry budget admits."""
    sent = [number / 10 for number in range(100)]
    first, second = _VmStub(), _VmStub()
    first.upstream.arrivals = [(at_s, f'r{at_s}') for at_s in sent]
    second.upstream.arrivals = [(at_s + 0.1, f'r{at_s}') for at_s in sent[:24]]
    assert not beyond_retry_budget(sent, [first, second])
    second.upstream.arrivals.append((7, 'r0.5'))
    assert beyond_retry_budget(sent, [first, second])


class _VersionedVm(_VmStub):
    """Reports versions of the rules one after the other, then the last one."""

    def __init__(self, *versions: tuple[int, int]) -> None:
        super().__init__()
        self.name = 'vm'
        self._versions = list(versions)

    async def rules_version(self, _session: aiohttp.ClientSession) -> tuple[int, int]:
        return self._versions.pop(0) if len(self._versions) > 1 else self._versions[0]


async def _watch(vm: Vm, version: int) -> tuple[list[str], list[str]]:
    watch = VersionWatch([vm])
    watch.start()
    late = await watch.until_in_force(version)
    await watch.stop()
    return late, watch.violations


@pytest.mark.parametrize(
    ('versions', 'went_back'),
    [([(1, 5), (1, 3), (1, 6)], 1), ([(1, 5), (2, 3), (2, 6)], 0), ([(1, 6)], 0)],
)
def test_rules_that_go_back_are_noticed(
    versions: list[tuple[int, int]], went_back: int
):
    """Guards against a soak that passes although a process returns to older rules."""
    late, violations = asyncio.run(_watch(_VersionedVm(*versions), 6))
    assert not late
    assert len(violations) == went_back


def test_rules_that_stay_old_are_noticed(monkeypatch: pytest.MonkeyPatch):
    """Guards against a soak that passes although a change never comes into force."""
    monkeypatch.setattr('fault_soak.version_watch.APPLY_LIMIT_S', 0.5)
    late, _ = asyncio.run(_watch(_VersionedVm((1, 5)), 6))
    assert late == ['vm has version 5 instead of 6']
