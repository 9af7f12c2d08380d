"""Home nodes: which node of a region keeps the retry count of a request."""

import dataclasses
import hashlib

from gentianmill import rendezvous

BUCKETS = 4096


@dataclasses.dataclass(slots=True)
class _Entry:
    region: str
    up_ms: float
    gone_ms: float | None = None


class HomePicker:
    """Pick the home of a request among the members of a region."""

    def __init__(self, window_ms: float) -> None:
        """Create a picker.

        Args:
            window_ms: Time for which a home keeps a retry count.
        """
        self._window_ms = window_ms
        self._entries: dict[str, _Entry] = {}

    def configure(self, window_ms: float) -> None:
        """Apply the window of a new sheet.

        Args:
            window_ms: Time for which a home keeps a retry count.
        """
        self._window_ms = window_ms

    def member_up(self, node_id: str, region: str, now_ms: float) -> None:
        """Take note of a member that is up."""
        entry = self._entries.get(node_id)
        if entry is None:
            self._entries[node_id] = _Entry(region, now_ms)
        else:
            entry.gone_ms = None

    def member_gone(self, node_id: str, now_ms: float) -> None:
        """Take note of a member that died or left."""
        entry = self._entries.get(node_id)
        if entry is not None and entry.gone_ms is None:
            entry.gone_ms = now_ms

    def home(self, identity: str, region: str, now_ms: float) -> str | None:
        """Return the home of a request.

        Args:
            identity: Identity of the request.
            region: Region in which the home is wanted.
            now_ms: Current time.

        Returns:
            Its node id, or None if there is none, in which case no retry is made.
        """
        self._forget(now_ms)
        covered = self._covered(region, now_ms)
        chosen = rendezvous.pick(str(_bucket(identity)), covered)
        if chosen is None or self._entries[chosen].gone_ms is not None:
            return None
        return chosen

    def _covered(self, region: str, now_ms: float) -> list[str]:
        members = {
            node_id: entry
            for node_id, entry in self._entries.items()
            if entry.region == region
        }
        oldest_ms = now_ms - self._window_ms
        established = [
            node_id for node_id, entry in members.items() if entry.up_ms <= oldest_ms
        ]
        return established or list(members)

    def _forget(self, now_ms: float) -> None:
        expired = [
            node_id
            for node_id, entry in self._entries.items()
            if entry.gone_ms is not None and entry.gone_ms + self._window_ms < now_ms
        ]
        for node_id in expired:
            self._entries.pop(node_id)


def _bucket(identity: str) -> int:
    digest = hashlib.blake2b(identity.encode(), digest_size=4).digest()
    return int.from_bytes(digest) % BUCKETS
