"""Changes of the voters: announced to all parts, finished once all caught up.

A change adds a voter or replaces one. Claims and leases first copy the state
that the new voter lacks; then the register finishes the change.
"""

import typing

from . import effects
from . import voter_presence
from . import voter_table
from .coordination import claim_messages
from .coordination import lease
from .coordination import membership
from .coordination import origins
from .coordination import register

#: Claims epoch of the first set of voters. Sets are numbered from 0, and
#: epoch 0 of the claims means that there are no holders.
FIRST_CLAIMS_EPOCH = 1
#: Seconds between two attempts to change the voters.
REPAIR_S = 1.0
#: Seconds after which a change whose new voter is present but doesn't catch
#: up is withdrawn, so that others can join.
CHANGE_LIMIT_S = 60.0
#: Seconds for which an instance whose change was withdrawn lets others join
#: before it tries again.
WITHDRAWN_PAUSE_S = 3.0
#: Ticket prefix of the proposals to change the voters.
TICKET = 'repair:'


class VoterReplacement:
    """Makes the disk of this instance a voter, and finishes such changes.

    :param instance_id: this instance.
    :param most_voters: instances with disks join the voters automatically up
        to this number; ``None`` disables that.
    """

    def __init__(
        self,
        *,
        instance_id: str,
        configuration: register.Register,
        members: membership.Membership,
        most_voters: int | None,
    ) -> None:
        self._instance_id = instance_id
        self._register = configuration
        self._members = members
        self._most_voters = most_voters
        self._presence = voter_presence.VoterPresence(members=members)
        #: Number of the voter sets, and since when they are known.
        self._number_since = (-1, 0.0)
        self._next_attempt_at = 0.0
        self._was_joiner = False
        #: Name and voter set number of the parts that have caught up.
        self._caught_up: set[tuple[str, int]] = set()

    def change_voters(
        self, now: float, changed: register.VotersChanged
    ) -> list[typing.Any]:
        """Return events with the new set of voters for claims and leases."""
        voters, joining = changed.voters_by_id, changed.joining_by_id
        new_voters = {
            instance_id: disk_id
            for instance_id, disk_id in joining.items()
            if voters.get(instance_id) != disk_id
        }
        out: list[typing.Any] = [
            claim_messages.HoldersChanged(
                now=now,
                disk_ids_by_holder=voters,
                joining=new_voters,
                epoch=changed.number + FIRST_CLAIMS_EPOCH,
                leaving=frozenset(voters) - frozenset(joining or voters),
            ),
            lease.GrantorsChanged(
                now=now,
                grantors=tuple(sorted(voters)),
                joining=tuple(sorted(joining)),
                version=changed.number,
            ),
        ]
        if changed.number == 0 and self._register.disk_id in voters.values():
            # Only the voters that formed the system have nothing to copy.
            out.append(lease.GrantorsFormed(now=now))
            out.append(origins.KeepersFormed(now=now))
        line = effects.log(
            'the voters have changed',
            number=str(changed.number),
            voters=', '.join(sorted(voters)),
            joining=', '.join(sorted(new_voters)),
            leaving=', '.join(sorted(set(voters) - set(joining or voters))),
        )
        return [line, *(effects.Dispatch(event=event) for event in out)]

    def note_caught_up(
        self, now: float, part: str, number: int, entropy: int
    ) -> list[typing.Any]:
        """Let the register finish a change once all parts have caught up.

        If the new disk counted earlier, claims or epochs would be stored on
        fewer disks than a majority. That would go unnoticed until a second
        disk is lost right afterwards; then a booking could run twice.

        :param part: ``leases`` or ``claims``.
        :param number: number of the set of voters that it has caught up with.
        """
        is_joining = self._view(now).is_joiner
        out: list[typing.Any] = []
        if is_joining and (part, number) not in self._caught_up:
            line = 'a part of the joining disk has caught up'
            out.append(effects.log(line, part=part, number=str(number)))
        self._caught_up.add((part, number))
        if not {('leases', number), ('claims', number)} <= self._caught_up:
            return out
        caught_up = register.CaughtUp(
            now=now, disk_id=self._register.disk_id, entropy=entropy
        )
        return [*out, effects.Dispatch(event=caught_up)]

    def review(self, now: float, entropy: int) -> list[typing.Any]:
        """Take the next step of a change of the voters, if one is needed."""
        out = self._presence.review(now, self._instance_ids())
        return [*out, *self._take_step(now, entropy)]

    def _take_step(self, now: float, entropy: int) -> list[typing.Any]:
        if self._register.configuration is None or now < self._next_attempt_at:
            return []
        view = self._view(now)
        is_withdrawn = self._was_joiner and not (
            view.is_joiner or view.is_voter
        )
        self._was_joiner = view.is_joiner
        if is_withdrawn:
            self._next_attempt_at = now + WITHDRAWN_PAUSE_S
            return []
        step = voter_table.next_step(view)
        if step.action is voter_table.Action.WAIT:
            return []
        self._next_attempt_at = now + REPAIR_S
        if step.action is voter_table.Action.PROPOSE:
            return self._propose(now, entropy, in_place_of=step.voter)
        if step.action is voter_table.Action.REMOVE:
            return self._remove(now, entropy, step.voter)
        return self._withdraw(now, entropy)

    def _view(self, now: float) -> voter_table.View:
        state = self._register
        own = self._members.members_by_id.get(self._instance_id)
        if self._number_since[0] != state.voters_number:
            self._number_since = (state.voters_number, now)
        return voter_table.View(
            instance_id=self._instance_id,
            disk_id=state.disk_id,
            is_leaving=own is not None and voter_presence.is_leaving(own),
            voters_by_id=state.voters_by_id,
            joining_by_id=state.joining_by_id,
            joiner=state.joiner,
            presence_by_id=self._presence.presence_by_id(
                now, self._instance_ids()
            ),
            most_voters=self._most_voters,
            is_stuck=now - self._number_since[1] >= CHANGE_LIMIT_S,
        )

    def _instance_ids(self) -> set[str]:
        """Return the ids of all voters, present and joining."""
        state = self._register
        return state.voters_by_id.keys() | state.joining_by_id.keys()

    def _propose(
        self, now: float, entropy: int, *, in_place_of: str
    ) -> list[typing.Any]:
        state = self._register
        replace = register.ReplaceVoter(
            now=now,
            ticket=f'{TICKET}{state.disk_id}',
            change_id=f'disk-{state.disk_id}-{state.voters_number}',
            instance_id=in_place_of,
            by=self._instance_id,
            entropy=entropy,
        )
        return [
            effects.log(
                "proposing this instance's disk as a voter",
                in_place_of=in_place_of,
                joiner=state.joiner,
            ),
            effects.Dispatch(event=replace),
        ]

    def _remove(
        self, now: float, entropy: int, voter: str
    ) -> list[typing.Any]:
        remove = register.RemoveVoter(
            now=now,
            number=self._register.voters_number,
            instance_id=voter,
            entropy=entropy,
        )
        return [
            effects.log('removing a voter that is gone', voter=voter),
            effects.Dispatch(event=remove),
        ]

    def _withdraw(self, now: float, entropy: int) -> list[typing.Any]:
        state = self._register
        withdraw = register.WithdrawJoining(
            now=now, number=state.voters_number, entropy=entropy
        )
        view = self._view(now)
        return [
            effects.log(
                'withdrawing a voter change: the joining voter is gone',
                level='WARNING',
                joiner=view.joiner,
                is_stuck=view.is_stuck,
            ),
            effects.Dispatch(event=withdraw),
        ]
