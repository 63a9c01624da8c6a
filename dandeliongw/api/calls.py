"""Parses and validates the calls of callers.

Without I/O. Each error is a :class:`InvalidCall` whose message names the
field, the given value and the allowed values.
"""

from collections import abc
import hashlib
import json
import re
import typing
import urllib.parse

import msgspec

from .. import events
from .. import verdict
from ..cell import prefixes
from ..entry import relay

_REASON = verdict.RefusalReason

MAX_KEY_CHARACTERS = 255
DEFAULT_MAX_TOKENS = 256
MAX_TOKENS_LIMIT = 65536
#: Blocks at the beginning of a prompt that other prompts are taken to share.
#: The blocks after them are mostly the prompt's own.
MAX_SHARED_BLOCKS = 16
_TARGET_PATTERN = re.compile(r'[\x21-\x7e]{1,8192}')
_KEY_PATTERN = re.compile(r'[\x21-\x7e]{1,255}')


class InvalidCall(Exception):
    """An invalid call; it is answered with a refusal."""

    def __init__(
        self, message: str, reason: verdict.RefusalReason = _REASON.BAD_REQUEST
    ) -> None:
        super().__init__(message)
        self.reason = reason

    def refusal(self) -> verdict.Refusal:
        return verdict.Refusal(
            reason=self.reason,
            verdict=verdict.Verdict.NOT_RUN,
            message=str(self),
        )


class Completion(msgspec.Struct, frozen=True, kw_only=True):
    """A validated completions call."""

    call: events.Call
    prompt: str
    stream: bool


def parse_completion(
    body: bytes, headers: abc.Mapping[str, str]
) -> Completion:
    """Parse an OpenAI-style completions call.

    :raises InvalidCall: for an invalid body or header.
    """
    fields = _read_object(body)
    prompt = fields.get('prompt')
    if not isinstance(prompt, str) or not prompt:
        raise InvalidCall(
            f'prompt: given {_json(prompt)}; must be a string that is not '
            'empty (lists and token numbers are not taken)'
        )
    if not _is_unicode(prompt):
        raise InvalidCall('prompt: has half of a surrogate pair')
    max_tokens = fields.get('max_tokens', DEFAULT_MAX_TOKENS)
    is_count = isinstance(max_tokens, int) and max_tokens is not True
    if not is_count or not 1 <= max_tokens <= MAX_TOKENS_LIMIT:
        raise InvalidCall(
            f'max_tokens: given {_json(max_tokens)}; must be a whole number '
            f'from 1 to {MAX_TOKENS_LIMIT}'
        )
    stream = fields.get('stream', False)
    if not isinstance(stream, bool):
        raise InvalidCall(
            f'stream: given {_json(stream)}; must be true or false'
        )
    model = fields.get('model')
    if not isinstance(model, str) or not _is_unicode(model):
        raise InvalidCall(
            f'model: given {_json(model)}; must be the name of a service'
        )
    prefix = prefixes.hash_blocks(prompt)
    call = events.Call(
        service=model,
        method='POST',
        path='/v1/completions',
        streamed=True,
        key_sha256=hash_account_key(headers.get('Authorization', '')),
        idempotency_key=_idempotency_key(headers),
        digest=digest('POST', '/v1/completions', body),
        prompt_tokens=len(prompt.split()),
        max_tokens=max_tokens,
        prefix=prefix,
        shared_parts=prefix[:MAX_SHARED_BLOCKS],
        priority=headers.get('X-Priority'),
        deadline_s=_deadline(headers),
    )
    return Completion(call=call, prompt=prompt, stream=stream)


class Target(msgspec.Struct, frozen=True, kw_only=True):
    """The target of a call, from the request line.

    :param segments: the first two segments of the path, decoded.
    :param rest: the path after them, as it was sent, with the query.
    :param path: ``rest`` without the query, decoded; routes match it.
    """

    segments: tuple[str, ...]
    rest: str
    path: str


