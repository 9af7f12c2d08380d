"""Send strikes against crash suspects to the other guards of the service."""

import asyncio
from collections.abc import Sequence

from gentianmill.member import Member
from gentianmill.membership import MemberTable
from gentianmill.messages import StrikeFrame
from gentianmill.crash_suspects import Strike

from gentianmill_node.background import spawn
from gentianmill_node.logs import component
from gentianmill_node.peer_client import PeerPool

CONFIRMATION_TIMEOUT_S = 0.5

log = component('suspect')


class StrikeSender:
    """Send strikes to all other guards of this node's service."""

    def __init__(self, members: MemberTable, peers: PeerPool) -> None:
        """Create a sender.

        Args:
            members: Known members.
            peers: Connections to other nodes.
        """
        self._members = members
        self._peers = peers
        self._tasks: set[asyncio.Task[None]] = set()

    async def send(self, strikes: Sequence[Strike]) -> None:
        """Send strikes in this order and wait until the other guards confirm them.

        A caller that got its response earlier could resend to a guard that has
        not received the strike yet. The wait is limited, as guards may be unreachable.
        """
        tasks = self._start_sending(strikes)
        if tasks:
            await asyncio.wait(tasks, timeout=CONFIRMATION_TIMEOUT_S)

    def _start_sending(self, strikes: Sequence[Strike]) -> set[asyncio.Task[None]]:
        frames = [_to_frame(self._members.own.service, strike) for strike in strikes]
        tasks = {
            spawn(self._peers.send_strikes(member, frames), 'send strikes')
            for member in self._members.members
            if strikes and self._is_other_guard(member)
        }
        self._tasks |= tasks
        for task in tasks:
            task.add_done_callback(self._tasks.discard)
        return tasks

    def _is_other_guard(self, member: Member) -> bool:
        own = self._members.own
        if member.has_departed or member.service != own.service:
            return False
        return member.node_id != own.node_id


def _to_frame(service: str, strike: Strike) -> StrikeFrame:
    if strike.convicted:
        log.warning('Content refused because it crashes upstreams.')
    return StrikeFrame(
        call_id=0,
        service=service,
        digest=strike.digest,
        convicted=strike.convicted,
        cleared=strike.cleared,
    )


def to_strike(frame: StrikeFrame) -> Strike:
    """Return the strike in a frame from another guard."""
    return Strike(frame.digest, frame.convicted, frame.cleared)
