"""Problems of settings and sheet files, with the line and the field."""

import dataclasses
from collections.abc import Sequence

from gentianmill.errors import ErrorCode, GentianmillError

_MAX_LISTED = 20


@dataclasses.dataclass(frozen=True, slots=True)
class FileProblem:
    """One problem of a file; lines count from 1."""

    file: str
    line: int
    field: str
    expected: str
    found: str

    def __str__(self) -> str:
        """Return the problem in one line."""
        location = f'{self.file}:{self.line}: {self.field or "file"}'
        return f'{location}: expected {self.expected}, found {self.found}'


class FileError(GentianmillError):
    """Raised with the problems of a file; the message shows the first 20."""

    def __init__(self, code: ErrorCode, problems: Sequence[FileProblem]) -> None:
        """Create an error.

        Args:
            code: ``bad_sheet`` or ``bad_settings``.
            problems: At least one problem, in the order of the lines.
        """
        listed = '; '.join(str(problem) for problem in problems[:_MAX_LISTED])
        super().__init__(code, 'check', problems[0].file, listed)
        self._problems = tuple(problems)

    @property
    def problems(self) -> tuple[FileProblem, ...]:
        """Return the problems in the order of the lines."""
        return self._problems
