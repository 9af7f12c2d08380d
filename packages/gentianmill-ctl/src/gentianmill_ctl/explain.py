"""Collect the log lines of one request from the logs of several nodes."""

import sys
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

import msgspec

from gentianmill_ctl.check import read_file
from gentianmill_ctl.result import Result

STANDARD_INPUT = '-'
ID_SEPARATOR = '.'
"""Follows the id of a request in the id of a call that an upstream makes for it."""

_COMMON_FIELDS = frozenset(('timestamp', 'vm', 'event', 'level', 'component'))

Line = Mapping[str, Any]


def explain_request(request_id: str, file_names: list[str]) -> Result:
    """Return the log lines of a request, its inner calls and its callers, by time.

    Inner calls are those that upstreams make for the request.

    Args:
        request_id: Id of the request as its caller sent it.
        file_names: Logs, one JSON object a line; ``-`` is standard input.

    Raises:
        GentianmillError: If a file cannot be read.
    """
    matches = [
        line
        for file_name in file_names
        for line in _parse_lines(_read(file_name))
        if _is_related(str(line.get('request_id', '')), request_id)
    ]
    matches.sort(key=_timestamp)
    lines = [_formatted(line) for line in matches]
    if not matches:
        lines = [f'No line names {request_id}; ordinary responses are not logged.']
    return Result({'request_id': request_id, 'lines': matches}, lines)


def _read(file_name: str) -> Iterable[bytes]:
    if file_name == STANDARD_INPUT:
        return sys.stdin.buffer
    return read_file(file_name).splitlines()


def _parse_lines(lines: Iterable[bytes]) -> Iterator[Line]:
    """Parse lines; a log collector may have put a prefix before the JSON object."""
    for line in lines:
        start = line.find(b'{')
        if start < 0:
            continue
        try:
            parsed = msgspec.json.decode(line[start:])
        except msgspec.DecodeError:
            # Other programs may write to the same log; their lines are skipped.
            continue
        if isinstance(parsed, dict):
            yield parsed


def _is_related(line_id: str, request_id: str) -> bool:
    if not line_id:
        return False
    if line_id == request_id or line_id.startswith(request_id + ID_SEPARATOR):
        return True
    return request_id.startswith(line_id + ID_SEPARATOR)


def _timestamp(line: Line) -> str:
    return str(line.get('timestamp', ''))


def _formatted(line: Line) -> str:
    details = ', '.join(
        f'{name}={value}' for name, value in line.items() if name not in _COMMON_FIELDS
    )
    columns = (_timestamp(line), line.get('vm', '-'), line.get('event', ''), details)
    return '  '.join(str(column) for column in columns)
