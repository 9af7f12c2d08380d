"""When a node asks the platform's store, given what it hears from other nodes."""

import dataclasses
import enum
import math
import random

__all__ = (
    'CHECK_MS',
    'Freshness',
    'OpenPoll',
    'PollTurn',
    'TurnAction',
    'TurnSettings',
    'slot_wait_ms',
    'turns_within',
)

EARLY_SHARE = 0.1
"""Part of a limit by which it varies, so that nodes do not ask in step."""


CHECK_MS = 50.0
"""Interval at which a node must call ``PollTurn.decide``."""

POLL_MS = 300.0
"""Time for a poll that doesn't wait: the store takes 4 ms, and 240 ms when degraded."""

GOSSIP_MS = 150.0
"""Time for a version to reach a region's other nodes once one node has it."""

MAX_CONFIRM_MS = 3000.0
"""Largest limit of the age; a poll of a follower lasts up to 2.5 s."""

MIN_SPREAD_SHARE = 0.3
"""Part of the spread that a node leaves to the followers that replace those without
news; they poll at once."""

MAX_ASK_DOUBLINGS = 3
"""Doublings of the time between two questions while a poll gets no answer, so that an
outage of the whole store costs few messages."""

SHORT_WAIT_SHARE = 0.02
"""Part of the longest wait below which a poll would be a call for nothing. What it leaves
out of its slot must not make the next confirmation so late that others ask."""


class TurnAction(enum.Enum):
    """What to do now."""

    wait = 'wait'
    ask_follower = 'ask_follower'
    replace_followers = 'replace_followers'
    poll = 'poll'


@dataclasses.dataclass(frozen=True, slots=True)
class TurnSettings:
    """Waits between two polls of a table; times in ms."""

    confirm_within_ms: float
    """Age of the last confirmation from which a node asks."""

    follower_pause_ms: float
    """Longest pause of a follower between two polls."""

    mismatch_ms: float
    """Time for which others may know another state before a node polls; it asks a
    follower after a third of it."""

    max_mismatch_ms: float
    """The same after repeated mismatches, as while many nodes start."""

    peer_wait_ms: float = 500
    """Time for a follower to answer: several round trips between regions."""

    spread_ms: float = 1000
    """Nodes that lost all followers at once ask the store within this time; those that
    replace the followers, and the first ones, spare the others the call."""


def turns_within(apply_within_ms: float) -> TurnSettings:
    """Return the turns with which a change is in force everywhere in time.

    The bound holds the age at which a node asks a follower, the wait for its answer, the
    spread of the polls, two checks, a poll, and the gossip.

    Args:
        apply_within_ms: Time after its acknowledgement in which a change must be in force.
    """
    peer_wait_ms = min(apply_within_ms * 0.06, 500)
    spread_ms = min(apply_within_ms * 0.1, 1000)
    rest_ms = apply_within_ms - peer_wait_ms - spread_ms
    confirm_ms = rest_ms - 2 * CHECK_MS - POLL_MS - GOSSIP_MS
    return TurnSettings(
        confirm_within_ms=min(max(confirm_ms, POLL_MS), MAX_CONFIRM_MS),
        follower_pause_ms=0,
        mismatch_ms=math.inf,
        max_mismatch_ms=math.inf,
        peer_wait_ms=peer_wait_ms,
        spread_ms=spread_ms,
    )


def slot_wait_ms(unix_ms: float, rank: int, count: int, longest_ms: float) -> float:
    """Return how long a follower's poll waits for a change.

    Polls end in slots that the followers of a region divide among themselves by the wall
    clock, so that the last confirmation of any of them is half as old as with polls that
    happen to end together, for the same number of calls. Clocks that differ only make
    nodes ask the store themselves.

    Args:
        unix_ms: Current Unix time in ms.
        rank: Rank of the follower in its region, from 0.
        count: Number of followers of the region.
        longest_ms: Longest wait.
    """
    if not longest_ms:
        return 0
    slot_ms = longest_ms * rank / max(count, 1)
    wait_ms = (slot_ms - unix_ms) % longest_ms
    return longest_ms if wait_ms < longest_ms * SHORT_WAIT_SHARE else wait_ms


@dataclasses.dataclass(frozen=True, slots=True)
class Freshness:
    """What a node knows about a table of the store; times in ms."""

    age_ms: float
    """Time since its state is known to have been the newest, from other nodes if the
    node must poll on while it hears nothing."""

    mismatch_ms: float
    """Time for which others have known another state; 0 if they do not."""

    is_follower: bool
    """Whether the node asks on behalf of others."""


