"""A driver for an entry's ``Requests``, with simulated time and owners."""

import itertools
import json

from dandeliongw.cell import cells
from dandeliongw.cell import rate_limits
from dandeliongw.coordination import claim_messages as claims
from dandeliongw.coordination import confirmation_status
from dandeliongw.coordination import parts
from dandeliongw.coordination import placement
from dandeliongw.coordination import presence
from dandeliongw.coordination import quarantine
from dandeliongw.coordination import rates
from dandeliongw import document
from dandeliongw import effects
from dandeliongw.entry import account_check
from dandeliongw.entry import admission
from dandeliongw.entry import charges
from dandeliongw.entry import fingerprints
from dandeliongw.entry import quarantine_check
from dandeliongw.entry import requests
from dandeliongw.entry import retries
from dandeliongw import events
from dandeliongw import settings
from dandeliongw import verdict
from tools import local

OWNER = 'gw-1'
NEXT_OWNER = 'gw-2'
CELL = 'cell'


def described(**changes_by_service):
    """Return the example document with changed services and a quote route."""
    fields = local.example_document()
    fields['routes'].append(
        {
            'service': 'dieline-llm',
            'method': 'POST',
            'path': '/v1/quotes',
            'idempotent': False,
        }
    )
    for service in fields['services']:
        name = service['name'].replace('-', '_')
        service.update(changes_by_service.get(name, {}))
    return document.parse_document(json.dumps(fields).encode())


def make_budgets(count, *, is_new=False):
    """Return the retry budgets of one of ``count`` entries.

    :param is_new: whether its process has just started.
    """
    usual = settings.Retries()
    budgets = retries.RetryBudgets(
        part=usual.part,
        saved=usual.saved,
        window_s=usual.window_s,
        entries=lambda: count,
    )
    if not is_new:
        budgets.note_start(-1000.0)
    return budgets


class Directory:
    """An entry's view of the system, set by the test."""

    def __init__(self):
        self.document = described()
        self.is_draining = False
        self.fresh = True
        #: Whether a majority has confirmed the document recently.
        self.confirmed = True
        #: The age of the last confirmation otherwise.
        self.lapsed_age_s = 9.0
        self.owners = (OWNER, NEXT_OWNER)
        self.own_id = 'gw-0'
        self.places_alone = False

    def is_fresh(self, now):
        return self.fresh

    def confirmation_status(self, now):
        return confirmation_status.ConfirmationStatus(
            revision=1,
            order=1,
            confirmed_age_s=0.5 if self.confirmed else self.lapsed_age_s,
            is_confirmed=self.confirmed,
        )

    def places_without_owner(self, cell):
        return self.places_alone

    def cell_of(self, service, request_id):
        return CELL

    def owners_of(self, cell):
        return self.owners


def call(kind='lookup', key=None, **changes):
    """Return a call: a lookup, a booking, a completion or a quote."""
    method, path, service = {
        'lookup': ('GET', '/lookup', 'studio-portal'),
        'booking': ('POST', '/bookings', 'studio-portal'),
        'completion': ('POST', '/v1/completions', 'dieline-llm'),
        'quote': ('POST', '/v1/quotes', 'dieline-llm'),
    }[kind]
    fields = {
        'service': service,
        'method': method,
        'path': path,
        'streamed': service == 'dieline-llm',
        'key_sha256': local.sha256(local.ACCOUNT_KEY),
        'idempotency_key': key,
        'digest': b'digest',
        'prompt_tokens': 100,
        'max_tokens': 10,
    }
    return events.Call(**{**fields, **changes})


