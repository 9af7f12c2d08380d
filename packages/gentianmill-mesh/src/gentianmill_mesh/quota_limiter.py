"""The requests of one team at an entry, and the tokens that they wait for."""

import abc
import asyncio
import dataclasses
from collections import deque
from collections.abc import Iterator

from gentianmill.clock import Clock
from gentianmill.quota_credit import LocalAllowance, OwnerChoice, QuotaCredit
from gentianmill.quota_members import QuotaMembers
from gentianmill.quota_owner import NOT_OWNER
from gentianmill.relay_messages import QuotaGrant, QuotaRequest
from gentianmill.teams import Team
from gentianmill_mesh.mesh_metrics import MeshMetrics
from gentianmill_node.background import spawn
from gentianmill_node.logs import component

__all__ = ('LimiterContext', 'QuotaLimiter', 'QuotaPort', 'QuotaState')

MAX_WAIT_MS = 400.0
"""Longest wait for a token that the owner announces. A wait of this length costs a caller
less than a refusal, and evens out demand that moves between regions."""

RETURN_DELAY_S = 0.1
"""Time after which tokens that are not needed are returned, a third of their lifetime."""

MS_PER_S = 1000

log = component('quota')


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaState:
    """What an entry knows of a team's quota, for the log."""

    owner: str
    """Node that answered last, or empty."""

    tokens: int
    """Tokens that it granted, or -1 if it does not own the team."""

    age_ms: int
    """Time since its answer, or -1 without one."""

    is_owned: bool
    """Whether an owner answered the last request; else the quota may not be used up."""


class QuotaPort(abc.ABC):
    """Exchanges quota frames with the owners of teams."""

    @abc.abstractmethod
    async def ask(self, name: str, request: QuotaRequest) -> QuotaGrant | None:
        """Return the answer of a node, or None if there is none in time."""

    @abc.abstractmethod
    def post(self, name: str, request: QuotaRequest) -> None:
        """Send a request without waiting for an answer."""

    @abc.abstractmethod
    def knows_nodes(self) -> bool:
        """Update the members; return whether they are known well enough to ask them."""


@dataclasses.dataclass(frozen=True, slots=True)
class LimiterContext:
    """What the limiters of an entry share."""

    port: QuotaPort
    members: QuotaMembers
    choice: OwnerChoice
    keys: Iterator[int]
    metrics: MeshMetrics
    clock: Clock
    started_ms: float


@dataclasses.dataclass(slots=True)
class _Waiter:
    decided: 'asyncio.Future[float | None]'
    started_ms: float


