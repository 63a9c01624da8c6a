"""The console's pages for editing the document."""

from collections import abc
import json
import typing

import cherrypy

from .. import differences
from .. import document as documents
from .. import exceptions
from . import _browser
from . import _console_base
from . import changes
from . import drafts
from . import operator_interface
from ._console_base import action
from ._console_base import ConsoleSession
from ._console_base import page
from ._console_base import show
from .pages import editing
from .pages import forms
from .pages import layout
from .pages import status as status_pages


class EditingPages(_console_base.Pages):
    """Pages for sections, items, the draft, and the result of a change."""

    @cherrypy.expose
    @page
    def section(self, session: ConsoleSession, form: forms.Form) -> bytes:
        """Show one section of the draft, or of the current document."""
        name = _browser.read_section(form, 'name')
        revision, tree = self._edited_document(session)
        content = editing.section(name, revision, tree, session.form_token)
        draft = self._drafts.find(session.operator)
        return show(
            session, name.capitalize(), editing.pending(draft), content
        )

    @cherrypy.expose
    def item(self, **form: typing.Any) -> bytes:
        """Show the form of an item, or store the posted item in the draft."""
        if cherrypy.request.method == 'POST':
            return self._put_item(**form)
        return self._show_item(**form)

    @page
    def _show_item(self, session: ConsoleSession, form: forms.Form) -> bytes:
        name, key = _browser.read_section(form), forms.text(form, 'key')
        _, tree = self._edited_document(session)
        items = differences.items_by_key(tree, name)
        if key and key not in items:
            raise cherrypy.HTTPError(404, 'There is no such item any more.')
        return self._item_form(session, name, key, items.get(key, {}), ())

    @action
    def _put_item(self, session: ConsoleSession, form: forms.Form) -> bytes:
        name, key = _browser.read_section(form), forms.text(form, 'key')
        _, tree = self._edited_document(session)
        value = forms.read_item(forms.fields_of(name, tree), form)
        problems = forms.check_item(name, value)
        problems = problems or _check_unique(tree, name, key, value)
        if problems:
            cherrypy.response.status = 400
            return self._item_form(session, name, key, value, problems)
        return self._replace(session, form, name, key, value)

    @cherrypy.expose
    @action
    def remove(self, session: ConsoleSession, form: forms.Form) -> bytes:
        """Remove an item from the draft."""
        name, key = _browser.read_section(form), forms.text(form, 'key')
        return self._replace(session, form, name, key, None)

    @cherrypy.expose
    @page
    def draft(self, session: ConsoleSession, form: forms.Form) -> bytes:
        """Show the changes of the draft, and the form that applies it."""
        return self._review(session)

    @cherrypy.expose
    @action
    def discard(self, session: ConsoleSession, form: forms.Form) -> bytes:
        """Delete the draft."""
        self._drafts.discard(session.operator)
        raise _browser.see_other('draft')

    @cherrypy.expose
    @action
    def carry_over(self, session: ConsoleSession, form: forms.Form) -> bytes:
        """Rebase the draft on the current document."""
        conflicts = self._drafts.merge(session.operator, self._current())
        notes = editing.left_out(conflicts) if conflicts else []
        return self._review(session, *notes)

    @cherrypy.expose
    @action
    def apply(self, session: ConsoleSession, form: forms.Form) -> bytes:
        """Propose the document in the form."""
        document = _browser.read_document(form)
        change_id = _browser.read_change_id(form)
        revision = _browser.read_revision(form)
        result = changes.propose(
            self._control,
            change_id=change_id,
            author=session.operator,
            expected_revision=revision,
            document=document,
        )
        if isinstance(result, operator_interface.Applied):
            self._drafts.discard(session.operator, change_id)
            raise _browser.see_other('accepted', revision=result.revision)
        if isinstance(result, operator_interface.Unavailable):
            cherrypy.response.status = 503
            retry_form = _apply_form(
                session, document, change_id, revision, 'Send the change again'
            )
            content = editing.unknown_result(result.message, retry_form)
            return show(session, 'Result unknown', content)
        cherrypy.response.status = 409
        if isinstance(result, operator_interface.ChangeIdReused):
            alert = editing.change_id_reused(result.change_id)
            return show(session, 'Not applied', alert)
        return self._explain_conflict(session, document, result.current)

    @cherrypy.expose
    @page
    def accepted(self, session: ConsoleSession, form: forms.Form) -> bytes:
        """Show the progress of an accepted change."""
        revision = _browser.read_revision(form, 'revision')
        progress = status_pages.in_force(self._control.in_force(revision))
        link = layout.link(f'accepted?revision={revision}', 'Check again')
        title = f'Revision {revision} is accepted'
        return show(session, title, progress, layout.paragraph(link))

    def _replace(
        self,
        session: ConsoleSession,
        form: forms.Form,
        name: str,
        key: str,
        value: differences.Item | None,
    ) -> bytes:
        """Replace an item of the draft, or remove it.

        The page may be older than the document. Putting its item into a
        draft of a newer revision would revert the changes that others have
        made to the item since, and show this as the operator's own change.

        :param key: the item's key; empty for a new item.
        :param value: the new item, or ``None`` to remove it.
        """
        was_edited = self._drafts.edit(
            session.operator,
            self._current(),
            _browser.read_revision(form, 'revision'),
            lambda tree: differences.replace(tree, name, key, value),
        )
        if was_edited:
            raise _browser.see_other('section', name=name)
        cherrypy.response.status = 409
        return show(
            session, 'The page is out of date', editing.out_of_date(name)
        )

    def _item_form(
        self,
        session: ConsoleSession,
        name: str,
        key: str,
        value: differences.Item,
        problems: abc.Sequence[exceptions.Problem],
    ) -> bytes:
        revision, tree = self._edited_document(session)
        content = editing.item(
            name=name,
            key=key,
            revision=revision,
            tree=tree,
            value=value,
            problems=problems,
            form_token=session.form_token,
        )
        return show(session, editing.item_title(name, key), content)

    def _review(self, session: ConsoleSession, *notes: typing.Any) -> bytes:
        title = 'Review and apply'
        draft = self._drafts.find(session.operator)
        if draft is None or not draft.differences():
            no_changes = layout.paragraph('There are no changes.')
            return show(session, title, *notes, no_changes)
        current = self._current()
        if current.revision != draft.base.revision:
            notes = (*notes, _outdated(session, draft, current))
            apply = None
        else:
            apply = _apply_or_problems(session, draft)
        content = editing.own_changes(draft, apply, session.form_token)
        return show(session, title, *notes, content)

    def _explain_conflict(
        self,
        session: ConsoleSession,
        document: documents.Document,
        current: operator_interface.Configuration,
    ) -> bytes:
        title = 'Another change came first'
        draft = self._drafts.find(session.operator)
        if draft is not None and draft.base.revision != current.revision:
            return show(session, title, _outdated(session, draft, current))
        # Without the draft, the base of the change is unknown.
        found = differences.find(
            json.loads(current.document),
            json.loads(documents.document_bytes(document)),
        )
        return show(session, title, editing.conflict(current, found))


