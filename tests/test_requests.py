"""The life cycle of a request at its entry, by kind of failure."""

import unittest

import msgspec
from nose2.tools import params

from dandeliongw.cell import cells
from dandeliongw.cell import rate_limits
from dandeliongw.coordination import claim_messages as claims
from dandeliongw import effects
from dandeliongw.entry import admission
from dandeliongw.entry import requests
from dandeliongw.entry import reservations
from dandeliongw.entry import waste
from dandeliongw import events
from dandeliongw import verdict
from tests import entry_fake
from tests.entry_fake import Entry
from tests.entry_fake import NEXT_OWNER
from tests.entry_fake import OWNER

RETRY = verdict.RetryReason
REASON = verdict.RefusalReason
NOT_RUN = verdict.Verdict.NOT_RUN
MAY_HAVE_RUN = verdict.Verdict.MAY_HAVE_RUN
RAN = verdict.Verdict.RAN


def queued(entry, request_id):
    return cells.Queued(**entry.ids_of(request_id), epoch=1, expected_in_s=0.5)


class CompleteRequests(unittest.TestCase):
    def test_a_completion_books_prefills_decodes_and_completes(self):
        entry = Entry()
        request_id = entry.prefilling()
        self.assertEqual(entry.one(effects.RunPrefill).url, 'http://p1')
        entry.prefill(request_id)
        self.assertEqual(entry.one(effects.RunDecode).kv, 'kv1')
        entry.decode(request_id)
        entry.one(effects.Complete)
        ((to, release),) = entry.sent(cells.Release)
        self.assertEqual((to, release.outcome), (OWNER, cells.Outcome.DONE))

    def test_a_call_whose_answer_has_no_room_is_refused_at_once(self):
        """Guards against calls that run and whose answers are thrown away."""
        entry = Entry()
        entry.post(
            events.RequestArrived,
            request_id='r',
            call=entry_fake.call('lookup'),
            entropy=0,
            has_memory=False,
        )
        refusal = entry.one(effects.Refuse).refusal
        self.assertEqual(REASON.INSTANCE_FULL, refusal.reason)
        self.assertIs(NOT_RUN, refusal.verdict)
        self.assertEqual([], entry.sent(cells.Book))

    def test_the_error_of_an_attempt_is_logged(self):
        """Guards against broken answers that leave no trace after a retry."""
        entry = Entry()
        request_id = entry.prefilling()
        entry.end(
            request_id,
            events.Step.PREFILL,
            RETRY.PREFILL_FAILED,
            known=NOT_RUN,
            message="not a field: b'X-A : b'",
        )
        (line,) = (
            each
            for each in entry.found(effects.Log)
            if each.message == 'attempt failed'
        )
        self.assertEqual("not a field: b'X-A : b'", dict(line.fields)['error'])

    def test_the_release_of_a_complete_answer_has_its_token_gap(self):
        """Guards against decode batches that are never limited.

        The answers are complete, with gaps far above the target. The owner
        gets the gap only from the release.
        """
        entry = Entry()
        entry.decode(entry.decoding(), token_gap_s=0.125)
        ((_, release),) = entry.sent(cells.Release)
        self.assertEqual(release.token_gap_s, 0.125)

    def test_each_part_of_a_request_is_measured(self):
        entry = Entry()
        request_id = entry.arrive('completion')
        entry.now += 0.25
        entry.receive(queued(entry, request_id))
        entry.now += 0.5
        entry.book(request_id)
        entry.now += 1.0
        entry.prefill(request_id)
        began_at = entry.now
        entry.now += 4.0
        entry.decode(request_id, first_piece_at=began_at + 0.125)
        took = [
            each
            for each in entry.all
            if isinstance(each, effects.PhaseDuration)
        ]
        self.assertEqual(
            {each.phase: each.seconds for each in took},
            {
                effects.RequestPhase.BOOKING: 0.25,
                effects.RequestPhase.QUEUE: 0.5,
                effects.RequestPhase.PREFILL: 1.0,
                effects.RequestPhase.TRANSFER: 0.125,
                effects.RequestPhase.DECODE: 3.875,
            },
        )
        self.assertEqual({'dieline-llm'}, {each.service for each in took})

    def test_the_queue_time_of_a_refused_request_is_measured(self):
        entry = Entry()
        request_id = entry.arrive('completion')
        entry.receive(queued(entry, request_id))
        entry.now += 2.0
        declined = cells.Declined(
            **entry.ids_of(request_id),
            reason=REASON.NO_CAPACITY.value,
            message='full',
            retry_after_s=1.0,
        )
        entry.receive(declined)
        took = entry.one(effects.PhaseDuration)
        self.assertEqual(
            (effects.RequestPhase.QUEUE, 2.0), (took.phase, took.seconds)
        )

    def test_the_times_of_a_forwarded_stream_are_measured(self):
        """Guards against forwarded streams without a first-token time.

        The pieces are forwarded unread, so they are measured separately from
        answers that this instance composes.
        """
        entry = Entry()
        request_id = entry.decoding()
        request = entry.requests.requests_by_id[request_id]
        request.admitted = msgspec.structs.replace(
            request.admitted, is_pass_through=True
        )
        entry.decode(
            request_id,
            first_piece_at=entry.now,
            first_token_at=request.arrived_at + 0.75,
            token_gap_s=0.125,
        )
        stream = entry.one(effects.PassThroughStream)
        self.assertEqual(
            (0.75, 0.125), (stream.first_token_s, stream.token_gap_s)
        )

    def test_a_claim_is_recorded_before_the_answer_ends(self):
        entry = Entry()
        request_id = entry.calling()
        entry.answer(request_id)
        self.assertEqual(entry.found(effects.Complete), [])
        (finish,) = entry.dispatched(claims.Finish)
        self.assertEqual(finish.outcome, b'outcome')
        entry.record(request_id, claims.NotRecorded())
        entry.one(effects.Complete)


