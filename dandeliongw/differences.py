"""What differs between two documents, item by item.

Works on the plain JSON of documents, also of drafts that aren't valid yet.
"""

from collections import abc
import enum
import typing

import msgspec

#: The lists of a document, in the order that they are shown.
SECTIONS = ('services', 'pools', 'priorities', 'routes', 'accounts')

Item = dict[str, typing.Any]
Tree = dict[str, typing.Any]


class Kind(enum.StrEnum):
    """What happened to an item."""

    ADDED = 'added'
    REMOVED = 'removed'
    CHANGED = 'changed'


class Difference(msgspec.Struct, frozen=True, kw_only=True):
    """One item that isn't the same in both documents.

    :param key: the item's name, see :func:`key_of`.
    :param fields: before and after by field; only those that differ, and
        ``None`` where there is none.
    """

    section: str
    key: str
    kind: Kind
    fields: dict[str, tuple[typing.Any, typing.Any]]


class MergeResult(msgspec.Struct, frozen=True, kw_only=True):
    """The outcome of :func:`merge`.

    :param tree: the document with the changes that could be carried.
    :param conflicts: changes to items that the other side changed too.
    """

    tree: Tree
    conflicts: tuple[Difference, ...]


def key_of(section: str, item: Item) -> str:
    """Return what tells an item from others: routes have no name."""
    if section == 'routes':
        parts = (item.get(field, '') for field in ('service', 'method'))
        return ' '.join([*map(str, parts), str(item.get('path', ''))])
    return str(item.get('name', ''))


def items_by_key(tree: Tree, section: str) -> dict[str, Item]:
    """Return a section's items by their keys, in order."""
    return {key_of(section, item): item for item in tree.get(section, ())}


def find(before: Tree, after: Tree) -> list[Difference]:
    """Return every item that differs, by section and in order."""
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
    """Make my changes again in the document that others have changed.

    An item that both changed, and not alike, stays as theirs is and is
    told: choosing for the operator could undo what was just accepted.

    :param base: what both sides began from.
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
    """Return a copy with one item put, added at the end, or removed.

    :param key: of the item as it was; an unknown one adds ``item``.
    :param item: ``None`` removes.
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
