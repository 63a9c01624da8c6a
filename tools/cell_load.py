"""Replays a load of many accounts and ranks on a real cell, in virtual time.

Engines answer at their nominal speed. Memory counts as the owner counts it;
``tools/load.py`` has the larger model, with engines that refuse work.
"""

import collections
from collections import abc
import heapq
import itertools
import random
import typing

import msgspec

from dandeliongw.cell import cell_types
from dandeliongw.cell import cells
from dandeliongw.coordination import parts

#: Seconds between two ticks of the owner.
TICK_S = 0.05
#: Seconds between two renewals of a booking.
RENEW_S = 1.0
#: A refused caller comes again if Retry-After is at most this part of its
#: remaining time.
RETRY_PART = 1.0 / 3.0


class Work(msgspec.Struct, frozen=True, kw_only=True):
    """A kind of calls that an account sends.

    :param per_s: calls per second; it may depend on the time.
    :param tokens: of the answer on average; a caller's hint has no error.
    :param seconds: duration of a plain call on average.
    """

    account: str
    priority: str
    per_s: abc.Callable[[float], float]
    stage: cell_types.Stage = cell_types.Stage.PAIR
    prompt_tokens: int = 3200
    tokens: int = 1136
    max_tokens: int = 2720
    seconds: float = 0.0
    deadline_s: float = 14.0


class Result(msgspec.Struct, kw_only=True):
    """What became of the calls of one account and priority.

    :param in_time: placed within the wait that was given to :func:`replay`.
    :param expired: admitted to the queue and refused later.
    """

    asked: int = 0
    placed: int = 0
    in_time: int = 0
    declined: int = 0
    expired: int = 0


class _Call(msgspec.Struct, kw_only=True):
    work: Work
    since: float
    seconds: float
    tokens: int
    resent: bool = False
    is_queued: bool = False
    is_over: bool = False