class Attempts(unittest.TestCase):
    def test_the_end_of_an_earlier_attempt_is_dropped(self):
        """Guards against an answer that mixes the tokens of two attempts.

        The first attempt fails, the second starts, and then the end of the
        first arrives. The request id alone does not tell them apart.
        """
        entry = Entry()
        request_id = entry.prefilling()
        old = entry.ids_of(request_id)['attempt_id']
        entry.prefill(request_id, failure=RETRY.PREFILL_FAILED)
        entry.book(request_id)
        entry.prefill(request_id, attempt_id=old)
        self.assertEqual(entry.found(effects.RunDecode), [])
        self.assertEqual(
            entry.one(effects.CountLate).what, effects.LateKind.STEP
        )

    def test_swapped_bookings_reach_their_own_requests(self):
        """Guards against two requests that get each other's slots.

        The replies to two bookings arrive in the opposite order, so they must
        not be matched by their order.
        """
        entry = Entry()
        first, second = entry.arrive('lookup'), entry.arrive('lookup')
        entry.book(second, plain_url='http://for-2')
        self.assertEqual(entry.one(effects.RunCall).request_id, second)
        entry.book(first, plain_url='http://for-1')
        run = entry.one(effects.RunCall)
        self.assertEqual((run.request_id, run.url), (first, 'http://for-1'))

    def test_a_duplicate_booking_starts_one_step(self):
        entry = Entry()
        request_id = entry.arrive('booking')
        message = entry.booked(request_id)
        entry.receive(message)
        entry.receive(message)
        self.assertEqual(entry.out, [])

    def test_a_late_booking_of_an_earlier_owner_is_released(self):
        """Guards against two slots for one stream, one of them unused.

        A slow owner's booking arrives after its successor has booked, too.
        With one attempt id for both, they could not be told apart.
        """
        entry = Entry()
        request_id = entry.arrive('completion')
        late = entry.booked(request_id)
        for _ in range(2):
            entry.tick(reservations.OWNER_RETRY_S)
        ((to, _),) = entry.sent(cells.Book)
        self.assertEqual(to, NEXT_OWNER)
        entry.book(request_id, NEXT_OWNER, decode_id='d2')
        entry.receive(late, OWNER)
        self.assertEqual(entry.found(effects.RunPrefill), [])
        ((to, release),) = entry.sent(cells.Release)
        self.assertEqual(to, OWNER)
        self.assertEqual(release.attempt_id, late.attempt_id)


