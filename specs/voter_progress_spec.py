"""Specification of the progress of changes of the voters under losses.

The other specifications prove that no chosen value is lost. This one says
that the voters remain able to choose: machines are lost, restarted and
replaced in any order, as often as the bounds allow, and each as soon as the
last one counts again. The decisions are those of ``voter_table``, which the
instances run; a second is a tick.

A machine that is lost comes back with an empty disk, or is replaced by a new
one, or a new one is started first and the old one leaves. One machine may be
lost at a time. It counts again some seconds after it, or its successor, has
started, whether or not its vote has been restored by then.

At any moment, all machines may be killed and come back with their disks. The
voters and a change that was proposed are on the disks, but the catch-up starts
again. No instance is left that knows who leaves or how long others are gone.
"""

from collections import abc
import dataclasses
import typing

import minicheck

from dandeliongw import voter_table
from dandeliongw.voter_table import Action
from dandeliongw.voter_table import Presence
import specs

#: Ticks from the start of a machine until another one may be lost.
COUNTS_AGAIN = 4
#: Ticks for which a machine that restarts or lost its disk is down.
DOWN = 1
#: Ticks until a machine that doesn't answer counts as gone.
GONE_AFTER = 5
#: The same for one that was gone before all others restarted. These are down
#: and find each other first.
UNSEEN_AFTER = 4
#: Ticks that a joining disk needs to catch up: the duration of a lease.
CATCH_UP = 3
#: The same if it waited for leases to expire before the read and after it.
CATCH_UP_WITH_TWO_WAITS = 5
#: Ticks within which the voters are complete if nothing more is lost.
COMPLETE_AFTER = 40

SAFEGUARDS_BY_NAME = {
    'leave_is_final': 'a voter that has said that it leaves keeps its place'
    ' for as long as one that may come back',
    'gone_is_noticed': 'a successor waits four times as long for its place',
    'lost_again': 'a disk that is lost while it joins is never replaced',
    'withdrawal': 'a joining machine that is gone blocks all other changes',
    'removal': 'an even number of voters keeps one that is gone',
    'removal_ends': 'a removal that its proposer left is never ended',
    'quick_catch_up': 'catching up takes longer than losses are apart',
    'unseen_is_noticed': 'a successor waits for its place until instances that'
    ' have just started could have discovered thousands of others',
    'ready_after_read': 'a joining disk is counted only after the wait that'
    ' follows its read of the epochs',
}

#: UNSEEN is a machine that was gone before all others restarted.
UP, EMPTY, LEAVING, LEFT, KILLED, UNSEEN = range(6)


class Machine(typing.NamedTuple):
    """One machine.

    :param disk: how many disks it has had; a disk's id is that and the name.
    :param age: ticks since ``status`` changed, up to a limit; below 0 while
        a machine that is up restarts.
    """

    name: int
    disk: int
    status: int
    age: int


class State(typing.NamedTuple):
    """The whole system.

    :param voters: name and disk of each voter.
    :param joining: the same of the set that is to replace them.
    :param change_age: ticks since the change began.
    :param last_start: ticks since the last machine started.
    :param losses: how many more machines may be lost.
    :param crashes: how many more times all machines may restart.
    :param leaver: the machine that leaves once its successor counts.
    """

    machines: tuple[Machine, ...]
    voters: tuple[tuple[int, int], ...]
    joining: tuple[tuple[int, int], ...]
    change_age: int
    last_start: int
    losses: int
    crashes: int
    leaver: int


