"""Base of the console's pages: sessions, drafts and the page layout."""

from collections import abc
import functools
import json
import time
import typing

import cherrypy
import msgspec

from .. import differences
from .. import metrics as metrics_module
from .. import settings as settings_module
from . import _browser
from . import drafts
from . import operator_interface
from . import sessions
from .pages import forms
from .pages import layout

Handler = abc.Callable[..., bytes]


class ConsoleSession(msgspec.Struct, frozen=True, kw_only=True):
    """A session: the name of the signed-in operator, and the form token."""

    operator: str
    form_token: str


def page(handler: Handler) -> Handler:
    """Decorate a handler of a page, which requires a signed-in operator."""

    @functools.wraps(handler)
    def show(self: 'Pages', **form: typing.Any) -> bytes:
        _browser.allow('GET', 'HEAD')
        session = self._find_session()
        if session is None:
            raise _browser.see_other('sign-in')
        return handler(self, session, form)

    return show


def action(handler: Handler) -> Handler:
    """Decorate a handler of a posted form.

    The form must come from one of the console's pages, of this session.
    """

    @functools.wraps(handler)
    def act(self: 'Pages', **form: typing.Any) -> bytes:
        _browser.allow('POST')
        _browser.check_origin()
        session = self._find_session()
        if session is None:
            raise cherrypy.HTTPError(403, 'Sign in, then send it again.')
        given = forms.text(form, 'form_token')
        if not self._sessions.is_form_token(_browser.cookie(), given):
            raise cherrypy.HTTPError(403, 'This form is of another session.')
        return handler(self, session, form)

    return act


class Pages:
    """The base of the console's pages.

    :param clock: returns seconds since the Unix epoch, for sessions.
    """

    def __init__(
        self,
        *,
        control: operator_interface.Control,
        settings: settings_module.Settings,
        metrics: metrics_module.Metrics,
        clock: abc.Callable[[], float] = time.time,
    ) -> None:
        self._control = control
        self._settings = settings
        self._metrics = metrics
        self._sessions = sessions.Sessions(settings=settings, clock=clock)
        self._drafts = drafts.Drafts()

    def _find_session(self) -> ConsoleSession | None:
        cookie = _browser.cookie()
        operator = self._sessions.find_operator(cookie)
        if operator is None:
            return None
        return ConsoleSession(
            operator=operator.name,
            form_token=self._sessions.form_token(cookie),
        )

    def _current(self) -> operator_interface.Configuration:
        current = self._control.current()
        if isinstance(current, operator_interface.Unavailable):
            raise cherrypy.HTTPError(503, current.message)
        return current

    def _edited_document(
        self, session: ConsoleSession
    ) -> tuple[int, differences.Tree]:
        """Return the draft, or else the current document.

        :return: the revision on which it is based, and the document.
        """
        draft = self._drafts.find(session.operator)
        if draft is not None:
            return draft.base.revision, draft.tree
        current = self._current()
        return current.revision, json.loads(current.document)


def show(session: ConsoleSession, title: str, *content: typing.Any) -> bytes:
    """Return a page with the navigation for signed-in operators."""
    cherrypy.response.headers.update(_browser.HEADERS)
    return layout.page(
        title,
        *content,
        operator=session.operator,
        form_token=session.form_token,
    )
