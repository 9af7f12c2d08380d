"""A relay server with a scripted guard, driven by frames instead of connections."""

import asyncio
from collections.abc import Callable

from gentianmill.byte_budget import ByteBudget
from gentianmill.clock import ManualClock
from gentianmill.outcome import Outcome
from gentianmill.relay_messages import FreshnessStatus, GuardLoad, KnownState, RelayCall
from gentianmill_mesh.guard_call import GuardCall, GuardReply
from gentianmill_mesh.http_message import HttpResponse
from gentianmill_mesh.relay_codec import RelayFrame, decode, encode
from gentianmill_mesh.relay_handshake import NodeIdentity
from gentianmill_mesh.relay_server import RelayServer, StateExchange
from gentianmill_mesh.rules_holder import RulesHolder
from mesh_deployment import JsonRules
from mesh_upstream import NAMES


BUDGET_BYTES = 10_000_000


class ScriptedGuard:
    """Run each call at once, or when the test says so."""

    def __init__(self) -> None:
        """Run calls at once."""
        self.runs: list[bytes] = []
        self.gate = asyncio.Event()
        self.gate.set()
        self.gives_to_upstream = True
        """Whether calls wait at the upstream, not in the queue."""

        self.service = 'back'
        self.reply: Callable[[GuardCall], GuardReply] = _answered

    async def run(self, call: GuardCall) -> GuardReply:
        """Run a call."""
        self.runs.append(call.request.target)
        call.may_have_run = self.gives_to_upstream
        await self.gate.wait()
        return self.reply(call)

    def load(self, _route: str) -> GuardLoad:
        """Return no load."""
        return GuardLoad(running=0, limit=1, queued=0)


class RecordingSocket:
    """Keep the frames that are sent."""

    def __init__(self) -> None:
        """Start without frames."""
        self.frames: list[RelayFrame] = []
        self.closed = False
        self.writable = True

    def send(self, message: bytes) -> None:
        """Keep a frame."""
        self.frames.append(decode(message, 'server'))

    def abort(self) -> None:
        """Close."""
        self.closed = True

    close = abort


class RelayBench:
    """A server, and the connections of a sender to it."""

    def __init__(self) -> None:
        """Create a server; call it in a running loop."""
        self.clock = ManualClock()
        self.guard = ScriptedGuard()
        self.budget = ByteBudget(BUDGET_BYTES)
        self.server = RelayServer(
            NodeIdentity('back', 1),
            self.guard,
            RulesHolder(JsonRules()),
            NAMES,
            self.budget,
            self.clock,
            StateExchange(
                lambda _: None,
                lambda _name, _version: None,
                lambda: FreshnessStatus(0, -1, 0, -1),
                lambda _: None,
                lambda _: None,
                lambda asked: KnownState(asked.node, []),
                lambda _: None,
                lambda _: None,
                lambda: None,
                lambda _sender, _request: None,
            ),
        )

    def connect(self, name: str = 'entry', incarnation: int = 1) -> 'SenderBench':
        """Return a new connection of a sender."""
        headers = NodeIdentity(name, incarnation).headers()
        return SenderBench(self.server.receiver(headers))


class SenderBench:
    """One connection of a sender."""

    def __init__(self, receiver) -> None:
        """Open the connection."""
        self.receiver = receiver
        self.socket = RecordingSocket()
        receiver.open(self.socket)

    async def send(self, *frames: RelayFrame) -> list[RelayFrame]:
        """Send frames in one read; return what comes back once all tasks rest."""
        before = len(self.socket.frames)
        for frame in frames:
            self.receiver.on_message(encode(frame))
        for _ in range(5):
            await asyncio.sleep(0)
        return self.socket.frames[before:]

    def lose(self) -> None:
        """Lose the connection."""
        self.receiver.on_closed()


def call(
    key: int,
    *,
    target: bytes = b'/pay',
    time_left_ms: int = 12_000,
    repeatable: bool = False,
) -> RelayCall:
    """Return a call."""
    return RelayCall(
        key=key,
        service='back',
        method='POST',
        target=target,
        headers=[],
        body=b'',
        time_left_ms=time_left_ms,
        rank=1,
        patience_ms=1000,
        repeatable=repeatable,
        caller_service='front',
        route='pay',
        cause='first',
    )


def _answered(taken: GuardCall) -> GuardReply:
    return GuardReply(Outcome.answered, HttpResponse(200, [], taken.request.target))
