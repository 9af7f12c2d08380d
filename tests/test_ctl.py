"""Tests of the operators' command line program."""

import json
import socket
from pathlib import Path

import pytest
from row_table import AppThread, RowTable
from test_operator_listener import KEY, FakeNode
from test_settings_file import GOOD as GOOD_SETTINGS
from test_sheet_file import GOOD

from gentianmill_ctl import submit
from gentianmill_ctl.cli import run
from gentianmill_node.operator_listener import operator_app

ROW = 'sheet/current'


@pytest.fixture
def table():
    """Provide an empty table service."""
    return RowTable()


@pytest.fixture
def url(table: RowTable, monkeypatch: pytest.MonkeyPatch):
    """Serve the table, with short pauses between attempts."""
    monkeypatch.setattr(submit.Submission.send, '__defaults__', (0,))
    with AppThread(table.app()) as server:
        yield server.url


@pytest.fixture
def sheet(tmp_path: Path) -> str:
    """Write a good sheet."""
    file = tmp_path / 'sheet.yaml'
    file.write_text(GOOD)
    return str(file)


@pytest.fixture
def key_file(tmp_path: Path) -> str:
    """Write the operator key."""
    file = tmp_path / 'operator.key'
    file.write_bytes(KEY + b'\n')
    return str(file)


def _submit(sheet: str, url: str, expect: int, by: str = 'ana', key: str = '') -> int:
    arguments = ['submit', sheet, '--table', url, '--expect', str(expect), '--by', by]
    if key:
        arguments.extend(['--key-file', key])
    return run([*arguments, '--json'])


def _row(table: RowTable) -> dict:
    return json.loads(table.rows[ROW][0])


def _row_of(version: int, text: str) -> bytes:
    fields = {
        'version': version,
        'text': text,
        'accepted_by': 'ben',
        'accepted_unix_ms': 5,
        'submission_id': 'of-ben',
    }
    return json.dumps(fields).encode()


def test_check_sheet_reports_line_field_expected_and_found(tmp_path: Path, capsys):
    """Guards against a check whose result a planner cannot act on."""
    file = tmp_path / 'bad.yaml'
    file.write_text(GOOD.replace('class: quotes', 'class: qotes'))
    assert run(['check-sheet', str(file)]) == 1
    error = capsys.readouterr().err
    assert error.startswith(
        f'{file}:14: services.billing.operations[1].class: expected'
    )
    assert "found 'qotes'" in error
    assert run(['check-sheet', str(file), '--json']) == 1
    problem = json.loads(capsys.readouterr().out)['problems'][0]
    assert problem['line'] == 14
    assert set(problem) == {'file', 'line', 'field', 'expected', 'found'}


def test_check_commands_accept_good_files(tmp_path: Path, sheet: str, capsys):
    """Guards against a check that refuses what a node accepts."""
    settings = tmp_path / 'node.yaml'
    settings.write_text(GOOD_SETTINGS)
    assert run(['check-sheet', sheet]) == 0
    assert run(['check-settings', str(settings), '--json']) == 0
    settings.write_text(GOOD_SETTINGS.replace('slots: 70', 'slots: none'))
    assert run(['check-settings', str(settings)]) == 1
    capsys.readouterr()


@pytest.mark.parametrize('command', ['check-sheet', 'check-settings'])
def test_a_file_that_is_not_utf8_is_a_problem_with_a_line(
    tmp_path: Path, capsys, command: str
):
    """Guards against a traceback for a file in another encoding."""
    file = tmp_path / 'latin.yaml'
    file.write_bytes(b'a: 1\nb: caf\xe9\n')
    assert run([command, str(file)]) == 1
    assert f'{file}:2:' in capsys.readouterr().err


def test_usage_errors_exit_with_2(tmp_path: Path, sheet: str, capsys):
    """Guards against a script that mistakes a usage error for a refused sheet."""
    assert run(['check-sheet', str(tmp_path / 'absent.yaml')]) == 2
    assert run(['check-sheet', str(tmp_path)]) == 2
    assert _submit(sheet, 'ftp://x', 0) == 2
    assert _submit(sheet, 'http://127.0.0.1:1', -1) == 2
    assert _submit(sheet, 'http://127.0.0.1:1', 2**70) == 2
    assert _submit(sheet, 'http://127.0.0.1:1', 0, ' ') == 2
    assert run(['members', '--node', 'nowhere', '--key-file', sheet]) == 2
    with pytest.raises(SystemExit) as caught:
        run(['submit'])
    assert caught.value.code == 2
    capsys.readouterr()


