"""Send strikes against crash suspects to the other guards of the service."""

import asyncio
from collections.abc import Sequence

from gentianmill.member import Member
from gentianmill.membership import MemberTable
from gentianmill.messages import StrikeFrame
from gentianmill.suspects import Strike

from gentianmill_node.logs import component
from gentianmill_node.peer_client import PeerPool

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

    def send(self, strikes: Sequence[Strike]) -> None:
        """Send strikes in the background, in this order."""
        if not strikes:
            return
        frames = [_to_frame(self._members.own.service, strike) for strike in strikes]
        for member in self._members.members:
            if self._is_other_guard(member):
                task = asyncio.ensure_future(self._peers.send_strikes(member, frames))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    def _is_other_guard(self, member: Member) -> bool:
        own = self._members.own
        if member.is_gone or member.service != own.service:
            return False
        return member.node_id != own.node_id


def _to_frame(service: str, strike: Strike) -> StrikeFrame:
    if strike.convicted:
        log.warning('Content refused, it crashes upstreams.')
    return StrikeFrame(
        service=service,
        digest=strike.digest,
        convicted=strike.convicted,
        cleared=strike.cleared,
    )


def to_strike(frame: StrikeFrame) -> Strike:
    """Return the strike in a frame of another guard."""
    return Strike(frame.digest, frame.convicted, frame.cleared)
