"""The relay of a request, with engines that send arbitrary answers."""

import queue
import threading
import unittest

import msgspec
from nose2.tools import params

from dandeliongw import effects
from dandeliongw import engine
from dandeliongw.entry import outcome
from dandeliongw.entry import relay
from dandeliongw import events
from dandeliongw import http_backends
from dandeliongw import verdict
from tests import entry_fake
from tests import raw_server
from tests.raw_server import end
from tests.raw_server import piece
from tests.raw_server import STREAM_HEAD

RETRY = verdict.RetryReason
NOT_RUN = verdict.Verdict.NOT_RUN
TIMEOUT_S = 20
IMPORTED = raw_server.answer({'bytes': 1})
OVER = effects.Refuse(
    request_id='r',
    refusal=verdict.Refusal(
        reason=verdict.RefusalReason.CALLER_GONE,
        verdict=NOT_RUN,
        message='over',
    ),
)
PREFILLED = raw_server.answer({'kv': 'k', 'tokens': 5})


class Adapters:
    def model_engine(
        self, url, backend_id, pieces_received, account, on_rate_limit
    ):
        return http_backends.HttpEngine(
            url=url,
            connect_s=20.0,
            first_byte_s=20.0,
            stall_s=20.0,
            on_rate_limit=on_rate_limit,
        )

    def plain_service(
        self, url, backend_id, timeout_s, account, on_rate_limit
    ):
        return http_backends.PlainService(
            url=url,
            connect_s=20.0,
            timeout_s=timeout_s,
            on_rate_limit=on_rate_limit,
        )


class RelayThread:
    """A relay in a thread of its own; the test acts as its reducer."""

    def __init__(self, kind='completion', clock=lambda: 0.0, **changes):
        self.events = queue.Queue()
        self.pieces = []
        self.relay = relay.Relay(
            request_id='r',
            call=entry_fake.call(kind, **changes),
            payload=relay.RequestPayload(
                prompt='p', path='/bookings', body=b'{}'
            ),
            backends=Adapters(),
            post=lambda make_event: self.events.put(make_event(now=0.0)),
            clock=clock,
        )
        self.thread = threading.Thread(target=self._run)

    def _run(self):
        for item in self.relay.pieces():
            self.pieces.append(item)

    def __enter__(self):
        self.thread.start()
        self.next(events.RequestArrived)
        return self

    def __exit__(self, *_):
        self.relay.put_directive(OVER)
        self.thread.join(TIMEOUT_S)

    def next(self, event_class=events.StepEnded):
        event = self.events.get(timeout=TIMEOUT_S)
        assert isinstance(event, event_class), event
        return event

    def run(self, directive):
        self.relay.put_directive(directive)
        return self.next()

    @property
    def text(self):
        texts = [each for each in self.pieces if hasattr(each, 'text')]
        return ''.join(each.text for each in texts)


def run_decode(url, attempt='r.1', kv='k'):
    return effects.RunDecode(
        request_id='r',
        attempt_id=attempt,
        backend_id='d',
        url=url,
        source_url='http://p',
        kv=kv,
        fence=1,
        deadline_in_s=9.0,
    )


def run_prefill(url, attempt='r.1', **changes):
    fields = {'priority': 0, 'fence': 1, 'deadline_in_s': 9.0, **changes}
    return effects.RunPrefill(
        request_id='r', attempt_id=attempt, backend_id='p', url=url, **fields
    )


def run_call(url, deadline_in_s=9.0):
    return effects.RunCall(
        request_id='r',
        attempt_id='r.1',
        backend_id='s',
        url=url,
        deadline_in_s=deadline_in_s,
    )


def stream(*parts):
    return STREAM_HEAD + b''.join(parts) + b'0\r\n\r\n'


class HeadEngine:
    """Streams a head and the end mark."""

    def import_kv(self, **asked):
        pass

    def decode(self, *, attempt_id, **asked):
        yield engine.ResponseHead(status=200, headers=())
        yield engine.Piece(
            attempt_id=attempt_id, offset=0, text='', is_end=True
        )

    def abort(self):
        pass

    def test_an_aborted_attempt_is_held_no_longer(self):
        """Guards against a thread that waits out its caller's deadline."""
        thread = RelayThread()
        thread.relay._backends.model_engine = lambda *_: HeadEngine()
        directive = msgspec.structs.replace(
            run_decode('http://d'), holds_answer=True
        )
        abort = effects.Abort(request_id='r', attempt_id='r.1')

        class Aborting:
            """Aborts the attempt when the relay begins to wait."""

            def wait(self, timeout):
                thread.relay.put_directive(abort)
                return False

            def is_set(self):
                return False

        thread.relay._answer_allowed = Aborting()
        with thread:
            ended = thread.run(directive)
            self.assertIsNotNone(ended.failure)
            self.assertEqual([], thread.pieces)


