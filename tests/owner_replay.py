"""Replays a burst of streams at an owner with little processor time.

Entries and the owner's cell are the real ones; time is virtual. The owner's
processor handles messages in order of arrival, each sent or received one at
the same cost. Its lease passes to the next candidate when a message has waited
for too long.
"""

import collections
import heapq
import itertools

from dandeliongw.cell import cell_types
from dandeliongw.cell import cells
from dandeliongw.cell import declines
from dandeliongw.cell import policy
from dandeliongw.cell import takeover
from dandeliongw.coordination import parts
from dandeliongw import effects
from dandeliongw import events
from tests import entry_fake
from tests import test_cells

MESSAGES_PER_S = 1200
#: Processor time of the owner for each waiting call that a decision compares.
#: At 150 calls a second and 140 that wait, the present decisions take 0.2 to
#: 0.46 s a second; this is 0.42 s for new bookings, without what dispatches
#: take.
DECISION_S = 20e-6
LINK_S = 0.002
#: A message that waits for so long shows that the lease is not renewed.
LEASE_LAG_S = 2.0
#: Until the next candidate has the lease of an owner that lost it.
LEASE_GAP_S = 0.5
#: The same for one that died.
DEAD_OWNER_S = 2.25
TICK_S = 0.05
PREFILL_S = 0.1
DECODE_S = 2.4
#: Streams that the engine decodes at once; 55 of them fit per second.
SLOTS = 138
#: Calls that the owner queues, and for how long.
MAX_QUEUE = 140
MAX_WAIT_S = 1.5
#: After so many seconds without an answer, a client gives up.
PATIENCE_S = 4.0


class SlotPolicy:
    """Places streams in order of arrival, as cheaply as possible."""

    def __init__(self, slots=SLOTS):
        self._slots = slots
        #: Bookings decided on or compared since it was set to 0.
        self.decided = 0

    def decide(self, *, now, view, booking):
        self.decided += 1 + len(view.queue)
        placed = None if view.queue else self._place(view)
        if placed is not None:
            return placed
        if len(view.queue) >= MAX_QUEUE:
            return declines.full(booking)
        booking.latest_start_at = min(now + MAX_WAIT_S, booking.deadline_at)
        return policy.Wait(expected_s=len(view.queue) / 55)

    def dispatch(self, *, now, view):
        self.decided += len(view.queue)
        first = next(iter(view.queue))
        if now > first.latest_start_at:
            return [(first, declines.waited(first))]
        placed = self._place(view)
        return [] if placed is None else [(first, placed)]

    def _place(self, view):
        decode = view.backends_by_id['d1']
        if len(decode.bookings_by_key) >= self._slots:
            return None
        return policy.Place(prefill_id='p1', decode_id='d1')


class Directory(entry_fake.Directory):
    """Knows the owner as the directory of an instance does."""

    def __init__(self, candidates):
        super().__init__()
        self.candidates = candidates
        self.hint = candidates[0]
        self.epoch = 0

    @property
    def owners(self):
        others = [each for each in self.candidates if each != self.hint]
        return (self.hint, *others) if self.hint else self.candidates

    @owners.setter
    def owners(self, _):
        pass

    def record_owner(self, holder, epoch):
        if epoch >= self.epoch:
            self.hint, self.epoch = holder, epoch

    def record_not_owner(self, sender, holder):
        if self.hint == sender:
            self.hint = holder if holder != sender else ''


