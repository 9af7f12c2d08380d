"""The loop that commits the claims of a node, one transaction at a time."""

import asyncio
from collections.abc import Callable, Sequence

import msgspec
import structlog

from gentianmill.claims import Claim, ClaimRow, ClaimStep, ClaimTracker, CommitBatch
from gentianmill.clock import Clock
from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill.outcome import Outcome
from gentianmill_node.background import spawn
from gentianmill_node.table_client import TableStore, TableWrite

MS_PER_S = 1000
MAX_CLAIMS = 10_000
MAX_RESPONSE_BYTES = 32 * 1024 * 1024
MAX_CONCURRENT_READS = 16
OUTAGE_PAUSE_MS = 500
RETRY_AFTER_MS = 1000
PROBE_KEY = 'claims'
UNDECIDED = frozenset((ClaimStep.wanted, ClaimStep.sent, ClaimStep.unresolved))
STEP = 'claim'

log = structlog.get_logger()


async def read_row(table: TableStore, key: str) -> tuple[ClaimRow | None, int]:
    """Read a claim or response row and its revision.

    Raises:
        GentianmillError: With code ``store_unavailable`` if the row cannot be
            read or is malformed.
    """
    found = await table.read(key)
    if found is None:
        return None, 0
    try:
        return ClaimRow.decode(found.value), found.revision
    except msgspec.DecodeError as error:
        raise _unavailable(f'row {key!r} is malformed: {error}') from error


