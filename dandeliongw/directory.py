"""What this instance knows of the system around it, for its requests."""

from . import document as document_module
from . import settings as settings_module
from .coordination import lease
from .coordination import membership
from .coordination import placement
from .coordination import register
from .coordination import standing as standings


#: Up to so many instances all of them hear of every backend server, at 30
#: bytes a second and backend server each, and may place by themselves. Among
#: more, an entry's part of an engine holds less than one request: 27,000
#: tokens of KV cache among 24 entries are 1,100, a prompt has 3,000.
MOST_TO_TELL_ALL = 20


class Directory:
    """Answers whom to ask for what.

    :param own_region: where this instance's callers are served.
    """

    def __init__(
        self,
        *,
        settings: settings_module.Settings,
        members: membership.Membership,
        configuration: register.Register,
        leases: lease.Leases,
    ) -> None:
        self.document = document_module.EMPTY
        self.is_draining = False
        #: Set when the accepted document can't be read by this release.
        self.is_unreadable = False
        self._own_id = settings.instance_id
        #: Live entries; ``None`` after a change of the members.
        self._entries: int | None = None
        self._places_alone = settings.silent_owner == 'place'
        self._own_region = settings.region
        self._regions_by_data_centre = settings.all_regions_by_data_centre
        self._serves_unconfirmed = settings.unconfirmed == 'serve'
        self._members = members
        self._configuration = configuration
        self._leases = leases
        self._holders_by_cell: dict[str, str] = {}
        self._epochs_by_cell: dict[str, int] = {}
        self._ranks_by_cell: dict[str, tuple[str, ...]] = {}

    @property
    def data_centres(self) -> tuple[str, ...]:
        """Every data centre of the settings."""
        return tuple(sorted(self._regions_by_data_centre))

    def is_fresh(self, now: float) -> bool:
        """Whether work may be admitted under the document.

        With ``unconfirmed`` set to ``serve`` the last one counts while no
        majority can be asked. Otherwise a system whose voters are all down
        would turn away every caller; the price is that a change may be in
        force elsewhere meanwhile.
        """
        if self.is_unreadable:
            return False
        if self._serves_unconfirmed and self._configuration.revision:
            return True
        return self._configuration.is_fresh(now)

    def standing(self, now: float) -> standings.Standing:
        """Return how current the document is."""
        return self._configuration.standing(now)

    def cell_of(self, service: str, request_id: str) -> str:
        """Return the cell that serves this instance's callers."""
        return cell_id(service, self._own_region)

    def cell_of_backend(self, service: str, data_centre: str) -> str | None:
        """Return the cell of a backend server; ``None`` if unknown."""
        region = self._regions_by_data_centre.get(data_centre)
        return None if region is None else cell_id(service, region)

    def all_cells(self) -> dict[str, str]:
        """Return the service by cell id, for every cell there should be."""
        regions = set(self._regions_by_data_centre.values())
        return {
            cell_id(service.name, region): service.name
            for service in self.document.services
            for region in regions
        }

    def ranked_owners(self, cell: str) -> tuple[str, ...]:
        """Return who should own a cell, the first choice first."""
        if cell not in self._ranks_by_cell:
            self._ranks_by_cell[cell] = self._rank(cell)
        return self._ranks_by_cell[cell]

    def forget_ranks(self) -> None:
        """Rank and count anew: the members have changed."""
        self._ranks_by_cell.clear()
        self._entries = None

    def _rank(self, cell: str) -> tuple[str, ...]:
        """Rank the entries, or all where a region has none.

        A voter that owned cells would take them down with it: its disk can
        stall, and it is the first to feel a change of the voters.
        """
        region = cell.split('/')[1]
        members = [
            (instance_id, member)
            for instance_id, member in self._alive_members()
            if member.info.region == region and not member.draining
        ]
        entries = [each for each in members if each[1].info.callers_address]
        return placement.ranked_owners(
            cell,
            [
                placement.Member(
                    instance_id=instance_id,
                    data_centre=member.info.data_centre,
                )
                for instance_id, member in entries or members
            ],
        )

    def owners_of(self, cell: str) -> tuple[str, ...]:
        """Return instances to ask, the likeliest owner first."""
        ranked = self.ranked_owners(cell)
        hint = self._holders_by_cell.get(cell)
        hint = hint or self._leases.known_holder(cell)
        if hint is None or not self._members.is_alive(hint):
            return ranked
        return hint, *(owner for owner in ranked if owner != hint)

    def note_owner(self, cell: str, holder: str, epoch: int) -> bool:
        """Remember who speaks as a cell's owner.

        :returns: ``False`` for a message of an owner before the present
            one, which can be late.
        """
        if epoch < self._epochs_by_cell.get(cell, 0):
            return False
        self._epochs_by_cell[cell] = epoch
        self._holders_by_cell[cell] = holder
        return True

    def note_not_owner(self, cell: str, sender: str, holder: str) -> None:
        """Take back what is remembered, unless it is newer than this."""
        if self._holders_by_cell.get(cell) != sender:
            return
        if holder and holder != sender:
            self._holders_by_cell[cell] = holder
        else:
            del self._holders_by_cell[cell]

    @property
    def own_id(self) -> str:
        """This instance."""
        return self._own_id

    @property
    def places_alone(self) -> bool:
        """Whether work is placed here while a cell's owner is silent.

        Among many entries that only turns callers away: it ends in "no
        backend server is ready" where the owner would have answered a moment
        later. There the owner is asked again, and then its deputies.
        """
        return self._places_alone and self.tells_all

    @property
    def tells_all(self) -> bool:
        """Whether every instance hears of every backend server."""
        return self._members.count_alive() <= MOST_TO_TELL_ALL

    def all_ids(self) -> tuple[str, ...]:
        """Return every instance that counts as alive."""
        return tuple(self._members.alive_ids())

    def count_entries(self) -> int:
        """Return how many instances place callers' work, at least one."""
        if self._entries is None:
            self._entries = sum(
                bool(member.info.callers_address)
                for _, member in self._alive_members()
            )
        return max(1, self._entries)

    def _alive_members(self) -> list[tuple[str, membership.Member]]:
        by_id = self._members.members_by_id
        return [(each, by_id[each]) for each in self._members.alive_ids()]


def cell_id(service: str, region: str, part: int = 0) -> str:
    """Return the id of a cell: ``service/region/part``."""
    return f'{service}/{region}/{part}'
