"""What one instance knows of the register, shared by its parts."""

from . import acceptor as acceptors
from . import ballot as ballots
from . import configuration as configurations
from . import voters as voter_sets


class Knowledge:
    """The latest version heard of, and the latest that was confirmed.

    :param disk_id: the identity of this instance's disk, if it has one.
    """

    def __init__(self, *, instance_id: str, disk_id: str | None) -> None:
        self.instance_id = instance_id
        self.disk_id = disk_id
        #: What this instance's disk has promised and accepted.
        self.acceptor: acceptors.Acceptor | None = None
        if disk_id is not None:
            self.acceptor = acceptors.Acceptor(disk_id=disk_id)
        #: The latest version heard of; maybe no majority ever held it.
        self.known = configurations.VersionHistory()
        #: The latest version that a majority was seen to hold.
        self.confirmed: configurations.Version | None = None
        #: When the ask left that confirmed it last, by our clock.
        self.confirmed_at: float | None = None

    @property
    def voters(self) -> voter_sets.Voters | None:
        """Return the voters of the latest version heard of."""
        if self.known.current is None:
            return None
        return self.known.current.configuration.voters

    @property
    def voter_ids(self) -> tuple[str, ...]:
        """Return the instances that vote, as far as is known."""
        voters = self.voters
        return () if voters is None else tuple(sorted(voters.voters_by_id))

    @property
    def is_voter(self) -> bool:
        """Tell whether this instance's disk counts, as far as is known."""
        voters = self.voters
        if self.acceptor is None or voters is None:
            return False
        return self.disk_id in voters.voters_by_id.values()

    @property
    def histories(self) -> list[configurations.VersionHistory]:
        """Return the versions held: heard of, and on the disk."""
        if self.acceptor is None:
            return [self.known]
        return [self.known, self.acceptor.versions]

    def learn(self, update: configurations.VersionUpdate) -> None:
        """Take in a version, if it is later than the one known."""
        ballot = self.known.ballot
        if ballot is None or update.ballot > ballot:
            self.known.advance(update)

    def learn_from_disk(self) -> None:
        """Take in what this instance's disk has accepted."""
        versions = self.acceptor.versions
        if versions.current is not None:
            self.learn(versions.update_for(self.known.ballot))

    def confirm(self, version: configurations.Version, at: float) -> bool:
        """Take a version that a majority held at ``at``, by our clock.

        :returns: false for a late answer: what was confirmed since must not
            revert.
        """
        if self.confirmed is not None:
            if version.ballot < self.confirmed.ballot:
                return False
        self.confirmed = version
        self.confirmed_at = max(at, self.confirmed_at or at)
        return True

    def adopt(self, update: configurations.VersionUpdate) -> bool:
        """Take a version that another instance has confirmed.

        When it was the latest is not known; so ``confirmed_at`` stays.

        :returns: whether it is later than the one confirmed here.
        """
        held = self.confirmed
        if held is not None and update.ballot <= held.ballot:
            return False
        version = configurations.resolve(update, self.known.current)
        if version is None:
            return False
        self.learn(update)
        self.confirmed = version
        return True

    def update_to_confirmed(
        self, base: ballots.Ballot | None
    ) -> configurations.VersionUpdate:
        """Return what brings a holder of ``base`` to what is confirmed."""
        for versions in self.histories:
            if versions.ballot == self.confirmed.ballot:
                return versions.update_for(base)
        return configurations.full_update(self.confirmed)
