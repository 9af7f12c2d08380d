"""Validate the data of a file against a generated model."""

import json
import re
from typing import Any, TypeVar, get_args

import pydantic
from pydantic_core import ErrorDetails

from gentianmill._yaml_file import Path, YamlFile, show_value

Model = TypeVar('Model', bound=pydantic.BaseModel)

_PREFIX = re.compile(r'^(Input|String|List|Dictionary|Value) should (be )?')
_NOTHING = 'nothing'


def check_model(file: YamlFile, model: type[Model]) -> Model | None:
    """Validate the data of a file; add each problem to the file.

    Validation is strict, so that a quoted number is not accepted as a number.

    Args:
        file: The file that was read.
        model: The generated model.

    Returns:
        The model, or None if it was not valid.
    """
    try:
        return model.model_validate_json(json.dumps(file.data), strict=True)
    except pydantic.ValidationError as error:
        for details in error.errors(include_url=False):
            _add(file, model, details)
    return None


def _add(
    file: YamlFile, model: type[pydantic.BaseModel], details: ErrorDetails
) -> None:
    path: Path = tuple(details['loc'])
    if details['type'] == 'missing':
        file.add_problem(path, f'the field `{path[-1]}`', _NOTHING)
    elif details['type'] == 'extra_forbidden':
        known = ', '.join(_field_names(model, path[:-1]))
        file.add_problem(path, f'one of the fields {known}', f'`{path[-1]}`')
    else:
        expected = _PREFIX.sub('', details['msg']).replace('an object', 'a mapping')
        file.add_problem(path, expected, show_value(details['input']))


def _field_names(model: type[pydantic.BaseModel], path: Path) -> list[str]:
    current: Any = model
    for part in path:
        current = _child_model(current, part)
    return [field.alias or name for name, field in current.model_fields.items()]


def _child_model(current: Any, part: str | int) -> Any:
    if get_args(current):
        return get_args(current)[-1]
    fields = {
        field.alias or name: field for name, field in current.model_fields.items()
    }
    return fields[str(part)].annotation
