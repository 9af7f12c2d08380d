"""Byte budget of bulk traffic between regions."""

from gentianmill.sheet_models import LimitsModel

BITS_PER_BYTE = 8
BYTES_PER_MBIT = 1_000_000 // BITS_PER_BYTE
MS_PER_S = 1000


class LinkBudget:
    """Pace the bulk bytes that this node sends to each other region.

    Each call of ``spend`` reserves the link for as long as its bytes take at the
    rate, after all earlier reservations. Unused time does not accumulate, so over
    any window the bytes released stay within the rate, apart from the one block
    that is being sent when the window starts.
    """

    def __init__(self, limits: LimitsModel, senders: int = 1) -> None:
        """Create a budget.

        Args:
            limits: Limits from the sheet: link capacity and bulk share.
            senders: Nodes of the local region that share the link.
        """
        bulk_mbit = limits.region_link_mbit * limits.region_bulk_share
        self._region_rate = bulk_mbit * BYTES_PER_MBIT / MS_PER_S
        self._senders = max(senders, 1)
        self._free_at_ms: dict[str, float] = {}

    @property
    def rate(self) -> float:
        """Return the rate of this node to one region in bytes per ms."""
        return self._region_rate / self._senders

    def share_among(self, senders: int) -> None:
        """Set the number of nodes of the local region that share the link."""
        self._senders = max(senders, 1)

    def spend(self, region: str, size_bytes: int, now_ms: float) -> float:
        """Reserve the link to a region for one block.

        Args:
            region: The region that the block is sent to.
            size_bytes: Size of the block.
            now_ms: Current time.

        Returns:
            Milliseconds to wait before the block is sent; 0 if the link is free.
        """
        start_ms = max(self._free_at_ms.get(region, now_ms), now_ms)
        self._free_at_ms[region] = start_ms + size_bytes / self.rate
        return start_ms - now_ms