class Owner:
    """A candidate for the cell, with its processor."""

    def __init__(self, replay, name):
        self.replay = replay
        self.name = name
        self.inbox = collections.deque()
        self.is_busy = False
        self.is_dead = False
        self.cell = None
        self.takeover = None

    def gain(self, epoch):
        now = self.replay.now
        terms = cell_types.CellTerms(
            first_token_s=1.0, token_gap_s=0.05, timeout_s=20.0
        )
        self.policy = SlotPolicy()
        self.cell = cells.Cell(
            cell_id=entry_fake.CELL,
            service='dieline-llm',
            epoch=epoch,
            document_part=terms,
            policy=self.policy,
        )
        backends = (
            test_cells.make_backend('p1', 'prefill', slots=1000),
            test_cells.make_backend('d1', 'decode', slots=SLOTS),
        )
        self.cell.handle(cells.BackendsChanged(now=now, backends=backends))
        self.takeover = takeover.Takeover(
            now=now,
            cell=entry_fake.CELL,
            epoch=epoch,
            awaited=frozenset(self.replay.entries_by_id),
        )
        self._send(now, self.takeover.announce())

    def die(self):
        """Stop at once; the lease runs out."""
        self.is_dead = True
        self.cell = None
        self.replay.lose_lease(self, DEAD_OWNER_S)

    def receive(self, sender, message):
        if self.is_dead:
            return
        self.inbox.append((self.replay.now, sender, message))
        if not self.is_busy:
            self.is_busy = True
            self.work()

    def work(self):
        if self.is_dead or not self.inbox:
            self.is_busy = False
            return
        now = self.replay.now
        came_at, sender, message = self.inbox.popleft()
        self.replay.lag_s = max(self.replay.lag_s, now - came_at)
        if self.cell is not None and now - came_at > self.replay.lease_lag_s:
            self.cell = None
            self.replay.lose_lease(self, LEASE_GAP_S)
        event = parts.Received(now=now, sender=sender, message=message)
        sent = self._handle(event)
        cost_s = (1 + len(sent)) / MESSAGES_PER_S
        if self.cell is not None:
            cost_s += self.policy.decided * DECISION_S
            self.policy.decided = 0
        self._send(now + cost_s, sent)
        self.replay.at(now + cost_s, self.work)

    def _handle(self, event):
        self.replay.messages += 1
        message = event.message
        if self.cell is None:
            return self._not_owner(event)
        if self.takeover is None:
            return self._sends(self.cell.handle(event))
        if isinstance(message, cells.Book):
            return self.takeover.delay_book(event)
        if isinstance(message, cells.Reclaim):
            self.takeover.record_reclaim(event.sender)
        return self._sends(self.cell.handle(event)) + self._end_takeover()

    def _not_owner(self, event):
        about = message = event.message
        if isinstance(message, cells.Progress) and message.queued:
            about = message.queued[0]
        elif not isinstance(message, cells.Book):
            return []
        reply = cells.NotOwner(
            cell=message.cell,
            request_id=about.request_id,
            attempt_id=about.attempt_id,
            holder=self.replay.holder,
        )
        return [parts.Send(to=event.sender, message=reply)]

    def tick(self):
        if self.cell is None:
            return
        sent = self._sends(
            self.cell.handle(parts.Ticked(now=self.replay.now, entropy=0))
        )
        self._send(self.replay.now, sent + self._end_takeover())

    def _end_takeover(self):
        if self.takeover is None or not self.takeover.is_over(self.replay.now):
            return []
        delayed = self.takeover.release(self.replay.now)
        self.takeover = None
        return [
            sent
            for event in delayed
            for sent in self._sends(self.cell.handle(event))
        ]

    def _sends(self, found):
        return [each for each in found if isinstance(each, parts.Send)]

    def _send(self, at, sends):
        for send in sends:
            self.replay.deliver(at, self.name, send)


