"""Model of sheet acceptance and distribution, checked by ``minicheck``.

Two operators submit sheets to one table row; writes and responses may be lost
or late. Two nodes read the row, read from each other and restart. The production
``SheetTracker`` decides which sheet a node has in force.
"""

import dataclasses
import enum
import functools
from collections.abc import Iterator

from minicheck import Protocol

from gentianmill.sheet_version import SheetTracker

OPERATORS = (0, 1)
NODES = (0, 1)
READS = (2, 1)
"""Reads that each node may have in flight; two may be reordered."""

RESTARTS = 1
"""Maximum restarts of each node."""

_TEMPLATE = """
deployment: sheet {text}
regions: [north]
classes: [{{name: billing}}]
services:
  billing:
    operations: [{{name: read, method: GET, path: /, class: billing}}]
"""


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Sheets that each operator submits, and the writes sent for one sheet.

    Two submissions together with two sends give more than 400,000 states, so
    that retries and a third version are checked in separate runs.
    """

    submissions: tuple[int, int]
    sends: int


RACE = Bounds(submissions=(1, 1), sends=1)
RETRIES = Bounds(submissions=(1, 1), sends=2)
SUCCESSIONS = Bounds(submissions=(2, 1), sends=1)


class Variant(enum.Enum):
    """The correct protocol, or one with a rule broken."""

    correct = enum.auto()
    write_without_compare = enum.auto()
    node_accepts_lower = enum.auto()
    retry_overwrites = enum.auto()


@dataclasses.dataclass(frozen=True, order=True)
class Sheet:
    """A sheet with its version; version 0 means no sheet."""

    version: int
    text: str


NO_SHEET = Sheet(0, '')


@dataclasses.dataclass(frozen=True, order=True)
class Write:
    """A write in flight to the table.

    ``expected`` is the version that it may replace, ``decided_on`` the version
    that the operator saw when submitting.
    """

    sheet: Sheet
    expected: int
    decided_on: int


@dataclasses.dataclass(frozen=True)
class Operator:
    """An operator: ``idle``, ``ready`` (has read the row), ``sent`` or ``lost``."""

    phase: str = 'idle'
    submitted: int = 0
    sends: int = 0
    write: Write | None = None
    in_flight: tuple[Write, ...] = ()


@dataclasses.dataclass(frozen=True)
class Node:
    """A node; ``reads`` holds sheets read but not yet offered to its tracker."""

    sheet: Sheet = NO_SHEET
    reads: tuple[Sheet, ...] = ()
    restarts: int = 0


@dataclasses.dataclass(frozen=True)
class System:
    """The complete state; ``faults`` labels the invariants that were violated."""

    bounds: Bounds
    row: Sheet = NO_SHEET
    accepted: tuple[Sheet, ...] = ()
    operators: tuple[Operator, ...] = (Operator(), Operator())
    nodes: tuple[Node, ...] = (Node(), Node())
    faults: frozenset[str] = frozenset()


Step = tuple[str, tuple[System]]


def sheet_text(text: str) -> str:
    """Return a sheet file that contains the text."""
    return _TEMPLATE.format(text=text)


@functools.cache
def tracker_decides(present: Sheet, offered: Sheet) -> Sheet:
    """Return the sheet that ``SheetTracker`` has in force after an offer."""
    tracker = SheetTracker()
    for sheet in (present, offered):
        if sheet.version:
            tracker.offer(sheet.version, sheet_text(sheet.text), 'operator', 1)
    if tracker.sheet is None:
        return NO_SHEET
    return Sheet(tracker.version, tracker.sheet.deployment.removeprefix('sheet '))


def build(variant: Variant, bounds: Bounds) -> Protocol:
    """Return the model for a variant of the protocol."""
    return Protocol(
        name=f'sheet_{variant.name}',
        candidate=False,
        fields=('system',),
        initial=(System(bounds),),
        transitions=lambda state: list(_steps(state[0], variant)),
        invariants={
            'an accepted version is never replaced by a lower one': functools.partial(
                _lacks, 'row fell'
            ),
            'no two texts are accepted under one version': _one_text_per_version,
            'no sheet is replaced that its operator has not seen': functools.partial(
                _lacks, 'unseen sheet replaced'
            ),
            'a sheet reported as accepted was accepted': functools.partial(
                _lacks, 'false acceptance reported'
            ),
            'the version of a running node never falls': functools.partial(
                _lacks, 'node fell'
            ),
            'a node has only accepted sheets': _nodes_have_accepted,
        },
    )


def _lacks(fault: str, state: dict[str, System]) -> bool:
    return fault not in state['system'].faults


def _one_text_per_version(state: dict[str, System]) -> bool:
    accepted = state['system'].accepted
    return len({sheet.version for sheet in accepted}) == len(accepted)


def _nodes_have_accepted(state: dict[str, System]) -> bool:
    system = state['system']
    node_sheets = {node.sheet for node in system.nodes} - {NO_SHEET}
    return node_sheets <= set(system.accepted)


def _steps(system: System, variant: Variant) -> Iterator[Step]:
    for index in OPERATORS:
        for label, after in _operator_steps(system, index, variant):
            yield f'operator {index} {label}', (after,)
    for index in NODES:
        for label, after in _node_steps(system, index, variant):
            yield f'node {index} {label}', (after,)


def _operator_steps(
    system: System, index: int, variant: Variant
) -> Iterator[tuple[str, System]]:
    operator = system.operators[index]
    for write in sorted(set(operator.in_flight)):
        yield from _arrivals(system, index, write, variant)
    if (
        operator.phase == 'idle'
        and operator.submitted < system.bounds.submissions[index]
    ):
        text = f'{index}{operator.submitted}'
        version = system.row.version
        write = Write(Sheet(version + 1, text), version, version)
        ready = dataclasses.replace(operator, phase='ready', write=write)
        yield 'reads the row', _put(system, index, ready)
    if operator.phase == 'ready':
        yield 'sends its write', _send(system, index)
    if operator.phase == 'sent':
        lost = dataclasses.replace(operator, phase='lost')
        yield 'stops waiting', _put(system, index, lost)
    if operator.phase == 'lost':
        yield from _after_lost_response(system, index, variant)


def _arrivals(
    system: System, index: int, write: Write, variant: Variant
) -> Iterator[tuple[str, System]]:
    remaining = list(system.operators[index].in_flight)
    remaining.remove(write)
    operator = dataclasses.replace(
        system.operators[index], in_flight=tuple(sorted(remaining))
    )
    matches = write.expected == system.row.version
    applied = matches or variant is Variant.write_without_compare
    after = _put(_apply(system, write) if applied else system, index, operator)
    waits = operator.phase == 'sent' and operator.write == write
    if not waits:
        yield 'write arrives late', after
        return
    yield 'gets its response', _finish(after, index, reported_accepted=applied)
    lost = dataclasses.replace(operator, phase='lost')
    yield 'write arrives, response is lost', _put(after, index, lost)


def _after_lost_response(
    system: System, index: int, variant: Variant
) -> Iterator[tuple[str, System]]:
    operator = system.operators[index]
    write = operator.write
    if system.row == write.sheet:
        yield 'finds its sheet', _finish(system, index, reported_accepted=True)
    elif operator.sends == system.bounds.sends:
        yield 'abandons its write', _finish(system, index, reported_accepted=False)
    elif variant is Variant.retry_overwrites:
        version = system.row.version
        sheet = dataclasses.replace(write.sheet, version=version + 1)
        retry = Write(sheet, version, write.decided_on)
        rewritten = dataclasses.replace(operator, write=retry)
        yield (
            'retries with the next version',
            _send(_put(system, index, rewritten), index),
        )
    elif system.row.version == write.expected:
        yield 'retries', _send(system, index)
    else:
        yield 'finds another sheet', _finish(system, index, reported_accepted=False)


def _node_steps(
    system: System, index: int, variant: Variant
) -> Iterator[tuple[str, System]]:
    node = system.nodes[index]
    peer = system.nodes[1 - index]
    may_read = len(node.reads) < READS[index]
    if may_read and system.row != NO_SHEET:
        yield 'reads the table', _read(system, index, system.row)
    if may_read and peer.sheet.version > node.sheet.version:
        yield 'reads from its peer', _read(system, index, peer.sheet)
    for read in sorted(set(node.reads)):
        yield f'offers version {read.version}', _offer(system, index, read, variant)
    if node.restarts < RESTARTS and node.sheet != NO_SHEET:
        yield 'restarts', _restart(system, index)


def _restart(system: System, index: int) -> System:
    restarts = system.nodes[index].restarts + 1
    return _put_node(system, index, sheet=NO_SHEET, reads=(), restarts=restarts)


def _read(system: System, index: int, sheet: Sheet) -> System:
    reads = tuple(sorted((*system.nodes[index].reads, sheet)))
    return _put_node(system, index, reads=reads)


def _offer(system: System, index: int, read: Sheet, variant: Variant) -> System:
    node = system.nodes[index]
    remaining = list(node.reads)
    remaining.remove(read)
    sheet = tracker_decides(node.sheet, read)
    if variant is Variant.node_accepts_lower:
        sheet = read
    if sheet.version < node.sheet.version:
        system = _record_violation(system, 'node fell')
    return _put_node(system, index, sheet=sheet, reads=tuple(remaining))


def _apply(system: System, write: Write) -> System:
    if write.sheet.version < system.row.version:
        system = _record_violation(system, 'row fell')
    if write.decided_on != system.row.version:
        system = _record_violation(system, 'unseen sheet replaced')
    accepted = tuple(sorted({*system.accepted, write.sheet}))
    return dataclasses.replace(system, row=write.sheet, accepted=accepted)


def _send(system: System, index: int) -> System:
    operator = system.operators[index]
    sent = dataclasses.replace(
        operator,
        phase='sent',
        sends=operator.sends + 1,
        in_flight=tuple(sorted((*operator.in_flight, operator.write))),
    )
    return _put(system, index, sent)


def _finish(system: System, index: int, *, reported_accepted: bool) -> System:
    operator = system.operators[index]
    if reported_accepted and operator.write.sheet not in system.accepted:
        system = _record_violation(system, 'false acceptance reported')
    done = Operator(submitted=operator.submitted + 1, in_flight=operator.in_flight)
    return _put(system, index, done)


def _record_violation(system: System, fault: str) -> System:
    return dataclasses.replace(system, faults=system.faults | {fault})


def _put(system: System, index: int, operator: Operator) -> System:
    operators = list(system.operators)
    operators[index] = operator
    return dataclasses.replace(system, operators=tuple(operators))


def _put_node(system: System, index: int, **fields: object) -> System:
    nodes = list(system.nodes)
    nodes[index] = dataclasses.replace(nodes[index], **fields)
    return dataclasses.replace(system, nodes=tuple(nodes))
