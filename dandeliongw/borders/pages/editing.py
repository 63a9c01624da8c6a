"""Pages on which the document is changed."""

from collections import abc
import re
import typing
import urllib.parse

from ... import differences
from ... import exceptions
from .. import control as controls
from .. import drafts
from . import forms
from . import layout
from . import markup

_ITEM_PATH = re.compile(r'^([a-z]+)\[(\d+)\]')
_SINGULARS_BY_SECTION = {
    'services': 'service',
    'pools': 'pool',
    'priorities': 'priority',
    'routes': 'route',
    'accounts': 'account',
}


def section(
    name: str, revision: int, tree: differences.Tree, form_token: str
) -> list[markup.Markup]:
    """Show the items of one section with what can be done to each.

    :param revision: that the tree began from.
    """
    rows = [
        (
            key,
            layout.link(_item_path(name, key), f'Edit {key}'),
            layout.button_form(
                'remove',
                form_token,
                f'Remove {key}',
                section=name,
                key=key,
                revision=str(revision),
            ),
        )
        for key in differences.items_by_key(tree, name)
    ]
    add = f'Add a {_SINGULARS_BY_SECTION[name]}'
    return [
        layout.paragraph(layout.link(_item_path(name, ''), add)),
        layout.table(name.capitalize(), ('Item', 'Edit', 'Remove'), rows),
    ]


def item(
    *,
    name: str,
    key: str,
    revision: int,
    tree: differences.Tree,
    value: differences.Item,
    problems: abc.Sequence[exceptions.Problem],
    form_token: str,
) -> list[markup.Markup | None]:
    """Show the form of one item.

    :param key: of the item as it is in the draft; empty for a new one.
    :param revision: that the tree began from.
    :param value: what the fields hold.
    """
    fields = forms.fields_of(name, tree)
    return [
        _summary(problems, forms.unplaced(fields, problems)),
        layout.form(
            'item',
            form_token,
            layout.hidden('section', name),
            layout.hidden('key', key),
            layout.hidden('revision', str(revision)),
            forms.inputs(fields, value, problems),
            markup.tag('button', 'Put into the draft'),
            # The model's own messages are better than a browser's, and tell
            # everything at once.
            novalidate=True,
        ),
    ]


def item_title(name: str, key: str) -> str:
    """Return the heading of an item's form."""
    kind = _SINGULARS_BY_SECTION[name]
    return f'Edit {kind} {key}' if key else f'Add a {kind}'


def pending(draft: drafts.Draft | None) -> markup.Markup | None:
    """Remind of a draft that isn't applied yet."""
    if draft is None or not draft.differences():
        return None
    return layout.notice(
        'You have changes that are not applied yet: ',
        layout.link('draft', 'review and apply'),
    )


def own_changes(
    draft: drafts.Draft, apply: markup.Markup | None, form_token: str
) -> list[typing.Any]:
    """Show what a draft changes and what can be done with it.

    :param apply: the form that applies it, or why it can't be applied.
    """
    return [
        layout.paragraph(f'Made from revision {draft.base.revision}.'),
        difference_table('What you change', draft.differences()),
        apply,
        layout.button_form('discard', form_token, 'Discard the draft'),
    ]


def document_problems(
    draft: drafts.Draft, problems: abc.Iterable[exceptions.Problem]
) -> markup.Markup:
    """Tell why a draft can't be applied, with links to its items."""
    return layout.alert(
        'This draft cannot be applied yet:',
        layout.items(_document_problem(draft, each) for each in problems),
    )


def apply_form(
    *,
    label: str,
    document: str,
    change_id: str,
    expected_revision: int,
    form_token: str,
) -> markup.Markup:
    """Return the form that proposes a document.

    It holds all that makes the change, so that sending it again is the same
    change, also through another instance or after a restart.
    """
    return layout.form(
        'apply',
        form_token,
        layout.hidden('document', document),
        layout.hidden('change_id', change_id),
        layout.hidden('expected_revision', str(expected_revision)),
        markup.tag('button', label),
    )


