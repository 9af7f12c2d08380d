"""Keep the planning sheet up to date from the table and from peers."""

import asyncio
import random
from collections.abc import Callable

import msgspec
import structlog

from gentianmill.clock import Clock
from gentianmill.errors import GentianmillError
from gentianmill.settings_models import NodeSettingsModel
from gentianmill.sheet import Sheet
from gentianmill.sheet_record import SHEET_KEY, VERSION_KEY, SheetRecord, decode_record
from gentianmill.sheet_version import SheetTracker
from gentianmill_node.sheet_gossip import SheetFetch, SheetGossip
from gentianmill_node.table_client import TableRow, TableStore
from gentianmill_node.time_slices import run_in_slices

MS_PER_S = 1000
JITTER_RATIO = 0.1
"""Fraction by which the poll interval varies at random, so that nodes do not
synchronise."""

_log = structlog.get_logger()


class SheetLoop(SheetGossip):
    """Poll the table for new sheets; fetch them from peers that have a newer one."""

    def __init__(
        self,
        settings: NodeSettingsModel,
        clock: Clock,
        table_store: TableStore,
        tracker: SheetTracker,
        on_change: Callable[[Sheet], None],
    ) -> None:
        """Create a loop that does not run yet.

        Args:
            settings: Settings of the node.
            clock: Clock of the node.
            table_store: The platform's table service.
            tracker: Validates each sheet that is found and keeps the newest.
            on_change: Called with each sheet that comes into force.
        """
        self._interval_ms = settings.membership.sheet_poll_ms
        self._clock = clock
        self._table_store = table_store
        self._tracker = tracker
        self._on_change = on_change
        self._rng = random.Random(settings.node.id)
        self._offer_lock = asyncio.Lock()
        self._poll_task: asyncio.Task[None] | None = None
        self._fetch_task: asyncio.Task[None] | None = None

    @property
    def record(self) -> SheetRecord:
        """Return the sheet in force; version 0 if there is none."""
        return self._tracker.record

    async def start(self) -> None:
        """Start polling; the first poll happens immediately."""
        self._poll_task = asyncio.create_task(self._poll_forever())

    async def close(self) -> None:
        """Stop polling and fetching."""
        tasks = [task for task in (self._poll_task, self._fetch_task) if task]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def poll(self) -> None:
        """Read the sheet from the table if its version has changed.

        Once a version is known, a poll first reads the row that holds only the
        version: reading a sheet of 54 services every 3 s would take most of the
        bandwidth that a node may use for control traffic.
        """
        try:
            row = await self._read_newer()
        except GentianmillError as error:
            self._tracker.record_failure('table', str(error))
            return
        if row is None and not self._tracker.version:
            self._tracker.record_failure('table', 'no sheet has been accepted yet')
        if row is None:
            return
        try:
            record = decode_record(row.value)
        except msgspec.DecodeError as error:
            self._tracker.record_failure('table', f'row {SHEET_KEY}: {error}')
            return
        await self._offer(record, 'table')

    async def _read_newer(self) -> TableRow | None:
        known_version = max(self._tracker.version, self._tracker.rejected_version)
        if known_version:
            row = await self._table_store.read(VERSION_KEY)
            if row is not None and row.value == str(known_version).encode():
                return None
        return await self._table_store.read(SHEET_KEY)

    def on_peer_version(self, version: int, fetch: SheetFetch) -> None:
        """Fetch the sheet of a peer if it reports a higher version.

        Args:
            version: Version that the peer reported.
            fetch: Fetches the sheet from that peer.
        """
        if version <= max(self._tracker.version, self._tracker.rejected_version):
            return
        if self._fetch_task is None or self._fetch_task.done():
            self._fetch_task = asyncio.create_task(self._fetch(fetch))

    async def _poll_forever(self) -> None:
        while True:
            try:
                await self.poll()
            except Exception:
                # An error in one sheet must not end the polling for later sheets.
                _log.exception('sheet: Poll failed.')
            factor = 1 + self._rng.uniform(-JITTER_RATIO, JITTER_RATIO)
            await asyncio.sleep(self._interval_ms * factor / MS_PER_S)

    async def _fetch(self, fetch: SheetFetch) -> None:
        try:
            reply = await fetch(self._tracker.version)
        except GentianmillError as error:
            self._tracker.record_failure('peers', str(error))
            return
        record = SheetRecord(
            reply.version, reply.text, reply.accepted_by, reply.accepted_unix_ms
        )
        await self._offer(record, 'peer')

    async def _offer(self, record: SheetRecord, source: str) -> None:
        # Serialized, so that the same sheet is not parsed twice.
        async with self._offer_lock:
            accepted = await self._run_offer(record)
            sheet = self._tracker.sheet
            if accepted and sheet is not None:
                _log.info(
                    'sheet: Sheet in force.', version=sheet.version, source=source
                )
                self._on_change(sheet)

    async def _run_offer(self, record: SheetRecord) -> bool:
        steps = self._tracker.offer_steps(
            record.version, record.text, record.accepted_by, record.accepted_unix_ms
        )
        return await run_in_slices(steps, self._clock)
