"""Check the operations of one service of a planning sheet."""

from collections.abc import Iterator
from typing import Any

from gentianmill._yaml_file import Path, YamlFile, show_value

Fields = dict[str, Any]


def entries(fields: Fields, name: str) -> list[Any]:
    """Return the list under a name; empty if it is something else."""
    found = fields.get(name)
    return found if isinstance(found, list) else []


def mappings(fields: Fields, name: str) -> Iterator[tuple[int, Fields]]:
    """Yield the mappings in a list, each with its index."""
    for index, entry in enumerate(entries(fields, name)):
        if isinstance(entry, dict):
            yield index, entry


def check_operations(
    file: YamlFile, path: Path, service: Fields, known_classes: set[str]
) -> None:
    """Check the operations of one service; add each problem to the file.

    Args:
        file: The file that was read.
        path: Path of the service in the file.
        service: Unvalidated data of the service, possibly of wrong types.
        known_classes: Names of the classes of work.
    """
    names: set[str] = set()
    routes: dict[object, int] = {}
    for index, operation in mappings(service, 'operations'):
        operation_path = (*path, 'operations', index)
        _check_class(file, operation_path, operation, known_classes)
        _check_run(file, operation_path, operation)
        _check_path(file, operation_path, operation)
        name = operation.get('name')
        if isinstance(name, str) and name in names:
            file.add_problem(
                (*operation_path, 'name'), 'each name once', show_value(name)
            )
        elif isinstance(name, str):
            names.add(name)
        route = _route(operation)
        first = routes.setdefault(route, index)
        if route is not None and first != index:
            file.add_problem(
                (*operation_path, 'path'),
                'each method and path once in a service',
                f'those of operations[{first}] again',
            )


def _check_class(
    file: YamlFile, path: Path, operation: Fields, known_classes: set[str]
) -> None:
    name = operation.get('class')
    if isinstance(name, str) and name not in known_classes:
        classes = ', '.join(sorted(known_classes))
        file.add_problem(
            (*path, 'class'), f'one of the classes {classes}', show_value(name)
        )


def _check_run(file: YamlFile, path: Path, operation: Fields) -> None:
    method = str(operation.get('method'))
    size = operation.get('size')
    if operation.get('run') == 'at_most_once':
        if method in {'GET', 'HEAD'}:
            file.add_problem(
                (*path, 'run'),
                f'repeatable for the method {method}',
                show_value('at_most_once'),
            )
        if size == 'bulk':
            file.add_problem(
                (*path, 'size'), 'short or long for at_most_once', show_value(size)
            )
    elif size == 'bulk' and method != 'GET':
        file.add_problem((*path, 'method'), 'GET for size bulk', show_value(method))


def _check_path(file: YamlFile, path: Path, operation: Fields) -> None:
    template = operation.get('path')
    if not isinstance(template, str):
        return
    if '?' in template or '#' in template:
        file.add_problem(
            (*path, 'path'), 'a path without `?` and `#`', show_value(template)
        )
    for segment in template.split('/'):
        inner = segment[1:-1] if _is_variable(segment) else segment
        if '{' in inner or '}' in inner:
            file.add_problem(
                (*path, 'path'), 'braces around a whole segment', show_value(template)
            )


def _route(operation: Fields) -> tuple[str, ...] | None:
    method = operation.get('method')
    template = operation.get('path')
    if not isinstance(method, str) or not isinstance(template, str):
        return None
    segments = template.strip('/').split('/')
    return method, *('{}' if _is_variable(part) else part for part in segments)


def _is_variable(segment: str) -> bool:
    return segment.startswith('{') and segment.endswith('}')
