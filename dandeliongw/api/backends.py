"""HTTP API for backend servers: announce, renew, leave.

A backend server may use the control port of any instance; it doesn't need to
know which instance owns its cell. This module validates the request bodies.
"""

from collections import abc
import enum
import hashlib
import hmac
import json
import re
import typing

import cherrypy
import pydantic

from .. import exceptions
from .. import models
from . import _application
from . import bodies

Role = typing.Literal['prefill', 'decode', 'plain']


def _check_url(url: str) -> str:
    if not re.fullmatch(r'http://[^/]+', url):
        raise ValueError('must be http://HOST:PORT, without a path')
    return url


class Identity(models.Model):
    """The fields that every message of a backend server has.

    :param incarnation: increases with each start of the backend server.
    :param sequence: increases with each message of one incarnation.
    """

    backend_id: models.Name
    incarnation: models.NonNegativeInt
    sequence: models.NonNegativeInt


class Announcement(Identity):
    """Registers a backend server.

    :param checks_fence: whether it refuses orders with an old fencing token;
        without this field it is treated as ignoring fencing tokens.
    :param software_version: of the program that it runs; a stream goes on
        only at the version that began it.
    """

    service: models.Name
    role: Role
    url: typing.Annotated[str, pydantic.AfterValidator(_check_url)]
    data_centre: models.Name
    slots: models.NonNegativeInt = 0
    checks_fence: bool = False
    software_version: models.SoftwareVersion = ''


class Load(models.Model):
    """A load report; the values may be older than the message."""

    running: models.NonNegativeInt = 0
    waiting: models.NonNegativeInt = 0
    queued_tokens: models.NonNegativeInt = 0
    slots_used: models.NonNegativeInt = 0
    kv_bytes: models.NonNegativeInt = 0


class CacheEvent(models.Model):
    kind: typing.Literal['stored', 'evicted']
    prefix: str


class CacheEvents(models.Model):
    """Consecutive cache events; ``first`` is the number of the first one."""

    first: models.NonNegativeInt = 0
    events: tuple[CacheEvent, ...] = ()


class Renewal(Identity):
    load: Load = Load()
    cache_events: CacheEvents = CacheEvents()


class Leaving(Identity):
    """The backend server accepts no new work from now on.

    :param incarnation: the incarnation that leaves; ``None`` for the
        registered one.
    """

    incarnation: models.NonNegativeInt | None


class PresenceAnswer(enum.StrEnum):
    """The result of an announcement, a renewal or a leave."""

    ACCEPTED = 'accepted'
    ANNOUNCE_AGAIN = 'announce_again'
    OLD = 'old'
    LEFT = 'left'
    NOT_KEPT = 'not_kept'


STATUS_BY_ANSWER = {
    PresenceAnswer.ACCEPTED: 200,
    PresenceAnswer.ANNOUNCE_AGAIN: 404,
    PresenceAnswer.OLD: 409,
    PresenceAnswer.LEFT: 409,
    PresenceAnswer.NOT_KEPT: 503,
}
MESSAGES_BY_ANSWER = {
    PresenceAnswer.ANNOUNCE_AGAIN: 'this instance does not know that backend '
    'server: it has to announce itself here',
    PresenceAnswer.OLD: 'something newer was said already, perhaps by a later '
    'process with the same backend_id',
    PresenceAnswer.LEFT: 'it has left; only a new announcement brings it back',
    PresenceAnswer.NOT_KEPT: 'too few voters have stored the leave so far: '
    'send it again, here or to another instance',
}


class PresenceFacade(typing.Protocol):
    """The server's interface to this API."""

    def announce(self, announcement: Announcement) -> PresenceAnswer: ...

    def renew(self, renewal: Renewal) -> PresenceAnswer: ...

    def leave(self, leaving: Leaving) -> PresenceAnswer: ...


class Backends:
    """The request handlers, mounted at ``/v1/backends``.

    :param key_sha256: SHA-256 digest, in hexadecimal, of the key that every
        request must carry; ``None`` if no key is required.
    :param lease_s: seconds for which an announcement or a renewal is valid.
    :param renew_s: seconds between the renewals of a backend server.
    """

    def __init__(
        self,
        *,
        presence_facade: PresenceFacade,
        key_sha256: str | None,
        lease_s: float,
        renew_s: float,
    ) -> None:
        self._presence_facade = presence_facade
        self._key_sha256 = key_sha256
        self._lease_s = lease_s
        self._renew_s = renew_s

    @cherrypy.expose
    def default(self, *path: str, **query: str) -> bytes:
        """Handle ``announce``, ``renew`` and ``leave``."""
        try:
            return self._dispatch(path)
        finally:
            bodies.finish()

    def _dispatch(self, path: tuple[str, ...]) -> bytes:
        handlers = {
            ('announce',): self._announce,
            ('renew',): self._renew,
            ('leave',): self._leave,
        }
        handler = handlers.get(path)
        if handler is None or cherrypy.request.method != 'POST':
            return _answer(
                404,
                {
                    'reason': 'unknown_path',
                    'message': 'there are: POST announce, renew, leave',
                },
            )
        if not self._is_allowed():
            return _answer(
                401,
                {
                    'reason': 'unknown_key',
                    'message': 'backend servers need the key of the settings',
                },
            )
        try:
            return handler(bodies.read())
        except bodies.TooLarge:
            return _answer(
                413,
                {
                    'reason': 'too_large',
                    'message': 'the body is too long; at most '
                    f'{bodies.MAX_BYTES} bytes are read',
                },
            )
        except exceptions.InvalidInput as error:
            return _answer(
                400,
                {'reason': 'bad_request', 'message': error.format_message()},
            )

    def _announce(self, body: bytes) -> bytes:
        return self._presence_answer(
            self._presence_facade.announce(
                models.parse(Announcement, body, '')
            )
        )

    def _renew(self, body: bytes) -> bytes:
        return self._presence_answer(
            self._presence_facade.renew(models.parse(Renewal, body, ''))
        )

    def _presence_answer(self, answer: PresenceAnswer) -> bytes:
        status = STATUS_BY_ANSWER[answer]
        if answer is PresenceAnswer.ACCEPTED:
            return _answer(
                status, {'lease_s': self._lease_s, 'renew_s': self._renew_s}
            )
        return _answer(
            status,
            {
                'reason': answer.value,
                'message': MESSAGES_BY_ANSWER[answer],
            },
        )

    def _leave(self, body: bytes) -> bytes:
        answer = self._presence_facade.leave(models.parse(Leaving, body, ''))
        if answer is PresenceAnswer.ACCEPTED:
            return _answer(200, {})
        return self._presence_answer(answer)

    def _is_allowed(self) -> bool:
        if self._key_sha256 is None:
            return True
        value = cherrypy.request.headers.get('Authorization', '')
        _, _, key = value.partition(' ')
        digest = hashlib.sha256(key.encode()).hexdigest()
        return hmac.compare_digest(digest, self._key_sha256)


def _answer(status: int, fields: abc.Mapping[str, typing.Any]) -> bytes:
    cherrypy.response.status = status
    cherrypy.response.headers['Content-Type'] = 'application/json'
    return json.dumps(fields).encode() + b'\n'


def make_application(backends: Backends) -> cherrypy.Application:
    """Return the CherryPy application of this API."""
    root = _Root()
    root.v1 = _Root()
    root.v1.backends = backends
    config = {'/': {'request.process_request_body': False}}
    return _application.make_application(root, config)


class _Root:
    """A path segment without a handler of its own."""
