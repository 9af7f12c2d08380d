"""Build the node tree of a YAML document in small steps.

``yaml.compose`` builds it in one call, which takes 26 ms for a sheet with 540
operations. Each of its nodes consists of four objects, so reading a sheet often
triggered a full garbage collection.
"""

import dataclasses
from collections.abc import Callable
from typing import Any

import yaml

LOADER: Any = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)


@dataclasses.dataclass(slots=True)
class ScalarNode:
    """A text with its YAML 1.1 tag; ``line`` counts from 1."""

    line: int
    tag: str
    value: str
    style: str | None


@dataclasses.dataclass(slots=True)
class SequenceNode:
    """A list; ``line`` counts from 1."""

    line: int
    value: list['Node']


@dataclasses.dataclass(slots=True)
class MappingNode:
    """Pairs of key and value in the order of the file; ``line`` counts from 1."""

    line: int
    value: list[tuple['Node', 'Node']]


Node = ScalarNode | SequenceNode | MappingNode


class NodeBuilder:
    """Build a tree from the events of one document without anchors and tags."""

    def __init__(self, resolve: Callable[..., str]) -> None:
        """Start without nodes.

        Args:
            resolve: Returns the tag of a scalar, as ``yaml.resolver.Resolver``.
        """
        self._resolve = resolve
        self._root: Node | None = None
        self._open: list[SequenceNode | MappingNode] = []
        self._keys: list[Node | None] = []

    @property
    def root(self) -> Node | None:
        """Return the outermost node; None if the document is empty."""
        return self._root

    def add(self, event: yaml.Event) -> None:
        """Add the node that an event starts, or close the innermost one."""
        line = event.start_mark.line + 1
        if isinstance(event, yaml.ScalarEvent):
            tag = self._resolve(yaml.ScalarNode, event.value, event.implicit)
            self._place(ScalarNode(line, tag, event.value, event.style))
        elif isinstance(event, yaml.MappingStartEvent):
            self._enter(MappingNode(line, []))
        elif isinstance(event, yaml.SequenceStartEvent):
            self._enter(SequenceNode(line, []))
        elif isinstance(event, yaml.CollectionEndEvent):
            self._open.pop()
            self._keys.pop()

    def _enter(self, node: SequenceNode | MappingNode) -> None:
        self._place(node)
        self._open.append(node)
        self._keys.append(None)

    def _place(self, node: Node) -> None:
        if not self._open:
            self._root = node
            return
        innermost = self._open[-1]
        key = self._keys[-1]
        if isinstance(innermost, SequenceNode):
            innermost.value.append(node)
        elif key is None:
            self._keys[-1] = node
        else:
            innermost.value.append((key, node))
            self._keys[-1] = None
