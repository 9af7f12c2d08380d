"""Turns of a node that follows the store alone."""

import asyncio

from gentianmill_mesh.ports import PollTurns

PAUSE_S = 0.5


class ImmediateTurns(PollTurns):
    """Let a node poll again after a short pause."""

    def wait_ms(self, longest_ms: int) -> int:
        """Return that a poll may wait for a change."""
        return longest_ms

    async def until_due(self) -> None:
        """Pause."""
        await asyncio.sleep(PAUSE_S)


class RequestedTurns(PollTurns):
    """Let a node poll only when it asks for it."""

    def wait_ms(self, longest_ms: int) -> int:
        """Return that a poll may wait for a change."""
        return longest_ms

    async def until_due(self) -> None:
        """Wait for ever."""
        await asyncio.Event().wait()


def ignore_confirmation(_as_of_ms: float) -> None:
    """Do nothing."""
