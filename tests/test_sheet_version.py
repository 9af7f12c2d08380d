"""Tests of the sheet tracker, and of random sheet histories at several nodes."""

import asyncio
import random

import pytest
from memory_table import MemoryTable
from node_builder import SHEET_TEXT, ControlNode, write_key

from gentianmill.control_pb2 import FetchSheetReply
from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill.sheet_record import (
    SHEET_KEY,
    SheetRecord,
    decode_record,
    encode_record,
)
from gentianmill.sheet_version import SheetTracker
from gentianmill.steps import run_steps
from gentianmill_node.table_client import TableWrite
from seeds import seeds

STEPS = 400
LOST_FETCH_SHARE = 0.2
COMPLETED_FETCH_SHARE = 0.5
FAULT_SHARE = 0.4


def test_versions_only_increase():
    """Guards against a node that goes back to an earlier sheet."""
    tracker = SheetTracker()
    assert tracker.offer(5, SHEET_TEXT, 'first', 1)
    assert not tracker.offer(4, SHEET_TEXT, 'second', 2)
    assert not tracker.offer(5, SHEET_TEXT, 'third', 3)
    assert tracker.sheet.version == 5
    assert tracker.record.accepted_by == 'first'


def test_a_sheet_that_was_read_slowly_does_not_replace_a_higher_version():
    """Guards against a version that goes back while two sheets are parsed at once."""
    tracker = SheetTracker()
    steps = tracker.offer_steps(4, SHEET_TEXT, 'first', 1)
    next(steps)
    assert tracker.offer(5, SHEET_TEXT, 'second', 2)
    assert not run_steps(steps)
    assert tracker.version == 5
    assert tracker.record.accepted_by == 'second'


@pytest.mark.parametrize(
    'text',
    ['', '[', '- a', 'deployment: x', SHEET_TEXT.replace('class: billing', 'class: x')],
)
def test_an_unreadable_sheet_leaves_the_present_one_in_force(text):
    """Guards against a broken sheet that stops a running node."""
    tracker = SheetTracker()
    assert not tracker.offer(1, text, 'operator', 1)
    assert 'sheet version 1' in tracker.not_ready_reason
    assert tracker.rejected_version == 1
    assert tracker.offer(2, SHEET_TEXT, 'operator', 1)
    assert not tracker.offer(3, text, 'operator', 1)
    assert tracker.version == 2
    assert tracker.not_ready_reason is None


def test_the_reason_for_not_being_ready_names_all_sources():
    """Guards against a node that is not ready and does not say why."""
    tracker = SheetTracker()
    assert 'none has been received' in tracker.not_ready_reason
    tracker.record_failure('table', 'timeout')
    tracker.record_failure('peers', 'no answer')
    assert 'table: timeout' in tracker.not_ready_reason
    assert 'peers: no answer' in tracker.not_ready_reason


class _Operator:
    """Submits sheets by compare-and-set and reads back after a lost response."""

    def __init__(self, name: str, table: MemoryTable) -> None:
        self.name = name
        self.table = table
        self.confirmed: list[SheetRecord] = []
        self.submitted = 0
        self._pending: tuple[SheetRecord, int] | None = None

    async def step(self) -> None:
        try:
            await self._step()
        except GentianmillError as error:
            assert error.code is ErrorCode.store_unavailable

    async def _step(self) -> None:
        row = await self.table.read(SHEET_KEY)
        current = decode_record(row.value) if row else SheetRecord(0, '', '', 0)
        if self._pending is None:
            self.submitted += 1
            text = f'{SHEET_TEXT}\n# {self.name} {self.submitted}'
            record = SheetRecord(current.version + 1, text, self.name, 1)
            self._pending = (record, row.revision if row else 0)
            return
        record, revision = self._pending
        if current == record:
            self.confirmed.append(record)
            self._pending = None
        elif current.version >= record.version:
            self._pending = None
        else:
            write = TableWrite(SHEET_KEY, encode_record(record), revision)
            await self.table.transact([write])