class LeaveTest(unittest.TestCase):
    """Guards against a leave that is told only when a long stream ends."""

    def test_it_is_told_with_the_head(self):
        class Leaving(HeadEngine):
            def decode(self, **asked):
                head, end = super().decode(**asked)
                yield msgspec.structs.replace(head, is_leaving=True)
                yield end

        thread = RelayThread()
        thread.relay._backends.model_engine = lambda *_: Leaving()
        with thread:
            thread.relay.put_directive(run_decode('http://d'))
            stated = thread.next(events.LeaveStated)
            self.assertEqual(events.Step.DECODE, stated.step)
            thread.next()


class HeldAnswerTest(unittest.TestCase):
    """Guards against a first piece whose version only this entry knows."""

    @params(True, False)
    def test_nothing_leaves_before_it_is_allowed(self, is_held):
        class Allowed:
            """Notes what has left when the relay begins to wait."""

            left = None

            def wait(self, timeout):
                self.left = list(thread.pieces)
                return True

            def is_set(self):
                return True

        thread = RelayThread()
        allowed = thread.relay._answer_allowed = Allowed()
        thread.relay._backends.model_engine = lambda *_: HeadEngine()
        directive = msgspec.structs.replace(
            run_decode('http://d'), holds_answer=is_held
        )
        with thread:
            thread.run(directive)
            self.assertEqual([] if is_held else None, allowed.left)
            self.assertEqual(1, len(thread.pieces))


class Streams(unittest.TestCase):
    @params(
        stream(piece('r.1', 0, 'a')),
        STREAM_HEAD + piece('r.1', 0, 'a'),
        STREAM_HEAD + piece('r.1', 0, 'a') + b'f\r\ndata: {"a',
        stream(piece('r.1', 0, 'a'), piece('r.1', 2, 'c'), end('r.1', 3)),
        stream(piece('r.1', 0, 'a'), end('r.1', 3)),
        stream(piece('r.1', 0, 'a'), end('r.1', 0)),
    )
    def test_only_the_right_end_mark_ends_a_stream(self, broken):
        """Guards against a truncated answer that is taken for a complete one.

        The HTTP body ends regularly, or a token is missing. The end of the
        connection must not count as the end of the answer.
        """
        with raw_server.serving(IMPORTED, broken) as server:
            with RelayThread() as runner:
                ended = runner.run(run_decode(server.url))
        self.assertEqual(ended.failure, RETRY.STREAM_BROKEN)
        self.assertEqual(ended.tokens, 1)
        self.assertEqual(runner.text, 'a')

    def test_a_stream_resumes_at_the_first_missing_token(self):
        """Guards against a duplicate or missing token after a resume.

        After a broken connection, the engine repeats a piece. The stream has
        to resume at the client's offset, not at the engine's.
        """
        first = stream(piece('r.1', 0, 'a'), piece('r.1', 1, 'b'))
        again = stream(
            piece('r.1', 1, 'b'), piece('r.1', 2, 'c'), end('r.1', 3)
        )
        with raw_server.serving(IMPORTED, first, again) as server:
            with RelayThread(key='k') as runner:
                runner.run(run_decode(server.url))
                ended = runner.run(run_decode(server.url, kv=''))
        self.assertIsNone(ended.failure)
        self.assertEqual(runner.text, 'abc')
        self.assertEqual(server.bodies()[-1]['from_offset'], 2)
        self.assertEqual(outcome.from_bytes(ended.outcome).text, 'abc')
        connections = [path for path, _, _ in server.calls]
        self.assertEqual(connections.count('/v1/decode'), 2)

    def test_pieces_of_another_attempt_are_dropped_and_counted(self):
        """Guards against text of another attempt in an answer.

        The first attempt answers after the second has begun. The stream id
        is the same for both, so the attempt id has to be checked.
        """
        mixed = stream(
            piece('r.0', 0, 'x'),
            piece('r.1', 0, 'a'),
            end('r.0', 1),
            end('r.1', 1),
        )
        with raw_server.serving(IMPORTED, mixed) as server:
            with RelayThread() as runner:
                ended = runner.run(run_decode(server.url))
        self.assertEqual((runner.text, ended.late_pieces), ('a', 2))
        self.assertIsNone(ended.failure)

    def test_the_text_so_far_is_part_of_the_next_prompt(self):
        """Guards against missing tokens after an engine has failed.

        After two tokens the engine fails. Another one prefills the prompt
        with them and streams the rest. It must not be asked to skip the two
        tokens, which would be skipped twice.
        """
        first = stream(piece('r.1', 0, 'a'), piece('r.1', 1, 'b'))
        again = stream(piece('r.2', 0, 'c'), end('r.2', 1))
        with raw_server.serving(
            IMPORTED, first, PREFILLED, IMPORTED, again
        ) as server:
            with RelayThread() as runner:
                runner.run(run_decode(server.url))
                runner.run(run_prefill(server.url, 'r.2'))
                ended = runner.run(run_decode(server.url, 'r.2'))
        self.assertIsNone(ended.failure)
        self.assertEqual((runner.text, ended.tokens), ('abc', 3))
        self.assertEqual(server.bodies()[2]['prompt'], 'pab')
        last = server.bodies()[-1]
        self.assertEqual((last['from_offset'], last['max_tokens']), (0, 8))
        self.assertEqual(
            [each.offset for each in runner.pieces[:3]], [0, 1, 2]
        )

    def test_an_answer_without_its_end_mark_is_complete(self):
        pieces = [piece('r.1', at, 'a') for at in range(10)]
        with raw_server.serving(IMPORTED, stream(*pieces), stream()) as server:
            with RelayThread(max_tokens=10) as runner:
                ended = runner.run(run_decode(server.url))
                self.assertEqual(ended.failure, RETRY.STREAM_BROKEN)
                ended = runner.run(run_decode(server.url, kv=''))
        self.assertIsNone(ended.failure)
        self.assertEqual(ended.tokens, 10)

    @params(
        ({'reason': 'full'}, RETRY.IMPORT_REFUSED),
        ({'reason': 'evicted'}, RETRY.KV_EVICTED),
        ({'reason': 'stalled'}, RETRY.TRANSFER_STALLED),
    )
    def test_why_an_import_failed(self, body, failure):
        reply = raw_server.answer(body, '409 Conflict')
        with raw_server.serving(reply) as server, RelayThread() as runner:
            ended = runner.run(run_decode(server.url))
        self.assertEqual((ended.failure, ended.known), (failure, NOT_RUN))


