"""Fixtures that several test modules share."""

from pathlib import Path

import pytest
from deployed_node import build_tree

pytest_plugins = ('case_timeout',)


@pytest.fixture(scope='session')
def tree(tmp_path_factory) -> Path:
    """Return a tree that was built by the command of the deploy file."""
    folder = tmp_path_factory.mktemp('tree')
    build_tree(folder)
    return folder
