"""Stateful test: requests end once, without leaks, in any order of events."""

import collections
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from dandeliongw.cell import cells
from dandeliongw.coordination import claim_messages as claims
from dandeliongw.coordination import parts
from dandeliongw import effects
from dandeliongw import events
from dandeliongw import verdict
from tests import entry_fake

RETRY = verdict.RetryReason
NOT_RUN = verdict.Verdict.NOT_RUN
#: Each owner holds the lease under an epoch of its own.
EPOCHS_BY_OWNER = {'gw-1': 1, 'gw-2': 2, 'gw-3': 3}
OWNERS = tuple(EPOCHS_BY_OWNER)
KINDS = ('lookup', 'booking', 'completion', 'quote')
LAST = (effects.Refuse, effects.Replay, effects.Complete)
RUNS = (effects.RunPrefill, effects.RunCall)
FAILURES_BY_STEP = {
    events.Step.PREFILL: (
        (RETRY.CONNECT_REFUSED, NOT_RUN),
        (RETRY.PREFILL_FAILED, verdict.Verdict.MAY_HAVE_RUN),
    ),
    events.Step.DECODE: (
        (RETRY.IMPORT_REFUSED, NOT_RUN),
        (RETRY.KV_EVICTED, NOT_RUN),
        (RETRY.STREAM_BROKEN, verdict.Verdict.RAN),
    ),
    events.Step.CALL: (
        (RETRY.BACKEND_BUSY, NOT_RUN),
        (RETRY.STREAM_BROKEN, verdict.Verdict.MAY_HAVE_RUN),
        (RETRY.STREAM_BROKEN, verdict.Verdict.RAN),
    ),
}
STEP_BY_RUN = {
    effects.RunPrefill: events.Step.PREFILL,
    effects.RunDecode: events.Step.DECODE,
    effects.RunCall: events.Step.CALL,
}


class Thread:
    """A request's thread, as the entry sees it."""

    def __init__(self, call):
        self.call = call
        self.todo = collections.deque()
        self.last = []
        self.may_have_run = False

    @property
    def is_idempotent(self):
        return self.call.path in ('/lookup', '/v1/completions')


