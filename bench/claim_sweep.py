"""Cost of deleting expired claim rows, over HTTP against the stand-in platform.

The nodes of one service sweep as at the design size: 70 committing nodes in
seven services, 10 nodes in each. The other six services are extrapolated.
"""

import asyncio
import dataclasses
import time
import uuid
from collections.abc import Sequence

import aiohttp
import msgspec

from standins.processes import HOST

from bench.platform_process import platform_port
from gentianmill.claim_rows import DAY_MS, ClaimRow, ClaimState, StoredResponse
from gentianmill.claim_sweep import SweepTurn
from gentianmill.clock import MonotonicClock
from gentianmill.settings_models import TableModel
from gentianmill_node.claim_sweeper import ClaimSweeper
from gentianmill_node.http_table import HttpTableStore
from gentianmill_node.table_client import TableWrite

NODES = 10
SERVICES = 7
CYCLE_MS = 10 * 1000 * NODES * SERVICES / 300
"""Ten times the pause between commits with a budget of 300 writes a second."""

CLAIMS = 16_000
CLAIMS_PER_WRITE = 250
MEASURED_S = 24
CLAIM_AGE_DAYS = 40
MS_PER_S = 1000


@dataclasses.dataclass(slots=True)
class Counts:
    """Traffic of the sweepers with the table; sizes in bytes without HTTP headers."""

    reads: int = 0
    writes: int = 0
    rows: int = 0
    read_bytes: int = 0
    written_bytes: int = 0
    table_ms: float = 0


class CountingStore(HttpTableStore):
    """A table client that counts its requests and their sizes."""

    def __init__(self, port: int, session: aiohttp.ClientSession) -> None:
        """Create a client with all counts at 0."""
        super().__init__(TableModel(url=f'http://{HOST}:{port}'), session)
        self.counts = Counts()

    async def first_keys(self, prefix: str, limit: int) -> list[str]:
        """Read keys and count them."""
        started_s = time.monotonic()
        keys = await super().first_keys(prefix, limit)
        self.counts.table_ms += (time.monotonic() - started_s) * MS_PER_S
        self.counts.reads += 1
        self.counts.read_bytes += len(msgspec.msgpack.encode(keys))
        return keys

    async def transact(self, writes: Sequence[TableWrite]) -> tuple[str, ...]:
        """Write rows and count them."""
        started_s = time.monotonic()
        failed = await super().transact(writes)
        self.counts.table_ms += (time.monotonic() - started_s) * MS_PER_S
        self.counts.writes += 1
        self.counts.rows += len(writes)
        body = [(write.key, None, None) for write in writes]
        self.counts.written_bytes += len(msgspec.msgpack.encode(body))
        return failed


def run(seeds: int) -> dict:
    """Sweep for a fixed time and return the rates; the seeds are not used."""
    with platform_port() as port:
        return asyncio.run(_measure(port))


async def _measure(port: int) -> dict:
    async with aiohttp.ClientSession() as session:
        store = CountingStore(port, session)
        await _fill(store)
        before = len(await store.scan('claims/'))
        store.counts = Counts()
        sweepers = [
            _sweeper(store, SweepTurn(position, NODES, CYCLE_MS))
            for position in range(NODES)
        ]
        cpu_started_s = time.process_time()
        await asyncio.gather(*[sweeper.start() for sweeper in sweepers])
        await asyncio.sleep(MEASURED_S)
        await asyncio.gather(*[sweeper.close() for sweeper in sweepers])
        cpu_ms = (time.process_time() - cpu_started_s) * MS_PER_S
        counts = store.counts
        deleted = before - len(await store.scan('claims/'))
    return _figures(counts, deleted, cpu_ms)


def _figures(counts: Counts, deleted: int, cpu_ms: float) -> dict:
    node_s = MEASURED_S * NODES
    return {
        'rows_deleted_per_s': deleted / MEASURED_S,
        'rows_per_s_of_all_services': deleted / MEASURED_S * SERVICES,
        'rows_sent_again': counts.rows - deleted,
        'writes_per_s_of_all_services': counts.writes / MEASURED_S * SERVICES,
        'reads_per_s_of_all_services': counts.reads / MEASURED_S * SERVICES,
        'node_bytes_in_per_s': counts.read_bytes / node_s,
        'node_bytes_out_per_s': counts.written_bytes / node_s,
        'node_cpu_share': cpu_ms / MS_PER_S / node_s,
        'table_ms_per_batch': counts.table_ms / max(counts.writes, 1),
    }


def _sweeper(store: CountingStore, turn: SweepTurn) -> ClaimSweeper:
    return ClaimSweeper(store, MonotonicClock(), 'billing', lambda: turn)


async def _fill(store: CountingStore) -> None:
    created_ms = int(time.time() * MS_PER_S) - CLAIM_AGE_DAYS * DAY_MS
    rows = [_rows(created_ms, number) for number in range(CLAIMS)]
    for start in range(0, CLAIMS, CLAIMS_PER_WRITE):
        batch = rows[start : start + CLAIMS_PER_WRITE]
        await store.transact([write for pair in batch for write in pair])


def _rows(created_ms: int, number: int) -> list[TableWrite]:
    key = str(uuid.UUID(int=created_ms << 80 | 7 << 76 | 2 << 62 | number))
    claim = ClaimRow('billing', 'shop', key, b'd' * 32, uuid.uuid4().hex, 'billing-1')
    headers = {'Content-Type': 'application/json'}
    response = StoredResponse(200, headers, b'r' * 200)
    recorded_row = msgspec.structs.replace(
        claim, state=ClaimState.recorded, response=response
    )
    return [
        TableWrite(claim.row_key, claim.encode(), None),
        TableWrite(recorded_row.response_key, recorded_row.encode(), None),
    ]
