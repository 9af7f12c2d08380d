"""Steps of the feature on the outcome ``not_run``."""

from concurrent.futures import ThreadPoolExecutor
from types import MappingProxyType

from behave import given, then, when
from callers import lookup, payment, runs, send, send_all, send_until_accepted
from deployments import CASCADIA_SLOTS, kill, pair_at, pairs_of, wait_for_idle
from standins.processes import wait_for

WORK = MappingProxyType(
    {
        'dues payment': ('guild', '/tesoreria/cuotas'),
        'completion': ('cascadia', '/dispatch/job-sheets/j7/completion'),
    }
)
LONG_MS = 3000
SHORT_DEADLINE_MS = '300'
OCCUPYING_LOOKUPS = CASCADIA_SLOTS * 4


def _treasury(context):
    context.deployment = context.deployments.get('guild')
    return pairs_of(context.deployment, 'tesoreria')


def _behave_all(context, pairs, **changes):
    for pair in pairs:
        context.deployment.set_behaviour(pair, **changes)


def _resend(context):
    entry = context.deployment.pairs[-1].caller_url
    context.replies = [
        send_until_accepted(entry, reply.work) for reply in context.replies
    ]


@given('the table that keeps {kind}s is down')
def given_down(context, kind):
    context.deployment = context.deployments.get(WORK[kind][0])
    context.deployment.set_faults(mode='down')


@given('all upstreams of the treasury are full')
def given_full(context):
    _behave_all(context, _treasury(context), queue_limit=0)


@given('all upstreams of the treasury are down')
def given_upstreams_down(context):
    for pair in _treasury(context):
        kill(pair.upstream)


@given("an estimator's long statements occupy billing")
def given_occupied(context):
    context.deployment = context.deployments.get('cascadia')
    context.billing = pairs_of(context.deployment, 'billing')
    _behave_all(context, context.billing, latency_ms=LONG_MS)
    entry = context.billing[0].caller_url
    context.pool = ThreadPoolExecutor(OCCUPYING_LOOKUPS)
    context.add_cleanup(context.pool.shutdown)
    occupying = [
        lookup(f'/billing/deposits/slow{number}') for number in range(OCCUPYING_LOOKUPS)
    ]
    for work in occupying:
        context.pool.submit(send, entry, work)
    wait_for(lambda: _some_run(context, occupying), 'billing to be occupied')


def _some_run(context, works):
    started = sum(bool(runs(context.deployment, work)) for work in works)
    return started >= CASCADIA_SLOTS * len(context.billing)


@when('each entry gets a {kind} of a {payer}')
def when_sent(context, kind, payer):
    path = WORK[kind][1]
    entries = [pair.caller_url for pair in context.deployment.pairs]
    context.replies = send_all((entry, payment(path)) for entry in entries)


@when('the table is back and the same payments are resent')
def when_table_back(context):
    context.deployment.set_faults()
    _resend(context)


@when('the treasury has capacity again and the same payments are resent')
def when_capacity(context):
    _behave_all(context, _treasury(context), queue_limit=1000)
    _resend(context)


@when('a workshop sends a dues payment and the upstream that runs it is killed')
def when_upstream_killed(context):
    work = payment('/tesoreria/cuotas')
    entry = context.deployment.pairs[-1].caller_url
    with ThreadPoolExecutor(1) as pool:
        sending = pool.submit(send, entry, work)
        wait_for(lambda: runs(context.deployment, work), 'the payment to run')
        port = runs(context.deployment, work)[0]['port']
        kill(pair_at(context.deployment, port).upstream)
        context.reply = sending.result()


@when('homeowners ask for deposits with little time left')
def when_little_time(context):
    works = [
        lookup(f'/billing/deposits/d{number}', X_Deadline_Ms=SHORT_DEADLINE_MS)
        for number in range(OCCUPYING_LOOKUPS)
    ]
    entry = context.billing[0].caller_url
    context.replies = send_all((entry, work) for work in works)


@then('each is told that it did not run, and none ran')
def then_not_run(context):
    for reply in context.replies:
        assert reply.outcome == 'not_run', reply
        assert not runs(context.deployment, reply.work), reply


@then('each is answered and ran once')
def then_answered(context):
    for reply in context.replies:
        assert reply.outcome == 'answered', reply
        assert len(runs(context.deployment, reply.work)) == 1, reply


@then('the workshop is told "unknown", because the payment may have run')
def then_unknown(context):
    assert context.reply.outcome == 'unknown', context.reply


@then('each that is told "not run" never runs')
def then_never(context):
    context.pool.shutdown()
    for pair in context.billing:
        wait_for_idle(pair)
    for reply in _not_run_replies(context):
        assert not runs(context.deployment, reply.work), reply


@then('some of them were told "not run"')
def then_some(context):
    assert _not_run_replies(context), context.replies


def _not_run_replies(context):
    return [reply for reply in context.replies if reply.outcome == 'not_run']