class Entry:
    """Drives ``Requests`` and records the effects that it returns."""

    def __init__(
        self,
        max_proof_age_s=None,
        entries=1,
        now=100.0,
        is_new=False,
        directory=None,
        **options,
    ):
        self.now = now
        self.directory = directory or Directory()
        self.account_check = account_check.AccountCheck(
            directory=self.directory, max_proof_age_s=max_proof_age_s
        )
        self.gate = admission.Admission(
            directory=self.directory,
            account_check=self.account_check,
            max_requests=20,
            max_streams=10,
        )
        self.quarantine = quarantine.Quarantine(instance_id='gw-0')
        self.quarantine_check = quarantine_check.QuarantineCheck(
            quarantine=self.quarantine,
            fingerprints=fingerprints.Fingerprints(secret=None),
        )
        self.rate_limits = rate_limits.RateLimits()
        self.presence = presence.Presence(instance_id='gw-0')
        self.requests = requests.Requests(
            directory=self.directory,
            gate=self.gate,
            account_check=self.account_check,
            quarantine_check=self.quarantine_check,
            budgets=make_budgets(entries, is_new=is_new),
            rate_limits=self.rate_limits,
            leaves=self.presence,
            **options,
        )
        self.ids = (f'r{number}' for number in itertools.count(1))
        self.rates = rates.Rates(instance_id='gw-0')
        self.rates.handle(
            rates.SetMembers(
                now=self.now,
                members=(
                    placement.Member(instance_id='gw-0', data_centre='dc-0'),
                ),
                has_quorum=True,
            )
        )
        #: The charges and refunds so far.
        self.charges = []
        #: All effects so far, and the effects of the last event.
        self.all = []
        self.out = []

    def take(self, effects_out):
        self.out = list(self._charge(effects_out))
        self.all += self.out
        return self.out

    def _charge(self, effects_out):
        """Charge accounts at this instance; pass on all other effects."""
        for effect in effects_out:
            event = getattr(effect, 'event', None)
            if not isinstance(event, rates.Charge | rates.Refund):
                yield effect
                continue
            self.charges.append(event)
            limits = charges.limits_of(
                self.directory.document, settings.RateTolerance()
            )
            self.rates.handle(rates.SetLimits(now=self.now, limits=limits))
            for each in self.rates.handle(event):
                if isinstance(each, parts.Complete):
                    _, _, request_id = each.ticket.partition(':')
                    yield from self.requests.charge_answered(
                        self.now, request_id, each.result
                    )

    def post(self, event_class, **fields):
        return self.take(
            self.requests.handle(event_class(now=self.now, **fields))
        )

    # Events

    def arrive(self, kind='lookup', key=None, **changes):
        request_id = next(self.ids)
        self.post(
            events.RequestArrived,
            request_id=request_id,
            call=call(kind, key, **changes),
            entropy=0,
        )
        return request_id

    def tick(self, seconds=0.1):
        self.now += seconds
        return self.post(parts.Ticked, entropy=0)

    def claim(self, request_id, result=None):
        return self.take(
            self.requests.claim_answered(
                self.now, request_id, result or claims.Granted()
            )
        )

    def record(self, request_id, result=None):
        return self.take(
            self.requests.finish_answered(
                self.now, request_id, result or claims.Recorded()
            )
        )

    def receive(self, message, sender=OWNER):
        return self.post(parts.Received, sender=sender, message=message)

    def ids_of(self, request_id):
        request = self.requests.requests_by_id[request_id]
        return {
            'cell': CELL,
            'request_id': request_id,
            'attempt_id': request.attempt_id,
        }

    def booked(self, request_id, epoch=1, **changes):
        """Return an owner's ``Booked`` for the current attempt."""
        request = self.requests.requests_by_id[request_id]
        places = {
            'prefill_id': 'p1',
            'prefill_url': 'http://p1',
            'decode_id': 'd1',
            'decode_url': 'http://d1',
            'plain_id': '',
            'plain_url': '',
        }
        if request.stage.value == 'plain':
            places = dict.fromkeys(places, '')
            places.update(plain_id='s1', plain_url='http://s1')
        fields = {**self.ids_of(request_id), 'epoch': epoch, 'start_in_s': 0.0}
        return cells.Booked(**{**fields, **places, **changes})

    def book(self, request_id, sender=OWNER, **changes):
        return self.receive(self.booked(request_id, **changes), sender)

    def cancelled(self, request_id, epoch=1, sender=OWNER):
        message = cells.Cancelled(**self.ids_of(request_id), epoch=epoch)
        return self.receive(message, sender)

    def end(self, request_id, step, failure=None, **changes):
        """End a step of the current attempt, successfully by default."""
        fields = {
            'attempt_id': self.ids_of(request_id)['attempt_id'],
            'known': verdict.Verdict.RAN,
            'kv': 'kv1' if step is events.Step.PREFILL else '',
            'tokens': 100 if step is events.Step.PREFILL else 10,
            'outcome': b'outcome',
        }
        return self.post(
            events.StepEnded,
            request_id=request_id,
            step=step,
            failure=failure,
            **{**fields, **changes},
        )

    def prefill(self, request_id, **changes):
        return self.end(request_id, events.Step.PREFILL, **changes)

    def decode(self, request_id, failure=None, **changes):
        return self.end(request_id, events.Step.DECODE, failure, **changes)

    def answer(self, request_id, failure=None, **changes):
        return self.end(request_id, events.Step.CALL, failure, **changes)

    def leave(self, request_id):
        return self.post(events.CallerGone, request_id=request_id)

    def close(self, request_id):
        return self.post(events.RequestClosed, request_id=request_id)

    # Effects of the last event

    def found(self, kind, among=None):
        return [
            each
            for each in (self.out if among is None else among)
            if isinstance(each, kind)
        ]

    def one(self, kind):
        (found,) = self.found(kind)
        return found

    def sent(self, kind, among=None):
        """Return (recipient, message) of all messages of a kind."""
        return [
            (each.to, each.message)
            for each in self.found(parts.Send, among)
            if isinstance(each.message, kind)
        ]

    def dispatched(self, kind):
        return [
            each.event
            for each in self.found(effects.Dispatch)
            if isinstance(each.event, kind)
        ]

    @property
    def refusal(self):
        return self.one(effects.Refuse).refusal

    @property
    def retries(self):
        return [each.reason for each in self.found(effects.CountRetry)]

    @property
    def wastes(self):
        return [
            (each.reason, each.tokens)
            for each in self.found(effects.CountWastedTokens)
        ]

    # Requests at a given stage

    def calling(self, kind='booking', key='k'):
        """Return the id of a plain call that is running."""
        request_id = self.arrive(kind, key)
        if key is not None:
            self.claim(request_id)
        self.book(request_id)
        return request_id

    def prefilling(self, kind='completion', key=None):
        request_id = self.arrive(kind, key)
        if key is not None:
            self.claim(request_id)
        self.book(request_id)
        return request_id

    def decoding(self, kind='completion', key=None):
        request_id = self.prefilling(kind, key)
        self.prefill(request_id)
        return request_id
