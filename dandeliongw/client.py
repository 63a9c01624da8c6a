"""HTTP client of the command line for calls to an instance."""

import json
import typing
import urllib.parse

import urllib3

from . import exceptions
from . import message_framing

CONNECT_TIMEOUT_S = 5.0
#: Longer than an instance waits for a majority of the voters.
READ_TIMEOUT_S = 30.0
#: Longest answer that is read, in bytes.
MAX_ANSWER_BYTES = 64 << 20

_NEVER_CONNECTED = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)


class Client:
    """Sends requests to one instance; never retries automatically.

    :param url: such as ``http://10.0.1.5:7001``.
    :param token: the operator's token, for calls that need one.
    """

    def __init__(self, *, url: str, token: str | None = None) -> None:
        self._url = _check_url(url)
        self._token = token
        self._pool = message_framing.PoolManager(
            retries=False,
            timeout=urllib3.Timeout(
                connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S
            ),
        )

    def get(self, path: str) -> dict[str, typing.Any]:
        """Return the JSON object at a path.

        :raises DandeliongwError: for every answer except a success.
        """
        return self._success(*self._request('GET', path, None))

    def put_document(
        self, document: typing.Any, expected_revision: int, change_id: str
    ) -> dict[str, typing.Any]:
        """Submit a document as the next revision.

        :raises ChangeConflict: if another change was accepted first.
        :raises ChangeIdReused: if the change id belongs to another change.
        :raises InstanceUnreachable: if no answer arrived; the change may
            still take effect.
        """
        body = {
            'document': document,
            'expected_revision': expected_revision,
            'change_id': change_id,
        }
        status, answer = self._request('PUT', '/v1/document', body)
        reason = answer.get('reason')
        if reason == 'conflict':
            raise exceptions.ChangeConflict(
                expected_revision=expected_revision,
                revision=answer['revision'],
                author=answer['author'],
            )
        if reason == 'change_id_reused':
            raise exceptions.ChangeIdReused(change_id=change_id)
        return self._success(status, answer)

    def lift(self, call: str, reason: str) -> dict[str, typing.Any]:
        """Release a call, or a part of prompts, from quarantine.

        :param call: the call's fingerprint.
        :param reason: why it may run again; recorded.
        :raises DandeliongwError: for every answer except a success.
        """
        body = {'call': call, 'reason': reason}
        return self._success(
            *self._request('POST', '/v1/quarantine/lift', body)
        )

    def _request(
        self, method: str, path: str, body: typing.Any
    ) -> tuple[int, dict[str, typing.Any]]:
        url = self._url + path
        headers = {}
        if self._token is not None:
            headers['Authorization'] = f'Bearer {self._token}'
        try:
            status, content = self._pool.fetch(
                method,
                url,
                max_bytes=MAX_ANSWER_BYTES,
                headers=headers,
                json=body,
                redirect=False,
            )
        except urllib3.exceptions.HTTPError as error:
            raise exceptions.InstanceUnreachable(
                url=url,
                reason=str(error),
                may_have_arrived=not isinstance(error, _NEVER_CONNECTED),
            )
        return status, _read_object(url, content)

    def _success(
        self, status: int, answer: dict[str, typing.Any]
    ) -> dict[str, typing.Any]:
        if status == 200:
            return answer
        message = str(answer.get('message', f'HTTP status {status}'))
        if status == 401:
            raise exceptions.Unauthorized(message=message)
        if status in (429, 503):
            raise exceptions.ServiceUnavailable(message=message)
        if status < 500:
            raise exceptions.UsageError(message=message)
        raise exceptions.DandeliongwError(message=message)


def _check_url(url: str) -> str:
    parts = urllib.parse.urlsplit(url)
    if parts.scheme not in ('http', 'https') or not parts.netloc:
        raise exceptions.UsageError(
            message=f'--url {url!r}: give one such as http://10.0.1.5:7001'
        )
    return url.rstrip('/')


def _read_object(url: str, body: bytes) -> dict[str, typing.Any]:
    try:
        answer = json.loads(body)
    except ValueError:
        answer = None
    if not isinstance(answer, dict):
        raise exceptions.DandeliongwError(
            message=f'{url} did not answer as a dandeliongw instance does'
        )
    return answer
