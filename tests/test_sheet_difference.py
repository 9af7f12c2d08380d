"""Tests of the differences between sheets."""

from test_sheet_file import GOOD, OPERATION

from gentianmill.sheet_file import load_sheet
from gentianmill_ctl.sheet_difference import differences


def _fields(ours: str, theirs: str) -> list[str]:
    found = differences(load_sheet(ours, 'ours'), load_sheet(theirs, 'theirs'))
    return [difference.field for difference in found]


def test_equal_sheets_do_not_differ_by_their_form():
    """Guards against differences that are only defaults or comments."""
    assert not _fields(GOOD, f'# morning\n{GOOD}limits: {{queue_length: 400}}\n')


def test_an_inserted_operation_differs_by_itself_only():
    """Guards against a difference reported for each operation that moved down."""
    text = GOOD.replace(
        OPERATION,
        f'{OPERATION}      - {{name: x, method: GET, path: /x, class: quotes}}\n',
    )
    found = _fields(text, GOOD)
    assert found[0] == 'services.billing.operations'
    assert all('operations[x]' in field for field in found[1:])


def test_the_order_of_classes_is_a_difference():
    """Guards against a changed priority that is not reported."""
    swapped = GOOD.replace('name: billing, protected: true', 'name: quotes').replace(
        '  - {name: quotes}\nservices', '  - {name: billing}\nservices'
    )
    assert _fields(swapped, GOOD) == ['classes', 'classes[billing].protected']
