"""Send strikes against crash suspects to the other guards of the service."""

import asyncio
from collections.abc import Sequence

from gentianmill.member import Member
from gentianmill.membership import MemberTable
from gentianmill.messages import StrikeFrame
from gentianmill.suspects import Strike

from gentianmill_node.logs import component
from gentianmill_node.peer_client import PeerPool

CONFIRM_LIMIT_S = 0.5

log = component('suspect')


class StrikeSender:
    """Push strikes to all guards of the own service."""

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
        """Send strikes in this order and wait until the other guards have them.

        A caller that is answered earlier can resend to a guard that does not know
        the suspect yet. A guard that cannot be reached is waited for only shortly.
        """
        tasks = self._start(strikes)
        if tasks:
            await asyncio.wait(tasks, timeout=CONFIRM_LIMIT_S)

    def _start(self, strikes: Sequence[Strike]) -> set[asyncio.Task[None]]:
        frames = [_to_frame(self._members.own.service, strike) for strike in strikes]
        tasks = {
            asyncio.ensure_future(self._peers.send_strikes(member, frames))
            for member in self._members.members
            if strikes and self._is_other_guard(member)
        }
        self._tasks |= tasks
        for task in tasks:
            task.add_done_callback(self._tasks.discard)
        return tasks

    def _is_other_guard(self, member: Member) -> bool:
        own = self._members.own
        if member.is_gone or member.service != own.service:
            return False
        return member.node_id != own.node_id


def _to_frame(service: str, strike: Strike) -> StrikeFrame:
    if strike.convicted:
        log.warning('Content refused, it crashes upstreams.')
    return StrikeFrame(
        call_id=0,
        service=service,
        digest=strike.digest,
        convicted=strike.convicted,
        cleared=strike.cleared,
    )


def to_strike(frame: StrikeFrame) -> Strike:
    """Return the strike in a frame of another guard."""
    return Strike(frame.digest, frame.convicted, frame.cleared)
