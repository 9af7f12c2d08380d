"""Tests of reading and comparing keys."""

from pathlib import Path

import pytest

from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill_node.auth_keys import read_key, same_key


def test_reads_a_key_without_the_line_end(tmp_path: Path):
    """Guards against keys that differ only by the final newline of an editor."""
    file = tmp_path / 'key'
    file.write_bytes(b'0123456789abcdef\n')
    assert read_key(str(file)) == b'0123456789abcdef'


@pytest.mark.parametrize(
    'found',
    [b'', b'0123456789abcde \n', b'0123456789abcdef\n0123', b'\xff' * 16, b'x' * 5000],
)
def test_refuses_short_and_broken_keys(tmp_path: Path, found: bytes):
    """Guards against a node that starts with a key anyone can guess."""
    file = tmp_path / 'key'
    file.write_bytes(found)
    with pytest.raises(GentianmillError) as caught:
        read_key(str(file))
    assert caught.value.code is ErrorCode.bad_settings
    assert caught.value.peer == str(file)


def test_names_a_missing_key_file(tmp_path: Path):
    """Guards against a start that fails without naming the file."""
    with pytest.raises(GentianmillError, match='cannot be read'):
        read_key(str(tmp_path / 'absent'))


def test_compares_keys():
    """Guards against accepting a prefix of the key."""
    assert same_key(b'abc', b'abc')
    assert not same_key(b'ab', b'abc')
    assert not same_key(b'', b'abc')
