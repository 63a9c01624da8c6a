"""The console as a browser uses it: fetches all pages, posts all forms."""

import json
import pathlib
import re
import unittest
import urllib.parse

import bs4
import html5lib
from loguru import logger
from nose2.tools import params

from dandeliongw.api import drafts
from dandeliongw.api import operator_interface
from dandeliongw.api import sessions
from dandeliongw import differences
from dandeliongw import document
from tests import operators_fake

BRAZOS = json.loads(pathlib.Path('examples/brazos.document.json').read_bytes())
URGENT = {'name': 'urgent', 'rank': 0, 'max_wait_s': 1.0}
URGENT_LINK = 'item?section=priorities&key=urgent'
STATUS_PAGES = (
    *('', 'backends', 'load', 'reasons', 'quarantine', 'history'),
    'draft',
)
SECTION_PAGES = tuple(f'section?name={name}' for name in differences.SECTIONS)
ACTIONS = (
    *('item', 'remove', 'discard', 'carry-over', 'apply'),
    *('lift', 'sign-out'),
)


class Browser:
    """Stores the cookie and the page, follows redirects and sends forms."""

    def __init__(self, *, api: operators_fake.Api) -> None:
        self._api = api
        self.cookie = ''
        self.set_cookie = ''
        self.path = ''
        self.status = 0
        self.page = bs4.BeautifulSoup('', 'html5lib')

    @property
    def text(self) -> str:
        return self.page.get_text(' ')

    def sign_in(self, token: str) -> 'Browser':
        self.get('sign-in')
        self.send('sign-in', token=token)
        return self

    def get(self, path: str) -> None:
        self._request('GET', f'/console/{path}')

    def post(self, path: str, /, headers=None, **fields) -> None:
        body = urllib.parse.urlencode(fields, doseq=True)
        self._request('POST', f'/console/{path}', body, headers or {})

    def send(self, action: str, /, **filled) -> None:
        """Send the first form of the page that has this action.

        :param filled: values of fields that replace those of the form.
        """
        form = self.page.find('form', action=f'/console/{action}')
        self.post(action, **(form_values(form) | filled))

    def _request(self, method, path, body=None, headers=None) -> None:
        given = {'Cookie': self.cookie} | (headers or {})
        if body is not None:
            given['Content-Type'] = 'application/x-www-form-urlencoded'
        answer = self._api.request(method, path, body=body, headers=given)
        self.set_cookie = answer.headers.get('Set-Cookie', '')
        if self.set_cookie:
            self.cookie = self.set_cookie.partition(';')[0]
        if answer.status == 303:
            target = urllib.parse.urlsplit(answer.headers['Location'])
            self._request('GET', f'{target.path}?{target.query}'.rstrip('?'))
            return
        self.path, self.status = path, answer.status
        # Strict: a page that a browser would have to repair is an error.
        html5lib.HTMLParser(strict=True).parse(answer.data.decode())
        self.page = bs4.BeautifulSoup(answer.data, 'html5lib')


def form_values(form: bs4.Tag) -> dict[str, object]:
    """Return what a browser would send for an unchanged form."""
    values: dict[str, object] = {}
    for field in form.find_all('input'):
        if field['type'] != 'checkbox':
            values[field['name']] = field.get('value', '')
        elif field.has_attr('checked'):
            values.setdefault(field['name'], []).append(field['value'])
    for field in form.find_all('select'):
        chosen = field.find('option', selected=True)
        values[field['name']] = chosen['value'] if chosen else ''
    return values


def filled_in(item: dict) -> dict[str, object]:
    """Return the form values for an item of the document."""
    values: dict[str, object] = {}
    for name, value in item.items():
        if isinstance(value, dict):
            values |= {f'{name}.{k}': v for k, v in value.items()}
        elif isinstance(value, bool):
            values[name] = 'yes' if value else 'no'
        else:
            values[name] = value
    return values