class QuotaLimiter:
    """Let the requests of a team pass while there are tokens."""

    def __init__(self, team: Team, context: LimiterContext) -> None:
        """Create a limiter without tokens.

        Args:
            team: The team.
            context: What all limiters share.
        """
        self.team = team
        """The team by the newest configuration."""

        self._context = context
        self._clock = context.clock
        self._credit = QuotaCredit()
        self._allowance = LocalAllowance(context.started_ms)
        self._waiters: deque[_Waiter] = deque()
        self._task: asyncio.Task[None] | None = None
        self._returning: asyncio.TimerHandle | None = None
        self._state = QuotaState('', 0, -1, is_owned=False)
        self._answered_ms: float | None = None

    @property
    def state(self) -> QuotaState:
        """Return what is known of the quota."""
        if self._answered_ms is None:
            return self._state
        age_ms = round(self._clock.now_ms() - self._answered_ms)
        return dataclasses.replace(self._state, age_ms=age_ms)

    async def admit(self) -> float | None:
        """Return None if a request may be sent, else the time in ms until a retry."""
        now_ms = self._clock.now_ms()
        self._credit.on_demand(now_ms)
        if not self._waiters and self._credit.take(now_ms):
            self._count('granted')
            return None
        waiter = _Waiter(asyncio.get_running_loop().create_future(), now_ms)
        self._waiters.append(waiter)
        if self._task is None:
            self._task = spawn(self._work(), 'ask for tokens')
        try:
            return await waiter.decided
        except asyncio.CancelledError:
            decided = waiter.decided
            if decided.done() and not decided.cancelled() and decided.result() is None:
                self.give_back()
            raise
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def give_back(self) -> None:
        """Return the token of a request that was not sent."""
        self._credit.give_back(self._clock.now_ms())
        self._serve()
        self._return_later()

    def close(self) -> None:
        """Stop the timers."""
        if self._returning is not None:
            self._returning.cancel()
        if self._task is not None:
            self._task.cancel()

    async def _work(self) -> None:
        """Ask for tokens until no request waits."""
        try:
            while self._waiters:
                await self._step()
        finally:
            self._task = None

    async def _step(self) -> None:
        context, team = self._context, self.team
        sent_ms = self._clock.now_ms()
        name = None
        if context.port.knows_nodes():
            name = context.choice.choose(team.name, sent_ms)
        if name is None:
            self._decide_alone()
            return
        wanted = self._credit.wanted(len(self._waiters), sent_ms)
        request = QuotaRequest(next(context.keys), team.name, wanted, 0)
        grant = await context.port.ask(name, request)
        now_ms = self._clock.now_ms()
        if grant is None:
            log.info('Owner silent.', team=team.name, owner=name)
            context.choice.on_silent(name, now_ms)
            return
        self._note(name, grant)
        if grant.granted == NOT_OWNER:
            context.choice.on_declined(name, team.name, now_ms)
            return
        self._credit.on_grant(wanted, grant.granted, grant.lifetime_ms, sent_ms, now_ms)
        self._serve()
        self._return_later()
        if not grant.granted:
            await self._wait_or_refuse(grant.retry_after_ms)

    def _note(self, name: str, grant: QuotaGrant) -> None:
        if grant.granted != NOT_OWNER and name != self._state.owner:
            log.info(
                'Owner changed.',
                team=self.team.name,
                owner=name,
                previous=self._state.owner,
            )
        self._answered_ms = self._clock.now_ms()
        owner = self._state.owner if grant.granted == NOT_OWNER else name
        self._state = QuotaState(owner, grant.granted, 0, is_owned=True)

    def _serve(self) -> None:
        now_ms = self._clock.now_ms()
        while self._waiters and self._credit.take(now_ms):
            self._decide(self._waiters.popleft(), None)

    def _decide(self, waiter: _Waiter, retry_ms: float | None) -> None:
        if not waiter.decided.done():
            waiter.decided.set_result(retry_ms)
            self._count('granted' if retry_ms is None else 'refused')
        elif retry_ms is None:
            # Its caller is gone.
            self._credit.give_back(self._clock.now_ms())

    def _decide_alone(self) -> None:
        """Use the local allowance, as no owner answers."""
        self._state = dataclasses.replace(self._state, is_owned=False)
        now_ms = self._clock.now_ms()
        nodes = self._context.members.count(now_ms)
        while self._waiters:
            if self._allowance.take(self.team, nodes, now_ms):
                self._count('local')
                self._decide(self._waiters.popleft(), None)
            else:
                retry_ms = self._allowance.retry_after_ms(now_ms)
                self._decide(self._waiters.popleft(), retry_ms)

    async def _wait_or_refuse(self, retry_ms: float) -> None:
        """Refuse the requests whose tokens take too long, and wait with the others."""
        now_ms = self._clock.now_ms()
        regions = self._context.members.region_count
        step_ms = MS_PER_S * regions / max(self.team.rate_per_s, 1 / MS_PER_S)
        kept: deque[_Waiter] = deque()
        for position, waiter in enumerate(tuple(self._waiters)):
            wait_ms = retry_ms + position * step_ms
            if now_ms + wait_ms - waiter.started_ms <= MAX_WAIT_MS:
                kept.append(waiter)
            else:
                self._decide(waiter, max(wait_ms, 1))
        self._waiters = kept
        if kept:
            await asyncio.sleep(max(retry_ms, 1) / MS_PER_S)

    def _return_later(self) -> None:
        if self._returning is None and self._credit.held(self._clock.now_ms()):
            self._returning = asyncio.get_running_loop().call_later(
                RETURN_DELAY_S, self._return_surplus
            )

    def _return_surplus(self) -> None:
        """Return tokens that would expire unused to their owner."""
        self._returning = None
        surplus = self._credit.take_surplus(self._clock.now_ms())
        if surplus and self._state.owner:
            key = next(self._context.keys)
            request = QuotaRequest(key, self.team.name, 0, surplus)
            self._context.port.post(self._state.owner, request)

    def _count(self, kind: str) -> None:
        self._context.metrics.on_quota(self.team.name, kind)
