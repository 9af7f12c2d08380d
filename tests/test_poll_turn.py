"""Tests of when a node asks the store, given what it hears from others."""

import random

import pytest
from gentianmill.poll_turn import (
    EARLY_SHARE,
    Freshness,
    PollTurn,
    TurnAction,
    TurnSettings,
    slot_wait_ms,
    turns_within,
)

SETTINGS = TurnSettings(
    confirm_within_ms=3000,
    follower_pause_ms=1000,
    mismatch_ms=2000,
    max_mismatch_ms=8000,
    peer_wait_ms=500,
    spread_ms=1000,
)
STEP_MS = 50


class _Node:
    """A node whose turns are decided on a logical clock."""

    def __init__(self, seed: int = 1) -> None:
        self.now_ms = 0.0
        self.heard_ms = 0.0
        self.differs_since_ms: float | None = None
        self.is_follower = False
        self.polls: list[float] = []
        self.asked: list[float] = []
        self._turn = PollTurn(SETTINGS, random.Random(seed))  # noqa: S311
        self._turn.begin(0)

    def run_until(self, end_ms: float, heard_every_ms: float | None = None) -> None:
        """Let time pass; others confirm the node's state at an interval, or never."""
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            if heard_every_ms and self.now_ms % heard_every_ms < STEP_MS:
                self.heard_ms = self.now_ms
            self._step()

    def _step(self) -> None:
        differs_ms = 0.0
        if self.differs_since_ms is not None:
            differs_ms = self.now_ms - self.differs_since_ms
        known = Freshness(self.now_ms - self.heard_ms, differs_ms, self.is_follower)
        action = self._turn.decide(self.now_ms, known)
        if action is TurnAction.poll:
            self.polls.append(self.now_ms)
            if self.differs_since_ms is not None:
                self.differs_since_ms = self.now_ms
            self._turn.begin(self.now_ms)
        elif action is TurnAction.ask_follower:
            self.asked.append(self.now_ms)


def test_node_that_hears_confirmations_never_polls():
    """Guards against calls to the store that grow with the nodes."""
    node = _Node()
    node.run_until(60_000, heard_every_ms=1000)
    assert not node.polls
    assert not node.asked


def test_follower_polls_whatever_it_hears():
    """Guards against followers that rely on each other, so that nobody polls."""
    node = _Node()
    node.is_follower = True
    node.run_until(10_000, heard_every_ms=100)
    assert 9 <= len(node.polls) <= 12


def test_node_that_hears_nothing_asks_a_follower_and_then_polls_on():
    """Guards against a node cut off from others that learns of a change too late."""
    for seed in range(20):
        node = _Node(seed)
        node.run_until(10_000)
        assert node.asked[0] <= SETTINGS.confirm_within_ms
        first_limit_ms = (
            SETTINGS.confirm_within_ms + SETTINGS.peer_wait_ms + SETTINGS.spread_ms
        )
        assert node.polls[0] <= first_limit_ms + STEP_MS
        pauses = [
            after - before
            for before, after in zip(node.polls, node.polls[1:], strict=False)
        ]
        assert max(pauses) <= 2 * STEP_MS


def test_node_that_hears_again_stops_polling():
    """Guards against a node that polls forever after an outage of its links."""
    node = _Node()
    node.run_until(8000)
    polls = len(node.polls)
    node.heard_ms = node.now_ms
    node.run_until(60_000, heard_every_ms=500)
    assert len(node.polls) <= polls + 1


def test_answer_of_a_follower_spares_the_poll():
    """Guards against a node without calls that polls for itself."""
    node = _Node()
    for _ in range(20):
        asked = len(node.asked)
        while len(node.asked) == asked:
            node.run_until(node.now_ms + STEP_MS)
        node.heard_ms = node.now_ms
    assert not node.polls


def test_nodes_that_lose_all_followers_do_not_poll_at_once():
    """Guards against a stampede on the store."""
    firsts = []
    for seed in range(200):
        node = _Node(seed)
        node.run_until(5000)
        firsts.append(node.polls[0])
    most = max(firsts.count(moment) for moment in firsts)
    assert most <= len(firsts) // 10


def test_node_whose_state_differs_polls_ever_more_rarely():
    """Guards against polls in quick succession while many nodes start."""
    node = _Node()
    node.differs_since_ms = 0
    node.run_until(40_000, heard_every_ms=500)
    pauses = [
        after - before
        for before, after in zip(node.polls, node.polls[1:], strict=False)
    ]
    assert node.polls[0] == SETTINGS.mismatch_ms
    assert pauses == sorted(pauses)
    assert pauses[-1] == SETTINGS.max_mismatch_ms


def test_node_whose_state_differs_asks_a_follower_first():
    """Guards against a call to the store for each record that gossip missed."""
    node = _Node()
    node.differs_since_ms = 0
    node.run_until(1000, heard_every_ms=500)
    assert len(node.asked) == 1
    node.differs_since_ms = None
    node.run_until(20_000, heard_every_ms=500)
    assert not node.polls


@pytest.mark.parametrize('rank', [0, 1])
def test_polls_of_two_followers_end_before_others_ask(rank: int):
    """Guards against a poll that leaves out its slot, so that followers count as silent."""
    period_ms = 2500
    ask_ms = turns_within(period_ms).confirm_within_ms * (1 - EARLY_SHARE)
    slots_ms = period_ms / 2
    for begin_ms in range(0, 2 * period_ms, 10):
        end_ms = begin_ms + slot_wait_ms(begin_ms, rank, 2, period_ms)
        early_ms = (slots_ms * rank - end_ms) % period_ms
        assert slots_ms + early_ms < ask_ms
