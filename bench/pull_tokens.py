"""Trial of pull-based dispatch with slot tokens (design page, section 6.10)."""

import random

from baseline_routers import RandomRouter
from gentianmill.member import Member


class TokenPool:
    """Tokens of the free slots, spread over the entries of each region.

    The trial is biased in favour of tokens: they move without delay, and an entry
    without a token uses one of another entry of its region at no cost.
    """

    def __init__(self) -> None:
        """Create a pool without entries."""
        self._routers: dict[str, list[TokenRouter]] = {}
        self.messages = 0

    def __call__(self, own: Member, rng: random.Random) -> 'TokenRouter':
        """Return the router of the entry of a member."""
        router = TokenRouter(own, rng, self)
        self._routers.setdefault(own.region, []).append(router)
        return router

    def put(self, region: str, service: str, node_id: str, rng: random.Random) -> None:
        """Pass a token to a random entry of a region."""
        self.messages += 1
        rng.choice(self._routers[region]).tokens.setdefault(service, []).append(node_id)

    def tokens_of_region(
        self, region: str, service: str, rng: random.Random
    ) -> list[str]:
        """Return the tokens of a random entry of the region that has any."""
        available = [
            router.tokens[service]
            for router in self._routers[region]
            if router.tokens.get(service)
        ]
        return rng.choice(available) if available else []


class TokenRouter(RandomRouter):
    """Route each call to the member of a slot token; at random if there is none."""

    def __init__(self, own: Member, rng: random.Random, pool: TokenPool) -> None:
        """Create the router of one entry."""
        super().__init__(own, rng)
        self.tokens: dict[str, list[str]] = {}
        self._pool = pool
        self._by_id: dict[str, Member] = {}
        self._used_tokens: dict[str, int] = {}

    def member_changed(self, member: Member, now_ms: float) -> None:
        """Add a member; its own entry distributes the tokens of its slots."""
        super().member_changed(member, now_ms)
        self._by_id[member.node_id] = member
        if member.node_id == self._own.node_id:
            for _ in range(member.slots):
                self._return_token(member.node_id)

    def choose(self, service: str, now_ms: float, excluded, affinity) -> Member | None:
        """Choose a member that has a token and is not excluded, else a random one."""
        tokens = self.tokens.get(service) or self._pool.tokens_of_region(
            self._own.region, service, self._rng
        )
        usable = [node_id for node_id in tokens if node_id not in excluded]
        if not usable:
            return super().choose(service, now_ms, excluded, affinity)
        chosen = self._rng.choice(usable)
        tokens.remove(chosen)
        self._used_tokens[chosen] = self._used_tokens.get(chosen, 0) + 1
        return self._by_id[chosen]

    def on_done(self, node_id: str, now_ms: float, latency_ms: float, ok: bool) -> None:
        """Return the token of the call, if it had one."""
        if self._used_tokens.get(node_id):
            self._used_tokens[node_id] -= 1
            self._return_token(node_id)

    def on_cancelled(self, node_id: str, now_ms: float, elapsed_ms: float) -> None:
        """Return the token of the call, if it had one."""
        self.on_done(node_id, now_ms, elapsed_ms, ok=False)

    def _return_token(self, node_id: str) -> None:
        member = self._by_id[node_id]
        self._pool.put(member.region, member.service, node_id, self._rng)
