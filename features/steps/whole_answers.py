"""Steps of the feature on complete responses."""

from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from callers import lookup, payment, runs, send, send_all
from deployments import pairs_of
from standins.processes import wait_for
from standins.upstream import file_content

LONG_MS = 10_000
"""Longer than a busy machine needs to send the next requests, and within the
deadline of a lookup, 15 s."""

FAST_MS = 5
SHORT_DEADLINE_MS = '1000'
COUNT = 12
MANUAL_BYTES = 3_000_000
CUT_AFTER_BYTES = 1_000_000


def _entry(context):
    return pairs_of(context.deployment, 'biblioteca')[0].caller_url


def _payments(context):
    """Return payments; unlike lookups they get no hedges, which may be fast."""
    entry = _entry(context)
    return [(entry, payment('/tesoreria/cuotas')) for _ in range(COUNT)]


def _lookups(context, **headers):
    """Return lookups over an entry that is not beside the treasury."""
    entry = _entry(context)
    return [
        (entry, lookup(f'/tesoreria/cuotas/m{number}', **headers))
        for number in range(COUNT)
    ]


def _set_latency(context, latency_ms):
    for pair in pairs_of(context.deployment, 'tesoreria'):
        context.deployment.set_behaviour(pair, latency_ms=latency_ms)


def _all_run(context, sent):
    ran = {run['request_id'] for run in context.deployment.executions()}
    return all(work.request_id in ran for _, work in sent)


def _send_recording_order(context, pair):
    reply = send(*pair)
    context.order.append(reply.work.request_id)
    return reply


@given('dues lookups take long')
def given_long(context):
    context.deployment = context.deployments.get('guild')
    _set_latency(context, LONG_MS)


@when('workshops pay their dues, and others look theirs up once lookups are fast again')
def when_reordered(context):
    context.order = []
    context.early = _payments(context)
    with ThreadPoolExecutor(COUNT * 2) as pool:
        first = [
            pool.submit(_send_recording_order, context, pair) for pair in context.early
        ]
        wait_for(lambda: _all_run(context, context.early), 'the payments to run')
        _set_latency(context, FAST_MS)
        later = [
            pool.submit(_send_recording_order, context, pair)
            for pair in _lookups(context)
        ]
        context.replies = [sending.result() for sending in first + later]


@when('workshops look up their dues with little time left')
def when_late(context):
    context.late = send_all(_lookups(context, X_Deadline_Ms=SHORT_DEADLINE_MS))


@when('others once lookups are fast again')
def when_others(context):
    _set_latency(context, FAST_MS)
    context.replies = send_all(_lookups(context))


@when('makers fetch manuals until one download breaks off and resumes elsewhere')
def when_manuals(context):
    context.deployment = context.deployments.get('guild')
    context.manuals = []
    for pair in pairs_of(context.deployment, 'biblioteca'):
        context.deployment.set_behaviour(pair, file_bytes=MANUAL_BYTES)
    wait_for(lambda: _is_resumed(context), 'a manual that is resumed')


def _is_resumed(context):
    library = pairs_of(context.deployment, 'biblioteca')
    context.deployment.set_behaviour(library[0], cut_after_bytes=CUT_AFTER_BYTES)
    work = lookup(f'/biblioteca/guias/g{len(context.manuals)}/archivo')
    reply = send(library[0].caller_url, work)
    context.manuals.append(reply)
    return reply.outcome == 'answered' and len(runs(context.deployment, work)) > 1


@then('later lookups were answered before earlier payments')
def then_reordered(context):
    early = {work.request_id for _, work in context.early}
    assert context.order[0] not in early, context.order


@then('each workshop gets the whole answer to its own request')
@then('each other workshop gets the whole answer to its own lookup')
def then_own(context):
    for reply in context.replies:
        assert reply.outcome == 'answered', reply
        assert reply.is_own(), reply


@then('the first are told "unknown"')
def then_unknown(context):
    for reply in context.late:
        assert reply.outcome == 'unknown', reply


@then('every manual that looks complete is complete')
def then_complete(context):
    for reply in context.manuals:
        if reply.outcome == 'answered':
            name = reply.work.path.split('/')[-2]
            assert reply.body == file_content(name, MANUAL_BYTES), name
