"""HTTP of the console: headers, cookies, redirects and posted values."""

import html
import re
import typing
import urllib.parse

import cherrypy

from .. import differences
from .. import document as documents
from .. import exceptions
from . import changes
from . import operator_interface
from . import sessions
from .pages import forms
from .pages import layout

HEADERS = {
    'Content-Type': 'text/html;charset=utf-8',
    'Cache-Control': 'no-store',
    # No script runs, even if a user's text was inserted as markup.
    'Content-Security-Policy': (
        "default-src 'none'; style-src 'self'; form-action 'self'; "
        "frame-ancestors 'none'; base-uri 'none'"
    ),
    'X-Content-Type-Options': 'nosniff',
    'X-Frame-Options': 'DENY',
    # With no-referrer, browsers would send the console's own forms with
    # Origin: null.
    'Referrer-Policy': 'same-origin',
}


def allow(*methods: str) -> None:
    """Refuse other HTTP methods.

    :raises cherrypy.HTTPError: with status 405.
    """
    if cherrypy.request.method not in methods:
        cherrypy.response.headers['Allow'] = ', '.join(methods)
        raise cherrypy.HTTPError(405)


def check_origin() -> None:
    """Refuse a form that another site made the browser send.

    The cookie isn't sent then (SameSite) and the form token is missing. This
    check also protects the sign-in form, which has neither: another site
    can't sign a user in under an account of its choice.

    :raises cherrypy.HTTPError: with status 403.
    """
    headers = cherrypy.request.headers
    origin = headers.get('Origin')
    if origin is None:
        return
    if urllib.parse.urlsplit(origin).netloc != headers.get('Host'):
        raise cherrypy.HTTPError(403, 'This form came from another site.')


def cookie() -> str:
    """Return the session cookie; empty if there is none."""
    found = cherrypy.request.cookie.get(sessions.COOKIE_NAME)
    return found.value if found is not None else ''


def set_cookie(value: str, lifetime_s: int) -> None:
    """Set the session cookie; a lifetime of 0 deletes it."""
    cookies = cherrypy.response.cookie
    cookies[sessions.COOKIE_NAME] = value
    morsel = cookies[sessions.COOKIE_NAME]
    morsel['path'] = layout.ROOT
    morsel['max-age'] = lifetime_s
    morsel['httponly'] = True
    morsel['samesite'] = 'Strict'


def see_other(path: str, **query: typing.Any) -> cherrypy.HTTPRedirect:
    """Return a redirect by GET, so that a reload sends no form again."""
    url = f'{layout.ROOT}/{path}'
    if query:
        url += '?' + urllib.parse.urlencode(query)
    return cherrypy.HTTPRedirect(url, status=303)


def read_section(form: forms.Form, field: str = 'section') -> str:
    """Return the name of the section in a form or link.

    :raises cherrypy.HTTPError: with status 404 for an unknown section.
    """
    name = forms.text(form, field)
    if name not in differences.SECTIONS:
        raise cherrypy.HTTPError(404, 'There is no such section.')
    return name


def read_document(form: forms.Form) -> documents.Document:
    """Return the document in a form.

    :raises cherrypy.HTTPError: with status 400, as the functions below do,
        for an invalid value.
    """
    body = forms.text(form, 'document').encode()
    try:
        return documents.parse_document(body)
    except exceptions.InvalidInput as error:
        raise cherrypy.HTTPError(400, error.message)


def read_change_id(form: forms.Form) -> str:
    """Return the change id in a form."""
    given = forms.text(form, 'change_id')
    if not changes.is_change_id(given):
        raise cherrypy.HTTPError(400, 'change_id: give that of the form.')
    return given


def read_call(form: forms.Form) -> str:
    """Return the fingerprint of a call in a form."""
    given = forms.text(form, 'call')
    if not re.fullmatch(operator_interface.CALL_PATTERN, given):
        raise cherrypy.HTTPError(400, 'call: give that of the form.')
    return given


def read_reason(form: forms.Form) -> str:
    """Return the reason that the operator gave for a request."""
    given = forms.text(form, 'reason')
    if not 0 < len(given) <= operator_interface.MAX_REASON_CHARACTERS:
        raise cherrypy.HTTPError(
            400,
            f'reason: {len(given)} characters given; must be 1 to '
            f'{operator_interface.MAX_REASON_CHARACTERS}.',
        )
    return given


def read_revision(form: forms.Form, field: str = 'expected_revision') -> int:
    """Return the revision number in a form or link."""
    given = forms.text(form, field)
    if not given.isascii() or not given.isdigit() or len(given) > 18:
        raise cherrypy.HTTPError(400, f'{field}: give a revision number.')
    return int(given)


def error_page(
    status: str, message: str, traceback: str, version: str
) -> bytes:
    """Return an error as a page, without internal details."""
    cherrypy.response.headers.update(HEADERS)
    return layout.page(
        status,
        # CherryPy escapes the message for its own template; without this it
        # would be escaped twice.
        layout.paragraph(html.unescape(message)),
        layout.paragraph(layout.link('', 'To the console')),
    )
