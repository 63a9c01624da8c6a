"""HTML of the pages that edit the document."""

from collections import abc
import re
import typing
import urllib.parse

from ... import differences
from ... import exceptions
from .. import drafts
from .. import operator_interface
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
    """Return the items of one section, with links and buttons to edit them.

    :param revision: the revision on which the tree is based.
    :param tree: the document or draft.
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
    """Return the form of one item.

    :param key: the item's key in the draft; empty for a new item.
    :param revision: the revision on which the tree is based.
    :param value: the content of the fields.
    :param problems: of the content, if it was posted and refused.
    """
    fields = forms.fields_of(name, tree)
    return [
        _summary(problems, forms.other_problems(fields, problems)),
        layout.form(
            'item',
            form_token,
            layout.hidden('section', name),
            layout.hidden('key', key),
            layout.hidden('revision', str(revision)),
            forms.inputs(fields, value, problems),
            markup.tag('button', 'Save in the draft'),
            # The model's messages are more helpful than the browser's, and
            # list all problems together.
            novalidate=True,
        ),
    ]


def item_title(name: str, key: str) -> str:
    """Return the heading of an item's form."""
    kind = _SINGULARS_BY_SECTION[name]
    return f'Edit {kind} {key}' if key else f'Add a {kind}'


def pending(draft: drafts.Draft | None) -> markup.Markup | None:
    """Return a notice of a draft that isn't applied yet."""
    if draft is None or not draft.differences():
        return None
    return layout.notice(
        'You have changes that are not applied yet: ',
        layout.link('draft', 'review and apply'),
    )


def own_changes(
    draft: drafts.Draft, apply: markup.Markup | None, form_token: str
) -> list[typing.Any]:
    """Return the changes of a draft, and the forms to apply or discard it.

    :param apply: the form that applies the draft, or the reasons why it
        can't be applied; ``None`` to leave this out.
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
    """Return why a draft can't be applied, with links to its items."""
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

    It contains the complete change with its id, so that sending the form
    again is a retry of the same change, also through another instance or
    after a restart.
    """
    return layout.form(
        'apply',
        form_token,
        layout.hidden('document', document),
        layout.hidden('change_id', change_id),
        layout.hidden('expected_revision', str(expected_revision)),
        markup.tag('button', label),
    )


def outdated_draft(
    draft: drafts.Draft,
    current: operator_interface.Configuration,
    their_tree: differences.Tree,
    form_token: str,
) -> markup.Markup:
    """Return an alert about a change made after the draft was started."""
    theirs = differences.find(draft.base_tree, their_tree)
    return layout.alert(
        layout.paragraph(
            f'{current.author} has made revision {current.revision} since '
            f'you started from revision {draft.base.revision}. Your draft '
            'cannot be applied to the new revision; nothing of it was applied.'
        ),
        difference_table(f'What {current.author} changed', theirs),
        layout.button_form(
            'carry-over', form_token, 'Apply my changes to the new revision'
        ),
    )


def conflict(
    current: operator_interface.Configuration,
    found: list[differences.Difference],
) -> list[markup.Markup]:
    """Return an alert about a conflict when the draft no longer exists.

    :param found: differences between the current and the posted document.
    """
    return [
        layout.alert(
            f'{current.author} has made revision {current.revision}. '
            'Nothing of your change was applied.'
        ),
        difference_table('Your document compared with the current one', found),
    ]


def unknown_result(
    message: str, retry_form: markup.Markup
) -> list[markup.Markup]:
    """Return an alert about a change whose result is unknown.

    :param message: why it is unknown.
    :param retry_form: the form that sends the change again.
    """
    return [
        layout.alert(
            f'{message}. The change may still take effect. Send it again to '
            'get its result; it is never applied twice.'
        ),
        retry_form,
    ]


def change_id_reused(change_id: str) -> markup.Markup:
    """Return an alert about a change id that was used before."""
    return layout.alert(
        f'The change id {change_id} was used for another change before. '
        'Nothing was applied.'
    )


def out_of_date(name: str) -> markup.Markup:
    """Return an alert about a page and a draft of different revisions."""
    return layout.alert(
        'The document has changed since this page was loaded. The draft was '
        'not changed. ',
        layout.link(f'section?name={name}', 'Show the current items'),
    )


def left_out(
    found: abc.Sequence[differences.Difference],
) -> list[markup.Markup]:
    """Return the changes that were not carried over."""
    return [
        layout.alert(
            'These items were changed by both operators. The other '
            "operator's changes were kept; edit the items again if needed."
        ),
        difference_table('Your changes that were left out', found),
    ]


def difference_table(
    caption: str, found: abc.Iterable[differences.Difference]
) -> markup.Markup:
    """Return a table of differences, with one row for each field."""
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
    other_problems: abc.Sequence[exceptions.Problem],
) -> markup.Markup | None:
    if not problems:
        return None
    return layout.alert(
        f'Not saved in the draft; problems: {len(problems)}. Each is shown '
        'next to its field.',
        layout.items(map(str, other_problems)) if other_problems else None,
    )


def _document_problem(
    draft: drafts.Draft, problem: exceptions.Problem
) -> list[typing.Any]:
    matched = _ITEM_PATH.match(problem.path)
    if matched is None or matched[1] not in differences.SECTIONS:
        return [str(problem)]
    keys = [*differences.items_by_key(draft.tree, matched[1])]
    key = keys[int(matched[2])]
    kind = _SINGULARS_BY_SECTION[matched[1]]
    return [
        layout.link(_item_path(matched[1], key), f'{kind} {key}'),
        f': {problem}',
    ]
