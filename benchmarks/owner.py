"""Measures the processor time of the decisions of a cell's owner.

Replays streams on a real cell in virtual time: 38 per second, with a burst of
150 per second for 6 s. Prints one JSON line for each second, and one for the
burst and for each of the other two spans of time::

    python -m benchmarks.owner
    python -m benchmarks.owner --engines 180 --scale 4

To compare two checkouts, run it in each, by turns, as other work on the
machine changes the figures.
"""

import argparse
import collections
import heapq
import itertools
import json
import random
import time
import typing

from dandeliongw.cell import cell_types
from dandeliongw.cell import cells
from dandeliongw.cell import scheduler
from dandeliongw.coordination import parts

CELL = 'model/north/0'
RANKS = {'rank-0': 5.34, 'rank-1': 21.5, 'rank-2': 10.8}
TERMS = cell_types.CellTerms(
    first_token_s=0.8,
    token_gap_s=0.3,
    timeout_s=60.0,
    prefill_tokens_per_s=30_000.0,
    decode_tokens_per_s=320.0,
    tokens_per_piece=16,
    kv_bytes_per_token=163_840.0,
    link_bytes_per_s=1_100e9 / 8,
    kv_tokens_by_role={'decode': 29_014, 'prefill': 29_014},
    max_wait_s_by_priority=dict.fromkeys(RANKS, 2.3),
    rank_by_priority={name: rank for rank, name in enumerate(RANKS)},
    share_by_account={f'a{number}': 1.0 for number in range(16)},
)
#: Engines of the deployment, and how many of them do prefills.
ENGINES = 45
PREFILL_PART = 8 / 45
SLOTS = 32
USUAL_PER_S = 38.0
BURST_PER_S = 150.0
BURST = (5.0, 11.0)
SECONDS = 16
TICK_S = 0.05
#: Seconds from the answer of the owner to the end of a prefill.
PREFILL_S = 0.11
PROMPT_TOKENS = 3_200
MAX_TOKENS = 170 * 16


class Replay:
    """One cell, its callers and engines.

    :param scale: factor of the rates.
    """

    def __init__(self, *, engines: int, scale: float, seed: int) -> None:
        self._scale = scale
        self._random = random.Random(seed)
        self._numbers = itertools.count()
        self._planned: list[tuple[float, int, typing.Any]] = []
        self._running: set[str] = set()
        self._cell = cells.Cell(
            cell_id=CELL,
            service='model',
            epoch=1,
            document_part=TERMS,
            policy=scheduler.Scheduler(),
        )
        self._cell.handle(
            cells.BackendsChanged(now=0.0, backends=make_backends(engines))
        )
        self.cpu_s = [0.0] * SECONDS
        self.events = [0] * SECONDS
        self.longest_queue = [0] * SECONDS
        self.answers: list[collections.Counter[str]] = [
            collections.Counter() for _ in range(SECONDS)
        ]

    def run(self) -> None:
        self._plan(0.0, self._arrive)
        self._plan(TICK_S, self._tick)
        while self._planned[0][0] < SECONDS:
            now, _, make_event = heapq.heappop(self._planned)
            event = make_event(now)
            second = int(now)
            begun = time.thread_time()
            out = self._cell.handle(event)
            self.cpu_s[second] += time.thread_time() - begun
            self.events[second] += 1
            self.longest_queue[second] = max(
                self.longest_queue[second], len(self._cell.view.queue)
            )
            for effect in out:
                self._answer(now, getattr(effect, 'message', None))

    def _plan(self, at: float, make_event: typing.Any) -> None:
        heapq.heappush(self._planned, (at, next(self._numbers), make_event))

    def _send(self, at: float, message: typing.Any) -> None:
        self._plan(
            at,
            lambda now: parts.Received(
                now=now, sender='gw-1', message=message
            ),
        )

    def _tick(self, now: float) -> parts.Ticked:
        self._plan(now + TICK_S, self._tick)
        return parts.Ticked(now=now, entropy=1)

    def _arrive(self, now: float) -> parts.Received:
        draw = self._random
        in_burst = BURST[0] <= now <= BURST[1]
        rate = (BURST_PER_S if in_burst else USUAL_PER_S) * self._scale
        self._plan(now + draw.expovariate(rate), self._arrive)
        (priority,) = draw.choices(list(RANKS), list(RANKS.values()))
        book = cells.Book(
            cell=CELL,
            request_id=f'r{next(self._numbers)}',
            attempt_id='a1',
            account=f'a{draw.randrange(16)}',
            priority=priority,
            prompt_tokens=PROMPT_TOKENS,
            max_tokens=MAX_TOKENS,
            prefix=(),
            deadline_s=14.0,
            expected_tokens=int(draw.lognormvariate(0, 0.5) * 71 * 16),
        )
        return parts.Received(now=now, sender='gw-1', message=book)

    def _answer(self, now: float, message: typing.Any) -> None:
        if message is None:
            return
        self.answers[int(now)][type(message).__name__] += 1
        is_new = getattr(message, 'request_id', '') not in self._running
        if not isinstance(message, cells.Booked) or not is_new:
            return
        self._running.add(message.request_id)
        ids = {
            'cell': CELL,
            'request_id': message.request_id,
            'attempt_id': 'a1',
        }
        at = now + message.start_in_s + PREFILL_S
        self._send(
            at, cells.PrefillDone(**ids, tokens=3_200, cached_tokens=200)
        )
        release = cells.Release(**ids, outcome=cells.Outcome.DONE)
        self._send(at + self._random.uniform(2.0, 8.0), release)


def make_backends(count: int) -> tuple[cell_types.CellBackend, ...]:
    """Return engines, of which some do prefills and the others decode."""
    prefills = round(count * PREFILL_PART)
    return tuple(
        cell_types.CellBackend(
            backend_id=f'e{number}',
            incarnation=1,
            role=cell_types.Role.PREFILL
            if number < prefills
            else cell_types.Role.DECODE,
            url=f'http://e{number}',
            slots=SLOTS,
        )
        for number in range(count)
    )


def main() -> None:
    """Print all figures."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--engines', type=int, default=ENGINES)
    parser.add_argument('--scale', type=float, default=1.0)
    parser.add_argument('--seed', type=int, default=1)
    given = parser.parse_args()
    replay = Replay(engines=given.engines, scale=given.scale, seed=given.seed)
    replay.run()
    for second in range(SECONDS):
        figures = {
            'second': second,
            'cpu_s': round(replay.cpu_s[second], 3),
            'events': replay.events[second],
            'longest_queue': replay.longest_queue[second],
            **replay.answers[second],
        }
        print(json.dumps(figures))
    begin, end = int(BURST[0]), int(BURST[1])
    for name, first, last in (
        ('before', 0, begin),
        ('burst', begin, end),
        ('after', end, SECONDS),
    ):
        cpu_s = sum(replay.cpu_s[first:last])
        events = sum(replay.events[first:last])
        figures = {
            'span': name,
            'cpu_per_s': round(cpu_s / (last - first), 4),
            'us_per_event': round(cpu_s / events * 1e6, 1),
        }
        print(json.dumps(figures))


if __name__ == '__main__':
    main()