def test_help_documents_the_exit_codes(capsys):
    """Guards against scripts that guess the meaning of an exit code."""
    with pytest.raises(SystemExit):
        run(['--help'])
    shown = ' '.join(capsys.readouterr().out.split())
    assert 'Exit codes: 0 success; 1 refused' in shown
    assert '5 key missing or wrong' in shown


def test_submit_writes_the_first_and_the_next_version(table, url, sheet, capsys):
    """Guards against versions that do not increase by one."""
    assert _submit(sheet, url, 0) == 0
    assert _submit(sheet, url, 1, 'ben') == 0
    assert json.loads(capsys.readouterr().out.splitlines()[-1])['version'] == 2
    row = _row(table)
    assert row['version'] == 2
    assert row['text'] == GOOD
    assert row['accepted_by'] == 'ben'
    assert row['accepted_unix_ms'] > 0
    assert row['submission_id']


def test_submit_writes_the_version_row_with_the_sheet(table, url, sheet):
    """Guards against nodes that poll a version row and miss a new sheet."""
    assert _submit(sheet, url, 0) == 0
    assert table.rows['sheet/version'][0] == b'1'
    assert _submit(sheet, url, 0) == 3
    assert table.rows['sheet/version'][0] == b'1'
    assert _submit(sheet, url, 1) == 0
    assert table.rows['sheet/version'][0] == b'2'


def test_a_bad_sheet_makes_no_request(table, url, tmp_path: Path, capsys):
    """Guards against a refused sheet that changes the table."""
    file = tmp_path / 'bad.yaml'
    file.write_text(GOOD.replace('POST', 'GET'))
    assert _submit(str(file), url, 0) == 1
    assert not table.transactions
    assert not table.rows
    assert json.loads(capsys.readouterr().out)['code'] == 'bad_sheet'


def test_a_conflict_reports_the_accepted_sheet_and_the_differences(
    table, url, sheet, capsys
):
    """Guards against an operator who overwrites a sheet without seeing it."""
    table.put(ROW, _row_of(4, GOOD.replace('bound: 6', 'bound: 4')))
    assert _submit(sheet, url, 3) == 3
    fields = json.loads(capsys.readouterr().out)
    assert fields['code'] == 'version_conflict'
    assert fields['version'] == 4
    assert fields['accepted_by'] == 'ben'
    assert fields['differences'] == [
        {'field': 'retry.bound', 'ours': '6', 'theirs': '4'}
    ]
    assert fields['notes'] == []
    assert _row(table)['submission_id'] == 'of-ben'


def test_a_race_between_read_and_write_has_one_winner(table, url, sheet, capsys):
    """Guards against a read-then-write without a condition."""
    table.before_write = lambda: table.put(ROW, _row_of(1, GOOD))
    assert _submit(sheet, url, 0) == 3
    fields = json.loads(capsys.readouterr().out)
    assert fields['version'] == 1
    assert fields['differences'] == []
    assert fields['notes'] == []
    assert _row(table)['accepted_by'] == 'ben'


def test_a_version_ahead_of_the_table_is_a_conflict(table, url, sheet, capsys):
    """Guards against versions with gaps after a mistyped --expect."""
    assert _submit(sheet, url, 7) == 3
    assert not table.rows
    capsys.readouterr()


def test_a_lost_response_is_resolved_by_the_submission_id(table, url, sheet, capsys):
    """Guards against a written sheet that is reported as failed, or written twice."""
    table.lost_responses = 1
    assert _submit(sheet, url, 0) == 0
    assert _row(table)['version'] == 1
    assert table.transactions == 1
    capsys.readouterr()


