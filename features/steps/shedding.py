"""Steps of the feature on the order of shedding."""

from behave import given, then, when
from callers import lookup, runs, send_all
from deployments import CASCADIA_SLOTS, pairs_of

FACTS = 'facts'
SEARCH = 'search'


@given('templates have {slots:d} slots and each lookup takes {latency_ms:d} ms')
def given_slow(context, slots, latency_ms):
    context.deployment = context.deployments.get('cascadia')
    pair = pairs_of(context.deployment, 'templates')[0]
    assert slots == CASCADIA_SLOTS
    context.deployment.set_behaviour(pair, latency_ms=latency_ms)
    context.entry = pair.caller_url


@when(
    '{facts:d} applications ask for template facts'
    ' and {searches:d} crews search templates at once'
)
def when_burst(context, facts, searches):
    works = [lookup(f'/templates/templates/t{number}') for number in range(facts)]
    works += [lookup('/templates/templates') for _ in range(searches)]
    replies = send_all((context.entry, work) for work in works)
    context.replies = {FACTS: replies[:facts], SEARCH: replies[facts:]}


@then('every search is answered whole')
def then_answered(context):
    for reply in context.replies[SEARCH]:
        assert reply.outcome == 'answered', reply
        assert reply.is_own(), reply


@then('some lookups of applications were refused as overloaded')
def then_refused(context):
    codes = [reply.code for reply in context.replies[FACTS]]
    assert 'overloaded' in codes, codes


@then('no refused lookup ran')
def then_did_not_run(context):
    for reply in context.replies[FACTS]:
        if reply.outcome == 'not_run':
            assert not runs(context.deployment, reply.work), reply
