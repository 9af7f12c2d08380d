"""Tokens that an entry holds, whom it asks for more, and what it may do without."""

import dataclasses
import math
from collections import deque

from gentianmill.quota_members import QuotaMembers, domain_of
from gentianmill.quota_owner import TOKEN_LIFETIME_MS
from gentianmill.teams import Team

__all__ = ('LocalAllowance', 'OwnerChoice', 'QuotaCredit')

MAX_WANTED = 4096
"""Most tokens in one request."""

DEMAND_WINDOW_MS = 1000.0
"""Time over which an entry measures its demand."""

AVOID_MS = 1000.0
"""Time for which a node that did not answer is asked last."""

NOT_OWNER_MS = 100.0
"""Time for which a node that does not own a team is not asked for it: a successor takes over
a second after the first request that it declines."""

WINDOW_MS = 5000.0
LOCAL_OVERAGE = 0.01
LOCAL_SLACK = 10
"""What all local allowances take of the overage of 0.1 and the slack of 20. Leases take 0.06
of the overage, loans 0.03, and the owners' further tokens 6 of the slack."""

MS_PER_S = 1000


@dataclasses.dataclass(slots=True)
class _Tokens:
    count: int
    expires_ms: float


class QuotaCredit:
    """The tokens of one team at an entry."""

    def __init__(self) -> None:
        """Create a credit without tokens or demand."""
        self._held: deque[_Tokens] = deque()
        self._spent: deque[float] = deque()
        self._demand: deque[float] = deque()
        self._prefetches = False

    def held(self, now_ms: float) -> int:
        """Return the tokens that have not expired."""
        self._expire(now_ms)
        return sum(map(_count, self._held))

    def on_demand(self, now_ms: float) -> None:
        """Count a request, from which the demand is estimated."""
        self._demand.append(now_ms)
        self._expected(now_ms)

    def take(self, now_ms: float) -> bool:
        """Use a token if there is one, and return whether there was."""
        self._expire(now_ms)
        if not self._held:
            return False
        oldest = self._held[0]
        oldest.count -= 1
        self._spent.append(oldest.expires_ms)
        if not oldest.count:
            self._held.popleft()
        return True

    def give_back(self, now_ms: float) -> None:
        """Return the token of a request that was not sent, unless it has expired.

        It gets the earliest expiry of those in use, so that no token outlives its lease.
        """
        self._expire(now_ms)
        if self._spent:
            self._add(1, self._spent.popleft())

    def wanted(self, waiting: int, now_ms: float) -> int:
        """Return how many tokens to ask for.

        Args:
            waiting: Requests that wait for a token.
            now_ms: Current time.
        """
        ahead = self._expected(now_ms) if self._prefetches else 0
        return min(waiting + ahead, MAX_WANTED)

    def take_surplus(self, now_ms: float) -> int:
        """Remove the tokens that will probably expire unused, and return their number."""
        surplus = max(self.held(now_ms) - self._expected(now_ms), 0)
        kept = self.held(now_ms) - surplus
        remaining: deque[_Tokens] = deque()
        for tokens in self._held:
            count = min(tokens.count, kept)
            kept -= count
            if count:
                remaining.append(_Tokens(count, tokens.expires_ms))
        self._held = remaining
        return surplus

    def on_grant(
        self, wanted: int, granted: int, lifetime_ms: int, sent_ms: float, now_ms: float
    ) -> None:
        """Add the tokens of a grant.

        Args:
            wanted: Tokens that were asked for.
            granted: Tokens that were granted.
            lifetime_ms: Time for which they hold.
            sent_ms: When they were asked for, from which their lifetime counts, as the
                owner debited them later.
            now_ms: Current time.
        """
        self._prefetches = granted >= wanted
        expires_ms = sent_ms + min(lifetime_ms, TOKEN_LIFETIME_MS)
        if granted > 0 and expires_ms > now_ms:
            self._add(granted, expires_ms)

    def _expected(self, now_ms: float) -> int:
        while self._demand and self._demand[0] <= now_ms - DEMAND_WINDOW_MS:
            self._demand.popleft()
        return int(len(self._demand) * TOKEN_LIFETIME_MS / DEMAND_WINDOW_MS)

    def _add(self, count: int, expires_ms: float) -> None:
        self._held.append(_Tokens(count, expires_ms))
        if len(self._held) > 1 and self._held[-2].expires_ms > expires_ms:
            self._held = deque(sorted(self._held, key=_expiry))

    def _expire(self, now_ms: float) -> None:
        while self._held and self._held[0].expires_ms <= now_ms:
            self._held.popleft()
        while self._spent and self._spent[0] <= now_ms:
            self._spent.popleft()


def _count(tokens: _Tokens) -> int:
    return tokens.count


def _expiry(tokens: _Tokens) -> float:
    return tokens.expires_ms


class OwnerChoice:
    """Choose the node to ask for tokens of a team."""

    def __init__(self, members: QuotaMembers) -> None:
        """Create a choice that knows of no failure.

        Args:
            members: The nodes that this one knows.
        """
        self._members = members
        self._silent_until_ms: dict[str, float] = {}
        self._declined_until_ms: dict[tuple[str, str], float] = {}

    def choose(self, team: str, now_ms: float) -> str | None:
        """Return the node to ask, or None.

        The candidates of the own region come first, then the first one of each other
        region, which issues a part of the same quota.
        """
        domain = domain_of(team)
        members = self._members
        elsewhere = [
            members.candidates(domain, region)[0] for region in members.other_regions
        ]
        for name in (*members.candidates(domain, members.region), *elsewhere):
            declined_ms = self._declined_until_ms.get((team, name), -math.inf)
            silent_ms = self._silent_until_ms.get(name, -math.inf)
            if now_ms >= max(declined_ms, silent_ms):
                return name
        return None

    def on_answer(self, name: str) -> None:
        """Record that a node is reachable."""
        self._silent_until_ms.pop(name, None)

    def on_silent(self, name: str, now_ms: float) -> None:
        """Record that a node did not answer."""
        self._silent_until_ms[name] = now_ms + AVOID_MS

    def on_declined(self, name: str, team: str, now_ms: float) -> None:
        """Record that a node does not own a team."""
        self._declined_until_ms[team, name] = now_ms + NOT_OWNER_MS


class LocalAllowance:
    """Requests of a team that an entry admits in 5 s while no owner answers.

    All nodes share what leases and loans leave of the overage. The window before the start
    of the process may have been used by its predecessor.
    """

    def __init__(self, now_ms: float) -> None:
        """Create an allowance.

        Args:
            now_ms: Start of the process.
        """
        self._started_ms = now_ms
        self._admitted: deque[float] = deque()

    def take(self, team: Team, nodes: int, now_ms: float) -> bool:
        """Return whether a request may pass, and count it if so.

        Args:
            team: The team.
            nodes: Nodes of the deployment.
            now_ms: Current time.
        """
        while self._admitted and self._admitted[0] <= now_ms - WINDOW_MS:
            self._admitted.popleft()
        overage = team.rate_per_s * WINDOW_MS / MS_PER_S * LOCAL_OVERAGE
        limit = int((overage + LOCAL_SLACK) / max(nodes, 1))
        is_new = now_ms - self._started_ms < WINDOW_MS
        if is_new or len(self._admitted) >= limit:
            return False
        self._admitted.append(now_ms)
        return True

    def retry_after_ms(self, now_ms: float) -> float:
        """Return when a request may pass again, if no owner answers until then."""
        if not self._admitted:
            return AVOID_MS
        return max(self._admitted[0] + WINDOW_MS - now_ms, 1)
