"""Tests of reading planning sheets."""

import pytest
from hypothesis import given, strategies

from gentianmill.errors import ErrorCode
from gentianmill.sheet_file import SheetFileError, load_sheet

GOOD = """\
deployment: example
regions: [north, south]
classes:
  - {name: billing, protected: true}
  - {name: quotes}
services:
  billing:
    operations:
      - name: deposit
        method: POST
        path: /deposits/{id}
        class: billing
        run: at_most_once
      - {name: quote, method: GET, path: /quotes, class: quotes}
retry:
  bound: 6
"""
OPERATION = '      - {name: quote, method: GET, path: /quotes, class: quotes}\n'


def _problems(text: str) -> list[tuple[int, str]]:
    with pytest.raises(SheetFileError) as caught:
        load_sheet(text, 'sheet.yaml')
    assert caught.value.code is ErrorCode.bad_sheet
    for problem in caught.value.problems:
        assert problem.file == 'sheet.yaml'
        assert problem.expected
        assert problem.found
    return [(problem.line, problem.field) for problem in caught.value.problems]


def _with_operation(fields: str) -> str:
    return GOOD.replace(OPERATION, f'{OPERATION}      - {{{fields}}}\n')


def test_reads_a_good_sheet():
    """Guards against refusing a sheet that follows the schema."""
    sheet = load_sheet(GOOD, 'sheet.yaml')
    assert sheet.deployment == 'example'
    assert sheet.services['billing'].operations[0].run.value == 'at_most_once'
    assert sheet.limits.queue_length == 400


def test_lists_all_problems_at_once_with_their_lines():
    """Guards against a check that reports only the first problem."""
    text = GOOD.replace('bound: 6', 'bound: -1\n  bund: 3').replace(
        'class: billing', 'class: bilingue'
    )
    text = text.replace('method: POST', 'method: post')
    assert _problems(text) == [
        (10, 'services.billing.operations[0].method'),
        (12, 'services.billing.operations[0].class'),
        (16, 'retry.bound'),
        (17, 'retry.bund'),
    ]


def test_a_problem_says_what_was_expected_and_found():
    """Guards against a refusal from which the planner cannot tell the cause."""
    with pytest.raises(SheetFileError) as caught:
        load_sheet(GOOD.replace('class: quotes', 'class: qotes'), 'sheet.yaml')
    assert str(caught.value.problems[0]) == (
        'sheet.yaml:14: services.billing.operations[1].class: '
        "expected one of the classes billing, quotes, found 'qotes'"
    )


def test_names_the_known_fields_of_an_unknown_one():
    """Guards against a misspelt limit that is silently ignored."""
    with pytest.raises(SheetFileError) as caught:
        load_sheet(GOOD.replace('bound: 6', 'bund: 6'), 'sheet.yaml')
    assert 'bound, window_s, ratio' in caught.value.problems[0].expected


@pytest.mark.parametrize(
    ('fields', 'field'),
    [
        ('name: x, method: GET, path: /quotes, class: quotes', 'path'),
        ('name: x, method: POST, path: "/deposits/{n}", class: quotes', 'path'),
        ('name: x, method: GET, path: /quotes/, class: quotes', 'path'),
        ('name: quote, method: GET, path: /x, class: quotes', 'name'),
        ('name: x, method: GET, path: /x, class: quotes, run: at_most_once', 'run'),
        ('name: x, method: HEAD, path: /x, class: quotes, run: at_most_once', 'run'),
        (
            'name: x, method: POST, path: /x, class: quotes, '
            'run: at_most_once, size: bulk',
            'size',
        ),
        ('name: x, method: POST, path: /x, class: quotes, size: bulk', 'method'),
        ('name: x, method: GET, path: /x, class: unheard', 'class'),
        ('name: x, method: GET, path: "/x?y=1", class: quotes', 'path'),
        ('name: x, method: GET, path: "/a{x}", class: quotes', 'path'),
        ('name: x, method: GET, path: x, class: quotes', 'path'),
        (
            'name: x, method: GET, path: /x, class: quotes, deadline_ms: 0',
            'deadline_ms',
        ),
        (
            'name: x, method: GET, path: /x, class: quotes, deadline_ms: "5"',
            'deadline_ms',
        ),
        (
            'name: x, method: [GET], path: /x, class: quotes, run: at_most_once',
            'method',
        ),
        ('name: x, method: GET, path: /x, class: [quotes]', 'class'),
        ('name: x, method: GET, path: /x', 'class'),
    ],
)
def test_refuses_contradictory_operations(fields: str, field: str):
    """Guards against a payment that may run twice or a call that is ambiguous."""
    expected = (15, f'services.billing.operations[2].{field}')
    assert _problems(_with_operation(fields)) == [expected]


