"""Steps of the feature on payments that run at most once."""

import dataclasses
from concurrent.futures import ThreadPoolExecutor
from types import MappingProxyType

from behave import given, then, when
from callers import payment, runs, send, send_all
from deployments import kill, pair_at, pairs_of
from standins.processes import wait_for

PATHS = MappingProxyType(
    {
        'dues payment': ('guild', '/tesoreria/cuotas'),
        "maker's order": ('guild', '/catalogo/pedidos'),
        'deposit': ('cascadia', '/billing/deposits'),
        'completion': ('cascadia', '/dispatch/job-sheets/j7/completion'),
    }
)
LONG_MS = 3000
RESEND_DEADLINE_MS = '1000'


def _deployment(context, kind):
    name, path = PATHS[kind]
    context.deployment = context.deployments.get(name)
    return path


def _entries(context):
    return [pair.caller_url for pair in context.deployment.pairs]


def _new_payment(context, kind):
    context.work = payment(_deployment(context, kind))
    return context.work


def _service(kind):
    return PATHS[kind][1].split('/')[1]


@given('the table of {kind}s loses the answers to its writes')
def given_lost_responses(context, kind):
    _deployment(context, kind)
    context.deployment.set_faults(mode='lose_answers')


@given('a {kind} takes long')
def given_long(context, kind):
    _deployment(context, kind)
    for pair in pairs_of(context.deployment, _service(kind)):
        context.deployment.set_behaviour(pair, latency_ms=LONG_MS)


@when('a {payer} sends a {kind} and resends it over every entry')
def when_resent(context, payer, kind):
    work = _new_payment(context, kind)
    context.replies = [send(entry, work) for entry in _entries(context)]


@when('a {payer} sends a {kind} to every entry at once')
def when_at_once(context, payer, kind):
    work = _new_payment(context, kind)
    context.replies = send_all((entry, work) for entry in _entries(context))


@when('a {payer} sends a {kind} and another amount with the same key')
def when_key_reused(context, payer, kind):
    work = _new_payment(context, kind)
    first = send(_entries(context)[0], work)
    assert first.outcome == 'answered', first
    other = dataclasses.replace(work, body=b'another amount')
    context.replies = [send(entry, other) for entry in _entries(context)]


@when('a {payer} sends a {kind} and the node that runs it is killed')
def when_killed(context, payer, kind):
    work = _new_payment(context, kind)
    others = [
        pair for pair in context.deployment.pairs if pair.spec.service != _service(kind)
    ]
    with ThreadPoolExecutor(1) as pool:
        sending = pool.submit(send, others[0].caller_url, work)
        wait_for(lambda: runs(context.deployment, work), 'the payment to run')
        port = runs(context.deployment, work)[0]['port']
        context.killed = pair_at(context.deployment, port)
        kill(context.killed.node)
        context.reply = sending.result()


@then('every resend gets the first answer whole')
def then_first_response(context):
    for reply in context.replies:
        assert reply.outcome == 'answered', reply
        assert reply.is_own(), reply
        assert reply.body == context.replies[0].body, reply


@then('the payment ran once')
def then_once(context):
    ran = runs(context.deployment, context.work)
    assert len(ran) == 1, ran


@then('the second is refused as a reused key over every entry')
def then_reused(context):
    for reply in context.replies:
        assert (reply.status, reply.code) == (422, 'key_reused'), reply
        assert reply.outcome == 'not_run', reply


@then('the payer is told that the outcome is unknown')
def then_unknown(context):
    assert context.reply.outcome == 'unknown', context.reply


@then('every resend over the other entries is told the same')
def then_still_unknown(context):
    limited = {**context.work.headers, 'X-Deadline-Ms': RESEND_DEADLINE_MS}
    work = dataclasses.replace(context.work, headers=limited)
    remaining = [
        pair for pair in context.deployment.pairs if pair is not context.killed
    ]
    for reply in send_all((pair.caller_url, work) for pair in remaining):
        assert reply.outcome == 'unknown', reply
