"""A cell decides as :mod:`reference_cell` does, under random loads."""

import heapq
import itertools
import random
import unittest
from unittest import mock

import msgspec
from nose2.tools import params

from dandeliongw.cell import cell_types
from dandeliongw.cell import cells
from dandeliongw.cell import prediction
from dandeliongw.cell import scheduler
from dandeliongw.coordination import parts
from tests import reference_cell
from tests import test_cells

CELL = 'model/north/0'
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
    max_wait_s_by_priority={f'rank-{rank}': 2.3 for rank in range(3)},
    rank_by_priority={f'rank-{rank}': rank for rank in range(3)},
)
#: A predicted start may differ by a tick, in seconds.
TICK_S = 0.05
SECONDS = 8.0


class Load:
    """The same random events for two cells.

    :param reads_there: part of the bookings that may have their prefill done
        by a decode engine.
    :param faults: part of the work that fails.
    """

    def __init__(self, seed, *, stage, per_s, reads_there, faults):
        self.random = random.Random(seed)
        self.stage = stage
        self.per_s = per_s
        self.reads_there = reads_there
        self.faults = faults
        changes = {'cell_id': CELL, 'service': 'model', 'epoch': 1}
        self.cells = (
            cells.Cell(
                document_part=TERMS, policy=scheduler.Scheduler(), **changes
            ),
            reference_cell.make_cell(TERMS, **changes),
        )
        self.planned: list = []
        self.numbers = itertools.count()
        self.ended: set[str] = set()
        self.answers: dict[str, int] = {}

    def plan(self, at, make):
        heapq.heappush(self.planned, (at, next(self.numbers), make))

    def run(self):
        """Yield the time, the event, and the answers of both cells."""
        self.plan(0.0, lambda now: self.backends(now, 1))
        self.plan(0.01, self.arrive)
        self.plan(0.02, self.tick)
        self.plan(4.0, lambda now: self.backends(now, 2))
        while self.planned[0][0] < SECONDS:
            now, _, make = heapq.heappop(self.planned)
            event = make(now)
            if event is not None:
                mine, reference = (each.handle(event) for each in self.cells)
                yield now, event, mine, reference
                for effect in mine:
                    self.answer(now, getattr(effect, 'message', None))

    def backends(self, now, incarnation):
        if self.stage is cell_types.Stage.PLAIN:
            sizes = {'plain': (4, 6)}
        else:
            sizes = {'prefill': (2, 8), 'decode': (6, 32)}
        return cells.BackendsChanged(
            now=now,
            backends=tuple(
                msgspec.structs.replace(
                    test_cells.make_backend(
                        f'{role}-{number}',
                        role,
                        slots=slots,
                        software_version=f'v{number % 2}',
                    ),
                    incarnation=incarnation if number == 0 else 1,
                )
                for role, (count, slots) in sizes.items()
                for number in range(count)
            ),
        )

    def tick(self, now):
        self.plan(now + TICK_S, self.tick)
        return parts.Ticked(now=now, entropy=0)

    def received(self, now, message):
        return parts.Received(now=now, sender='gw-1', message=message)

    def arrive(self, now):
        draw = self.random
        rate = self.per_s * (4.0 if 2.0 < now < 4.0 else 1.0)
        self.plan(now + draw.expovariate(rate), self.arrive)
        if draw.random() < 0.02:
            return self.report(now)
        return self.received(
            now,
            cells.Book(
                cell=CELL,
                request_id=f'r{next(self.numbers)}',
                attempt_id='a1',
                account=f'a{draw.randrange(4)}',
                priority=f'rank-{draw.randrange(4)}',
                stage=self.stage,
                prompt_tokens=draw.choice((400, 3_200, 5_200)),
                max_tokens=draw.choice((800, 2_720)),
                prefix=tuple(f'b{n}' for n in range(draw.randrange(3))),
                deadline_s=draw.choice((3.0, 14.0)),
                expected_tokens=draw.choice((0, 300, 1_136)),
                resent=draw.random() < 0.1,
                may_read_there=draw.random() < self.reads_there,
                exclude=draw.choice(((), (), ('decode-1', 'plain-1'))),
                software_version=draw.choice((None,) * 9 + ('v1',)),
            ),
        )

    def report(self, now):
        """Return news of a backend server: a rest or a rate limit."""
        role = 'plain' if self.stage is cell_types.Stage.PLAIN else 'prefill'
        backend_id = self.random.choice((f'{role}-1', 'decode-2', 'decode-3'))
        about = {'cell': CELL, 'backend_id': backend_id, 'incarnation': 1}
        if self.random.random() < 0.5:
            return self.received(now, cells.RestReported(**about, rest_s=0.7))
        return self.received(
            now,
            cells.RateLimitReported(
                **about,
                per_s=self.random.choice((2.0, 9.0)),
                age_s=0.0,
            ),
        )

    def answer(self, now, message):
        if not isinstance(message, cells.Booked):
            return
        request_id = message.request_id
        self.answers[request_id] = self.answers.get(request_id, 0) + 1
        ids = {'cell': CELL, 'request_id': request_id, 'attempt_id': 'a1'}
        draw = self.random
        if message.prefill_id and self.answers[request_id] == 1:
            done = cells.PrefillDone(
                **ids, tokens=3_200, cached_tokens=draw.choice((0, 200))
            )
            at = now + draw.uniform(0.05, 0.4)
            self.plan(at, lambda now: self.received(now, done))
            if draw.random() < 0.1:
                self.plan(at + 0.01, lambda now: self.move(now, message))
        fails = draw.random() < self.faults
        release = cells.Release(
            **ids,
            outcome=cells.Outcome.FAILED if fails else cells.Outcome.DONE,
            backend_fault=(message.decode_id or message.plain_id)
            if fails
            else '',
            answer_pieces=draw.choice((0, 40, 90, 170)),
            token_gap_s=draw.choice((0.0, 0.05, 0.06)),
        )
        lasts_s = 0.2 if message.plain_id else draw.uniform(1.0, 6.0)
        at = now + lasts_s
        self.plan(at, lambda now: self.received(now, release))

    def move(self, now, booked):
        """Return the move of a KV cache that its decode engine refused."""
        return self.received(
            now,
            cells.Book(
                cell=CELL,
                request_id=booked.request_id,
                attempt_id='a1',
                account='a1',
                priority='rank-1',
                stage=cell_types.Stage.DECODE,
                prompt_tokens=3_200,
                max_tokens=2_720,
                prefix=(),
                deadline_s=0.5,
                exclude=(booked.decode_id,),
            ),
        )


