"""Tests of calls whose link is lost and found again."""

import asyncio

from gentianmill.arrivals import Cause
from gentianmill.byte_budget import ByteBudget
from gentianmill.clock import ManualClock
from gentianmill.outcome import Outcome
from gentianmill.relay_messages import GuardLoad, KnownState, RelayAnswer, RelayCancel
from gentianmill_mesh.guard_call import GuardCall
from gentianmill_mesh.relay_codec import encode
from gentianmill_mesh.relay_connection import RelayContext
from gentianmill_mesh.relay_handshake import NodeIdentity
from gentianmill_mesh.relay_link import RelayLink, new_call_keys
from mesh_upstream import NAMES, request
from node_records import node_record

DEADLINE_MS = 5000.0


class _Connection:
    """A connection that is always open, and records what is sent."""

    def __init__(self) -> None:
        self.connected = True
        self.closed = False
        self.takes_parts = True
        self.sent: list[object] = []

    async def connect(self) -> bool:
        """Return True."""
        return True

    def send(self, frame: object) -> bool:
        """Record a frame."""
        self.sent.append(frame)
        return True


def _link(clock: ManualClock) -> tuple[RelayLink, _Connection]:
    context = RelayContext(
        identity=NodeIdentity('entry', 1),
        clock=clock,
        keys=new_call_keys(),
        names=NAMES,
        on_version=lambda _record, _version: None,
        on_rules=lambda _document, _name: None,
        on_status=lambda _status, _time_ms: None,
        on_nodes=lambda _news: None,
        budget=ByteBudget(1000),
        on_state=lambda _state: None,
        state_of=lambda asked: KnownState(asked.node, []),
        on_quota_grant=lambda _name, _grant: None,
    )
    link = RelayLink(node_record('back'), context)
    connection = _Connection()
    link._connection = connection
    return link, connection


def _call() -> GuardCall:
    return GuardCall(
        service='back',
        request=request(method='POST'),
        deadline_ms=DEADLINE_MS,
        rank=0,
        max_wait_ms=1000,
        repeatable=False,
        caller_service='front',
        route='pay',
        cause=Cause.first,
    )


def test_call_is_not_sent_again_after_its_deadline():
    """Guards against a 503 for a payment that ran, as its guard has forgotten it."""

    async def scenario() -> tuple[Outcome, int]:
        clock = ManualClock()
        link, connection = _link(clock)
        running = asyncio.ensure_future(link.call(_call()))
        await asyncio.sleep(0)
        # The timers of the loop stand still while the machine is suspended.
        clock.advance(DEADLINE_MS + 60_000)
        connection.sent.clear()
        await link.on_connection_lost()
        reply = (await asyncio.wait_for(running, 1)).reply
        return reply.outcome, sum(
            'Call' in type(sent).__name__ for sent in connection.sent
        )

    assert asyncio.run(scenario()) == (Outcome.unknown, 0)


def test_guard_has_the_last_word_on_a_payment_that_timed_out():
    """Guards against a 504 for a payment that waited in a queue until its deadline."""

    async def scenario() -> Outcome:
        clock = ManualClock()
        link, connection = _link(clock)
        running = asyncio.ensure_future(link.call(_call()))
        await asyncio.sleep(0)
        clock.advance(DEADLINE_MS)
        link.end_overdue_calls()
        assert isinstance(connection.sent[-1], RelayCancel)
        link.on_message(encode(_refusal(connection.sent[0].key)))
        return (await running).reply.outcome

    assert asyncio.run(scenario()) is Outcome.not_run


def test_payment_without_a_last_word_may_have_run():
    """Guards against a 503 for a payment whose guard does not answer in time."""

    async def scenario() -> Outcome:
        clock = ManualClock()
        link, _ = _link(clock)
        running = asyncio.ensure_future(link.call(_call()))
        await asyncio.sleep(0)
        clock.advance(DEADLINE_MS)
        link.end_overdue_calls()
        return (await running).reply.outcome

    assert asyncio.run(scenario()) is Outcome.unknown


def _refusal(key: int) -> RelayAnswer:
    return RelayAnswer(
        key=key,
        outcome=Outcome.not_run.value,
        status=0,
        headers=[],
        body=b'',
        reason='deadline',
        framed=True,
        rules_version=0,
        load=GuardLoad(running=0, limit=1, queued=0),
        spent_ms=0,
    )
