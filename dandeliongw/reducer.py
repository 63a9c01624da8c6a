"""The one reducer over all events of an instance.

It owns every part and their state, and is called from one thread. Effects
that concern another part are handled here before it returns; the others
leave for the runtime. It does no I/O, reads no clock and draws no random
number.
"""

import collections
from collections import abc
import dataclasses
import typing

from . import admission
from . import cells
from . import directory as directory_module
from . import document as document_module
from . import effects
from . import events
from . import exceptions
from . import orders
from . import owner as owner_module
from . import requests
from . import settings as settings_module
from .coordination import claim_messages
from .coordination import claims
from .coordination import lease
from .coordination import lease_messages
from .coordination import membership
from .coordination import parts
from .coordination import presence
from .coordination import register
from .coordination import register_messages

#: Seconds to a claim holder and back, its sync included, on a busy machine;
#: several ticks fit in it, and a claim is given up after ten of it.
CLAIM_ROUND_TRIP_S = 0.3
#: Claims know no holders under epoch 0; sets of voters count from 0.
FIRST_CLAIMS_EPOCH = 1
#: Seconds between two looks at who should own and dispatch what.
REVIEW_S = 0.5

#: Seconds for which a deputy that was asked keeps trying for a lease.
DEPUTY_S = 10.0
#: Seconds that each further deputy gives the one before it.
DEPUTY_TURN_S = 3.0
#: Seconds between two tries to bring a new disk among the voters.
REPAIR_S = 5.0
#: Ticket prefix of those tries.
REPAIR_TICKET = 'repair:'

#: Seconds that a shutdown gives to what it broke off.
CUT_OFF_S = 2.0

Handler = abc.Callable[[typing.Any], list[typing.Any]]


@dataclasses.dataclass(kw_only=True, slots=True)
class _Asked:
    """When entries asked for a cell that this instance doesn't own."""

    first_at: float
    last_at: float