class RateLimitTest(unittest.TestCase):
    """Guards against a rate limit that is heard only when a stream ends."""

    def test_the_limit_is_posted_before_the_step_ends(self):
        limited = raw_server.answer(
            {'kv': 'k', 'tokens': 5}, '200 OK', 'X-Requests-Per-S: 1.5'
        )
        with raw_server.serving(limited) as server, RelayThread() as runner:
            runner.relay.put_directive(run_prefill(server.url))
            stated = runner.next(events.RateLimitStated)
            self.assertEqual(
                (stated.attempt_id, stated.step, stated.per_s),
                ('r.1', events.Step.PREFILL, 1.5),
            )
            runner.next(events.StepEnded)

    def test_an_answer_without_a_limit_posts_nothing_more(self):
        with raw_server.serving(PREFILLED) as server, RelayThread() as runner:
            runner.run(run_prefill(server.url))


class CutTest(unittest.TestCase):
    """A step reports whether its connection broke before the answer's end."""

    @params(
        (run_prefill, b'', True),
        (run_prefill, raw_server.answer({}, '503 Busy'), False),
        (run_decode, STREAM_HEAD + piece('r.1', 0, 'a'), True),
        (run_decode, stream(piece('r.1', 0, 'a')), True),
        (run_decode, stream(piece('r.1', 0, 'a'), end('r.1', 3)), False),
        (run_call, b'', True),
        (
            run_call,
            raw_server.answer({}, '503 Busy', 'X-Not-Run: true'),
            False,
        ),
    )
    def test_which_failures_are_cuts(self, make, reply, cut):
        replies = (IMPORTED, reply) if make is run_decode else (reply,)
        kind = 'booking' if make is run_call else 'completion'
        with (
            raw_server.serving(*replies) as server,
            RelayThread(kind) as runner,
        ):
            ended = runner.run(make(server.url))
        self.assertIsNotNone(ended.failure)
        self.assertEqual(cut, ended.is_cut)


