"""Looks up the configuration, cells, owners and instances for requests."""

import xxhash

from . import document as document_module
from . import effects
from . import settings as settings_module
from .coordination import confirmation_status as status_module
from .coordination import lease
from .coordination import membership
from .coordination import placement
from .coordination import presence
from .coordination import register


#: Up to this number of instances, all of them get the messages of every
#: backend server, at 30 bytes per second for each pair of instance and backend
#: server, and may place work themselves while an owner does not respond. With
#: more, an entry's share of an engine holds less than one request: 27,000
#: tokens of KV cache shared by 24 entries are 1,100 each, and a prompt has
#: 3,000.
MAX_TO_FORWARD_TO_ALL = 20


class Directory:
    """Combines settings, document, membership and leases for lookups.

    :param members: state of the instances.
    :param configuration: the register that holds the document.
    :param leases: the leases of cells.
    :param backends: the backend servers that this instance hears of.
    """

    def __init__(
        self,
        *,
        settings: settings_module.Settings,
        members: membership.Membership,
        configuration: register.Register,
        leases: lease.Leases,
        backends: presence.Presence,
    ) -> None:
        self.document = document_module.EMPTY
        self.is_draining = False
        #: Whether this release can't parse the accepted document.
        self.is_unreadable = False
        self._own_id = settings.instance_id
        #: Number of live entries; ``None`` after a change of the members.
        self._entries: int | None = None
        self._entry_members: tuple[placement.Member, ...] | None = None
        self._places_alone = settings.silent_owner == 'place'
        self._own_region = settings.region
        self._regions_by_data_centre = settings.all_regions_by_data_centre
        self._serves_unconfirmed = settings.unconfirmed == 'serve'
        self._members = members
        self._configuration = configuration
        self._leases = leases
        self._backends = backends
        self._holders_by_cell: dict[str, str] = {}
        self._epochs_by_cell: dict[str, int] = {}
        self._ranks_by_cell: dict[str, tuple[str, ...]] = {}

    @property
    def data_centres(self) -> tuple[str, ...]:
        """All data centres in the settings, sorted."""
        return tuple(sorted(self._regions_by_data_centre))

    def is_fresh(self, now: float) -> bool:
        """Whether work may be admitted under the current document.

        With the setting ``unconfirmed`` at ``serve``, the last document stays
        valid while no majority of the voters is reachable. Otherwise, a system
        whose voters are all down would refuse every caller. The cost is that a
        newer document may be in force at other instances meanwhile.
        """
        if self.is_unreadable:
            return False
        if self._serves_unconfirmed and self._configuration.revision:
            return True
        return self._configuration.is_fresh(now)

    def confirmation_status(
        self, now: float
    ) -> status_module.ConfirmationStatus:
        """Return when the document was last confirmed by a majority."""
        return self._configuration.confirmation_status(now)

    def cell_of(self, service: str, request_id: str) -> str:
        """Return the cell of a service that serves this instance's callers."""
        return cell_id(service, self._own_region)

    def cell_of_backend(self, service: str, data_centre: str) -> str | None:
        """Return the cell of a backend server; ``None`` if unknown."""
        region = self._regions_by_data_centre.get(data_centre)
        return None if region is None else cell_id(service, region)

    def all_cells(self) -> dict[str, str]:
        """Return the services by cell id, for all services and regions."""
        regions = set(self._regions_by_data_centre.values())
        return {
            cell_id(service.name, region): service.name
            for service in self.document.services
            for region in regions
        }

    def ranked_owners(self, cell: str) -> tuple[str, ...]:
        """Return the candidates for owning a cell, in order of preference."""
        if cell not in self._ranks_by_cell:
            self._ranks_by_cell[cell] = self._rank(cell)
        return self._ranks_by_cell[cell]

    def clear_rankings(self) -> None:
        """Drop cached rankings and counts after a change of the members."""
        self._ranks_by_cell.clear()
        self._entries = None
        self._entry_members = None

    def _rank(self, cell: str) -> tuple[str, ...]:
        """Rank the entries of a region, or all its instances if it has none.

        Voters that take no callers are avoided: a voter's disk can stall, and
        voters are the first affected by a change of the voters. Cells that
        they own would fail with them.
        """
        region = cell.split('/')[1]
        members = [
            (instance_id, member)
            for instance_id, member in self._alive_members()
            if member.info.region == region and not member.draining
        ]
        return placement.ranked_owners(cell, _entries_among(members))

    def entries(self) -> tuple[placement.Member, ...]:
        """Return the live entries of all regions that don't shut down.

        Without any entry, all instances.
        """
        if self._entry_members is None:
            self._entry_members = _entries_among(
                [
                    each
                    for each in self._alive_members()
                    if not each[1].draining
                ]
            )
        return self._entry_members

    def owners_of(self, cell: str) -> tuple[str, ...]:
        """Return instances to send bookings to, the likeliest owner first."""
        ranked = self.ranked_owners(cell)
        hint = self._holders_by_cell.get(cell)
        hint = hint or self._leases.known_holder(cell)
        if hint is None or not self._members.is_alive(hint):
            return ranked
        return hint, *(owner for owner in ranked if owner != hint)

    def last_owner(self, cell: str) -> str:
        """Return the last owner that this instance has heard, or ``''``."""
        return self._holders_by_cell.get(cell, '')

    def record_owner(self, cell: str, holder: str, epoch: int) -> bool:
        """Record the sender of an owner's message as the owner of a cell.

        :param epoch: lease epoch in the message.
        :returns: ``False`` if the message is a late one of an earlier owner.
        """
        if epoch < self._epochs_by_cell.get(cell, 0):
            return False
        self._epochs_by_cell[cell] = epoch
        self._holders_by_cell[cell] = holder
        return True

    def record_not_owner(self, cell: str, sender: str, holder: str) -> None:
        """Remove or replace the recorded owner, if it is the sender.

        If the recorded owner is another instance, it is newer than the
        message.

        :param sender: the instance that states that it is not the owner.
        :param holder: the owner that it names, or ``''``.
        """
        if self._holders_by_cell.get(cell) != sender:
            return
        if holder and holder != sender:
            self._holders_by_cell[cell] = holder
        else:
            del self._holders_by_cell[cell]

    @property
    def own_id(self) -> str:
        """Id of this instance."""
        return self._own_id

    def places_without_owner(self, cell: str) -> bool:
        """Return whether this entry places work itself if an owner is silent.

        With many entries this would only refuse callers with "no backend
        server is ready", although the owner would have replied a moment later.
        Then the owner is retried instead, and after it its deputies. The same
        holds for a while after the number of instances fell: the entry has
        yet to get the messages of backend servers.
        """
        return (
            self._places_alone
            and self.forwards_to_all
            and self._knows_backends(cell)
        )

    def _knows_backends(self, cell: str) -> bool:
        service = cell.split('/')[0]
        return any(
            backend.present and backend.announcement.service == service
            for backend in self._backends.backends_by_id.values()
        )

    @property
    def forwards_to_all(self) -> bool:
        """Whether every instance gets the messages of every backend server."""
        return self._members.count_alive() <= MAX_TO_FORWARD_TO_ALL

    def all_ids(self) -> tuple[str, ...]:
        """Return the ids of all instances that are alive."""
        return tuple(self._members.alive_ids())

    def tunnel_peers(self) -> tuple[effects.TunnelPeer, ...]:
        """Return the instances that connect this one to backend servers.

        Entries come first, each instance has an order of its own, so that all
        share the work. One instance without callers comes second: it may have
        a path that the entries have lost.
        """
        found = [
            (bool(member.info.callers_address), instance_id, member.info)
            for instance_id, member in self._alive_members()
            if member.info.tunnel_port
            and not member.draining
            and instance_id != self._own_id
        ]
        found.sort(key=lambda each: (not each[0], self._tunnel_rank(each[1])))
        others = [each for each in found if not each[0]][:1]
        ranked = [each for each in found if each not in others]
        ranked[1:1] = others
        return tuple(
            effects.TunnelPeer(
                instance_id=instance_id, host=info.host, port=info.tunnel_port
            )
            for _, instance_id, info in ranked
        )

    def _tunnel_rank(self, instance_id: str) -> int:
        return xxhash.xxh64_intdigest(f'{self._own_id} {instance_id}'.encode())

    def count_entries(self) -> int:
        """Return the number of live entries, at least one."""
        if self._entries is None:
            self._entries = sum(
                bool(member.info.callers_address)
                for _, member in self._alive_members()
            )
        return max(1, self._entries)

    def _alive_members(self) -> list[tuple[str, membership.Member]]:
        by_id = self._members.members_by_id
        return [(each, by_id[each]) for each in self._members.alive_ids()]


def _entries_among(
    members: list[tuple[str, membership.Member]],
) -> tuple[placement.Member, ...]:
    """Return the members that take callers; all, if none of them does."""
    entries = [each for each in members if each[1].info.callers_address]
    return tuple(
        placement.Member(
            instance_id=instance_id, data_centre=member.info.data_centre
        )
        for instance_id, member in entries or members
    )


def cell_id(service: str, region: str, part: int = 0) -> str:
    """Return the id of a cell: ``service/region/part``."""
    return f'{service}/{region}/{part}'