def test_a_lost_response_and_a_later_submission_are_distinguished(
    table, url, sheet, capsys
):
    """Guards against reporting that a sheet was never in force if it may have been."""
    table.lost_responses = 1
    table.after_lost_write = lambda: table.put(ROW, _row_of(2, GOOD))
    assert _submit(sheet, url, 0) == 3
    fields = json.loads(capsys.readouterr().out)
    assert fields['version'] == 2
    assert 'version 1 of this submission may have been in force' in fields['notes'][0]


def test_a_short_outage_is_bridged_by_retries(table, url, sheet, capsys):
    """Guards against a submission that fails on a single refused request."""
    table.refused_requests = submit.ATTEMPTS - 1
    assert _submit(sheet, url, 0) == 0
    capsys.readouterr()


def test_an_outage_exits_with_4_and_says_that_nothing_changed(
    table, url, sheet, capsys
):
    """Guards against an outage that looks like a refused sheet."""
    table.refused_requests = 1000
    assert _submit(sheet, url, 0) == 4
    fields = json.loads(capsys.readouterr().out)
    assert fields['code'] == 'store_unavailable'
    assert 'nothing was changed' in fields['message']


def test_an_outage_after_the_write_says_that_the_result_is_unknown(
    table, url, sheet, capsys
):
    """Guards against "nothing was changed" when the sheet may be in force."""

    def outage() -> None:
        table.refused_requests = 1000

    table.before_write = outage
    table.lost_responses = 1
    assert _submit(sheet, url, 0) == 4
    assert (
        'not known whether version 1' in json.loads(capsys.readouterr().out)['message']
    )


def test_an_unreadable_row_is_not_overwritten(table, url, sheet, capsys):
    """Guards against replacing a row that another release wrote."""
    table.put(ROW, b'\x00 no json')
    assert _submit(sheet, url, 0) == 4
    assert table.rows[ROW][0] == b'\x00 no json'
    capsys.readouterr()


def test_a_sheet_in_force_that_cannot_be_compared_is_reported(
    table, url, sheet, capsys
):
    """Guards against a traceback if the sheet in force is from another release."""
    table.put(ROW, _row_of(9, 'unheard: 1\n'))
    assert _submit(sheet, url, 0) == 3
    assert json.loads(capsys.readouterr().out)['differences'] is None


def test_the_table_key_is_sent_and_a_wrong_one_exits_with_5(
    table, url, sheet, key_file, capsys
):
    """Guards against a refused key that looks like an outage."""
    table.required_key = KEY.decode()
    assert _submit(sheet, url, 0) == 5
    assert _submit(sheet, url, 0, key=key_file) == 0
    capsys.readouterr()


@pytest.mark.parametrize(
    ('command', 'shown'),
    [
        ('members', 'draining'),
        ('limits', 'queue_delay_ms: 4.5'),
        ('drains', 'n1       billing  3'),
        ('show-sheet', '# version 7, accepted by ana'),
        ('drain', 'state draining'),
    ],
)
def test_commands_against_the_operator_listener(key_file, capsys, command, shown):
    """Guards against a command that does not match the API of the listener."""
    with AppThread(operator_app(FakeNode(), KEY)) as server:
        arguments = [command, '--node', server.address, '--key-file', key_file]
        assert run(arguments) == 0
        assert shown in capsys.readouterr().out
        assert run([*arguments, '--json']) == 0
        # The log of the listener in this process precedes the response.
        response = capsys.readouterr().out.splitlines()[-1]
        assert isinstance(json.loads(response), dict)


def test_a_wrong_operator_key_exits_with_5(tmp_path: Path, capsys):
    """Guards against a wrong key that looks like an unreachable node."""
    wrong = tmp_path / 'wrong.key'
    wrong.write_text('another-key-0123456')
    node = FakeNode()
    with AppThread(operator_app(node, KEY)) as server:
        arguments = ['drain', '--node', server.address, '--key-file', str(wrong)]
        assert run(arguments) == 5
    assert not node.drained
    capsys.readouterr()


def test_an_unreachable_node_exits_with_4(key_file: str, capsys):
    """Guards against a script that mistakes an unreachable node for an empty one."""
    with socket.create_server(('127.0.0.1', 0)) as closed:
        address = f'127.0.0.1:{closed.getsockname()[1]}'
    assert run(['members', '--node', address, '--key-file', key_file]) == 4
    capsys.readouterr()