class RequestsMachine(stateful.RuleBasedStateMachine):
    """Clients, threads, owners and claims with arbitrary failures.

    The owners are modelled as a set of bookings: a ``Book`` may add one, a
    ``Release`` removes it. Messages are delivered late, twice or never.
    """

    options = {}

    def __init__(self):
        super().__init__()
        self.entry = entry_fake.Entry(**self.options)
        self.threads_by_id = {}
        self.claims_by_id = {}
        self.finishes = []
        self.to_owners = collections.deque()
        self.to_entry = []
        self.booked = set()
        self.releases = collections.Counter()

    # Effects

    def _take(self):
        for effect in self.entry.out:
            if isinstance(effect, parts.Send):
                self._note_sent(effect)
            elif isinstance(effect, effects.Dispatch):
                self._note_claim(effect.event)
            elif isinstance(effect, effects.Directive):
                self._note_directive(effect)

    def _note_sent(self, send):
        self.to_owners.append(send)
        message = send.message
        if isinstance(message, cells.Release):
            self.releases[send.to, message.attempt_id] += 1
        elif isinstance(message, cells.Reclaim):
            for held in message.bookings:
                self._move_booking(held.attempt_id, send.to)
        elif isinstance(message, cells.Book) and message.stage == 'decode':
            # The earlier owner has lost its lease, and with it the booking.
            self._move_booking(message.attempt_id, send.to)

    def _move_booking(self, attempt_id, holder):
        """Move a booking to the current owner; only its bookings count."""
        self.booked = {each for each in self.booked if each[1] != attempt_id}
        self.booked.add((holder, attempt_id))

    def _note_claim(self, event):
        if isinstance(event, claims.Begin):
            self.claims_by_id[event.attempt_id] = 'asked'
        elif isinstance(event, claims.Abandon):
            thread = self.threads_by_id[event.attempt_id]
            assert thread.is_idempotent or not thread.may_have_run
            self.claims_by_id[event.attempt_id] = 'abandoned'
        elif isinstance(event, claims.Finish):
            self.finishes.append(event.attempt_id)

    def _note_directive(self, effect):
        thread = self.threads_by_id.get(effect.request_id)
        if thread is None:
            return
        if isinstance(effect, LAST):
            thread.last.append(effect)
            self._check_last(thread, effect)
        elif isinstance(effect, RUNS):
            assert thread.is_idempotent or not thread.may_have_run
        if not isinstance(effect, effects.Abort):
            thread.todo.append(effect)

    def _check_last(self, thread, effect):
        assert len(thread.last) == 1
        is_refused = isinstance(effect, effects.Refuse)
        if is_refused and effect.refusal.verdict is NOT_RUN:
            assert not thread.may_have_run

    # Rules

    @stateful.precondition(lambda self: len(self._open()) < 4)
    @stateful.rule(
        kind=strategies.sampled_from(KINDS), keyed=strategies.booleans()
    )
    def arrive(self, kind, keyed):
        key = 'key' if keyed else None
        request_id = f'r{len(self.threads_by_id) + 1}'
        self.threads_by_id[request_id] = Thread(entry_fake.call(kind, key))
        assert self.entry.arrive(kind, key) == request_id
        self._take()

    def _open(self):
        return [k for k, v in self.threads_by_id.items() if not v.last]

    def _asked(self):
        return [k for k, v in self.claims_by_id.items() if v == 'asked']

    def _busy(self):
        return [k for k, v in self.threads_by_id.items() if v.todo]

    def _pick(self, data, among):
        return data.draw(strategies.sampled_from(list(among)))

    @stateful.precondition(lambda self: self._asked())
    @stateful.rule(data=strategies.data())
    def claim(self, data):
        request_id = self._pick(data, self._asked())
        results = (
            claims.Granted(),
            claims.Replayed(outcome=b'{}'),
            claims.Replayed(outcome=None),
            claims.InProgress(retry_after_s=1.0),
        )
        result = data.draw(strategies.sampled_from(results))
        self.claims_by_id[request_id] = 'answered'
        self.entry.claim(request_id, result)
        self._take()

    @stateful.precondition(lambda self: self.finishes)
    @stateful.rule(data=strategies.data())
    def record(self, data):
        request_id = self._pick(data, self.finishes)
        self.finishes.remove(request_id)
        self.entry.record(request_id)
        self._take()

    @stateful.precondition(lambda self: self.to_owners)
    @stateful.rule(
        fate=strategies.sampled_from(('booked', 'queued', 'other', 'lost')),
        holder=strategies.sampled_from(('', *OWNERS)),
    )
    def owner_answers(self, fate, holder):
        self._owner_answers(fate, holder)

    def _owner_answers(self, fate, holder):
        send = self.to_owners.popleft()
        message = send.message
        key = send.to, getattr(message, 'attempt_id', '')
        if isinstance(message, cells.Release):
            # If the release is lost, the booking's lease expires instead.
            self.booked.discard(key)
        if isinstance(message, cells.Book) and fate != 'lost':
            self._answer_book(send, fate, key, holder)

    def _answer_book(self, send, fate, key, holder):
        message = send.message
        ids = {
            'cell': message.cell,
            'request_id': message.request_id,
            'attempt_id': message.attempt_id,
        }
        epoch = EPOCHS_BY_OWNER[send.to]
        if fate == 'other':
            answer = cells.NotOwner(**ids, holder=holder)
        elif fate == 'queued':
            self.booked.add(key)
            answer = cells.Queued(**ids, epoch=epoch, expected_in_s=0.1)
        else:
            self.booked.add(key)
            answer = self._booked(message, ids, epoch)
        self.to_entry.append((send.to, answer))

    def _booked(self, message, ids, epoch):
        places = {'prefill_id': 'p1', 'decode_id': 'd1', 'plain_id': ''}
        if message.stage == 'decode':
            places.update(prefill_id='', decode_id='d2')
        elif message.stage == 'plain':
            places = {'prefill_id': '', 'decode_id': '', 'plain_id': 's1'}
        urls = {
            name.replace('_id', '_url'): place and f'http://{place}'
            for name, place in places.items()
        }
        return cells.Booked(**ids, **places, **urls, epoch=epoch, start_in_s=0)

    @stateful.precondition(lambda self: self.to_owners)
    @stateful.rule()
    def all_are_booked(self):
        """Book everything, so that some requests reach later phases."""
        while self.to_owners:
            self._owner_answers('booked', '')
        while self.to_entry:
            sender, message = self.to_entry.pop()
            self.entry.receive(message, sender)
            self._take()

    @stateful.precondition(lambda self: self.to_entry)
    @stateful.rule(data=strategies.data(), twice=strategies.booleans())
    def deliver(self, data, twice):
        place = self._pick(data, range(len(self.to_entry)))
        sender, message = self.to_entry[place]
        if not twice:
            del self.to_entry[place]
        self.entry.receive(message, sender)
        self._take()

    @stateful.precondition(lambda self: self.entry.requests.requests_by_id)
    @stateful.rule(
        data=strategies.data(), sender=strategies.sampled_from(OWNERS)
    )
    def owner_forgets(self, data, sender):
        open_ids = list(self.entry.requests.requests_by_id)
        request_id = self._pick(data, open_ids)
        epoch = EPOCHS_BY_OWNER[sender]
        ids = self.entry.ids_of(request_id)
        message = cells.Cancelled(**ids, epoch=epoch)
        self.booked.discard((sender, ids['attempt_id']))
        self.entry.receive(message, sender)
        self._take()

    @stateful.precondition(lambda self: self._busy())
    @stateful.rule(
        data=strategies.data(),
        fails=strategies.sampled_from((False, False, True)),
    )
    def step_ends(self, data, fails):
        request_id = self._pick(data, self._busy())
        thread = self.threads_by_id[request_id]
        directive = thread.todo.popleft()
        if isinstance(directive, LAST):
            self.entry.close(request_id)
        else:
            self._run(data, fails, request_id, thread, directive)
        self._take()

    def _run(self, data, fails, request_id, thread, directive):
        step = STEP_BY_RUN[type(directive)]
        failure, known = None, verdict.Verdict.RAN
        if fails:
            choices = FAILURES_BY_STEP[step]
            failure, known = data.draw(strategies.sampled_from(choices))
        if known is not NOT_RUN:
            thread.may_have_run = True
        tokens = data.draw(strategies.integers(0, 9))
        self.entry.end(
            request_id,
            step,
            failure,
            attempt_id=directive.attempt_id,
            known=known,
            tokens=tokens,
            was_sent=failure is not RETRY.CONNECT_REFUSED,
        )

    @stateful.precondition(lambda self: len(self._open()) > 3)
    @stateful.rule(data=strategies.data())
    def leave(self, data):
        request_id = self._pick(data, self._open())
        self.entry.leave(request_id)
        self._take()

    @stateful.rule(seconds=strategies.sampled_from((0.1, 0.3, 1.0)))
    def tick(self, seconds):
        self.entry.tick(seconds)
        self._take()

    @stateful.precondition(lambda self: len(self._open()) == 4)
    @stateful.rule()
    def freeze(self):
        self.entry.tick(6.0)
        self._take()

    @stateful.rule(owners=strategies.permutations(OWNERS))
    def change_owner(self, owners):
        self.entry.directory.owners = tuple(owners[:2])

    @stateful.rule(holder=strategies.sampled_from(OWNERS))
    def owner_asks(self, holder):
        self.entry.take(
            self.entry.requests.reclaim_all(
                self.entry.now,
                entry_fake.CELL,
                holder,
                EPOCHS_BY_OWNER[holder],
            )
        )
        self._take()

    # Invariants

    @stateful.invariant()
    def released_once(self):
        late = effects.LateKind.OWNER
        given_back_late = sum(
            each.what is late
            for each in self.entry.found(effects.CountLate, self.entry.all)
        )
        twice = sum(count - 1 for count in self.releases.values())
        assert twice <= given_back_late

    @stateful.invariant()
    def every_repeat_was_taken_from_the_budget(self):
        for request in self.entry.requests.requests_by_id.values():
            assert request.sends >= 0
            assert request.reserved_sends >= 0

    def teardown(self):
        """Let all requests end; check that nothing is left over."""
        for _ in range(3):
            self.entry.tick(40.0)
            self._take()
            for request_id in list(self.finishes):
                self.finishes.remove(request_id)
                self.entry.record(request_id)
                self._take()
        for request_id, thread in self.threads_by_id.items():
            assert len(thread.last) == 1, thread.call
            self.entry.close(request_id)
            self._take()
        while self.to_entry or self.to_owners:
            self._settle()
        assert not self.booked, self.booked
        assert not self.entry.requests.requests_by_id
        assert self.entry.gate.in_flight == 0
        assert 'asked' not in self.claims_by_id.values()

    def _settle(self):
        while self.to_entry:
            sender, message = self.to_entry.pop()
            self.entry.receive(message, sender)
            self._take()
        while self.to_owners:
            send = self.to_owners.popleft()
            message = send.message
            key = send.to, getattr(message, 'attempt_id', '')
            if isinstance(message, cells.Release):
                self.booked.discard(key)


class PacedRequestsMachine(RequestsMachine):
    """The same with bounded bookings, which wait at the entry, too."""

    options = {'paces_bookings': True}


SETTINGS = hypothesis.settings(
    max_examples=200,
    stateful_step_count=60,
    deadline=None,
    derandomize=True,
    # Shrinking a long example takes minutes, and the example suffices.
    phases=[hypothesis.Phase.generate],
    report_multiple_bugs=False,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
Machine = RequestsMachine.TestCase
PacedMachine = PacedRequestsMachine.TestCase
Machine.settings = PacedMachine.settings = SETTINGS


class TestRequestsMachine(Machine, unittest.TestCase):
    """Runs the state machine deterministically."""


class TestPacedRequestsMachine(PacedMachine, unittest.TestCase):
    """Guards against bookings that pacing loses or makes twice."""


del Machine, PacedMachine