class Disconnects(unittest.TestCase):
    @params('claiming', 'queued', 'prefill', 'decode', 'call', 'backoff')
    def test_a_disconnect_releases_everything(self, stage):
        """Guards against engine memory that is held for no client.

        The client disconnects while no bytes flow, so no write fails.
        """
        entry = Entry()
        request_id = _at(entry, stage)
        entry.leave(request_id)
        self.assertEqual(entry.refusal.reason, REASON.CALLER_GONE)
        releases = len(entry.sent(cells.Release))
        self.assertEqual(releases, stage not in ('claiming', 'backoff'))
        engines = {each.backend_id for each in entry.found(cells.CancelStream)}
        working = stage in ('prefill', 'decode')
        self.assertEqual(engines, {'p1', 'd1'} if working else set())
        self.assertEqual(
            entry.refusal.verdict is NOT_RUN, stage in ('queued', 'backoff')
        )
        entry.leave(request_id)
        entry.close(request_id)
        self.assertEqual(entry.sent(cells.Release), [])
        self.assertEqual(entry.gate.in_flight, 0)

    def test_a_cancel_is_repeated_when_the_step_has_ended(self):
        """Guards against an engine that works on for a disconnected client.

        The client disconnects right after the prefill was directed. Cancel
        and call use separate connections, so the cancel can reach the engine
        first and find nothing to cancel.
        """
        entry = Entry()
        request_id = entry.prefilling()
        entry.leave(request_id)
        entry.prefill(request_id, failure=RETRY.PREFILL_FAILED)
        engines = {each.backend_id for each in entry.found(cells.CancelStream)}
        self.assertEqual(engines, {'p1', 'd1'})
        entry.close(request_id)
        self.assertEqual(entry.out, [])

    def test_a_claimed_call_continues_after_a_disconnect(self):
        """Guards against "may have run" for the resend of a successful call.

        The client disconnects while a booking is running and sends it again.
        So the call must not be aborted when its client disconnects.
        """
        entry = Entry()
        request_id = entry.calling()
        entry.leave(request_id)
        self.assertEqual(entry.out, [])
        entry.answer(request_id)
        self.assertEqual(len(entry.dispatched(claims.Finish)), 1)
        entry.record(request_id)
        entry.one(effects.Complete)

    def test_a_claimed_call_is_not_retried_after_a_disconnect(self):
        entry = Entry()
        request_id = entry.calling()
        entry.leave(request_id)
        entry.answer(request_id, RETRY.CONNECT_REFUSED, known=NOT_RUN)
        self.assertEqual(entry.refusal.reason, REASON.CALLER_GONE)
        self.assertEqual(len(entry.dispatched(claims.Abandon)), 1)

    def test_a_thread_that_dies_in_a_claimed_call_leaks_nothing(self):
        """Guards against a leaked slot and a leaked in-flight count.

        A claimed call's thread ends without an answer. A claimed call is not
        aborted when its client disconnects, so that does not clean it up.
        """
        entry = Entry()
        request_id = entry.calling()
        entry.close(request_id)
        self.assertEqual(len(entry.sent(cells.Release)), 1)
        self.assertEqual(entry.gate.in_flight, 0)
        self.assertEqual(entry.dispatched(claims.Abandon), [])


def _at(entry, stage):
    """Return the id of a new request that has reached a stage."""
    if stage == 'prefill':
        return entry.prefilling()
    if stage == 'decode':
        return entry.decoding()
    if stage == 'call':
        return entry.calling(key=None)
    if stage == 'backoff':
        request_id = entry.arrive('booking')
        for _ in range(2):
            entry.book(request_id)
            entry.answer(request_id, RETRY.BACKEND_BUSY, known=NOT_RUN)
        return request_id
    request_id = entry.arrive('booking', 'k' if stage == 'claiming' else None)
    if stage == 'queued':
        _queue(entry, request_id)
    return request_id


def _queue(entry, request_id, sender=OWNER):
    entry.receive(
        cells.Queued(**entry.ids_of(request_id), epoch=1, expected_in_s=1.0),
        sender,
    )