def _outdated(
    session: ConsoleSession,
    draft: drafts.Draft,
    current: operator_interface.Configuration,
) -> typing.Any:
    tree = json.loads(current.document)
    return editing.outdated_draft(draft, current, tree, session.form_token)


def _apply_or_problems(
    session: ConsoleSession, draft: drafts.Draft
) -> typing.Any:
    try:
        body = json.dumps(draft.tree).encode()
        document = documents.parse_document(body)
    except exceptions.InvalidInput as error:
        return editing.document_problems(draft, error.problems)
    return _apply_form(
        session, document, draft.change_id, draft.base.revision, 'Apply'
    )


def _apply_form(
    session: ConsoleSession,
    document: documents.Document,
    change_id: str,
    expected_revision: int,
    label: str,
) -> typing.Any:
    return editing.apply_form(
        label=label,
        document=documents.document_bytes(document).decode(),
        change_id=change_id,
        expected_revision=expected_revision,
        form_token=session.form_token,
    )


def _check_unique(
    tree: differences.Tree, name: str, key: str, value: differences.Item
) -> tuple[exceptions.Problem, ...]:
    """Return a problem if another item has the same key.

    :param key: the item's key before the edit; empty for a new item.
    """
    new_key = differences.key_of(name, value)
    if new_key == key or new_key not in differences.items_by_key(tree, name):
        return ()
    path = 'path' if name == 'routes' else 'name'
    problem = exceptions.Problem(
        path=path, given=f'given {new_key!r}', allowed='there is one already'
    )
    return (problem,)
