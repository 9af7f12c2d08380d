"""Support of owners: which part of a region's rate a node may issue.

Each voter of a region gives its part, one n-th of the rate and of the burst, to one owner of
a domain at a time, for a second. An owner issues what its voters give it. So all owners of a
domain together never issue more than the region's share, also where reachability is not
transitive or nodes know different members, without agreement on who the owner is.
"""

import dataclasses
import itertools
import math
from collections.abc import Iterable

from gentianmill.quota_members import MAX_VOTERS, QuotaMembers
from gentianmill.relay_messages import QuotaGrant, QuotaRequest

__all__ = ('SUPPORT_PREFIX', 'QuotaSupport', 'QuotaVoter', 'is_support')

SUPPORT_MS = 1000
"""Time for which a voter supports an owner; a successor waits at least as long."""

RENEW_MS = 450.0
"""Time between two renewals, so that a lost one ends no support."""

RETRY_MS = 200.0
"""Time after which a voter that did not answer or support this node is asked again."""

WHOLE = 1_000_000
"""Unit of the parts in frames: parts per million of the region's rate."""

YOUNG_SHARE = 0.25
"""Fraction of its part that a voter gives to the first candidate in its first second: its
former process may have supported another node until then."""

SUPPORT_PREFIX = '\n'
"""Start of the field ``team`` of frames that ask for support; the domains follow."""

SEPARATOR = ','


def is_support(frame: QuotaRequest | QuotaGrant) -> bool:
    """Return whether a frame is about support, not about tokens."""
    return frame.team.startswith(SUPPORT_PREFIX)


def _encode(domains: Iterable[int]) -> str:
    return SUPPORT_PREFIX + SEPARATOR.join(map(str, domains))


def _decode(team: str) -> list[int]:
    parts = team.removeprefix(SUPPORT_PREFIX).split(SEPARATOR)
    return [int(part) for part in parts if part.isdecimal()]


@dataclasses.dataclass(slots=True)
class _Given:
    holder: str
    until_ms: float


class QuotaVoter:
    """Give this node's part of each domain to one owner at a time."""

    def __init__(self, members: QuotaMembers, now_ms: float) -> None:
        """Create a voter that has supported nobody.

        Args:
            members: The nodes that this one knows.
            now_ms: Start of the process.
        """
        self._members = members
        self._started_ms = now_ms
        self._given: dict[int, _Given] = {}
        self._wishes: dict[int, _Given] = {}

    def answer(self, asker: str, request: QuotaRequest, now_ms: float) -> QuotaGrant:
        """Return which of the requested domains this node supports the asker in.

        Args:
            asker: Name of the node that asks.
            request: The request.
            now_ms: Current time.
        """
        self._members.note(asker, now_ms)
        domains = [
            domain
            for domain in _decode(request.team)
            if self._may_give(domain, asker, now_ms)
        ]
        unused_ms = min(
            (self._unused_ms(domain, now_ms) for domain in domains), default=0
        )
        for domain in domains:
            self._given[domain] = _Given(asker, now_ms + SUPPORT_MS)
        return QuotaGrant(
            key=request.key,
            team=_encode(domains),
            granted=self._part(now_ms) if domains else 0,
            lifetime_ms=SUPPORT_MS,
            retry_after_ms=int(unused_ms),
        )

    def _is_young(self, now_ms: float) -> bool:
        return now_ms - self._started_ms < SUPPORT_MS

    def _part(self, now_ms: float) -> int:
        if self._members.own not in self._members.voters:
            return 0
        part = WHOLE / MAX_VOTERS
        if self._members.is_settled(now_ms):
            part = WHOLE / self._members.voter_count(now_ms)
        return int(part * YOUNG_SHARE if self._is_young(now_ms) else part)

    def _unused_ms(self, domain: int, now_ms: float) -> float:
        """Return for how long this node's part has been given to nobody.

        In its first second it may be in use by a node that the former process supported.
        """
        given = self._given.get(domain)
        free_ms = self._started_ms + SUPPORT_MS if given is None else given.until_ms
        return max(now_ms - free_ms, 0)

    def _may_give(self, domain: int, asker: str, now_ms: float) -> bool:
        rank = self._members.rank(domain, asker)
        if rank and self._is_young(now_ms):
            return False
        given = self._given.get(domain)
        if given is not None and given.holder != asker and given.until_ms > now_ms:
            if rank < self._members.rank(domain, given.holder):
                self._wishes[domain] = _Given(asker, now_ms + SUPPORT_MS)
            return False
        wish = self._wishes.get(domain)
        if wish is None or wish.until_ms <= now_ms or wish.holder == asker:
            return True
        return rank <= self._members.rank(domain, wish.holder)


@dataclasses.dataclass(slots=True)
class _Asked:
    voter: str
    sent_ms: float


@dataclasses.dataclass(slots=True)
class _Held:
    part: float
    until_ms: float


