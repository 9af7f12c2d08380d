"""Admission levels: which requests an overloaded service still accepts.

Source: Zhou et al., "Overload Control for Scaling WeChat Microservices",
SoCC 2018 (DAGOR).
"""

import hashlib
from collections import Counter

from gentianmill.sheet import RANKS_PER_CLASS, WorkClass

PERIOD_MS = 250
"""Time between two changes of a level."""

DELAY_MS = 25
"""Queue delay above which a period counts as overloaded."""

SHED_SHARE = 0.05
"""Fraction of the admitted calls that an overloaded period sheds."""

FIRST_STEP = 4
"""Ranks opened after the first period without overload; each further step doubles."""

MAX_STEP = 64
"""Most ranks opened at once; half a class."""

MAX_MISSED_PERIODS = 100
"""Most periods without an observation that are counted as periods without overload."""

MIN_LEVEL = RANKS_PER_CLASS // 2 - 1
"""Lowest level; the most important half of the first class is always admitted."""


def rank_of(work_class: WorkClass, identity: str) -> int:
    """Return the admission rank of a request; a lower rank is shed later.

    Args:
        work_class: Class of the request.
        identity: Identity of the request, or its generated id if it has none.

    Returns:
        Class rank × 128 plus a hash of the identity from 0 to 127.
    """
    digest = hashlib.blake2b(identity.encode(), digest_size=1).digest()
    return work_class.rank * RANKS_PER_CLASS + digest[0] % RANKS_PER_CLASS


class AdmissionLevel:
    """Derive a guard's level from its queue delay.

    An overloaded period lowers the level so far that about 5% of the calls
    admitted in that period rank above it. Periods without overload raise it by
    steps that double, so it opens fully within seconds. Protected ranks are
    closed only while the queue refuses protected calls.
    """

    def __init__(
        self, class_count: int, protected_count: int, delay_ms: float = DELAY_MS
    ) -> None:
        """Create a fully open level.

        Args:
            class_count: Number of classes in the sheet.
            protected_count: Number of protected classes, which come first.
            delay_ms: Queue delay above which a period counts as overloaded.
        """
        self._max_level = class_count * RANKS_PER_CLASS - 1
        self._protected_level = protected_count * RANKS_PER_CLASS - 1
        self._delay_ms = delay_ms
        self._level = self._max_level
        self._step = FIRST_STEP
        self._admitted: Counter[int] = Counter()
        self._period_end_ms: float | None = None
        self._lowest_delay_ms: float | None = None
        self._refused = False

    @property
    def level(self) -> int:
        """Return the highest rank that is admitted."""
        return self._level

    @property
    def is_open(self) -> bool:
        """Return whether every rank is admitted."""
        return self._level == self._max_level

    def admits(self, rank: int) -> bool:
        """Return whether a call of this rank is admitted, and count it if so."""
        if rank > self._level:
            return False
        self._admitted[rank] += 1
        return True

    def observe(self, now_ms: float, queue_delay_ms: float, refused: bool) -> None:
        """Record the state of the queue; to be called several times per period.

        Args:
            now_ms: Current time in milliseconds.
            queue_delay_ms: Current queue delay in milliseconds.
            refused: Whether the queue refused a protected call for overload
                since the previous observation.
        """
        if self._period_end_ms is None:
            self._period_end_ms = now_ms + PERIOD_MS
        if now_ms >= self._period_end_ms:
            self._end_period(now_ms, self._period_end_ms, queue_delay_ms)
        lowest_ms = self._lowest_delay_ms
        if lowest_ms is None or queue_delay_ms < lowest_ms:
            self._lowest_delay_ms = queue_delay_ms
        self._refused = self._refused or refused

    def _end_period(self, now_ms: float, end_ms: float, queue_delay_ms: float) -> None:
        lowest_ms = self._lowest_delay_ms
        delay_ms = queue_delay_ms if lowest_ms is None else lowest_ms
        if delay_ms > self._delay_ms or self._refused:
            self._lower()
        else:
            self._raise()
        # No observation in the periods between means that no call waited.
        for _ in range(min(MAX_MISSED_PERIODS, int((now_ms - end_ms) / PERIOD_MS))):
            self._raise()
        self._admitted = Counter()
        self._lowest_delay_ms = None
        self._refused = False
        self._period_end_ms = now_ms + PERIOD_MS

    def _lower(self) -> None:
        self._step = FIRST_STEP
        floor = MIN_LEVEL if self._refused else self._protected_level
        if self._level <= floor:
            return
        excess = SHED_SHARE * self._admitted.total()
        level = self._level
        while level > floor and excess >= 0:
            excess -= self._admitted[level]
            level -= 1
        self._level = level

    def _raise(self) -> None:
        self._level = min(self._max_level, self._level + self._step)
        self._step = min(MAX_STEP, self._step * 2)
