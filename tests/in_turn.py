"""Await operations one after the other."""

from collections.abc import AsyncIterator, Iterable
from typing import TypeVar

_Content = TypeVar('_Content')


async def in_turn(steps: Iterable[_Content]) -> AsyncIterator[_Content]:
    """Iterate, for loops whose rounds await something and must not overlap."""
    for step in steps:
        yield step
