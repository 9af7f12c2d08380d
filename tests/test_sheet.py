"""Tests of the planning sheet's data classes."""

from gentianmill.sheet import Sheet
from gentianmill.sheet_models import SheetModel

SHEET = {
    'deployment': 'example',
    'regions': ['north', 'south', 'west'],
    'classes': [{'name': 'billing', 'protected': True}, {'name': 'quotes'}],
    'services': {
        'billing': {
            'operations': [
                {
                    'name': 'deposit',
                    'method': 'POST',
                    'path': '/deposits/{id}',
                    'class': 'billing',
                    'run': 'at_most_once',
                }
            ]
        }
    },
    'tenants': {'shares': {'big': 3}},
}


def _sheet() -> Sheet:
    return Sheet(SheetModel.model_validate(SHEET), version=7)


def test_finds_operation_by_template_and_ignores_the_query():
    """Guards against treating a payment as an unknown, repeatable call."""
    operation = _sheet().find_operation('billing', 'POST', '/deposits/17?x=1')
    assert operation is not None
    assert operation.at_most_once
    assert operation.work_class.protected


def test_does_not_match_other_methods_lengths_or_empty_segments():
    """Guards against a template that matches more than one segment."""
    sheet = _sheet()
    assert sheet.find_operation('billing', 'GET', '/deposits/17') is None
    assert sheet.find_operation('billing', 'POST', '/deposits/17/x') is None
    assert sheet.find_operation('billing', 'POST', '/deposits/') is None
    assert sheet.find_operation('quoting', 'POST', '/deposits/17') is None


def test_divides_the_retry_bound_among_regions():
    """Guards against allowances of the regions whose sum exceeds the bound."""
    sheet = _sheet()
    assert sheet.retries_per_region * len(sheet.regions) <= sheet.retry.bound


def test_tenant_shares_fall_back_to_the_default():
    """Guards against unknown tenants without a share."""
    assert _sheet().tenant_share('big') == 3
    assert _sheet().tenant_share('invented') == 1
