"""The operators' console: pages that show the state and edit the document.

It works without scripts. As in the API, every change of the document goes
through :mod:`dandeliongw.api.changes`.
"""

import typing

import cherrypy
from loguru import logger

from . import _browser
from . import _console_editing
from . import sessions
from . import tokens
from ._browser import error_page
from ._console_base import action
from ._console_base import ConsoleSession
from ._console_base import page
from ._console_base import show
from .pages import editing
from .pages import forms
from .pages import layout
from .pages import status as status_pages

__all__ = ['Console', 'error_page']


class Console(_console_editing.EditingPages):
    """The pages under ``/console``."""

    @cherrypy.expose
    def style_css(self) -> bytes:
        """Return the style sheet."""
        cherrypy.response.headers['Content-Type'] = 'text/css;charset=utf-8'
        return layout.STYLE.encode()

    @cherrypy.expose
    def sign_in(self, **form: typing.Any) -> bytes:
        """Show the sign-in form, or check the posted token."""
        _browser.allow('GET', 'HEAD', 'POST')
        if cherrypy.request.method != 'POST':
            return _sign_in_page()
        _browser.check_origin()
        operator = tokens.find_operator(
            self._settings, forms.text(form, 'token')
        )
        if operator is None:
            logger.warning('console sign-in refused')
            cherrypy.response.status = 401
            return _sign_in_page('That is not the token of an operator.')
        logger.info('console sign-in', operator=operator.name)
        _browser.set_cookie(
            self._sessions.make_cookie(operator), sessions.LIFETIME_S
        )
        raise _browser.see_other('')

    @cherrypy.expose
    @action
    def sign_out(self, session: ConsoleSession, form: forms.Form) -> bytes:
        """Delete the session cookie."""
        _browser.set_cookie('', 0)
        raise _browser.see_other('sign-in')

    @cherrypy.expose
    @page
    def index(self, session: ConsoleSession, form: forms.Form) -> bytes:
        """Show instances, leases and the progress of the last change."""
        draft = self._drafts.find(session.operator)
        content = status_pages.overview(self._control.status())
        return show(session, 'Overview', editing.pending(draft), content)

    @cherrypy.expose
    @page
    def backends(self, session: ConsoleSession, form: forms.Form) -> bytes:
        """Show the backend servers."""
        content = status_pages.backends(self._control.backends())
        return show(session, 'Backend servers', content)

    @cherrypy.expose
    @page
    def load(self, session: ConsoleSession, form: forms.Form) -> bytes:
        """Show slots and queues."""
        content = status_pages.load(self._control.status()['pools'])
        return show(session, 'Slots and queues', content)

    @cherrypy.expose
    @page
    def reasons(self, session: ConsoleSession, form: forms.Form) -> bytes:
        """Show refusals, retries and wasted prefill by reason."""
        title = f'Refusals and retries of {self._settings.instance_id}'
        return show(session, title, status_pages.reasons(self._metrics))

    @cherrypy.expose
    @page
    def quarantine(self, session: ConsoleSession, form: forms.Form) -> bytes:
        """Show what is in quarantine, and what else is suspected."""
        content = status_pages.quarantine(
            self._control.suspects(), session.form_token
        )
        return show(session, 'Quarantine', content)

    @cherrypy.expose
    @action
    def lift(self, session: ConsoleSession, form: forms.Form) -> bytes:
        """Lift the quarantine of a call or part of prompts."""
        call = _browser.read_call(form)
        is_known = self._control.lift(
            call=call,
            operator=session.operator,
            reason=_browser.read_reason(form),
        )
        if not is_known:
            raise cherrypy.HTTPError(
                404, f'There is no record of call {call}.'
            )
        raise _browser.see_other('quarantine')

    @cherrypy.expose
    @page
    def history(self, session: ConsoleSession, form: forms.Form) -> bytes:
        """Show who changed the document and when."""
        content = status_pages.history(self._control.history())
        return show(session, 'History', content)


def _sign_in_page(problem: str | None = None) -> bytes:
    cherrypy.response.headers.update(_browser.HEADERS)
    return layout.page(
        'Sign in',
        layout.alert(problem) if problem else None,
        layout.sign_in_form(),
    )
