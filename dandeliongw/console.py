"""The console: pages of forms that make the document and nothing else.

Works without scripts. Every change goes through :mod:`dandeliongw.changes`,
as it does for the API.
"""

from collections import abc
import dataclasses
import functools
import html
import json
import time
import typing
import urllib.parse

import cherrypy
from loguru import logger

from . import changes
from . import control as controls
from . import differences
from . import document as documents
from . import drafts
from . import exceptions
from . import metrics as metrics_module
from . import sessions
from . import settings as settings_module
from . import tokens
from .pages import editing
from .pages import forms
from .pages import layout
from .pages import status as status_pages

_HEADERS = {
    'Content-Type': 'text/html;charset=utf-8',
    'Cache-Control': 'no-store',
    # Even if text of a user's got out as markup, no script would run.
    'Content-Security-Policy': (
        "default-src 'none'; style-src 'self'; form-action 'self'; "
        "frame-ancestors 'none'; base-uri 'none'"
    ),
    'X-Content-Type-Options': 'nosniff',
    'X-Frame-Options': 'DENY',
    # With no-referrer, browsers would send our own forms with Origin: null.
    'Referrer-Policy': 'same-origin',
}

Handler = abc.Callable[..., bytes]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _SignedIn:
    """Who asks, and the token that this session's forms carry."""

    operator: str
    form_token: str


def _page(handler: abc.Callable[..., bytes]) -> Handler:
    """Show a page to an operator who is signed in."""

    @functools.wraps(handler)
    def show(self: 'Console', **form: typing.Any) -> bytes:
        _allow('GET', 'HEAD')
        who = self._signed_in()
        if who is None:
            raise _see_other('sign-in')
        return handler(self, who, form)

    return show


def _action(handler: abc.Callable[..., bytes]) -> Handler:
    """Do what a form asks, if one of our pages sent it."""

    @functools.wraps(handler)
    def act(self: 'Console', **form: typing.Any) -> bytes:
        _allow('POST')
        _check_origin()
        who = self._signed_in()
        if who is None:
            raise cherrypy.HTTPError(403, 'Sign in, then send it again.')
        given = forms.text(form, 'form_token')
        if not self._sessions.is_form_token(_cookie(), given):
            raise cherrypy.HTTPError(403, 'This form is of another session.')
        return handler(self, who, form)

    return act