class ClaimCommitter:
    """Write claims, responses and releases; retry during outages of the table."""

    def __init__(
        self,
        table: TableStore,
        clock: Clock,
        pause_ms: Callable[[], float],
        on_done: Callable[[Claim], None],
    ) -> None:
        """Create a committer.

        Args:
            table: The table service.
            clock: Clock that deadlines refer to.
            pause_ms: Returns the pause after each transaction, in ms.
            on_done: Called with each claim whose last write took effect.
        """
        self._on_done = on_done
        self._table = table
        self._clock = clock
        self._pause_ms = pause_ms
        self._tracker = ClaimTracker()
        self._waiters: dict[str, asyncio.Future[None]] = {}
        self._work = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._table_down = False
        self._closing = False

    @property
    def tracker(self) -> ClaimTracker:
        """Return the claims of this node; call ``wake`` after changing them."""
        return self._tracker

    def start(self) -> None:
        """Start the loop."""
        self._task = spawn(self._run(), 'commit claims')

    async def close(self, limit_ms: float) -> int:
        """Refuse new claims, write the pending ones and stop.

        Returns:
            The number of claims that were not written within the limit.
        """
        self._closing = True
        self.wake()
        if self._task is not None:
            await asyncio.wait((self._task,), timeout=limit_ms / MS_PER_S)
            self._task.cancel()
            await asyncio.wait((self._task,))
        return self._tracker.unwritten

    def wake(self) -> None:
        """Notify the loop that there may be work."""
        self._work.set()

    def open(self, row: ClaimRow) -> Claim:
        """Add a claim to the next transaction.

        Raises:
            GentianmillError: If the table is known to be down, the node is
                closing, or too many claims or response bytes wait to be written.
        """
        if self._closing:
            raise GentianmillError(ErrorCode.draining, STEP, '', 'node is closing')
        if self._table_down:
            raise _unavailable('table service is down')
        full = len(self._tracker) >= MAX_CLAIMS
        if full or self._tracker.response_bytes >= MAX_RESPONSE_BYTES:
            raise _unavailable('too many claims wait for the table service')
        claim = self._tracker.open(row)
        self.wake()
        return claim

    async def wait_decided(self, claim: Claim, deadline_ms: float) -> None:
        """Wait until a claim is held or lost.

        Raises:
            GentianmillError: ``store_unavailable``, or ``deadline`` with
                outcome ``expired``; the caller then releases the claim.
        """
        future = asyncio.get_running_loop().create_future()
        self._waiters[claim.row.claim_id] = future
        wait_s = max(0, deadline_ms - self._clock.now_ms()) / MS_PER_S
        try:
            await asyncio.wait_for(future, wait_s)
        except TimeoutError:
            raise GentianmillError(
                ErrorCode.deadline,
                STEP,
                '',
                'deadline passed before the claim was written',
                outcome=Outcome.expired,
            ) from None
        finally:
            self._waiters.pop(claim.row.claim_id, None)

    async def _run(self) -> None:
        while not (self._closing and not self._tracker.unwritten):
            self._work.clear()
            wrote = await self._step()
            if self._table_down:
                await asyncio.sleep(OUTAGE_PAUSE_MS / MS_PER_S)
            elif wrote:
                await asyncio.sleep(self._pause_ms() / MS_PER_S)
            else:
                await self._wait_for_work()

    async def _wait_for_work(self) -> None:
        due_ms = self._tracker.next_read_ms()
        wait_s = None
        if due_ms is not None:
            wait_s = max(1, due_ms - self._clock.now_ms()) / MS_PER_S
        try:
            await asyncio.wait_for(self._work.wait(), wait_s)
        except TimeoutError:
            return

    async def _step(self) -> bool:
        """Read undecided rows, write one batch and return whether there was one."""
        try:
            wrote = await self._read_and_write()
        except GentianmillError as error:
            self._mark_table_down(error)
            return False
        except Exception as failure:
            # The loop must survive: nothing else writes the pending claims.
            log.exception('claims: Unexpected error.')
            self._mark_table_down(_unavailable(f'unexpected {failure!r}'))
            return False
        if self._table_down:
            log.info('claims: Table available again.')
        self._table_down = False
        return wrote

    async def _read_and_write(self) -> bool:
        if self._table_down:
            await self._table.read(PROBE_KEY)
        await self._read_rows()
        batch = self._tracker.next_batch()
        if not batch:
            return False
        await self._commit(batch)
        await self._read_rows()
        return True

    async def _commit(self, batch: CommitBatch) -> None:
        writes = [
            TableWrite(write.key, write.value, write.expected_revision)
            for write in batch.writes
        ]
        try:
            failed = await self._table.transact(writes)
        except GentianmillError:
            # Reading the rows back decides; if that fails too, the table is down.
            self._tracker.on_unknown(batch)
            return
        except Exception:
            self._tracker.on_unknown(batch)
            raise
        if failed:
            self._tracker.on_conflict(batch, failed)
        else:
            self._tracker.on_applied(batch, self._clock.now_ms())
        self._notify(batch.claims)

    async def _read_rows(self) -> None:
        pending = self._tracker.to_read(self._clock.now_ms())
        slots = asyncio.Semaphore(MAX_CONCURRENT_READS)
        reads = [self._read_claim(claim, slots) for claim in pending]
        results = await asyncio.gather(*reads, return_exceptions=True)
        self._notify(pending)
        for result in results:
            if result is not None:
                raise result

    async def _read_claim(self, claim: Claim, slots: asyncio.Semaphore) -> None:
        async with slots:
            row, revision = await read_row(self._table, claim.key_to_read)
        self._tracker.on_read(claim, row, revision, self._clock.now_ms())

    def _notify(self, claims: Sequence[Claim]) -> None:
        for claim in claims:
            future = self._waiters.get(claim.row.claim_id)
            if future and not future.done() and claim.step not in UNDECIDED:
                future.set_result(None)
            if claim.step is ClaimStep.done:
                self._on_done(claim)

    def _mark_table_down(self, error: GentianmillError) -> None:
        if not self._table_down:
            log.warning('claims: Table unavailable.', error=str(error))
        self._table_down = True
        for future in self._waiters.values():
            if not future.done():
                future.set_exception(error)


def _unavailable(message: str) -> GentianmillError:
    return GentianmillError(
        ErrorCode.store_unavailable, STEP, '', message, retry_after_ms=RETRY_AFTER_MS
    )
