"""Steps of the feature on content that crashes upstreams."""

from behave import then, when
from callers import payment, runs, send, send_until_accepted
from deployments import pairs_of
from standins.processes import wait_for
from standins.upstream import CRASH_MARK

PATH = '/tesoreria/cuotas'
REFUSED = frozenset(('crash_suspect',))


class Resends:
    """Send one content to each entry, each time with a new idempotency key."""

    def __init__(self, deployment):
        """Create a caller that has not sent anything."""
        self.sent = []
        self.other_replies = []
        self._deployment = deployment
        self._treasury = pairs_of(deployment, 'tesoreria')

    def are_refused(self):
        """Send to all entries and return whether each refused the content."""
        return {
            self._send(pair.caller_url) for pair in self._deployment.pairs
        } == REFUSED

    def _send(self, entry):
        reply = send(entry, payment(PATH, CRASH_MARK))
        self.sent.append(reply.work)
        self.other_replies.append(send_until_accepted(entry, payment(PATH)))
        for pair in self._treasury:
            if pair.upstream.poll() is not None:
                self._deployment.start_upstream(pair)
        return reply.code


@when(
    'a workshop resends a dues payment that crashes upstreams'
    ' until all entries refuse it'
)
def when_resent(context):
    context.deployment = context.deployments.get('guild')
    context.resends = Resends(context.deployment)
    wait_for(context.resends.are_refused, 'all entries to refuse the content')


@then('it ran on at most {bound:d} upstreams')
def then_bounded(context, bound):
    count = sum(len(runs(context.deployment, work)) for work in context.resends.sent)
    assert 0 < count <= bound, count


@then('every other dues payment sent in between was answered whole')
def then_others_answered(context):
    for reply in context.resends.other_replies:
        assert reply.outcome == 'answered', reply
        assert reply.is_own(), reply
