"""Owner of teams in a region: issues the region's share of their tokens.

Tokens are issued by owners only, from buckets whose rates add up to that of the team, and
are debited before they are sent. So a message that is lost, late or repeated loses tokens
and never adds any.
"""

import dataclasses
import itertools
import math
from collections.abc import Callable, Iterator

from gentianmill.quota_account import (
    Asker,
    Borrow,
    QuotaAccount,
    QuotaCounts,
    WaitingRequest,
)
from gentianmill.quota_members import QuotaMembers, domain_of
from gentianmill.quota_probes import QuotaProbes
from gentianmill.quota_support import (
    SUPPORT_PREFIX,
    QuotaSupport,
    QuotaVoter,
    is_support,
)
from gentianmill.relay_messages import QuotaGrant, QuotaRequest
from gentianmill.teams import Team

__all__ = ('Outgoing', 'QuotaOwner', 'NOT_OWNER', 'TOKEN_LIFETIME_MS')

TOKEN_LIFETIME_MS = 300
"""Time from a request for tokens to their expiry. It delays arrivals against the bucket, by
which a window may hold 0.3 s of the rate more; the overage allows 0.5 s."""

NOT_OWNER = -1

EXTRA_TOKENS = 6
"""Tokens by which the capacities of all regions together exceed the burst, so that a burst
of 0 lets requests pass, and a fraction of a token in each region holds none back; a third
of the slack of 20."""

HOLD_MS = 120.0
"""Time for which a request waits at the owner for a token: two round trips between
regions, and half of the time after which the entry asks another node."""

BORROW_TIMEOUT_MS = 150.0
"""Time from a request for a loan after which its tokens are dropped: two and a half round
trips between regions. It adds 0.15 s of the rate to what a window may hold."""

BORROW_PAUSE_MS = 60.0
"""Pause after a region had nothing to lend, a round trip between regions."""

LOW_SHARE = 0.25
"""Fraction of its capacity under which an owner borrows."""

ACTIVE_MS = 2000.0
"""Time since the last request for tokens during which an owner renews its support."""

MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """A frame to send."""

    to: Asker
    frame: QuotaRequest | QuotaGrant


