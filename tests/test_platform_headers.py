"""What callers say in headers, and what they may not say."""

import unittest

from nose2.tools import params

from dandeliongw.borders import calls
from tests import on_platform

from adapter import headers

assert on_platform.FOLDER.exists()

GIVEN = (
    ('Host', 'one.example'),
    ('X-Request-Id', '9c41d07b'),
    ('X-Token-Count', '1460,80'),
    ('X-Length-Hint', '64'),
    ('X-Prompt-Prefix', '5c1e07a2:800,91bd3f06:660'),
    ('X-Deadline-Ms', '14000'),
)


def read(*more, given=GIVEN):
    replaced = {name for name, _ in more}
    kept = tuple(each for each in given if each[0] not in replaced)
    return headers.Dialect().read_call(
        (*kept, *(each for each in more if each[1] is not None))
    )


class DialectTest(unittest.TestCase):
    def test_what_a_caller_says(self):
        facts = read()
        self.assertEqual(facts.request_id, '9c41d07b')
        self.assertEqual(facts.deadline_s, 14.0)
        self.assertEqual((facts.prompt_tokens, facts.max_tokens), (1460, 80))
        self.assertEqual(facts.expected_tokens, 64)
        self.assertEqual(facts.prefix, ('5c1e07a2', '91bd3f06'))
        self.assertEqual(facts.pieces_held, 0)

    @params(
        ((('X-REQUEST-ID', '9c41d07b'),), '9c41d07b'),
        ((('X-Request-Id', 'a b'),), ''),
        ((), ''),
    )
    def test_a_refusal_is_told_with_the_callers_id(self, given, request_id):
        """Symptom: a refused call leaves no line that its id leads to.

        Sequence: a call with an id comes with a header that can't be read.
        Cause: the id was known only of calls that were read whole.
        """
        dialect = headers.Dialect()
        self.assertEqual(dialect.read_request_id(given), request_id)

    def test_a_caller_that_resumes_a_stream(self):
        self.assertEqual(read(('Last-Event-Id', '17')).pieces_held, 17)

    @params(
        'X-Stage',
        'x-kv-source',
        'X-Kv-Hold',
        'X-KV-BACKUP',
        'X-Pin-Ms',
        'X-Expect-Instance',
        'X-Expect-Version',
        'X-Request-Priority',
        'Kv-Fetch',
        'X-Not-Executed',
    )
    def test_what_only_the_system_may_say_is_dropped(self, name):
        """Symptom: a caller's call goes on from another caller's memory.

        Sequence: a caller sends a header that tells engines where to take
        a KV cache from.
        Cause: headers that are not known would be passed on.
        """
        names = {each.lower() for each, _ in read((name, 'x')).headers}
        self.assertNotIn(name.lower(), names)
        self.assertIn('x-token-count', names)

    @params(
        ('X-Request-Id', None),
        ('X-Request-Id', ''),
        ('X-Request-Id', 'a b'),
        ('X-Deadline-Ms', '0'),
        ('X-Deadline-Ms', 'soon'),
        ('X-Deadline-Ms', '-1'),
        ('X-Deadline-Ms', 'inf'),
        ('X-Token-Count', '1'),
        ('X-Token-Count', '1,-2'),
    )
    def test_what_can_not_be_read_is_refused_by_name(self, name, value):
        with self.assertRaises(calls.BadCall) as caught:
            read((name, value))
        self.assertIn(name, str(caught.exception))

    @params('much', '', '-4')
    def test_a_guess_that_can_not_be_read_is_none(self, value):
        self.assertEqual(read(('X-Length-Hint', value)).expected_tokens, 0)
