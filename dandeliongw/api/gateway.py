"""HTTP front end for calls by host route, which are forwarded unchanged.

One WSGI application for one port. A :class:`HeaderParser` parses the headers
that are specific to a platform; the document's host routes map a host and a
path to services. The handler's thread stays with its call until the answer has
ended.
"""

from collections import abc
import errno
import hashlib
import http
import re
import socket
import typing

from loguru import logger
import msgspec

from .. import clock
from .. import engine
from .. import events
from .. import hosts
from .. import metrics as metrics_module
from .. import verdict
from . import _answer_body
from . import _forwarded_body
from . import calls
from ..entry import relay
from . import http_ports

_REASON = verdict.RefusalReason

#: Hop-by-hop headers, and those that are generated anew.
_HOP_HEADERS = frozenset(
    (
        *('connection', 'keep-alive', 'proxy-connection', 'te', 'trailer'),
        *('proxy-authenticate', 'proxy-authorization', 'upgrade'),
        *('transfer-encoding', 'content-length', 'expect'),
    )
)
_TARGET = re.compile(r'/[\x21\x22\x24-\x7e]{0,8191}')
_HOST = re.compile(r'([a-z0-9.-]{1,253})(:[0-9]{1,5})?')
#: Status of a refused call that has not run, by reason; 503 for the others.
_STATUS_BY_REASON = {
    _REASON.BAD_REQUEST: 400,
    _REASON.TOO_LARGE: 413,
    _REASON.UNKNOWN_ACCOUNT: 401,
    _REASON.UNKNOWN_ROUTE: 404,
    _REASON.ACCOUNT_LIMIT: 429,
}
#: Statuses of refusals that say when to come back.
_STATUSES_WITH_RETRY_AFTER = frozenset((429, 503))
#: The scheme that a refusal for want of a known key asks for.
_AUTHENTICATION_SCHEME = 'Bearer'
#: Default of Retry-After in seconds, for refusals without a value of their
#: own: about the time until the cell of a failed owner has a new owner.
RETRY_AFTER_S = 1.0

Headers = tuple[tuple[str, str], ...]


class CallMetadata(msgspec.Struct, frozen=True, kw_only=True):
    """The attributes of a call that its headers give.

    :param request_id: the caller's identifier of this attempt.
    :param deadline_s: seconds that the caller will wait, or ``None``.
    :param prompt_tokens: length of the prompt in tokens, of a call for a
        model; else 0.
    :param max_tokens: maximum length of the answer in tokens, or 0.
    :param expected_tokens: the caller's estimate of the answer's length in
        tokens, or 0.
    :param pieces_received: number of pieces of the stream that the caller
        received before the stream broke.
    :param resumes: the caller's identifier of the attempt that brought the
        first of these pieces, or ``''``.
    :param prefix: identifiers of the prompt's leading blocks, which other
        calls may share.
    :param shared_parts: see :class:`.events.Call`.
    :param headers: the headers to forward.
    """

    request_id: str
    deadline_s: float | None
    prompt_tokens: int
    max_tokens: int
    expected_tokens: int
    pieces_received: int
    prefix: tuple[str, ...]
    shared_parts: tuple[str, ...]
    headers: Headers
    resumes: str = ''


class HeaderParser(typing.Protocol):
    """Parses the request headers of one platform."""

    def read_call(self, headers: Headers) -> CallMetadata:
        """Parse the headers of a call.

        :raises InvalidCall: for an invalid header; the message names the
            header, the given value and the allowed values.
        """
        ...

    def read_request_id(self, headers: Headers) -> str:
        """Return the caller's request id; "" if it is missing or invalid."""
        ...


class Facade(typing.Protocol):
    """The server's interface to this front end."""

    def open_pass_through(
        self,
        *,
        call: events.Call,
        payload: relay.RequestPayload,
        metadata: CallMetadata,
        caller: socket.socket,
    ) -> relay.Relay:
        """Start a relay for a call and watch the caller's socket."""
        ...

    def close_relay(self, request_id: str) -> None: ...

    @property
    def is_shutting_down(self) -> bool:
        """Whether the instance is shutting down."""
        ...

    @property
    def border(self) -> hosts.BorderLimits: ...