def test_refuses_a_protected_class_after_an_unprotected_one():
    """Guards against shedding protected work before unprotected work."""
    text = GOOD.replace(
        '{name: quotes}', '{name: quotes}\n  - {name: x, protected: true}'
    )
    assert _problems(text) == [(6, 'classes[2].protected')]


def test_an_unreadable_field_is_reported_once():
    """Guards against a second problem reported for a correct line."""
    text = GOOD.replace('protected: true', 'protected: yes').replace(
        '{name: quotes}', '{name: quotes, protected: true}'
    )
    assert _problems(text) == [(4, 'classes[0].protected')]


def test_problems_keep_the_position_after_a_broken_entry():
    """Guards against a problem reported with the line of another entry."""
    text = GOOD.replace(
        '- {name: quotes}', '- 5\n  - {name: quotes}\n  - {name: quotes}'
    )
    assert _problems(text) == [(5, 'classes[1]'), (7, 'classes[3]')]


@pytest.mark.parametrize('form', ['\ufeffGOOD', 'GOOD\n...\n'])
def test_reads_what_editors_write(form: str):
    """Guards against refusing a sheet for its byte order mark or line ends."""
    text = form.replace('GOOD', GOOD)
    assert load_sheet(text, 'sheet.yaml').deployment == 'example'
    windows = text.replace('\n', '\r\n')
    assert load_sheet(windows, 'sheet.yaml').deployment == 'example'


def test_refuses_duplicate_names():
    """Guards against two classes or regions that cannot be told apart."""
    text = GOOD.replace('[north, south]', '[north, north]').replace(
        '{name: quotes}', '{name: quotes}\n  - {name: quotes}'
    )
    assert _problems(text) == [(2, 'regions[1]'), (6, 'classes[2]')]


def test_refuses_a_service_name_that_is_no_path_segment():
    """Guards against a service that no caller can address."""
    text = GOOD.replace('  billing:\n', '  bill/ing:\n')
    assert _problems(text) == [(7, 'services.bill/ing')]


def test_refuses_duplicate_keys():
    """Guards against a later key that silently replaces an earlier one."""
    assert _problems(f'{GOOD}retry: {{bound: 1}}\n') == [(17, 'retry')]
    assert _problems(GOOD.replace('bound: 6', 'bound: 6\n  bound: 7')) == [
        (17, 'retry.bound')
    ]


@pytest.mark.parametrize('found', ['on', 'off', 'yes', 'no', 'True', 'y', 'N'])
def test_refuses_ambiguous_booleans(found: str):
    """Guards against a class that becomes protected by a YAML 1.1 boolean."""
    text = GOOD.replace('protected: true', f'protected: {found}')
    with pytest.raises(SheetFileError) as caught:
        load_sheet(text, 'sheet.yaml')
    assert len(caught.value.problems) == 1
    assert caught.value.problems[0].field == 'classes[0].protected'
    assert caught.value.problems[0].line == 4
    assert 'true' in caught.value.problems[0].expected
    assert caught.value.problems[0].found == f'`{found}`'


@pytest.mark.parametrize(
    'found',
    ['012', '1_000', '0x10', '0b11', '0o17', '1:30', '1e3', '.inf', '.nan', '~', '']
    + ['2026-01-01', '<<', '=', '9' * 5000],
)
def test_refuses_numbers_that_yaml_versions_read_differently(found: str):
    """Guards against a bound of ten where the planner wrote 012."""
    assert _problems(GOOD.replace('bound: 6', f'bound: {found}')) == [
        (16, 'retry.bound')
    ]


