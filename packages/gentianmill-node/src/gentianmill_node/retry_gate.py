"""Request permission for a retry or a hedge."""

from gentianmill.clock import Clock
from gentianmill.membership import MemberTable

from gentianmill_node.call import Call
from gentianmill_node.peer_client import PeerPool
from gentianmill_node.policy import Policy


class RetryGate:
    """Spend retries from the budget that the home node of a request keeps."""

    def __init__(
        self,
        policy: Policy,
        members: MemberTable,
        peers: PeerPool,
        clock: Clock,
    ) -> None:
        """Create a gate.

        Args:
            policy: Holds the retry ledger and the retry throttle.
            members: Known members.
            peers: Connections to other nodes.
            clock: Clock of the node.
        """
        self._policy = policy
        self._members = members
        self._peers = peers
        self._clock = clock

    def on_call(self) -> None:
        """Count a call, which adds a fraction of a retry to the throttle's budget."""
        self._policy.throttle.on_call(self._clock.now_ms())

    def spend(self, identity: str) -> bool:
        """Spend one retry of a request whose home is this node."""
        now_ms = self._clock.now_ms()
        if not self._policy.is_home(identity, now_ms):
            return False
        return self._policy.ledger.spend(identity, now_ms)

    async def grant(self, call: Call) -> bool:
        """Return whether the call may be sent once more.

        A call without an identity, or whose home node is unreachable, gets no retry.
        """
        if not call.identity or not call.home:
            return False
        if not self._policy.throttle.try_retry(self._clock.now_ms()):
            return False
        if call.home == self._members.own.node_id:
            return self.spend(call.identity)
        home = self._members.find(call.home)
        if home is None or home.has_departed:
            return False
        return await self._peers.spend(home, call.identity)