class ConsoleTest(unittest.TestCase):
    def setUp(self):
        logger.remove()
        self.api = self.enterContext(operators_fake.serving_api())
        self.browser = self.signed_in_browser('token-of-ana')

    def signed_in_browser(self, token: str) -> Browser:
        return Browser(api=self.api).sign_in(token)

    def accepted_document(self) -> dict:
        return json.loads(self.api.control.current().document)

    def put(self, browser: Browser, section: str, /, key='', **item):
        query = urllib.parse.urlencode({'section': section, 'key': key})
        browser.get(f'item?{query}')
        browser.send('item', **filled_in(item))

    def apply(self, browser: Browser) -> None:
        browser.get('draft')
        browser.send('apply')

    @params(*STATUS_PAGES, *SECTION_PAGES, 'item?section=pools')
    def test_pages_require_sign_in(self, path):
        stranger = Browser(api=self.api)
        stranger.get(path)
        self.assertEqual('/console/sign-in', stranger.path)
        self.browser.get(path)
        self.assertEqual((200, f'/console/{path}'), self.status_and_path())

    def status_and_path(self) -> tuple[int, str]:
        return self.browser.status, self.browser.path

    @params(*STATUS_PAGES, *SECTION_PAGES, 'item?section=pools', 'sign-in')
    def test_pages_are_accessible(self, path):
        """By keyboard and with a screen reader."""
        self.put(self.browser, 'priorities', **URGENT)
        self.browser.get(path)
        page = self.browser.page
        self.assertEqual(1, len(page.find_all('h1')))
        self.assertEqual([], page.find_all('script'))
        ids = [each['id'] for each in page.find_all(id=True)]
        self.assertEqual(len(ids), len(set(ids)))
        for field in page.select('input:not([type=hidden]), select'):
            label = page.find('label', attrs={'for': field.get('id')})
            self.assertTrue(label or field.find_parent('label'), field)

    def test_wrong_token_is_refused(self):
        stranger = self.signed_in_browser('token-of-nobody')
        self.assertEqual(401, stranger.status)
        self.assertEqual('', stranger.cookie)

    def test_cookie_is_hidden_from_scripts_and_other_sites(self):
        stranger = Browser(api=self.api)
        stranger.get('sign-in')
        answer = self.api.request(
            'POST', '/console/sign-in', fields={'token': 'token-of-ana'}
        )
        cookie = answer.headers['Set-Cookie']
        for attribute in ('HttpOnly', 'SameSite=Strict', 'Path=/console'):
            self.assertIn(attribute, cookie)
        self.assertNotIn('token-of-ana', cookie)

    @params(*ACTIONS)
    def test_forms_of_other_sites_are_refused(self, action):
        """Guards against cross-site request forgery.

        Another site could make the browser of a signed-in operator send a
        form; the cookie alone must not be enough.
        """
        self.browser.get('')
        form = self.browser.page.find('form', action='/console/sign-out')
        token = form_values(form)['form_token']
        other = self.signed_in_browser('token-of-bat')
        origin = {'Origin': 'http://elsewhere.example'}
        self.browser.post(action)
        self.assertEqual(403, self.browser.status)
        other.post(action, form_token=token)
        self.assertEqual(403, other.status)
        self.browser.post(action, headers=origin, form_token=token)
        self.assertEqual(403, self.browser.status)
        if action != 'item':
            self.browser.get(action)
            self.assertEqual(405, self.browser.status)

    def test_lift_records_operator_and_reason(self):
        self.browser.get('quarantine')
        self.assertIn(operators_fake.QUARANTINED_CALL, self.browser.text)
        self.assertIn('for 540 s', self.browser.text)
        self.browser.send('lift', reason=' ')
        self.assertEqual(400, self.browser.status)
        self.browser.get('quarantine')
        self.browser.send('lift', reason='mended')
        self.assertEqual([('ana', 'mended')], self.api.control.lifts)
        # The operators' texts are shown unchanged.
        self.assertIn('by <i>ben</i>, 4 s ago: <b>', self.browser.text)

    def test_text_from_users_is_escaped(self):
        for path in ('backends', 'load'):
            self.browser.get(path)
            self.assertEqual([], self.browser.page.find_all('script'))
        self.assertIn('<portal>', self.browser.text)
        bad = '"><script>alert(1)</script>'
        self.put(self.browser, 'priorities', name=bad, rank=bad)
        self.assertEqual(400, self.browser.status)
        self.assertEqual([], self.browser.page.find_all('script'))
        self.assertEqual(bad, self.browser.page.find(id='name')['value'])
        self.browser.get(f'section?name={urllib.parse.quote(bad)}')
        self.assertEqual(404, self.browser.status)
        self.assertEqual([], self.browser.page.find_all('script'))

    def test_forms_produce_the_same_document_as_the_api(self):
        order = ('priorities', 'services', 'pools', 'routes', 'accounts')
        for section in order:
            for item in BRAZOS[section]:
                self.put(self.browser, section, **item)
                self.assertEqual(200, self.browser.status)
        self.apply(self.browser)
        self.assertIn('Revision 1 is accepted', self.browser.text)
        self.assertIn('in force on 6 of 8', self.browser.text)
        expected = document.parse_document(json.dumps(BRAZOS).encode())
        self.assertEqual(
            document.document_bytes(expected),
            self.api.control.current().document,
        )
        self.browser.get('history')
        self.assertIn('ana', self.browser.text)

    def test_item_is_edited_and_removed(self):
        self.put(self.browser, 'priorities', **URGENT)
        self.put(self.browser, 'priorities', key='urgent', name='now')
        self.apply(self.browser)
        self.assertEqual(
            'now', self.accepted_document()['priorities'][0]['name']
        )
        self.browser.get('section?name=priorities')
        self.browser.send('remove')
        self.browser.get('draft')
        self.assertIn('removed', self.browser.text)
        self.browser.send('apply')
        self.assertEqual([], self.accepted_document()['priorities'])

    @params(
        ({'rank': '0,5'}, 'valid integer'),
        ({'rank': 'NaN'}, 'valid integer'),
        ({'max_wait_s': '0'}, 'greater than 0'),
        ({'name': ''}, 'required'),
        ({'name': 'taken'}, 'one already'),
    )
    def test_wrong_value_stays_in_the_form(self, wrong, expected):
        self.put(self.browser, 'priorities', **(URGENT | {'name': 'taken'}))
        self.put(self.browser, 'priorities', **(URGENT | wrong))
        self.assertEqual(400, self.browser.status)
        ((name, value),) = wrong.items()
        field = self.browser.page.find(id=name)
        self.assertEqual(value, field['value'])
        self.assertIn(expected, field.find_parent('p').get_text())

    def test_draft_with_problems_cannot_be_applied(self):
        service = {'name': 'portal', 'kind': 'plain', 'timeout_s': 5}
        self.put(self.browser, 'services', **service)
        self.browser.get('draft')
        self.assertIn('has no plain pool', self.browser.text)
        page = self.browser.page
        self.assertIsNone(page.find('form', action='/console/apply'))
        link = page.find('a', string='service portal')
        self.browser.get(link['href'].removeprefix('/console/'))
        self.assertEqual('portal', self.browser.page.find(id='name')['value'])

    def test_conflict_shows_the_other_change(self):
        """A change must not silently undo that of another operator.

        Both edit the same revision and apply; the second form contains the
        whole document as it was before the first change.
        """
        other = self.signed_in_browser('token-of-bat')
        self.put(self.browser, 'priorities', **URGENT)
        patient = {'name': 'patient', 'rank': 1, 'max_wait_s': 30.0}
        self.put(other, 'priorities', **patient)
        self.browser.get('draft')
        self.apply(other)
        self.browser.send('apply')
        self.assertEqual(409, self.browser.status)
        self.assertIn('bat has made revision 1', self.browser.text)
        self.assertIn('patient', self.browser.text)
        self.assertEqual([patient], self.accepted_document()['priorities'])
        self.browser.send('carry-over')
        self.browser.send('apply')
        self.assertEqual(
            [patient, URGENT], self.accepted_document()['priorities']
        )

    def test_item_changed_by_both_is_left_out_and_shown(self):
        other = self.signed_in_browser('token-of-bat')
        self.put(self.browser, 'priorities', **URGENT)
        self.put(other, 'priorities', **(URGENT | {'max_wait_s': 9}))
        self.apply(other)
        self.browser.get('draft')
        self.browser.send('carry-over')
        self.assertIn('changed by both operators', self.browser.text)
        self.assertEqual(
            9, self.accepted_document()['priorities'][0]['max_wait_s']
        )

    def test_item_of_an_outdated_page_is_refused(self):
        """The form of an older revision must not undo a newer change.

        One operator opens an item's form; another changes the item and
        applies; then the first sends the form. A draft of the new revision
        would get the item of the old one.
        """
        other = self.signed_in_browser('token-of-bat')
        self.put(other, 'priorities', **URGENT)
        self.apply(other)
        self.browser.get(URGENT_LINK)
        self.put(other, 'priorities', key='urgent', max_wait_s=9)
        self.apply(other)
        self.browser.send('item', rank=4)
        self.assertEqual(409, self.browser.status)
        self.browser.get('draft')
        self.assertIn('There are no changes', self.browser.text)

    def test_form_sent_again_is_the_same_change(self):
        """A retry must neither apply a change twice nor undo a later one.

        The change is accepted but the answer is lost; another change
        follows; the operator sends the form again. The change id in the form
        identifies the retry.
        """
        self.put(self.browser, 'priorities', **URGENT)
        self.api.control.answers_lost = True
        self.apply(self.browser)
        self.assertEqual(503, self.browser.status)
        self.assertIn('may still take effect', self.browser.text)
        self.api.control.answers_lost = False
        other = self.signed_in_browser('token-of-bat')
        self.put(other, 'priorities', key='urgent', max_wait_s=9)
        self.apply(other)
        self.browser.send('apply')
        self.assertIn('Revision 1 is accepted', self.browser.text)
        self.assertEqual(
            9, self.accepted_document()['priorities'][0]['max_wait_s']
        )
        self.browser.get('draft')
        self.assertIn('There are no changes', self.browser.text)

    def test_form_is_valid_after_a_restart_of_the_instance(self):
        self.put(self.browser, 'priorities', **URGENT)
        self.browser.get('draft')
        restarted = self.enterContext(operators_fake.serving_api())
        self.browser._api = restarted
        self.browser.send('apply')
        current = restarted.control.current()
        self.assertEqual([URGENT], json.loads(current.document)['priorities'])

    def test_draft_is_discarded(self):
        self.put(self.browser, 'priorities', **URGENT)
        self.browser.get('draft')
        self.browser.send('discard')
        self.assertIn('There are no changes', self.browser.text)

    def test_sign_out(self):
        self.browser.get('')
        self.browser.send('sign-out')
        self.assertEqual('/console/sign-in', self.browser.path)
        self.browser.get('draft')
        self.assertEqual('/console/sign-in', self.browser.path)

    def test_missing_majority_is_shown(self):
        self.api.control.cut_off = True
        self.browser.get('section?name=pools')
        self.assertEqual(503, self.browser.status)
        self.assertIn('no majority answered', self.browser.text)


