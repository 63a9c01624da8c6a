"""The state of a cell at its owner: bookings, cancels and reclaims."""

import typing
import unittest

import msgspec

from dandeliongw.cell import backend_state
from dandeliongw.cell import cancels
from dandeliongw.cell import cell_types
from dandeliongw.cell import cells
from dandeliongw.cell import rate_limits
from dandeliongw.cell import roles
from dandeliongw import codec
from dandeliongw.coordination import parts
from dandeliongw.protocol import cells_pb2
from dandeliongw.verdict import RefusalReason
from tools import baselines

TERMS = cell_types.CellTerms(first_token_s=1.0, token_gap_s=0.05, timeout_s=60)


def make_backend(
    backend_id: str, role: str, slots: int = 20, software_version: str = ''
):
    return cell_types.CellBackend(
        backend_id=backend_id,
        incarnation=1,
        role=cell_types.Role(role),
        url=f'http://{backend_id}',
        slots=slots,
        software_version=software_version,
    )


def make_cell(*backends: cell_types.CellBackend, **changes: typing.Any):
    values = {
        'cell_id': 'dieline-llm/tx-central/0',
        'service': 'dieline-llm',
        'epoch': 7,
        'document_part': TERMS,
        'policy': baselines.UnconditionalRoundRobin(),
    }
    cell = cells.Cell(**(values | changes))
    cell.handle(cells.BackendsChanged(now=0.0, backends=backends))
    return cell


def make_pair_cell(**changes: typing.Any) -> cells.Cell:
    prefill = make_backend('p1', 'prefill')
    return make_cell(prefill, make_backend('d1', 'decode'), **changes)


def make_book(request_id: str = 'r1', **changes: typing.Any) -> cells.Book:
    values = {
        'cell': 'dieline-llm/tx-central/0',
        'request_id': request_id,
        'attempt_id': 'a1',
        'account': 'studio-1',
        'priority': 'urgent',
        'prompt_tokens': 1000,
        'max_tokens': 100,
        'prefix': (),
        'deadline_s': 30.0,
    }
    return cells.Book(**(values | changes))


def send(cell: cells.Cell, message: typing.Any, now: float = 0.0):
    event = parts.Received(now=now, sender='gw-1', message=message)
    return cell.handle(event)


def tick(cell: cells.Cell, now: float) -> list:
    return cell.handle(parts.Ticked(now=now, entropy=0))


def occupy_link(state: backend_state.BackendState, until: float) -> None:
    """Let a KV cache move over an engine's link, in place of all others."""
    state.transfers_by_key.clear()
    booking = cell_types.Booking(
        request_id='other',
        attempt_id='a1',
        entry='gw-1',
        account='studio-1',
        priority='urgent',
        stage=cell_types.Stage.PAIR,
        prompt_tokens=1000,
        max_tokens=100,
        prefix=(),
        exclude=(),
        arrived_at=0.0,
        deadline_at=30.0,
        renewed_at=0.0,
        transfer_ends_at=until,
    )
    state.add_transfer(booking)


def without_listing(effects: list) -> list:
    """Return the effects without the periodic listing of streams."""
    return [
        each for each in effects if not isinstance(each, cells.ListStreams)
    ]


class BookingTest(unittest.TestCase):
    def test_a_pair_is_booked_under_the_owners_epoch(self):
        (effect,) = send(make_pair_cell(), make_book())
        self.assertEqual('gw-1', effect.to)
        self.assertEqual(7, effect.message.epoch)
        self.assertEqual('http://p1', effect.message.prefill_url)
        self.assertEqual('http://d1', effect.message.decode_url)

    def test_a_book_sent_again_gets_the_same_answer(self):
        cell = make_pair_cell()
        first = send(cell, make_book())
        self.assertEqual(first, send(cell, make_book()))
        self.assertEqual(1, len(cell.bookings_by_key))

    def test_no_backend_is_a_refusal_at_once(self):
        (effect,) = send(make_cell(), make_book())
        self.assertIs(RefusalReason.NO_BACKEND, effect.message.reason)


