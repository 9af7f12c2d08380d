"""The member record of this node, and the handling of membership changes."""

import secrets
import time

from gentianmill.clock import Clock
from gentianmill.member import Member, MemberStatus
from gentianmill.settings_models import NodeSettingsModel

from gentianmill_node.policy import Policy

MS_PER_S = 1000
RANDOM_ID_BYTES = 6


def own_member(settings: NodeSettingsModel) -> Member:
    """Return the member record of this node; its status is draining until it is ready.

    The incarnation starts at the current Unix time in ms, so that it increases
    with each start even if the settings fix the node id.
    """
    node = settings.node
    upstream = settings.upstream
    listeners = settings.listeners
    return Member(
        node_id=node.id or f'{upstream.endpoint}-{secrets.token_hex(RANDOM_ID_BYTES)}',
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


class MemberChangeHandler:
    """Apply membership changes to the policy objects."""

    def __init__(self, policy: Policy, region: str, clock: Clock) -> None:
        """Create the handler of membership changes.

        Args:
            policy: The policy objects, such as the router.
            region: Region of this node.
            clock: Clock of the node.
        """
        self._policy = policy
        self._region = region
        self._clock = clock
        self._members_in_region: set[str] = set()

    def apply(self, member: Member) -> None:
        """Apply a new or changed member."""
        now_ms = self._clock.now_ms()
        self._policy.router.member_changed(member, now_ms)
        if member.has_departed:
            self._policy.homes.member_departed(member.node_id, now_ms)
        else:
            self._policy.homes.member_up(
                member.node_id, member.region, now_ms, _age_ms(member)
            )
        if member.region != self._region:
            return
        if member.has_departed:
            self._members_in_region.discard(member.node_id)
        else:
            self._members_in_region.add(member.node_id)
        self._policy.link.share_among(max(len(self._members_in_region), 1))


def _age_ms(member: Member) -> float:
    """Return how long ago a member started, in ms.

    A member's initial incarnation is the Unix time of its start in ms; later ones
    are only slightly higher. Clock skew between two machines shifts the time from
    which a member may be the home node of retry counts.
    """
    return max(time.time() * MS_PER_S - member.incarnation, 0)