class SessionsTest(unittest.TestCase):
    def setUp(self):
        self.now = 1_000.0
        self.settings = operators_fake.make_settings()
        self.sessions = self.make(self.settings)
        self.ana = self.settings.operators[0]
        self.cookie = self.sessions.make_cookie(self.ana)

    def make(self, settings) -> sessions.Sessions:
        return sessions.Sessions(settings=settings, clock=lambda: self.now)

    def test_session_is_valid_at_any_instance_until_it_expires(self):
        other = self.make(operators_fake.make_settings())
        self.now += sessions.LIFETIME_S - 1
        self.assertEqual(self.ana, other.find_operator(self.cookie))
        self.now += 1
        self.assertIsNone(other.find_operator(self.cookie))

    def test_session_ends_when_the_token_is_replaced(self):
        replaced = self.ana.model_copy(update={'token_sha256': 'ab' * 32})
        changed = self.settings.model_copy(update={'operators': (replaced,)})
        self.assertIsNone(self.make(changed).find_operator(self.cookie))

    @params(
        lambda cookie: '',
        lambda cookie: 'ana',
        lambda cookie: cookie[:-1],
        lambda cookie: cookie.replace('ana', 'bat'),
        lambda cookie: re.sub(r'\.\d+\.', '.9999999999.', cookie),
        lambda cookie: cookie.rpartition('.')[0] + '.é',
    )
    def test_forged_cookie_is_refused(self, forge):
        forged = forge(self.cookie)
        self.assertIsNone(self.sessions.find_operator(forged))


class DraftTest(unittest.TestCase):
    def test_edit_after_sending_has_another_change_id(self):
        """Otherwise an edit is reported as accepted but is not applied.

        A change is sent and its answer is lost; the operator edits further
        and applies. With the same change id, the second change would get the
        result of the first one.
        """
        found = drafts.Drafts(make_nonce=lambda: 'ab')
        current = operator_interface.Configuration(
            revision=3, document=b'{"version": 1}', author='ana'
        )
        found.edit('ana', current, 3, lambda tree: tree | {'pools': []})
        sent = found.find('ana').change_id
        found.edit('ana', current, 3, lambda tree: tree | {'pools': [{}]})
        self.assertNotEqual(sent, found.find('ana').change_id)
        found.discard('ana', sent)
        self.assertIsNotNone(found.find('ana'))
