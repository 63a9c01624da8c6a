"""The local state of the register at one instance.

The modules of the register share it.
"""

from . import acceptor as acceptors
from . import ballot as ballots
from . import configuration as configurations
from . import voters as voter_sets


class RegisterState:
    """The latest version received, and the latest one confirmed.

    :param disk_id: the identity of this instance's disk, if it has one.
    """

    def __init__(self, *, instance_id: str, disk_id: str | None) -> None:
        self.instance_id = instance_id
        self.disk_id = disk_id
        #: The promises and acceptances of this instance's disk.
        self.acceptor: acceptors.Acceptor | None = None
        if disk_id is not None:
            self.acceptor = acceptors.Acceptor(disk_id=disk_id)
        #: The latest version received; it may never have been chosen.
        self.known = configurations.VersionHistory()
        #: The latest version that a majority is known to have held.
        self.confirmed: configurations.Version | None = None
        #: When the request that confirmed it last was sent, by this
        #: instance's monotonic clock, in seconds.
        self.confirmed_at: float | None = None

    @property
    def voters(self) -> voter_sets.Voters | None:
        """Return the voters of the latest version received."""
        if self.known.current is None:
            return None
        return self.known.current.configuration.voters

    @property
    def voter_ids(self) -> tuple[str, ...]:
        """Return the voters' instance ids, by the latest version received."""
        voters = self.voters
        return () if voters is None else tuple(sorted(voters.voters_by_id))

    @property
    def is_voter(self) -> bool:
        """Return whether this disk votes, by the latest version received."""
        voters = self.voters
        if self.acceptor is None or voters is None:
            return False
        return self.disk_id in voters.voters_by_id.values()

    @property
    def histories(self) -> list[configurations.VersionHistory]:
        """Return the versions held: the latest received, and the disk's."""
        if self.acceptor is None:
            return [self.known]
        return [self.known, self.acceptor.versions]

    def learn(self, update: configurations.VersionUpdate) -> None:
        """Advance to the version of an update, if that is a later one."""
        ballot = self.known.ballot
        if self.is_of_other_register(update):
            return
        if ballot is None or update.ballot > ballot:
            self.known.advance(update)

    def is_of_other_register(
        self, update: configurations.VersionUpdate
    ) -> bool:
        """Return whether an update belongs to another system's register.

        Ballots of two registers can't be compared. An instance that took a
        higher one would refuse all that its own voters confirm.
        """
        current = self.known.current
        if update.full is None or current is None:
            # Steps follow from a version that is held.
            return False
        return update.full.is_of_other_register(current.configuration)

    def learn_from_disk(self) -> None:
        """Advance to the version that this instance's disk has accepted."""
        versions = self.acceptor.versions
        if versions.current is not None:
            self.learn(versions.update_for(self.known.ballot))

    def confirm(self, version: configurations.Version, at: float) -> bool:
        """Record that a majority held a version at ``at``.

        :param at: monotonic seconds of this instance.
        :returns: whether it was recorded; false for a version earlier than
            the confirmed one, as the confirmed version must not revert.
        """
        if self.confirmed is not None:
            held = self.confirmed.configuration
            if version.configuration.is_of_other_register(held):
                if self.confirmed_at is not None:
                    return False
                # What was only learned gives way to what voters confirm.
                self.known.restart(version)
            elif version.ballot < self.confirmed.ballot:
                return False
        self.confirmed = version
        self.confirmed_at = max(at, self.confirmed_at or at)
        return True

    def adopt(self, update: configurations.VersionUpdate) -> bool:
        """Adopt a version that another instance has confirmed.

        It is not known at which time it was the latest; so ``confirmed_at``
        stays unchanged.

        :returns: whether it was adopted: it is later than the version
            confirmed here, and the update could be resolved.
        """
        held = self.confirmed
        if self.is_of_other_register(update):
            return False
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
        """Return the update from ``base`` to the confirmed version."""
        for versions in self.histories:
            if versions.ballot == self.confirmed.ballot:
                return versions.update_for(base)
        return configurations.full_update(self.confirmed)
