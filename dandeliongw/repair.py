"""Changes of the voters: told to all parts, finished when all are whole."""

import typing

from . import effects
from .coordination import claim_messages
from .coordination import lease
from .coordination import membership
from .coordination import register

#: Claims know no holders under epoch 0; sets of voters count from 0.
FIRST_CLAIMS_EPOCH = 1
#: Seconds between two tries to bring a new disk among the voters.
REPAIR_S = 2.0
#: Seconds without a sign of life after which a voter may be replaced. A
#: restart takes two; a cut that lasts longer costs the voter its vote, and it
#: comes back as a new one.
GONE_S = 20.0
#: Ticket prefix of those tries.
TICKET = 'repair:'


class Repair:
    """Brings a new disk among the voters in place of the one it replaces.

    :param instance_id: this instance.
    :param most_voters: up to how many instances with disks become voters by
        themselves; ``None`` for none.
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
        self._absent_since_by_id: dict[str, float] = {}
        self._try_at = 0.0
        #: Parts that hold all of the coming voters' state, by set number.
        self._whole: set[tuple[str, int]] = set()

    def change_voters(
        self, now: float, changed: register.VotersChanged
    ) -> list[typing.Any]:
        """Tell claims and leases whose answers count."""
        voters, joining = changed.voters_by_id, changed.joining_by_id
        coming = {
            instance_id: disk_id
            for instance_id, disk_id in joining.items()
            if voters.get(instance_id) != disk_id
        }
        out: list[typing.Any] = [
            claim_messages.HoldersChanged(
                now=now,
                disk_ids_by_holder=voters,
                joining=coming,
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
            # Only the first voters ever start with nothing to catch up with.
            out.append(lease.GrantorsFormed(now=now))
        return [effects.Dispatch(event=event) for event in out]

    def note_whole(
        self, now: float, part: str, number: int, entropy: int
    ) -> list[typing.Any]:
        """Let the register finish a replacement once all parts are whole.

        Counting the new disk earlier would leave claims or epochs on fewer
        disks than a majority: one would see nothing, until a second disk is
        lost right after and a booking runs twice.

        :param part: ``leases`` or ``claims``.
        :param number: of the set of voters that it has caught up with.
        """
        self._whole.add((part, number))
        if not {('leases', number), ('claims', number)} <= self._whole:
            return []
        caught_up = register.CaughtUp(
            now=now, disk_id=self._register.disk_id, entropy=entropy
        )
        return [effects.Dispatch(event=caught_up)]

    def review(self, now: float, entropy: int) -> list[typing.Any]:
        """Keep the voters whole: one step at a time, begun by who comes."""
        self._note_absent(now)
        if self._register.configuration is None or now < self._try_at:
            return []
        wanted = self._choose(now, entropy)
        if wanted:
            self._try_at = now + REPAIR_S
        return wanted

    def _choose(self, now: float, entropy: int) -> list[typing.Any]:
        held = self._register
        if held.joining_by_id:
            return self._withdraw(now, entropy)
        counted = held.voters_by_id.get(self._instance_id)
        if counted == held.disk_id:
            return []
        if counted is not None:
            return self._join(now, entropy, in_place_of=self._instance_id)
        if held.disk_id is None or self._most_voters is None:
            return []
        return self._come(now, entropy)

    def _come(self, now: float, entropy: int) -> list[typing.Any]:
        """Become a voter in place of one that is gone, or beside the others.

        While a voter is only doubted nothing is done: added now, the one
        that is gone would count on beside its successor, and a majority
        would need more of those that are left.
        """
        gone = sorted(
            voter
            for voter in self._register.voters_by_id
            if self._is_gone(now, voter)
        )
        if gone:
            return self._join(now, entropy, in_place_of=gone[0])
        is_whole = not self._absent_since_by_id.keys() & (
            self._register.voters_by_id.keys()
        )
        if is_whole and len(self._register.voters_by_id) < self._most_voters:
            return self._join(now, entropy, in_place_of='')
        return []

    def _join(
        self, now: float, entropy: int, *, in_place_of: str
    ) -> list[typing.Any]:
        held = self._register
        replace = register.ReplaceVoter(
            now=now,
            ticket=f'{TICKET}{held.disk_id}',
            change_id=f'disk-{held.disk_id}-{held.voters_number}',
            instance_id=in_place_of,
            by=self._instance_id,
            entropy=entropy,
        )
        return [
            effects.log('a disk asks to vote', in_place_of=in_place_of),
            effects.Dispatch(event=replace),
        ]

    def _withdraw(self, now: float, entropy: int) -> list[typing.Any]:
        """Give up a change whose new voter is gone; any voter does."""
        held = self._register
        coming = held.joining_by_id.keys() - held.voters_by_id.keys()
        is_voter = self._instance_id in held.voters_by_id
        if not is_voter or not any(self._is_gone(now, c) for c in coming):
            return []
        withdraw = register.WithdrawJoining(
            now=now, number=held.voters_number, entropy=entropy
        )
        return [
            effects.log('a voter that was to come is gone', level='WARNING'),
            effects.Dispatch(event=withdraw),
        ]

    def _is_gone(self, now: float, instance_id: str) -> bool:
        since = self._absent_since_by_id.get(instance_id)
        return since is not None and now - since >= GONE_S

    def _note_absent(self, now: float) -> None:
        """Note since when each voter, present or coming, is not alive."""
        held = self._register
        voters = held.voters_by_id.keys() | held.joining_by_id.keys()
        absent = voters - set(self._members.alive_ids())
        self._absent_since_by_id = {
            voter: self._absent_since_by_id.get(voter, now) for voter in absent
        }
