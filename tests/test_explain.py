"""From a request's id to its cause, with nothing but logs."""

import json
import pathlib
import tempfile
import unittest

from dandeliongw import exceptions
from dandeliongw import explain


def line(second, message, instance='gw-1', **fields):
    return {
        'time': f'2026-04-12T08:31:{second:09.6f}+00:00',
        'level': 'INFO',
        'message': message,
        'instance': instance,
        **fields,
    }


LINES = (
    line(1.0, 'member believed', peer='gw-9', state='dead'),
    line(9.0, 'member believed', peer='gw-2', state='suspect'),
    line(9.1, 'member believed', instance='gw-3', peer='gw-2'),
    line(10.2, 'call refused', request_id='c1', reason='no_capacity'),
    line(10.1, 'request declined', request_id='c1.8f3a', why='full'),
    line(10.1, 'request declined', request_id='c10.8f3a', why='other'),
)


class ExplainTest(unittest.TestCase):
    def setUp(self):
        self.folder = pathlib.Path(
            self.enterContext(tempfile.TemporaryDirectory())
        )

    def write(self, *lines, name='log'):
        path = self.folder / name
        texts = [json.dumps(each) for each in lines]
        path.write_text('\n'.join(['not ours', *texts, '{"half": ']))
        return str(path)

    def test_the_lines_of_all_instances_in_order(self):
        first = self.write(*LINES[:4], name='one')
        second = self.write(*LINES[4:], name='two')
        found = explain.explain('c1', [first, second])
        messages = [each['message'] for each in found['lines']]
        self.assertEqual(messages, ['request declined', 'call refused'])
        self.assertEqual(found['end'], 'call refused: no_capacity')

    def test_what_was_believed_by_those_who_decided(self):
        found = explain.explain('c1', [self.write(*LINES)])
        self.assertEqual(found['beliefs'], [LINES[1]])

    def test_a_request_that_nobody_knows(self):
        with self.assertRaises(exceptions.UsageError) as caught:
            explain.explain('c2', [self.write(*LINES)])
        self.assertIn("'c2'", caught.exception.message)

    def test_a_file_that_is_not_there(self):
        with self.assertRaises(exceptions.UsageError) as caught:
            explain.explain('c1', ['/nowhere/log'])
        self.assertIn('/nowhere/log', caught.exception.message)