class Verdicts(unittest.TestCase):
    @params(
        ('booking', NOT_RUN, True),
        ('booking', MAY_HAVE_RUN, False),
        ('lookup', MAY_HAVE_RUN, True),
    )
    def test_a_retry_needs_proof_or_idempotence(self, kind, known, again):
        """Guards against a booking that is made twice.

        The connection is reset after the last byte was sent. Such a call may
        have run, although it got no answer.
        """
        entry = Entry()
        request_id = entry.calling(kind, None)
        entry.answer(request_id, RETRY.STREAM_BROKEN, known=known)
        self.assertEqual(len(entry.sent(cells.Book)), again)
        if not again:
            self.assertEqual(entry.refusal.verdict, MAY_HAVE_RUN)
            self.assertIsNone(entry.refusal.retry_after_s)

    @params(False, True)
    def test_a_quote_is_resumed_but_never_prefilled_again(self, resumed):
        """Guards against a client that is billed for two drafts.

        A stream breaks, and its resume breaks as well. Another prefill would
        create a second draft.
        """
        entry = Entry()
        request_id = entry.decoding('quote')
        entry.decode(request_id, RETRY.STREAM_BROKEN, tokens=4)
        self.assertEqual(entry.one(effects.RunDecode).kv, '')
        if resumed:
            entry.decode(request_id)
            entry.one(effects.Complete)
            return
        entry.decode(request_id, RETRY.STREAM_BROKEN, tokens=4)
        self.assertEqual(entry.sent(cells.Book), [])
        self.assertEqual(entry.refusal.verdict, MAY_HAVE_RUN)

    def test_an_answer_that_ran_but_is_too_long_is_not_fetched_again(self):
        entry = Entry()
        request_id = entry.calling('lookup', None)
        entry.answer(request_id, RETRY.STREAM_BROKEN, known=RAN)
        self.assertEqual(entry.refusal.verdict, RAN)
        self.assertEqual(entry.sent(cells.Book), [])

    @params('draining', 'stale', 'full')
    def test_a_call_with_an_unclaimed_key_is_never_refused_as_not_run(
        self, why
    ):
        """Guards against "not run" for a booking that was made.

        A booking runs and its answer is lost. The resend is refused, as by an
        instance that is shutting down. "Not run" would be true of this send
        but not of the call.
        """
        entry = Entry()
        entry.directory.is_draining = why == 'draining'
        entry.directory.fresh = why != 'stale'
        if why == 'full':
            for _ in range(20):
                entry.arrive('lookup')
        entry.arrive('booking', 'k')
        self.assertEqual(entry.refusal.verdict, MAY_HAVE_RUN)
        entry.arrive('booking')
        self.assertEqual(entry.refusal.verdict, NOT_RUN)

    @params(
        (claims.InProgress(retry_after_s=2.0), REASON.IN_PROGRESS, 2.0),
        (claims.OutcomeUnknown(), REASON.OUTCOME_UNKNOWN, None),
        (
            claims.ClaimsUnavailable(
                retry_after_s=1.0,
                reason=claims.UnavailableReason.HOLDERS_UNREACHABLE,
            ),
            REASON.CLAIMS_UNAVAILABLE,
            1.0,
        ),
    )
    def test_a_claim_not_granted(self, result, reason, retry_after_s):
        entry = Entry()
        entry.claim(entry.arrive('booking', 'k'), result)
        self.assertEqual(entry.refusal.reason, reason)
        self.assertEqual(entry.refusal.verdict, MAY_HAVE_RUN)
        self.assertEqual(entry.refusal.retry_after_s, retry_after_s)
        self.assertEqual(entry.dispatched(claims.Abandon), [])


class Claims(unittest.TestCase):
    def test_an_outcome_too_large_to_record_is_refused_as_run(self):
        """Guards against a 500 for a resend, after an exception in its thread.

        The answer to the first send was too large to be recorded, so there is
        no outcome to replay.
        """
        entry = Entry()
        entry.claim(
            entry.arrive('booking', 'k'), claims.Replayed(outcome=None)
        )
        self.assertEqual(entry.refusal.verdict, RAN)

    def test_a_claimed_call_takes_no_longer_than_its_record_lasts(self):
        """Guards against a call with a key that never gets an answer.

        If the service's timeout exceeds the retention of claims, the claims
        part raises an exception, and the reducer drops the event.
        """
        entry = Entry(max_claimed_s=2.0)
        entry.arrive('booking', 'k')
        (begin,) = entry.dispatched(claims.Begin)
        self.assertEqual(begin.deadline_s, 2.0)

    @params(
        ('booking', NOT_RUN, 1),
        ('booking', MAY_HAVE_RUN, 0),
        ('quote', None, 0),
    )
    def test_a_claim_is_released_only_with_proof(self, kind, known, abandoned):
        entry = Entry()
        if kind == 'quote':
            entry.leave(entry.decoding(kind, 'k'))
        else:
            request_id = entry.calling(kind)
            for _ in range(requests.MAX_ATTEMPTS):
                if not entry.found(effects.Refuse):
                    entry.answer(request_id, RETRY.STREAM_BROKEN, known=known)
                    if not entry.found(effects.Refuse):
                        entry.tick(1.0)
                        entry.book(request_id)
        self.assertEqual(len(entry.dispatched(claims.Abandon)), abandoned)

    def test_a_disconnect_releases_the_claim_of_an_idempotent_call(self):
        entry = Entry()
        entry.leave(entry.decoding('completion', 'k'))
        self.assertEqual(len(entry.dispatched(claims.Abandon)), 1)

    def test_a_call_that_ends_just_past_its_deadline_is_recorded(self):
        entry = Entry()
        request_id = entry.calling()
        entry.tick(11.0)
        self.assertEqual(entry.refusal.verdict, MAY_HAVE_RUN)
        entry.answer(request_id)
        self.assertEqual(len(entry.dispatched(claims.Finish)), 1)