def parse_target(uri: str) -> Target:
    """Parse the URI of a request line.

    CherryPy's own path has lost trailing and doubled slashes and the percent
    encoding. A plain service must get the path that its caller sent, and
    the document's routes must match the same path that the service sees.

    :raises InvalidCall: for an ambiguous path, which two programs could
        resolve differently.
    """
    if not _TARGET_PATTERN.fullmatch(uri):
        raise InvalidCall(
            f'the path is {uri[:80]!r}; it must be visible ASCII, all else '
            'percent-encoded'
        )
    parts = urllib.parse.urlsplit(uri)
    _, first, *others = [*parts.path.split('/', 3), '', '', ''][:4]
    rest = '/' + others[1]
    path = _decode_path(rest)
    query = f'?{parts.query}' if parts.query else ''
    return Target(
        segments=tuple(_decode_path(each) for each in (first, others[0])),
        rest=rest + query,
        path=path,
    )


def _decode_path(raw: str) -> str:
    try:
        path = urllib.parse.unquote(raw, errors='strict')
    except UnicodeDecodeError as error:
        raise InvalidCall(f'the path is not UTF-8: {raw[:80]!r}') from error
    # A service that resolves ".." would run a call of another route than the
    # one that was matched here, which may differ in being idempotent.
    if {'.', '..'} & set(re.split(r'[/\\]', path)) or '%2f' in raw.lower():
        raise InvalidCall(
            f'the path is {path[:80]!r}; it must not have "." or ".." '
            'as a part, nor an encoded slash'
        )
    if not path.isprintable():
        raise InvalidCall(f'the path has control characters: {path[:80]!r}')
    return path


def parse_plain_call(
    target: Target, body: bytes, request: typing.Any
) -> tuple[events.Call, relay.RequestPayload]:
    """Parse a call for a plain service.

    :raises InvalidCall: for an invalid header.
    """
    headers = request.headers
    call = events.Call(
        service=target.segments[1],
        method=request.method,
        path=target.path,
        streamed=False,
        key_sha256=hash_account_key(headers.get('Authorization', '')),
        idempotency_key=_idempotency_key(headers),
        digest=digest(request.method, target.rest, body),
        priority=headers.get('X-Priority'),
        deadline_s=_deadline(headers),
    )
    passed = tuple(
        (name, headers[name])
        for name in relay.PASSED_HEADERS
        if name in headers
    )
    return call, relay.RequestPayload(
        path=target.rest, body=body, headers=passed
    )


def _read_object(body: bytes) -> dict[str, typing.Any]:
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise InvalidCall(f'the body is not JSON: {error}') from error
    if not isinstance(fields, dict):
        raise InvalidCall('the body must be a JSON object')
    return fields


def _json(value: typing.Any) -> str:
    """Return a value as JSON, at most 80 characters of it."""
    return json.dumps(value)[:80]


def _is_unicode(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def hash_account_key(authorization: str) -> str:
    """Return the SHA-256 of the key in an ``Authorization`` header.

    :returns: the hexadecimal digest; ``''`` without a key, also for another
        scheme than ``Bearer``.
    """
    scheme, _, key = authorization.strip().partition(' ')
    key = key.strip()
    if scheme.lower() != 'bearer' or not key:
        return ''
    return hashlib.sha256(key.encode()).hexdigest()


def _idempotency_key(headers: abc.Mapping[str, str]) -> str | None:
    key = headers.get('Idempotency-Key')
    if key is not None and not _KEY_PATTERN.fullmatch(key):
        raise InvalidCall(
            f'Idempotency-Key: given {key!r}; must be 1 to '
            f'{MAX_KEY_CHARACTERS} visible ASCII characters'
        )
    return key


def _deadline(headers: abc.Mapping[str, str]) -> float | None:
    text = headers.get('X-Deadline-S')
    if text is None:
        return None
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    if not 0 < seconds < float('inf'):
        raise InvalidCall(
            f'X-Deadline-S: given {text!r}; must be seconds, more than 0'
        )
    return seconds


def digest(method: str, target: str, body: bytes) -> bytes:
    """Return the SHA-256 of a call; calls that differ have different ones.

    :param target: path and query, as they were sent.
    """
    hasher = hashlib.sha256(f'{method} {target}\n'.encode())
    hasher.update(body)
    return hasher.digest()
