"""The bound on arrivals of a team over all nodes, under faults of every kind."""

import functools
import random

from hypothesis import HealthCheck, Phase, settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from gentianmill.quota_members import QuotaMembers, domain_of
from gentianmill.teams import Team
from quota_network import QuotaNetwork

WINDOW_MS = 5000
REGIONS = 3
PER_REGION = 4
STORM_STEPS = 20
REST_MS = 3000
"""Time without demand in which buckets fill."""


def bound(team: Team) -> float:
    """Return the most arrivals of a team in any window by the requirements."""
    return (team.rate_per_s * WINDOW_MS / 1000 + team.burst) * 1.1 + 20


def most_in_window(arrivals: list[float]) -> int:
    """Return the most arrivals in any window."""
    most, begin = 0, 0
    for position, at_ms in enumerate(arrivals):
        while arrivals[begin] <= at_ms - WINDOW_MS:
            begin += 1
        most = max(most, position - begin + 1)
    return most


names = strategies.integers(0, 10**6)
times = strategies.sampled_from((300, 1200, 2500, 6000))
"""Time in ms after a fault."""


class QuotaBound(RuleBasedStateMachine):
    """Any faults, with callers that always want more than the quota."""

    @initialize(
        seed=strategies.integers(0, 10**6),
        regions=strategies.integers(1, REGIONS),
        size=strategies.integers(1, PER_REGION),
        rate=strategies.sampled_from((8, 100, 400)),
        burst=strategies.sampled_from((0, 20, 400)),
    )
    def begin(self, seed, regions, size, rate, burst):
        """Start nodes that know each other."""
        region_of = {
            f'n{region}-{number}': f'r{region}'
            for region in range(regions)
            for number in range(size)
        }
        self.rng = random.Random(seed)
        self.team = Team('t', None, rate, burst)
        self.high = self.team
        self.network = QuotaNetwork(region_of, self.team, self.rng)
        self.all = list(region_of)
        self.changed_ms = -2 * WINDOW_MS
        self.version = 0
        self.rest_until_ms = REST_MS
        self._demand()
        self.network.run(2 * REST_MS)

    def _demand(self):
        """Offer three times the quota, at nodes that change each 100 ms."""
        network = self.network
        network.schedule(network.now_ms + 100, self._demand)
        if network.now_ms < self.rest_until_ms:
            return
        count = 1 + int(self.high.rate_per_s * 3 / 10 + self.high.burst / 30)
        for _ in range(count):
            node = network.nodes.get(self.rng.choice(self.all))
            if node is not None and node.waiting < 300:
                network.schedule(
                    network.now_ms + self.rng.uniform(0, 100), node.request
                )

    def _pick(self, number):
        return self.all[number % len(self.all)]

    @rule(ms=times)
    def wait(self, ms):
        """Let time pass."""
        self.network.run(self.network.now_ms + ms)

    @rule(seed=names, ms=times)
    def isolate_owner(self, seed, ms):
        """Cut the first owner of a region from some nodes in both directions.

        The others still reach all of them, as links may fail one by one.
        """
        region = self.network.region_of[self._pick(seed)]
        in_region = [
            name for name in self.all if self.network.region_of[name] == region
        ]
        ranked = QuotaMembers('', region)
        ranked.update({name: region for name in in_region}, 0)
        first = ranked.candidates(domain_of('t'), region)[0]
        rng = random.Random(seed)
        for name in self.all:
            if name != first and rng.random() < 0.6:
                self.network.cuts |= {(first, name), (name, first)}
        self.network.run(self.network.now_ms + ms)

    @rule(ms=times)
    def rest(self, ms):
        """Let buckets fill, and then use them up."""
        self.rest_until_ms = self.network.now_ms + ms
        self.network.run(self.rest_until_ms + ms)

    @rule(seed=names)
    def storm(self, seed):
        """Take many steps in a row, as drawn runs are short."""
        rng = random.Random(seed)
        one, other = (lambda: rng.randrange(10**6)), (lambda: rng.choice((300, 2500)))
        acts = (
            lambda: self.isolate_owner(one(), other()),
            lambda: self.restart(one()),
            lambda: self.kill(one()),
            self.restart_all,
            lambda: self.cut(one(), one()),
            lambda: self.split({one() for _ in range(rng.randrange(7))}),
            self.heal,
            lambda: self.disturb(
                rng.choice((0, 0.1)), rng.choice((0, 0.3)), rng.choice((5, 100, 600))
            ),
            lambda: self.change_limits(
                rng.choice((8, 100, 400)), rng.choice((0, 20, 400))
            ),
            lambda: self.forget_one(one(), one()),
            lambda: self.give_back(one()),
            lambda: self.rest(other()),
        )
        for _ in range(STORM_STEPS):
            rng.choice(acts)()
            self.network.run(self.network.now_ms + rng.uniform(0, 3000))
            self.arrivals_are_bounded()

    @rule(number=names)
    def restart(self, number):
        """Replace a process."""
        self.network.start(self._pick(number))

    @rule(number=names)
    def kill(self, number):
        """End a process."""
        self.network.kill(self._pick(number))

    @rule()
    def restart_all(self):
        """Replace all processes."""
        for name in self.all:
            self.network.start(name)

    @rule(first=names, second=names)
    def cut(self, first, second):
        """Lose all frames from one node to another."""
        self.network.cuts.add((self._pick(first), self._pick(second)))

    @rule(cut=strategies.sets(names, max_size=6))
    def split(self, cut):
        """Partition the nodes into two groups."""
        group = {self._pick(number) for number in cut}
        self.network.cuts |= {
            (one, other)
            for one in self.all
            for other in self.all
            if (one in group) != (other in group)
        }

    @rule()
    def heal(self):
        """End all partitions, losses and delays."""
        self.network.cuts.clear()
        self.network.loss = 0
        self.network.repeats = 0
        self.network.max_delay_ms = 5

    @rule(
        loss=strategies.sampled_from((0, 0.1, 0.5)),
        repeats=strategies.sampled_from((0, 0.3)),
        delay_ms=strategies.sampled_from((5, 100, 600, 3000)),
    )
    def disturb(self, loss, repeats, delay_ms):
        """Lose, repeat and delay frames."""
        self.network.loss = loss
        self.network.repeats = repeats
        self.network.max_delay_ms = delay_ms

    @rule(
        rate=strategies.sampled_from((8, 100, 400)),
        burst=strategies.sampled_from((0, 20, 400)),
    )
    def change_limits(self, rate, burst):
        """Put a new version in force, on each node within 3 s."""
        network = self.network
        old, new = self.team, Team('t', None, rate, burst)
        self.team = new
        network.team = new
        self.version += 1
        self.high = Team(
            't',
            None,
            max(old.rate_per_s, new.rate_per_s, self._high_rate()),
            max(old.burst, new.burst, self._high_burst()),
        )
        self.changed_ms = network.now_ms
        for node in tuple(network.nodes.values()):
            delay_ms = self.rng.uniform(0, 3000)
            apply = functools.partial(_apply, node, new, self.version)
            network.schedule(network.now_ms + delay_ms, apply)

    def _high_rate(self):
        return self.high.rate_per_s if self._is_changing() else 0

    def _high_burst(self):
        return self.high.burst if self._is_changing() else 0

    def _is_changing(self):
        return self.network.now_ms - self.changed_ms < WINDOW_MS + 3000

    @rule(first=names, second=names)
    def forget_one(self, first, second):
        """Make a node not know another one, until it learns of it within 3 s."""
        one, other = self._pick(first), self._pick(second)
        if one == other:
            return
        network = self.network
        network.unknown.add((one, other))
        self._update(one)
        network.schedule(network.now_ms + 3000, lambda: self._learn(one, other))

    @rule(seed=names)
    def ignore_each_other(self, seed):
        """Start pairs of nodes that neither know nor reach each other, again and again."""
        rng = random.Random(seed)
        for _ in range(STORM_STEPS):
            pair = rng.choice(self.all), rng.choice(self.all)
            for first, second in (pair, tuple(reversed(pair))):
                if rng.random() < 0.7:
                    self.forget_one(self.all.index(first), self.all.index(second))
                if rng.random() < 0.5:
                    self.network.cuts.add((first, second))
            for name in pair:
                if rng.random() < 0.5:
                    self.network.start(name)
            self.network.run(self.network.now_ms + rng.uniform(0, 3000))
            self.arrivals_are_bounded()
            if rng.random() < 0.3:
                self.heal()

    def _learn(self, one, other):
        self.network.unknown.discard((one, other))
        self._update(one)

    def _update(self, name):
        node = self.network.nodes.get(name)
        if node is not None:
            node.members.update(self.network.view_of(name), self.network.now_ms)

    @rule(number=names)
    def give_back(self, number):
        """Return unused tokens."""
        node = self.network.nodes.get(self._pick(number))
        if node is not None:
            node.credit.give_back(self.network.now_ms)
            node.give_surplus_back()

    @invariant()
    def arrivals_are_bounded(self):
        """Guards against more arrivals than the quota permits."""
        if not hasattr(self, 'network'):
            return
        since_ms = self.network.now_ms - 3 * WINDOW_MS
        if not self._is_changing():
            self.high = self.team
            # Earlier windows were checked against the limits before the change.
            since_ms = max(since_ms, self.changed_ms + 3000)
        recent = [at_ms for at_ms in self.network.arrivals if at_ms > since_ms]
        self.network.arrivals = recent
        if recent:
            most = most_in_window(recent)
            assert most <= bound(self.high), (most, bound(self.high))


def _apply(node, team, version):
    """Put a version in force, unless the node has a newer one."""
    if version > node.version:
        node.version = version
        node.team = team


QuotaBound.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=30,
    # To shrink a run of many simulated seconds takes minutes.
    phases=(Phase.explicit, Phase.generate),
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
TestQuotaBound = QuotaBound.TestCase


class SmallRegionBound(QuotaBound):
    """The smallest region in which nodes may not know each other, and a small burst.

    A node that counts itself alone doubles the rate here, and the bound leaves least room.
    """

    @initialize(seed=names)
    def begin(self, seed):
        """Start two nodes that know each other."""
        super().begin(seed=seed, regions=1, size=2, rate=400, burst=20)


SmallRegionBound.TestCase.settings = QuotaBound.TestCase.settings
TestSmallRegionBound = SmallRegionBound.TestCase
