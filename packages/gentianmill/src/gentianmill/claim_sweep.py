"""Which claim rows are expired, and when a node deletes the next batch."""

import dataclasses
from collections.abc import Iterable

from gentianmill.claim_rows import DAY_MARK, DAY_MS, RETENTION_MS

CLOCK_MARGIN_MS = 3600 * 1000
"""How far the clocks of two nodes may differ."""

SWEEP_SHARE = 0.1
"""Part of the write budget for deletions, in addition to the claims' own."""

BATCH_ROWS = 250
"""At 2,700 claims a second and 30 deletions a second 180 rows are needed."""

SLOW_MS = 500
IDLE_MS = 10 * 60 * 1000
"""Pause while nothing is expired, since rows expire a day at a time."""

FIRST_BACKOFF_MS = 5000
LONGEST_BACKOFF_MS = 5 * 60 * 1000


@dataclasses.dataclass(frozen=True, slots=True)
class SweepTurn:
    """The turn of one node among the nodes that sweep the same rows.

    ``cycle_ms`` is the time in which each of them deletes one batch.
    """

    place: int
    nodes: int
    cycle_ms: float


def expired_rows(row_keys: Iterable[str], now_unix_ms: float) -> list[str]:
    """Return the rows that may be deleted.

    A day expires as a whole, once its last key is refused by every node.

    Args:
        row_keys: Row keys of claims and responses.
        now_unix_ms: Time of day, in Unix ms.
    """
    kept_ms = RETENTION_MS + CLOCK_MARGIN_MS
    first_kept = int((now_unix_ms - kept_ms) // DAY_MS)
    return [key for key in row_keys if _is_before(key, first_kept)]


def _is_before(row_key: str, first_kept: int) -> bool:
    day = row_key.split('/')[2]
    return day.startswith(DAY_MARK) and int(day.removeprefix(DAY_MARK)) < first_kept


class ClaimSweep:
    """Decide when one node looks for expired rows and deletes a batch.

    The nodes of a service take turns at fixed times of day, so that they seldom
    read the same rows. Two that do delete the same rows, which is harmless.
    """

    def __init__(self) -> None:
        """Start as if rows had just been deleted."""
        self._idle = False
        self._backoff_ms: float = 0

    def wait_ms(self, now_unix_ms: float, turn: SweepTurn) -> float:
        """Return the time until the next look, in ms.

        Args:
            now_unix_ms: Time of day, in Unix ms.
            turn: The present turn of this node.
        """
        idle_ms = IDLE_MS if self._idle else 0
        cycle_ms = max(turn.cycle_ms, idle_ms, self._backoff_ms)
        own_ms = turn.place / turn.nodes * cycle_ms
        left_ms = (own_ms - now_unix_ms) % cycle_ms
        # A timer that fires early must not start a second look in one cycle.
        return left_ms if left_ms >= cycle_ms / 2 else left_ms + cycle_ms

    def on_swept(self, deleted: int, elapsed_ms: float) -> None:
        """Note a look that succeeded.

        Args:
            deleted: Number of rows deleted.
            elapsed_ms: Time that the table took for it.
        """
        if elapsed_ms > SLOW_MS:
            self.on_failure()
            return
        self._idle = not deleted
        self._backoff_ms = 0

    def on_failure(self) -> None:
        """Note that the table failed or was slow."""
        longer_ms = max(self._backoff_ms * 2, FIRST_BACKOFF_MS)
        self._backoff_ms = min(longer_ms, LONGEST_BACKOFF_MS)