class Console:
    """The pages under ``/console``.

    :param clock: seconds since the epoch, for sessions.
    """

    def __init__(
        self,
        *,
        control: controls.Control,
        settings: settings_module.Settings,
        metrics: metrics_module.Metrics,
        clock: abc.Callable[[], float] = time.time,
    ) -> None:
        self._control = control
        self._settings = settings
        self._metrics = metrics
        self._sessions = sessions.Sessions(settings=settings, clock=clock)
        self._drafts = drafts.Drafts()

    @cherrypy.expose
    def style_css(self) -> bytes:
        """Return the style sheet."""
        cherrypy.response.headers['Content-Type'] = 'text/css;charset=utf-8'
        return layout.STYLE.encode()

    @cherrypy.expose
    def sign_in(self, **form: typing.Any) -> bytes:
        """Ask for the operator's token, and take it."""
        _allow('GET', 'HEAD', 'POST')
        if cherrypy.request.method != 'POST':
            return _sign_in_page()
        _check_origin()
        operator = tokens.find_operator(
            self._settings, forms.text(form, 'token')
        )
        if operator is None:
            logger.warning('console sign-in refused')
            cherrypy.response.status = 401
            return _sign_in_page('That is not the token of an operator.')
        logger.info('console sign-in', operator=operator.name)
        _set_cookie(self._sessions.make_cookie(operator), sessions.LIFETIME_S)
        raise _see_other('')

    @cherrypy.expose
    @_action
    def sign_out(self, who: _SignedIn, form: forms.Form) -> bytes:
        """Forget the cookie."""
        _set_cookie('', 0)
        raise _see_other('sign-in')

    @cherrypy.expose
    @_page
    def index(self, who: _SignedIn, form: forms.Form) -> bytes:
        """Show instances, leases and how far the last change has come."""
        draft = self._drafts.find(who.operator)
        content = status_pages.overview(self._control.status())
        return _show(who, 'Overview', editing.pending(draft), content)

    @cherrypy.expose
    @_page
    def backends(self, who: _SignedIn, form: forms.Form) -> bytes:
        """Show the backend servers."""
        content = status_pages.backends(self._control.backends())
        return _show(who, 'Backend servers', content)

    @cherrypy.expose
    @_page
    def load(self, who: _SignedIn, form: forms.Form) -> bytes:
        """Show slots and queues."""
        content = status_pages.load(self._control.status()['pools'])
        return _show(who, 'Slots and queues', content)

    @cherrypy.expose
    @_page
    def reasons(self, who: _SignedIn, form: forms.Form) -> bytes:
        """Show refusals, retries and wasted prefill by reason."""
        title = f'Refusals and retries of {self._settings.instance_id}'
        return _show(who, title, status_pages.reasons(self._metrics))

    @cherrypy.expose
    @_page
    def history(self, who: _SignedIn, form: forms.Form) -> bytes:
        """Show who changed the document and when."""
        content = status_pages.history(self._control.history())
        return _show(who, 'History', content)

    @cherrypy.expose
    @_page
    def section(self, who: _SignedIn, form: forms.Form) -> bytes:
        """Show one section of the draft, or of the current document."""
        name = _section(form, 'name')
        draft = self._drafts.find(who.operator)
        tree = self._tree(who)
        content = editing.section(name, tree, who.form_token)
        title = name.capitalize()
        return _show(who, title, editing.pending(draft), content)

    @cherrypy.expose
    def item(self, **form: typing.Any) -> bytes:
        """Show one item's form, or put what it holds into the draft."""
        if cherrypy.request.method == 'POST':
            return self._put_item(**form)
        return self._show_item(**form)

    @_page
    def _show_item(self, who: _SignedIn, form: forms.Form) -> bytes:
        name, key = _section(form), forms.text(form, 'key')
        items = differences.items_by_key(self._tree(who), name)
        if key and key not in items:
            raise cherrypy.HTTPError(404, 'There is no such item any more.')
        return self._item_form(who, name, key, items.get(key, {}), ())

    @_action
    def _put_item(self, who: _SignedIn, form: forms.Form) -> bytes:
        name, key = _section(form), forms.text(form, 'key')
        tree = self._tree(who)
        value = forms.read_item(forms.fields_of(name, tree), form)
        problems = forms.check_item(name, value)
        problems = problems or _taken(tree, name, key, value)
        if problems:
            cherrypy.response.status = 400
            return self._item_form(who, name, key, value, problems)
        self._edit(
            who, lambda tree: differences.replace(tree, name, key, value)
        )
        raise _see_other('section', name=name)

    @cherrypy.expose
    @_action
    def remove(self, who: _SignedIn, form: forms.Form) -> bytes:
        """Take one item out of the draft."""
        name, key = _section(form), forms.text(form, 'key')
        self._edit(
            who, lambda tree: differences.replace(tree, name, key, None)
        )
        raise _see_other('section', name=name)

    @cherrypy.expose
    @_page
    def draft(self, who: _SignedIn, form: forms.Form) -> bytes:
        """Show what the draft changes, and the form that applies it."""
        return self._review(who)

    @cherrypy.expose
    @_action
    def discard(self, who: _SignedIn, form: forms.Form) -> bytes:
        """Drop the draft."""
        self._drafts.discard(who.operator)
        raise _see_other('draft')

    @cherrypy.expose
    @_action
    def carry_over(self, who: _SignedIn, form: forms.Form) -> bytes:
        """Make the draft's changes again in the current document."""
        found = self._drafts.carry_over(who.operator, self._current())
        notes = editing.left_out(found) if found else []
        return self._review(who, *notes)

    @cherrypy.expose
    @_action
    def apply(self, who: _SignedIn, form: forms.Form) -> bytes:
        """Propose the document that the form holds."""
        document = _read_document(form)
        change_id = _read_change_id(form)
        revision = _read_revision(form)
        result = changes.propose(
            self._control,
            change_id=change_id,
            author=who.operator,
            expected_revision=revision,
            document=document,
        )
        if isinstance(result, controls.Applied):
            self._drafts.discard(who.operator, change_id)
            raise _see_other('accepted', revision=result.revision)
        if isinstance(result, controls.Conflict):
            cherrypy.response.status = 409
            return self._explain_conflict(who, document, result)
        if isinstance(result, controls.ChangeIdReused):
            cherrypy.response.status = 409
            return _show(
                who,
                'Not applied',
                layout.alert(
                    f'{result.change_id} names another change that was made '
                    'before. Nothing was applied.'
                ),
            )
        cherrypy.response.status = 503
        again = editing.apply_form(
            label='Send the same change again',
            document=documents.document_bytes(document).decode(),
            change_id=change_id,
            expected_revision=revision,
            form_token=who.form_token,
        )
        return _show(
            who,
            'Not known yet',
            layout.alert(
                f'{result.message}. The change may still take effect. Send '
                'it again to learn what became of it; it is never made '
                'twice.'
            ),
            again,
        )

    @cherrypy.expose
    @_page
    def accepted(self, who: _SignedIn, form: forms.Form) -> bytes:
        """Tell how far an accepted change has come."""
        revision = _read_revision(form, 'revision')
        found = self._control.in_force(revision)
        return _show(
            who,
            f'Revision {revision} is accepted',
            status_pages.in_force(found),
            layout.paragraph(
                layout.link(f'accepted?revision={revision}', 'Look again')
            ),
        )

    def _signed_in(self) -> _SignedIn | None:
        cookie = _cookie()
        operator = self._sessions.find_operator(cookie)
        if operator is None:
            return None
        return _SignedIn(
            operator=operator.name,
            form_token=self._sessions.form_token(cookie),
        )

    def _current(self) -> controls.Configuration:
        current = self._control.current()
        if isinstance(current, controls.Unavailable):
            raise cherrypy.HTTPError(503, current.message)
        return current

    def _tree(self, who: _SignedIn) -> differences.Tree:
        draft = self._drafts.find(who.operator)
        if draft is not None:
            return draft.tree
        return json.loads(self._current().document)

    def _edit(
        self,
        who: _SignedIn,
        change: abc.Callable[[differences.Tree], differences.Tree],
    ) -> None:
        self._drafts.edit(who.operator, self._current(), change)

    def _item_form(
        self,
        who: _SignedIn,
        name: str,
        key: str,
        value: differences.Item,
        problems: abc.Sequence[exceptions.Problem],
    ) -> bytes:
        content = editing.item(
            name=name,
            key=key,
            tree=self._tree(who),
            value=value,
            problems=problems,
            form_token=who.form_token,
        )
        return _show(who, editing.item_title(name, key), content)

    def _review(self, who: _SignedIn, *notes: typing.Any) -> bytes:
        title = 'Review and apply'
        draft = self._drafts.find(who.operator)
        if draft is None or not draft.differences():
            return _show(
                who, title, *notes, layout.paragraph('There are no changes.')
            )
        current = self._current()
        if current.revision != draft.base.revision:
            notes = (*notes, self._overtaken(who, draft, current))
            mine = editing.own_changes(draft, None, who.form_token)
            return _show(who, title, *notes, mine)
        apply = _apply_or_problems(draft, who.form_token)
        content = editing.own_changes(draft, apply, who.form_token)
        return _show(who, title, *notes, content)

    def _overtaken(
        self,
        who: _SignedIn,
        draft: drafts.Draft,
        current: controls.Configuration,
    ) -> typing.Any:
        tree = json.loads(current.document)
        return editing.overtaken(draft, current, tree, who.form_token)

    def _explain_conflict(
        self,
        who: _SignedIn,
        document: documents.Document,
        conflict: controls.Conflict,
    ) -> bytes:
        current = conflict.current
        title = 'Another change came first'
        draft = self._drafts.find(who.operator)
        if draft is not None and draft.base.revision != current.revision:
            return _show(who, title, self._overtaken(who, draft, current))
        # Nothing tells any more what the change was made from.
        found = differences.find(
            json.loads(current.document),
            json.loads(documents.document_bytes(document)),
        )
        return _show(
            who,
            title,
            layout.alert(
                f'{current.author} has made revision {current.revision}. '
                'Nothing of your change was applied.'
            ),
            editing.difference_table(
                'Your document, against the current one', found
            ),
        )