class Stops(unittest.TestCase):
    @params('prefill', 'decode', 'call', 'waiting')
    def test_a_stop_wakes_the_thread(self, step):
        """Guards against work that goes on for a disconnected client.

        The client disconnects while an engine sends nothing, so the thread
        is blocked until the engine's next byte.
        """
        with raw_server.serving(lambda c: server.hang()(c)) as server:
            directive = {
                'prefill': run_prefill(server.url),
                'decode': run_decode(server.url, kv=''),
                'call': run_call(server.url),
                'waiting': run_prefill(server.url, start_in_s=60.0),
            }[step]
            kind = 'booking' if step == 'call' else 'completion'
            with RelayThread(kind) as runner:
                runner.relay.put_directive(directive)
                if step != 'waiting':
                    server.served.acquire(timeout=TIMEOUT_S)
                runner.relay.put_directive(
                    effects.Abort(request_id='r', attempt_id='r.1')
                )
                ended = runner.next()
        self.assertIsNotNone(ended.failure)
        self.assertEqual(ended.known is NOT_RUN, step == 'waiting')

    def test_a_stop_before_the_adapter_is_registered_is_not_lost(self):
        """Guards against a prefill for a client that has disconnected.

        The cancellation comes after the thread has checked for one and
        before it has registered its adapter. It must not be lost.
        """
        with raw_server.serving(lambda c: server.hang()(c)) as server:
            runner = RelayThread()

            class LateAbort(Adapters):
                def model_engine(self, *args):
                    runner.relay.put_directive(
                        effects.Abort(request_id='r', attempt_id='r.1')
                    )
                    return super().model_engine(*args)

            runner.relay._backends = LateAbort()
            with runner:
                ended = runner.run(run_prefill(server.url))
        self.assertEqual(ended.known, NOT_RUN)
        self.assertEqual(server.calls, [])

    def test_the_next_attempt_is_not_stopped_with_the_last(self):
        with raw_server.serving(PREFILLED) as server, RelayThread() as runner:
            runner.relay.put_directive(
                effects.Abort(request_id='r', attempt_id='r.1')
            )
            self.assertIsNotNone(runner.run(run_prefill(server.url)).failure)
            ended = runner.run(run_prefill(server.url, 'r.2'))
        self.assertEqual((ended.failure, ended.kv), (None, 'k'))

    @params('prefill', 'decode', 'call')
    def test_work_past_its_deadline_is_not_begun(self, step):
        """Guards against calls that are sent after their deadline.

        The process is suspended between the directive and the call. The
        reducer is suspended as well, so the thread has to check the deadline.
        """
        times = iter([0.0])
        with raw_server.serving(PREFILLED) as server:
            directive = {
                'prefill': run_prefill(server.url),
                'decode': run_decode(server.url),
                'call': run_call(server.url),
            }[step]
            with RelayThread(clock=lambda: next(times, 99.0)) as runner:
                ended = runner.run(directive)
        self.assertEqual(ended.known, NOT_RUN)
        self.assertIsNotNone(ended.failure)
        self.assertEqual(server.calls, [])


class Ends(unittest.TestCase):
    def test_the_outcome_of_a_call_without_a_key_is_not_recorded(self):
        """Guards against copies of long answers that nobody asks for."""
        with raw_server.serving(raw_server.answer(b'ok')) as server:
            with RelayThread('booking') as runner:
                ended = runner.run(run_call(server.url, 2.5))
        self.assertEqual(b'', ended.outcome)

    def test_a_call_has_its_deadline_in_a_header(self):
        with raw_server.serving(raw_server.answer(b'ok')) as server:
            with RelayThread('booking', key='k') as runner:
                ended = runner.run(run_call(server.url, 2.5))
        self.assertEqual(outcome.from_bytes(ended.outcome).body, b'ok')
        self.assertEqual(server.calls[0][1]['x-deadline-s'], '2.500')
        self.assertEqual(server.calls[0][1]['x-request-id'], 'r')

    def test_an_unexpected_exception_has_a_verdict(self):
        """Guards against a client without an answer and a leaked slot.

        An adapter raises an unexpected exception. The thread must report the
        end of the step to the reducer all the same.
        """

        class Raising(Adapters):
            def plain_service(self, *_):
                raise KeyError('odd')

        with RelayThread('booking') as runner:
            runner.relay._backends = Raising()
            ended = runner.run(run_call('http://x'))
        self.assertEqual(ended.known, verdict.Verdict.MAY_HAVE_RUN)
        self.assertEqual(ended.failure, RETRY.STREAM_BROKEN)

    @params(0, 1)
    def test_a_client_that_closes_early_is_reported(self, read):
        posted = []
        runner = relay.Relay(
            request_id='r',
            call=entry_fake.call('completion'),
            payload=relay.RequestPayload(),
            backends=Adapters(),
            post=lambda make_event: posted.append(make_event(now=0.0)),
        )
        with raw_server.serving(
            IMPORTED,
            lambda c: server.hang(STREAM_HEAD, piece('r.1', 0, 'a'))(c),
        ) as server:
            pieces = runner.pieces()
            if read:
                runner.put_directive(run_decode(server.url))
                next(pieces)
            pieces.close()
        kinds = [type(each) for each in posted]
        disconnect = [events.CallerGone, events.RequestClosed]
        self.assertEqual(
            kinds, [events.RequestArrived, *disconnect] if read else []
        )


