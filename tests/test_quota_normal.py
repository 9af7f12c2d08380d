"""Quotas under normal conditions: 86 nodes, 85 teams, demand that moves between zones."""

import asyncio
import dataclasses
import itertools
import random
from collections import Counter

from gentianmill.teams import Team
from quota_fleet import QuotaFleet
from virtual_time import LoopClock, run_virtual

NODES = 86
TEAMS = 85
LARGE, MEDIUM, SMALL = (100, 50), (20, 20), (8, 8)
LOAD = 0.95
START_S = 8
"""Time after the start of all nodes in which buckets fill and small teams first appear."""

RUN_S = 30


class _Ideal:
    """The quota as one bucket for all nodes."""

    def __init__(self, team: Team) -> None:
        self._team = team
        self._tokens = team.burst
        self._at_s = float(0)

    def admits(self, now_s: float) -> bool:
        """Return whether a request is within the quota, and count it."""
        elapsed_s = now_s - self._at_s
        self._at_s = now_s
        refilled = self._tokens + elapsed_s * self._team.rate_per_s
        self._tokens = min(refilled, max(self._team.burst, 1))
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@dataclasses.dataclass(slots=True)
class _Result:
    counts: Counter
    fleet: QuotaFleet
    by_team: Counter


def _teams() -> dict[str, Team]:
    limits = (LARGE, LARGE, LARGE, MEDIUM, MEDIUM, MEDIUM, MEDIUM, MEDIUM, MEDIUM)
    small = itertools.repeat(SMALL, TEAMS - len(limits))
    return {
        f't{number}': Team(f't{number}', None, rate, burst)
        for number, (rate, burst) in enumerate((*limits, *small))
    }


async def _offer(fleet: QuotaFleet, team: Team, seed: int, result: _Result) -> None:
    """Send requests at intervals that vary by half, each second from other zones."""
    loop, rng, ideal = asyncio.get_running_loop(), random.Random(seed), _Ideal(team)
    gap_s = 1 / (team.rate_per_s * LOAD)
    tasks = []
    while loop.time() < START_S + RUN_S:
        await asyncio.sleep(gap_s * rng.uniform(0.5, 1.5))
        zone_rng = random.Random(f'{seed} {int(loop.time())}')
        zone = zone_rng.choice(list(fleet.zones))
        if rng.random() < 0.3:
            zone = rng.choice(list(fleet.zones))
        name = rng.choice(fleet.in_zone(zone))
        is_within = ideal.admits(loop.time()) and loop.time() >= START_S
        tasks.append(loop.create_task(_admit(fleet, name, team, is_within, result)))
    await asyncio.gather(*tasks)


async def _admit(
    fleet: QuotaFleet, name: str, team: Team, is_within: bool, result: _Result
) -> None:
    began_s = asyncio.get_running_loop().time()
    retry_ms = await fleet.gates[name].admit(team)
    wait_s = asyncio.get_running_loop().time() - began_s
    if is_within:
        result.counts['within'] += 1
        result.counts['refused'] += retry_ms is not None
        result.counts['waited over 20 ms'] += wait_s > 0.02
        result.counts['waited over 100 ms'] += wait_s > 0.1
        result.by_team[team.rate_per_s] += retry_ms is not None


async def _run() -> _Result:
    teams = _teams()
    fleet = QuotaFleet(NODES, teams, LoopClock())
    result = _Result(Counter(), fleet, Counter())
    offers = [
        _offer(fleet, team, seed, result) for seed, team in enumerate(teams.values())
    ]
    await asyncio.gather(*offers)
    fleet.close()
    return result


def test_nothing_within_the_quota_is_refused_under_normal_conditions():
    """Guards against refusals at 0.95 of the limit while demand moves between zones."""
    counts = run_virtual(_run()).counts
    assert counts['refused'] < counts['within'] / 1000