class IncarnationTest(unittest.TestCase):
    """A booking has the incarnation of each backend server."""

    def test_each_of_a_pair_has_its_own(self):
        backends = [
            msgspec.structs.replace(each, incarnation=incarnation)
            for each, incarnation in (
                (make_backend('p1', 'prefill'), 3),
                (make_backend('d1', 'decode'), 8),
            )
        ]
        (booked,) = send(make_cell(*backends), make_book())
        message = booked.message
        self.assertEqual(3, message.prefill_incarnation)
        self.assertEqual(8, message.decode_incarnation)
        self.assertEqual(0, message.plain_incarnation)

    def test_a_plain_service_has_its_own(self):
        backend = msgspec.structs.replace(
            make_backend('s1', 'plain'), incarnation=5
        )
        book = make_book(stage=cell_types.Stage.PLAIN)
        (booked,) = send(make_cell(backend), book)
        self.assertEqual(5, booked.message.plain_incarnation)


class MoveTest(unittest.TestCase):
    """A second move of a KV cache must not repeat the first one's answer.

    Both have the same ids and stage. If a decode engine refuses the KV cache
    and then another one, the second move must not be taken for a repeat of
    the first: imports would be refused by the thousand.
    """

    def setUp(self):
        self.cell = make_cell(
            make_backend('p1', 'prefill'),
            *(make_backend(f'd{n}', 'decode') for n in (1, 2, 3)),
        )
        (booked,) = send(self.cell, make_book())
        self.failed = (booked.message.decode_id,)

    def move(self):
        book = make_book(stage=cell_types.Stage.DECODE, exclude=self.failed)
        (effect,) = send(self.cell, book)
        return effect.message

    def test_each_move_goes_to_an_engine_that_has_not_failed(self):
        for _ in range(2):
            moved = self.move()
            self.assertNotIn(moved.decode_id, self.failed)
            self.failed = (*self.failed, moved.decode_id)

    def test_a_late_copy_of_the_first_book_changes_nothing(self):
        self.move()
        self.assertEqual([], send(self.cell, make_book()))

    def test_a_declined_move_keeps_the_booking_of_the_kv_cache(self):
        self.failed = ('d1', 'd2', 'd3')
        self.assertIsInstance(self.move(), cells.Declined)
        holding = cells.Holding(request_id='r1', attempt_id='a1')
        progress = cells.Progress(cell=self.cell.cell_id, bookings=(holding,))
        self.assertEqual([], send(self.cell, progress))


class RateLimitTest(unittest.TestCase):
    """Guards against entries and owners that don't know of a rate limit."""

    def setUp(self):
        self.limits = tuple(
            rate_limits.RateLimit(backend_id=each, incarnation=1, per_s=9.0)
            for each in ('s1', 's2')
        )
        self.cell = make_cell(
            *(make_backend(each, 'plain', 1) for each in ('s1', 's2'))
        )
        reclaim = cells.Reclaim(
            cell=self.cell.cell_id,
            epoch=7,
            bookings=(),
            rate_limits=self.limits,
        )
        send(self.cell, reclaim)

    def book(self, request_id, now):
        stage = cell_types.Stage.PLAIN
        (effect,) = send(self.cell, make_book(request_id, stage=stage), now)
        return effect.message

    def test_a_new_owner_takes_what_entries_know(self):
        self.assertTrue(self.cell.view.rate_limits.is_limited('s1', 1))

    def test_what_it_knows_already_is_not_replaced(self):
        """Guards against an entry whose knowledge is old."""
        older = msgspec.structs.replace(self.limits[0], per_s=500.0)
        reclaim = cells.Reclaim(
            cell=self.cell.cell_id, epoch=7, bookings=(), rate_limits=(older,)
        )
        send(self.cell, reclaim)
        (known, _) = self.cell.view.rate_limits.heard_since(0.0, most=2)
        self.assertEqual(known.per_s, 9.0)

    def test_an_entry_is_told_all_limits_once_a_second(self):
        first = self.book('r1', 1.0)
        self.assertEqual(set(first.rate_limits), set(self.limits))
        second = self.book('r2', 1.1)
        (told,) = second.rate_limits
        self.assertEqual(told.backend_id, second.plain_id)
        third = self.book('r3', 2.1)
        self.assertEqual(set(third.rate_limits), set(self.limits))

    def test_a_booking_has_its_own_limits_first(self):
        """Guards against a list that is cut before the ones that matter."""
        booked = self.book('r1', 1.0)
        self.assertEqual(booked.rate_limits[0].backend_id, booked.plain_id)
        self.assertTrue(booked.limits_rate_of(booked.plain_id))


