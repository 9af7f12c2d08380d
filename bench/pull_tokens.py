"""Trial of pull-based dispatch with slot tokens, section 6.10 of the design page."""

import random

from baseline_routers import RandomRouter
from gentianmill.member import Member


class TokenMarket:
    """Tokens of the free slots, spread over the entries of each region.

    It favours the tokens: they move without delay, and an entry without a token
    takes one of another entry of its region at no cost.
    """

    def __init__(self) -> None:
        """Start without entries."""
        self._routers: dict[str, list[TokenRouter]] = {}
        self.messages = 0

    def __call__(self, own: Member, rng: random.Random) -> 'TokenRouter':
        """Return the router of the entry of a member."""
        router = TokenRouter(own, rng, self)
        self._routers.setdefault(own.region, []).append(router)
        return router

    def give(self, region: str, service: str, node_id: str, rng: random.Random) -> None:
        """Send a token to a random entry of a region."""
        self.messages += 1
        rng.choice(self._routers[region]).tokens.setdefault(service, []).append(node_id)

    def take(self, region: str, service: str, rng: random.Random) -> list[str]:
        """Return the tokens of some entry of a region that has any."""
        holders = [
            router.tokens[service]
            for router in self._routers[region]
            if router.tokens.get(service)
        ]
        return rng.choice(holders) if holders else []


class TokenRouter(RandomRouter):
    """Send a call where a slot token came from; at random if there is none."""

    def __init__(self, own: Member, rng: random.Random, market: TokenMarket) -> None:
        """Create the router of one entry."""
        super().__init__(own, rng)
        self.tokens: dict[str, list[str]] = {}
        self._market = market
        self._by_id: dict[str, Member] = {}
        self._spent: dict[str, int] = {}

    def member_changed(self, member: Member, now_ms: float) -> None:
        """Add a member; a member's own entry hands out its tokens."""
        super().member_changed(member, now_ms)
        self._by_id[member.node_id] = member
        if member.node_id == self._own.node_id:
            for _ in range(member.slots):
                self._give(member.node_id)

    def choose(self, service: str, now_ms: float, excluded, affinity) -> Member | None:
        """Choose the member of a token that is not excluded, if there is one."""
        tokens = self.tokens.get(service) or self._market.take(
            self._own.region, service, self._rng
        )
        usable = [node_id for node_id in tokens if node_id not in excluded]
        if not usable:
            return super().choose(service, now_ms, excluded, affinity)
        chosen = self._rng.choice(usable)
        tokens.remove(chosen)
        self._spent[chosen] = self._spent.get(chosen, 0) + 1
        return self._by_id[chosen]

    def on_done(self, node_id: str, now_ms: float, latency_ms: float, ok: bool) -> None:
        """Return the token of the call, if it had one."""
        if self._spent.get(node_id):
            self._spent[node_id] -= 1
            self._give(node_id)

    def on_cancelled(self, node_id: str, now_ms: float, elapsed_ms: float) -> None:
        """Return the token of the call, if it had one."""
        self.on_done(node_id, now_ms, elapsed_ms, ok=False)

    def _give(self, node_id: str) -> None:
        member = self._by_id[node_id]
        self._market.give(member.region, member.service, node_id, self._rng)
