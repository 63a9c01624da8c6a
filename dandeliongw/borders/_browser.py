"""What a browser sends to the console, and what it is told."""

import html
import re
import typing
import urllib.parse

import cherrypy

from .. import differences
from .. import document as documents
from .. import exceptions
from . import changes
from . import control as controls
from . import sessions
from .pages import forms
from .pages import layout

HEADERS = {
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


def allow(*methods: str) -> None:
    """Refuse other HTTP methods."""
    if cherrypy.request.method not in methods:
        cherrypy.response.headers['Allow'] = ', '.join(methods)
        raise cherrypy.HTTPError(405)


def check_origin() -> None:
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


def cookie() -> str:
    """Return the session's cookie; empty if there is none."""
    found = cherrypy.request.cookie.get(sessions.COOKIE_NAME)
    return found.value if found is not None else ''


def set_cookie(value: str, lifetime_s: int) -> None:
    """Give the browser a cookie; a lifetime of 0 takes it away."""
    cookies = cherrypy.response.cookie
    cookies[sessions.COOKIE_NAME] = value
    morsel = cookies[sessions.COOKIE_NAME]
    morsel['path'] = layout.ROOT
    morsel['max-age'] = lifetime_s
    morsel['httponly'] = True
    morsel['samesite'] = 'Strict'


def see_other(path: str, **query: typing.Any) -> cherrypy.HTTPRedirect:
    """Lead on by GET, so that reloading a page sends no form again."""
    url = f'{layout.ROOT}/{path}'
    if query:
        url += '?' + urllib.parse.urlencode(query)
    return cherrypy.HTTPRedirect(url, status=303)


def section(form: forms.Form, field: str = 'section') -> str:
    """Return the section that a form or link names."""
    name = forms.text(form, field)
    if name not in differences.SECTIONS:
        raise cherrypy.HTTPError(404, 'There is no such section.')
    return name


def read_document(form: forms.Form) -> documents.Document:
    """Return the document that a form holds."""
    body = forms.text(form, 'document').encode()
    try:
        return documents.parse_document(body)
    except exceptions.InvalidInput as error:
        raise cherrypy.HTTPError(400, error.message)


def read_change_id(form: forms.Form) -> str:
    """Return the change id that a form holds."""
    given = forms.text(form, 'change_id')
    if not changes.is_change_id(given):
        raise cherrypy.HTTPError(400, 'change_id: give that of the form.')
    return given


def read_call(form: forms.Form) -> str:
    """Return the fingerprint of a call that a form holds."""
    given = forms.text(form, 'call')
    if not re.fullmatch(controls.CALL_PATTERN, given):
        raise cherrypy.HTTPError(400, 'call: give that of the form.')
    return given


def read_reason(form: forms.Form) -> str:
    """Return why something is asked for."""
    given = forms.text(form, 'reason')
    if not 0 < len(given) <= controls.MOST_REASON_CHARACTERS:
        raise cherrypy.HTTPError(
            400,
            f'reason: {len(given)} characters given; must be 1 to '
            f'{controls.MOST_REASON_CHARACTERS}.',
        )
    return given


def read_revision(form: forms.Form, field: str = 'expected_revision') -> int:
    """Return the revision that a form or link holds."""
    given = forms.text(form, field)
    if not given.isascii() or not given.isdigit() or len(given) > 18:
        raise cherrypy.HTTPError(400, f'{field}: give a revision number.')
    return int(given)


def error_page(
    status: str, message: str, traceback: str, version: str
) -> bytes:
    """Show an error as a page, without anything of the inside."""
    cherrypy.response.headers.update(HEADERS)
    return layout.page(
        status,
        # CherryPy escapes it for its own template; pages escape it again.
        layout.paragraph(html.unescape(message)),
        layout.paragraph(layout.link('', 'To the console')),
    )