class Reducer:
    """All parts of one instance, and what passes between them.

    :param incarnation: higher than that of any earlier process of this id.
    :param disk_id: identity of the data folder, or ``None`` without one.
    :param callers_url: where callers reach this instance.
    """

    def __init__(
        self,
        *,
        settings: settings_module.Settings,
        incarnation: int,
        disk_id: str | None,
        callers_url: str,
    ) -> None:
        self.settings = settings
        self._is_voter = disk_id is not None
        self._entries_ttl_s = settings.timeouts.entries_ttl_s
        self.membership = _make_membership(settings, incarnation, callers_url)
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
            lease_s=settings.timeouts.presence_s,
        )
        self.directory = directory_module.Directory(
            settings=settings,
            members=self.membership,
            configuration=self.register,
            leases=self.leases,
        )
        self.admission = admission.Admission(
            directory=self.directory,
            max_requests=settings.limits.max_requests,
            max_streams=settings.limits.max_streams,
        )
        self.requests = requests.Requests(
            directory=self.directory,
            gate=self.admission,
            # The claims part takes no attempt that may outlive its record.
            most_claimed_s=settings.timeouts.claim_retention_s / 2,
        )
        self.owner = owner_module.Owner(
            directory=self.directory,
            leases=self.leases,
            backends=self.presence,
            store_loads_per_s=settings.limits.store_loads_per_s,
            longest_order_s=settings.timeouts.longest_order_s,
            lease_wait_s=settings.timeouts.lease_s
            + settings.timeouts.lease_margin_s,
        )
        self._parts_by_name: dict[str, parts.Part] = {
            'register': self.register,
            'claims': self.claims,
            'leases': self.leases,
        }
        self._review_at = 0.0
        self._wanted: frozenset[str] | None = None
        self._instance_ids: tuple[str, ...] = ()
        #: Those and the suspected ones, who may still act.
        self._present_ids: tuple[str, ...] = ()
        self._is_serving = False
        self._shutdown_at: float | None = None
        #: Requests that a shutdown broke off, once its time was over.
        self._cut_off: int | None = None
        self._has_left = False
        #: Set once a shutdown has begun; read by other threads.
        self.is_leaving = False
        self._fronts_by_id: dict[str, tuple[str, str]] = {}
        self._forwards_by_id: dict[str, tuple[str, ...]] = {}
        self._asked_by_cell: dict[str, _Asked] = {}
        self._entropy = incarnation
        self._repair_at = 0.0
        #: Parts that hold all of the coming voters' state, by set number.
        self._caught_up: set[tuple[str, int]] = set()
        self._handlers_by_type = self._make_handlers()
        self._receivers_by_type = self._make_receivers()
        self._absorbers_by_type = self._make_absorbers()

    # The reducer's contract

    def handle(self, event: typing.Any) -> list[typing.Any]:
        """Take one event in; return what is to be done outside."""
        pending = collections.deque([event])
        out: list[typing.Any] = []
        while pending:
            current = pending.popleft()
            for effect in self._route(current):
                self._absorb(event.now, effect, pending, out)
        return out

    def restore(self, records: abc.Iterable[typing.Any]) -> None:
        """Take in the journal at a start; each part knows its records."""
        for record in records:
            for part in self._parts_by_name.values():
                part.restore(record)

    def snapshot(self) -> list[typing.Any]:
        """Return the records that take the journal's place."""
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
                    events.CallerGone,
                    events.RequestClosed,
                ),
            ),
            (
                self._in_register,
                (
                    register.Propose,
                    register.ReplaceVoter,
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
                ),
            ),
            (
                self.presence.handle,
                (
                    presence.Renewed,
                    presence.Left,
                    presence.Forward,
                    presence.SetInstances,
                ),
            ),
            (self._announce, (presence.Announced,)),
            (
                self.owner.handle_in_all,
                (cells.StreamCancelled, cells.StreamsListed),
            ),
            (self.owner.answer_order, (orders.OrderAnswered,)),
            (self._tick, (parts.Ticked,)),
            (self._receive, (parts.Received,)),
            (self._persisted, (parts.Persisted,)),
            (self._begin_shutdown, (events.ShutdownBegun,)),
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
            (self.presence.handle, presence.MESSAGES),
            (self._to_owner, owner_module.TO_OWNER),
            (self._reclaim, (cells.ReclaimWanted,)),
            (
                self._to_entry,
                set(cells.MESSAGES)
                - {*owner_module.TO_OWNER, cells.ReclaimWanted},
            ),
        ]
        return {
            message_type: receiver
            for receiver, message_types in by_part
            for message_type in message_types
        }

    def _make_absorbers(self) -> dict[type, abc.Callable]:
        return {
            register.ConfigurationChanged: self._change_configuration,
            register.VotersChanged: self._change_voters,
            lease.LeaseGained: self._gain_lease,
            lease.LeaseLost: self._lose_lease,
            lease.GrantorCaughtUp: self._leases_caught_up,
            claim_messages.CaughtUp: self._claims_caught_up,
            membership.MemberChanged: self._member_changed,
            membership.MemberForgotten: self._member_changed,
            presence.BackendChanged: self._change_backend,
            presence.CacheHints: self._hint,
        }

    def _route(self, event: typing.Any) -> list[typing.Any]:
        handler = self._handlers_by_type.get(type(event))
        if handler is None:
            raise TypeError(f'no part takes {type(event).__name__}')
        return handler(event)

    def _absorb(
        self,
        now: float,
        effect: typing.Any,
        pending: collections.deque,
        out: list[typing.Any],
    ) -> None:
        """Turn what concerns a part into an event; let the rest out."""
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
        elif type(effect) in self._absorbers_by_type:
            absorb = self._absorbers_by_type[type(effect)]
            for further in absorb(now, effect):
                self._absorb(now, further, pending, out)
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
        ):
            if effect.ticket.startswith(prefix):
                request_id = effect.ticket[len(prefix) :]
                for further in answer(now, request_id, effect.result):
                    self._absorb(now, further, pending, out)
                return
        if effect.ticket.startswith(REPAIR_TICKET):
            out.append(_log(f'replacing the disk: {effect.result}'))
            return
        out.append(effect)

    def _receive(self, event: parts.Received) -> list[typing.Any]:
        receiver = self._receivers_by_type.get(type(event.message))
        return [] if receiver is None else receiver(event)

    # Parts that write to the journal: tokens carry the part's name.

    def _in_register(self, event: typing.Any) -> list[typing.Any]:
        return _name_tokens('register', self.register.handle(event))

    def _in_claims(self, event: typing.Any) -> list[typing.Any]:
        return _name_tokens('claims', self.claims.handle(event))

    def _in_leases(self, event: typing.Any) -> list[typing.Any]:
        return _name_tokens('leases', self.leases.handle(event))

    def _persisted(self, event: parts.Persisted) -> list[typing.Any]:
        name, _, token = event.token.partition('/')
        persisted = parts.Persisted(now=event.now, token=token)
        part = self._parts_by_name[name]
        return _name_tokens(name, part.handle(persisted))

    # Cells

    def _to_owner(self, event: parts.Received) -> list[typing.Any]:
        message = event.message
        if isinstance(message, cells.Book) and (
            message.cell not in self.owner.cells_by_id
        ):
            self._note_asked(event.now, message.cell)
        return self.owner.receive(event)

    def _to_entry(self, event: parts.Received) -> list[typing.Any]:
        message = event.message
        if isinstance(message, cells.NotOwner):
            self.directory.note_not_owner(
                message.cell, event.sender, message.holder
            )
        elif isinstance(message, (cells.Booked, cells.Queued)):
            self.directory.note_owner(
                message.cell, event.sender, message.epoch
            )
        return self.requests.handle(event)

    def _reclaim(self, event: parts.Received) -> list[typing.Any]:
        message = event.message
        if not self.directory.note_owner(
            message.cell, event.sender, message.epoch
        ):
            return []
        return self.requests.reclaim_all(
            event.now, message.cell, event.sender, message.epoch
        )

    def _gain_lease(
        self, now: float, effect: lease.LeaseGained
    ) -> list[typing.Any]:
        return [
            _log('owns a cell', cell=effect.name, epoch=str(effect.epoch)),
            *self.owner.gain(
                now,
                effect.name,
                effect.epoch,
                frozenset(self.membership.alive_ids()),
            ),
        ]

    def _lose_lease(
        self, now: float, effect: lease.LeaseLost
    ) -> list[typing.Any]:
        self.owner.lose(effect.name)
        return [_log('owns a cell no more', cell=effect.name, level='WARNING')]

    # Backend servers

    def _announce(self, event: presence.Announced) -> list[typing.Any]:
        announcement = event.announcement
        self._fronts_by_id[announcement.backend_id] = (
            announcement.service,
            announcement.data_centre,
        )
        out = self.presence.handle(event)
        self._forwards_by_id.pop(announcement.backend_id, None)
        return [*out, *self._forward(event.now, announcement.backend_id)]

    def _forward(self, now: float, backend_id: str) -> list[typing.Any]:
        """Say who dispatches to a backend server, when that has changed."""
        service, data_centre = self._fronts_by_id[backend_id]
        cell = self.directory.cell_of_backend(service, data_centre)
        owners = self.directory.owners_of(cell) if cell else ()
        to = owners[:2]
        if self._forwards_by_id.get(backend_id) == to:
            return []
        self._forwards_by_id[backend_id] = to
        forward = presence.Forward(now=now, backend_id=backend_id, to=to)
        return self.presence.handle(forward)

    def _change_backend(
        self, now: float, effect: presence.BackendChanged
    ) -> list[typing.Any]:
        state = 'present' if effect.present else 'gone'
        return [
            _log(f'backend server is {state}', backend_id=effect.backend_id),
            *self.owner.change_backend(now, effect.backend_id),
        ]

    def _hint(
        self, now: float, effect: presence.CacheHints
    ) -> list[typing.Any]:
        return self.owner.hint(now, effect)

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
            # A newer release accepted it. Going on with the old document
            # would serve by a configuration that is no longer accepted.
            self.directory.is_unreadable = True
            return [
                _log(
                    f'can not read the accepted document: {error}',
                    level='ERROR',
                )
            ]
        self.directory.is_unreadable = False
        self.directory.document = described
        self.owner.change_document(now)
        self._review_at = now
        return [_log('configuration in force', revision=str(effect.revision))]

    def _change_voters(
        self, now: float, effect: register.VotersChanged
    ) -> list[typing.Any]:
        voters, joining = effect.voters_by_id, effect.joining_by_id
        coming = {
            instance_id: disk_id
            for instance_id, disk_id in joining.items()
            if voters.get(instance_id) != disk_id
        }
        out = self._in_claims(
            claim_messages.HoldersChanged(
                now=now,
                disk_ids_by_holder=voters,
                joining=coming,
                epoch=effect.number + FIRST_CLAIMS_EPOCH,
                leaving=frozenset(voters) - frozenset(joining or voters),
            )
        )
        out += self._in_leases(
            lease.GrantorsChanged(
                now=now,
                grantors=tuple(sorted(voters)),
                joining=tuple(sorted(joining)),
                version=effect.number,
            )
        )
        if effect.number == 0 and self.register.disk_id in voters.values():
            # Only the first voters ever start with nothing to catch up with.
            out += self._in_leases(lease.GrantorsFormed(now=now))
        return out

    def _leases_caught_up(
        self, now: float, effect: lease.GrantorCaughtUp
    ) -> list[typing.Any]:
        return self._note_caught_up(now, 'leases', effect.version)

    def _claims_caught_up(
        self, now: float, effect: claim_messages.CaughtUp
    ) -> list[typing.Any]:
        number = effect.epoch - FIRST_CLAIMS_EPOCH
        return self._note_caught_up(now, 'claims', number)

    def _note_caught_up(
        self, now: float, part: str, number: int
    ) -> list[typing.Any]:
        """Let the register finish a replacement once all parts are whole.

        Counting the new disk earlier would leave claims or epochs on fewer
        disks than a majority: one would see nothing, until a second disk is
        lost right after and a booking runs twice.
        """
        self._caught_up.add((part, number))
        wanted = {('leases', number), ('claims', number)}
        if not wanted <= self._caught_up:
            return []
        return self._in_register(
            register.CaughtUp(
                now=now, disk_id=self.register.disk_id, entropy=self._entropy
            )
        )

    def _review_disk(self, now: float) -> list[typing.Any]:
        """Ask for this disk to vote in place of the one that was lost."""
        own = self.settings.instance_id
        held = self.register
        counted = held.voters_by_id.get(own)
        is_known = counted in (None, held.disk_id)
        if is_known or held.joining_by_id or now < self._repair_at:
            return []
        self._repair_at = now + REPAIR_S
        return [
            _log('a new disk asks to vote in place of a lost one'),
            *self._in_register(
                register.ReplaceVoter(
                    now=now,
                    ticket=f'{REPAIR_TICKET}{held.disk_id}',
                    change_id=f'disk-{held.disk_id}',
                    instance_id=own,
                    by=own,
                    entropy=self._entropy,
                )
            ),
        ]

    # Membership

    def _member_changed(
        self, now: float, effect: typing.Any
    ) -> list[typing.Any]:
        self._review_at = now
        self.directory.forget_ranks()
        if isinstance(effect, membership.MemberForgotten):
            return [effects.PeerForgotten(instance_id=effect.instance_id)]
        info = effect.member.info
        if not info.host or effect.member.instance_id == (
            self.settings.instance_id
        ):
            return []
        return [
            effects.PeerAddress(
                instance_id=effect.member.instance_id,
                host=info.host,
                port=info.port,
            )
        ]

    # Time

    def _tick(self, event: parts.Ticked) -> list[typing.Any]:
        self._entropy = event.entropy
        out = [
            *self.membership.handle(event),
            *self._in_register(event),
            *self._in_claims(event),
            *self._in_leases(event),
            *self.presence.handle(event),
            *self.owner.tick(event),
            *self.requests.handle(event),
        ]
        if event.now >= self._review_at:
            self._review_at = event.now + REVIEW_S
            out += self._review(event.now)
        if self._shutdown_at is not None:
            out += self._drain(event.now)
        return out

    def _review(self, now: float) -> list[typing.Any]:
        """Look again at who is there and who should do what."""
        return [
            *self._review_instances(now),
            *self._review_serving(now),
            self._observe(now),
            *self._review_cells(now),
            *self._review_disk(now),
            *(
                effect
                for backend_id in list(self._fronts_by_id)
                for effect in self._forward(now, backend_id)
            ),
        ]

    def _observe(self, now: float) -> effects.Observed:
        held = self.register
        age = None if held.confirmed_at is None else now - held.confirmed_at
        return effects.Observed(
            revision=held.revision or 0,
            confirmed_age_s=age,
            members=len(self._instance_ids),
            pools=self.owner.pool_loads(),
        )

    def _review_instances(self, now: float) -> list[typing.Any]:
        alive = tuple(self.membership.alive_ids())
        present = tuple(
            instance_id
            for instance_id, member in self.membership.members_by_id.items()
            if member.state <= membership.MemberState.SUSPECT
        )
        if (alive, present) == (self._instance_ids, self._present_ids):
            return []
        self._instance_ids, self._present_ids = alive, present
        return [
            *self.presence.handle(
                presence.SetInstances(now=now, instance_ids=present)
            ),
            *self._in_register(
                register.InstancesChanged(now=now, instance_ids=present)
            ),
        ]

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

    def _review_cells(self, now: float) -> list[typing.Any]:
        wanted = frozenset(
            cell
            for cell in self.directory.all_cells()
            if self._should_own(now, cell)
        )
        if wanted == self._wanted:
            return []
        self._wanted = wanted
        return self._in_leases(lease.Wanted(now=now, names=wanted))

    def _should_own(self, now: float, cell: str) -> bool:
        """Whether to try for a cell's lease.

        Deputies that are asked for it try one after the other: when several
        try at once, none gets a majority, and the cell has no owner for
        seconds longer than it need be.
        """
        own = self.settings.instance_id
        ranked = self.directory.ranked_owners(cell)
        if own not in ranked:
            is_last = self.is_leaving and not ranked
            return is_last and cell in self.owner.cells_by_id
        place = ranked.index(own)
        if place == 0:
            return True
        asked = self._asked_by_cell.get(cell)
        if asked is None or now - asked.last_at >= DEPUTY_S:
            return False
        return now - asked.first_at >= (place - 1) * DEPUTY_TURN_S

    def _note_asked(self, now: float, cell: str) -> None:
        """Note that an entry asks this instance for a cell it doesn't own.

        Entries ask a deputy when the owner doesn't answer them. Its lease
        may be free long before its death is certain.
        """
        asked = self._asked_by_cell.get(cell)
        if asked is None or now - asked.last_at >= DEPUTY_S:
            asked = _Asked(first_at=now, last_at=now)
            self._asked_by_cell[cell] = asked
        asked.last_at = now
        self._review_at = now

    # Shutdown

    def _begin_shutdown(self, event: events.ShutdownBegun) -> list[typing.Any]:
        """Leave the entries, but serve those who still hold the address.

        Callers keep an answer of ``GET /v1/entries`` for its time to live.
        Refusing at once would fail calls of callers who did nothing wrong.
        """
        if self._shutdown_at is not None:
            return []
        self._shutdown_at = event.now
        self.is_leaving = True
        told = self.membership.handle(
            membership.SetDraining(now=event.now, draining=True)
        )
        # Ranked before, this instance would be its own successor.
        self.directory.forget_ranks()
        return [
            _log('shutdown begins'),
            *told,
            *self._hand_over(event.now),
        ]

    def _hand_over(self, now: float) -> list[typing.Any]:
        out = []
        for cell in list(self.owner.cells_by_id):
            successors = self.directory.ranked_owners(cell)
            if not successors:
                # The last instance serves its callers to the end.
                continue
            release = lease.Release(
                now=now, name=cell, successor=successors[0]
            )
            out += self._in_leases(release)
        return [*out, *self._review_cells(now)]

    def _drain(self, now: float) -> list[typing.Any]:
        past_ttl_s = now - self._shutdown_at - self._entries_ttl_s
        if past_ttl_s < 0 or self._has_left:
            return []
        self.directory.is_draining = True
        bound_s = self.settings.timeouts.shutdown_s
        out: list[typing.Any] = []
        if past_ttl_s >= bound_s and self._cut_off is None:
            # A caller that never reads would keep the process for good.
            self._cut_off = self.admission.in_flight
            out = self.requests.cut_off(now)
        if self.admission.in_flight and past_ttl_s < bound_s + CUT_OFF_S:
            return out
        self._has_left = True
        return [
            *out,
            *self.membership.handle(membership.Leave(now=now)),
            _log(f'leaves with {self.admission.in_flight} in flight'),
            effects.Drained(cut_off=self._cut_off or 0),
        ]


def _make_membership(
    settings: settings_module.Settings,
    incarnation: int,
    callers_url: str,
) -> membership.Membership:
    return membership.Membership(
        instance_id=settings.instance_id,
        incarnation=incarnation,
        self_info=membership.InstanceInfo(
            host=settings.peers_by_id[settings.instance_id].host,
            port=settings.peers_by_id[settings.instance_id].port,
            data_centre=settings.data_centre,
            region=settings.region,
            callers_address=callers_url,
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


def _name_tokens(
    name: str, wanted: abc.Iterable[typing.Any]
) -> list[typing.Any]:
    return [
        parts.Persist(token=f'{name}/{effect.token}', records=effect.records)
        if isinstance(effect, parts.Persist)
        else effect
        for effect in wanted
    ]


def _log(message: str, level: str = 'INFO', **fields: str) -> effects.Log:
    return effects.Log(
        message=message, fields=tuple(fields.items()), level=level
    )