def error_page(
    status: str, message: str, traceback: str, version: str
) -> bytes:
    """Show an error as a page, without anything of the inside."""
    cherrypy.response.headers.update(_HEADERS)
    return layout.page(
        status,
        # CherryPy escapes it for its own template; pages escape it again.
        layout.paragraph(html.unescape(message)),
        layout.paragraph(layout.link('', 'To the console')),
    )


def _show(who: _SignedIn, title: str, *content: typing.Any) -> bytes:
    cherrypy.response.headers.update(_HEADERS)
    return layout.page(
        title, *content, operator=who.operator, form_token=who.form_token
    )


def _sign_in_page(problem: str | None = None) -> bytes:
    cherrypy.response.headers.update(_HEADERS)
    return layout.page(
        'Sign in',
        layout.alert(problem) if problem else None,
        layout.sign_in_form(),
    )


def _apply_or_problems(draft: drafts.Draft, form_token: str) -> typing.Any:
    try:
        body = json.dumps(draft.tree).encode()
        document = documents.parse_document(body)
    except exceptions.InvalidInput as error:
        return editing.document_problems(draft, error.problems)
    return editing.apply_form(
        label='Apply',
        document=documents.document_bytes(document).decode(),
        change_id=draft.change_id,
        expected_revision=draft.base.revision,
        form_token=form_token,
    )