def overtaken(
    draft: drafts.Draft,
    current: controls.Configuration,
    their_tree: differences.Tree,
    form_token: str,
) -> markup.Markup:
    """Tell of a change that came while the draft was being made."""
    theirs = differences.find(draft.base_tree, their_tree)
    return layout.alert(
        layout.paragraph(
            f'{current.author} has made revision {current.revision} since '
            f'you began from revision {draft.base.revision}. Your draft '
            'cannot be applied to it as it is; nothing of it is applied.'
        ),
        difference_table(f'What {current.author} changed', theirs),
        layout.button_form(
            'carry-over', form_token, 'Carry my changes over to it'
        ),
    )


def conflict(
    current: controls.Configuration, found: list[differences.Difference]
) -> list[markup.Markup]:
    """Tell of a conflict when the draft is gone."""
    return [
        layout.alert(
            f'{current.author} has made revision {current.revision}. '
            'Nothing of your change was applied.'
        ),
        difference_table('Your document, against the current one', found),
    ]


def not_known(message: str, again: markup.Markup) -> list[markup.Markup]:
    """Tell that nobody knows yet what became of a change.

    :param again: the form that sends it again.
    """
    return [
        layout.alert(
            f'{message}. The change may still take effect. Send it again to '
            'learn what became of it; it is never made twice.'
        ),
        again,
    ]


def change_id_reused(change_id: str) -> markup.Markup:
    """Tell that a form names a change that was made before."""
    return layout.alert(
        f'{change_id} names another change that was made before. Nothing '
        'was applied.'
    )


def out_of_date(name: str) -> markup.Markup:
    """Tell that a page was made from another revision than the draft."""
    return layout.alert(
        'The document has changed since this page was made. Nothing was '
        'put into the draft. ',
        layout.link(f'section?name={name}', 'Look at it as it is now'),
    )


def left_out(
    found: abc.Sequence[differences.Difference],
) -> list[markup.Markup]:
    """Tell which changes were not carried over."""
    return [
        layout.alert(
            'These items were changed by both of you. They are as the other '
            'operator left them; change them again if need be.'
        ),
        difference_table('Your changes that were left out', found),
    ]


def difference_table(
    caption: str, found: abc.Iterable[differences.Difference]
) -> markup.Markup:
    """Show what differs, one field a row."""
    rows = [
        (each.key, each.section, each.kind.value, field, *map(_cell, values))
        for each in found
        for field, values in each.fields.items()
    ]
    if not rows:
        return layout.paragraph(f'{caption}: nothing.')
    headings = ('Item', 'Section', 'What', 'Field', 'Before', 'After')
    return layout.table(caption, headings, rows)


def _cell(value: typing.Any) -> str:
    return '(none)' if value is None else forms.show(value)


def _item_path(name: str, key: str) -> str:
    query = urllib.parse.urlencode({'section': name, 'key': key})
    return f'item?{query}'


def _summary(
    problems: abc.Sequence[exceptions.Problem],
    unplaced: abc.Sequence[exceptions.Problem],
) -> markup.Markup | None:
    if not problems:
        return None
    return layout.alert(
        f'Not put into the draft; problems: {len(problems)}. Each stands '
        'beside its field.',
        layout.items(map(str, unplaced)) if unplaced else None,
    )


def _document_problem(
    draft: drafts.Draft, problem: exceptions.Problem
) -> list[typing.Any]:
    place = _ITEM_PATH.match(problem.path)
    if place is None or place[1] not in differences.SECTIONS:
        return [str(problem)]
    keys = [*differences.items_by_key(draft.tree, place[1])]
    key = keys[int(place[2])]
    kind = _SINGULARS_BY_SECTION[place[1]]
    return [
        layout.link(_item_path(place[1], key), f'{kind} {key}'),
        f': {problem}',
    ]
