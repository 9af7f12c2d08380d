"""When a node asks the platform's store, given what it hears from other nodes."""

import dataclasses
import enum
import random

__all__ = ('Freshness', 'PollTurn', 'TurnAction', 'TurnSettings')

EARLY_SHARE = 0.1
"""Part of a limit by which it varies, so that nodes do not ask in step."""


class TurnAction(enum.Enum):
    """What to do now."""

    wait = 'wait'
    ask_follower = 'ask_follower'
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
    """Nodes that lost all followers at once ask the store within this time; the first
    ones spare the others the call."""


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
        self._is_alone = False
        self._asked_mismatch = False
        self._mismatch_limit_ms = settings.mismatch_ms
        self._mismatch_polled_ms: float | None = None

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
            return TurnAction.ask_follower
        if now_ms < self._poll_at_ms:
            return TurnAction.wait
        self._is_alone = True
        return TurnAction.poll

    def _patience_ms(self) -> float:
        """Return how long to wait for others; a node that is alone polls on."""
        if self._is_alone:
            return 0
        settings = self._settings
        return settings.peer_wait_ms + self._rng.uniform(0, settings.spread_ms)

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