class QuotaOwner:
    """Decide how many tokens the nodes of a region get."""

    def __init__(
        self,
        members: QuotaMembers,
        own: Asker,
        find_team: Callable[[str], Team | None],
        keys: Iterator[int],
        now_ms: float,
    ) -> None:
        """Create an owner whose buckets are empty.

        Args:
            members: The nodes that this one knows.
            own: This node.
            find_team: Returns a team by its name in the configuration in force.
            keys: Numbers of the requests of this process for tokens, which increase.
            now_ms: Start of the process.
        """
        self._members = members
        self._own = own
        self._find_team = find_team
        self._keys = keys
        self._voter = QuotaVoter(members, now_ms)
        self._support = QuotaSupport(members)
        self._accounts: dict[str, QuotaAccount] = {}
        # A request for the support of no domain only shows that a node answers.
        self._probes = QuotaProbes(
            lambda name: self._send(
                name, QuotaRequest(next(keys), SUPPORT_PREFIX, 0, 0)
            )
        )
        self._out: list[Outgoing] = []

    @property
    def is_active(self) -> bool:
        """Return whether ``tick`` has work to do."""
        return self._support.is_active or self.has_waiting

    @property
    def has_waiting(self) -> bool:
        """Return whether requests wait for tokens."""
        return any(account.waiting for account in self._accounts.values())

    @property
    def counts(self) -> dict[str, QuotaCounts]:
        """Return by team what this node did as an owner."""
        return {name: account.counts for name, account in self._accounts.items()}

    def share(self, team: str, now_ms: float) -> float:
        """Return the fraction of the region's rate of a team that this node issues."""
        return self._support.share(domain_of(team), now_ms)

    def drain(self) -> list[Outgoing]:
        """Return the frames to send, and forget them."""
        out = list(self._out)
        self._out.clear()
        return out

    def on_heard(self, name: str) -> None:
        """Record that a node is reachable."""
        self._probes.on_heard(name)

    def on_request(self, asker: Asker, request: QuotaRequest, now_ms: float) -> None:
        """Handle a request of an entry or of another region's owner.

        Args:
            asker: Node that asks.
            request: The request.
            now_ms: Current time.
        """
        if is_support(request):
            answer = self._voter.answer(asker.name, request, now_ms)
            self._out.append(Outgoing(asker, answer))
            return
        team = self._find_team(request.team)
        if team is None or not (team.is_limited and self._may_own(team.name, now_ms)):
            self._support.drop(domain_of(request.team))
            self._answer(asker, request, NOT_OWNER, 0)
            return
        account = self._account(team.name, now_ms)
        if account.is_duplicate(asker.process, request.key):
            return
        if self._support.activate(domain_of(team.name), now_ms + ACTIVE_MS):
            self._ask_support(now_ms)
        self._refill(team, account, now_ms)
        account.take_back(asker.process, request.returned, now_ms)
        if request.wanted <= 0:
            self._serve(team, account, now_ms)
        elif self._members.is_local(asker.name):
            until_ms = now_ms + HOLD_MS
            account.waiting.append(WaitingRequest(asker, request, until_ms))
            self._serve(team, account, now_ms)
        else:
            self._lend(account, asker, request, now_ms)

    def on_grant(self, peer: str, grant: QuotaGrant, now_ms: float) -> None:
        """Handle an answer to a request of this node for support or for a loan.

        Args:
            peer: Node that answers.
            grant: Its answer.
            now_ms: Current time.
        """
        if is_support(grant):
            self._on_support(peer, grant, now_ms)
            return
        account = self._accounts.get(grant.team)
        team = self._find_team(grant.team)
        if account is None or team is None:
            return
        for region, borrow in tuple(account.borrows.items()):
            if borrow.key != grant.key:
                continue
            account.borrows.pop(region)
            if now_ms - borrow.sent_ms >= BORROW_TIMEOUT_MS:
                continue
            if grant.granted < borrow.wanted:
                pause_ms = max(grant.retry_after_ms, BORROW_PAUSE_MS)
                account.poor_until_ms[region] = now_ms + pause_ms
            self._refill(team, account, now_ms)
            account.bucket.put(grant.granted)
            account.counts.borrowed += max(grant.granted, 0)
            self._serve(team, account, now_ms)

    def tick(self, now_ms: float) -> None:
        """Renew support, and serve or refuse the requests that wait."""
        if not self.is_active:
            return
        self._ask_support(now_ms)
        for name, account in tuple(self._accounts.items()):
            team = self._find_team(name)
            if team is None or not team.is_limited:
                self._accounts.pop(name)
                for entry in account.waiting:
                    self._answer(entry.asker, entry.request, NOT_OWNER, 0)
            elif account.waiting:
                self._refill(team, account, now_ms)
                self._serve(team, account, now_ms)

    def _account(self, name: str, now_ms: float) -> QuotaAccount:
        account = self._accounts.get(name)
        if account is None:
            account = QuotaAccount(now_ms)
            self._accounts[name] = account
        return account

    def _may_own(self, team: str, now_ms: float) -> bool:
        """Return whether all nodes before this one are unreachable."""
        domain = domain_of(team)
        candidates = self._members.candidates(domain, self._members.region)
        if self._own.name not in candidates:
            return False
        before = candidates[: candidates.index(self._own.name)]
        # Probes all of them, so that their times run in parallel.
        reachable = [
            name for name in before if not self._probes.is_unreachable(name, now_ms)
        ]
        return not reachable

    def _refill(self, team: Team, account: QuotaAccount, now_ms: float) -> None:
        share = self.share(team.name, now_ms) / self._members.region_count
        capacity = (team.burst + EXTRA_TOKENS) * share
        account.bucket.update(team.rate_per_s * share, capacity, now_ms)

    def _ask_support(self, now_ms: float) -> None:
        for voter, request in self._support.requests(now_ms):
            if voter == self._own.name:
                answer = self._voter.answer(voter, request, now_ms)
                self._on_support(voter, answer, now_ms)
            else:
                self._send(voter, request)

    def _on_support(self, voter: str, answer: QuotaGrant, now_ms: float) -> None:
        known = [
            (self._find_team(name), account) for name, account in self._accounts.items()
        ]
        owned = [(team, account) for team, account in known if team is not None]
        for team, account in owned:
            # The share before this answer counts until now.
            self._refill(team, account, now_ms)
        supported = self._support.on_answer(voter, answer, now_ms)
        for team, account in owned:
            unused_ms = supported.get(domain_of(team.name))
            if unused_ms is not None:
                capacity = account.bucket.capacity
                self._refill(team, account, now_ms)
                rate_per_ms = team.rate_per_s / MS_PER_S / self._members.region_count
                # The other parts may have been used up, so that there is room for more
                # than this part may hold.
                gained = account.bucket.capacity - capacity
                account.bucket.put(min(rate_per_ms * unused_ms, gained))
                self._serve(team, account, now_ms)

    def _serve(self, team: Team, account: QuotaAccount, now_ms: float) -> None:
        """Answer the requests that wait, in their order."""
        bucket = account.bucket
        while account.waiting:
            entry = account.waiting[0]
            wanted = entry.request.wanted
            if bucket.is_low:
                # Leaves tokens to others; an entry that needs more asks again.
                wanted = min(wanted, max(int(bucket.tokens / 2), 1))
            taken = bucket.take(wanted)
            if not taken and now_ms < entry.until_ms:
                break
            account.waiting.popleft()
            retry_ms = float(0)
            if taken:
                account.counts.issued += taken
                process = entry.asker.process
                account.lease(process, taken, now_ms + TOKEN_LIFETIME_MS)
            else:
                account.counts.refused += 1
                rate = bucket.rate_per_s
                retry_ms = account.retry_after_ms(entry.request.wanted, rate, now_ms)
            self._answer(entry.asker, entry.request, taken, retry_ms)
        needed = sum(entry.request.wanted for entry in account.waiting)
        if needed or bucket.tokens < bucket.capacity * LOW_SHARE:
            self._borrow(team, account, needed, now_ms)

    def _lend(
        self, account: QuotaAccount, asker: Asker, request: QuotaRequest, now_ms: float
    ) -> None:
        """Answer another region at once, and keep half for the own region."""
        limit = 0 if account.waiting else math.ceil(int(account.bucket.tokens) / 2)
        taken = account.bucket.take(min(request.wanted, limit))
        account.counts.lent += taken
        retry_ms = min(account.bucket.wait_ms(1), MS_PER_S)
        if taken:
            account.lease(asker.process, taken, now_ms + TOKEN_LIFETIME_MS)
        self._answer(asker, request, taken, retry_ms)

    def _borrow(
        self, team: Team, account: QuotaAccount, needed: int, now_ms: float
    ) -> None:
        """Ask one other region after the other for what is missing to half a bucket."""
        bucket = account.bucket
        missing = math.ceil(needed + bucket.capacity / 2 - bucket.tokens)
        if missing <= 0 or bucket.capacity < 1:
            return
        regions = [
            region
            for region in self._members.other_regions
            if not _is_pending(account, region, now_ms)
            and account.poor_until_ms.get(region, -math.inf) <= now_ms
        ]
        for region in regions:
            candidates = self._members.candidates(domain_of(team.name), region)
            if not candidates:
                continue
            wanted = math.ceil(missing / len(regions))
            key = next(self._keys)
            account.borrows[region] = Borrow(key, wanted, now_ms)
            self._send(candidates[0], QuotaRequest(key, team.name, wanted, 0))

    def _answer(
        self, asker: Asker, request: QuotaRequest, granted: int, retry_ms: float
    ) -> None:
        grant = QuotaGrant(
            key=request.key,
            team=request.team,
            granted=granted,
            lifetime_ms=TOKEN_LIFETIME_MS,
            retry_after_ms=math.ceil(retry_ms),
        )
        self._out.append(Outgoing(asker, grant))

    def _send(self, name: str, request: QuotaRequest) -> None:
        self._out.append(Outgoing(Asker(name, ''), request))


def _is_pending(account: QuotaAccount, region: str, now_ms: float) -> bool:
    borrow = account.borrows.get(region)
    return borrow is not None and now_ms - borrow.sent_ms < BORROW_TIMEOUT_MS


def new_keys() -> Iterator[int]:
    """Return the numbers of the requests of one process."""
    return itertools.count(1)