class NextSteps(unittest.TestCase):
    @params(False, True)
    def test_a_kv_cache_moves_without_a_release(self, paces_bookings):
        """Guards against a second prefill after every refused import.

        The decode engine is full. If the move began with a release, the owner
        would cancel on both engines, and the KV cache would be lost.
        """
        entry = Entry(paces_bookings=paces_bookings)
        request_id = entry.decoding()
        entry.decode(request_id, RETRY.IMPORT_REFUSED, tokens=0, known=NOT_RUN)
        self.assertEqual(entry.sent(cells.Release), [])
        self.assertEqual(entry.one(cells.CancelStream).backend_id, 'd1')
        ((_, book),) = entry.sent(cells.Book)
        self.assertEqual((book.stage, book.exclude), ('decode', ('d1',)))
        entry.receive(entry.booked(request_id))
        self.assertEqual(entry.out, [], 'the pair that it moves away from')
        entry.book(
            request_id, prefill_id='', decode_id='d2', decode_url='http://d2'
        )
        run = entry.one(effects.RunDecode)
        self.assertEqual((run.kv, run.url), ('kv1', 'http://d2'))
        entry.leave(request_id)
        engines = {each.backend_id for each in entry.found(cells.CancelStream)}
        self.assertEqual(engines, {'p1', 'd2'})

    @params('booked', 'queued')
    def test_a_move_that_a_former_owner_books_late(self, answer):
        """Guards against memory that a former owner keeps for a lease.

        A move keeps the attempt's id, so a plain release would break it off
        at the engine that the present owner booked.
        """
        entry = Entry()
        request_id = entry.decoding()
        entry.decode(request_id, RETRY.IMPORT_REFUSED, tokens=0, known=NOT_RUN)
        entry.directory.owners = (NEXT_OWNER,)
        entry.tick(reservations.OWNER_RETRY_S)
        entry.tick(reservations.OWNER_RETRY_S)
        move = {'prefill_id': '', 'decode_id': 'd2', 'decode_url': 'http://d2'}
        entry.book(request_id, sender=NEXT_OWNER, **move)
        late = (
            entry.booked(request_id, **move)
            if answer == 'booked'
            else queued(entry, request_id)
        )
        entry.receive(late)
        ((owner, release),) = entry.sent(cells.Release)
        self.assertEqual(
            (owner, release.outcome),
            (OWNER, cells.Outcome.TAKEN_OVER),
        )
        self.assertEqual(entry.found(cells.CancelStream), [])

    @params('declined', 'late', 'queued')
    def test_a_failed_move_is_followed_by_another_prefill(self, why):
        """Guards against failing a request instead of prefilling it again.

        The import is refused, and no other decode engine is free. That must
        neither end the request nor leak its booking.
        """
        entry = Entry()
        request_id = entry.decoding()
        entry.decode(request_id, RETRY.IMPORT_REFUSED, tokens=0, known=NOT_RUN)
        if why == 'declined':
            entry.receive(_declined(entry, request_id))
        else:
            if why == 'queued':
                entry.receive(queued(entry, request_id))
            entry.tick(requests.KV_LIFE_S + 0.1)
        self.assertEqual(len(entry.sent(cells.Release)), 1)
        self.assertEqual([tokens for _, tokens in entry.wastes], [100])
        entry.tick(1.0)
        ((_, book),) = entry.sent(cells.Book)
        self.assertEqual(book.stage, 'pair')

    def test_the_booking_has_the_remaining_life_of_the_cache(self):
        entry = Entry()
        request_id = entry.decoding()
        entry.now += 0.25
        entry.decode(request_id, RETRY.IMPORT_REFUSED, tokens=0, known=NOT_RUN)
        ((_, book),) = entry.sent(cells.Book)
        self.assertAlmostEqual(requests.KV_LIFE_S - 0.25, book.deadline_s)

    @params(
        (RETRY.KV_EVICTED, 0.0), (RETRY.TRANSFER_STALLED, requests.KV_LIFE_S)
    )
    def test_a_kv_cache_that_is_gone_is_not_moved(self, failure, after_s):
        entry = Entry()
        request_id = entry.decoding()
        entry.now += after_s
        entry.decode(request_id, failure, tokens=0, known=NOT_RUN)
        ((_, book),) = entry.sent(cells.Book)
        self.assertEqual(book.stage, 'pair')
        self.assertEqual(
            entry.wastes, [(waste.WasteReason(failure.value), 100)]
        )

    def test_a_stream_resumes_while_it_makes_progress(self):
        entry = Entry()
        request_id = entry.decoding()
        for tokens in (4, 6):
            entry.decode(request_id, RETRY.STREAM_STALLED, tokens=tokens)
            entry.one(effects.RunDecode)
            self.assertEqual(entry.retries, [RETRY.STREAM_STALLED])
        entry.decode(request_id, RETRY.STREAM_BROKEN, tokens=6)
        ((_, book),) = entry.sent(cells.Book)
        self.assertEqual((book.stage, book.exclude), ('pair', ('d1',)))

    def test_a_stream_is_not_resumed_at_an_engine_with_a_rate_limit(self):
        """Guards against a request that the owner's count doesn't have."""
        entry = Entry()
        request_id = entry.decoding()
        entry.rate_limits.record(
            entry.now,
            rate_limits.RateLimit(backend_id='d1', incarnation=0, per_s=1.0),
        )
        entry.decode(request_id, RETRY.STREAM_STALLED, tokens=4)
        self.assertEqual(len(entry.sent(cells.Book)), 1)

    def test_a_failing_pool_is_not_overloaded_by_retries(self):
        """Guards against four times the load on a failing pool, in waves.

        Every call fails at once, again and again. Retries need a backoff with
        jitter and a budget.
        """
        entry = Entry()
        waits = []
        for entropy in (0, 2**63):
            request_id = entry.calling('lookup', None)
            entry.answer(request_id, RETRY.STREAM_BROKEN, known=MAY_HAVE_RUN)
            self.assertEqual(len(entry.sent(cells.Book)), 1, 'first at once')
            entry.book(request_id)
            entry.answer(
                request_id,
                RETRY.STREAM_BROKEN,
                known=MAY_HAVE_RUN,
                entropy=entropy,
            )
            self.assertEqual(entry.sent(cells.Book), [])
            request = entry.requests.requests_by_id[request_id]
            waits.append(request.retry_at - entry.now)
        self.assertLess(waits[0], waits[1])

    def test_a_service_has_a_retry_budget_of_its_own(self):
        entry = Entry()
        while entry.requests._budgets.spend(entry.now, 'dieline-llm'):
            pass
        request_id = entry.prefilling()
        entry.prefill(request_id, failure=RETRY.PREFILL_FAILED)
        self.assertEqual(entry.refusal.reason, REASON.RETRIES_SPENT)
        self.assertEqual(
            entry.refusal.retry_after_s, admission.TRANSIENT_RETRY_S
        )
        request_id = entry.calling('lookup', None)
        entry.answer(request_id, RETRY.STREAM_BROKEN, known=MAY_HAVE_RUN)
        self.assertEqual(len(entry.sent(cells.Book)), 1)

    def test_a_prefill_that_can_not_end_in_time_is_not_begun(self):
        entry = Entry()
        request_id = entry.arrive('completion', deadline_s=3.0)
        entry.book(request_id)
        entry.now += 1.6
        entry.prefill(request_id)
        entry.decode(request_id, RETRY.KV_EVICTED, tokens=0, known=NOT_RUN)
        self.assertEqual(entry.refusal.reason, REASON.RETRIES_SPENT)


