"""Tests that no handler hides an error: on-call engineers have only logs and metrics."""

import ast
import gc
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
SOURCES = sorted([*ROOT.glob('packages/*/src/**/*.py'), *ROOT.glob('platform/**/*.py')])
EXPECTED = frozenset(('CancelledError', 'StopIteration', 'TimeoutError'))
"""Exceptions that end a wait as the surrounding code intends."""


@pytest.fixture(autouse=True)
def _no_finalizers() -> Iterator[None]:
    """Run finalizers of other tests first.

    One that fails while Python 3.11 parses, and whose traceback is formatted, makes
    the parser raise a ``SystemError``.
    """
    gc.collect()
    gc.disable()
    yield
    gc.enable()


def _names(node: ast.expr | None) -> set[str]:
    if node is None:
        return set()
    return {
        found.attr if isinstance(found, ast.Attribute) else found.id
        for found in ast.walk(node)
        if isinstance(found, ast.Attribute | ast.Name)
    }


def _swallows(handler: ast.ExceptHandler) -> bool:
    """Return whether a handler neither raises, nor logs, nor uses the error."""
    inside = [node for part in handler.body for node in ast.walk(part)]
    uses_error = any(
        isinstance(node, ast.Name) and node.id == handler.name for node in inside
    )
    logs = any(
        isinstance(node, ast.Name) and node.id in {'log', '_log'} for node in inside
    )
    raises = any(isinstance(node, ast.Raise) for node in inside)
    return not (uses_error or logs or raises or _names(handler.type) & EXPECTED)


def _suppressed(node: ast.AST) -> bool:
    """Return whether a ``contextlib.suppress`` covers more than expected exceptions."""
    if not isinstance(node, ast.Call) or 'suppress' not in _names(node.func):
        return False
    return not all(_names(kind) & EXPECTED for kind in node.args)


def _unexplained_handlers(source: Path) -> Iterator[str]:
    text = source.read_text()
    lines = text.splitlines()
    for node in ast.walk(ast.parse(text)):
        is_swallowed = isinstance(node, ast.ExceptHandler) and _swallows(node)
        if not (is_swallowed or _suppressed(node)):
            continue
        near = lines[node.lineno - 2 : node.lineno + 2]
        if not any(line.strip().startswith('#') for line in near):
            yield f'{source.relative_to(ROOT)}:{node.lineno}'


def test_sources_are_found():
    """Guards against a check that passes because it finds no files."""
    assert len(SOURCES) > 100


@pytest.mark.parametrize('source', SOURCES, ids=lambda path: path.stem)
def test_error_is_logged_or_has_a_reason(source: Path):
    """Guards against handlers that drop an error without a comment that says why."""
    assert not list(_unexplained_handlers(source))
