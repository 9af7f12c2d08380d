"""Steps of the feature on planned stops."""

import itertools
import signal
import threading

from behave import given, then, when
from callers import lookup, payment, send
from deployments import pairs_of, state_of, wait_for_idle
from standins.processes import wait_for

CALLERS = 6
RESPONSES_TO_WAIT_FOR = 30
LATENCY_MS = 60
ALLOWED = frozenset(('answered', 'not_run', 'closed'))


class ContinuousLoad:
    """Callers that send payments and lookups to all entries without pause."""

    def __init__(self, entries):
        """Create callers that have not started."""
        self.replies = []
        self._entries = itertools.cycle(entries)
        self._stopped = threading.Event()
        self._threads = [threading.Thread(target=self._call) for _ in range(CALLERS)]

    def start(self):
        """Start calling."""
        for thread in self._threads:
            thread.start()
        self.wait_for_responses()

    def wait_for_responses(self):
        """Wait until ``RESPONSES_TO_WAIT_FOR`` more requests were answered."""
        target = self._count_answered() + RESPONSES_TO_WAIT_FOR
        wait_for(lambda: self._count_answered() >= target, 'more responses')

    def stop(self):
        """Let each caller finish its request."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _count_answered(self):
        return sum(reply.outcome == 'answered' for reply in tuple(self.replies))

    def _call(self):
        while not self._stopped.is_set():
            for work in (payment('/tesoreria/cuotas'), lookup('/tesoreria/cuotas/m1')):
                self.replies.append(send(next(self._entries), work))


@given('workshops pay dues and look them up without pause')
def given_load(context):
    context.deployment = context.deployments.get('guild')
    context.treasury = pairs_of(context.deployment, 'tesoreria')
    for upstream in context.treasury:
        context.deployment.set_behaviour(upstream, latency_ms=LATENCY_MS)
    entries = [pair.caller_url for pair in context.deployment.pairs]
    context.load = ContinuousLoad(entries)
    context.add_cleanup(context.load.stop)
    context.load.start()


@when('a node of the treasury is told to stop and has ended')
def when_node_stops(context):
    node = context.treasury[1].node
    node.send_signal(signal.SIGTERM)
    wait_for(lambda: node.poll() is not None, 'the node to end')
    assert node.returncode == 0, node.returncode
    context.load.wait_for_responses()
    context.load.stop()


@when('an upstream of the treasury drains, stops and starts again')
def when_upstream_stops(context):
    pair = context.treasury[2]
    context.deployment.set_behaviour(pair, state='draining')
    wait_for(lambda: state_of(pair) == 'draining', 'the node to notice')
    wait_for_idle(pair)
    pair.upstream.send_signal(signal.SIGTERM)
    pair.upstream.wait()
    context.load.wait_for_responses()
    context.deployment.start_upstream(pair)
    wait_for(lambda: state_of(pair) == 'ready', 'the node to notice the start')
    context.load.wait_for_responses()
    context.load.stop()


@then("no request was interrupted, and each answer is whole and its caller's own")
def then_complete(context):
    for reply in context.load.replies:
        assert reply.outcome in ALLOWED, reply
        assert reply.outcome != 'answered' or reply.is_own(), reply


@then('nobody was told "not run" of work that ran')
def then_not_run(context):
    ran = {run['request_id'] for run in context.deployment.executions()}
    for reply in context.load.replies:
        assert reply.outcome == 'answered' or reply.work.request_id not in ran, reply