def _declined(entry, request_id):
    return cells.Declined(
        **entry.ids_of(request_id),
        reason=REASON.NO_CAPACITY,
        retry_after_s=1.0,
        message='full',
    )


class Deadlines(unittest.TestCase):
    @params('claiming', 'queued', 'prefill', 'decode', 'call', 'backoff')
    def test_the_deadline_ends_every_stage(self, stage):
        entry = Entry()
        request_id = _at(entry, stage)
        entry.tick(60.0)
        self.assertEqual(entry.refusal.reason, REASON.DEADLINE_PASSED)
        self.assertEqual(
            entry.refusal.verdict is NOT_RUN, stage in ('queued', 'backoff')
        )
        entry.close(request_id)
        self.assertEqual(entry.requests.requests_by_id, {})

    def test_every_step_gets_the_remaining_time(self):
        entry = Entry()
        request_id = entry.arrive('completion', deadline_s=5.0)
        entry.now += 1.0
        entry.book(request_id)
        self.assertEqual(entry.one(effects.RunPrefill).deadline_in_s, 4.0)
        entry.now += 1.0
        entry.prefill(request_id)
        self.assertEqual(entry.one(effects.RunDecode).deadline_in_s, 3.0)

    def test_a_refusal_of_the_owner_is_forwarded_at_once(self):
        entry = Entry()
        request_id = entry.arrive('booking')
        entry.receive(_declined(entry, request_id))
        self.assertEqual(entry.refusal.verdict, NOT_RUN)
        self.assertEqual(entry.refusal.retry_after_s, 1.0)
        self.assertEqual(entry.sent(cells.Release), [])


