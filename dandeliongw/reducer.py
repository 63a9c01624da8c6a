"""The reducer: handles every event of an instance.

It owns all components ("parts") and their state, and is called from one
thread. Effects that are addressed to another part are processed here before
``handle`` returns; all others are returned to the runtime, which performs
them. The reducer does no I/O, reads no clock and draws no random numbers.
"""

import collections
from collections import abc
import math
import typing

from . import backend_forwarding
from . import directory as directory_module
from . import document as document_module
from . import effects
from . import entry_count
from . import events
from . import exceptions
from . import membership_log
from . import settings as settings_module
from . import shutdown
from . import state_log
from . import voter_replacement
from .cell import cells
from .cell import fallback
from .cell import orders
from .cell import owner as owner_module
from .cell import succession
from .coordination import claim_messages
from .coordination import claims
from .coordination import lease
from .coordination import lease_messages
from .coordination import membership
from .coordination import origins
from .coordination import parts
from .coordination import presence
from .coordination import quarantine
from .coordination import rates
from .coordination import register
from .coordination import register_messages
from .entry import account_check
from .entry import admission
from .entry import charges
from .entry import fingerprints
from .entry import quarantine_check
from .entry import requests
from .entry import retries

#: Assumed round trip to a claim holder, in seconds, including the holder's
#: sync to disk, on a busy machine. It spans several ticks; a claim times out
#: after ten such round trips.
CLAIM_ROUND_TRIP_S = 0.3
#: Seconds between two reviews of cell ownership, membership and the set of
#: instances that dispatch to each backend server.
REVIEW_S = 0.5
#: Tick interval, in seconds, of parts whose timeouts are seconds long, such
#: as membership probes and claims. Membership needs five ticks per second.
SLOW_TICK_S = 0.2
#: Tick interval, in seconds, of parts whose timeouts are tenths of a second:
#: the register's confirmation requests and checks, leases, and batches of
#: backend server renewals.
TICK_S = 0.1
#: Seconds for which a number of entries holds longer than a confirmation: the
#: lapse of one is noticed at a review.
ENTRY_COUNT_MARGIN_S = 2 * REVIEW_S
#: If two ticks are further apart than this many seconds, this process is
#: considered to have been paused. It is ten ticks of the runtime, and less
#: than half of a lease.
PAUSE_S = 0.5
#: Seconds by which the news of a leave and the notice of an exit may differ in
#: their delay.
DRAIN_MARGIN_S = 0.25
#: Seconds by which a tick may be early. Timers are not exact; without this, a
#: timer that fires slightly early would delay the part by one more tick.
EARLY_S = 0.02

#: Messages about who owns a cell.
SUCCESSION_MESSAGES = (cells.ReclaimWanted, cells.LeaseLapsed)

Handler = abc.Callable[[typing.Any], list[typing.Any]]


class _ThrottledPart:
    """Passes on to a part only as many ticks as the part needs.

    The runtime's tick interval is set by the request path. With a tick at
    each of those intervals, the parts together took 43 % of the work of an
    idle entry's control thread.
    """

    def __init__(self, *, handle: Handler, every_s: float) -> None:
        self._handle = handle
        self._every_s = every_s
        self._next_at = -math.inf

    def tick(self, event: parts.Ticked) -> list[typing.Any]:
        """Pass the tick on to the part, if its interval has elapsed."""
        if event.now < self._next_at:
            return []
        self._next_at = event.now + self._every_s - EARLY_S
        return self._handle(event)


