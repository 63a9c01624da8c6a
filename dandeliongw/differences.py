"""Compares and merges two documents, item by item.

Works on the JSON trees of documents, so drafts need not be valid.
"""

from collections import abc
import enum
import typing

import msgspec

#: The lists of a document, in display order.
SECTIONS = ('services', 'pools', 'priorities', 'routes', 'accounts')

Item = dict[str, typing.Any]
Tree = dict[str, typing.Any]


class Kind(enum.StrEnum):
    """The kind of a difference."""

    ADDED = 'added'
    REMOVED = 'removed'
    CHANGED = 'changed'


class Difference(msgspec.Struct, frozen=True, kw_only=True):
    """One item that differs between the two documents.

    :param key: the item's key, see :func:`key_of`.
    :param fields: the old and the new value of each field that differs;
        ``None`` where the field is absent.
    """

    section: str
    key: str
    kind: Kind
    fields: dict[str, tuple[typing.Any, typing.Any]]


class MergeResult(msgspec.Struct, frozen=True, kw_only=True):
    """The outcome of :func:`merge`.

    :param tree: the document with the changes that could be applied.
    :param conflicts: conflicting changes, not applied: the other side changed
        the same items in another way.
    """

    tree: Tree
    conflicts: tuple[Difference, ...]


def key_of(section: str, item: Item) -> str:
    """Return the key of an item: its name, or for a route its call.

    Routes have no name; service, method and path identify them.
    """
    if section == 'routes':
        parts = (item.get(field, '') for field in ('service', 'method'))
        return ' '.join([*map(str, parts), str(item.get('path', ''))])
    return str(item.get('name', ''))


def items_by_key(tree: Tree, section: str) -> dict[str, Item]:
    """Return a section's items by key, in order."""
    return {key_of(section, item): item for item in tree.get(section, ())}


def find(before: Tree, after: Tree) -> list[Difference]:
    """Return the items that differ, by section and in order."""
    found = []
    for section in SECTIONS:
        old = items_by_key(before, section)
        new = items_by_key(after, section)
        for key in old | new:
            if old.get(key) != new.get(key):
                found.append(
                    _difference(section, key, old.get(key), new.get(key))
                )
    return found


def merge(*, base: Tree, mine: Tree, theirs: Tree) -> MergeResult:
    """Apply the operator's changes to a document changed meanwhile by others.

    A three-way merge. An item that both sides changed in different ways keeps
    the others' version and is reported in ``conflicts``: overwriting it
    could undo a change that was just accepted.

    :param base: the document that both sides started from.
    :param mine: the operator's draft.
    :param theirs: the current document.
    """
    taken = {(each.section, each.key) for each in find(base, theirs)}
    tree = dict(theirs)
    conflicts = []
    for change in find(base, mine):
        wanted = items_by_key(mine, change.section).get(change.key)
        found = items_by_key(theirs, change.section).get(change.key)
        if (change.section, change.key) not in taken:
            tree = replace(tree, change.section, change.key, wanted)
        elif wanted != found:
            conflicts.append(change)
    return MergeResult(tree=tree, conflicts=tuple(conflicts))


def replace(tree: Tree, section: str, key: str, item: Item | None) -> Tree:
    """Return a copy with one item replaced, appended or removed.

    :param key: the item's key before the change; if no item has it, ``item``
        is appended.
    :param item: the new item, or ``None`` to remove it.
    """
    items = items_by_key(tree, section)
    if item is not None and key not in items:
        return tree | {section: [*items.values(), item]}
    placed = [
        item if known == key else other for known, other in items.items()
    ]
    return tree | {section: [each for each in placed if each is not None]}


def _difference(
    section: str, key: str, old: Item | None, new: Item | None
) -> Difference:
    if old is None:
        kind = Kind.ADDED
    elif new is None:
        kind = Kind.REMOVED
    else:
        kind = Kind.CHANGED
    before, after = _flat(old or {}), _flat(new or {})
    fields = {
        name: (before.get(name), after.get(name))
        for name in before | after
        if before.get(name) != after.get(name)
    }
    return Difference(section=section, key=key, kind=kind, fields=fields)


def _flat(item: Item, prefix: str = '') -> dict[str, typing.Any]:
    values: dict[str, typing.Any] = {}
    for name, value in item.items():
        if isinstance(value, abc.Mapping):
            values |= _flat(dict(value), f'{prefix}{name}.')
        else:
            values[prefix + name] = value
    return values