def _allow(*methods: str) -> None:
    if cherrypy.request.method not in methods:
        cherrypy.response.headers['Allow'] = ', '.join(methods)
        raise cherrypy.HTTPError(405)


def _check_origin() -> None:
    """Refuse a form that another site made a browser send.

    The cookie isn't sent then (SameSite) and the form's token is missing;
    this also keeps others from signing somebody in under their own name.
    """
    headers = cherrypy.request.headers
    origin = headers.get('Origin')
    if origin is None:
        return
    if urllib.parse.urlsplit(origin).netloc != headers.get('Host'):
        raise cherrypy.HTTPError(403, 'This form came from another site.')


def _cookie() -> str:
    found = cherrypy.request.cookie.get(sessions.COOKIE_NAME)
    return found.value if found is not None else ''


def _set_cookie(value: str, lifetime_s: int) -> None:
    cookie = cherrypy.response.cookie
    cookie[sessions.COOKIE_NAME] = value
    morsel = cookie[sessions.COOKIE_NAME]
    morsel['path'] = layout.ROOT
    morsel['max-age'] = lifetime_s
    morsel['httponly'] = True
    morsel['samesite'] = 'Strict'


def _see_other(path: str, **query: typing.Any) -> cherrypy.HTTPRedirect:
    """Lead on by GET, so that reloading a page sends no form again."""
    url = f'{layout.ROOT}/{path}'
    if query:
        url += '?' + urllib.parse.urlencode(query)
    return cherrypy.HTTPRedirect(url, status=303)


def _section(form: forms.Form, field: str = 'section') -> str:
    name = forms.text(form, field)
    if name not in differences.SECTIONS:
        raise cherrypy.HTTPError(404, 'There is no such section.')
    return name


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


def _read_document(form: forms.Form) -> documents.Document:
    body = forms.text(form, 'document').encode()
    try:
        return documents.parse_document(body)
    except exceptions.InvalidInput as error:
        raise cherrypy.HTTPError(400, error.message)


def _read_change_id(form: forms.Form) -> str:
    given = forms.text(form, 'change_id')
    if not changes.is_change_id(given):
        raise cherrypy.HTTPError(400, 'change_id: give that of the form.')
    return given


def _read_revision(form: forms.Form, field: str = 'expected_revision') -> int:
    given = forms.text(form, field)
    if not given.isascii() or not given.isdigit() or len(given) > 18:
        raise cherrypy.HTTPError(400, f'{field}: give a revision number.')
    return int(given)
