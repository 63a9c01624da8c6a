"""The console's pages on which the document is changed."""

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
from . import control as controls
from . import drafts
from ._console_base import action
from ._console_base import page
from ._console_base import show
from ._console_base import SignedIn
from .pages import editing
from .pages import forms
from .pages import layout
from .pages import status as status_pages


class EditingPages(_console_base.Pages):
    """Sections, items, the draft, and what came of a change."""

    @cherrypy.expose
    @page
    def section(self, who: SignedIn, form: forms.Form) -> bytes:
        """Show one section of the draft, or of the current document."""
        name = _browser.section(form, 'name')
        revision, tree = self._shown(who)
        content = editing.section(name, revision, tree, who.form_token)
        draft = self._drafts.find(who.operator)
        return show(who, name.capitalize(), editing.pending(draft), content)

    @cherrypy.expose
    def item(self, **form: typing.Any) -> bytes:
        """Show one item's form, or put what it holds into the draft."""
        if cherrypy.request.method == 'POST':
            return self._put_item(**form)
        return self._show_item(**form)

    @page
    def _show_item(self, who: SignedIn, form: forms.Form) -> bytes:
        name, key = _browser.section(form), forms.text(form, 'key')
        _, tree = self._shown(who)
        items = differences.items_by_key(tree, name)
        if key and key not in items:
            raise cherrypy.HTTPError(404, 'There is no such item any more.')
        return self._item_form(who, name, key, items.get(key, {}), ())

    @action
    def _put_item(self, who: SignedIn, form: forms.Form) -> bytes:
        name, key = _browser.section(form), forms.text(form, 'key')
        _, tree = self._shown(who)
        value = forms.read_item(forms.fields_of(name, tree), form)
        problems = forms.check_item(name, value)
        problems = problems or _taken(tree, name, key, value)
        if problems:
            cherrypy.response.status = 400
            return self._item_form(who, name, key, value, problems)
        return self._replace(who, form, name, key, value)

    @cherrypy.expose
    @action
    def remove(self, who: SignedIn, form: forms.Form) -> bytes:
        """Take one item out of the draft."""
        name, key = _browser.section(form), forms.text(form, 'key')
        return self._replace(who, form, name, key, None)

    @cherrypy.expose
    @page
    def draft(self, who: SignedIn, form: forms.Form) -> bytes:
        """Show what the draft changes, and the form that applies it."""
        return self._review(who)

    @cherrypy.expose
    @action
    def discard(self, who: SignedIn, form: forms.Form) -> bytes:
        """Drop the draft."""
        self._drafts.discard(who.operator)
        raise _browser.see_other('draft')

    @cherrypy.expose
    @action
    def carry_over(self, who: SignedIn, form: forms.Form) -> bytes:
        """Make the draft's changes again in the current document."""
        found = self._drafts.carry_over(who.operator, self._current())
        notes = editing.left_out(found) if found else []
        return self._review(who, *notes)

    @cherrypy.expose
    @action
    def apply(self, who: SignedIn, form: forms.Form) -> bytes:
        """Propose the document that the form holds."""
        document = _browser.read_document(form)
        change_id = _browser.read_change_id(form)
        revision = _browser.read_revision(form)
        result = changes.propose(
            self._control,
            change_id=change_id,
            author=who.operator,
            expected_revision=revision,
            document=document,
        )
        if isinstance(result, controls.Applied):
            self._drafts.discard(who.operator, change_id)
            raise _browser.see_other('accepted', revision=result.revision)
        if isinstance(result, controls.Unavailable):
            cherrypy.response.status = 503
            again = _apply_form(
                who, document, change_id, revision, 'Send the change again'
            )
            told = editing.not_known(result.message, again)
            return show(who, 'Not known yet', told)
        cherrypy.response.status = 409
        if isinstance(result, controls.ChangeIdReused):
            told = editing.change_id_reused(result.change_id)
            return show(who, 'Not applied', told)
        return self._explain_conflict(who, document, result.current)

    @cherrypy.expose
    @page
    def accepted(self, who: SignedIn, form: forms.Form) -> bytes:
        """Tell how far an accepted change has come."""
        revision = _browser.read_revision(form, 'revision')
        found = status_pages.in_force(self._control.in_force(revision))
        link = layout.link(f'accepted?revision={revision}', 'Look again')
        title = f'Revision {revision} is accepted'
        return show(who, title, found, layout.paragraph(link))

    def _replace(
        self,
        who: SignedIn,
        form: forms.Form,
        name: str,
        key: str,
        value: differences.Item | None,
    ) -> bytes:
        """Put an item into the draft, or take it out.

        The page may be older than the document. Taking its item into a
        draft of a newer revision would undo what somebody else has changed
        in that item since, and show it as this operator's own change.
        """
        was_put = self._drafts.edit(
            who.operator,
            self._current(),
            _browser.read_revision(form, 'revision'),
            lambda tree: differences.replace(tree, name, key, value),
        )
        if was_put:
            raise _browser.see_other('section', name=name)
        cherrypy.response.status = 409
        return show(who, 'The page is out of date', editing.out_of_date(name))

    def _item_form(
        self,
        who: SignedIn,
        name: str,
        key: str,
        value: differences.Item,
        problems: abc.Sequence[exceptions.Problem],
    ) -> bytes:
        revision, tree = self._shown(who)
        content = editing.item(
            name=name,
            key=key,
            revision=revision,
            tree=tree,
            value=value,
            problems=problems,
            form_token=who.form_token,
        )
        return show(who, editing.item_title(name, key), content)

    def _review(self, who: SignedIn, *notes: typing.Any) -> bytes:
        title = 'Review and apply'
        draft = self._drafts.find(who.operator)
        if draft is None or not draft.differences():
            nothing = layout.paragraph('There are no changes.')
            return show(who, title, *notes, nothing)
        current = self._current()
        if current.revision != draft.base.revision:
            notes = (*notes, _overtaken(who, draft, current))
            apply = None
        else:
            apply = _apply_or_problems(who, draft)
        content = editing.own_changes(draft, apply, who.form_token)
        return show(who, title, *notes, content)

    def _explain_conflict(
        self,
        who: SignedIn,
        document: documents.Document,
        current: controls.Configuration,
    ) -> bytes:
        title = 'Another change came first'
        draft = self._drafts.find(who.operator)
        if draft is not None and draft.base.revision != current.revision:
            return show(who, title, _overtaken(who, draft, current))
        # Nothing tells any more what the change was made from.
        found = differences.find(
            json.loads(current.document),
            json.loads(documents.document_bytes(document)),
        )
        return show(who, title, editing.conflict(current, found))


def _overtaken(
    who: SignedIn, draft: drafts.Draft, current: controls.Configuration
) -> typing.Any:
    tree = json.loads(current.document)
    return editing.overtaken(draft, current, tree, who.form_token)


def _apply_or_problems(who: SignedIn, draft: drafts.Draft) -> typing.Any:
    try:
        body = json.dumps(draft.tree).encode()
        document = documents.parse_document(body)
    except exceptions.InvalidInput as error:
        return editing.document_problems(draft, error.problems)
    return _apply_form(
        who, document, draft.change_id, draft.base.revision, 'Apply'
    )


def _apply_form(
    who: SignedIn,
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
        form_token=who.form_token,
    )


def _taken(
    tree: differences.Tree, name: str, key: str, value: differences.Item
) -> tuple[exceptions.Problem, ...]:
    """Return a problem if another item has the name already."""
    new_key = differences.key_of(name, value)
    if new_key == key or new_key not in differences.items_by_key(tree, name):
        return ()
    path = 'path' if name == 'routes' else 'name'
    problem = exceptions.Problem(
        path=path, given=f'given {new_key!r}', allowed='there is one already'
    )
    return (problem,)
