"""Tests of payments while nodes, upstreams and the table fail."""

import contextlib
import signal
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import AbstractAsyncContextManager

import pytest

from payment_load import PaymentLoad
from gentianmill.outcome import Outcome
from process_deployments import SHEET_FILE, upstream_specs, run_with_timeout, wait_until
from standins.processes import Deployment, running

SERVICES = ('tesoreria', 'tesoreria', 'tesoreria', 'catalogo')
LATENCY_MS = 30
MORE_PAYMENTS = 12
Fault = Callable[[Deployment, PaymentLoad], AbstractAsyncContextManager[None]]


@pytest.fixture(scope='module')
def deployment(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    """Run a deployment with three upstreams for payments."""
    folder = tmp_path_factory.mktemp('crashes')
    with running(folder, SHEET_FILE, upstream_specs(SERVICES, LATENCY_MS)) as started:
        yield started


@contextlib.asynccontextmanager
async def _killed_node(deployment: Deployment, _: PaymentLoad) -> AsyncIterator[None]:
    pair = deployment.pairs[0]
    pair.node.kill()
    pair.node.wait()
    yield
    deployment.start_node(pair)


@contextlib.asynccontextmanager
async def _killed_upstream(
    deployment: Deployment, _: PaymentLoad
) -> AsyncIterator[None]:
    pair = deployment.pairs[1]
    pair.upstream.kill()
    pair.upstream.wait()
    yield
    deployment.start_upstream(pair)


@contextlib.asynccontextmanager
async def _paused_node(deployment: Deployment, _: PaymentLoad) -> AsyncIterator[None]:
    node = deployment.pairs[2].node
    node.send_signal(signal.SIGSTOP)
    try:
        yield
    finally:
        node.send_signal(signal.SIGCONT)


@contextlib.asynccontextmanager
async def _lost_responses(
    deployment: Deployment, _: PaymentLoad
) -> AsyncIterator[None]:
    deployment.set_faults(mode='lose_answers')
    try:
        yield
    finally:
        deployment.set_faults()


FAULTS: dict[str, Fault] = {
    'killed upstream': _killed_upstream,
    'lost answers of the table': _lost_responses,
    'paused node': _paused_node,
    'killed node': _killed_node,
}


@pytest.mark.parametrize('fault', list(FAULTS))
def test_payments_run_at_most_once(deployment: Deployment, fault: str):
    """Guards against a payment that a fault duplicates, loses or mixes up."""
    load = PaymentLoad(deployment, fault.replace(' ', '-'))

    async def pay() -> None:
        async with load.sending():
            await load.wait_for_answered(MORE_PAYMENTS)
            async with FAULTS[fault](deployment, load):
                await load.wait_for_answered(MORE_PAYMENTS)
            await load.wait_for_answered(MORE_PAYMENTS)

    run_with_timeout(pay())
    assert load.violations() == []


def test_payments_during_an_outage_of_the_table(deployment: Deployment):
    """Guards against a payment that runs without a claim, or is lost, in an outage."""
    load = PaymentLoad(deployment, 'outage')

    async def pay() -> None:
        async with load.sending():
            await load.wait_for_answered(MORE_PAYMENTS)
            deployment.set_faults(mode='down')
            sent = len(load.history.calls)
            await wait_until(lambda: len(load.history.calls) > sent + 2 * MORE_PAYMENTS)
            deployment.set_faults()
            await load.wait_for_answered(MORE_PAYMENTS)

    run_with_timeout(pay())
    assert load.violations() == []
    outcomes = [call.completion.outcome for call in load.history.calls]
    assert Outcome.not_run in outcomes
