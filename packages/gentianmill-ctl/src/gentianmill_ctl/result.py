"""Results of commands, for people and for scripts, and exit codes."""

import dataclasses
import enum
import sys
from collections.abc import Mapping, Sequence
from types import MappingProxyType
from typing import Any

import msgspec

from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill.file_problem import FileError


Rows = Sequence[Mapping[str, Any]]


class ExitCode(enum.IntEnum):
    """Exit codes of ``gentianmillctl``."""

    success = 0
    refused = 1
    usage = 2
    conflict = 3
    unavailable = 4
    unauthorised = 5


EXIT_CODE_HELP = (
    'Exit codes: 0 success; 1 refused by checks; 2 usage, also an unreadable file; '
    '3 conflict with another change; 4 table or node unreachable or unavailable; '
    '5 key missing or wrong.'
)

_EXIT_CODES = MappingProxyType(
    {
        ErrorCode.bad_sheet: ExitCode.refused,
        ErrorCode.bad_settings: ExitCode.refused,
        ErrorCode.bad_request: ExitCode.usage,
        ErrorCode.version_conflict: ExitCode.conflict,
        ErrorCode.settlement_refused: ExitCode.refused,
        ErrorCode.settlement_conflict: ExitCode.conflict,
        ErrorCode.unauthorised: ExitCode.unauthorised,
        ErrorCode.unknown_operation: ExitCode.refused,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Output of a command: fields for scripts and lines for people."""

    fields: Mapping[str, Any]
    lines: Sequence[str]


def exit_code(error: GentianmillError) -> ExitCode:
    """Return the exit code for an error."""
    return _EXIT_CODES.get(error.code, ExitCode.unavailable)


def print_result(result: Result, as_json: bool) -> None:
    """Print a result to standard output."""
    if as_json:
        _write(msgspec.json.encode(result.fields).decode())
    else:
        _write('\n'.join(result.lines))


def print_error(error: GentianmillError, as_json: bool) -> None:
    """Print an error: JSON to standard output, text to standard error."""
    problems = error.problems if isinstance(error, FileError) else ()
    if as_json:
        fields = {
            'code': error.code.value,
            'step': error.step,
            'peer': error.peer,
            'message': error.message,
            'problems': [dataclasses.asdict(problem) for problem in problems],
            'notes': getattr(error, '__notes__', []),
            **getattr(error, 'details', {}),
        }
        _write(msgspec.json.encode(fields).decode())
    else:
        lines = [str(problem) for problem in problems] or [str(error)]
        lines.extend(getattr(error, '__notes__', ()))
        sys.stderr.write('\n'.join([*lines, '']))


def table_lines(rows: Rows, columns: Sequence[str]) -> list[str]:
    """Return rows as aligned text; the first line holds the column names."""
    cells = [columns, *(_cells(row, columns) for row in rows)]
    widths = [_width(column) for column in zip(*cells, strict=True)]
    return [_aligned(line, widths) for line in cells]


def _cells(row: Mapping[str, Any], columns: Sequence[str]) -> list[str]:
    return [str(row.get(name, '')) for name in columns]


def _width(column: Sequence[str]) -> int:
    return max(map(len, column))


def _aligned(line: Sequence[str], widths: Sequence[int]) -> str:
    padded = '  '.join(map(str.ljust, line, widths))
    return padded.rstrip()


def _write(text: str) -> None:
    sys.stdout.write(f'{text}\n')
