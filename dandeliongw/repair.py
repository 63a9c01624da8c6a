"""Changes of the voters: told to all parts, finished when all are whole."""

import typing

from . import effects
from .coordination import claim_messages
from .coordination import lease
from .coordination import register

#: Claims know no holders under epoch 0; sets of voters count from 0.
FIRST_CLAIMS_EPOCH = 1
#: Seconds between two tries to bring a new disk among the voters.
REPAIR_S = 5.0
#: Ticket prefix of those tries.
TICKET = 'repair:'


class Repair:
    """Brings a new disk among the voters in place of the one it replaces.

    :param instance_id: this instance.
    """

    def __init__(
        self, *, instance_id: str, configuration: register.Register
    ) -> None:
        self._instance_id = instance_id
        self._register = configuration
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
        """Ask for this disk to vote in place of the one that was lost."""
        held = self._register
        counted = held.voters_by_id.get(self._instance_id)
        is_known = counted in (None, held.disk_id)
        if is_known or held.joining_by_id or now < self._try_at:
            return []
        self._try_at = now + REPAIR_S
        replace = register.ReplaceVoter(
            now=now,
            ticket=f'{TICKET}{held.disk_id}',
            change_id=f'disk-{held.disk_id}',
            instance_id=self._instance_id,
            by=self._instance_id,
            entropy=entropy,
        )
        return [
            effects.log('a new disk asks to vote in place of a lost one'),
            effects.Dispatch(event=replace),
        ]
