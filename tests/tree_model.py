"""Call trees to a leaf service whose upstreams all reject a share of their calls.

The decisions are those of the nodes (``RetryBudget``, ``RejectionGauge``, ``ShareTable``,
``TreeBudget``, ``RejectionRetry``, ``admits``); the network is a delay, and each tree makes
its calls to the leaf one after the other.
"""

import dataclasses
import enum
import functools
import heapq
import itertools
import random
from collections.abc import Callable

from gentianmill.admission_share import SHARE_SCALE, AdmissionShare, ShareTable, admits
from gentianmill.arrivals import Cause
from gentianmill.rejection_gauge import RejectionGauge
from gentianmill.rejection_retry import RejectionRetry
from gentianmill.retry import RetryThrottle
from gentianmill.retry_budget import RetryBudget, RetryBudgetSettings
from gentianmill.tree_budget import TreeBudget

REJECTED_SHARE = 0.55
BEGIN_MS = 12_000.0
"""The rejections begin when the guards have counted a whole window."""

END_MS = BEGIN_MS + 8500
RUN_MS = END_MS + 4000
CALL_MS = 25.0
"""Time of a call with its way."""

REJECTION_MS = 3.0
"""Time of a rejected or refused call with its way."""

LEAF = 'leaf'
IDLE_RUNNING = 1
"""Calls that run at an upstream, as its slots are free; of SLOTS."""

SLOTS = 100
NO_SERVICES: frozenset[str] = frozenset()


