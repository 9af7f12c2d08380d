"""The loop that deletes expired claim rows of one service."""

import asyncio
import time
from collections.abc import Callable

from gentianmill.claim_rows import dated_prefix
from gentianmill.claim_sweep import (
    BATCH_ROWS,
    SWEEP_SHARE,
    ClaimSweep,
    SweepTurn,
    expired_rows,
)
from gentianmill.clock import Clock
from gentianmill.errors import GentianmillError
from gentianmill.member import Member
from gentianmill.membership import MemberTable

from gentianmill_node.logs import component
from gentianmill_node.table_client import TableStore, TableWrite

MS_PER_S = 1000

log = component('claim_sweep')


class ClaimSweeper:
    """Delete expired rows, oldest first, round-robin with the other nodes."""

    def __init__(
        self,
        table: TableStore,
        clock: Clock,
        service: str,
        turn: Callable[[], SweepTurn],
        unix_s: Callable[[], float] = time.time,
    ) -> None:
        """Create a sweeper that does not run yet.

        Args:
            table: The table service.
            clock: Clock that measures the latency of the table.
            service: Service whose claims are swept.
            turn: Returns the current turn of this node.
            unix_s: Returns the Unix time in s, which decides what is expired.
        """
        self._table = table
        self._clock = clock
        self._prefix = dated_prefix(service)
        self._turn = turn
        self._unix_s = unix_s
        self._sweep = ClaimSweep()
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the loop."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop the loop; a deletion in flight may still take effect."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait((self._task,))

    async def _run(self) -> None:
        while True:
            wait_ms = self._sweep.wait_ms(self._now_unix_ms(), self._turn())
            await asyncio.sleep(wait_ms / MS_PER_S)
            await self._step()

    async def _step(self) -> None:
        started_ms = self._clock.now_ms()
        try:
            deleted = await self._delete_batch()
        except GentianmillError as error:
            log.warning('Table unavailable.', error=str(error))
            self._sweep.on_failure()
        except Exception:
            # An unexpected error in one step must not end the loop.
            log.exception('Unexpected error.')
            self._sweep.on_failure()
        else:
            self._sweep.on_swept(deleted, self._clock.now_ms() - started_ms)

    async def _delete_batch(self) -> int:
        keys = await self._table.first_keys(self._prefix, BATCH_ROWS)
        expired = expired_rows(keys, self._now_unix_ms())
        if expired:
            # Unconditional: no node writes a row whose key has expired, and a
            # concurrent deletion of the same row by another node is no conflict.
            await self._table.transact([TableWrite(key, None, None) for key in expired])
        return len(expired)

    def _now_unix_ms(self) -> float:
        return self._unix_s() * MS_PER_S


def sweep_turn(members: MemberTable, own: Member, pause_ms: float) -> SweepTurn:
    """Return the turn of a node among the current members of its service.

    Args:
        members: Known members.
        own: The member of this node.
        pause_ms: Pause in ms between two commits of claims at which the whole
            write budget is spent.
    """
    others = [
        member.node_id
        for member in members.members
        if member.service == own.service and not member.has_departed
    ]
    node_ids = sorted({own.node_id, *others})
    return SweepTurn(
        position=node_ids.index(own.node_id),
        nodes=len(node_ids),
        cycle_ms=pause_ms / SWEEP_SHARE,
    )