def without_start(effects):
    """Return effects without predicted starts, and these."""
    plain, starts = [], []
    for effect in effects:
        message = getattr(effect, 'message', None)
        if isinstance(message, cells.Queued):
            starts.append(message.expected_in_s)
            message = msgspec.structs.replace(message, expected_in_s=0.0)
            effect = msgspec.structs.replace(effect, message=message)
        plain.append(effect)
    return plain, starts


class DecisionTest(unittest.TestCase):
    """Guards against caches that change what a cell decides."""

    @params(
        (1, cell_types.Stage.PAIR, 25.0, 0.0, 0.0),
        (2, cell_types.Stage.PAIR, 25.0, 1.0, 0.02),
        (3, cell_types.Stage.PAIR, 15.0, 0.5, 0.4),
        (4, cell_types.Stage.PAIR, 60.0, 0.5, 0.02),
        (5, cell_types.Stage.PLAIN, 100.0, 0.0, 0.02),
        (6, cell_types.Stage.PLAIN, 60.0, 0.0, 0.5),
    )
    def test_answers_are_those_of_the_reference(
        self, seed, stage, per_s, reads_there, faults
    ):
        load = Load(
            seed,
            stage=stage,
            per_s=per_s,
            reads_there=reads_there,
            faults=faults,
        )
        self.compare_starts()
        kinds = set()
        for now, event, mine, reference in load.run():
            mine, starts = without_start(mine)
            reference, expected = without_start(reference)
            self.assertEqual(reference, mine, f'at {now}: {event}')
            for start, other in zip(starts, expected, strict=True):
                self.assertAlmostEqual(other, start, delta=TICK_S)
            kinds.update(type(getattr(each, 'message', 0)) for each in mine)
        self.assertLessEqual({cells.Booked, cells.Queued}, kinds)
        self.assertIn(cells.Declined, kinds)

    def compare_starts(self):
        """Compare each predicted start with the reference."""
        predict = prediction.expected_start

        def compare(now, view, ordered):
            start = predict(now, view, ordered)
            other = reference_cell.expected_start(now, view, ordered)
            if start != other:
                self.assertAlmostEqual(other, start, delta=TICK_S)
            return other

        self.enterContext(
            mock.patch.object(
                prediction, 'expected_start', side_effect=compare
            )
        )
