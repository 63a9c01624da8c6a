"""HTML that all pages share: head, navigation, tables, forms and notices."""

from collections import abc
import typing

from ... import differences
from . import markup

ROOT = '/console'
STYLE_PATH = f'{ROOT}/style.css'

STYLE = """\
body { font: 1rem/1.5 sans-serif; margin: 0 auto; max-width: 70rem;
  padding: 0 1rem 3rem; color: #1b1b1b; background: #fff; }
nav a { margin-right: 1rem; }
table { border-collapse: collapse; margin: 1rem 0; }
th, td { border: 1px solid #767676; padding: .25rem .5rem;
  text-align: left; vertical-align: top; overflow-wrap: anywhere; }
label { display: block; font-weight: bold; }
fieldset label { font-weight: normal; }
input[type=text], input[type=password], select { font: inherit;
  padding: .25rem; min-width: 20rem; }
button { font: inherit; padding: .25rem .75rem; }
form.inline { display: inline; }
:focus { outline: 3px solid #1a5fb4; outline-offset: 2px; }
.hint { display: block; }
.bad { display: block; color: #a51d2d; }
.notice { border: 2px solid #1a5fb4; padding: .5rem 1rem; }
.alert { border: 2px solid #a51d2d; padding: .5rem 1rem; }
.skip:not(:focus) { position: absolute; left: -100rem; }
"""

_STATUS_LINKS = (
    ('', 'Overview'),
    ('backends', 'Backend servers'),
    ('load', 'Slots and queues'),
    ('reasons', 'Refusals and retries'),
    ('quarantine', 'Quarantine'),
    ('history', 'History'),
)


def page(
    title: str,
    *content: typing.Any,
    operator: str | None = None,
    form_token: str = '',
) -> bytes:
    """Return a complete page.

    :param operator: the signed-in operator; ``None`` leaves out the
        navigation.
    :param form_token: for the sign-out button.
    """
    head = markup.tag(
        'head',
        markup.tag('meta', charset='utf-8'),
        markup.tag('meta', name='viewport', content='width=device-width'),
        markup.tag('title', f'{title} - dandeliongw'),
        markup.tag('link', rel='stylesheet', href=STYLE_PATH),
    )
    body = markup.tag(
        'body',
        markup.tag('a', 'To the content', href='#main', class_='skip'),
        _header(operator, form_token) if operator else None,
        markup.tag('main', markup.tag('h1', title), *content, id='main'),
    )
    return markup.page(head, body)


def table(
    caption: str,
    headings: abc.Sequence[str],
    rows: abc.Iterable[abc.Sequence[typing.Any]],
) -> markup.Markup:
    """Return a table; the first cell of each row is its heading."""
    head = [markup.tag('th', each, scope='col') for each in headings]
    body = [
        markup.tag(
            'tr',
            markup.tag('th', row[0], scope='row'),
            [markup.tag('td', cell) for cell in row[1:]],
        )
        for row in rows
    ]
    return markup.tag(
        'table',
        markup.tag('caption', caption),
        markup.tag('thead', markup.tag('tr', head)),
        markup.tag('tbody', body),
    )


def form(
    path: str,
    form_token: str,
    *content: typing.Any,
    **attributes: typing.Any,
) -> markup.Markup:
    """Return a form that is posted to a page of the console."""
    return markup.tag(
        'form',
        hidden('form_token', form_token),
        *content,
        method='post',
        action=f'{ROOT}/{path}',
        **attributes,
    )


def sign_in_form() -> markup.Markup:
    """Return the form for the operator's token."""
    field = markup.tag(
        'input',
        type='password',
        id='token',
        name='token',
        required=True,
        autocomplete='current-password',
    )
    return markup.tag(
        'form',
        paragraph(
            markup.tag('label', "Operator's token", for_='token'), field
        ),
        markup.tag('button', 'Sign in'),
        method='post',
        action=f'{ROOT}/sign-in',
    )


def button_form(
    path: str, form_token: str, label: str, **values: str
) -> markup.Markup:
    """Return a form with a single button."""
    inputs = [hidden(name, value) for name, value in values.items()]
    return form(
        path,
        form_token,
        inputs,
        markup.tag('button', label),
        class_='inline',
    )


def hidden(name: str, value: str) -> markup.Markup:
    """Return a hidden input."""
    return markup.tag('input', type='hidden', name=name, value=value)


def link(path: str, label: str) -> markup.Markup:
    """Return a link to a page of the console."""
    return markup.tag('a', label, href=f'{ROOT}/{path}')


def notice(*content: typing.Any) -> markup.Markup:
    """Return a box that screen readers announce when they are idle."""
    return markup.tag('div', *content, class_='notice', role='status')


def alert(*content: typing.Any) -> markup.Markup:
    """Return a box that screen readers announce immediately."""
    return markup.tag('div', *content, class_='alert', role='alert')


def paragraph(*content: typing.Any) -> markup.Markup:
    """Return a paragraph."""
    return markup.tag('p', *content)


def items(content: abc.Iterable[typing.Any]) -> markup.Markup:
    """Return a list."""
    return markup.tag('ul', [markup.tag('li', each) for each in content])


def _header(operator: str, form_token: str) -> markup.Markup:
    status = [link(path, label) for path, label in _STATUS_LINKS]
    editing = [
        link(f'section?name={name}', name.capitalize())
        for name in differences.SECTIONS
    ]
    return markup.tag(
        'header',
        markup.tag('nav', status, aria_label='Status'),
        markup.tag(
            'nav',
            editing,
            link('draft', 'Review and apply'),
            aria_label='Document',
        ),
        # HTML allows no form inside a paragraph.
        markup.tag(
            'div',
            f'Signed in as {operator} ',
            button_form('sign-out', form_token, 'Sign out'),
        ),
    )
