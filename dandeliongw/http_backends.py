"""Adapters for backend servers that implement this project's HTTP API."""

from collections import abc
import contextlib
import json
import typing

from . import answer_memory
from . import engine
from . import exchange as exchanges
from . import paths
from . import settings as settings_module
from . import verdict

#: Reason codes by which an engine states that it did not run a call. Any
#: other error, such as a plain 500 or the answer of a proxy in between, proves
#: nothing.
NOT_RUN_REASONS = frozenset(
    ('busy', 'full', 'evicted', 'stalled', 'fenced', 'unknown')
)
#: Header by which a plain service states, with status 503, that it did not run
#: a call.
NOT_RUN_HEADER = 'X-Not-Run'
#: Header by which a backend server states how many requests per second it
#: accepts from all instances together.
RATE_LIMIT_HEADER = 'X-Requests-Per-S'


class HttpEngine:
    """A model engine with this API; an :class:`.engine.Engine`."""

    #: Size limit of a JSON answer.
    MAX_ANSWER_BYTES = 1 << 20

    def __init__(
        self,
        *,
        url: str,
        connect_s: float,
        first_byte_s: float,
        stall_s: float,
        on_rate_limit: engine.RateLimitObserver = engine.ignore_rate_limit,
        connector: paths.Connector | None = None,
        memory: answer_memory.AnswerMemory | None = None,
    ) -> None:
        self.url = url
        self._connector = connector
        self._memory = memory
        self._on_rate_limit = on_rate_limit
        self._connect_s = connect_s
        self._first_byte_s = first_byte_s
        self._stall_s = stall_s
        self._current: exchanges.Exchange | None = None
        self._aborted = False

    def prefill(
        self,
        *,
        stream_id: str,
        attempt_id: str,
        prompt: str,
        priority: int,
        fence: int,
        deadline_s: float,
    ) -> engine.Prefilled:
        answer = self._post_json(
            '/v1/prefill',
            {
                'stream_id': stream_id,
                'attempt_id': attempt_id,
                'prompt': prompt,
                'priority': priority,
                'fence': fence,
            },
            deadline_s,
        )
        with _field_errors_as_engine_errors(answer):
            return engine.Prefilled(
                kv=str(answer['kv']),
                tokens=int(answer['tokens']),
                cached_tokens=int(answer.get('cached_tokens', 0)),
            )

    def import_kv(
        self,
        *,
        stream_id: str,
        attempt_id: str,
        kv: str,
        source_url: str,
        fence: int,
        deadline_s: float,
    ) -> None:
        self._post_json(
            '/v1/import',
            {
                'stream_id': stream_id,
                'attempt_id': attempt_id,
                'kv': kv,
                'source_url': source_url,
                'fence': fence,
            },
            deadline_s,
        )

    def decode(
        self,
        *,
        stream_id: str,
        attempt_id: str,
        max_tokens: int,
        from_offset: int,
        deadline_s: float,
    ) -> abc.Generator[engine.Piece, None, None]:
        body = {
            'stream_id': stream_id,
            'attempt_id': attempt_id,
            'max_tokens': max_tokens,
            'from_offset': from_offset,
        }
        with self._exchange(self._stall_s) as exchange:
            response = self._post(exchange, '/v1/decode', body, deadline_s)
            self._raise_unless_ok(exchange, response)
            for line in exchange.lines(response):
                if line.startswith(b'data:'):
                    # The text of the pieces is kept to resume the stream.
                    exchange.note_kept(len(line))
                    yield _read_piece(line[5:])

    def cancel(self, *, stream_id: str, attempt_id: str) -> None:
        self._post_json(
            '/v1/cancel', {'stream_id': stream_id, 'attempt_id': attempt_id}
        )

    def streams(self) -> tuple[tuple[str, str], ...]:
        """Return stream id and attempt id of each stream on the engine."""
        with self._exchange(self._first_byte_s) as exchange:
            response = exchange.send('GET', '/v1/streams', b'', {})
            self._raise_unless_ok(exchange, response)
            answer = read_json(exchange.read(response, self.MAX_ANSWER_BYTES))
        return tuple(
            (str(each['stream_id']), str(each['attempt_id']))
            for each in answer['streams']
        )

    def order(
        self,
        *,
        order_id: str,
        order: str,
        value: str,
        fence: int,
        timeout_s: float,
    ) -> None:
        """Load a model, adapter or version, or change the engine's role.

        :param order_id: the same for each repetition of an order.
        :param timeout_s: seconds without data after which the order fails.
        :raises EngineError: with reason ``fenced`` if the engine has seen a
            higher fencing number.
        """
        body = {
            'order_id': order_id,
            'order': order,
            'value': value,
            'fence': fence,
        }
        with self._exchange(timeout_s) as exchange:
            response = self._post(exchange, '/v1/order', body, None)
            self._raise_unless_ok(exchange, response)
            exchange.read(response, self.MAX_ANSWER_BYTES)

    def abort(self) -> None:
        self._aborted = True
        if self._current is not None:
            self._current.abort()

    def withdraw(self, *, is_forced: bool) -> None:
        if self._current is not None:
            self._current.withdraw(is_forced=is_forced)

    @contextlib.contextmanager
    def _exchange(self, read_s: float) -> abc.Iterator[exchanges.Exchange]:
        exchange = exchanges.Exchange(
            url=self.url,
            connect_s=self._connect_s,
            read_s=read_s,
            connector=self._connector,
            memory=self._memory,
        )
        self._current = exchange
        if self._aborted:
            exchange.abort()
        try:
            exchange.open()
            yield exchange
        finally:
            self._current = None
            exchange.close()

    def _post_json(
        self, path: str, body: dict, deadline_s: float | None = None
    ) -> dict:
        with self._exchange(self._first_byte_s) as exchange:
            response = self._post(exchange, path, body, deadline_s)
            self._raise_unless_ok(exchange, response)
            return read_json(exchange.read(response, self.MAX_ANSWER_BYTES))

    def _post(
        self,
        exchange: exchanges.Exchange,
        path: str,
        body: dict,
        deadline_s: float | None,
    ) -> typing.Any:
        headers = {'Content-Type': 'application/json'}
        if deadline_s is not None:
            headers['X-Deadline-S'] = f'{deadline_s:.3f}'
        response = exchange.send(
            'POST', path, json.dumps(body).encode(), headers
        )
        exchanges.report_rate_limit(
            response, RATE_LIMIT_HEADER, self._on_rate_limit
        )
        return response

    def _raise_unless_ok(
        self, exchange: exchanges.Exchange, response: typing.Any
    ) -> None:
        if response.status == 200:
            return
        answer = read_json(exchange.read(response, self.MAX_ANSWER_BYTES))
        reason = str(answer.get('reason', ''))
        raise engine.EngineError(
            f'{self.url} answered {response.status}: {answer}',
            known=(
                verdict.Verdict.NOT_RUN
                if reason in NOT_RUN_REASONS
                else verdict.Verdict.MAY_HAVE_RUN
            ),
            reason=reason,
        )


