"""Home nodes: which node of a region keeps the retry count of a request."""

import dataclasses
import hashlib

from gentianmill import rendezvous

BUCKETS = 2048
MAX_LOG_ENTRIES = 512
FOUNDING_MS = 2000
"""Members up within this time after the first one are founders of the region."""

SETTLING_MS = 5000
"""Time after the first member came up from which a founder may be a home."""

MARGIN_SHARE = 0.1
"""Safety margin, as a fraction of the retry window."""


@dataclasses.dataclass(slots=True)
class _Entry:
    up_ms: float
    departed_ms: float | None = None


@dataclasses.dataclass(slots=True)
class _Winner:
    node_id: str
    score: int
    log_position: int


class _Region:
    """Members of one region and the winner of each bucket among them.

    A bucket is updated when it is used. A member added since then costs one score;
    only the removal of the winner costs a search over all members.
    """

    def __init__(self) -> None:
        self.entries: dict[str, _Entry] = {}
        self._hashes: dict[str, int] = {}
        self._winners: dict[int, _Winner] = {}
        self._log: list[str] = []

    def add(self, node_id: str, entry: _Entry) -> None:
        self.entries[node_id] = entry
        self._hashes[node_id] = rendezvous.hash_text(node_id)
        self._log_change(node_id)

    def remove(self, node_id: str) -> None:
        self.entries.pop(node_id)
        self._hashes.pop(node_id)
        self._log_change(node_id)

    def winner(self, bucket: int) -> str | None:
        found = self._winners.get(bucket)
        if found is None:
            return self._search(bucket)
        changed_ids = self._log[found.log_position :]
        if found.node_id in changed_ids:
            return self._search(bucket)
        for node_id in changed_ids:
            self._compare(found, node_id, bucket)
        found.log_position = len(self._log)
        return found.node_id

    def _compare(self, found: _Winner, node_id: str, bucket: int) -> None:
        score = rendezvous.mix(bucket, self._hashes.get(node_id, 0))
        if score > found.score:
            found.node_id = node_id
            found.score = score

    def _search(self, bucket: int) -> str | None:
        self._winners.pop(bucket, None)
        if not self._hashes:
            return None
        score, best = max(
            (rendezvous.mix(bucket, node_hash), node_id)
            for node_id, node_hash in self._hashes.items()
        )
        self._winners[bucket] = _Winner(best, score, len(self._log))
        return best

    def _log_change(self, node_id: str) -> None:
        if len(self._log) >= MAX_LOG_ENTRIES:
            self._log.clear()
            self._winners.clear()
        self._log.append(node_id)


class HomePicker:
    """Pick the home of a request among the members of a region.

    Rendezvous hashing covers all known members, and those that died or left during
    the retry window. The chosen one is the home only if it is *established*: up for
    the whole window, so that every count of another home has expired, or among the
    first members of the region, so that there was no earlier home. Otherwise there
    is no home and no retry. Hashing over established members only would move a
    request from one home to the next at the moment at which a member becomes
    established, and both would grant the full allowance.

    The bound on retries depends on three things that the caller must ensure. A node
    grants a retry only if its own picker names it as the home, since the views of
    others may be out of date. Ages are those that the members announce, since a
    starting node can't distinguish a new region from one that is new to it. A
    starting node is also notified of the members that were lost during the window,
    since one of them may have been a home.
    """

    def __init__(self, window_ms: float) -> None:
        """Create a picker.

        Args:
            window_ms: Time for which a home keeps a retry count.
        """
        self.configure(window_ms)
        self._regions: dict[str, _Region] = {}
        self._departed: dict[str, str] = {}
        self._region_by_node: dict[str, str] = {}
        self._started_ms: float | None = None

    def configure(self, window_ms: float) -> None:
        """Apply the window of a new sheet.

        Args:
            window_ms: Time for which a home keeps a retry count.
        """
        self._margin_ms = window_ms * MARGIN_SHARE
        self._keep_ms = window_ms + self._margin_ms
        self._founding_ms = min(FOUNDING_MS, window_ms * MARGIN_SHARE)
        self._settling_ms = min(SETTLING_MS, window_ms * MARGIN_SHARE * 2)

    def member_up(
        self, node_id: str, region: str, now_ms: float, age_ms: float | None = None
    ) -> None:
        """Record that a member is up.

        Args:
            node_id: Its node id.
            region: Its region.
            now_ms: Current time.
            age_ms: How long it has been a member without interruption, as announced
                by itself. If it is None, the member counts as new, even if it is
                this node that is new.
        """
        if self._started_ms is None:
            self._started_ms = now_ms
        up_ms = now_ms - (age_ms or 0)
        entry = self._entry(node_id)
        if entry is None:
            if now_ms - self._started_ms > self._keep_ms:
                # A long-lived member that this node does not know was removed here
                # earlier, and another home has taken over since.
                up_ms = now_ms
            self._region_by_node[node_id] = region
            self._regions.setdefault(region, _Region()).add(node_id, _Entry(up_ms))
            return
        entry.departed_ms = None
        self._departed.pop(node_id, None)
        if age_ms is not None and up_ms > entry.up_ms + self._margin_ms:
            # It restarted with the same node id and lost its counts.
            entry.up_ms = up_ms

    def member_departed(self, node_id: str, now_ms: float) -> None:
        """Record that a member died or left."""
        entry = self._entry(node_id)
        if entry is not None and entry.departed_ms is None:
            entry.departed_ms = now_ms
            self._departed[node_id] = self._region_by_node[node_id]

    def home(self, identity: str, region: str, now_ms: float) -> str | None:
        """Return the home of a request.

        Args:
            identity: Identity of the request.
            region: Region of the home.
            now_ms: Current time.

        Returns:
            Its node id, or None if there is no home; then no retry is allowed.
        """
        self._remove_expired(now_ms)
        members = self._regions.get(region)
        if members is None:
            return None
        chosen = members.winner(_bucket(identity))
        if chosen is None or not self._is_home(members, chosen, now_ms):
            return None
        return chosen

    def _is_home(self, members: _Region, node_id: str, now_ms: float) -> bool:
        entry = members.entries[node_id]
        if entry.departed_ms is not None:
            return False
        if now_ms - entry.up_ms >= self._keep_ms:
            return True
        first_ms = min(other.up_ms for other in members.entries.values())
        is_founder = entry.up_ms <= first_ms + self._founding_ms
        return is_founder and now_ms >= first_ms + self._settling_ms

    def _entry(self, node_id: str) -> _Entry | None:
        region = self._region_by_node.get(node_id)
        return None if region is None else self._regions[region].entries[node_id]

    def _remove_expired(self, now_ms: float) -> None:
        while self._departed:
            node_id, region = next(iter(self._departed.items()))
            members = self._regions[region]
            departed_ms = members.entries[node_id].departed_ms
            if departed_ms is not None and departed_ms + self._keep_ms > now_ms:
                return
            self._departed.pop(node_id)
            self._region_by_node.pop(node_id)
            self._regions[region].remove(node_id)


def _bucket(identity: str) -> int:
    digest = hashlib.blake2b(identity.encode(), digest_size=8).digest()
    return rendezvous.hash_text(str(int.from_bytes(digest) % BUCKETS))
