"""The planning sheet in force at one node; its version only increases."""

from gentianmill.errors import GentianmillError
from gentianmill.sheet import Sheet
from gentianmill.sheet_file import load_sheet_steps
from gentianmill.sheet_record import SheetRecord
from gentianmill.steps import Steps, run_steps


class SheetTracker:
    """Keep the sheet with the highest version that was offered."""

    def __init__(self) -> None:
        """Start without a sheet."""
        self._sheet: Sheet | None = None
        self._record = SheetRecord(0, '', '', 0)
        self._rejected_version = 0
        self._failures: dict[str, str] = {}

    @property
    def version(self) -> int:
        """Return the version in force, or 0 if there is none."""
        return self._record.version

    @property
    def sheet(self) -> Sheet | None:
        """Return the sheet in force, or None."""
        return self._sheet

    @property
    def record(self) -> SheetRecord:
        """Return the record of the sheet in force; version 0 if there is none."""
        return self._record

    @property
    def rejected_version(self) -> int:
        """Return the highest version whose text could not be read, or 0."""
        return self._rejected_version

    @property
    def not_ready_reason(self) -> str | None:
        """Return why there is no sheet, or None if there is one."""
        if self._sheet is not None:
            return None
        if not self._failures:
            return 'no planning sheet: none has been received yet'
        causes = '; '.join(
            f'{source}: {cause}' for source, cause in sorted(self._failures.items())
        )
        return f'no planning sheet: {causes}'

    def offer(
        self, version: int, text: str, accepted_by: str, accepted_unix_ms: int
    ) -> bool:
        """Put a sheet in force if its version is higher than the current one.

        Args:
            version: Version under which the sheet was accepted.
            text: The sheet file.
            accepted_by: Name of the operator who submitted it.
            accepted_unix_ms: Time at which it was accepted, in Unix milliseconds.

        Returns:
            Whether the sheet is now in force. If it cannot be read, the current
            one stays in force.
        """
        return run_steps(self.offer_steps(version, text, accepted_by, accepted_unix_ms))

    def offer_steps(
        self, version: int, text: str, accepted_by: str, accepted_unix_ms: int
    ) -> Steps[bool]:
        """Do the same as ``offer`` in steps; other sheets may be offered in between."""
        if version <= self.version:
            return False
        try:
            model = yield from load_sheet_steps(text, f'sheet version {version}')
        except GentianmillError as error:
            self._rejected_version = max(self._rejected_version, version)
            self.record_failure(f'sheet version {version}', f'cannot be read: {error}')
            return False
        yield
        sheet = Sheet(model, version)
        if version <= self.version:
            return False
        self._sheet = sheet
        self._record = SheetRecord(version, text, accepted_by, accepted_unix_ms)
        self._failures.clear()
        return True

    def record_failure(self, source: str, cause: str) -> None:
        """Record why a source returned no sheet, for ``not_ready_reason``.

        Args:
            source: Where the sheet was requested, such as ``table``.
            cause: Short description of the failure.
        """
        self._failures[source] = cause
