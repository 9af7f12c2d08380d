"""Read and check the settings of a node."""

import re
from typing import Any
from urllib.parse import urlsplit

from gentianmill._model_file import check_model
from gentianmill._yaml_file import YamlFile, show_value
from gentianmill.errors import ErrorCode
from gentianmill.file_problem import FileError, FileProblem
from gentianmill.settings_models import NodeSettingsModel
from gentianmill.steps import run_steps

Fields = dict[str, Any]

_ANY_HOST = '0.0.0.0'
_DEFAULT_EGRESS_HOST = '127.0.0.1'
_LISTENERS = ('caller', 'egress', 'peer', 'control', 'operator')
_CERTIFICATE_PAIRS = (
    ('certificate_file', 'certificate_key_file'),
    ('certificate_key_file', 'certificate_file'),
)
_MAX_PORT = 65535
_PORT = re.compile('[0-9]{1,5}')


class SettingsFileError(FileError):
    """Raised with all problems of a settings file."""

    def __init__(self, problems: list[FileProblem]) -> None:
        """Create an error from at least one problem."""
        super().__init__(ErrorCode.bad_settings, problems)


def load_settings(text: str, file_name: str) -> NodeSettingsModel:
    """Read and check the settings of a node.

    Args:
        text: Complete text of the file.
        file_name: Name to show in problems.

    Returns:
        The validated settings.

    Raises:
        SettingsFileError: If the settings have problems; it lists all of them.
    """
    file = YamlFile(file_name)
    run_steps(file.read_steps(text))
    model = None
    if isinstance(file.data, dict):
        model = check_model(file, NodeSettingsModel)
        _check_ports(file, _fields(file.data, 'listeners'))
        _check_advertised_host(file, _fields(file.data, 'listeners'))
        _check_certificate(file, _fields(file.data, 'listeners'))
        _check_table(file, _fields(file.data, 'table'))
        _check_seeds(file, _fields(file.data, 'membership'))
    if model is None or file.problems:
        raise SettingsFileError(file.problems)
    # The generated model does not convert its default addresses from text.
    return NodeSettingsModel.model_validate_json(model.model_dump_json(warnings=False))


def _check_ports(file: YamlFile, listeners: Fields) -> None:
    seen: dict[tuple[object, int], str] = {}
    for name in _LISTENERS:
        field = f'{name}_port'
        port = listeners.get(field)
        if not isinstance(port, int):
            continue
        host = listeners.get('host')
        if name == 'egress':
            host = listeners.get('egress_host', _DEFAULT_EGRESS_HOST)
        first = seen.setdefault((str(host), port), field)
        if first != field:
            file.add_problem(
                ('listeners', field),
                'a port of its own for each listener',
                f'{port}, the port of {first}',
            )


def _check_advertised_host(file: YamlFile, listeners: Fields) -> None:
    host = listeners.get('advertised_host', listeners.get('host'))
    # Under the wildcard address, other nodes would connect to themselves.
    if host == _ANY_HOST:
        file.add_problem(
            ('listeners', 'advertised_host'),
            'an address that other nodes can connect to',
            show_value(host),
        )


def _check_certificate(file: YamlFile, listeners: Fields) -> None:
    for field, other in _CERTIFICATE_PAIRS:
        if field in listeners and other not in listeners:
            file.add_problem(
                ('listeners', other), f'a file, since {field} is set', 'nothing'
            )


def _check_table(file: YamlFile, table: Fields) -> None:
    url = table.get('url')
    if isinstance(url, str) and not is_http_url(url):
        file.add_problem(('table', 'url'), 'an http or https URL', show_value(url))


def _check_seeds(file: YamlFile, membership: Fields) -> None:
    seeds = membership.get('seeds')
    for index, seed in enumerate(seeds if isinstance(seeds, list) else ()):
        if isinstance(seed, str) and not is_host_port(seed):
            file.add_problem(
                ('membership', 'seeds', index), 'host:port', show_value(seed)
            )


def is_http_url(text: str) -> bool:
    """Return whether a text is an http or https URL with a host."""
    try:
        parts = urlsplit(text)
    except ValueError:
        # The caller reports the field as a problem.
        return False
    return parts.scheme in {'http', 'https'} and bool(parts.hostname)


def is_host_port(text: str) -> bool:
    """Return whether a text is a host, a colon and a port."""
    host, _, port = text.rpartition(':')
    if not host or not _PORT.fullmatch(port):
        return False
    return 1 <= int(port) <= _MAX_PORT


def _fields(data: Fields, name: str) -> Fields:
    fields = data.get(name)
    return fields if isinstance(fields, dict) else {}