class Replay:
    """One run; ``results_by_key`` has the outcome by (account, priority).

    :param timely_s: longest wait for a place that counts as in time.
    :param measured: start and end of the arrivals that count.
    """

    def __init__(
        self,
        cell: cells.Cell,
        works: abc.Sequence[Work],
        *,
        timely_s: float,
        measured: tuple[float, float],
        seed: int = 1,
    ) -> None:
        self._cell = cell
        self._timely_s = timely_s
        self._measured = measured
        self._random = random.Random(seed)
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, typing.Any, tuple]] = []
        self._calls_by_id: dict[str, _Call] = {}
        self.results_by_key: dict[tuple[str, str], Result] = (
            collections.defaultdict(Result)
        )
        #: Refusals by message, with numbers and names left in.
        self.messages: collections.Counter[str] = collections.Counter()
        self._push(0.0, self._tick)
        for work in works:
            self._push_next(0.0, work)

    def run(self, seconds: float) -> None:
        while self._events and self._events[0][0] < seconds:
            now, _, handler, arguments = heapq.heappop(self._events)
            handler(now, *arguments)

    def _push(self, at: float, handler: typing.Any, *arguments) -> None:
        number = next(self._numbers)
        heapq.heappush(self._events, (at, number, handler, arguments))

    def _push_next(self, now: float, work: Work) -> None:
        rate = max(work.per_s(now), 0.01)
        gap_s = min(self._random.expovariate(rate), 1.0 / TICK_S)
        self._push(now + gap_s, self._arrive, work)

    def _tick(self, now: float) -> None:
        self._apply(now, self._cell.handle(parts.Ticked(now=now, entropy=1)))
        self._push(now + TICK_S, self._tick)

    def _arrive(self, now: float, work: Work) -> None:
        self._push_next(now, work)
        spread = self._random.lognormvariate(-0.125, 0.5)
        tokens = max(1, min(int(work.tokens * spread), work.max_tokens))
        call = _Call(
            work=work, since=now, seconds=work.seconds * spread, tokens=tokens
        )
        self._count(call, 'asked')
        self._book(now, call)

    def _book(self, now: float, call: _Call) -> None:
        request_id = f'r{next(self._numbers)}'
        self._calls_by_id[request_id] = call
        work = call.work
        is_plain = work.stage is cell_types.Stage.PLAIN
        book = cells.Book(
            cell=self._cell.cell_id,
            request_id=request_id,
            attempt_id='a1',
            account=work.account,
            priority=work.priority,
            stage=work.stage,
            prompt_tokens=0 if is_plain else work.prompt_tokens,
            max_tokens=0 if is_plain else work.max_tokens,
            expected_tokens=0 if is_plain else call.tokens,
            prefix=(),
            deadline_s=call.since + work.deadline_s - now,
            resent=call.resent,
        )
        self._send(now, book)

    def _send(self, now: float, message: typing.Any) -> None:
        event = parts.Received(now=now, sender='gw-1', message=message)
        self._apply(now, self._cell.handle(event))

    def _apply(self, now: float, effects: abc.Sequence[typing.Any]) -> None:
        for effect in effects:
            match getattr(effect, 'message', None):
                case cells.Booked() as booked:
                    self._start(now, booked)
                case cells.Queued(request_id=request_id):
                    self._calls_by_id[request_id].is_queued = True
                    self._push(now + RENEW_S, self._renew, request_id)
                case cells.Declined() as declined:
                    self._refuse(now, declined)

    def _start(self, now: float, booked: cells.Booked) -> None:
        call = self._calls_by_id[booked.request_id]
        self._count(call, 'placed')
        if now - call.since <= self._timely_s:
            self._count(call, 'in_time')
        terms = self._cell.view.terms
        if not call.is_queued:
            self._push(now + RENEW_S, self._renew, booked.request_id)
        ends_at = now + booked.start_in_s + call.seconds
        if call.work.stage is cell_types.Stage.PAIR:
            prompt = call.work.prompt_tokens
            done_at = ends_at + prompt / terms.prefill_tokens_per_s
            self._push(done_at, self._end_prefill, booked.request_id)
            moved_s = prompt * terms.kv_bytes_per_token
            moved_s /= terms.link_bytes_per_s
            ends_at = done_at + moved_s
            ends_at += call.tokens / terms.decode_tokens_per_s
        self._push(ends_at, self._end, booked.request_id)

    def _refuse(self, now: float, declined: cells.Declined) -> None:
        call = self._calls_by_id[declined.request_id]
        call.is_over = True
        self.messages[declined.message] += 1
        self._count(call, 'expired' if call.is_queued else 'declined')
        left_s = call.since + call.work.deadline_s - now
        if call.resent or declined.retry_after_s > left_s * RETRY_PART:
            return
        again = _Call(
            work=call.work,
            since=call.since,
            seconds=call.seconds,
            tokens=call.tokens,
            resent=True,
        )
        self._push(now + declined.retry_after_s, self._book, again)

    def _end_prefill(self, now: float, request_id: str) -> None:
        tokens = self._calls_by_id[request_id].work.prompt_tokens
        done = cells.PrefillDone(
            cell=self._cell.cell_id,
            request_id=request_id,
            attempt_id='a1',
            tokens=tokens,
            cached_tokens=0,
        )
        self._send(now, done)

    def _end(self, now: float, request_id: str) -> None:
        call = self._calls_by_id[request_id]
        call.is_over = True
        terms = self._cell.view.terms
        is_plain = call.work.stage is cell_types.Stage.PLAIN
        release = cells.Release(
            cell=self._cell.cell_id,
            request_id=request_id,
            attempt_id='a1',
            outcome=cells.Outcome.DONE,
            answer_pieces=0
            if is_plain
            else max(1, call.tokens // terms.tokens_per_piece),
            token_gap_s=0.0
            if is_plain
            else terms.tokens_per_piece / terms.decode_tokens_per_s,
        )
        self._send(now, release)

    def _renew(self, now: float, request_id: str) -> None:
        if self._calls_by_id[request_id].is_over:
            return
        holding = cells.Holding(request_id=request_id, attempt_id='a1')
        progress = cells.Progress(cell=self._cell.cell_id, bookings=(holding,))
        self._send(now, progress)
        self._push(now + RENEW_S, self._renew, request_id)

    def _count(self, call: _Call, field: str) -> None:
        begins, ends = self._measured
        if begins <= call.since < ends:
            key = (call.work.account, call.work.priority)
            result = self.results_by_key[key]
            setattr(result, field, getattr(result, field) + 1)
