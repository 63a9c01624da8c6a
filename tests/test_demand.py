"""What can't be in time while more comes than is carried goes at once."""

import dataclasses
import unittest

from dandeliongw.cell import cells
from dandeliongw.cell import declines
from dandeliongw.cell import demand
from dandeliongw.cell import scheduler
from tests import test_cells
from tests import test_roles

RATE = 4.0
TERMS = dataclasses.replace(
    test_roles.TERMS, max_wait_s_by_priority={'urgent': 2.3}
)


class DemandTest(unittest.TestCase):
    def arrive(self, rate_per_s):
        found = demand.Demand()
        for number in range(int(rate_per_s * 6)):
            found.note(number / rate_per_s)
        return found

    def test_a_bunch_leaves_nothing_for_late_work(self):
        self.assertTrue(self.arrive(8.0).is_too_much(6.0, RATE))

    def test_and_is_over_soon_after(self):
        self.assertFalse(self.arrive(8.0).is_too_much(9.0, RATE))

    def test_what_is_carried_leaves_some(self):
        self.assertFalse(self.arrive(2.0).is_too_much(6.0, RATE))

    def test_an_unknown_rate_turns_nobody_away(self):
        self.assertFalse(self.arrive(100.0).is_too_much(6.0, None))


class BunchTest(unittest.TestCase):
    """Symptom: most refusals come after more than two seconds in a queue.

    Sequence: for eight seconds, twice as many streams come as two engines
    carry.
    Cause: whoever can't be in time any more is passed by all that come
    later, and the wait that was predicted left them out.
    """

    def play(self, *, seconds=8.0, rate_per_s=12.0, **options):
        """Return what each caller was told in the end, and after how long.

        Each stream that is placed ends after three seconds.
        """
        cell = test_cells.make_cell(
            *(
                test_cells.make_backend(f'd{number}', 'decode', slots=64)
                for number in (1, 2)
            ),
            document_part=TERMS,
            policy=scheduler.Scheduler(options=scheduler.Options(**options)),
        )
        self.told, ends, arrivals = {}, [], {}
        steps = int((seconds + 6.0) * 20)
        due = 0.0
        for step in range(steps):
            now = step / 20
            events = [test_cells.tick(cell, now)]
            while now < seconds and due <= now:
                due += 1.0 / rate_per_s
                name = f'r{len(arrivals)}'
                arrivals[name] = now
                book = test_cells.make_book(
                    name,
                    prompt_tokens=3000,
                    max_tokens=1280,
                    deadline_s=14.0,
                    may_read_there=True,
                )
                events.append(test_cells.send(cell, book, now))
            for at, name in [each for each in ends if each[0] <= now]:
                ends.remove((at, name))
                release = cells.Release(
                    cell=cell.cell_id,
                    request_id=name,
                    attempt_id='a1',
                    outcome=cells.Outcome.DONE,
                    answer_pieces=544,
                    token_gap_s=3.0 / 544,
                )
                events.append(test_cells.send(cell, release, now))
            for booking in cell.bookings_by_key.values():
                booking.renewed_at = now
            for effect in [each for found in events for each in found]:
                message = getattr(effect, 'message', None)
                if isinstance(message, cells.Booked | cells.Declined):
                    name = message.request_id
                    self.told[name] = message, now - arrivals[name]
                    if isinstance(message, cells.Booked):
                        ends.append((now + 3.0, name))
        return cell

    def waits_of(self, kind):
        return [
            waited_s
            for message, waited_s in self.told.values()
            if isinstance(message, kind)
        ]

    def test_whom_it_turns_away_it_tells_within_the_target(self):
        self.play()
        declined = self.waits_of(cells.Declined)
        self.assertGreater(len(declined), 5)
        self.assertLess(max(declined), TERMS.first_token_s)

    def test_without_it_they_wait_in_vain(self):
        self.play(demand=False)
        self.assertGreater(max(self.waits_of(cells.Declined)), 2.0)

    def test_as_many_are_in_time(self):
        counts = []
        for is_used in (True, False):
            self.play(demand=is_used)
            in_time = [w for w in self.waits_of(cells.Booked) if w < 0.8]
            counts.append(len(in_time))
        self.assertGreaterEqual(counts[0], counts[1])

    def test_they_come_back_spread_over_time(self):
        self.play()
        after_s = [
            message.retry_after_s
            for message, _ in self.told.values()
            if isinstance(message, cells.Declined)
        ]
        self.assertGreaterEqual(min(after_s), declines.LEAST_BUNCH_S)
        self.assertLessEqual(max(after_s), declines.MOST_BUNCH_S)
        self.assertGreater(max(after_s) - min(after_s), 1.0)