class Gateway:
    """The WSGI application; see the module's documentation."""

    def __init__(
        self,
        *,
        facade: Facade,
        header_parser: HeaderParser,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._facade = facade
        self._header_parser = header_parser
        self._metrics = metrics

    def __call__(
        self, environ: dict[str, typing.Any], start_response: abc.Callable
    ) -> abc.Iterable[bytes]:
        incoming = environ[http_ports.REQUEST_KEY]
        reply = _Reply(
            start_response=start_response,
            incoming=incoming,
            closes=self._facade.is_shutting_down,
        )
        headers = _decode(incoming.inheaders)
        try:
            call, payload, metadata = self._read(environ, headers)
        except calls.InvalidCall as error:
            # Unread bytes of the body would be parsed as another call.
            reply.close_connection()
            refusal = error.refusal()
            self._metrics.count_refusal(refusal)
            logger.bind(
                request_id=self._header_parser.read_request_id(headers)
            ).info(
                'call refused',
                reason=refusal.reason,
                run=refusal.verdict,
                why=refusal.message,
            )
            return reply.refuse(refusal)
        call_relay = self._facade.open_pass_through(
            call=call,
            payload=payload,
            metadata=metadata,
            caller=incoming.conn.socket,
        )
        forwarded = _ForwardedCall(
            call_relay=call_relay,
            facade=self._facade,
            reply=reply,
            metadata=metadata,
            metrics=self._metrics,
        )
        return forwarded.answer()

    def _read(
        self, environ: dict[str, typing.Any], headers: Headers
    ) -> tuple[events.Call, relay.RequestPayload, CallMetadata]:
        incoming = environ[http_ports.REQUEST_KEY]
        target = incoming.uri.decode('latin-1')
        if not _TARGET.fullmatch(target):
            raise calls.InvalidCall(
                f'the path is {target[:80]!r}; it must begin with a slash '
                'and be visible ASCII'
            )
        method = incoming.method.decode('latin-1')
        host = _read_host(headers)
        body = self._read_body(incoming)
        metadata = self._header_parser.read_call(headers)
        path = target.partition('?')[0]
        call = events.Call(
            service='',
            method=method,
            path=path,
            streamed=False,
            key_sha256=_hash_key(headers),
            idempotency_key=None,
            digest=calls.digest(method, target, body),
            prompt_tokens=metadata.prompt_tokens,
            max_tokens=metadata.max_tokens,
            expected_tokens=metadata.expected_tokens,
            prefix=metadata.prefix,
            shared_parts=metadata.shared_parts,
            caller_id=metadata.request_id,
            pieces_received=metadata.pieces_received,
            resumes=metadata.resumes,
            deadline_s=metadata.deadline_s,
            host=host,
            credentials_sha256=_hash_credentials(headers),
            address=environ.get('REMOTE_ADDR', ''),
        )
        payload = relay.RequestPayload(
            method=method,
            path=target,
            body=body,
            headers=_without_hop_headers(metadata.headers),
            is_pass_through=True,
            pieces_received=metadata.pieces_received,
        )
        return call, payload, metadata

    def _read_body(self, incoming: typing.Any) -> bytes:
        max_bytes = self._facade.border.max_body_bytes
        reader = incoming.conn.rfile
        try:
            if b'Transfer-Encoding' in incoming.inheaders:
                return _forwarded_body.read_chunked(reader, max_bytes)
            length = int(incoming.inheaders.get(b'Content-Length', b'0'))
            body = _forwarded_body.read_known(reader, length, max_bytes)
            # Without this, the HTTP server would wait for the body again: it
            # doesn't count bytes that are read from the connection itself.
            incoming.rfile.remaining = 0
            return body
        except OSError as error:
            raise calls.InvalidCall(
                f'the body did not arrive: {error}'
            ) from error


class _Reply:
    """The HTTP answer to one call."""

    def __init__(
        self,
        *,
        start_response: abc.Callable,
        incoming: typing.Any,
        closes: bool,
    ) -> None:
        self._start_response = start_response
        self._incoming = incoming
        if closes:
            self.close_connection()

    def close_connection(self) -> None:
        """Close the connection after this answer."""
        self._incoming.close_connection = True

    def break_off(self) -> None:
        """End the answer so that the caller sees that it is incomplete."""
        if not self._incoming.chunked_write:
            self._incoming.conn.is_broken_off = True

    def start(self, status: int, headers: Headers) -> None:
        """Send status and headers with the first bytes of the body."""
        self._start_response(_status_line(status), list(headers))

    def complete(self, finished: relay.Finished) -> abc.Iterable[bytes]:
        """Start an answer that isn't streamed, and return its body."""
        body = _answer_body.AnswerBody(finished=finished)
        outcome = finished.outcome
        self._start_whole(outcome.status, finished.headers, len(outcome.body))
        return body

    def _start_whole(self, status: int, headers: Headers, length: int) -> None:
        with_length = ('Content-Length', str(length))
        self.start(status, (*_without_hop_headers(headers), with_length))

    def refuse(self, refusal: verdict.Refusal) -> list[bytes]:
        """Start the answer to a refused call, and return its body.

        The status shows whether the call may have run.
        """
        status = _status_of(refusal)
        headers: Headers = (('Content-Type', 'text/plain'),)
        if status in _STATUSES_WITH_RETRY_AFTER:
            wait_s = refusal.retry_after_s or RETRY_AFTER_S
            headers += (('Retry-After', f'{wait_s:.2f}'),)
        if status == http.HTTPStatus.UNAUTHORIZED:
            headers += (('WWW-Authenticate', _AUTHENTICATION_SCHEME),)
        body = f'{refusal.reason}: {refusal.message}\n'.encode()
        self._start_whole(status, headers, len(body))
        return [body]


class _ForwardedCall:
    """One forwarded call; iterates over the answer's body."""

    def __init__(
        self,
        *,
        call_relay: relay.Relay,
        facade: Facade,
        reply: _Reply,
        metadata: CallMetadata,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._facade = facade
        self._metrics = metrics
        self._reply = reply
        self._request_id = call_relay.request_id
        self._items = call_relay.pieces()
        self._began_at = clock.now()
        self._first_at: float | None = None
        self._pieces = 0
        self._call = call_relay.call
        self._log = logger.bind(
            request_id=metadata.request_id, host=call_relay.call.host
        )

    def answer(self) -> abc.Iterable[bytes]:
        """Return the body, complete or as a stream."""
        try:
            first = next(self._items)
        except BaseException:
            self.close()
            raise
        if isinstance(first, engine.ResponseHead):
            headers = _without_hop_headers(first.headers)
            self._reply.start(first.status, headers)
            return self
        self.close()
        if isinstance(first, verdict.Refusal):
            self._log_end(
                'refused',
                reason=first.reason,
                run=first.verdict,
                why=first.message,
                retry_after_s=first.retry_after_s,
            )
            return self._reply.refuse(first)
        self._metrics.count_answer(verdict.Verdict.RAN)
        self._log_end('answered', status=first.outcome.status)
        return self._reply.complete(first)

    def __iter__(self) -> '_ForwardedCall':
        return self

    def __next__(self) -> bytes:
        try:
            item = next(self._items)
        except BaseException:
            self.close()
            raise
        if isinstance(item, engine.Piece):
            self._pieces += 1
            if self._first_at is None:
                self._first_at = clock.now()
            return item.data
        self.close()
        if isinstance(item, verdict.Refusal):
            self._log_end(
                'broken off',
                reason=item.reason,
                run=item.verdict,
                why=item.message,
                pieces=self._pieces,
            )
            self._reply.break_off()
            # Ends the connection without the last chunk, so that the caller
            # can see that the body is incomplete. The HTTP server handles
            # this error as a disconnected caller.
            raise BrokenPipeError(errno.EPIPE, item.message)
        self._metrics.count_answer(verdict.Verdict.RAN)
        self._log_end(
            'streamed',
            first_ms=self._since_begin_ms(self._first_at),
            pieces=self._pieces,
            prompt_tokens=self._call.prompt_tokens,
            max_tokens=self._call.max_tokens,
        )
        raise StopIteration

    def close(self) -> None:
        """Close the relay and notify the reducer of it."""
        self._items.close()
        self._facade.close_relay(self._request_id)

    def _log_end(self, result: str, **fields: typing.Any) -> None:
        took_ms = self._since_begin_ms(clock.now())
        self._log.info(f'call {result}', took_ms=took_ms, **fields)

    def _since_begin_ms(self, at: float | None) -> int | None:
        return None if at is None else round((at - self._began_at) * 1000)


def _status_of(refusal: verdict.Refusal) -> int:
    """Return a status that means "not run" only if that is certain."""
    if refusal.verdict is verdict.Verdict.NOT_RUN:
        return _STATUS_BY_REASON.get(refusal.reason, 503)
    return 504 if refusal.reason is _REASON.DEADLINE_PASSED else 502


def _status_line(status: int) -> str:
    try:
        return f'{status} {http.HTTPStatus(status).phrase}'
    except ValueError:
        return f'{status} Unknown'


def _decode(headers: abc.Mapping[bytes, bytes]) -> Headers:
    return tuple(
        (name.decode('latin-1'), value.decode('latin-1'))
        for name, value in headers.items()
    )


def _read_host(headers: Headers) -> str:
    given = dict(headers).get('Host', '')
    found = _HOST.fullmatch(given.lower())
    if found is None:
        raise calls.InvalidCall(
            f'Host: given {given[:80]!r}; must be a name, with a port or not'
        )
    return found[1]


def _hash_credentials(headers: Headers) -> str:
    given = _credentials(headers)
    if not given:
        return ''
    return hashlib.sha256('\n'.join(given).encode()).hexdigest()


def _hash_key(headers: Headers) -> str:
    """Return the digest of the caller's key, ``''`` if it gave nothing.

    Anything else than one key yields a digest that no key has, so that such
    a call passes neither for that of an account nor for an anonymous one. No
    key contains a line feed.
    """
    given = _credentials(headers)
    if not given:
        return ''
    key = calls.hash_account_key(given[0]) if len(given) == 1 else ''
    return key or hashlib.sha256('\n'.join(['', *given]).encode()).hexdigest()


def _credentials(headers: Headers) -> list[str]:
    return [
        value for name, value in headers if name.lower() == 'authorization'
    ]


def _without_hop_headers(headers: Headers) -> Headers:
    """Drop hop-by-hop headers, also those that ``Connection`` lists."""
    named = {
        each.strip().lower()
        for name, value in headers
        if name.lower() == 'connection'
        for each in value.split(',')
    }
    dropped = _HOP_HEADERS | named
    return tuple(
        (name, value) for name, value in headers if name.lower() not in dropped
    )
