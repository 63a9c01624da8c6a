"""Log lines are JSON, carry the bound ids, and contain no secret."""

import io
import json
import unittest

from loguru import logger
from nose2.tools import params

from dandeliongw import logs

SECRET = 'correct "horse" battery'


class LogsTest(unittest.TestCase):
    def setUp(self):
        self.stream = io.StringIO()
        logs.configure(
            instance_id='gw-1',
            data_centre='austin-a',
            secrets=[SECRET],
            stream=self.stream,
        )
        self.addCleanup(logger.remove)

    def line(self) -> dict:
        (line,) = self.stream.getvalue().splitlines()
        return json.loads(line)

    def test_ids_are_bound_for_the_block_only(self):
        with logs.bound(request_id='r-1', attempt_id='a-1'):
            logger.info('sent')
        logger.info('idle')
        first, second = map(json.loads, self.stream.getvalue().splitlines())
        self.assertEqual('r-1', first['request_id'])
        self.assertEqual('a-1', first['attempt_id'])
        self.assertEqual('gw-1', first['instance'])
        self.assertNotIn('request_id', second)

    def test_a_line_break_does_not_start_a_line(self):
        logger.info('one\n{"message": "forged"}')
        self.assertTrue(self.line()['message'].startswith('one\n'))

    @params('token', 'peer_secret', 'Authorization', 'Set-Cookie', 'key')
    def test_secret_fields_are_hidden(self, name):
        logger.info('asked', headers={name: 'open sesame'})
        self.assertEqual({name: logs.HIDDEN}, self.line()['headers'])

    def test_a_secret_in_an_exception_is_hidden(self):
        try:
            raise ValueError(f'bad proof {SECRET}')
        except ValueError:
            logger.exception('refused')
        self.assertIn('bad proof ' + logs.HIDDEN, self.line()['exception'])
        self.assertNotIn('horse', self.stream.getvalue())

    @params('tokens', 'max_tokens', 'first_token_s', 'token_gap_s')
    def test_counts_and_times_of_tokens_are_shown(self, name):
        logger.info('done', **{name: 7})
        self.assertEqual(7, self.line()[name])

    def test_what_a_line_says_comes_before_where_it_was_written(self):
        """Guards against lines that are cut before what they tell."""
        logger.bind(backend_id='i-1', why='it left').info('gone')
        names = list(self.line())
        self.assertLess(names.index('why'), names.index('instance'))
        self.assertEqual('line', names[-1])

    def test_a_field_cannot_replace_the_instance(self):
        logger.info('heard', instance='gw-2')
        self.assertEqual('gw-1', self.line()['instance'])
