"""Find expired claim rows and schedule their deletion in batches."""

import dataclasses
from collections.abc import Iterable

from gentianmill.claim_rows import DAY_MS, DAY_PREFIX, RETENTION_MS

MAX_CLOCK_SKEW_MS = 3600 * 1000
"""Largest clock skew between two nodes."""

SWEEP_SHARE = 0.1
"""Share of the write budget for sweeps, in addition to the writes of claims."""

BATCH_ROWS = 250
"""Most rows of a batch. At 2,700 claims a second, with two rows each, and 30 batches a
second, a batch needs 180 rows."""

SLOW_SWEEP_MS = 500
IDLE_MS = 10 * 60 * 1000
"""Shortest cycle while no row is expired, since rows expire a day at a time."""

FIRST_BACKOFF_MS = 5000
MAX_BACKOFF_MS = 5 * 60 * 1000


@dataclasses.dataclass(frozen=True, slots=True)
class SweepTurn:
    """The turn of one node among the nodes that sweep the same rows.

    ``cycle_ms`` is the time in which each of them deletes one batch.
    """

    position: int
    nodes: int
    cycle_ms: float


def expired_rows(row_keys: Iterable[str], now_unix_ms: float) -> list[str]:
    """Return the rows that may be deleted.

    All rows of a day expire together, once every node rejects the last key of that day.

    Args:
        row_keys: Row keys of claims and responses.
        now_unix_ms: Time of day, in Unix ms.
    """
    retention_ms = RETENTION_MS + MAX_CLOCK_SKEW_MS
    first_day = int((now_unix_ms - retention_ms) // DAY_MS)
    return [key for key in row_keys if _is_expired(key, first_day)]


def _is_expired(row_key: str, first_day: int) -> bool:
    day = row_key.split('/')[2]
    return day.startswith(DAY_PREFIX) and int(day.removeprefix(DAY_PREFIX)) < first_day


class ClaimSweep:
    """Decide when one node searches for expired rows and deletes a batch.

    The nodes of a service sweep round-robin at fixed times of day, so that they seldom
    read the same rows. If two of them do, they delete the same rows, which is harmless.
    """

    def __init__(self) -> None:
        """Start as if rows had just been deleted."""
        self._idle = False
        self._backoff_ms: float = 0

    def wait_ms(self, now_unix_ms: float, turn: SweepTurn) -> float:
        """Return the time until the next sweep, in ms.

        Args:
            now_unix_ms: Time of day, in Unix ms.
            turn: The current turn of this node.
        """
        min_cycle_ms = IDLE_MS if self._idle else 0
        cycle_ms = max(turn.cycle_ms, min_cycle_ms, self._backoff_ms)
        offset_ms = turn.position / turn.nodes * cycle_ms
        left_ms = (offset_ms - now_unix_ms) % cycle_ms
        # A timer that fires early must not start a second sweep in one cycle.
        return left_ms if left_ms >= cycle_ms / 2 else left_ms + cycle_ms

    def on_swept(self, deleted: int, elapsed_ms: float) -> None:
        """Record a sweep that succeeded.

        Args:
            deleted: Number of rows deleted.
            elapsed_ms: Time that the table took for it.
        """
        if elapsed_ms > SLOW_SWEEP_MS:
            self.on_failure()
            return
        self._idle = not deleted
        self._backoff_ms = 0

    def on_failure(self) -> None:
        """Record that the table failed or was slow."""
        longer_ms = max(self._backoff_ms * 2, FIRST_BACKOFF_MS)
        self._backoff_ms = min(longer_ms, MAX_BACKOFF_MS)