_NOBODY = -1
#: Ages above this one are alike: of a machine that is up, and of others.
_MOST_AGE_UP = 1
_MOST_AGE = 4 * GONE_AFTER


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Model:
    """The transitions.

    :param losses: number of machines that are lost.
    :param crashes: number of times that all machines restart.
    :param without: the safeguard to leave out, or ``None``.
    :param ticks_left_by_state: ticks until the voters are complete, of the
        states that :meth:`ends` has passed.
    """

    losses: int
    crashes: int
    without: str | None = None
    ticks_left_by_state: dict[State, int] = dataclasses.field(
        default_factory=dict, init=False, compare=False, repr=False
    )

    def initial(self) -> State:
        return State(
            machines=tuple(
                Machine(name=name, disk=0, status=UP, age=_MOST_AGE_UP)
                for name in range(5)
            ),
            voters=tuple((name, 0) for name in range(5)),
            joining=(),
            change_age=0,
            last_start=COUNTS_AGAIN,
            losses=self.losses,
            crashes=self.crashes,
            leaver=_NOBODY,
        )

    def steps(self, values: tuple) -> list[tuple[str, State]]:
        state = State(*values)
        found = []
        for label, lost in (('', state), *self.loss_steps(state)):
            for step, after in self.tick(lost):
                found.append((f'{label}; {step}', after))
            if not state.crashes:
                continue
            for step, after in self.tick(_restarted(lost)):
                found.append((f'{label}, all restart; {step}', after))
        return found

    # Losses

    def loss_steps(self, state: State) -> abc.Iterator[tuple[str, State]]:
        if state.last_start < COUNTS_AGAIN:
            return
        if state.leaver != _NOBODY:
            leaving = _with_status(state, state.leaver, LEAVING)
            yield 'old leaves', leaving._replace(leaver=_NOBODY)
            return
        if not state.losses or any(
            each.status in (EMPTY, LEAVING) for each in state.machines
        ):
            return
        state = state._replace(losses=state.losses - 1)
        for each in _to_lose(state):
            empty = _with_status(state, each.name, EMPTY)
            yield f'{each.name} loses its disk', empty._replace(last_start=0)
            killed = _with_status(state, each.name, KILLED)
            yield f'{each.name} is replaced', _started(killed)
            planned = _started(state)._replace(leaver=each.name)
            yield f'a successor of {each.name} starts', planned

    # Time and the voters

    def tick(self, state: State) -> abc.Iterator[tuple[str, State]]:
        """Yield the states after a tick, one for each proposer."""
        state = _aged(state)
        ended = self.end_change(state)
        if ended is not state:
            yield 'the change ends', ended
            return
        changed = False
        if self.has_quorum(state):
            for name, after in self.proposals(state):
                changed = True
                yield f'{name} proposes', after
        if not changed:
            yield 'nothing', state

    def has_quorum(self, state: State) -> bool:
        up = _answering(state)
        if any(each.age < 0 for each in state.machines):
            return False
        return all(
            2 * len(up & set(each)) > len(each)
            for each in (state.voters, state.joining)
            if each
        )

    def end_change(self, state: State) -> State:
        joiners = set(state.joining) - set(state.voters)
        if not joiners or not self.has_quorum(state):
            return state
        (joiner,) = joiners
        needed = CATCH_UP
        if self.without == 'quick_catch_up':
            needed = 3 * CATCH_UP
        if self.without == 'ready_after_read':
            needed = CATCH_UP_WITH_TWO_WAITS
        if joiner not in _answering(state) or state.change_age < needed:
            return state
        return state._replace(voters=state.joining, joining=(), change_age=0)

    def proposals(self, state: State) -> abc.Iterator[tuple[int, State]]:
        for machine in state.machines:
            # It takes a tick to learn who the others are.
            if machine.status not in (UP, LEAVING) or machine.age < 1:
                continue
            view = self.view(state, machine)
            step = voter_table.next_step(view)
            after = self.apply(state, machine, view, step)
            if after is not state:
                yield machine.name, after

    def view(self, state: State, machine: Machine) -> voter_table.View:
        joiners = set(state.joining) - set(state.voters)
        return voter_table.View(
            instance_id=str(machine.name),
            disk_id=_disk_id(machine),
            is_leaving=machine.status == LEAVING,
            voters_by_id=_disks_by_id(state.voters),
            joining_by_id=_disks_by_id(state.joining),
            joiner=str(min(joiners)[0]) if joiners else '',
            presence_by_id={
                str(each.name): self.presence(each) for each in state.machines
            },
            most_voters=11,
        )

    def presence(self, machine: Machine) -> Presence:
        if machine.status == UP:
            return Presence.PRESENT
        limit = GONE_AFTER
        if self.without == 'gone_is_noticed':
            limit = 4 * GONE_AFTER
        if machine.status == UNSEEN:
            limit = UNSEEN_AFTER
            if self.without == 'unseen_is_noticed':
                limit = 4 * GONE_AFTER
        if machine.status in (LEAVING, LEFT):
            if self.without != 'leave_is_final':
                is_left = machine.status == LEFT
                return Presence.GONE if is_left else Presence.LEAVING
            limit = 4 * GONE_AFTER
        if machine.age >= limit:
            return Presence.GONE
        return Presence.ABSENT

    def apply(
        self,
        state: State,
        machine: Machine,
        view: voter_table.View,
        step: voter_table.Step,
    ) -> State:
        """Return the state after a step; the same if there is none."""
        before = set(state.voters)
        if step.action is Action.WAIT:
            return state
        if step.action is Action.WITHDRAW:
            if self.without == 'withdrawal':
                return state
            return state._replace(joining=(), change_age=0)
        if step.action is Action.REMOVE and state.joining:
            if self.without == 'removal_ends':
                return state
            return state._replace(
                voters=state.joining, joining=(), change_age=0
            )
        if state.joining and self.without == 'lost_again':
            return state
        joining = {each for each in before if str(each[0]) != step.voter}
        if step.action is Action.PROPOSE:
            joining.add((machine.name, machine.disk))
        elif self.without == 'removal':
            return state
        return state._replace(joining=tuple(sorted(joining)), change_age=0)

    # Invariants

    def has_majority(self, values: dict[str, typing.Any]) -> bool:
        """A majority of the voters' disks is left.

        A machine that is up or is leaving has its disk, and no machine that
        is gone comes back with one.
        """
        state = State(**values)
        return 2 * len(_answering(state) & set(state.voters)) > len(
            state.voters
        )

    def ends(self, values: dict[str, typing.Any]) -> bool:
        """Without further losses, every machine that is up becomes a voter."""
        state = State(**values)._replace(losses=0, crashes=0)
        passed: list[State] = []
        while state not in self.ticks_left_by_state:
            if _is_complete(state):
                self.ticks_left_by_state[state] = 0
            elif len(passed) > COMPLETE_AFTER:
                return False
            else:
                passed.append(state)
                _, state = next(iter(self.tick(state)))
        left = self.ticks_left_by_state[state]
        for before in reversed(passed):
            left += 1
            self.ticks_left_by_state[before] = left
        return left <= COMPLETE_AFTER


