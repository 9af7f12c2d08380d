"""Member data of this node, and what follows from membership changes."""

import secrets
import time

from gentianmill.clock import Clock
from gentianmill.member import Member, MemberStatus
from gentianmill.settings_models import NodeSettingsModel

from gentianmill_node.policy import Policy

MS_PER_S = 1000
ID_BYTES = 6


def own_member(settings: NodeSettingsModel) -> Member:
    """Return the member of this node; it takes no calls yet.

    The incarnation starts at the time of day, so that it rises from start to
    start even if the settings fix the node id.
    """
    node = settings.node
    upstream = settings.upstream
    listeners = settings.listeners
    return Member(
        node_id=node.id or f'{upstream.endpoint}-{secrets.token_hex(ID_BYTES)}',
        incarnation=int(time.time() * MS_PER_S),
        status=MemberStatus.draining,
        host=str(listeners.advertised_host or listeners.host),
        peer_port=listeners.peer_port,
        control_port=listeners.control_port,
        region=node.region,
        zone=node.zone,
        service=upstream.service,
        endpoint=upstream.endpoint,
        slots=upstream.slots,
    )


class MemberEffects:
    """Apply membership changes to the decision objects."""

    def __init__(self, policy: Policy, region: str, clock: Clock) -> None:
        """Create the effects.

        Args:
            policy: The decision objects.
            region: Region of this node.
            clock: Clock of the node.
        """
        self._policy = policy
        self._region = region
        self._clock = clock
        self._in_region: set[str] = set()

    def apply(self, member: Member) -> None:
        """Apply a change of a member."""
        now_ms = self._clock.now_ms()
        self._policy.router.member_changed(member, now_ms)
        if member.is_gone:
            self._policy.homes.member_gone(member.node_id, now_ms)
        else:
            self._policy.homes.member_up(
                member.node_id, member.region, now_ms, _age_ms(member)
            )
        if member.region != self._region:
            return
        if member.is_gone:
            self._in_region.discard(member.node_id)
        else:
            self._in_region.add(member.node_id)
        self._policy.link.share_among(max(len(self._in_region), 1))


def _age_ms(member: Member) -> float:
    """Return how long ago a member started, in ms.

    Its first incarnation is the time of day of its start; later ones are only a
    few higher. A difference between the clocks of two machines shifts the moment
    from which a member may be the home of retry counts.
    """
    return max(time.time() * MS_PER_S - member.incarnation, 0)