@dataclasses.dataclass(slots=True)
class _Domain:
    active_until_ms: float
    held: dict[str, _Held] = dataclasses.field(default_factory=dict)
    asked_ms: dict[str, float] = dataclasses.field(default_factory=dict)

    def is_due(self, voter: str, now_ms: float, renew_ms: float = RENEW_MS) -> bool:
        """Return whether to ask a voter, again or to renew its support."""
        asked_ms = self.asked_ms.get(voter, -math.inf)
        held = self.held.get(voter)
        is_answered = held is not None and held.until_ms - SUPPORT_MS >= asked_ms
        pause_ms = renew_ms if is_answered else RETRY_MS
        return now_ms - asked_ms >= pause_ms


class QuotaSupport:
    """What the voters of its region give to this node."""

    def __init__(self, members: QuotaMembers) -> None:
        """Create an owner without support.

        Args:
            members: The nodes that this one knows.
        """
        self._members = members
        self._domains: dict[int, _Domain] = {}
        self._asked: dict[int, _Asked] = {}
        self._keys = itertools.count(1)

    @property
    def is_active(self) -> bool:
        """Return whether this node wants support for any domain."""
        return bool(self._domains)

    def activate(self, domain: int, until_ms: float) -> bool:
        """Want support for a domain until a time; return whether it was not wanted."""
        known = self._domains.get(domain)
        if known is None:
            self._domains[domain] = _Domain(until_ms)
            return True
        known.active_until_ms = max(known.active_until_ms, until_ms)
        return False

    def drop(self, domain: int) -> None:
        """Use no more support for a domain."""
        self._domains.pop(domain, None)

    def share(self, domain: int, now_ms: float) -> float:
        """Return the fraction of the region's rate that this node may issue now."""
        known = self._domains.get(domain)
        if known is None:
            return 0
        parts = (held.part for held in known.held.values() if held.until_ms > now_ms)
        return min(math.fsum(parts), 1)

    def requests(self, now_ms: float) -> list[tuple[str, QuotaRequest]]:
        """Return the requests to send now, by voter.

        A request for a domain without support is sent separately, so that its voter can say
        for how long the domain was unused.
        """
        self._forget(now_ms)
        found: list[tuple[str, QuotaRequest]] = []
        for voter in self._members.voters:
            for batch in self._due(voter, now_ms):
                found.append(self._request(voter, batch, now_ms))
        return found

    def on_answer(
        self, voter: str, answer: QuotaGrant, now_ms: float
    ) -> dict[int, float]:
        """Apply the answer of a voter.

        Args:
            voter: Name of the node that answers.
            answer: Its answer.
            now_ms: Current time.

        Returns:
            By domain, the milliseconds of the region's whole rate that the voter gave to
            nobody and that this node may issue in addition.
        """
        asked = self._asked.pop(answer.key, None)
        voters = self._members.voters
        if asked is None or asked.voter != voter or voter not in voters:
            return {}
        until_ms = asked.sent_ms + min(answer.lifetime_ms, SUPPORT_MS)
        part = min(answer.granted / WHOLE, 1 / self._members.voter_count(now_ms))
        if part <= 0 or until_ms <= now_ms:
            return {}
        supported: dict[int, float] = {}
        for domain in _decode(answer.team):
            known = self._domains.get(domain)
            if known is not None:
                known.held[voter] = _Held(part, until_ms)
                supported[domain] = part * max(answer.retry_after_ms, 0)
        return supported

    def _due(self, voter: str, now_ms: float) -> list[list[int]]:
        """Return the domains to ask a voter for, by request."""
        held = {
            domain: known
            for domain, known in self._domains.items()
            if voter in known.held
        }
        batches = [
            [domain]
            for domain, known in self._domains.items()
            if domain not in held and known.is_due(voter, now_ms)
        ]
        if any(known.is_due(voter, now_ms) for known in held.values()):
            # Those that are nearly due join, so that all are renewed at the same time.
            renewed = [
                domain
                for domain, known in held.items()
                if known.is_due(voter, now_ms, RENEW_MS / 2)
            ]
            batches.append(renewed)
        return batches

    def _request(
        self, voter: str, domains: list[int], now_ms: float
    ) -> tuple[str, QuotaRequest]:
        key = next(self._keys)
        self._asked[key] = _Asked(voter, now_ms)
        for domain in domains:
            self._domains[domain].asked_ms[voter] = now_ms
        return voter, QuotaRequest(key, _encode(domains), 0, 0)

    def _forget(self, now_ms: float) -> None:
        for domain, known in tuple(self._domains.items()):
            if known.active_until_ms <= now_ms:
                self._domains.pop(domain)
                continue
            for voter, held in tuple(known.held.items()):
                if held.until_ms <= now_ms:
                    known.held.pop(voter)
        while self._asked:
            key = next(iter(self._asked))
            if now_ms - self._asked[key].sent_ms < SUPPORT_MS:
                return
            self._asked.pop(key)
