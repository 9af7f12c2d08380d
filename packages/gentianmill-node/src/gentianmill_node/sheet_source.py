"""Access to the planning sheet in force."""

from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill.sheet import Sheet
from gentianmill.sheet_version import SheetTracker


class SheetSource:
    """Return the sheet in force, or raise an error with the reason if there is none."""

    def __init__(self, tracker: SheetTracker) -> None:
        """Create a source.

        Args:
            tracker: Holds the accepted sheet with the highest version.
        """
        self._tracker = tracker

    def required(self) -> Sheet:
        """Return the sheet in force.

        Raises:
            GentianmillError: With code ``no_sheet`` if no accepted sheet is known.
        """
        sheet = self._tracker.sheet
        if sheet is None:
            raise GentianmillError(
                ErrorCode.no_sheet, 'sheet', '', self._tracker.not_ready_reason
            )
        return sheet
