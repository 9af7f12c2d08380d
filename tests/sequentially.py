"""Asynchronous iteration over steps that must run sequentially."""

from collections.abc import AsyncIterator, Iterable
from typing import TypeVar

_Content = TypeVar('_Content')


async def sequentially(steps: Iterable[_Content]) -> AsyncIterator[_Content]:
    """Yield each step, for loops that await in each pass and must not overlap."""
    for step in steps:
        yield step
