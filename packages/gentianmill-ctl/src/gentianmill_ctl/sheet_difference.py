"""Differences between two planning sheets, by field."""

import dataclasses
from collections.abc import Iterator
from typing import Any

from gentianmill.sheet_models import SheetModel

Leaves = dict[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """A field that differs; None means that a sheet does not have the field."""

    field: str
    ours: str | None
    theirs: str | None

    def __str__(self) -> str:
        """Return the difference in one line."""
        ours = 'nothing' if self.ours is None else self.ours
        theirs = 'nothing' if self.theirs is None else self.theirs
        return f'{self.field}: submitted {ours}, in force {theirs}'


def differences(ours: SheetModel, theirs: SheetModel) -> list[Difference]:
    """Return the fields that differ, ordered by name.

    List entries are matched by their name, so that an inserted operation does not
    make all later ones differ; the order of the names is compared as a field.
    """
    our_leaves = dict(_leaves('', ours.model_dump(mode='json', by_alias=True)))
    their_leaves = dict(_leaves('', theirs.model_dump(mode='json', by_alias=True)))
    return [
        Difference(field, our_leaves.get(field), their_leaves.get(field))
        for field in sorted({*our_leaves, *their_leaves})
        if our_leaves.get(field) != their_leaves.get(field)
    ]


def _leaves(field: str, node: Any) -> Iterator[tuple[str, str]]:
    if isinstance(node, dict):
        prefix = f'{field}.' if field else ''
        for name, inner in node.items():
            yield from _leaves(f'{prefix}{name}', inner)
    elif isinstance(node, list):
        yield field, ', '.join(map(_name, node))
        yield from _entry_leaves(field, node)
    else:
        yield field, str(node)


def _entry_leaves(field: str, entries: list[Any]) -> Iterator[tuple[str, str]]:
    for entry in entries:
        if isinstance(entry, dict):
            yield from _leaves(f'{field}[{_name(entry)}]', entry)


def _name(entry: Any) -> str:
    return str(entry['name'] if isinstance(entry, dict) else entry)
