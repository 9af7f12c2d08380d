"""Read YAML into plain data, with the line of each field.

Only values with the same meaning in YAML 1.1 and YAML 1.2 are accepted: PyYAML
follows YAML 1.1, in which ``on`` is true, ``012`` is ten and ``1:30`` is ninety.
"""

import re

import yaml

from gentianmill._yaml_nodes import (
    LOADER,
    MappingNode,
    Node,
    NodeBuilder,
    ScalarNode,
    SequenceNode,
)
from gentianmill.file_problem import FileProblem
from gentianmill.steps import Steps

Path = tuple[str | int, ...]
Violation = tuple[str, str] | None

MAX_FILE_BYTES = 1024 * 1024
MAX_DEPTH = 16
# Python does not convert integers of more than 4300 digits; no field needs even 18.
MAX_DIGITS = 18
MAX_SHOWN_CHARS = 60

_TAG_PREFIX = 'tag:yaml.org,2002:'
_INTEGER = re.compile(r'[-+]?(0|[1-9][0-9]*)')
_NUMBER = re.compile(r'[-+]?([0-9]+\.[0-9]*|\.[0-9]+)([eE][-+]?[0-9]+)?')
# Plain text that is a number in YAML 1.2, or a boolean in the YAML 1.1
# specification, although PyYAML reads it as text.
_AMBIGUOUS = re.compile(r'[yYnN]|0o[0-7]+|[-+]?[0-9]+(\.[0-9]*)?[eE][-+]?[0-9]+')
_QUOTE_HINT = 'plain true, false or decimal number, or text in quotes'


class YamlFile:
    """The data of one YAML file, the line of each field, and its problems."""

    def __init__(self, file_name: str) -> None:
        """Create a file that has not been read yet.

        Args:
            file_name: Name to show in problems.
        """
        self._file_name = file_name
        self._problems: dict[FileProblem, None] = {}
        self._unreadable: set[Path] = set()
        self._lines: dict[Path, int] = {(): 1}
        self._data: object = None

    def read_steps(self, text: str) -> Steps[None]:
        """Read the file in steps of less than a millisecond.

        Args:
            text: Complete text of the file.
        """
        if self._check_text(text):
            yield from self._read_text(text)

    @property
    def data(self) -> object:
        """Return dicts, lists and scalars, with None for unreadable values."""
        return self._data

    @property
    def problems(self) -> list[FileProblem]:
        """Return the problems in the order of the lines."""
        return sorted(self._problems, key=lambda problem: problem.line)

    def add_problem(self, path: Path, expected: str, found: str) -> None:
        """Add a problem, unless the field is already reported as unreadable."""
        if path not in self._unreadable:
            self._add(self._line(path), path, expected, found)

    def _add(self, line: int, path: Path, expected: str, found: str) -> None:
        field = show_path(path)
        problem = FileProblem(self._file_name, line, field, expected, found)
        self._problems.setdefault(problem)

    def _line(self, path: Path) -> int:
        while path not in self._lines:
            path = path[:-1]
        return self._lines[path]

    def _check_text(self, text: str) -> bool:
        size = len(text.encode(errors='replace'))
        if size > MAX_FILE_BYTES:
            self.add_problem((), f'at most {MAX_FILE_BYTES} bytes', f'{size} bytes')
        return size <= MAX_FILE_BYTES

    def _read_text(self, text: str) -> Steps[None]:
        node = None
        try:
            node = yield from self._build_nodes(text)
        except (yaml.YAMLError, UnicodeError) as error:
            self._add_syntax_problem(error)
        if self._problems:
            return
        if not isinstance(node, MappingNode):
            self.add_problem((), 'a mapping of fields', _kind(node))
            return
        self._data = yield from self._read(node, ())

    def _build_nodes(self, text: str) -> Steps[Node | None]:
        """Build the nodes and check their depth and form at the same time."""
        depth = 0
        documents = 0
        loader = LOADER(text)
        builder = NodeBuilder(loader.resolve)
        while loader.check_event():
            event = loader.get_event()
            depth += isinstance(event, yaml.CollectionStartEvent)
            depth -= isinstance(event, yaml.CollectionEndEvent)
            documents += isinstance(event, yaml.DocumentStartEvent)
            violation = _find_violation(event, depth, documents)
            if violation:
                self._lines[()] = event.start_mark.line + 1
                self.add_problem((), *violation)
                return None
            builder.add(event)
            yield
        return builder.root

    def _add_syntax_problem(self, error: Exception) -> None:
        mark = getattr(error, 'problem_mark', None)
        if mark is not None:
            self._lines[()] = mark.line + 1
        reason = getattr(error, 'problem', None) or getattr(error, 'reason', '')
        self.add_problem((), 'valid YAML', f'a syntax error ({reason})')

    def _read(self, node: Node, path: Path) -> Steps[object]:
        self._lines.setdefault(path, node.line)
        if isinstance(node, MappingNode):
            return (yield from self._read_fields(node, path))
        if isinstance(node, SequenceNode):
            return (yield from self._read_entries(node, path))
        return self._read_scalar(node, path)

    def _read_entries(self, node: SequenceNode, path: Path) -> Steps[list[object]]:
        entries = []
        for index, entry in enumerate(node.value):
            entries.append((yield from self._read(entry, (*path, index))))
            yield
        return entries

    def _read_fields(self, node: MappingNode, path: Path) -> Steps[dict[str, object]]:
        seen: dict[str, int] = {}
        fields = {}
        for key_node, value_node in node.value:
            name = self._read_key(key_node, path, seen)
            if name is not None:
                fields[name] = yield from self._read(value_node, (*path, name))
            yield
        return fields

    def _read_key(self, node: Node, path: Path, seen: dict[str, int]) -> str | None:
        line = node.line
        if not isinstance(node, ScalarNode):
            self._add(line, path, 'a text as key', _kind(node))
            return None
        name = node.value
        field = (*path, name)
        first = seen.get(name)
        if first is not None:
            duplicate = f'the key of line {first} again'
            self._add(line, field, 'each key once', duplicate)
            return None
        seen[name] = line
        self._lines[field] = line
        if not _is_text(node):
            self._unreadable.add(field)
            self._add(line, field, 'a text as key, in quotes', _show_plain(name))
            return None
        return name

    def _read_scalar(self, node: ScalarNode, path: Path) -> object:
        if _is_text(node):
            return node.value
        parsed = _plain_value(node)
        if parsed is None:
            expected = 'a value' if _is_null(node) else _QUOTE_HINT
            self.add_problem(path, expected, _show_plain(node.value))
            self._unreadable.add(path)
        return parsed


