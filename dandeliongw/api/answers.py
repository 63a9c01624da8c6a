"""Answers to callers, as JSON or as server-sent events."""

from collections import abc
import json
import time
import typing

from loguru import logger

from .. import engine
from .. import metrics as metrics_module
from .. import verdict
from ..entry import relay


class Facade(typing.Protocol):
    """The server's interface to an answer."""

    def close_relay(self, request_id: str) -> None: ...


class Answer:
    """The answer to one request; records its latencies as metrics."""

    def __init__(
        self,
        *,
        facade: Facade,
        metrics: metrics_module.Metrics,
        request_id: str,
        call_relay: relay.Relay,
    ) -> None:
        self._facade = facade
        self._metrics = metrics
        self._request_id = request_id
        self._service = call_relay.call.service
        self._began_at = time.monotonic()
        self._last_at = self._began_at
        self._pieces = call_relay.pieces()
        self._first: typing.Any = None

    def first(self) -> typing.Any:
        """Wait for the first item, which determines the HTTP status.

        A refusal closes the answer.
        """
        try:
            self._first = self._next()
        except BaseException:
            self.close()
            raise
        if isinstance(self._first, verdict.Refusal):
            self.close()
        return self._first

    def last(self) -> relay.Finished | verdict.Refusal:
        """Wait for the end of the answer and discard its pieces."""
        try:
            item = self._first or self._next()
            while isinstance(item, engine.Piece):
                item = self._next()
            return item
        finally:
            self.close()

    def as_events(self) -> abc.Iterator[bytes]:
        """Yield the answer as server-sent events.

        A complete answer ends with ``[DONE]``. After the first token an error
        can't change the HTTP status any more; it is sent as an ``error``
        event, without ``[DONE]``.
        """
        item = self._first
        while isinstance(item, engine.Piece):
            yield _event(self._chunk(item.text, None))
            item = self._next()
        if isinstance(item, verdict.Refusal):
            fields = refusal_fields(self._request_id, item)
            yield b'event: error\n' + _event(fields)
            return
        text = item.outcome.text if item.replayed else ''
        yield _event(self._chunk(text, 'stop'))
        yield b'data: [DONE]\n\n'

    def close(self) -> None:
        """Close the relay and notify the reducer of it."""
        self._pieces.close()
        self._facade.close_relay(self._request_id)

    def _chunk(self, text: str, finish_reason: str | None) -> dict:
        return {
            'id': self._request_id,
            'object': 'text_completion',
            'choices': [
                {'index': 0, 'text': text, 'finish_reason': finish_reason}
            ],
        }

    def _next(self) -> typing.Any:
        item = next(self._pieces)
        if isinstance(item, engine.Piece):
            self._measure(item)
        elif isinstance(item, relay.Finished):
            self._metrics.count_answer(verdict.Verdict.RAN)
            logger.bind(request_id=self._request_id).info(
                'answered', service=self._service
            )
        return item

    def _measure(self, piece: engine.Piece) -> None:
        now = time.monotonic()
        if piece.offset == 0:
            self._metrics.observe_first_token(
                self._service, now - self._began_at
            )
        else:
            self._metrics.observe_token_gap(self._service, now - self._last_at)
        self._last_at = now


class EventStream:
    """The events of an answer; closes it also if no event was read.

    A generator that was never started runs no ``finally``. Without this
    class, a caller that disconnects between the first token and the headers
    would leave a request that never ends and that keeps its slot.
    """

    def __init__(self, answer: Answer) -> None:
        self._answer = answer
        self._events = answer.as_events()

    def __iter__(self) -> 'EventStream':
        return self

    def __next__(self) -> bytes:
        try:
            return next(self._events)
        except BaseException:
            self.close()
            raise

    def close(self) -> None:
        self._answer.close()


def refusal_fields(
    request_id: str, refusal: verdict.Refusal
) -> dict[str, typing.Any]:
    """Return the JSON fields of the error answer to a caller."""
    return {
        'error': {
            'request_id': request_id,
            'reason': refusal.reason.value,
            'verdict': refusal.verdict.value,
            'message': refusal.message,
            'retry_after_s': refusal.retry_after_s,
        }
    }


def _event(fields: dict[str, typing.Any]) -> bytes:
    return b'data: ' + json.dumps(fields).encode() + b'\n\n'
