"""Tests of the log lines."""

import io
import json
import logging

import pytest
import structlog

from gentianmill_node import logs


@pytest.fixture
def stream():
    """Collect log lines, and restore the defaults of structlog afterwards."""
    lines = io.StringIO()
    logs.configure(lines)
    yield lines
    structlog.reset_defaults()


def test_a_line_has_prefix_and_fields(stream: io.StringIO):
    """Guards against lines that cannot be searched by component or call."""
    logs.component('guard').warning('Call refused.', call_id='c1', tenant='t"\n')
    fields = json.loads(stream.getvalue())
    assert fields['event'] == 'guard: Call refused.'
    assert fields['component'] == 'guard'
    assert fields['call_id'] == 'c1'
    assert fields['tenant'] == 't"\n'
    assert fields['level'] == 'warning'
    assert stream.getvalue().count('\n') == 1


def test_an_exception_stays_on_one_line(stream: io.StringIO):
    """Guards against a traceback that splits a JSON line."""
    error = ValueError('broken')
    logs.component('guard').error('Call failed.', exc_info=error)
    assert 'ValueError: broken' in json.loads(stream.getvalue())['exception']


def test_a_logger_made_before_the_configuration_follows_it():
    """Guards against module loggers that keep the defaults of structlog."""
    early = logs.component('early')
    lines = io.StringIO()
    logs.configure(lines, logging.WARNING)
    early.info('Hidden.')
    early.warning('Shown.', value=object)
    structlog.reset_defaults()
    assert json.loads(lines.getvalue())['event'] == 'early: Shown.'
