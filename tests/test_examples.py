"""Tests of the example files."""

from pathlib import Path

import pytest

from gentianmill.settings_file import load_settings
from gentianmill.sheet import Sheet
from gentianmill.sheet_file import load_sheet

EXAMPLES = Path(__file__).parent.parent / 'examples'
SERVICES = {
    'cascadia': ('dispatch', 'billing', 'templates', 'quoting'),
    'guild': ('catalogo', 'tesoreria', 'biblioteca', 'registro'),
}
AT_MOST_ONCE = {
    'cascadia': (
        ('dispatch', '/job-sheets/17/completion'),
        ('billing', '/deposits'),
    ),
    'guild': (('tesoreria', '/cuotas'), ('catalogo', '/pedidos')),
}


def _sheet(deployment: str) -> Sheet:
    file = EXAMPLES / deployment / 'sheet.yaml'
    return Sheet(load_sheet(file.read_text(), str(file)))


def test_every_example_is_covered():
    """Guards against an example that no test loads."""
    files = {str(file.relative_to(EXAMPLES)) for file in EXAMPLES.rglob('*.*')}
    loaded = {f'{name}/{kind}.yaml' for name in SERVICES for kind in ('node', 'sheet')}
    assert files == loaded


@pytest.mark.parametrize('deployment', list(SERVICES))
def test_a_sheet_covers_the_deployment(deployment: str):
    """Guards against an example that a node would refuse or that lacks a service."""
    sheet = _sheet(deployment)
    assert sheet.deployment == deployment
    assert sheet.services == SERVICES[deployment]
    assert len(sheet.regions) == 3
    assert sheet.retries_per_region == 2


@pytest.mark.parametrize('deployment', list(SERVICES))
def test_payments_and_completions_run_at_most_once(deployment: str):
    """Guards against an example that lets a payment take effect twice."""
    sheet = _sheet(deployment)
    for service, path in AT_MOST_ONCE[deployment]:
        operation = sheet.find_operation(service, 'POST', path)
        assert operation is not None
        assert operation.at_most_once


def test_billing_dues_and_job_sheets_are_protected():
    """Guards against an example that sheds payments before downloads."""
    cascadia = _sheet('cascadia').classes
    assert cascadia['billing'].protected
    assert cascadia['job_sheets'].protected
    assert not cascadia['downloads'].protected
    assert _sheet('guild').classes['dues'].protected


@pytest.mark.parametrize(
    ('deployment', 'service', 'path'),
    [
        ('cascadia', 'templates', '/templates/t1/file'),
        ('guild', 'biblioteca', '/guias/g1/archivo'),
    ],
)
def test_downloads_are_bulk(deployment: str, service: str, path: str):
    """Guards against downloads that hold the slots of short work."""
    operation = _sheet(deployment).find_operation(service, 'GET', path)
    assert operation is not None
    assert operation.is_bulk


@pytest.mark.parametrize('deployment', list(SERVICES))
def test_settings_fit_the_sheet(deployment: str):
    """Guards against a node whose service or region the sheet does not have."""
    file = EXAMPLES / deployment / 'node.yaml'
    settings = load_settings(file.read_text(), str(file))
    sheet = _sheet(deployment)
    assert settings.upstream.service in sheet.services
    assert settings.node.region in sheet.regions
