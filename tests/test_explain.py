"""Tests of how the logs lead from the id of a failed request to its cause."""

import json
from pathlib import Path

from gentianmill_ctl.cli import run
from gentianmill_ctl.explain import explain_request

LINES = [
    {'request_id': 'a.1', 'event': 'entry: Call not answered.', 'timestamp': '2'},
    {'request_id': 'a', 'event': 'entry: Request failed.', 'timestamp': '3'},
    {'request_id': 'ab', 'event': 'entry: Request refused.', 'timestamp': '1'},
    {'event': 'node: Started.', 'timestamp': '0'},
]


def _log(folder, text: str) -> str:
    path = folder / 'node.log'
    path.write_text(text)
    return str(path)


def _events(folder, request_id: str, text: str) -> list[str]:
    found = explain_request(request_id, [_log(folder, text)]).fields['lines']
    return [line['event'] for line in found]


def test_inner_calls_stand_before_the_failure_that_they_caused(tmp_path):
    """Guards against a report that omits the downstream call that caused a failure."""
    text = '\n'.join(json.dumps(line) for line in LINES)
    assert _events(tmp_path, 'a', text) == [
        'entry: Call not answered.',
        'entry: Request failed.',
    ]


def test_inner_call_leads_to_its_request(tmp_path):
    """Guards against a report on an inner call that omits the request that made it."""
    text = '\n'.join(json.dumps(line) for line in LINES)
    assert _events(tmp_path, 'a.1', text)[-1] == 'entry: Request failed.'


def test_lines_of_other_programs_are_skipped(tmp_path):
    """Guards against a report that stops at a traceback or a log collector's prefix."""
    line = json.dumps(LINES[1])
    text = f'Traceback {{\n 1.5 node-1 {line}\nnot json'
    assert _events(tmp_path, 'a', text) == ['entry: Request failed.']


def test_missing_id_is_reported(tmp_path):
    """Guards against an empty report that looks like a request without decisions."""
    result = explain_request('zz', [_log(tmp_path, '')])
    assert 'zz' in result.lines[0]


def test_the_command_accepts_files_as_documented(tmp_path: Path, capsys):
    """Guards against refusing the command line that docs/OPERATIONS.md gives."""
    line = '{"request_id": "ab1", "event": "entry: Request refused.", "vm": "v"}'
    assert run(['explain', 'ab1', _log(tmp_path, line), '--json']) == 0
    assert 'Request refused.' in capsys.readouterr().out
