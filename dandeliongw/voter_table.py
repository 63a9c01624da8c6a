"""The next step of a change of the voters, for one instance.

There is one change at a time. It adds a voter, puts a new voter in the place
of one, or renews the disk of one; its *joiner* is the new voter. A voter that
goes is removed without a joiner where that leaves an odd number.

What an instance does depends on the change in progress, its own role, and
the presence of the others:

===================  ============  ====================  =====================
event                no change     own change            another's change
===================  ============  ====================  =====================
own disk is new,     renew it; of  replace the joining   wait
own id is a voter    an even       disk by it
                     number,
                     remove it
own disk is new,     as candidate  replace the joining   wait
own id was joining                 disk by it
voter, another goes  remove it, of --                    wait
or is gone           an even
                     number
candidate, a voter   take its      wait for the          wait
goes or is gone      place, of an  catch-up
                     odd number
candidate, all       join          wait for the          wait
voters are present                 catch-up
candidate, a voter   wait          wait for the          wait
is absent                          catch-up
voter, joiner goes,  --            --                    withdraw the change
is gone or stuck
voter, a removal     --            --                    end it
is not finished
any voter is absent  wait          wait                  wait
this one is leaving  wait          wait                  wait
===================  ============  ====================  =====================

Why no step gives up a majority. Taking the place of a voter that is gone
keeps as many disks that answer in the new set as in the old one, whatever
becomes of the joiner. Joining as an additional voter may cost one, so it
needs all voters present. After a removal from an even number, a majority is
one disk smaller.
"""

from collections import abc
import dataclasses
import enum


class Presence(enum.Enum):
    """What this instance knows of another one.

    A machine that is ``ABSENT`` may be back with its disk at any moment. One
    that is ``LEAVING`` has said so and still answers.
    """

    PRESENT = 'present'
    LEAVING = 'leaving'
    ABSENT = 'absent'
    GONE = 'gone'

    @property
    def may_be_replaced(self) -> bool:
        """Whether a new voter may take the place of this instance."""
        return self in (Presence.LEAVING, Presence.GONE)


class Action(enum.Enum):
    """What to do next."""

    WAIT = 'wait'
    PROPOSE = 'propose'
    WITHDRAW = 'withdraw'
    REMOVE = 'remove'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Step:
    """One step.

    :param voter: the voter that goes; for ``PROPOSE``, ``''`` adds one.
    """

    action: Action
    voter: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class View:
    """What one instance knows.

    :param disk_id: of this instance; ``None`` without a disk.
    :param is_leaving: whether this instance is shutting down.
    :param voters_by_id: disk ids of the voters.
    :param joining_by_id: the set that is to replace them; empty when no
        change is in progress.
    :param joiner: the instance whose disk is joining; ``''`` if there is
        none.
    :param presence_by_id: of all instances in either set.
    :param most_voters: instances join up to this number; ``None`` if only
        the disks of voters are renewed.
    :param is_stuck: whether the change has taken too long.
    """

    instance_id: str
    disk_id: str | None
    is_leaving: bool
    voters_by_id: abc.Mapping[str, str]
    joining_by_id: abc.Mapping[str, str]
    joiner: str
    presence_by_id: abc.Mapping[str, Presence]
    most_voters: int | None
    is_stuck: bool = False

    @property
    def is_voter(self) -> bool:
        """Whether the disk of this instance votes."""
        return self._has_own_disk(self.voters_by_id)

    @property
    def is_joiner(self) -> bool:
        """Whether the disk of this instance is joining."""
        return not self.is_voter and self._has_own_disk(self.joining_by_id)

    def _has_own_disk(self, disks_by_id: abc.Mapping[str, str]) -> bool:
        disk_id = disks_by_id.get(self.instance_id)
        return disk_id is not None and disk_id == self.disk_id

    @property
    def replaced(self) -> str:
        """The voter in whose place it joins; ``''`` if there is none."""
        if self.joiner in self.voters_by_id:
            return self.joiner
        leaving = self.voters_by_id.keys() - self.joining_by_id.keys()
        return min(leaving, default='')

    def replaceable_voters(self) -> list[str]:
        """Return the other voters that may go, those that are gone first."""
        found = [
            voter
            for voter in sorted(self.voters_by_id)
            if voter != self.instance_id
            and self.presence_by_id[voter].may_be_replaced
        ]
        return sorted(
            found,
            key=lambda each: self.presence_by_id[each] is not Presence.GONE,
        )


_WAIT = Step(action=Action.WAIT)


def next_step(view: View) -> Step:
    """Return what this instance does next; the module has the table."""
    if view.is_leaving or view.disk_id is None:
        return _WAIT
    if view.joining_by_id:
        return _continue(view)
    if len(view.voters_by_id) % 2 == 0 and view.most_voters is not None:
        removal = _remove(view)
        if removal is not None:
            return removal
    if view.is_voter:
        return _WAIT
    if view.instance_id in view.voters_by_id:
        return Step(action=Action.PROPOSE, voter=view.instance_id)
    return _join(view)


def _continue(view: View) -> Step:
    """Return the step while a change is in progress."""
    if view.joiner == view.instance_id and not view.is_joiner:
        return Step(action=Action.PROPOSE, voter=view.replaced)
    if not view.is_voter:
        return _WAIT
    if not view.joiner:
        return Step(action=Action.REMOVE, voter=view.replaced)
    is_lost = view.presence_by_id[view.joiner].may_be_replaced
    if is_lost or view.is_stuck:
        return Step(action=Action.WITHDRAW)
    return _WAIT


def _remove(view: View) -> Step | None:
    """Return the step towards a removal from an even number, if one is due.

    It comes before all else, as it is the only step that needs no catch-up.
    """
    if not view.is_voter and view.instance_id in view.voters_by_id:
        return Step(action=Action.REMOVE, voter=view.instance_id)
    found = view.replaceable_voters()
    if not found:
        return None
    if not view.is_voter:
        return _WAIT
    return Step(action=Action.REMOVE, voter=found[0])


def _join(view: View) -> Step:
    """Return the step of an instance that could become a voter."""
    if view.most_voters is None:
        return _WAIT
    found = view.replaceable_voters()
    if found:
        return Step(action=Action.PROPOSE, voter=found[0])
    are_present = all(
        view.presence_by_id[voter] is Presence.PRESENT
        for voter in view.voters_by_id
    )
    if are_present and len(view.voters_by_id) < view.most_voters:
        return Step(action=Action.PROPOSE)
    return _WAIT