class Owners(unittest.TestCase):
    def test_two_instances_that_name_each_other_as_owner(self):
        """Guards against thousands of messages per second in a redirect loop.

        Two instances name each other as the owner.
        """
        entry = Entry()
        request_id = entry.arrive('lookup')
        asked = 0
        for turn in range(20):
            holders = (OWNER, NEXT_OWNER)
            sender, holder = holders[turn % 2], holders[1 - turn % 2]
            message = cells.NotOwner(**entry.ids_of(request_id), holder=holder)
            entry.receive(message, sender)
            asked += len(entry.sent(cells.Book))
        self.assertEqual(asked, reservations.MAX_REDIRECTS)

    def test_a_cell_without_an_owner(self):
        entry = Entry()
        entry.arrive('lookup')
        entry.tick(reservations.OWNER_SEARCH_S)
        self.assertEqual(entry.refusal.reason, REASON.NO_OWNER)
        self.assertEqual(entry.refusal.verdict, NOT_RUN)
        self.assertEqual(len(entry.sent(cells.Release)), 1)

    def test_a_queued_call_is_refused_soon_after_its_owner_failed(self):
        """Guards against calls without an answer before clients disconnect.

        An owner queues a call and stops responding. If the entry searched for
        another owner for 5 s, as it does after a prefill, clients would
        disconnect first, after less than 4 s: 2,502 calls in one day.
        """
        entry = Entry()
        request_id = entry.arrive('completion')
        entry.receive(queued(entry, request_id))
        began_at = entry.now
        while not entry.found(effects.Refuse):
            entry.tick()
        most_s = reservations.QUEUE_TIMEOUT_S + reservations.OWNER_SEARCH_S
        self.assertLess(entry.now - began_at, most_s + 0.25)
        self.assertEqual(entry.refusal.reason, REASON.NO_OWNER)
        self.assertEqual(entry.refusal.verdict, NOT_RUN)
        self.assertEqual(entry.refusal.retry_after_s, 1.0)

    def test_a_lost_booked_message_is_recovered(self):
        """Guards against a request that waits until its deadline for its slot.

        The owner books a slot for a queued request and sends this once. If
        the message is lost, the renewals keep the slot booked, so the entry
        has to repeat its booking.
        """
        entry = Entry()
        request_id = entry.arrive('completion')
        _queue(entry, request_id)
        entry.tick(cells.PROGRESS_INTERVAL_S)
        ((_, book),) = entry.sent(cells.Book)
        self.assertEqual(
            book.attempt_id, entry.ids_of(request_id)['attempt_id']
        )
        entry.book(request_id)
        entry.one(effects.RunPrefill)

    def test_a_queued_request_survives_its_owner(self):
        """Guards against requests that are lost in a failed owner's queue.

        Only requests with a slot are reclaimed at the next owner, so queued
        ones have to be booked anew.
        """
        entry = Entry()
        request_id = entry.arrive('completion')
        _queue(entry, request_id)
        old = entry.ids_of(request_id)['attempt_id']
        entry.directory.owners = (NEXT_OWNER,)
        entry.tick(reservations.QUEUE_TIMEOUT_S)
        ((to, book),) = entry.sent(cells.Book)
        self.assertEqual(to, NEXT_OWNER)
        self.assertNotEqual(book.attempt_id, old)

    def test_bookings_are_reclaimed_before_they_are_renewed(self):
        entry = Entry()
        held = [entry.decoding(), entry.prefilling(), entry.calling()]
        queued = entry.arrive('completion')
        _queue(entry, queued)
        entry.directory.owners = (NEXT_OWNER, OWNER)
        entry.tick(cells.PROGRESS_INTERVAL_S)
        ((to, reclaim),) = entry.sent(cells.Reclaim)
        self.assertEqual(to, NEXT_OWNER)
        reclaimed = {each.request_id: each for each in reclaim.bookings}
        self.assertEqual(set(reclaimed), set(held))
        self.assertEqual(
            [reclaimed[each].prefill_done for each in held],
            [True, False, True],
        )
        ((_, progress),) = entry.sent(cells.Progress)
        self.assertEqual(len(progress.bookings), 3)
        entry.tick(cells.PROGRESS_INTERVAL_S)
        self.assertEqual(entry.sent(cells.Reclaim), [])

    def test_a_new_owner_gets_all_bookings_and_queued_requests(self):
        entry = Entry()
        held = entry.decoding()
        queued = entry.arrive('completion')
        _queue(entry, queued)
        entry.take(
            entry.requests.reclaim_all(
                entry.now, entry_fake.CELL, NEXT_OWNER, 2
            )
        )
        ((to, reclaim),) = entry.sent(cells.Reclaim)
        self.assertEqual((to, reclaim.epoch), (NEXT_OWNER, 2))
        self.assertEqual(
            [each.request_id for each in reclaim.bookings], [held]
        )
        ((to, book),) = entry.sent(cells.Book)
        self.assertEqual((to, book.request_id), (NEXT_OWNER, queued))

    def test_bookings_are_reclaimed_again_at_a_new_owner(self):
        """Guards against a change of owner that aborts healthy streams.

        The new owner may send ``Cancelled`` before the reclaim of the booking
        has arrived there, so ``Cancelled`` alone is no proof.
        """
        entry = Entry()
        request_id = entry.decoding()
        entry.cancelled(request_id, epoch=2, sender=NEXT_OWNER)
        self.assertEqual(len(entry.sent(cells.Reclaim)), 1)
        entry.now += 1.0
        entry.cancelled(request_id, epoch=2, sender=NEXT_OWNER)
        self.assertEqual(len(entry.sent(cells.Reclaim)), 1)
        entry.cancelled(request_id, epoch=0, sender=OWNER)
        self.assertEqual(entry.out, [], 'from before the booking')

    @params('same owner', 'next owner')
    def test_work_in_a_lost_slot_is_aborted(self, whose):
        """Guards against an engine that runs more streams than it has slots.

        This process is suspended for longer than a booking's lease, so the
        owner gives the slot to another request. The ``Cancelled`` that follows
        must not be answered with a reclaim.
        """
        entry = Entry()
        request_id = entry.decoding()
        old = entry.ids_of(request_id)['attempt_id']
        if whose == 'next owner':
            entry.directory.owners = (NEXT_OWNER,)
            entry.tick(cells.PROGRESS_INTERVAL_S)
            entry.now += cells.BOOKING_LEASE_S + 1
            entry.cancelled(request_id, epoch=2, sender=NEXT_OWNER)
        else:
            entry.cancelled(request_id)
        self.assertEqual(entry.sent(cells.Reclaim), [])
        self.assertEqual(entry.one(effects.Abort).attempt_id, old)
        self.assertEqual(len(entry.found(cells.CancelStream)), 2)
        self.assertEqual(entry.retries, [RETRY.OWNER_CHANGED])
        self.assertEqual(len(entry.sent(cells.Book)), 1)

    def test_the_end_of_an_aborted_step_arrives_in_backoff(self):
        """Guards against an exception in the reducer and a lost request.

        A second attempt loses its slot, and the request is in backoff. Then
        the end of its step is reported. The third attempt has no id of its
        own before it begins.
        """
        entry = Entry()
        request_id = entry.prefilling()
        entry.prefill(request_id, failure=RETRY.PREFILL_FAILED)
        entry.book(request_id)
        entry.cancelled(request_id)
        entry.prefill(request_id, failure=RETRY.PREFILL_FAILED)
        self.assertEqual(len(entry.found(cells.CancelStream)), 2)
        entry.tick(1.0)
        self.assertEqual(len(entry.sent(cells.Book)), 1)

    def test_cancelled_of_an_earlier_owner_is_ignored(self):
        """Guards against a leaked slot at the new owner.

        The booking has moved to a new owner, and the old one, which made it,
        sends ``Cancelled``. Comparing the epochs does not suffice.
        """
        entry = Entry()
        request_id = entry.decoding()
        entry.directory.owners = (NEXT_OWNER,)
        entry.tick(cells.PROGRESS_INTERVAL_S)
        entry.cancelled(request_id, epoch=1, sender=OWNER)
        self.assertEqual(entry.out, [])

    def test_a_plain_call_completes_after_its_slot_is_lost(self):
        entry = Entry()
        request_id = entry.calling(key=None)
        entry.cancelled(request_id)
        self.assertEqual(entry.out, [])
        entry.answer(request_id)
        entry.one(effects.Complete)
        self.assertEqual(entry.sent(cells.Release), [])

    def test_a_late_booking_of_a_removed_request_is_released(self):
        entry = Entry()
        request_id = entry.arrive('completion')
        late = entry.booked(request_id)
        entry.leave(request_id)
        entry.close(request_id)
        entry.receive(late)
        self.assertEqual(len(entry.sent(cells.Release)), 1)
        self.assertEqual(
            entry.one(effects.CountLate).what, effects.LateKind.OWNER
        )


class UnknownRequests(unittest.TestCase):
    def test_steps_of_removed_requests_are_ignored(self):
        entry = Entry()
        entry.post(
            events.StepEnded,
            request_id='gone',
            attempt_id='gone.1',
            step=events.Step.CALL,
            known=RAN,
        )
        self.assertEqual(entry.out, [])