def _to_lose(state: State) -> list[Machine]:
    """Return the machines that are up; of those that are alike, one."""
    up = [each for each in state.machines if each.status == UP]
    first = [each for each in up if each.name < 5 and not each.disk]
    return first[-1:] + [each for each in up if each not in first]


def _is_complete(state: State) -> bool:
    return not state.joining and set(state.voters) == _answering(state)


def _answering(state: State) -> set[tuple[int, int]]:
    return {
        (each.name, each.disk)
        for each in state.machines
        if each.status in (UP, LEAVING)
    }


def _disk_id(machine: Machine) -> str:
    return f'{machine.name}.{machine.disk}'


def _disks_by_id(disks: tuple[tuple[int, int], ...]) -> dict[str, str]:
    return {str(name): f'{name}.{disk}' for name, disk in disks}


def _with_status(state: State, name: int, status: int) -> State:
    machines = [
        each._replace(status=status, age=0) if each.name == name else each
        for each in state.machines
    ]
    return state._replace(machines=tuple(machines))


def _started(state: State) -> State:
    """Return the state with one more machine, which has an empty disk."""
    name = 1 + max(each.name for each in state.machines)
    new = Machine(name=name, disk=0, status=EMPTY, age=0)
    return state._replace(machines=(*state.machines, new), last_start=0)