def read_json(body: bytes) -> dict:
    """Return the JSON object in an answer.

    :raises EngineError: when the answer is anything else.
    """
    try:
        answer = json.loads(body)
    except (ValueError, RecursionError):
        answer = None
    if not isinstance(answer, dict):
        raise engine.EngineError(
            f'not a JSON object: {body[:80]!r}',
            known=verdict.Verdict.MAY_HAVE_RUN,
        )
    return answer


def _read_piece(data: bytes) -> engine.Piece:
    answer = read_json(data)
    is_end = bool(answer.get('end'))
    with _field_errors_as_engine_errors(answer):
        return engine.Piece(
            attempt_id=str(answer.get('attempt_id', '')),
            offset=int(answer['tokens'] if is_end else answer['offset']),
            text=str(answer.get('text', '')),
            is_end=is_end,
        )


@contextlib.contextmanager
def _field_errors_as_engine_errors(answer: dict) -> abc.Iterator[None]:
    """Raise an ``EngineError`` if a field is missing or has a bad value."""
    try:
        yield
    except (KeyError, TypeError, ValueError) as error:
        raise engine.EngineError(
            f'an answer that is not understood, {error!r} in '
            f'{str(answer)[:80]}',
            known=verdict.Verdict.MAY_HAVE_RUN,
        ) from error


