"""Model of the formation of the register by the first voters.

Two attempts try to form it. The disk of any instance may be lost at any step;
the instance then has an empty disk with another identity. As long as one disk
that took part in the formation remains, no second register may be formed.
"""

from collections import abc
import typing

import minicheck

import specs

INSTANCES = 3
#: The ballots that try to form the register.
FORMING = (1, 2)
NONE = -1


class Disk(typing.NamedTuple):
    """The contents of one disk.

    :param promised: the ballot that it promised.
    :param accepted: the ballot that it accepted.
    :param bound: the disks that take part in the formation it promised.
    """

    promised: int = 0
    accepted: int = 0
    bound: tuple[int, ...] = ()
    is_lost: bool = False


class Attempt(typing.NamedTuple):
    """A ballot that tries to form the register.

    :param reports: the disk that each instance reported as empty.
    :param promised: the disks that promised, as bits.
    :param is_accepting: whether enough disks have promised.
    :param holders: the disks that accepted, as bits.
    """

    reports: tuple[int, ...] = (NONE,) * INSTANCES
    promised: int = 0
    is_accepting: bool = False
    holders: int = 0


class State(typing.NamedTuple):
    """The whole system.

    :param disk_by_instance: the current disk of each instance.
    """

    disks: tuple[Disk, ...]
    disk_by_instance: tuple[int, ...]
    attempts: tuple[Attempt, ...]


class FormationModel:
    """Builds the transitions of the model.

    :param losses: most disks that are lost.
    :param without: the safeguard to leave out, or ``None``.
    """

    def __init__(self, *, losses: int, without: str | None) -> None:
        self.losses = losses
        self.without = without

    def transitions(self, state: State) -> list[tuple[str, State]]:
        """Return every step from a state."""
        steps: list[tuple[str, State]] = []
        for ballot in FORMING:
            attempt = state.attempts[ballot - 1]
            if NONE in attempt.reports:
                steps += self.reports(state, ballot)
            elif not attempt.is_accepting:
                steps += self.promises(state, ballot)
            else:
                steps += self.acceptances(state, ballot)
        steps += self.lose(state)
        return steps

    def reports(
        self, state: State, ballot: int
    ) -> abc.Iterator[tuple[str, State]]:
        """Yield the reports of empty disks to a ballot.

        Register._on_disk_query and Formation.on_report.
        """
        attempt = state.attempts[ballot - 1]
        for instance, number in enumerate(state.disk_by_instance):
            if attempt.reports[instance] != NONE:
                continue
            if state.disks[number].accepted:
                continue
            reports = _set(attempt.reports, instance, number)
            yield (
                f'instance {instance} reports disk {number} to {ballot}',
                _put(state, ballot, attempt._replace(reports=reports)),
            )

    def promises(
        self, state: State, ballot: int
    ) -> abc.Iterator[tuple[str, State]]:
        """Yield steps of Acceptor.prepare and Attempt._advance_formation."""
        attempt = state.attempts[ballot - 1]
        needed = INSTANCES
        if self.without == 'all_disks_form':
            needed = INSTANCES // 2 + 1
        if attempt.promised.bit_count() >= needed:
            accepting = attempt._replace(is_accepting=True)
            yield f'ballot {ballot} forms', _put(state, ballot, accepting)
        for number in attempt.reports:
            disk = state.disks[number]
            if disk.is_lost or disk.promised >= ballot or disk.accepted:
                continue
            if disk.bound not in ((), attempt.reports):
                if self.without != 'formation_binds_disks':
                    continue
            after = disk._replace(promised=ballot, bound=attempt.reports)
            counted = attempt._replace(promised=attempt.promised | 1 << number)
            changed = _put(state, ballot, counted)
            yield (
                f'disk {number} promises ballot {ballot}',
                changed._replace(disks=_set(state.disks, number, after)),
            )

    def acceptances(
        self, state: State, ballot: int
    ) -> abc.Iterator[tuple[str, State]]:
        """Yield the steps of Acceptor.accept."""
        attempt = state.attempts[ballot - 1]
        for number in attempt.reports:
            disk = state.disks[number]
            if disk.is_lost or disk.promised > ballot:
                continue
            if disk.accepted == ballot:
                continue
            after = disk._replace(promised=ballot, accepted=ballot)
            counted = attempt._replace(holders=attempt.holders | 1 << number)
            changed = _put(state, ballot, counted)
            yield (
                f'disk {number} accepts ballot {ballot}',
                changed._replace(disks=_set(state.disks, number, after)),
            )

    def lose(self, state: State) -> abc.Iterator[tuple[str, State]]:
        """Yield the losses of a disk; its instance gets an empty one."""
        lost = sum(disk.is_lost for disk in state.disks)
        if lost >= self.losses:
            return
        for instance, number in enumerate(state.disk_by_instance):
            disks = _set(state.disks, number, Disk(is_lost=True))
            yield (
                f'instance {instance} loses disk {number}',
                state._replace(
                    disks=(*disks, Disk()),
                    disk_by_instance=_set(
                        state.disk_by_instance, instance, len(disks)
                    ),
                ),
            )

    # Invariants

    def one_register_is_formed(self, state: dict[str, typing.Any]) -> bool:
        """All formations that a majority accepted have the same voters."""
        return len(self.formed(state)) <= 1

    def formed(self, state: dict[str, typing.Any]) -> set[tuple[int, ...]]:
        """Return the voters of the formations that a majority accepted."""
        return {
            attempt.reports
            for attempt in state['attempts']
            if attempt.holders.bit_count() > INSTANCES // 2
        }

    def build(self) -> specs.BoundedModel:
        """Return the model with its bounds."""
        initial = State(
            disks=(Disk(),) * INSTANCES,
            disk_by_instance=tuple(range(INSTANCES)),
            attempts=(Attempt(),) * len(FORMING),
        )
        protocol = minicheck.Protocol(
            name='register formation',
            candidate=False,
            fields=State._fields,
            initial=initial,
            transitions=self.transitions,
            invariants={'one_register_is_formed': self.one_register_is_formed},
        )
        return specs.BoundedModel(
            bounds=(
                f'{INSTANCES} voters, {len(FORMING)} attempts to form, '
                f'{self.losses} disks lost'
            ),
            protocol=protocol,
            reached={
                'formed after a loss': lambda state: any(
                    max(voters) >= INSTANCES for voters in self.formed(state)
                )
            },
        )


def _put(state: State, ballot: int, attempt: Attempt) -> State:
    attempts = _set(state.attempts, ballot - 1, attempt)
    return state._replace(attempts=attempts)


def _set(items: tuple, index: int, item: typing.Any) -> tuple:
    return (*items[:index], item, *items[index + 1 :])