@pytest.mark.parametrize('name', ['no', '012', '2026-01-01', 'y', '1e3'])
def test_asks_for_quotes_around_ambiguous_text(name: str):
    """Guards against a tenant named `no` that becomes `False`."""
    shares = f'tenants:\n  shares:\n    {name}: 3\n'
    assert _problems(GOOD + shares) == [(19, f'tenants.shares.{name}')]
    quoted = shares.replace(name, f"'{name}'")
    assert load_sheet(GOOD + quoted, 'sheet.yaml').tenants.shares == {name: 3}
    assert _problems(GOOD.replace('example', name)) == [(1, 'deployment')]
    assert load_sheet(GOOD.replace('example', f'"{name}"'), 'x').deployment == name


ALIAS_BOMB = 'a: &a [x, x]\nb: &b [*a, *a]\nc: &c [*b, *b]\n'


@pytest.mark.parametrize(
    'text',
    [
        '',
        '[]',
        'text',
        '--- \na: 1\n---\nb: 1\n',
        'a: [1\nb',
        '\t- x',
        'a: !!python/object:os.system {}',
        'a: !!int "5"',
        '\x00',
        '\ud800',
        '? [a]\n: b',
        ALIAS_BOMB,
        'a: ' + '[' * 100_000,
        'a: ' + '{a: ' * 500 + '}' * 500,
        '- ' * 50_000,
        '#' * (1024 * 1024 + 1),
        'deployment: ' + 'é' * (512 * 1024),
    ],
)
def test_refuses_what_is_no_plain_mapping(text: str):
    """Guards against a crash or exhausted memory from a broken file."""
    assert _problems(text)


@pytest.mark.parametrize(
    ('old', 'new', 'expected'),
    [
        ('[north, south]', '&a [north, south]', 'no anchors and aliases'),
        ('[north, south]', '[&a north, *a]', 'no anchors and aliases'),
        ('bound: 6', 'bound: !!int "6"', 'no tags'),
        ('example', '!!str example', 'no tags'),
        ('example', f'example #{"x" * 1024 * 1024}', 'at most 1048576 bytes'),
        ('  bound: 6\n', '  bound: 6\n---\n', 'one document'),
        ('example', f'{"[" * 17}x{"]" * 17}', 'at most 16 levels of nesting'),
    ],
)
def test_refuses_anchors_tags_and_excessive_size(old: str, new: str, expected: str):
    """Guards against an otherwise good sheet that expands, or builds objects."""
    assert old in GOOD
    with pytest.raises(SheetFileError) as caught:
        load_sheet(GOOD.replace(old, new), 'sheet.yaml')
    assert [problem.expected for problem in caught.value.problems] == [expected]


@given(strategies.text(max_size=200))
def test_random_text_raises_only_a_sheet_error(text: str):
    """Guards against random text that raises another exception."""
    with pytest.raises(SheetFileError):
        load_sheet(text, 'sheet.yaml')


PLAIN = strategies.recursive(
    strategies.sampled_from(['true', '5', 'GET', 'bulk', 'name', '""', '/x', '0.5']),
    lambda inner: strategies.lists(inner, max_size=3).map(
        lambda parts: f'[{", ".join(parts)}]'
    ),
    max_leaves=4,
)


@given(PLAIN, strategies.integers(0, GOOD.count(': ') - 1))
def test_wrong_types_anywhere_are_problems(inserted: str, position: int):
    """Guards against a check that crashes on the wrong type of another field."""
    parts = GOOD.split(': ')
    after = parts[position + 1]
    end = min(after.find(stop) for stop in '\n,}' if stop in after)
    parts[position + 1] = inserted + after[end:]
    try:
        load_sheet(': '.join(parts), 'sheet.yaml')
    except SheetFileError as error:
        assert error.problems


def test_does_not_parse_an_oversized_file():
    """Guards against time spent on a file that is refused anyway."""
    with pytest.raises(SheetFileError) as caught:
        load_sheet('[' * (1024 * 1024 + 1), 'sheet.yaml')
    expected = [problem.expected for problem in caught.value.problems]
    assert expected == ['at most 1048576 bytes']