class PlainService:
    """One call to a plain service, forwarded as the caller sent it."""

    def __init__(
        self,
        *,
        url: str,
        connect_s: float,
        timeout_s: float,
        on_rate_limit: engine.RateLimitObserver = engine.ignore_rate_limit,
        connector: paths.Connector | None = None,
        memory: answer_memory.AnswerMemory | None = None,
    ) -> None:
        self.url = url
        self._on_rate_limit = on_rate_limit
        self._exchange = exchanges.Exchange(
            url=url,
            connect_s=connect_s,
            read_s=timeout_s,
            connector=connector,
            memory=memory,
        )

    def call(
        self,
        *,
        method: str,
        path: str,
        body: bytes,
        headers: abc.Mapping[str, str],
        max_bytes: int,
    ) -> engine.Reply:
        """Return the complete answer.

        :raises EngineError: its ``known`` is ``NOT_RUN`` only if no connection
            was made, or if the service answered 503 with
            ``X-Not-Run: true``. It is ``RAN`` if the answer is too long.
        """
        try:
            self._exchange.open()
            response = self._exchange.send(method, path, body, headers)
            exchanges.report_rate_limit(
                response, RATE_LIMIT_HEADER, self._on_rate_limit
            )
            content = self._exchange.read(response, max_bytes)
            is_not_run = response.headers.get(NOT_RUN_HEADER, '') == 'true'
            if response.status == 503 and is_not_run:
                raise engine.EngineError(
                    f'{self.url} is busy',
                    known=verdict.Verdict.NOT_RUN,
                    reason='busy',
                )
            return engine.Reply(
                status=response.status,
                content_type=response.headers.get('Content-Type', ''),
                body=content,
                holding=self._exchange.keep_answer(),
            )
        finally:
            self._exchange.close()

    def abort(self) -> None:
        self._exchange.abort()

    def withdraw(self, *, is_forced: bool) -> None:
        self._exchange.withdraw(is_forced=is_forced)


class HttpBackends:
    """Makes the HTTP adapters of a request's backend servers.

    :param connector: makes the connections of calls; cancels and orders come
        from the instance that sends them, so they are connected directly.
    :param memory: the account of what is held of answers.
    """

    def __init__(
        self,
        *,
        timeouts: settings_module.Timeouts,
        connector: paths.Connector | None = None,
        memory: answer_memory.AnswerMemory | None = None,
    ) -> None:
        self._timeouts = timeouts
        self._connector = connector
        self._memory = memory

    def model_engine(
        self,
        url: str,
        backend_id: str,
        pieces_received: int,
        told_account: str | None,
        on_rate_limit: engine.RateLimitObserver,
    ) -> HttpEngine:
        return self._engine(url, on_rate_limit, self._connector)

    def engine_at(self, url: str, backend_id: str) -> HttpEngine:
        """Return the adapter that sends cancels and orders."""
        return self._engine(url, engine.ignore_rate_limit, None)

    def _engine(
        self,
        url: str,
        on_rate_limit: engine.RateLimitObserver,
        connector: paths.Connector | None,
    ) -> HttpEngine:
        return HttpEngine(
            url=url,
            connect_s=self._timeouts.connect_s,
            first_byte_s=self._timeouts.first_byte_s,
            stall_s=self._timeouts.stall_s,
            on_rate_limit=on_rate_limit,
            connector=connector,
            memory=self._memory,
        )

    def plain_service(
        self,
        url: str,
        backend_id: str,
        timeout_s: float,
        told_account: str | None,
        on_rate_limit: engine.RateLimitObserver,
    ) -> PlainService:
        return PlainService(
            url=url,
            connect_s=self._timeouts.connect_s,
            timeout_s=timeout_s,
            on_rate_limit=on_rate_limit,
            connector=self._connector,
            memory=self._memory,
        )
