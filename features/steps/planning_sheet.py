"""Steps of the feature on the planning sheet."""

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
EXAMPLE_BOUND = 'bound: 6'
TIMEOUT_S = 60


class ProgramResult(NamedTuple):
    """Exit code of the program and the JSON that it printed."""

    code: int
    fields: dict[str, Any]


def _start(context, *arguments):
    """Start the operators' program without waiting, as two of them may run at once."""
    process = subprocess.Popen(
        [*COMMAND, *arguments, '--json'], stdout=subprocess.PIPE, text=True
    )
    context.add_cleanup(_stop, process)
    return process


def _stop(process):
    if process.poll() is None:
        process.kill()
    process.communicate()


def _wait_for_result(process):
    text, _ = process.communicate(timeout=TIMEOUT_S)
    return ProgramResult(process.returncode, json.loads(text))


def _write_sheet(context, name, text):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    file = Path(folder.name) / f'{name}.yaml'
    file.write_text(text)
    return str(file)


def _submit(context, name, text, expected):
    file = _write_sheet(context, name, text)
    target = ('--table', context.server.url, '--expect', str(expected), '--by', name)
    return _start(context, 'submit', file, *target)


def _amended(bound):
    return EXAMPLE.read_text().replace(EXAMPLE_BOUND, f'bound: {bound}')


def _in_force(context):
    return json.loads(context.rows.rows[ROW][0])


@given('the sheet of the morning is in force as version 1')
def given_morning(context):
    context.rows = RowTable()
    context.server = AppThread(context.rows.app())
    context.server.__enter__()
    context.add_cleanup(context.server.__exit__)
    result = _wait_for_result(_submit(context, 'Mia', EXAMPLE.read_text(), 0))
    assert result.code == 0
    assert _in_force(context)['version'] == 1


@given("Ben's amendment is in force as version 2")
def given_amendment(context):
    result = _wait_for_result(_submit(context, 'Ben', _amended(5), 1))
    assert result.code == 0


@given('the table loses its next answer')
def given_lost_response(context):
    context.rows.lost_responses = 1
    context.writes_before = context.rows.transactions


@when('Ana submits a sheet that lets a deposit run twice, expecting version {version}')
def when_bad_sheet(context, version):
    text = EXAMPLE.read_text().replace('method: POST', 'method: GET')
    context.result = _wait_for_result(_submit(context, 'Ana', text, version))


@when('Ana checks a sheet with a misspelt class and a bound of 012')
def when_check(context):
    text = _amended('012').replace('class: quotes,', 'class: qotes,', 1)
    checking = _start(context, 'check-sheet', _write_sheet(context, 'Ana', text))
    context.result = _wait_for_result(checking)


@when('Ana submits a sheet with a retry bound of {bound}, expecting version {version}')
def when_amendment(context, bound, version):
    submitting = _submit(context, 'Ana', _amended(bound), version)
    context.result = _wait_for_result(submitting)


@when('Ana and Ben both submit amendments, expecting version {version}')
def when_race(context, version):
    amendments = {'Ana': _amended(4), 'Ben': _amended(5)}
    started = {
        name: _submit(context, name, text, version) for name, text in amendments.items()
    }
    context.results = {
        name: _wait_for_result(process) for name, process in started.items()
    }


@then('Ana is told the line, the field, what was expected and what was found')
def then_problem_shown(context):
    assert context.result.code == 1, context.result.code
    for problem in context.result.fields['problems']:
        assert problem['line'] > 1
        assert problem['field'].startswith('services.')
        assert problem['expected']
        assert problem['found']


@then('Ana is told of {count:d} problems')
def then_problem_count(context, count):
    assert context.result.code == 1, context.result.code
    assert len(context.result.fields['problems']) == count, context.result.fields


@then('version {version:d} is in force')
def then_in_force(context, version):
    assert _in_force(context)['version'] == version


@then("Ana's sheet is accepted as version {version:d}")
def then_accepted(context, version):
    assert context.result.code == 0, context.result.fields
    assert context.result.fields['version'] == version


@then('exactly one of them is accepted as version 2')
def then_one(context):
    codes = sorted(result.code for result in context.results.values())
    assert codes == [0, 3], codes
    assert _in_force(context)['version'] == 2


@then("the other is told the winner's name and the fields that differ")
def then_loser(context):
    loser = next(result.fields for result in context.results.values() if result.code)
    assert loser['accepted_by'] == _in_force(context)['accepted_by']
    differing = [difference['field'] for difference in loser['differences']]
    assert differing == ['retry.bound'], differing


@then('Ana is told that version 2 of Ben won')
def then_ben_won(context):
    assert context.result.code == 3, context.result.code
    assert context.result.fields['version'] == 2
    assert context.result.fields['accepted_by'] == 'Ben'


@then('the sheet was written once')
def then_written_once(context):
    assert context.rows.transactions == context.writes_before + 1
