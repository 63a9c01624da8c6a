"""What a backend server can be asked, whatever it speaks.

:mod:`.http_backends` has those that speak this project's own HTTP; a platform
brings others.
"""

from collections import abc
import typing

import msgspec

from . import verdict


class EngineError(Exception):
    """A call to a backend server failed.

    :param known: whether the call may have run there.
    :param reason: the backend server's own word, or ``''``.
    :param is_cut: the connection ended, at its other end or on its way,
        before the answer was whole.
    """

    def __init__(
        self,
        message: str,
        *,
        known: verdict.Verdict,
        reason: str = '',
        is_cut: bool = False,
    ) -> None:
        super().__init__(message)
        self.known = known
        self.reason = reason
        self.is_cut = is_cut


class StalledError(EngineError):
    """Nothing came for longer than the time-out; the link may be dead."""


class Prefilled(msgspec.Struct, frozen=True, kw_only=True):
    """A prompt that was computed.

    :param kv: handle of the result, which the engine soon evicts.
    :param known: whether the call has begun to run by that.
    """

    kv: str
    tokens: int
    cached_tokens: int
    known: verdict.Verdict = verdict.Verdict.RAN


class Head(msgspec.Struct, frozen=True, kw_only=True):
    """Status and headers of an answer that is passed on as it comes."""

    status: int
    headers: tuple[tuple[str, str], ...]


class Piece(msgspec.Struct, frozen=True, kw_only=True):
    """Some text of a stream, or its end mark.

    :param offset: number of tokens before this piece; for the end mark,
        the number of tokens of the whole answer.
    :param data: the piece as its engine sent it, where it is passed on.
    """

    attempt_id: str
    offset: int
    text: str
    is_end: bool = False
    data: bytes = b''


class Reply(msgspec.Struct, frozen=True, kw_only=True):
    """A plain service's answer, read to its end."""

    status: int
    content_type: str
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()


class Engine(typing.Protocol):
    """A model engine, in either role.

    ``deadline_s`` is how long anybody waits for the result.
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
    ) -> abc.Generator[Piece | Head, None, None]: ...

    def cancel(self, *, stream_id: str, attempt_id: str) -> None: ...

    def streams(self) -> tuple[tuple[str, str], ...]: ...

    def abort(self) -> None:
        """Break off the call in progress, from any thread."""
        ...


class PlainCaller(typing.Protocol):
    """Sends one call to a plain service."""

    def call(
        self,
        *,
        method: str,
        path: str,
        body: bytes,
        headers: abc.Mapping[str, str],
        most_bytes: int,
    ) -> Reply: ...

    def abort(self) -> None:
        """Break off the call in progress, from any thread."""
        ...
