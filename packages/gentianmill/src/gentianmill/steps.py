"""Long computations as generators, so that other tasks can run between steps."""

from collections.abc import Generator
from typing import TypeVar

Content = TypeVar('Content')
Steps = Generator[None, None, Content]
"""Yields after each small step and returns the result at the end."""


def run_steps(steps: Steps[Content]) -> Content:
    """Run all steps without a pause and return the result."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value
