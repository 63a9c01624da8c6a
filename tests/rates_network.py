"""Instances with rates of accounts in virtual time, and their datagrams."""

import collections
import heapq
import itertools
import random

from dandeliongw.coordination import parts
from dandeliongw.coordination import placement
from dandeliongw.coordination import rates

ACCOUNT = 'studio'
#: Seconds that a datagram takes.
DELAY_S = 0.002
TICK_S = 0.05
#: Seconds of a window in which the rate must hold.
WINDOW_S = 8.0


class Network:
    """Instances with a ``Rates`` each, and the datagrams between them.

    :param count: number of instances.
    :param limit: the limit of ``ACCOUNT``.
    """

    def __init__(self, *, count, limit, loss=0.0, seed=1):
        self.now = 100.0
        self.loss = loss
        self.random = random.Random(seed)
        self.order = itertools.count()
        self.queue = []
        self.tickets = itertools.count()
        #: Instances that are gone, and whatever is sent to them.
        self.down = set()
        #: What reaches suspended instances, until they resume.
        self.held_by_id = {}
        #: Pairs of groups that don't reach each other.
        self.group_by_id = {}
        self.sent = 0
        self.sent_by_kind = collections.Counter()
        #: (time, amount) of each grant; (time, result) by ticket.
        self.granted = []
        self.results = {}
        self.refused_at = []
        self.done_by_ticket = {}
        #: Longest wait after which refused callers return; ``None``: never.
        self.retry_max_s = None
        self.retries = set()
        self.callers = itertools.count(1)
        self.callers_by_ticket = {}
        self.ids = [f'gw-{number}' for number in range(count)]
        self.rates_by_id = {}
        for each in self.ids:
            self.start(each, limit)
        for each in self.ids:
            self.push(self.now + self.random.uniform(0, TICK_S), 'tick', each)
        self.see_all()

    def start(self, instance_id, limit):
        """Start an instance anew, with no bucket."""
        made = rates.Rates(instance_id=instance_id)
        made.handle(rates.SetLimits(now=self.now, limits=(limit,)))
        self.rates_by_id[instance_id] = made
        self.limit = limit

    def suspend(self, instance_id):
        """Suspend a process; what is sent to it waits in its socket."""
        self.held_by_id[instance_id] = []

    def resume(self, instance_id):
        for event_type, fields in self.held_by_id.pop(instance_id):
            self._handle(instance_id, event_type(now=self.now, **fields))

    def restart(self, instance_id):
        """Start an instance again that was down, without any state."""
        self.down.discard(instance_id)
        self.start(instance_id, self.limit)
        self.see(instance_id, self.ids)

    def set_limit(self, limit):
        for each in self.rates_by_id.values():
            each.handle(rates.SetLimits(now=self.now, limits=(limit,)))

    def see(self, instance_id, members, *, has_quorum=True):
        if instance_id in self.held_by_id or instance_id in self.down:
            return
        self.rates_by_id[instance_id].handle(
            rates.SetMembers(
                now=self.now,
                members=tuple(
                    placement.Member(
                        instance_id=each, data_centre=f'dc-{number % 4}'
                    )
                    for number, each in enumerate(self.ids)
                    if each in members
                ),
                has_quorum=has_quorum,
            )
        )

    def see_all(self):
        for each in self.ids:
            self.see(each, self.ids)

    def holders(self):
        members = [
            placement.Member(instance_id=each, data_centre=f'dc-{number % 4}')
            for number, each in enumerate(self.ids)
        ]
        return placement.ranked_owners(ACCOUNT, members, 2)

    def push(self, at, kind, *fields):
        heapq.heappush(self.queue, (at, next(self.order), kind, fields))

    def charge_at(self, at, instance_id, amount, caller=0):
        ticket = f't{next(self.tickets)}'
        self.push(at, 'charge', instance_id, ticket, amount, caller)
        return ticket

    def do_at(self, at, function, *arguments, **options):
        self.push(at, 'do', function, arguments, options)

    def _do(self, function, arguments, options):
        function(*arguments, **options)

    def run(self, until):
        while self.queue and self.queue[0][0] <= until:
            self.now, _, kind, fields = heapq.heappop(self.queue)
            getattr(self, f'_{kind}')(*fields)
        self.now = until

    def _tick(self, instance_id):
        self.push(self.now + TICK_S, 'tick', instance_id)
        self._handle(instance_id, parts.Ticked(now=self.now, entropy=0))

    def _charge(self, instance_id, ticket, amount, caller):
        if instance_id in self.down or instance_id in self.held_by_id:
            if self.retry_max_s is not None:
                # Its callers are sent to another entry.
                return
        event = rates.Charge(
            now=self.now,
            ticket=ticket,
            account=ACCOUNT,
            amount=amount,
            caller=caller,
        )
        self.callers_by_ticket[ticket] = caller
        self.results[ticket] = (self.now, amount, None)
        self._handle(instance_id, event)

    def _arrive(self, sender, to, message):
        if self.group_by_id.get(sender) == self.group_by_id.get(to):
            self._handle(
                to,
                parts.Received(now=self.now, sender=sender, message=message),
            )

    def _hold(self, instance_id, event):
        if isinstance(event, parts.Received):
            fields = {'sender': event.sender, 'message': event.message}
            self.held_by_id[instance_id].append((parts.Received, fields))

    def _handle(self, instance_id, event):
        if instance_id in self.down:
            return
        if instance_id in self.held_by_id:
            self._hold(instance_id, event)
            return
        for effect in self.rates_by_id[instance_id].handle(event):
            if isinstance(effect, parts.Send):
                self.sent += 1
                kind = type(effect.message).__name__
                self.sent_by_kind[kind] += 1
                if self.random.random() >= self.loss:
                    self.push(
                        self.now + DELAY_S,
                        'arrive',
                        instance_id,
                        effect.to,
                        effect.message,
                    )
            elif isinstance(effect, parts.Complete):
                asked_at, amount, _ = self.results[effect.ticket]
                self.done_by_ticket[effect.ticket] = self.now
                self.results[effect.ticket] = (asked_at, amount, effect.result)
                if effect.result.is_granted:
                    self.granted.append((self.now, amount))
                    continue
                self.refused_at.append((self.now, amount, instance_id))
                self._retry(effect)

    def _retry(self, effect):
        """Let a caller return once, at another entry, as it was told."""
        caller = self.callers_by_ticket[effect.ticket]
        wait_s = effect.result.wait_s
        if self.retry_max_s is None or wait_s > self.retry_max_s:
            return
        if effect.ticket in self.retries:
            return
        # Headers have two decimals; a caller takes some milliseconds.
        at = self.now + round(wait_s, 2) + self.random.uniform(0.0, 0.02)
        ticket = self.charge_at(
            at,
            self.random.choice(self.ids),
            self.results[effect.ticket][1],
            caller,
        )
        self.retries.add(ticket)

    def offer(self, *, begin, end, per_s, amount, among=None):
        """Schedule charges at random instances, ``per_s`` amounts a second."""
        at = begin
        while at < end:
            at += self.random.expovariate(per_s / amount)
            instance_id = self.random.choice(among or self.ids)
            # Draws nothing at random, so that older tests stay the same.
            self.charge_at(at, instance_id, amount, next(self.callers))

    def most_in_window(self):
        """Return the most that was granted in any window."""
        most = total = 0.0
        first = 0
        for at, amount in self.granted:
            total += amount
            while self.granted[first][0] <= at - WINDOW_S:
                total -= self.granted[first][1]
                first += 1
            most = max(most, total)
        return most

    def refused(self):
        return [
            result
            for _, _, result in self.results.values()
            if result is not None and not result.is_granted
        ]