class Policy(enum.Enum):
    """How entries and senders act while the leaf rejects calls."""

    today = 'accepted share squared, two attempts for a call'
    fraction = 'the completable share of all trees'
    division = 'division by rank and cost'


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of request."""

    name: str
    per_s: float
    calls: int
    worth: float
    priority: int = 1


@dataclasses.dataclass(frozen=True)
class Site:
    """A deployment, as far as the leaf service concerns it."""

    entries: int
    guards: int
    slack: float
    kinds: tuple[Kind, ...]


# Requests that need no leaf are assumed to be worth 1.1 (1) each: 55 of 730 requests/s
# and 326 of 787.
KESTREL = Site(
    86,
    6,
    115,
    (
        Kind('direct', 122, 1, 4.1),
        Kind('lookup', 350, 4, 1.1),
        Kind('transfer', 203, 8, 1.6),
        Kind('other', 55, 0, 1.1),
    ),
)
LIPA = Site(58, 14, 91, (Kind('tree', 461, 5, 1), Kind('other', 326, 0, 1)))


@dataclasses.dataclass
class Tree:
    """A request and what became of it."""

    kind: Kind
    entry: int
    sent_ms: float
    calls_left: int
    refused: bool = False
    served: bool = False
    failed: bool = False


@dataclasses.dataclass
class _Call:
    tree: Tree
    node: int
    """Node that sends the call; it is the entry of other requests."""

    retry: RejectionRetry = dataclasses.field(default_factory=RejectionRetry)
    tried: set[str] = dataclasses.field(default_factory=set)


class _Guard:
    def __init__(self, name: str, settings: RetryBudgetSettings, guards: int) -> None:
        self.name = name
        self.budget = RetryBudget(settings)
        self.budget.share_slack(guards)
        self.gauge = RejectionGauge()
        self.share = AdmissionShare()


class TreeModel:
    """Run the requests of a site through a time in which its leaf rejects calls."""

    def __init__(
        self, site: Site, policy: Policy, previous_share: float, seed: int
    ) -> None:
        """Create a site.

        Args:
            site: Its load.
            policy: How nodes act.
            previous_share: Part of the budget that is earned one window later.
            seed: Seed of all random numbers.
        """
        settings = RetryBudgetSettings(slack=site.slack, previous_share=previous_share)
        self.trees: list[Tree] = []
        self.firsts: list[float] = []
        self.retries: list[float] = []
        self._site = site
        self._policy = policy
        self._rng = random.Random(seed)
        self._now_ms = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._serial = itertools.count()
        self._guards = [
            _Guard(str(number), settings, site.guards) for number in range(site.guards)
        ]
        self._tables = [ShareTable() for _ in range(site.entries)]
        self._budgets = [TreeBudget(self._rng) for _ in range(site.entries)]
        self._throttles = [RetryThrottle(settings.ratio) for _ in range(site.entries)]
        self._calls = {kind.name: float(kind.calls) for kind in site.kinds}

    def run(self) -> None:
        """Run all requests to their end."""
        for kind in self._site.kinds:
            self._after(self._rng.expovariate(kind.per_s) * 1000, self._send, kind)
        while self._events:
            event = heapq.heappop(self._events)
            self._now_ms = event[0]
            event[2]()

    def of(self, begin_ms: float = BEGIN_MS, end_ms: float = END_MS) -> list[Tree]:
        """Return the requests that were sent in a time."""
        return [tree for tree in self.trees if begin_ms <= tree.sent_ms < end_ms]

    @property
    def served_worth(self) -> float:
        """Return the part of the worth requested while the leaf rejects."""
        trees = self.of()
        served = sum(tree.kind.worth for tree in trees if tree.served)
        return served / sum(tree.kind.worth for tree in trees)

    @property
    def failed_share(self) -> float:
        """Return the part of the admitted trees that failed for a rejection."""
        admitted = [tree for tree in self.of() if tree.kind.calls and not tree.refused]
        return sum(tree.failed for tree in admitted) / len(admitted)

    def served_share(self, name: str) -> float:
        """Return the part of the requests of a kind that was served meanwhile."""
        trees = [tree for tree in self.of() if tree.kind.name == name]
        return sum(tree.served for tree in trees) / len(trees)

    def _after(self, pause_ms: float, action: Callable, *args: object) -> None:
        event = (
            self._now_ms + pause_ms,
            next(self._serial),
            functools.partial(action, *args),
        )
        heapq.heappush(self._events, event)

    def _send(self, kind: Kind) -> None:
        if self._now_ms < RUN_MS:
            self._after(self._rng.expovariate(kind.per_s) * 1000, self._send, kind)
        entry = self._rng.randrange(self._site.entries)
        tree = Tree(kind, entry, self._now_ms, kind.calls)
        self.trees.append(tree)
        if self._admits(tree):
            self._go_on(tree)
        else:
            tree.refused = True

    def _admits(self, tree: Tree) -> bool:
        kind, table = tree.kind, self._tables[tree.entry]
        shares = table.tree_shares(self._now_ms)
        if self._policy is Policy.today:
            share = table.share(kind.name, self._now_ms)
            return admits(share, 0, returning=False, rng=self._rng)
        if self._policy is Policy.fraction:
            return not kind.calls or self._rng.random() < shares.get(LEAF, 1)
        return self._budgets[tree.entry].admits(
            kind.name,
            kind.priority,
            NO_SERVICES,
            shares,
            lambda _: self._calls,
            self._now_ms,
        )

    def _go_on(self, tree: Tree) -> None:
        """Make the next call of a tree, or end it."""
        if tree.calls_left:
            tree.calls_left -= 1
            node = self._rng.randrange(self._site.entries)
            self._throttles[node].on_call(self._now_ms)
            self._attempt(_Call(tree, node))
        else:
            tree.served = True
            self._report(tree, tree.entry, self._rng.choice(self._guards))

    def _report(self, tree: Tree, node: int, guard: _Guard) -> None:
        """Give a node the load report that an answer carries."""
        if not tree.kind.calls:
            return
        table = self._tables[node]
        guard.share.observe(IDLE_RUNNING, SLOTS, self._now_ms)
        share = int(guard.share.share * SHARE_SCALE)
        table.record(tree.kind.name, {LEAF: share}, self._now_ms)
        earned_per_s = guard.budget.sustained_per_s(self._now_ms)
        if guard.gauge.is_rejecting(self._now_ms):
            share = int(guard.gauge.completable_share(earned_per_s) * SHARE_SCALE)
            table.record_trees(tree.kind.name, {LEAF: share}, self._now_ms)
        elif guard.gauge.has_ended_within(1000, self._now_ms):
            table.record_trees(tree.kind.name, {LEAF: SHARE_SCALE}, self._now_ms)

    def _fail(self, tree: Tree) -> None:
        tree.failed = True
        self._report(tree, tree.entry, self._rng.choice(self._guards))

    def _choose(self, call: _Call) -> _Guard | None:
        if call.retry.is_round_over:
            return None
        untried = [guard for guard in self._guards if guard.name not in call.tried]
        return self._rng.choice(untried) if untried else None

    def _attempt(self, call: _Call) -> None:
        guard = self._choose(call)
        if guard is None:
            self._fail(call.tree)
            return
        call.tried.add(guard.name)
        cause = Cause.retry if call.retry.rejections else Cause.first
        if not guard.budget.admit(cause, self._now_ms, ordinary=True):
            call.retry.on_budget_refusal(guard.name)
            self._report(call.tree, call.node, guard)
            self._after(REJECTION_MS, self._try_again, call)
            return
        times = self.retries if cause.is_duplicate else self.firsts
        times.append(self._now_ms)
        if not cause.is_duplicate:
            guard.gauge.on_first_attempt(self._now_ms)
        is_rejected = (
            BEGIN_MS <= self._now_ms < END_MS and self._rng.random() < REJECTED_SHARE
        )
        guard.gauge.on_response(not is_rejected, self._now_ms)
        guard.share.on_response(not is_rejected, self._now_ms)
        self._report(call.tree, call.node, guard)
        if is_rejected:
            call.retry.on_rejection(guard.name)
            if cause.is_duplicate:
                self._throttles[call.node].on_retry(self._now_ms)
            self._after(REJECTION_MS, self._try_again, call)
        else:
            self._after(CALL_MS, self._go_on, call.tree)

    def _try_again(self, call: _Call) -> None:
        if self._policy is Policy.today:
            throttle = self._throttles[call.node]
            if call.retry.rejections >= 2 or not throttle.permits(self._now_ms):
                self._fail(call.tree)
            else:
                self._attempt(call)
            return
        if self._choose(call) is None:
            call.tried -= call.retry.retry_nodes
            if not call.retry.begin_round():
                self._fail(call.tree)
                return
        self._after(call.retry.pause_ms(self._rng), self._attempt, call)
