"""Search for faults that replace a node's row, or lose what it must not forget."""

import asyncio

from gentianmill.departures import Departure
from gentianmill.node_record_codec import decode_record
from hypothesis import HealthCheck, Phase, settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from row_model import OWN, ModelProcess, Mode, RowModel, covers
from virtual_time import VirtualTimeLoop

modes = strategies.sampled_from(Mode)
pauses = strategies.sampled_from((0.003, 0.01, 0.3, 1.2))
UPSTREAMS = 3
LATE_S = (0.003, 0.005, 0.007, 0.3)
SETTLE_S = 12
QUIET_S = 3


def _is_running(search):
    return search.process is not None


def _has_ended(search):
    return search.process is None


class RowSearch(RuleBasedStateMachine):
    """Processes of one node, one after the other, beside those of another node.

    What the row has held may be lost only with the row, if no process knows it then.
    """

    @initialize()
    def begin(self):
        """Start both nodes."""
        self.loop = VirtualTimeLoop()
        self.model = RowModel()
        self.model.on_change = self._on_change
        self.kept = set()
        self.process = None
        self.incarnation = 1000
        self.departed = 0
        self.work = []
        self.held = ()
        self.dropped = []
        self.is_row_lost = False
        self.copy = self.model.copy()
        self.other = ModelProcess(self.model, 'other', 1)
        self._run(self.other.start())
        self.start(ahead=True, mode=Mode.works, late_s=0.3)
        self.settle()

    @precondition(_has_ended)
    @rule(
        ahead=strategies.booleans(), mode=modes, late_s=strategies.sampled_from(LATE_S)
    )
    def start(self, ahead, mode, late_s):
        """Start the next process, with a clock that may have been set back.

        The writes that are late are done meanwhile, also between two of its calls.
        """
        self.loop.call_later(late_s, self.model.do_held)
        self.incarnation += 1000 if ahead else -500
        self.process = ModelProcess(self.model, OWN, self.incarnation)
        self.process.store.mode = mode
        self._run(self.process.start())
        self.wait(0.02)

    @precondition(_is_running)
    @rule()
    def kill(self):
        """End the process; its late writes go on."""
        self._run(self.process.close())
        self.process = None
        if self.is_row_lost:
            self._forget()

    @precondition(_is_running)
    @rule(is_told=strategies.booleans())
    def leave(self, is_told):
        """Let an upstream leave, and another node keep it, too."""
        self.departed += 1
        upstream = 'abc'[self.departed % UPSTREAMS]
        departure = Departure(upstream, self.departed)
        self.process.leave(departure)
        self._run(self._publish())
        if is_told:
            self._start(self.other.registry.add_departures(OWN, (departure,)))

    @precondition(_is_running)
    @rule()
    def change(self):
        """Let the node write another state."""
        self._run(self._publish())

    @rule(mode=modes)
    def other_path(self, mode):
        """Change what becomes of the other node's calls."""
        self.other.store.mode = mode

    @rule()
    def replace_other(self):
        """End the other node's process, with all that it has not done, and start one."""
        self._run(self.other.close())
        self._cancel_work()
        self.other = ModelProcess(
            self.model, 'other', self.other.record.incarnation + 1
        )
        self._run(self.other.start())

    @precondition(_is_running)
    @rule(mode=modes)
    def own_path(self, mode):
        """Change what becomes of the calls of the process."""
        self.process.store.mode = mode

    @rule()
    def do_held(self):
        """Do the writes that are late."""
        self.model.do_held()

    @precondition(_is_running)
    @rule(mode=modes, delay_s=strategies.sampled_from((0.3, 1.2)))
    def leave_and_kill(self, mode, delay_s):
        """Let only the other node know a departure, and end the process."""
        self.process.store.mode = Mode.away
        self.other.store.mode = mode
        self.leave(is_told=True)
        self.wait(delay_s)
        self.kill()

    @precondition(_has_ended)
    @rule()
    def reap(self):
        """Let the other node remove the row of a node that is gone."""
        record = self.other.table.find(OWN)
        if record is not None:
            self._start(self.other.registry.delete(record))

    @rule()
    def keep_copy(self):
        """Copy the store."""
        self.copy = self.model.copy()

    @rule()
    def restore(self):
        """Restore the store from the copy."""
        self.model.restore(self.copy)
        self.held = self._stored()
        self.is_row_lost = True
        self._forget()

    @rule(pause_s=pauses)
    def wait(self, pause_s):
        """Let time pass."""
        self._run(asyncio.sleep(pause_s))

    @rule()
    def settle(self):
        """End all faults; nothing that was confirmed may be missing then."""
        self.other.store.mode = Mode.works
        if self.process is not None:
            self.process.store.mode = Mode.works
        self.model.do_held()
        self._run(asyncio.sleep(SETTLE_S))
        row = self.model.find(OWN)
        if self.process is not None:
            self._check_process(row)
        if row is not None:
            stored = self._stored()
            missing = {each for each in self.kept if not covers(stored, each)}
            assert not missing, (missing, stored)
        self.is_row_lost = False

    def _stored(self):
        row = self.model.find(OWN)
        return decode_record(row.content, OWN, 1).departures if row else ()

    @invariant()
    def nothing_is_dropped(self):
        """Guards against a departure that is stored and then replaced."""
        assert not getattr(self, 'dropped', ())

    def _check_process(self, row):
        """Check that the row is of the process, and that nobody writes any more."""
        assert row is not None
        known = self.process.departures.entries
        assert all(covers(known, each) for each in self.kept), (self.kept, known)
        stored = decode_record(row.content, OWN, 1)
        assert stored.slots == self.process.record.slots
        calls = self.process.store.writes + self.other.store.writes
        self._run(asyncio.sleep(QUIET_S))
        assert calls == self.process.store.writes + self.other.store.writes

    async def _publish(self):
        self.process.publish()

    def _on_change(self):
        """Check that a write drops nothing, unless it removes the row."""
        stored = self._stored()
        if self.model.find(OWN) is None:
            self.is_row_lost = True
            self._forget()
        else:
            self.dropped += [each for each in self.held if not covers(stored, each)]
        self.held = stored
        self.kept.update(stored)

    def _forget(self):
        """Give up the departures that were only in a row which is lost."""
        known = () if self.process is None else self.process.departures.entries
        left = (*self._stored(), *known)
        self.kept = {each for each in self.kept if covers(left, each)}

    def _start(self, work):
        async def start():
            self.work.append(asyncio.ensure_future(work))

        self._run(start())

    def _cancel_work(self):
        for task in self.work:
            task.cancel()
        self.work.clear()

    def _run(self, work):
        self.loop.run_until_complete(work)

    def teardown(self):
        """End both nodes."""
        if not hasattr(self, 'loop'):
            return
        if self.process is not None:
            self._run(self.process.close())
        self._run(self.other.close())
        self._cancel_work()
        self._run(asyncio.sleep(0.01))
        self.loop.close()


RowSearch.TestCase.settings = settings(
    max_examples=200,
    # To shrink a run takes minutes.
    phases=(Phase.explicit, Phase.generate),
    stateful_step_count=30,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
TestRowSearch = RowSearch.TestCase
