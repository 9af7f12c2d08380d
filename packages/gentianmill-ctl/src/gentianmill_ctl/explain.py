"""Tell the story of a request from the logs of several nodes."""

import sys
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

import msgspec

from gentianmill_ctl.check import read_file
from gentianmill_ctl.result import Result

STANDARD_INPUT = '-'
ID_SEPARATOR = '.'
"""Ends the id of the caller in the id of a call that an upstream makes for it."""

_COMMON_FIELDS = frozenset(('timestamp', 'vm', 'event', 'level', 'component'))

Line = Mapping[str, Any]


def explain_request(request_id: str, file_names: list[str]) -> Result:
    """Return the log lines of a request, its inner calls and its callers, in order.

    Args:
        request_id: Id of the request as its caller sent it.
        file_names: Logs, one JSON object a line; ``-`` is standard input.

    Raises:
        GentianmillError: If a file cannot be read.
    """
    found = [
        line
        for file_name in file_names
        for line in _parsed(_read(file_name))
        if _belongs(str(line.get('request_id', '')), request_id)
    ]
    found.sort(key=_order)
    lines = [_described(line) for line in found]
    if not found:
        lines = [f'No line names {request_id}; ordinary answers are not logged.']
    return Result({'request_id': request_id, 'lines': found}, lines)


def _read(file_name: str) -> Iterable[bytes]:
    if file_name == STANDARD_INPUT:
        return sys.stdin.buffer
    return read_file(file_name).splitlines()


def _parsed(lines: Iterable[bytes]) -> Iterator[Line]:
    """Parse lines; a collector may have put its own words before the object."""
    for line in lines:
        start = line.find(b'{')
        if start < 0:
            continue
        try:
            parsed = msgspec.json.decode(line[start:])
        except msgspec.DecodeError:
            # Other programs write to the same log; their lines are no decisions.
            continue
        if isinstance(parsed, dict):
            yield parsed


def _belongs(found: str, request_id: str) -> bool:
    if not found:
        return False
    if found == request_id or found.startswith(request_id + ID_SEPARATOR):
        return True
    return request_id.startswith(found + ID_SEPARATOR)


def _order(line: Line) -> str:
    return str(line.get('timestamp', ''))


def _described(line: Line) -> str:
    inputs = ', '.join(
        f'{name}={found}' for name, found in line.items() if name not in _COMMON_FIELDS
    )
    columns = (_order(line), line.get('vm', '-'), line.get('event', ''), inputs)
    return '  '.join(str(column) for column in columns)
