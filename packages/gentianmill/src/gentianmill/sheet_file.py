"""Read and check a planning sheet."""

import re

from gentianmill._operation_checks import Fields, check_operations, entries, mappings
from gentianmill._model_file import check_model
from gentianmill._yaml_file import YamlFile, show_value
from gentianmill.errors import ErrorCode
from gentianmill.file_problem import FileError, FileProblem
from gentianmill.sheet_models import SheetModel
from gentianmill.steps import Steps, run_steps

Names = list[tuple[int, str]]

# A service name is one segment of the paths of calls and of the row keys of claims.
_SERVICE_NAME = re.compile('[A-Za-z0-9._-]+')


class SheetFileError(FileError):
    """Raised with all problems of a planning sheet."""

    def __init__(self, problems: list[FileProblem]) -> None:
        """Create an error from at least one problem."""
        super().__init__(ErrorCode.bad_sheet, problems)


def load_sheet(text: str, file_name: str) -> SheetModel:
    """Read and check a planning sheet.

    Args:
        text: Complete text of the file.
        file_name: Name to show in problems.

    Returns:
        The validated sheet.

    Raises:
        SheetFileError: If the sheet has problems; it lists all of them.
    """
    return run_steps(load_sheet_steps(text, file_name))


def load_sheet_steps(text: str, file_name: str) -> Steps[SheetModel]:
    """Do the same as ``load_sheet`` in steps.

    The longest step validates the complete sheet against its model.
    """
    file = YamlFile(file_name)
    yield from file.read_steps(text)
    model = None
    if isinstance(file.data, dict):
        model = check_model(file, SheetModel)
        yield
        _check_names(file, 'regions', _region_names(file.data))
        _check_classes(file, file.data)
        yield from _check_services(file, file.data)
    if model is None or file.problems:
        raise SheetFileError(file.problems)
    return model


def _check_names(file: YamlFile, field: str, names: Names) -> None:
    seen: set[str] = set()
    for index, name in names:
        if name in seen:
            file.add_problem((field, index), 'each name once', show_value(name))
        seen.add(name)


def _region_names(data: Fields) -> Names:
    regions = enumerate(entries(data, 'regions'))
    return [(index, name) for index, name in regions if isinstance(name, str)]


def _check_classes(file: YamlFile, data: Fields) -> None:
    _check_names(file, 'classes', _class_names(data))
    seen_unprotected = False
    for index, entry in mappings(data, 'classes'):
        # An unreadable value is None; its problem is listed already.
        protected = entry.get('protected', False)
        if protected is True and seen_unprotected:
            file.add_problem(
                ('classes', index, 'protected'),
                'protected classes before all others',
                'a protected class after an unprotected one',
            )
        seen_unprotected = seen_unprotected or protected is False


def _class_names(data: Fields) -> Names:
    classes = mappings(data, 'classes')
    named = ((index, entry.get('name')) for index, entry in classes)
    return [(index, name) for index, name in named if isinstance(name, str)]


def _check_services(file: YamlFile, data: Fields) -> Steps[None]:
    known = {name for _, name in _class_names(data)}
    services = data.get('services')
    if not isinstance(services, dict):
        return
    for name, service in services.items():
        path = ('services', name)
        if not _SERVICE_NAME.fullmatch(name):
            file.add_problem(
                path, 'a name of letters, digits, `.`, `_` and `-`', show_value(name)
            )
        if isinstance(service, dict):
            check_operations(file, path, service, known)
        yield
