"""The command line: output, messages and exit codes, run in this process."""

import contextlib
import io
import json
import pathlib
import re
import shlex
import socket
import sys
import tempfile
import threading
import types
import unittest
from unittest import mock

from loguru import logger
from nose2.tools import params

from dandeliongw import command
from dandeliongw import exceptions
from tests import operators_fake
from tests import test_settings

PRIORITY = {'name': 'urgent', 'rank': 0, 'max_wait_s': 1}


def read_and_hang_up(listener: socket.socket) -> None:
    """Act as an instance that dies after it has read a request."""
    connection, _ = listener.accept()
    with connection:
        connection.recv(65536)


class Outcome:
    """What one command wrote and returned."""

    def __init__(self, *arguments: object) -> None:
        output, errors = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(output):
            with contextlib.redirect_stderr(errors):
                self.code = command.main([str(part) for part in arguments])
        self.output = output.getvalue()
        self.errors = errors.getvalue()


class CommandTest(unittest.TestCase):
    def setUp(self):
        logger.remove()
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.folder = pathlib.Path(folder)
        self.token = self.write('token', 'token-of-ana\n')

    def write(self, name: str, text: str) -> pathlib.Path:
        path = self.folder / name
        path.write_text(text)
        return path

    def apply(self, url: str, *more: object, **fields) -> Outcome:
        path = self.write('document', json.dumps({'version': 1} | fields))
        rights = ('--url', url, '--token-file', self.token)
        return Outcome('apply', path, *rights, '--expected-revision', 0, *more)

    def test_help_names_every_command(self):
        for arguments in ((), ('--help',)):
            outcome = Outcome(*arguments)
            self.assertEqual(0, outcome.code)
            for function in command.COMMANDS:
                self.assertIn(function.__name__, outcome.output)

    @params(
        (['bogus'], "'bogus'"),
        (['check'], 'file'),
        (['check', '/nowhere/file'], '/nowhere/file'),
        (['apply', 'x'], '--expected-revision'),
        (['entries', '--url', 'gw-1:7000'], "'gw-1:7000'"),
    )
    def test_wrong_usage_names_the_bad_value(self, arguments, shown):
        outcome = Outcome(*arguments)
        self.assertEqual(exceptions.ExitCode.BAD_INPUT, outcome.code)
        self.assertIn(shown, outcome.errors)
        self.assertEqual('', outcome.output)

    @params(
        (json.dumps(test_settings.VALID), 'settings'),
        ('{"version": 1}', 'document'),
    )
    def test_check_shows_the_kind_of_file(self, text, kind):
        outcome = Outcome('check', self.write('file', text))
        self.assertEqual(0, outcome.code)
        self.assertEqual(kind, json.loads(outcome.output)['kind'])

    @params(
        ('{"version": 1, "colour": 2}', 'colour: no such field'),
        ('{"instance_id": "gw-1"}', 'control: not given'),
        ('{', 'not JSON'),
        ('[]', 'neither'),
    )
    def test_check_refuses(self, text, shown):
        outcome = Outcome('check', self.write('file', text))
        self.assertEqual(exceptions.ExitCode.BAD_INPUT, outcome.code)
        self.assertIn(shown, outcome.errors)

    @params('SETTINGS', 'DOCUMENT')
    def test_the_examples_of_the_docs_run(self, page):
        text = pathlib.Path('docs', f'{page}.md').read_text()
        shown = r'^\$ dandeliongw (check examples/.*)\n(\{\n(?:.*\n)*?\}\n)'
        ((arguments, output),) = re.findall(shown, text, re.MULTILINE)
        self.assertEqual(output, Outcome(*shlex.split(arguments)).output)

    def test_serve_passes_the_settings_to_the_server(self):
        served = []
        server = types.ModuleType('dandeliongw.server')
        server.serve = served.append
        path = self.write('file', json.dumps(test_settings.VALID))
        with mock.patch.dict(sys.modules, {server.__name__: server}):
            with mock.patch('dandeliongw.server', server, create=True):
                outcome = Outcome('serve', path)
        self.assertEqual(0, outcome.code)
        self.assertEqual('gw-1', served[0].instance_id)

    def test_apply_then_show(self):
        with operators_fake.serving_api() as api:
            rights = ('--url', api.url, '--token-file', self.token)
            outcome = self.apply(api.url, priorities=[PRIORITY])
            self.assertEqual(1, json.loads(outcome.output)['revision'])
            shown = json.loads(Outcome('show', *rights).output)
            for name in ('status', 'backends', 'quarantine'):
                self.assertEqual(0, Outcome(name, *rights).code)
        self.assertEqual([PRIORITY], shown['document']['priorities'])
        self.assertEqual('ana', shown['author'])

    def test_lift(self):
        with operators_fake.serving_api() as api:
            rights = ('--url', api.url, '--token-file', self.token)
            reason = ('--reason', 'mended')
            held = operators_fake.QUARANTINED_CALL
            self.assertEqual(0, Outcome('lift', held, *rights, *reason).code)
            outcome = Outcome('lift', 'bogus', *rights, *reason)
        self.assertEqual([('ana', 'mended')], api.control.lifts)
        self.assertEqual(exceptions.ExitCode.BAD_INPUT, outcome.code)

    def test_apply_after_another_change(self):
        with operators_fake.serving_api() as api:
            self.apply(api.url)
            outcome = self.apply(api.url, priorities=[PRIORITY])
        self.assertEqual(exceptions.ExitCode.CONFLICT, outcome.code)
        self.assertIn('revision 0', outcome.errors)
        self.assertIn("'ana' has since made revision 1", outcome.errors)

    def test_a_lost_answer_names_the_change_id_to_send_again(self):
        """A change may be accepted although its answer is lost.

        The command fails then. Without the change id, the operator can't find
        out whether the change took effect, and makes it twice or drops it.
        """
        with operators_fake.serving_api() as api:
            api.control.answers_lost = True
            outcome = self.apply(api.url)
            self.assertEqual(exceptions.ExitCode.UNAVAILABLE, outcome.code)
            words = outcome.errors.split()
            change_id = words[words.index('--change-id') + 1]
            outcome = self.apply(api.url, '--change-id', change_id)
        self.assertEqual(0, outcome.code)
        self.assertTrue(json.loads(outcome.output)['repeated'])

    def test_an_instance_that_does_not_answer(self):
        with operators_fake.serving_api() as api:
            gone = api.url
        outcome = Outcome('entries', '--url', gone)
        self.assertEqual(exceptions.ExitCode.UNAVAILABLE, outcome.code)
        self.assertIn(gone, outcome.errors)
        self.assertIn('Nothing was sent', self.apply(gone).errors)

    def test_a_connection_that_ends_without_an_answer(self):
        """A broken connection is not reported as one never established.

        An instance may read the request and die before it answers; the change
        may still take effect.
        """
        with socket.create_server(('127.0.0.1', 0)) as listener:
            dying = threading.Thread(target=read_and_hang_up, args=[listener])
            dying.start()
            url = f'http://127.0.0.1:{listener.getsockname()[1]}'
            outcome = self.apply(url)
            dying.join()
        self.assertEqual(exceptions.ExitCode.UNAVAILABLE, outcome.code)
        self.assertIn('may still take effect', outcome.errors)

    def test_a_wrong_token(self):
        token = self.write('token', 'token-of-nobody')
        with operators_fake.serving_api() as api:
            outcome = Outcome('show', '--url', api.url, '--token-file', token)
        self.assertEqual(exceptions.ExitCode.UNAUTHORIZED, outcome.code)
        self.assertNotIn('token-of-nobody', outcome.errors)