class PacedEngine:
    """An engine whose tokens arrive at given times on the test's clock."""

    def __init__(self, *arrivals, breaks=False):
        self.now = 0.0
        self.arrivals = arrivals
        self.breaks = breaks

    def model_engine(self, *_):
        return self

    def import_kv(self, **_):
        pass

    def abort(self):
        pass

    def decode(self, *, attempt_id, from_offset, **_):
        offset = from_offset
        for self.now in self.arrivals:
            yield engine.Piece(attempt_id=attempt_id, offset=offset, text='a')
            offset += 1
        if self.breaks:
            raise engine.EngineError(
                'it broke', known=verdict.Verdict.MAY_HAVE_RUN
            )
        yield engine.Piece(
            attempt_id=attempt_id, offset=offset, text='', is_end=True
        )


def paced(paced_engine, directive, posted=None):
    """Return the end of one decode step, run in the test's own thread.

    :param posted: gets all events that are posted.
    """
    posted = [] if posted is None else posted
    runner = relay.Relay(
        request_id='r',
        call=entry_fake.call('completion'),
        payload=relay.RequestPayload(),
        backends=paced_engine,
        post=lambda make_event: posted.append(make_event(now=0.0)),
        clock=lambda: paced_engine.now,
    )
    runner.put_directive(directive)
    last = OVER if paced_engine.breaks else effects.Complete(request_id='r')
    runner.put_directive(last)
    for _ in runner.pieces():
        pass
    (ended,) = [each for each in posted if isinstance(each, events.StepEnded)]
    return ended


class WrittenTest(unittest.TestCase):
    @params((True, RETRY.STREAM_BROKEN), (False, None))
    def test_what_an_engine_wrote_is_reported(self, breaks, failure):
        """Guards against blaming a stream on which the engine went on."""
        paced_engine = PacedEngine(1.0, 1.25, 2.5, breaks=breaks)
        ended = paced(paced_engine, run_decode('http://d'))
        self.assertEqual(failure, ended.failure)
        self.assertEqual(3, ended.pieces)
        self.assertEqual(1.5, ended.wrote_s)

    @params(((1.0, 1.5, 2.0, 2.5), 1), ((1.0, 1.1, 1.2), 0), ((1.0, 9.0), 0))
    def test_that_it_goes_on_is_told_once(self, arrivals, count):
        """Guards against a long stream that tells nothing until its end."""
        posted = []
        paced(PacedEngine(*arrivals), run_decode('http://d'), posted)
        found = [p for p in posted if isinstance(p, events.AnswerGoesOn)]
        self.assertEqual(['r.1'] * count, [each.attempt_id for each in found])

    def test_an_engine_that_wrote_nothing(self):
        ended = paced(PacedEngine(breaks=True), run_decode('http://d'))
        self.assertEqual((0, 0.0), (ended.pieces, ended.wrote_s))


class TokenGaps(unittest.TestCase):
    def test_a_complete_answer_reports_its_mean_gap(self):
        """Guards against decode batches that grow until tokens are late.

        The answers are complete but have wide gaps between their tokens. The
        owner limits the batches by the gaps that are reported to it.
        """
        ended = paced(PacedEngine(1.0, 1.1, 1.4), run_decode('http://d'))
        self.assertAlmostEqual(ended.token_gap_s, 0.2)

    def test_a_resumed_stream_reports_no_gap(self):
        """Guards against a slow engine whose batch is allowed to grow.

        When a stream is resumed, the tokens that were buffered during the
        interruption arrive at once and would make the engine look fast.
        """
        resume = run_decode('http://d', kv='')
        ended = paced(PacedEngine(1.0, 1.0, 1.0, 1.3), resume)
        self.assertEqual(ended.token_gap_s, 0.0)