class _History:
    """Nodes, operators and a table that fails at random."""

    def __init__(self, seed: int, key_file) -> None:
        self.rng = random.Random(seed)
        self.key_file = key_file
        self.table = MemoryTable()
        self.operators = [_Operator(name, self.table) for name in ('ann', 'ben')]
        self.nodes = [self._node(number) for number in range(4)]
        self.versions = [0 for _ in self.nodes]
        self.accepted: dict[int, str] = {}

    async def run(self) -> None:
        remaining = STEPS
        while remaining:
            remaining -= 1
            await self._random_step()

    async def _random_step(self) -> None:
        kind = self.rng.choices(
            ('submit', 'poll', 'tell', 'restart', 'fault'), (8, 4, 4, 1, 2)
        )[0]
        await getattr(self, f'_{kind}')()
        self._check()

    async def _submit(self) -> None:
        await self.rng.choice(self.operators).step()

    async def _poll(self) -> None:
        await self.rng.choice(self.nodes).sheet_loop.poll()

    async def _tell(self) -> None:
        receiver, sender = self.rng.sample(self.nodes, 2)
        record = sender.tracker.record
        is_lost = self._happens(LOST_FETCH_SHARE)

        async def fetch(newer_than: int) -> FetchSheetReply:
            await asyncio.sleep(0)
            if is_lost:
                raise GentianmillError(ErrorCode.connection_lost, 'control', '', 'lost')
            return FetchSheetReply(
                version=record.version,
                text=record.text,
                accepted_by=record.accepted_by,
                accepted_unix_ms=record.accepted_unix_ms,
            )

        receiver.sheet_loop.on_peer_version(record.version, fetch)
        if self._happens(COMPLETED_FETCH_SHARE):
            # Let the fetch complete; otherwise the next step runs before it ends.
            await asyncio.sleep(0)
            await asyncio.sleep(0)

    async def _restart(self) -> None:
        number = self.rng.randrange(len(self.nodes))
        await self.nodes[number].sheet_loop.close()
        self.nodes[number] = self._node(number)
        self.versions[number] = 0

    async def _fault(self) -> None:
        self.table.is_down = self._happens(FAULT_SHARE)
        self.table.loses_responses = self._happens(FAULT_SHARE)

    def _happens(self, share: float) -> bool:
        return self.rng.random() < share

    def _node(self, number: int) -> ControlNode:
        return ControlNode(self.key_file, self.table, f'n{number}', port=1)

    def _check(self) -> None:
        row = self.table.rows.get(SHEET_KEY)
        if row is not None:
            record = decode_record(row.value)
            assert record.version >= max(self.accepted, default=0)
            assert self.accepted.setdefault(record.version, record.text) == record.text
        for number, node in enumerate(self.nodes):
            tracker = node.tracker
            assert tracker.version >= self.versions[number]
            self.versions[number] = tracker.version
            assert bool(tracker.version) == (tracker.not_ready_reason is None)
            if tracker.version:
                assert tracker.record.text == self.accepted[tracker.version]

    async def end(self) -> None:
        self.table.is_down = False
        self.table.loses_responses = False
        await asyncio.sleep(0)
        await asyncio.gather(*[node.sheet_loop.poll() for node in self.nodes])
        self._check()
        newest = max(self.accepted)
        assert {node.tracker.version for node in self.nodes} == {newest}
        confirmed = (
            record for operator in self.operators for record in operator.confirmed
        )
        for record in confirmed:
            assert self.accepted[record.version] == record.text
        await asyncio.gather(*[node.sheet_loop.close() for node in self.nodes])


@pytest.mark.parametrize('seed', seeds(10))
def test_versions_never_fall_in_random_histories(seed, tmp_path):
    """Guards against reverts by restarts, races, outages and lost responses."""

    async def scenario():
        history = _History(seed, write_key(tmp_path))
        await history.run()
        await history.end()
        assert len(history.accepted) > 5
        assert all(operator.confirmed for operator in history.operators)

    asyncio.run(scenario())