class Replay:
    """The entries, their clients and the candidates for the cell."""

    def __init__(
        self, *, entries=74, owners=5, lease_lag_s=LEASE_LAG_S, **options
    ):
        self.now = 100.0
        self.events = []
        self.order = itertools.count()
        self.messages = 0
        self.lag_s = 0.0
        self.lease_lag_s = lease_lag_s
        self.owner_changes = 0
        self.epoch = 1
        names = tuple(f'owner-{number}' for number in range(owners))
        self.owners_by_id = {name: Owner(self, name) for name in names}
        self.holder = names[0]
        self.entries_by_id = {}
        for number in range(entries):
            name = f'entry-{number}'
            entry = entry_fake.Entry(
                directory=Directory(names), now=self.now, **options
            )
            entry.ids = map(f'{name}.{{}}'.format, itertools.count(1))
            self.entries_by_id[name] = entry
            self.at(self.now + number / entries, self.tick, name)
        #: Times of arrival, and of the first placement, by call.
        self.arrived_at_by_id = {}
        self.placed_at_by_id = {}
        self.calls_by_request_id = {}
        self.refusals = []
        self.owners_by_id[self.holder].gain(self.epoch)
        self.at(self.now, self.tick_owners)

    def at(self, time, act, *arguments):
        heapq.heappush(self.events, (time, next(self.order), act, arguments))

    def run(self, until):
        while self.events and self.events[0][0] <= until:
            self.now, _, act, arguments = heapq.heappop(self.events)
            act(*arguments)
        self.now = until

    def offer(self, per_s, seconds):
        """Let streams arrive, evenly, and run for that time."""
        names = list(self.entries_by_id)
        began_at = self.now
        for number in range(round(per_s * seconds)):
            call_id = len(self.arrived_at_by_id) + number
            name = names[call_id * 29 % len(names)]
            self.at(began_at + number / per_s, self.arrive, name, call_id)
        self.run(began_at + seconds)

    # Owners

    def tick_owners(self):
        for owner in self.owners_by_id.values():
            owner.tick()
        self.at(self.now + TICK_S, self.tick_owners)

    def lose_lease(self, owner, gap_s):
        self.owner_changes += 1
        names = list(self.owners_by_id)
        following = names[(names.index(owner.name) + 1) % len(names)]
        self.holder = ''
        self.at(self.now + gap_s, self.gain_lease, following)

    def gain_lease(self, name):
        self.holder = name
        self.epoch += 1
        self.owners_by_id[name].gain(self.epoch)

    def deliver(self, at, sender, send):
        if send.to in self.owners_by_id:
            act = self.owners_by_id[send.to].receive
        else:
            act = self.receive
            sender = (send.to, sender)
        self.at(at + LINK_S, act, sender, send.message)

    # Entries

    def receive(self, sender, message):
        name, owner = sender
        entry = self.entries_by_id[name]
        entry.now = self.now
        directory = entry.directory
        if isinstance(message, cells.NotOwner):
            directory.record_not_owner(owner, message.holder)
        elif isinstance(message, cells.Booked | cells.Queued):
            directory.record_owner(owner, message.epoch)
        if not isinstance(message, cells.ReclaimWanted):
            entry.receive(message, owner)
        elif message.epoch >= directory.epoch:
            directory.record_owner(owner, message.epoch)
            entry.take(
                entry.requests.reclaim_all(
                    self.now, message.cell, owner, message.epoch
                )
            )
        self.perform(name)

    def tick(self, name):
        entry = self.entries_by_id[name]
        entry.now = self.now
        entry.tick(0.0)
        self.perform(name)
        self.at(self.now + TICK_S, self.tick, name)

    def post(self, name, event_class, **fields):
        entry = self.entries_by_id[name]
        entry.now = self.now
        entry.post(event_class, **fields)
        self.perform(name)

    def perform(self, name):
        entry = self.entries_by_id[name]
        found, entry.out, entry.all = entry.out, [], []
        for effect in found:
            if isinstance(effect, parts.Send):
                self.deliver(self.now, name, effect)
            elif isinstance(effect, effects.Directive):
                self.direct(name, effect)

    def direct(self, name, effect):
        request_id = effect.request_id
        call_id, is_resent = self.calls_by_request_id[request_id]
        match effect:
            case effects.RunPrefill():
                self.placed_at_by_id.setdefault(call_id, self.now)
                self.step(name, effect, events.Step.PREFILL, PREFILL_S)
            case effects.RunDecode():
                self.step(name, effect, events.Step.DECODE, DECODE_S)
            case effects.Refuse():
                self.refusals.append((self.now, effect.refusal))
                self.close(name, request_id)
                self.retry(call_id, is_resent, effect.refusal)
            case effects.Complete():
                self.close(name, request_id)

    def close(self, name, request_id):
        self.at(
            self.now,
            lambda: self.post(
                name, events.RequestClosed, request_id=request_id
            ),
        )

    def step(self, name, effect, step, seconds):
        def end():
            entry = self.entries_by_id[name]
            if effect.request_id in entry.requests.requests_by_id:
                entry.now = self.now
                entry.end(
                    effect.request_id, step, attempt_id=effect.attempt_id
                )
                self.perform(name)

        self.at(self.now + seconds, end)

    # Clients

    def arrive(self, name, call_id, is_resent=False):
        self.arrived_at_by_id.setdefault(call_id, self.now)
        entry = self.entries_by_id[name]
        entry.now = self.now
        request_id = next(entry.ids)
        self.calls_by_request_id[request_id] = (call_id, is_resent)
        entry.post(
            events.RequestArrived,
            request_id=request_id,
            call=entry_fake.call('completion'),
            entropy=0,
        )
        self.perform(name)
        ends_at = self.arrived_at_by_id[call_id] + PATIENCE_S
        self.at(ends_at, self.give_up, name, request_id, call_id)

    def give_up(self, name, request_id, call_id):
        if call_id not in self.placed_at_by_id:
            self.post(name, events.CallerGone, request_id=request_id)

    def retry(self, call_id, is_resent, refusal):
        left_s = self.arrived_at_by_id[call_id] + PATIENCE_S - self.now
        after_s = refusal.retry_after_s
        if is_resent or after_s is None or after_s > left_s / 3:
            return
        names = list(self.entries_by_id)
        name = names[(call_id * 29 + 7) % len(names)]
        self.at(self.now + after_s, self.arrive, name, call_id, True)

    # Results

    def share_placed(self, since, until):
        """Return the part that was placed of what arrived in a time."""
        arrived = [
            call_id
            for call_id, at in self.arrived_at_by_id.items()
            if since <= at < until
        ]
        placed = [each for each in arrived if each in self.placed_at_by_id]
        return len(placed) / len(arrived)

    def placed_by_second(self):
        counts = collections.Counter(
            int(at - 100.0) for at in self.placed_at_by_id.values()
        )
        return [counts[second] for second in range(int(self.now - 100.0))]
