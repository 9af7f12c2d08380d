"""Crash suspects: calls that were running when an upstream crashed."""

import dataclasses
import enum
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable

from gentianmill import rendezvous

MAX_SUSPECTS = 16_384


class SuspectVerdict(enum.StrEnum):
    """What a guard does with a call."""

    run = 'run'
    wait = 'wait'
    elsewhere = 'elsewhere'
    refuse = 'refuse'


@dataclasses.dataclass(frozen=True, slots=True)
class Strike:
    """Update about a suspect, sent to the other guards of the service."""

    digest: bytes
    convicted: bool
    cleared: bool


def suspect_owner(digest: bytes, node_ids: Iterable[str]) -> str | None:
    """Return the only guard that may run a suspect, or None if there is none.

    Args:
        digest: Digest of the suspect.
        node_ids: Members of the service that accept calls.
    """
    return rendezvous.pick(digest.hex(), node_ids)


def _owns_all(_digest: bytes) -> bool:
    return True


class SuspectList:
    """Isolate the calls that may have crashed an upstream.

    The list contains the suspects known to one guard and the calls that run on its
    upstream. Only the owner of a suspect runs it. Otherwise a caller that resends
    to several guards at once could crash the upstreams of all of them before the
    first guard has notified the others.
    """

    def __init__(
        self, window_ms: float, owns: Callable[[bytes], bool] = _owns_all
    ) -> None:
        """Create a list.

        Args:
            window_ms: Time for which a suspect is remembered.
            owns: Whether this guard is the owner of a suspect, by ``suspect_owner``.
        """
        self._window_ms = window_ms
        self._owns = owns
        self._convicted: OrderedDict[bytes, float] = OrderedDict()
        self._suspects: OrderedDict[bytes, float] = OrderedDict()
        self._running: Counter[bytes] = Counter()

    def configure(self, window_ms: float) -> None:
        """Apply the window of a new sheet.

        Args:
            window_ms: Time for which a suspect is remembered.
        """
        self._window_ms = window_ms

    def check(self, digest: bytes, now_ms: float) -> SuspectVerdict:
        """Return whether a call may start now.

        Args:
            digest: Digest of the call.
            now_ms: Current time.

        Returns:
            ``run``; ``wait`` while another suspect runs here; ``elsewhere`` if only
            the owner may run it; ``refuse`` if it is confirmed as the cause.
        """
        self._expire(now_ms)
        if digest in self._convicted:
            return SuspectVerdict.refuse
        if digest not in self._suspects:
            return SuspectVerdict.run
        if not self._owns(digest):
            return SuspectVerdict.elsewhere
        is_blocked = any(self._may_crash(running) for running in self._running)
        return SuspectVerdict.wait if is_blocked else SuspectVerdict.run

    def start(self, digest: bytes) -> None:
        """Record a call that starts on the upstream."""
        self._running[digest] += 1

    def finish(
        self, digest: bytes, now_ms: float, complete: bool = True
    ) -> Strike | None:
        """Record a call that ended without a crash.

        Args:
            digest: Digest of the call.
            now_ms: Current time.
            complete: Whether the upstream responded. A cancelled call may still
                crash it, so it clears nothing.

        Returns:
            A strike that clears a suspect, or None if nothing was cleared.
        """
        self._stop(digest)
        if not complete or self._suspects.pop(digest, None) is None:
            return None
        return Strike(digest, convicted=False, cleared=True)

    def crash(self, now_ms: float) -> list[Strike]:
        """Record a crash of the upstream against all calls that were running.

        Args:
            now_ms: Current time.

        Returns:
            The strikes to send to the other guards, together and in this order. A
            guard with only some of them could confirm an innocent call as the cause
            while a duplicate of the real cause runs alongside it.
        """
        running = list(self._running)
        self._running.clear()
        candidates = [digest for digest in running if self._may_crash(digest)]
        if len(candidates) == 1:
            return [self._convict(candidates[0], now_ms)]
        return [self._suspect(digest, now_ms) for digest in running]

    def merge(self, strike: Strike, now_ms: float) -> None:
        """Apply a strike of another guard."""
        if strike.convicted:
            self._convict(strike.digest, now_ms)
        elif strike.cleared:
            self._suspects.pop(strike.digest, None)
        else:
            self._suspect(strike.digest, now_ms)

    def _may_crash(self, digest: bytes) -> bool:
        """Return whether a running call may crash the upstream.

        A duplicate of a confirmed cause may have started before it was confirmed.
        """
        return digest in self._suspects or digest in self._convicted

    def _stop(self, digest: bytes) -> None:
        self._running[digest] -= 1
        if self._running[digest] <= 0:
            self._running.pop(digest)

    def _suspect(self, digest: bytes, now_ms: float) -> Strike:
        if digest in self._convicted:
            return Strike(digest, convicted=True, cleared=False)
        self._suspects[digest] = now_ms
        self._suspects.move_to_end(digest)
        if len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        return Strike(digest, convicted=False, cleared=False)

    def _convict(self, digest: bytes, now_ms: float) -> Strike:
        self._suspects.pop(digest, None)
        self._convicted[digest] = now_ms
        self._convicted.move_to_end(digest)
        if len(self._convicted) > MAX_SUSPECTS:
            self._convicted.popitem(last=False)
        return Strike(digest, convicted=True, cleared=False)

    def _expire(self, now_ms: float) -> None:
        oldest_ms = now_ms - self._window_ms
        for digests in (self._suspects, self._convicted):
            while digests and next(iter(digests.values())) < oldest_ms:
                digests.popitem(last=False)
