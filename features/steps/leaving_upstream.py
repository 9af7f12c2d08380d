"""Steps of the feature on upstreams that leave."""

from behave import given, then, when
from callers import lookup, payment, send, send_all
from deployments import pairs_of, state_of
from standins.processes import OPERATOR_KEY, http, wait_for

WORK_PER_ENTRY = 6
STATUS_ACCEPTED = 202


def _others(context):
    return [pair for pair in context.deployment.pairs if pair is not context.leaving]


def _choose_leaving(context):
    context.deployment = context.deployments.get('guild')
    context.leaving = pairs_of(context.deployment, 'tesoreria')[0]


def _is_leaving_known(context):
    """Return whether no other node lists the leaving upstream as alive."""
    endpoint = context.leaving.spec.endpoint
    return not any(_is_alive_at(pair, endpoint) for pair in _others(context))


def _is_alive_at(pair, endpoint):
    _, reply_body = http('GET', f'{pair.operator_url}/v1/members', key=OPERATOR_KEY)
    members = reply_body['members'] if isinstance(reply_body, dict) else reply_body
    return any(
        member['endpoint'] == endpoint and member['status'] == 'alive'
        for member in members
    )


def _ids_run_by_leaving(context):
    port = context.leaving.upstream_port
    runs = context.deployment.executions()
    return {run['request_id'] for run in runs if run['port'] == port}


@given('the platform is {state}')
def given_platform(context, state):
    context.deployment = context.deployments.get('guild')
    context.platform_down = state == 'down'
    if context.platform_down:
        context.deployment.set_faults(mode='down')


@when('one upstream of the treasury reports that it is draining')
def when_draining(context):
    _choose_leaving(context)
    # It still accepts calls, so that a call sent to it is detected.
    context.deployment.set_behaviour(context.leaving, reported_state='draining')
    wait_for(lambda: state_of(context.leaving) != 'ready', 'the node to notice')


@when('an operator drains one node of the treasury')
def when_operator(context):
    _choose_leaving(context)
    url = f'{context.leaving.operator_url}/v1/drain'
    status, _ = http('POST', url, key=OPERATOR_KEY)
    assert status == STATUS_ACCEPTED, status


@when('workshops at once go on sending dues payments and lookups')
def when_work(context):
    works = [
        (pair.caller_url, lookup(f'/tesoreria/cuotas/m{number}'))
        for pair in _others(context)
        for number in range(WORK_PER_ENTRY)
    ]
    if not context.platform_down:
        # Payments need the table, which is down with the platform.
        works += [(entry, payment('/tesoreria/cuotas')) for entry, _ in works]
    context.replies = send_all(works)


@when('lookups reach its own node before the other nodes are notified')
def when_forwarded(context):
    entry = context.leaving.caller_url
    context.replies = [
        send(entry, lookup(f'/tesoreria/cuotas/m{number}'))
        for number in range(WORK_PER_ENTRY)
    ]


@then('the leaving upstream runs none of them')
@then('its node forwards them and each of them is answered')
def then_none(context):
    sent = {reply.work.request_id for reply in context.replies}
    assert not sent & _ids_run_by_leaving(context), sent & _ids_run_by_leaving(context)
    then_answered(context)


@then('each of them is answered')
def then_answered(context):
    for reply in context.replies:
        assert reply.outcome == 'answered', reply


@then('its node ends by itself')
def then_ends(context):
    wait_for(lambda: context.leaving.node.poll() is not None, 'the node to end')
    assert context.leaving.node.returncode == 0


@then('every other node comes to know that it leaves')
def then_known(context):
    wait_for(lambda: _is_leaving_known(context), 'the other nodes to know')
