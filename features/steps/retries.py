"""Steps of the feature on the retry bound."""

from collections import Counter

import yaml
from behave import given, then, when
from callers import lookup, runs, send
from deployments import EXAMPLES, pairs_of
from standins.processes import wait_for

PATH = '/catalogo/articulos/a1'
CHAIN = ('catalogo', 'registro', 'biblioteca')
FAILURE_STATUS = 503


def _count_calls(context, work):
    entry = pairs_of(context.deployment, 'tesoreria')[0].caller_url
    reply = send(entry, work)
    assert reply.status == FAILURE_STATUS, reply
    return Counter(run['service'] for run in runs(context.deployment, work))


def _is_retried(context):
    return _count_calls(context, lookup(PATH))['biblioteca'] > 1


@given('the library fails each call, and the services that call it fail too')
def given_failures(context):
    context.deployment = context.deployments.get('guild')
    for service in CHAIN:
        for pair in pairs_of(context.deployment, service):
            context.deployment.set_behaviour(
                pair, pass_failures=True, fails=service == CHAIN[-1]
            )


@given('retries are allowed by now')
def given_retries(context):
    wait_for(lambda: _is_retried(context), 'the first retry after the start')


@when('a maker asks for an article {count:d} times under the same request id')
def when_resent(context, count):
    # A request whose home node an earlier scenario killed gets no retries: try another.
    wait_for(
        lambda: _is_retried_in_resends(context, count), 'a request that is retried'
    )


def _is_retried_in_resends(context, count):
    work = lookup(PATH)
    for _ in range(count):
        context.calls = _count_calls(context, work)
    return context.calls['biblioteca'] > count


@then("the calls of each service exceed the {count:d} by at most the sheet's bound")
def then_within_bound(context, count):
    sheet = yaml.safe_load((EXAMPLES / 'guild' / 'sheet.yaml').read_text())
    for service in CHAIN:
        retried = context.calls[service] - count
        assert 0 <= retried <= sheet['retry']['bound'], context.calls


@then('the library was tried more than {count:d} times')
def then_tried(context, count):
    assert context.calls['biblioteca'] > count, context.calls
