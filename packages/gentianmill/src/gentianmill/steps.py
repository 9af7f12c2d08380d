"""Long computations in steps, between which others may run."""

from collections.abc import Generator
from typing import TypeVar

Content = TypeVar('Content')
Steps = Generator[None, None, Content]
"""Yields after each small step and returns the result at the end."""


def run_steps(steps: Steps[Content]) -> Content:
    """Take all steps at once and return the result."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value