def _restarted(state: State) -> State:
    """Return the state after all machines that are up have restarted.

    Nobody is left that knows who leaves, or for how long others are gone.
    """
    machines = []
    for each in state.machines:
        if each.status == UP:
            each = each._replace(age=-DOWN)
        elif each.status == EMPTY:
            each = each._replace(age=0)
        else:
            each = each._replace(status=UNSEEN, age=0)
        machines.append(each)
    last_start = state.last_start
    if last_start < COUNTS_AGAIN:
        last_start = -DOWN
    return state._replace(
        machines=tuple(machines),
        change_age=-DOWN if state.joining else 0,
        last_start=last_start,
        crashes=state.crashes - 1,
    )


def _aged(state: State) -> State:
    machines = []
    last_start = min(state.last_start + 1, COUNTS_AGAIN)
    for each in state.machines:
        most_age = _MOST_AGE_UP if each.status == UP else _MOST_AGE
        each = each._replace(age=min(each.age + 1, most_age))
        if each.status == EMPTY and each.age >= DOWN:
            each = each._replace(disk=each.disk + 1, status=UP, age=0)
            last_start = 0
        if each.status == LEAVING and each.age >= DOWN:
            each = each._replace(status=LEFT, age=0)
        machines.append(each)
    change_age = 0
    if state.joining:
        change_age = min(state.change_age + 1, 3 * CATCH_UP)
    return state._replace(
        machines=_without_forgotten(state, machines),
        change_age=change_age,
        last_start=last_start,
    )


def _without_forgotten(
    state: State, machines: list[Machine]
) -> tuple[Machine, ...]:
    """Drop machines that are gone and named in no set."""
    named = {name for name, _ in (*state.voters, *state.joining)}
    return tuple(
        each
        for each in machines
        if each.status not in (LEFT, KILLED, UNSEEN) or each.name in named
    )


#: Every kind of loss, and losses beside restarts of all machines.
_LOSSES = Model(losses=4, crashes=0)
_RESTARTS = Model(losses=3, crashes=3)

#: The model that needs the safeguard, unless it is _LOSSES.
_MODELS_BY_SAFEGUARD = {
    'unseen_is_noticed': _RESTARTS,
    'ready_after_read': _RESTARTS,
}


def build(*, without: str | None = None) -> tuple[specs.BoundedModel, ...]:
    """Return both models, or the one that needs the missing safeguard."""
    if without is None:
        return _bounded(_LOSSES), _bounded(_RESTARTS)
    model = _MODELS_BY_SAFEGUARD.get(without, _LOSSES)
    return (_bounded(dataclasses.replace(model, without=without)),)


def _bounded(model: Model) -> specs.BoundedModel:
    reached: dict[str, abc.Callable[[dict[str, typing.Any]], bool]] = {
        'six_voters': lambda s: len(s['voters']) == 6,
    }
    if model.crashes:
        reached['an_unseen_voter_is_replaced'] = lambda s: any(
            each.status == UNSEEN
            and (each.name, each.disk) in {*s['voters']} - {*s['joining']}
            and len(s['joining']) == len(s['voters'])
            for each in s['machines']
        )
    return specs.BoundedModel(
        bounds=(
            f'5 voters, {model.losses} machines lost, one at a time, '
            f'{model.crashes} restarts of all'
        ),
        protocol=minicheck.Protocol(
            name='voter progress',
            candidate=False,
            fields=State._fields,
            initial=model.initial(),
            transitions=model.steps,
            invariants={
                'has_majority': model.has_majority,
                'ends': model.ends,
            },
        ),
        reached=reached,
    )
