"""Steps of the planning sheet feature."""

import json
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any, NamedTuple

from behave import given, then, when
from row_table import AppThread, RowTable

ROW = 'sheet/current'
EXAMPLE = Path(__file__).parents[2] / 'examples' / 'cascadia' / 'sheet.yaml'
COMMAND = (sys.executable, '-c', 'from gentianmill_ctl.cli import main; main()')
BOUND = 'bound: 6'
TIMEOUT_S = 60


class End(NamedTuple):
    """Exit code of the program and the JSON that it printed."""

    code: int
    fields: dict[str, Any]


def _start(context, *arguments):
    """Start the operators' program; the answers of two of them may overlap."""
    process = subprocess.Popen(
        [*COMMAND, *arguments, '--json'], stdout=subprocess.PIPE, text=True
    )
    context.add_cleanup(_end, process)
    return process


def _end(process):
    if process.poll() is None:
        process.kill()
    process.communicate()


def _finish(process):
    text, _ = process.communicate(timeout=TIMEOUT_S)
    return End(process.returncode, json.loads(text))


def _file(context, name, text):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    file = Path(folder.name) / f'{name}.yaml'
    file.write_text(text)
    return str(file)


def _submit(context, name, text, expected):
    file = _file(context, name, text)
    target = ('--table', context.server.url, '--expect', str(expected), '--by', name)
    return _start(context, 'submit', file, *target)


def _amended(bound):
    return EXAMPLE.read_text().replace(BOUND, f'bound: {bound}')


def _in_force(context):
    return json.loads(context.rows.rows[ROW][0])


@given('the sheet of the morning is in force as version 1')
def given_morning(context):
    context.rows = RowTable()
    context.server = AppThread(context.rows.app())
    context.server.__enter__()
    context.add_cleanup(context.server.__exit__)
    end = _finish(_submit(context, 'Mia', EXAMPLE.read_text(), 0))
    assert end.code == 0
    assert _in_force(context)['version'] == 1


@given("Ben's amendment is in force as version 2")
def given_amendment(context):
    end = _finish(_submit(context, 'Ben', _amended(5), 1))
    assert end.code == 0


@given('the table loses its next answer')
def given_lost_answer(context):
    context.rows.lost_answers = 1
    context.writes_before = context.rows.transactions


@when('Ana submits a sheet that lets a deposit run twice, expecting version {version}')
def when_bad_sheet(context, version):
    text = EXAMPLE.read_text().replace('method: POST', 'method: GET')
    context.end = _finish(_submit(context, 'Ana', text, version))


@when('Ana checks a sheet with a misspelt class and a bound of 012')
def when_check(context):
    text = _amended('012').replace('class: quotes,', 'class: qotes,', 1)
    checking = _start(context, 'check-sheet', _file(context, 'Ana', text))
    context.end = _finish(checking)


@when('Ana submits a sheet with a retry bound of {bound}, expecting version {version}')
def when_amendment(context, bound, version):
    submitting = _submit(context, 'Ana', _amended(bound), version)
    context.end = _finish(submitting)


@when('Ana and Ben both submit amendments, expecting version {version}')
def when_race(context, version):
    amendments = {'Ana': _amended(4), 'Ben': _amended(5)}
    started = {
        name: _submit(context, name, text, version) for name, text in amendments.items()
    }
    context.ends = {name: _finish(process) for name, process in started.items()}


@then('Ana is told the line, the field, what was expected and what was found')
def then_told(context):
    assert context.end.code == 1, context.end.code
    for problem in context.end.fields['problems']:
        assert problem['line'] > 1
        assert problem['field'].startswith('services.')
        assert problem['expected']
        assert problem['found']


@then('Ana is told of {count:d} problems')
def then_told_count(context, count):
    assert context.end.code == 1, context.end.code
    assert len(context.end.fields['problems']) == count, context.end.fields


@then('version {version:d} is in force')
def then_in_force(context, version):
    assert _in_force(context)['version'] == version


@then("Ana's sheet is accepted as version {version:d}")
def then_accepted(context, version):
    assert context.end.code == 0, context.end.fields
    assert context.end.fields['version'] == version


@then('exactly one of them is accepted as version 2')
def then_one(context):
    codes = sorted(end.code for end in context.ends.values())
    assert codes == [0, 3], codes
    assert _in_force(context)['version'] == 2


@then("the other is told the winner's name and the fields that differ")
def then_loser(context):
    loser = next(end.fields for end in context.ends.values() if end.code)
    assert loser['accepted_by'] == _in_force(context)['accepted_by']
    differing = [difference['field'] for difference in loser['differences']]
    assert differing == ['retry.bound'], differing


@then('Ana is told that version 2 of Ben won')
def then_ben_won(context):
    assert context.end.code == 3, context.end.code
    assert context.end.fields['version'] == 2
    assert context.end.fields['accepted_by'] == 'Ben'


@then('the sheet was written once')
def then_written_once(context):
    assert context.rows.transactions == context.writes_before + 1
