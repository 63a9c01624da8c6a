"""Errors of an instance that can't start or whose peers are unreachable."""

import json
import pathlib
import socket
import tempfile
import unittest

from loguru import logger
from nose2.tools import params
import urllib3

from dandeliongw import exceptions
from dandeliongw import server
from dandeliongw import settings

HOST = '127.0.0.1'


def make_settings(folder, **ports):
    """Return settings of one of two instances; the other never answers."""
    peers = [
        {
            'instance_id': name,
            'host': HOST,
            'port': port,
            'data_centre': 'dc-a',
            'region': 'local',
            'voter': True,
        }
        for name, port in (('gw-1', ports.get('peer', 0)), ('gw-2', 1))
    ]
    fields = {
        'instance_id': 'gw-1',
        'data_centre': 'dc-a',
        'region': 'local',
        'data_folder': str(folder),
        'callers': {'host': HOST, 'port': ports.get('callers', 0)},
        'control': {'host': HOST, 'port': ports.get('control', 0)},
        'peer': {'host': HOST, 'port': ports.get('peer', 0)},
        'peers': peers,
    }
    return settings.parse_settings(json.dumps(fields).encode())


class StartTest(unittest.TestCase):
    def setUp(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.folder = pathlib.Path(folder)
        logger.disable('dandeliongw')
        self.addCleanup(logger.enable, 'dandeliongw')

    def start(self, made):
        with server.opened(made):
            self.fail('it started')

    @params('callers', 'control', 'peer')
    def test_a_port_in_use_is_named_by_its_field(self, field):
        with socket.create_server((HOST, 0)) as taken:
            port = taken.getsockname()[1]
            with self.assertRaises(exceptions.PortInUse) as caught:
                self.start(make_settings(self.folder, **{field: port}))
        self.assertEqual(field, caught.exception.field)
        self.assertIn(f'{HOST}:{port}', caught.exception.message)
        self.assertEqual(6, caught.exception.exit_code)

    def test_a_data_folder_that_is_a_file_is_named(self):
        file = self.folder / 'file'
        file.write_text('')
        with self.assertRaises(exceptions.DataFolderUnusable) as caught:
            self.start(make_settings(file))
        self.assertIn(str(file), caught.exception.message)
        self.assertEqual(7, caught.exception.exit_code)

    def test_a_data_folder_in_use_is_reported(self):
        with server.opened(make_settings(self.folder)):
            with self.assertRaises(exceptions.DataFolderUnusable) as caught:
                self.start(make_settings(self.folder))
        self.assertIn('another process', caught.exception.message)

    def test_an_instance_whose_peer_is_unreachable_serves_nothing(self):
        """Guards against serving calls under an outdated document.

        An instance starts while no other voter can be reached; it must not
        treat the document on its own disk as the accepted one.
        """
        with server.opened(make_settings(self.folder)) as running:
            answer = urllib3.request(
                'GET',
                f'http://{HOST}:{running.callers_port}/services/any/lookup',
                retries=False,
            )
        error = json.loads(answer.data)['error']
        self.assertEqual(503, answer.status)
        self.assertEqual('configuration_stale', error['reason'])
        self.assertEqual('not_run', error['verdict'])