class OrphanTest(unittest.TestCase):
    """Slots of a failed entry must become free again.

    The entry books, starts a stream and fails, so it sends no release; the
    first cancel of its stream is lost.
    """

    def test_a_dead_entrys_streams_are_cancelled_until_confirmed(self):
        cell = make_pair_cell()
        send(cell, make_book())
        self.assertEqual([], tick(cell, cells.BOOKING_LEASE_S - 0.1))
        first = tick(cell, cells.BOOKING_LEASE_S)
        self.assertEqual({'p1', 'd1'}, {each.backend_id for each in first})
        again = tick(cell, cells.BOOKING_LEASE_S + cancels.CANCEL_AGAIN_S)
        self.assertEqual(first, without_listing(again))
        for each in first:
            cell.handle(
                cells.StreamCancelled(
                    now=6.0,
                    backend_id=each.backend_id,
                    stream_id=each.stream_id,
                    attempt_id=each.attempt_id,
                )
            )
        self.assertEqual([], without_listing(tick(cell, 60.0)))

    def test_progress_renews_the_lease(self):
        cell = make_pair_cell()
        send(cell, make_book())
        holding = cells.Holding(request_id='r1', attempt_id='a1')
        progress = cells.Progress(cell=cell.cell_id, bookings=(holding,))
        send(cell, progress, now=3.0)
        self.assertEqual([], tick(cell, cells.BOOKING_LEASE_S))

    def test_progress_for_an_unknown_booking_is_answered(self):
        cell = make_pair_cell()
        holding = cells.Holding(request_id='r9', attempt_id='a1')
        progress = cells.Progress(cell=cell.cell_id, bookings=(holding,))
        (effect,) = send(cell, progress, now=cells.BOOKING_LEASE_S)
        self.assertIsInstance(effect.message, cells.Cancelled)

    def test_a_new_owner_asks_before_it_gives_a_booking_up(self):
        """A new owner must not cancel running streams that it doesn't have.

        Entries may renew bookings at a new owner before they have sent their
        ``Reclaim``. If it cancelled those, each change of owner would cause a
        wave of new attempts.
        """
        cell = make_pair_cell()
        held = tuple(
            cells.Holding(request_id=request_id, attempt_id='a1')
            for request_id in ('r8', 'r9')
        )
        progress = cells.Progress(cell=cell.cell_id, bookings=held)
        (effect,) = send(cell, progress, now=cells.BOOKING_LEASE_S - 0.1)
        self.assertIsInstance(effect.message, cells.ReclaimWanted)

    def test_a_leaving_backend_gets_no_work_and_its_cancels(self):
        cell = make_pair_cell()
        send(cell, make_book('r1'))
        prefill = make_backend('p1', 'prefill')
        cell.handle(cells.BackendsChanged(now=1.0, backends=(prefill,)))
        (declined,) = send(cell, make_book('r2'), now=1.0)
        self.assertIs(RefusalReason.NO_BACKEND, declined.message.reason)
        release = cells.Release(
            cell=cell.cell_id,
            request_id='r1',
            attempt_id='a1',
            outcome=cells.Outcome.CANCELLED,
        )
        cancels = send(cell, release, now=1.1)
        self.assertEqual({'p1', 'd1'}, {each.backend_id for each in cancels})

    def test_a_booking_that_another_owner_took_over(self):
        """Guards against cancels of work that the other owner booked."""
        cell = make_pair_cell()
        send(cell, make_book('r1'))
        release = cells.Release(
            cell=cell.cell_id,
            request_id='r1',
            attempt_id='a1',
            outcome=cells.Outcome.TAKEN_OVER,
        )
        self.assertEqual(send(cell, release, now=1.0), [])
        self.assertEqual(cell.bookings_by_key, {})


