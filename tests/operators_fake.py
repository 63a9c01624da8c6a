"""An in-memory control, with the operators' HTTP API on a free port."""

from collections import abc
import contextlib
import json
import threading

from cheroot import wsgi
import urllib3

from dandeliongw.api import operator_interface
from dandeliongw.api import operators
from dandeliongw.api import tokens
from dandeliongw import document
from dandeliongw import metrics
from dandeliongw import settings

#: Fingerprint of the only call that the fake control has in quarantine.
QUARANTINED_CALL = '3fa9' * 8
TOKENS_BY_NAME = {'ana': 'token-of-ana', 'bat': 'token-of-bat'}


def make_settings() -> settings.Settings:
    """Return settings with two operators; the system chooses the ports."""
    address = {'host': '127.0.0.1', 'port': 0}
    place = {'data_centre': 'austin-a', 'region': 'tx-central'}
    tree = {
        'instance_id': 'gw-1',
        **place,
        # The tests don't open this folder.
        'data_folder': '/nowhere',
        'callers': address,
        'control': address,
        'peer': address,
        'peers': [{'instance_id': 'gw-1', 'voter': True, **address, **place}],
        'peer_secret': 'between-instances-only',
        'operators': [
            {'name': name, 'token_sha256': tokens.digest(token)}
            for name, token in TOKENS_BY_NAME.items()
        ],
    }
    return settings.parse_settings(json.dumps(tree).encode())


class FakeControl:
    """Compare-and-set on configurations in memory."""

    def __init__(self) -> None:
        self.configurations = [
            operator_interface.Configuration(
                revision=0,
                document=document.document_bytes(document.EMPTY),
                author='',
            )
        ]
        self.changes_by_id: dict[str, operator_interface.Configuration] = {}
        #: Operator and reason of each lifted quarantine.
        self.lifts: list[tuple[str, str]] = []
        #: Whether proposals are accepted but their answers are lost.
        self.answers_lost = False
        #: Whether no majority answers.
        self.cut_off = False

    def current(
        self,
    ) -> operator_interface.Configuration | operator_interface.Unavailable:
        if self.cut_off:
            return operator_interface.Unavailable(
                message='no majority answered'
            )
        return self.configurations[-1]

    def propose(self, *, change_id, author, expected_revision, document):
        if self.cut_off:
            return operator_interface.Unavailable(
                message='no majority answered'
            )
        known = self.changes_by_id.get(change_id)
        if known is not None:
            if known.document != document:
                return operator_interface.ChangeIdReused(change_id=change_id)
            return operator_interface.Applied(
                revision=known.revision, repeated=True
            )
        last = self.configurations[-1]
        if last.revision != expected_revision:
            return operator_interface.Conflict(current=last)
        made = operator_interface.Configuration(
            revision=last.revision + 1, document=document, author=author
        )
        self.configurations.append(made)
        self.changes_by_id[change_id] = made
        if self.answers_lost:
            return operator_interface.Unavailable(
                message='the answer was lost'
            )
        return operator_interface.Applied(
            revision=made.revision, repeated=False
        )

    def status(self) -> operator_interface.Status:
        last = self.configurations[-1]
        return {
            'instance_id': 'gw-1',
            'revision': last.revision,
            'author': last.author,
            'in_force': self.in_force(last.revision),
            'instances': [
                {
                    'instance_id': 'gw-1',
                    'data_centre': 'austin-a',
                    'region': 'tx-central',
                    'voter': True,
                    'heard': True,
                    'revision': last.revision,
                }
            ],
            'leases': [{'name': 'cell-0', 'holder': 'gw-1', 'epoch': 4}],
            'pools': [
                {
                    'name': '<portal>',
                    'service': 'studio-portal',
                    'backends': 2,
                    'slots': 64,
                    'used': 7,
                    'queue': 3,
                }
            ],
        }

    def backends(self) -> list[operator_interface.BackendStatus]:
        return [
            {
                'backend_id': '<script>alert(1)</script>',
                'service': 'studio-portal',
                'role': 'plain',
                'url': 'http://10.0.1.9:80',
                'data_centre': 'austin-a',
                'state': 'ready',
                'slots': 32,
                'used': 7,
                'checks_fence': False,
            }
        ]

    def history(self) -> list[operator_interface.HistoryEntry]:
        return [
            {
                'revision': made.revision,
                'author': made.author,
                'change_id': change_id,
                'time': '2026-12-02T18:00:00Z',
            }
            for change_id, made in reversed(self.changes_by_id.items())
        ]

    def suspects(self) -> list[operator_interface.SuspectEntry]:
        lift = {'operator': '<i>ben</i>', 'reason': '<b>', 'age_s': 4.0}
        return [
            {
                'call': QUARANTINED_CALL,
                'kind': 'call',
                'held_s': 0.0 if self.lifts else 540.0,
                'ends': [
                    {'backend_id': 'd1', 'told_by': 'gw-1', 'age_s': 60.0}
                ],
                'cleared': 0,
                'lifted': lift if self.lifts else None,
            }
        ]

    def lift(self, *, call: str, operator: str, reason: str) -> bool:
        if call != QUARANTINED_CALL:
            return False
        self.lifts.append((operator, reason))
        return True

    def in_force(self, revision: int) -> operator_interface.InForce:
        return {
            'revision': revision,
            'confirmed': 6,
            'expired': 1,
            'instances': 8,
        }


@contextlib.contextmanager
def serving(application: object) -> abc.Iterator[str]:
    """Serve a WSGI application on loopback; yields its URL."""
    server = wsgi.Server(('127.0.0.1', 0), application, numthreads=4)
    # Seconds between the server's checks whether it has been stopped.
    server.expiration_interval = 0.01
    server.prepare()
    thread = threading.Thread(target=server.serve, daemon=True)
    thread.start()
    try:
        yield f'http://127.0.0.1:{server.bind_addr[1]}'
    finally:
        server.stop()
        thread.join()


class Api:
    """The operators' API in front of a fake control, and a client of it."""

    def __init__(self, *, control: FakeControl, url: str) -> None:
        self.control = control
        self.url = url
        self._client = urllib3.PoolManager(retries=False, timeout=10)

    def request(self, method: str, path: str, **options):
        return self._client.request(
            method, self.url + path, redirect=False, **options
        )


@contextlib.contextmanager
def serving_api() -> abc.Iterator[Api]:
    """Serve the operators' API in front of a new fake control."""
    fake = FakeControl()
    application = operators.make_application(
        fake, make_settings(), metrics.Metrics()
    )
    with serving(application) as url:
        yield Api(control=fake, url=url)