class PollTurn:
    """Decide when the next poll is due; each turn ends with a poll."""

    def __init__(self, settings: TurnSettings, rng: random.Random) -> None:
        """Create turns; call ``begin`` after each poll.

        Args:
            settings: Waits between two polls.
            rng: Source of randomness.
        """
        self._settings = settings
        self._rng = rng
        self._began_ms = float(0)
        self._limit_ms = settings.confirm_within_ms
        self._pause_ms = float(0)
        self._poll_at_ms: float | None = None
        self._replace_at_ms = math.inf
        self._ask_at_ms = math.inf
        self._is_alone = False
        self._asked_mismatch = False
        self._mismatch_limit_ms = settings.mismatch_ms
        self._mismatch_polled_ms: float | None = None

    @property
    def limit_ms(self) -> float:
        """Return the age of the last confirmation from which the node asks."""
        return self._limit_ms

    def begin(self, now_ms: float) -> None:
        """Begin the wait for the next poll.

        Args:
            now_ms: Current time.
        """
        settings = self._settings
        self._began_ms = now_ms
        self._poll_at_ms = None
        self._asked_mismatch = False
        self._limit_ms = settings.confirm_within_ms * self._rng.uniform(
            1 - EARLY_SHARE, 1
        )
        self._pause_ms = settings.follower_pause_ms * self._rng.uniform(
            1 - EARLY_SHARE, 1
        )

    def decide(self, now_ms: float, known: Freshness) -> TurnAction:
        """Return what to do.

        Args:
            now_ms: Current time.
            known: What the node knows about the table.
        """
        if known.is_follower:
            is_due = now_ms - self._began_ms >= self._pause_ms
            return TurnAction.poll if is_due else TurnAction.wait
        self._asked_mismatch = self._asked_mismatch and bool(known.mismatch_ms)
        if known.mismatch_ms:
            action = self._decide_mismatch(now_ms, known.mismatch_ms)
            if action is not TurnAction.wait:
                return action
        if known.age_ms < self._limit_ms:
            self._poll_at_ms = None
            self._is_alone = False
            return TurnAction.wait
        if self._poll_at_ms is None:
            self._poll_at_ms = now_ms + self._patience_ms()
            self._replace_at_ms = now_ms + self._settings.peer_wait_ms
            return self._ask(now_ms)
        if now_ms >= self._poll_at_ms:
            self._is_alone = True
            return TurnAction.poll
        return self._wait_for_others(now_ms)

    def _wait_for_others(self, now_ms: float) -> TurnAction:
        """Replace followers that had no news, and ask again meanwhile."""
        if now_ms >= self._replace_at_ms:
            self._replace_at_ms = math.inf
            return TurnAction.replace_followers
        if now_ms >= self._ask_at_ms:
            return self._ask(now_ms)
        return TurnAction.wait

    def _ask(self, now_ms: float) -> TurnAction:
        self._ask_at_ms = now_ms + self._settings.peer_wait_ms / 2
        return TurnAction.ask_follower

    def _patience_ms(self) -> float:
        """Return how long to wait for others; a node that is alone polls on."""
        if self._is_alone:
            return 0
        settings = self._settings
        spread_ms = settings.spread_ms * self._rng.uniform(MIN_SPREAD_SHARE, 1)
        return settings.peer_wait_ms + spread_ms

    def _decide_mismatch(self, now_ms: float, mismatch_ms: float) -> TurnAction:
        if mismatch_ms >= self._mismatch_limit_ms:
            self._lengthen_mismatch_limit(now_ms)
            return TurnAction.poll
        if mismatch_ms >= self._settings.mismatch_ms / 3 and not self._asked_mismatch:
            self._asked_mismatch = True
            return TurnAction.ask_follower
        return TurnAction.wait

    def _lengthen_mismatch_limit(self, now_ms: float) -> None:
        settings = self._settings
        last_ms = self._mismatch_polled_ms
        self._mismatch_polled_ms = now_ms
        if last_ms is None or now_ms - last_ms > 2 * settings.max_mismatch_ms:
            self._mismatch_limit_ms = settings.mismatch_ms
        self._mismatch_limit_ms = min(
            self._mismatch_limit_ms * 2, settings.max_mismatch_ms
        )


class OpenPoll:
    """Decide what to do while a poll gets no answer.

    The node may be cut off the store, and its followers, too; then it asks others.
    """

    def __init__(self, settings: TurnSettings) -> None:
        """Create a poll that nobody was asked about.

        Args:
            settings: Waits between two polls.
        """
        self._settings = settings
        self._asked = 0
        self._ask_at_ms = -math.inf

    def begin(self) -> None:
        """Begin a poll."""
        self._asked = 0

    def decide(self, now_ms: float, age_ms: float, limit_ms: float) -> TurnAction:
        """Return whether to ask the followers, after replacing them or not.

        Args:
            now_ms: Current time.
            age_ms: Age of the last confirmation.
            limit_ms: Age from which the node asks.
        """
        if age_ms < limit_ms:
            self._asked = 0
            return TurnAction.wait
        if self._asked and now_ms < self._ask_at_ms:
            return TurnAction.wait
        doublings = min(self._asked, MAX_ASK_DOUBLINGS)
        self._ask_at_ms = now_ms + self._settings.peer_wait_ms * 2**doublings
        self._asked += 1
        is_first = self._asked == 1
        return TurnAction.ask_follower if is_first else TurnAction.replace_followers