class RestartTest(unittest.TestCase):
    """Bookings of an engine end when it restarts under the same id.

    It crashes without an error on its connections. If its old bookings were
    kept, they would hold slots of the new incarnation, and their entries
    would wait for streams that no longer exist.
    """

    def setUp(self):
        self.prefill = make_backend('p1', 'prefill')
        self.decode = make_backend('d1', 'decode')
        self.cell = make_cell(self.prefill, self.decode)
        send(self.cell, make_book())
        state = self.cell.view.backends_by_id['d1']
        state.slowness, state.full_until = 3.0, 60.0
        state.add_blocks(('a', 'b'))

    def restart(self):
        again = msgspec.structs.replace(self.decode, incarnation=2)
        return self.cell.handle(
            cells.BackendsChanged(now=1.0, backends=(self.prefill, again))
        )

    def test_its_bookings_are_cancelled(self):
        (sent,) = without_listing(self.restart())
        self.assertEqual('gw-1', sent.to)
        self.assertIsInstance(sent.message, cells.Cancelled)
        self.assertEqual('r1', sent.message.request_id)
        self.assertEqual({}, self.cell.bookings_by_key)

    def test_its_measured_state_is_reset(self):
        self.restart()
        state = self.cell.view.backends_by_id['d1']
        self.assertEqual(0, state.slots_used)
        self.assertEqual(1.0, state.slowness)
        self.assertFalse(state.blocks)
        self.assertLess(state.full_until, 1.0)

    def test_a_move_to_another_pool_ends(self):
        switch = roles.Switch(
            backend_id='d1', role=cell_types.Role.PREFILL, since=0.5
        )
        self.cell.roles.switches_by_id['d1'] = switch
        self.restart()
        self.assertEqual({}, self.cell.roles.switches_by_id)


class OrphanedStreamTest(unittest.TestCase):
    """Streams without a booking are cancelled after a change of owner.

    The owner and an entry fail together. The other entries reclaim their
    bookings at the new owner; nobody reclaims those of the failed entry, and
    its streams would use slots without a booking.
    """

    def setUp(self):
        self.cell = make_pair_cell()
        tick(self.cell, 0.0)

    def list_streams(self, asked_at: float) -> list:
        held = cells.HeldStream(stream_id='r1', attempt_id='a1')
        return self.cell.handle(
            cells.StreamsListed(
                now=asked_at + 0.1,
                backend_id='d1',
                asked_at=asked_at,
                streams=(held,),
            )
        )

    def reclaim(self) -> None:
        held = cells.ReclaimedBooking(
            request_id='r1',
            attempt_id='a1',
            account='studio-1',
            priority='urgent',
            stage=cell_types.Stage.PAIR,
            prompt_tokens=1000,
            max_tokens=100,
            deadline_s=30.0,
            prefill_id='p1',
            decode_id='d1',
            plain_id='',
            prefill_done=True,
        )
        message = cells.Reclaim(
            cell=self.cell.cell_id, epoch=7, bookings=(held,)
        )
        send(self.cell, message, now=cells.BOOKING_LEASE_S - 1.0)

    def test_streams_that_nobody_reclaims_are_cancelled(self):
        listing = tick(self.cell, cells.LIST_INTERVAL_S)
        self.assertEqual({'p1', 'd1'}, {each.backend_id for each in listing})
        (cancel,) = self.list_streams(cells.LIST_INTERVAL_S)
        self.assertEqual(('d1', 'r1'), (cancel.backend_id, cancel.stream_id))

    def test_entries_have_a_whole_lease_to_reclaim(self):
        early = cells.BOOKING_LEASE_S - 0.1
        self.assertEqual([], self.list_streams(early))

    def test_a_reclaimed_stream_goes_on(self):
        self.reclaim()
        self.assertEqual([], self.list_streams(cells.LIST_INTERVAL_S))
        decode = self.cell.view.backends_by_id['d1']
        self.assertEqual(1, decode.slots_used)


class WireTest(unittest.TestCase):
    def test_every_message_has_its_fields_on_the_wire(self):
        nested = (cells.Holding, cells.ReclaimedBooking)
        for message in cells.MESSAGES + nested:
            wire = getattr(cells_pb2, message.__name__)
            names = {each.name for each in msgspec.structs.fields(message)}
            self.assertEqual(names, set(wire.DESCRIPTOR.fields_by_name))

    def test_a_book_survives_the_wire(self):
        wire = codec.Codec(
            data_classes=cells.MESSAGES, wire_modules=[cells_pb2]
        )
        book = make_book(stage=cell_types.Stage.DECODE, prefix=('x', 'y'))
        self.assertEqual(book, wire.decode(*wire.encode(book)))