class Reducer:
    """All parts of one instance, and the routing of messages between them.

    :param incarnation: higher than that of any earlier process with this
        instance id.
    :param disk_id: identity of the data folder; ``None`` if there is none.
    :param callers_url: URL at which callers reach this instance.
    :param tunnel_port: port at which it connects others to backend servers;
        0 if it doesn't.
    """

    def __init__(
        self,
        *,
        settings: settings_module.Settings,
        incarnation: int,
        disk_id: str | None,
        callers_url: str,
        tunnel_port: int = 0,
    ) -> None:
        self.settings = settings
        self._is_voter = disk_id is not None
        self.membership = _make_membership(
            settings, incarnation, callers_url, tunnel_port
        )
        self.register = register.Register(
            instance_id=settings.instance_id,
            initial_voters=_voter_ids(settings),
            disk_id=disk_id,
            confirm_ttl_s=settings.timeouts.confirm_ttl_s,
        )
        self.claims = claims.Claims(
            instance_id=settings.instance_id,
            is_holder=self._is_voter,
            disk_id=disk_id,
            retention_s=settings.timeouts.claim_retention_s,
            max_records=settings.limits.max_claims,
            max_outcome_bytes=settings.limits.max_outcome_bytes,
            round_trip_s=CLAIM_ROUND_TRIP_S,
        )
        self.leases = lease.Leases(
            instance_id=settings.instance_id,
            is_grantor=self._is_voter,
            duration_s=settings.timeouts.lease_s,
            margin_s=settings.timeouts.lease_margin_s,
        )
        self.presence = presence.Presence(
            instance_id=settings.instance_id,
            has_disk=self._is_voter,
            lease_s=settings.timeouts.presence_s,
            suspends_leases_in_outage=settings.unconfirmed == 'serve',
        )
        self.directory = directory_module.Directory(
            settings=settings,
            members=self.membership,
            configuration=self.register,
            leases=self.leases,
            backends=self.presence,
        )
        self.account_check = account_check.AccountCheck(
            directory=self.directory,
            max_proof_age_s=settings.timeouts.key_proof_s,
        )
        self.admission = admission.Admission(
            directory=self.directory,
            account_check=self.account_check,
            max_requests=settings.limits.max_requests,
            max_streams=settings.limits.max_streams,
        )
        self.quarantine = quarantine.Quarantine(
            instance_id=settings.instance_id, has_disk=self._is_voter
        )
        self.origins = origins.Origins(
            instance_id=settings.instance_id,
            has_disk=self._is_voter,
            settle_s=settings.timeouts.confirm_ttl_s,
        )
        self._voter_ids: frozenset[str] = frozenset()
        self.rates = rates.Rates(instance_id=settings.instance_id)
        self._entry_count = entry_count.EntryCount(
            alive=self.directory.count_entries,
            hold_s=settings.timeouts.confirm_ttl_s + ENTRY_COUNT_MARGIN_S,
        )
        # An entry that has just ended may have spent its share of the present
        # window's retries.
        self._retry_entry_count = entry_count.EntryCount(
            alive=self.directory.count_entries,
            hold_s=settings.retries.window_s + ENTRY_COUNT_MARGIN_S,
        )
        rate_limits = fallback.make_rate_limits(
            settings.instance_id, self._entry_count.at_work
        )
        self.requests = requests.Requests(
            directory=self.directory,
            gate=self.admission,
            account_check=self.account_check,
            quarantine_check=quarantine_check.QuarantineCheck(
                quarantine=self.quarantine,
                fingerprints=fingerprints.Fingerprints(
                    secret=settings.peer_secret.encode()
                    if settings.peer_secret
                    else None
                ),
            ),
            budgets=retries.RetryBudgets(
                part=settings.retries.part,
                saved=settings.retries.saved,
                window_s=settings.retries.window_s,
                entries=self._retry_entry_count.at_work,
            ),
            rate_limits=rate_limits,
            leaves=self.presence,
            # The claims part rejects an attempt that could still run when
            # its record has expired.
            max_claimed_s=settings.timeouts.claim_retention_s / 2,
            startup_wait_s=settings.timeouts.first_configuration_s,
            paces_bookings=settings.overload.paces_bookings,
        )
        self.owner = owner_module.Owner(
            directory=self.directory,
            leases=self.leases,
            backends=self.presence,
            rate_limits=rate_limits,
            store_loads_per_s=settings.limits.store_loads_per_s,
            longest_order_s=settings.timeouts.longest_order_s,
            moves_engines=settings.moves_engines,
            owner_lag_s=settings.overload.owner_lag_s,
            lease_wait_s=settings.timeouts.lease_s
            + settings.timeouts.lease_margin_s,
        )
        self.succession = succession.Succession(
            instance_id=settings.instance_id,
            directory=self.directory,
            owner=self.owner,
        )
        self.voter_replacement = voter_replacement.VoterReplacement(
            instance_id=settings.instance_id,
            configuration=self.register,
            members=self.membership,
            most_voters=settings.most_voters,
        )
        self.backend_forwarding = backend_forwarding.BackendForwarding(
            directory=self.directory
        )
        self.shutdown = shutdown.Shutdown(
            timeouts=settings.timeouts,
            directory=self.directory,
            gate=self.admission,
            running=self.requests,
            succession=self.succession,
        )
        self._parts_by_name: dict[str, parts.Part] = {
            'register': self.register,
            'claims': self.claims,
            'leases': self.leases,
            'presence': self.presence,
            'quarantine': self.quarantine,
            'origins': self.origins,
        }
        self._throttled_parts = (
            _ThrottledPart(handle=self.membership.handle, every_s=SLOW_TICK_S),
            _ThrottledPart(handle=self._in_register, every_s=TICK_S),
            _ThrottledPart(handle=self._in_claims, every_s=SLOW_TICK_S),
            _ThrottledPart(handle=self._in_leases, every_s=TICK_S),
            _ThrottledPart(handle=self._in_presence, every_s=TICK_S),
            _ThrottledPart(handle=self._in_quarantine, every_s=SLOW_TICK_S),
        )
        self._ticked_at = -math.inf
        #: Whether the last tick came late. The process was then paused, and
        #: its leases may have been granted to another instance meanwhile.
        self._has_paused = False
        self._review_at = 0.0
        self._membership_log = membership_log.MembershipLog()
        self._instance_ids: tuple[str, ...] = ()
        #: Incarnations of the instances that are alive or suspected; the
        #: latter may still act.
        self._starts_by_id: dict[str, int] = {}
        self._tunnel_peers: tuple[effects.TunnelPeer, ...] = ()
        self._is_serving = False
        self._entropy = incarnation
        self._handlers_by_type = self._make_handlers()
        self._receivers_by_type = self._make_receivers()
        self._effect_handlers_by_type = self._make_effect_handlers()

    # The interface that the runtime uses

    def handle(self, event: typing.Any) -> list[typing.Any]:
        """Process one event; return the effects for the runtime."""
        pending = collections.deque([event])
        if self.leases.is_renewal_overdue(event.now):
            pending.appendleft(lease.RenewalOverdue(now=event.now))
        out: list[typing.Any] = []
        while pending:
            current = pending.popleft()
            for effect in self._route(current):
                self._process_effect(event.now, effect, pending, out)
        return out

    def restore(self, records: abc.Iterable[typing.Any]) -> None:
        """Restore the state of all parts from the journal, at a start.

        Each part gets every record and ignores those of other parts.
        """
        for record in records:
            for part in self._parts_by_name.values():
                part.restore(record)

    def snapshot(self) -> list[typing.Any]:
        """Return the records that replace the journal at a compaction."""
        return [
            record
            for part in self._parts_by_name.values()
            for record in part.snapshot()
        ]

    # Routing

    def _make_handlers(self) -> dict[type, Handler]:
        by_part: list[tuple[Handler, tuple[type, ...]]] = [
            (
                self.requests.handle,
                (
                    events.RequestArrived,
                    events.StepEnded,
                    events.AnswerGoesOn,
                    events.LeaveStated,
                    events.RateLimitStated,
                    events.BackendProbed,
                    events.CallerGone,
                    events.RequestClosed,
                ),
            ),
            (
                self._in_register,
                (
                    register.Propose,
                    register.ProposeOrdered,
                    register.ContactsFound,
                    register.ReplaceVoter,
                    register.WithdrawJoining,
                    register.RemoveVoter,
                    register.InstancesChanged,
                    register.CaughtUp,
                ),
            ),
            (
                self._in_claims,
                (
                    claim_messages.Begin,
                    claim_messages.Finish,
                    claim_messages.Abandon,
                    claim_messages.HoldersChanged,
                ),
            ),
            (
                self._in_leases,
                (
                    lease.Wanted,
                    lease.Release,
                    lease.RenewalOverdue,
                    lease.GrantorsChanged,
                    lease.GrantorsFormed,
                ),
            ),
            (
                self.membership.handle,
                (
                    membership.SetServing,
                    membership.SetDraining,
                    membership.Leave,
                    membership.Discovered,
                ),
            ),
            (
                self._in_presence,
                (
                    presence.Renewed,
                    presence.Left,
                    presence.Forward,
                    presence.SetInstances,
                ),
            ),
            (self._on_announced, (presence.Announced,)),
            (
                self._in_quarantine,
                (
                    quarantine.AskTrial,
                    quarantine.Succeeded,
                    quarantine.Lift,
                    quarantine.SetPeers,
                ),
            ),
            (self._on_backend_ended, (quarantine.Ended,)),
            (
                self._in_origins,
                (
                    origins.SetKeepers,
                    origins.KeepersFormed,
                    origins.Keep,
                    origins.LookUp,
                    origins.LookUpSole,
                ),
            ),
            (
                self.rates.handle,
                (
                    rates.Charge,
                    rates.Refund,
                    rates.SetLimits,
                    rates.SetMembers,
                ),
            ),
            (
                self.owner.handle_in_all,
                (cells.StreamCancelled, cells.StreamsListed),
            ),
            (self.owner.order_dispatch.answer, (orders.OrderAnswered,)),
            (self._tick, (parts.Ticked,)),
            (self._receive, (parts.Received,)),
            (self._on_persisted, (parts.Persisted,)),
            (
                lambda event: self.shutdown.begin(event.now),
                (events.ShutdownBegun,),
            ),
            (self._on_instances_found, (events.InstancesFound,)),
            (self.shutdown.hand_over, (shutdown.HandOver,)),
            (self.shutdown.left, (shutdown.Left,)),
        ]
        return {
            event_type: handler
            for handler, event_types in by_part
            for event_type in event_types
        }

    def _make_receivers(self) -> dict[type, Handler]:
        by_part: list[tuple[Handler, abc.Iterable[type]]] = [
            (self._in_register, register_messages.MESSAGES),
            (self._in_claims, claim_messages.MESSAGES),
            (self._in_leases, lease_messages.MESSAGES),
            (self.membership.handle, membership.MESSAGES),
            (self._in_presence, presence.MESSAGES),
            (self._in_quarantine, quarantine.MESSAGES),
            (self._in_origins, origins.MESSAGES),
            (self.rates.handle, rates.MESSAGES),
            (self._receive_as_owner, owner_module.OWNER_MESSAGES),
            (self._reclaim, (cells.ReclaimWanted,)),
            (self._on_lease_lapsed, (cells.LeaseLapsed,)),
            (
                self._receive_as_entry,
                set(cells.MESSAGES)
                - {*owner_module.OWNER_MESSAGES, *SUCCESSION_MESSAGES},
            ),
        ]
        return {
            message_type: receiver
            for receiver, message_types in by_part
            for message_type in message_types
        }

    def _make_effect_handlers(self) -> dict[type, abc.Callable]:
        return {
            register.ConfigurationChanged: self._change_configuration,
            register.VotersChanged: self._change_voters,
            lease.LeaseGained: self._on_lease_gained,
            lease.LeaseLost: self._on_lease_lost,
            lease.GrantorCaughtUp: self._on_leases_caught_up,
            claim_messages.CaughtUp: self._on_claims_caught_up,
            membership.MemberChanged: self._on_member_changed,
            membership.MemberForgotten: self._on_member_changed,
            presence.BackendChanged: self._on_backend_changed,
            presence.DepartureHeard: self._on_departure_heard,
            presence.CacheHints: self.owner.hint,
            quarantine.Quarantined: self._on_quarantined,
            **{
                logged: self._log_state for logged in state_log.LINES_BY_EFFECT
            },
        }

    def _log_state(self, now: float, effect: typing.Any) -> list[typing.Any]:
        return [state_log.LINES_BY_EFFECT[type(effect)](effect)]

    def _route(self, event: typing.Any) -> list[typing.Any]:
        handler = self._handlers_by_type.get(type(event))
        if handler is None:
            raise TypeError(f'no handler for event {type(event).__name__}')
        return handler(event)

    def _process_effect(
        self,
        now: float,
        effect: typing.Any,
        pending: collections.deque,
        out: list[typing.Any],
    ) -> None:
        """Process an effect here if a part handles it.

        :param pending: events to handle next; effects that become events
            are appended.
        :param out: effects for the runtime; all others are appended.
        """
        if isinstance(effect, effects.Dispatch):
            pending.append(effect.event)
        elif isinstance(effect, parts.Send) and (
            effect.to == self.settings.instance_id
        ):
            pending.append(
                parts.Received(
                    now=now, sender=effect.to, message=effect.message
                )
            )
        elif isinstance(effect, parts.Complete):
            self._complete(now, effect, pending, out)
        elif type(effect) in self._effect_handlers_by_type:
            handle = self._effect_handlers_by_type[type(effect)]
            for further in handle(now, effect):
                self._process_effect(now, further, pending, out)
        else:
            out.append(effect)

    def _complete(
        self,
        now: float,
        effect: parts.Complete,
        pending: collections.deque,
        out: list[typing.Any],
    ) -> None:
        for prefix, answer in (
            (requests.CLAIM_TICKET, self.requests.claim_answered),
            (requests.FINISH_TICKET, self.requests.finish_answered),
            (requests.TRIAL_TICKET, self.requests.trial_answered),
            (requests.CHARGE_TICKET, self.requests.charge_answered),
            (requests.LOOK_UP_TICKET, self.requests.origin_found),
            (requests.KEEP_TICKET, self.requests.origin_kept),
        ):
            if effect.ticket.startswith(prefix):
                request_id = effect.ticket[len(prefix) :]
                for further in answer(now, request_id, effect.result):
                    self._process_effect(now, further, pending, out)
                return
        if effect.ticket.startswith(requests.LEAVE_TICKET):
            return
        if effect.ticket.startswith(voter_replacement.TICKET):
            out.append(
                effects.log(f'voter replacement result: {effect.result}')
            )
            return
        out.append(effect)

    def _receive(self, event: parts.Received) -> list[typing.Any]:
        receiver = self._receivers_by_type.get(type(event.message))
        return [] if receiver is None else receiver(event)

    # Parts that write to the journal. Their tokens are prefixed by the part's
    # name, so that the confirmation of a write reaches the right part.

    def _in_register(self, event: typing.Any) -> list[typing.Any]:
        return _prefix_tokens('register', self.register.handle(event))

    def _in_claims(self, event: typing.Any) -> list[typing.Any]:
        return _prefix_tokens('claims', self.claims.handle(event))

    def _in_leases(self, event: typing.Any) -> list[typing.Any]:
        return _prefix_tokens('leases', self.leases.handle(event))

    def _in_presence(self, event: typing.Any) -> list[typing.Any]:
        return _prefix_tokens('presence', self.presence.handle(event))

    def _in_quarantine(self, event: typing.Any) -> list[typing.Any]:
        return _prefix_tokens('quarantine', self.quarantine.handle(event))

    def _in_origins(self, event: typing.Any) -> list[typing.Any]:
        return _prefix_tokens('origins', self.origins.handle(event))

    def _on_persisted(self, event: parts.Persisted) -> list[typing.Any]:
        name, _, token = event.token.partition('/')
        persisted = parts.Persisted(now=event.now, token=token)
        part = self._parts_by_name[name]
        return _prefix_tokens(name, part.handle(persisted))

    # Cells

    def _receive_as_owner(self, event: parts.Received) -> list[typing.Any]:
        message = event.message
        needs_owner = isinstance(message, cells.Book) or (
            isinstance(message, cells.Progress) and message.queued
        )
        if needs_owner and message.cell not in self.owner.cells_by_id:
            self.succession.record_owner_request(event.now, message.cell)
            self._review_at = event.now
        return self.owner.receive(event)

    def _receive_as_entry(self, event: parts.Received) -> list[typing.Any]:
        message = event.message
        if isinstance(message, cells.NotOwner):
            self.directory.record_not_owner(
                message.cell, event.sender, message.holder
            )
        elif isinstance(message, (cells.Booked, cells.Queued)):
            self.directory.record_owner(
                message.cell, event.sender, message.epoch
            )
        return self.requests.handle(event)

    def _reclaim(self, event: parts.Received) -> list[typing.Any]:
        message = event.message
        if not self.directory.record_owner(
            message.cell, event.sender, message.epoch
        ):
            return []
        self.owner.yield_to(message.cell, message.epoch)
        return self.requests.reclaim_all(
            event.now, message.cell, event.sender, message.epoch
        )

    def _on_lease_lapsed(self, event: parts.Received) -> list[typing.Any]:
        """Try for a cell whose owner lost its voters, if this one has them."""
        if self.register.is_fresh(event.now):
            self.succession.record_lapse(event.now, event.message.cell)
            self._review_at = event.now
        return []

    def _on_lease_gained(
        self, now: float, effect: lease.LeaseGained
    ) -> list[typing.Any]:
        return [
            effects.log(
                'owns a cell', cell=effect.name, epoch=str(effect.epoch)
            ),
            *self.owner.gain(
                now,
                effect.name,
                effect.epoch,
                frozenset(self.membership.alive_ids()),
            ),
        ]

    def _on_lease_lost(
        self, now: float, effect: lease.LeaseLost
    ) -> list[typing.Any]:
        has_paused = self._has_paused or now - self._ticked_at > PAUSE_S
        may_keep = (
            effect.is_unheard
            and self.settings.silent_owner == 'place'
            and not has_paused
        )
        if may_keep and self.owner.keep_without_lease(effect.name):
            return [
                effects.log(
                    'keeping a cell without a lease: no voter is reachable',
                    cell=effect.name,
                    level='WARNING',
                )
            ]
        self.owner.lose(effect.name)
        return [
            effects.log(
                'owns a cell no more', cell=effect.name, level='WARNING'
            )
        ]

    # Backend servers

    def _on_announced(self, event: presence.Announced) -> list[typing.Any]:
        out = self._in_presence(event)
        accepted = parts.Complete(
            ticket=event.ticket, result=presence.PresenceOutcome.ACCEPTED
        )
        if accepted not in out:
            # A rejected announcement is a late one of an earlier process. It
            # must not redirect the renewals of the later process to the cell
            # of another service.
            return out
        return [
            *out,
            *self.backend_forwarding.add(event.now, event.announcement),
        ]

    def _on_backend_changed(
        self, now: float, effect: presence.BackendChanged
    ) -> list[typing.Any]:
        announcement = self.presence.backends_by_id[
            effect.backend_id
        ].announcement
        out = [
            state_log.backend_changed(effect, announcement),
            *self.owner.change_backend(now, effect.backend_id),
        ]
        if effect.present:
            out.append(
                effects.AddressDeparted(
                    url=announcement.url, has_departed=False
                )
            )
        return out

    def _on_departure_heard(
        self, now: float, effect: presence.DepartureHeard
    ) -> list[typing.Any]:
        departure = effect.departure
        held = self.presence.backends_by_id.get(departure.backend_id)
        out = [
            state_log.departure_heard(
                effect, is_present=held is not None and held.present
            ),
            *self.requests.note_departure(now, departure),
        ]
        if held is not None and self._is_vacant(held.announcement.url):
            out.append(
                effects.AddressDeparted(
                    url=held.announcement.url, has_departed=True
                )
            )
        return out

    def _is_vacant(self, url: str) -> bool:
        """Return whether no backend server at a URL may receive work."""
        return not any(
            backend.present and backend.announcement.url == url
            for backend in self.presence.backends_by_id.values()
        )

    # Calls that make backend servers exit

    def _on_backend_ended(self, event: quarantine.Ended) -> list[typing.Any]:
        """Count a backend server's exit against a suspect that it ran.

        An announced exit is not counted: the backend server was stopped
        while it worked, and the call did not cause that. One that exits while
        it should still drain was not stopped.
        """
        if self._was_stopped(event.start, event.ended_at):
            if event.is_part:
                # The line on its call is enough.
                return []
            return [
                effects.log(
                    'announced backend server exit not counted against a call',
                    call=event.fingerprint,
                    backend_id=event.start.backend_id,
                )
            ]
        return self._in_quarantine(event)

    def _was_stopped(
        self, start: presence.BackendStart, ended_at: float
    ) -> bool:
        """Return whether a backend server exited because it was stopped."""
        if not self.presence.has_left(start):
            return False
        since_leave_s = self.presence.left_s(ended_at, start.backend_id)
        drain_s = self.settings.timeouts.backend_drain_s - DRAIN_MARGIN_S
        is_draining = 0.0 <= since_leave_s < drain_s
        return not is_draining

    def _on_quarantined(
        self, now: float, effect: quarantine.Quarantined
    ) -> list[typing.Any]:
        return [
            state_log.quarantined(effect),
            *self.requests.stop_quarantined(now, effect.fingerprint),
        ]

    # Rates of accounts

    def _review_rates(self, now: float) -> list[typing.Any]:
        """Tell who may hold the accounts' buckets."""
        return self.rates.handle(
            rates.SetMembers(
                now=now,
                members=self.directory.entries(),
                has_quorum=self.register.is_fresh(now),
            )
        )

    # Origins of streams

    def _review_origin_keepers(self, now: float) -> list[typing.Any]:
        """Tell which instances keep the origins of streams."""
        return self._in_origins(
            origins.SetKeepers(
                now=now,
                voter_ids=self._voter_ids,
                entries=self.directory.entries(),
            )
        )

    # Configuration

    def _change_configuration(
        self, now: float, effect: register.ConfigurationChanged
    ) -> list[typing.Any]:
        try:
            described = (
                document_module.parse_document(effect.document)
                if effect.document
                else document_module.EMPTY
            )
        except exceptions.InvalidInput as error:
            # A newer release accepted this document. Continuing with the old
            # one would serve requests by a superseded configuration.
            self.directory.is_unreadable = True
            return [
                effects.log(
                    f'cannot parse the accepted document: {error}',
                    level='ERROR',
                )
            ]
        self.directory.is_unreadable = False
        self.directory.document = described
        self._review_at = now
        limits = rates.SetLimits(
            now=now,
            limits=charges.limits_of(described, self.settings.rate_tolerance),
        )
        return [
            *self.rates.handle(limits),
            effects.log(
                'configuration in force',
                **state_log.confirmation_fields(
                    self.register.confirmation_status(now)
                ),
            ),
            *self.owner.change_document(
                now, frozenset(self.membership.alive_ids())
            ),
        ]

    def _change_voters(
        self, now: float, effect: register.VotersChanged
    ) -> list[typing.Any]:
        self._voter_ids = frozenset(effect.voters_by_id)
        # Whoever waits for the end of a change may take the next step.
        self._review_at = now
        voters = presence.SetVoters(now=now, voter_ids=self._voter_ids)
        return [
            *self._in_presence(voters),
            *self._review_origin_keepers(now),
            *self.voter_replacement.change_voters(now, effect),
        ]

    def _on_leases_caught_up(
        self, now: float, effect: lease.GrantorCaughtUp
    ) -> list[typing.Any]:
        return self.voter_replacement.note_caught_up(
            now, 'leases', effect.version, self._entropy
        )

    def _on_claims_caught_up(
        self, now: float, effect: claim_messages.CaughtUp
    ) -> list[typing.Any]:
        number = effect.epoch - voter_replacement.FIRST_CLAIMS_EPOCH
        return self.voter_replacement.note_caught_up(
            now, 'claims', number, self._entropy
        )

    # Membership

    def _on_instances_found(
        self, event: events.InstancesFound
    ) -> list[typing.Any]:
        """Add the instances that a seed listed to membership and register."""
        found = {each.instance_id: each for each in event.instances}
        out: list[typing.Any] = [
            effects.PeerAddress(
                instance_id=each.instance_id, host=each.host, port=each.port
            )
            for each in found.values()
            if each.instance_id not in self.membership.members_by_id
        ]
        ids = tuple(sorted(found))
        discovered = membership.Discovered(now=event.now, instance_ids=ids)
        contacts = register.ContactsFound(
            now=event.now,
            instance_ids=event.first_voters or ids,
            may_form=bool(event.first_voters),
        )
        return [
            *out,
            effects.Dispatch(event=discovered),
            effects.Dispatch(event=contacts),
        ]

    def _on_member_changed(
        self, now: float, effect: typing.Any
    ) -> list[typing.Any]:
        self._review_at = now
        self.directory.clear_rankings()
        if isinstance(effect, membership.MemberForgotten):
            self._membership_log.forget(effect.instance_id)
            return [effects.PeerForgotten(instance_id=effect.instance_id)]
        lines = self._membership_log.record(now, effect.member)
        info = effect.member.info
        if not info.host or effect.member.instance_id == (
            self.settings.instance_id
        ):
            return lines
        return [
            *lines,
            effects.PeerAddress(
                instance_id=effect.member.instance_id,
                host=info.host,
                port=info.port,
            ),
        ]

    # Time

    def _tick(self, event: parts.Ticked) -> list[typing.Any]:
        self._entropy = event.entropy
        self._has_paused = event.now - self._ticked_at > PAUSE_S
        self._ticked_at = event.now
        out = [
            effect
            for part in self._throttled_parts
            for effect in part.tick(event)
        ]
        out += self.rates.handle(event)
        out += self._in_origins(event)
        out += self.owner.tick(event)
        out += self.requests.handle(event)
        if event.now >= self._review_at:
            self._review_at = event.now + REVIEW_S
            out += self._review(event.now)
        return [*out, *self.shutdown.tick(event.now)]

    def _review(self, now: float) -> list[typing.Any]:
        """Review which instances are present and what each should do."""
        is_confirmed = self.register.is_fresh(now)
        self._entry_count.record(now, is_confirmed=is_confirmed)
        self._retry_entry_count.record(now, is_confirmed=is_confirmed)
        return [
            *self._review_instances(now),
            *self._review_tunnel_peers(),
            *self._review_serving(now),
            *self._review_rates(now),
            *self._review_origin_keepers(now),
            self._observe(now),
            *self.succession.review(now),
            *self.voter_replacement.review(now, self._entropy),
            *self.backend_forwarding.review(now),
            *self._membership_log.tick(now),
        ]

    def _observe(self, now: float) -> effects.GaugeValues:
        state = self.register
        age = None if state.confirmed_at is None else now - state.confirmed_at
        return effects.GaugeValues(
            revision=state.revision or 0,
            confirmed_age_s=age,
            members=len(self._instance_ids),
            pools=self.owner.pool_loads(),
        )

    def _review_instances(self, now: float) -> list[typing.Any]:
        alive = tuple(self.membership.alive_ids())
        starts_by_id = {
            instance_id: member.incarnation
            for instance_id, member in self.membership.members_by_id.items()
            if member.state <= membership.MemberState.SUSPECT
        }
        former = self._starts_by_id
        if alive == self._instance_ids and starts_by_id == former:
            return []
        self._instance_ids, self._starts_by_id = alive, starts_by_id
        present = tuple(starts_by_id)
        started = frozenset(
            instance_id
            for instance_id, incarnation in starts_by_id.items()
            if former.get(instance_id) != incarnation
        )
        return [
            *self._in_presence(
                presence.SetInstances(
                    now=now, instance_ids=present, started_ids=started
                )
            ),
            *self._in_register(
                register.InstancesChanged(now=now, instance_ids=present)
            ),
            *self._in_quarantine(
                quarantine.SetPeers(now=now, instance_ids=present)
            ),
        ]

    def _review_tunnel_peers(self) -> list[typing.Any]:
        peers = self.directory.tunnel_peers()
        if peers == self._tunnel_peers:
            return []
        self._tunnel_peers = peers
        return [effects.TunnelPeers(peers=peers)]

    def _review_serving(self, now: float) -> list[typing.Any]:
        serving = (
            self.directory.is_fresh(now) and not self.directory.is_draining
        )
        if serving == self._is_serving:
            return []
        self._is_serving = serving
        return self.membership.handle(
            membership.SetServing(now=now, serving=serving)
        )


def _make_membership(
    settings: settings_module.Settings,
    incarnation: int,
    callers_url: str,
    tunnel_port: int,
) -> membership.Membership:
    return membership.Membership(
        instance_id=settings.instance_id,
        incarnation=incarnation,
        self_info=membership.InstanceInfo(
            host=settings.own_peer.host,
            port=settings.own_peer.port,
            data_centre=settings.data_centre,
            region=settings.region,
            callers_address=callers_url,
            tunnel_port=tunnel_port,
        ),
        seeds_by_id={
            peer.instance_id: membership.InstanceInfo(
                host=peer.host,
                port=peer.port,
                data_centre=peer.data_centre,
                region=peer.region,
                callers_address='',
            )
            for peer in settings.peers
        },
    )


def _voter_ids(settings: settings_module.Settings) -> tuple[str, ...]:
    return tuple(
        sorted(peer.instance_id for peer in settings.peers if peer.voter)
    )


def _prefix_tokens(
    name: str, part_effects: abc.Iterable[typing.Any]
) -> list[typing.Any]:
    return [
        parts.Persist(token=f'{name}/{effect.token}', records=effect.records)
        if isinstance(effect, parts.Persist)
        else effect
        for effect in part_effects
    ]