def show_path(path: Path) -> str:
    """Return a path as text, such as ``classes[0].name``."""
    return ''.join(map(_show_part, path)).removeprefix('.')


def _show_part(part: str | int) -> str:
    return f'[{part}]' if isinstance(part, int) else f'.{part}'


def show_value(found: object) -> str:
    """Return a value for a message, shortened if it is long."""
    if found is None:
        return 'nothing'
    if isinstance(found, dict):
        return 'a mapping'
    if isinstance(found, list):
        return 'a list'
    if isinstance(found, bool):
        return str(found).lower()
    shown = repr(found)
    return shown if len(shown) <= MAX_SHOWN_CHARS else f'{shown[:MAX_SHOWN_CHARS]}...'


def _find_violation(event: yaml.Event, depth: int, documents: int) -> Violation:
    if documents > 1:
        return 'one document', 'a second document'
    if depth > MAX_DEPTH:
        return f'at most {MAX_DEPTH} levels of nesting', 'a deeper level'
    if getattr(event, 'anchor', None):
        return 'no anchors and aliases', 'an anchor or alias'
    if getattr(event, 'tag', None):
        return 'no tags', f'the tag {event.tag}'
    return None


def _kind(node: Node | None) -> str:
    if isinstance(node, MappingNode):
        return 'a mapping'
    if isinstance(node, SequenceNode):
        return 'a list'
    return 'nothing' if node is None else _show_plain(node.value)


def _is_null(node: ScalarNode) -> bool:
    return node.tag == f'{_TAG_PREFIX}null'


def _is_text(node: ScalarNode) -> bool:
    # The C loader gives plain scalars an empty style, the Python loader None.
    if node.style:
        return True
    return node.tag == f'{_TAG_PREFIX}str' and not _AMBIGUOUS.fullmatch(node.value)


def _plain_value(node: ScalarNode) -> object:
    """Return a boolean or number; None if the text is ambiguous or empty."""
    text = node.value
    if text in {'true', 'false'}:
        return text == 'true'
    if len(text) > MAX_DIGITS:
        return None
    if _INTEGER.fullmatch(text):
        return int(text)
    if _NUMBER.fullmatch(text):
        return float(text)
    return None


def _show_plain(text: str) -> str:
    if not text:
        return 'nothing'
    shown = text if len(text) <= MAX_SHOWN_CHARS else f'{text[:MAX_SHOWN_CHARS]}...'
    return f'`{shown}`'
