"""One limit on the bytes that a node holds for others.

Everything that a node holds for callers, upstreams and other nodes counts: requests being
read, responses being collected or waiting for a slow reader, and answers kept for a
sender that lost its link. Small messages are only counted. Large requests reserve their
size before they are read, and wait in order while there is no room. Heads count with the
memory that they take, which is many times their bytes if their lines are short; one for
which there is no room is refused.
"""

import enum
from collections import Counter, deque
from collections.abc import Callable

__all__ = ('SMALL_BYTES', 'ByteBudget', 'HeldKind', 'Reservation')

SMALL_BYTES = 64 * 1024
"""Size up to which a message needs no reservation and is sent in one piece."""

REQUEST_SHARE = 0.6
"""Part of the limit that large requests may reserve together; the rest is for responses
and for small messages, which thus pass while uploads wait."""

HEAD_SHARE = 0.25
"""Part of the limit that heads may take together."""

FREE_SHARE = 0.5
"""Part of that up to which heads are taken whatever their size."""

HEAD_RESERVE = 8
"""Above it a head is taken while there is room for this many of its size, so that few
large ones leave room for many small ones."""

ORDINARY_HEADS_SHARE = 0.05
"""Part of the limit that heads take without taking it from bodies, so that a body as long
as the limit has room beside its own head."""

SCARCE_SHARE = 0.5
"""Part of the limit above which answers that are only kept are dropped."""


class HeldKind(enum.StrEnum):
    """What bytes are held for."""

    request = 'request'
    head = 'head'
    response = 'response'
    kept = 'kept'
    """Answers that were sent, and are kept for a sender that asks again."""


class Reservation:
    """Room for one large request; it is granted at once or later."""

    def __init__(
        self, budget: 'ByteBudget', count: int, on_granted: Callable[[], None]
    ) -> None:
        """Create a reservation that is not granted; call ``ByteBudget.reserve`` instead.

        Args:
            budget: Grants it.
            count: Bytes.
            on_granted: Called when it is granted later.
        """
        self._budget = budget
        self._count = count
        self._on_granted = on_granted
        self._is_granted = False
        self._is_released = False

    @property
    def count(self) -> int:
        """Return the bytes."""
        return self._count

    @property
    def is_granted(self) -> bool:
        """Return whether the bytes may be held."""
        return self._is_granted

    @property
    def is_released(self) -> bool:
        """Return whether ``release`` was called."""
        return self._is_released

    def release(self) -> None:
        """Give the room back, or stop waiting for it; later calls do nothing."""
        if self._is_released:
            return
        self._is_released = True
        if self._is_granted:
            self._budget.release(HeldKind.request, self._count)
        else:
            self._budget.grant_waiting()

    def grant(self) -> None:
        """Hold the bytes; called by the budget."""
        self._is_granted = True
        self._budget.hold(HeldKind.request, self._count)

    def notify(self) -> None:
        """Tell the owner that the bytes may be held now; called by the budget."""
        self._on_granted()


class ByteBudget:
    """Count held bytes, and grant large requests their room in order."""

    def __init__(self, limit_bytes: int) -> None:
        """Create a budget of which nothing is held.

        Args:
            limit_bytes: Bytes that may be held.
        """
        self._limit = limit_bytes
        self._held: Counter[HeldKind] = Counter()
        self._waiting: deque[Reservation] = deque()

    @property
    def limit(self) -> int:
        """Return the bytes that may be held."""
        return self._limit

    @property
    def held(self) -> int:
        """Return the bytes that are held."""
        return self._held.total()

    @property
    def waiting(self) -> int:
        """Return the number of reservations that wait for room."""
        return sum(not reservation.is_released for reservation in self._waiting)

    @property
    def is_scarce(self) -> bool:
        """Return whether what is not needed should be dropped."""
        return self.held > self._limit * SCARCE_SHARE

    def held_of(self, kind: HeldKind) -> int:
        """Return the bytes of a kind that are held."""
        return self._held[kind]

    def fits(self, count: int) -> bool:
        """Return whether a request of a size can ever get its room."""
        return count <= self._limit

    def has_room_for_head(self, count: int, held: int = 0) -> bool:
        """Return whether a head may be held.

        Args:
            count: Bytes that it takes.
            held: Bytes that are held for it so far.
        """
        share = self._limit * HEAD_SHARE
        others = self._held[HeldKind.head] - held
        if others + count <= share * FREE_SHARE:
            return True
        return count * HEAD_RESERVE <= share - others

    def hold(self, kind: HeldKind, count: int) -> None:
        """Count bytes that are held from now on."""
        self._held[kind] += count

    def release(self, kind: HeldKind, count: int) -> None:
        """Count bytes that are not held any more."""
        self._held[kind] -= count
        self.grant_waiting()

    def reserve(self, count: int, on_granted: Callable[[], None]) -> Reservation:
        """Return the reservation of a large request, granted if there is room now.

        Args:
            count: Bytes of the request.
            on_granted: Called when it is granted later.
        """
        reservation = Reservation(self, count, on_granted)
        if not self.waiting and self._has_room(count):
            reservation.grant()
        else:
            self._waiting.append(reservation)
        return reservation

    def grant_waiting(self) -> None:
        """Grant the reservations that have room now, in their order."""
        while self._waiting:
            first = self._waiting[0]
            if first.is_released:
                self._waiting.popleft()
                continue
            if not self._has_room(first.count):
                return
            self._waiting.popleft()
            first.grant()
            first.notify()

    def _has_room(self, count: int) -> bool:
        reserved = self._held[HeldKind.request]
        if reserved and reserved + count > self._limit * REQUEST_SHARE:
            return False
        heads = self._held[HeldKind.head]
        ordinary = min(heads, self._limit * ORDINARY_HEADS_SHARE)
        return self.held - ordinary + count <= self._limit
