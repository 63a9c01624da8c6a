"""Interfaces of backend servers, independent of their protocol.

:mod:`.http_backends` implements them for this project's own HTTP API. A
platform adapter brings other implementations.
"""

from collections import abc
import typing

import msgspec

from . import answer_memory
from . import verdict


class EngineError(Exception):
    """A call to a backend server failed.

    :param known: what is known about whether the call ran there.
    :param reason: reason code in the backend server's answer, or ``''``.
    :param is_cut: whether the connection was closed or lost before the answer
        was complete, and not by this process.
    :param is_unsent: whether no byte of the call was written.
    :param rest_s: seconds for which the backend server wants no request from
        this instance; 0 if it asks for none.
    :param is_leaving: whether the backend server says that it leaves.
    """

    def __init__(
        self,
        message: str,
        *,
        known: verdict.Verdict,
        reason: str = '',
        is_cut: bool = False,
        is_unsent: bool = False,
        rest_s: float = 0.0,
        is_leaving: bool = False,
    ) -> None:
        super().__init__(message)
        self.rest_s = rest_s
        self.is_leaving = is_leaving
        self.known = known
        self.reason = reason
        self.is_cut = is_cut
        self.is_unsent = is_unsent


class StalledError(EngineError):
    """No data arrived within the timeout; the connection may be dead."""


class RateLimitObserver(typing.Protocol):
    """Is told which rate limit the head of each answer states."""

    def __call__(self, per_s: float | None) -> None:
        """Note what an answer states.

        :param per_s: requests per second that the backend server accepts from
            all instances together; ``None`` if the answer states no limit.
        """
        ...


def ignore_rate_limit(per_s: float | None) -> None:
    """Ignore what an answer states; a :class:`RateLimitObserver`."""


class Prefilled(msgspec.Struct, frozen=True, kw_only=True):
    """Result of a prefill.

    :param kv: handle of the KV cache; the engine evicts it soon.
    :param tokens: prompt tokens computed.
    :param cached_tokens: prompt tokens that the prefix cache saved.
    :param known: what the prefill proves about whether the call ran.
    :param is_leaving: see :class:`EngineError`.
    """

    kv: str
    tokens: int
    cached_tokens: int
    known: verdict.Verdict = verdict.Verdict.RAN
    is_leaving: bool = False


class ResponseHead(msgspec.Struct, frozen=True, kw_only=True):
    """Status and headers of an answer that is streamed to the caller.

    :param is_leaving: see :class:`EngineError`.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    is_leaving: bool = False


class Piece(msgspec.Struct, frozen=True, kw_only=True):
    """A piece of a stream's text, or the end mark of the stream.

    :param offset: number of tokens before this piece; for the end mark,
        the number of tokens of the whole answer.
    :param data: the bytes that the engine sent, for an answer that is passed
        on unchanged.
    """

    attempt_id: str
    offset: int
    text: str
    is_end: bool = False
    data: bytes = b''


class Reply(msgspec.Struct, frozen=True, kw_only=True):
    """The complete answer of a plain service.

    :param rest_s: see :class:`EngineError`, as for ``is_leaving``.
    :param holding: what is held of it, to be released when it was sent on.
    """

    status: int
    content_type: str
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()
    rest_s: float = 0.0
    is_leaving: bool = False
    holding: answer_memory.Holding | None = None


class BackendCall(typing.Protocol):
    """A call to a backend server that may block a thread."""

    def abort(self) -> None:
        """Break off the call in progress, from any thread."""
        ...

    def withdraw(self, *, is_forced: bool) -> None:
        """Break off a call that the backend server seems not to have got.

        Has no effect once any byte of an answer has come. From any thread.

        :param is_forced: whether that no byte has come is enough; otherwise
            something of the call must be unacknowledged by the other end.
        """
        ...


class Engine(BackendCall, typing.Protocol):
    """A model engine, in the prefill or decode role.

    ``deadline_s`` is the number of seconds after which the result is no
    longer needed.
    """

    def prefill(
        self,
        *,
        stream_id: str,
        attempt_id: str,
        prompt: str,
        priority: int,
        fence: int,
        deadline_s: float,
    ) -> Prefilled: ...

    def import_kv(
        self,
        *,
        stream_id: str,
        attempt_id: str,
        kv: str,
        source_url: str,
        fence: int,
        deadline_s: float,
    ) -> None: ...

    def decode(
        self,
        *,
        stream_id: str,
        attempt_id: str,
        max_tokens: int,
        from_offset: int,
        deadline_s: float,
    ) -> abc.Generator[Piece | ResponseHead, None, None]: ...

    def cancel(self, *, stream_id: str, attempt_id: str) -> None: ...

    def streams(self) -> tuple[tuple[str, str], ...]: ...


class PlainServiceAdapter(BackendCall, typing.Protocol):
    """Sends a single call to a plain service."""

    def call(
        self,
        *,
        method: str,
        path: str,
        body: bytes,
        headers: abc.Mapping[str, str],
        max_bytes: int,
    ) -> Reply: ...
