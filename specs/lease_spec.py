"""Specification of leases with epochs, and of orders sent under a lease.

Two candidates compete for one lease of three grantors, and its holder sends
orders to one engine. Messages are lost, delayed and duplicated: a claim may
reach any grantor at any time or never. A candidate that takes no step is
frozen. Grantors may restart or lose their disk at any time.

Time passes in ticks, which lower every timer. Clock drift is part of the
timers' start values, at its worst: grantors have the fastest clock that is
allowed, holders the slowest. Both timers are ``ticks`` long: it is the margin
that makes the holder's timer no longer than the grantor's.

docs/LEASES.md names the function of the code for each transition.
"""

from collections import abc
import dataclasses
import functools
import typing

import minicheck

import specs

#: Most ticks from the check before a send until the order takes effect.
LONGEST_ORDER = 2

CANDIDATES = (0, 1)
NOBODY = -1
#: In place of the remaining time: the answer has not arrived yet.
IN_FLIGHT = -1

IDLE, ASKING, HELD = range(3)

SAFEGUARDS_BY_NAME = {
    'majority': 'two candidates hold the lease, granted by one grantor each',
    'standing_grant': 'a grantor grants the lease although its grant to'
    ' another candidate has not expired',
    'higher_epoch': 'one epoch is granted to two holders, or to two starts'
    ' of one instance',
    'margin': "the lease lasts longer by a slow holder's clock than by a fast"
    " grantor's",
    'counted_from_send': 'the lease of a late answer starts at its receipt,'
    " when the grantor's timer has nearly expired",
    'wait_after_restart': 'a grantor forgets a grant that has not expired'
    ' and grants the lease again',
    'synced_epoch': 'a grantor forgets an epoch, which is granted twice',
    'lost_disk_refused': 'a grantor that has lost its disk acts as if it had'
    ' never granted anything',
    'wait_before_read': 'a grantor that has lost its disk reads from the'
    ' others before a candidate has counted the grant that it forgot',
    'ready_sources': 'two grantors that have lost their disks read from each'
    ' other that nothing was ever granted',
    'reported_by_majority': 'a grantor that reads that one epoch was granted'
    ' to two candidates completes a majority for the second',
    'stop_before_release': 'a holder continues while its successor begins',
    'check_before_send': 'a holder that was frozen until its lease had'
    ' expired sends an order when it resumes',
    'longest_order': "a predecessor's order takes effect after the"
    " successor's, at an engine that ignores fencing numbers",
    'fence': 'an engine accepts an old order after a newer one',
}


class Voter(typing.NamedTuple):
    """A grantor, and its answers to the candidates.

    :param epoch: the highest epoch that it has granted or read.
    :param holder: the candidate that the epoch was granted to.
    :param grant_left: ticks until the grant expires.
    :param wait: ticks after a restart until it may grant again.
    :param lost: whether its disk was lost and it has not caught up.
    :param left_by_candidate: ticks for which a candidate may count this
        grantor's answer.
    """

    epoch: int = 0
    holder: int = NOBODY
    grant_left: int = 0
    wait: int = 0
    lost: bool = False
    left_by_candidate: tuple[int, int] = (0, 0)


Voters = tuple[Voter, ...]


class Candidate(typing.NamedTuple):
    """A candidate or holder, and the order that it has sent.

    :param claim_left: ticks for which an answer to its latest claim counts.
    :param settle: ticks until it may send orders.
    :param order_left: ticks within which the order may still take effect.
    :param order_epoch: the fencing number of the order.
    """

    phase: int = IDLE
    epoch: int = 0
    claim_left: int = 0
    settle: int = 0
    order_left: int = 0
    order_epoch: int = 0


class State(typing.NamedTuple):
    """The whole system; grantors are sorted, as they are interchangeable.

    :param engine: the highest fencing number that the engine has received.
    :param faults: restarts and lost disks that may still happen.
    :param is_reversed: an order took effect after one of a later epoch.
    :param is_granted_twice: an epoch was granted to two holders.
    """

    voters: Voters
    candidates: tuple[Candidate, Candidate]
    engine: int
    owner_by_epoch: tuple[int, ...]
    faults: int
    is_reversed: bool = False
    is_granted_twice: bool = False


Steps = abc.Iterator[tuple[str, State]]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Machine:
    """The transitions of the model.

    :param epochs: number of epochs.
    :param faults: most restarts and lost disks.
    :param ticks: duration of a grant, and of a grantor's wait after a
        restart.
    :param sends_orders: whether holders send orders.
    :param checks_fence: whether the engine refuses old fencing numbers.
    :param without: the safeguard to leave out, or ``None``.
    """

    epochs: int
    faults: int
    ticks: int = 2
    sends_orders: bool = False
    checks_fence: bool = False
    without: str | None = None

    def initial(self) -> State:
        return State(
            voters=(Voter(),) * 3,
            candidates=(Candidate(), Candidate()),
            engine=0,
            owner_by_epoch=(NOBODY,) * self.epochs,
            faults=self.faults,
        )

    def has(self, safeguard: str) -> bool:
        return self.without != safeguard

    @property
    def hold(self) -> int:
        """Return the ticks that a lease lasts, from the send of its claim."""
        return self.ticks if self.has('margin') else self.ticks + 1

    def left(self, state: State, who: int) -> int:
        """Return the remaining ticks that a majority has granted."""
        needed = 2 if self.has('majority') else 1
        return _left(state.voters, who, needed)

    def both_hold(self, state: State) -> bool:
        return self.left(state, 0) > 0 and self.left(state, 1) > 0

    def steps(self, values: tuple) -> list[tuple[str, State]]:
        state = State(*values)
        found = [('tick', self.tick(state))]
        for who in CANDIDATES:
            found += self.candidate_steps(state, who)
        for index, voter in enumerate(state.voters):
            # Grantors in the same state have the same steps.
            if state.voters.index(voter) == index:
                found += self.voter_steps(state, index)
        return found

    # Candidates

    def candidate_steps(self, state: State, who: int) -> Steps:
        own = state.candidates[who]
        if own.phase != HELD:
            # The candidates are interchangeable: let candidate 0 claim first.
            if who and not state.candidates[0].epoch:
                return
            for epoch in range(own.epoch + 1, self.epochs + 1):
                yield (
                    f'{who} claims epoch {epoch}',
                    self.ask(state, who, epoch),
                )
        else:
            renewed = own._replace(claim_left=self.hold)
            yield f'{who} renews', _with_candidate(state, who, renewed)
            yield f'{who} releases', self.stop(state, who)
            if self.sends_orders and self.may_send(state, who):
                sent = own._replace(
                    order_left=LONGEST_ORDER, order_epoch=own.epoch
                )
                yield f'{who} sends', _with_candidate(state, who, sent)
        if own.order_left:
            yield f'order of {who} arrives', self.arrive(state, who)

    def ask(self, state: State, who: int, epoch: int) -> State:
        own = state.candidates[who]._replace(
            phase=ASKING, epoch=epoch, claim_left=self.hold
        )
        return _with_candidate(_without_answers(state, who), who, own)

    def stop(self, state: State, who: int) -> State:
        own = state.candidates[who]._replace(
            phase=IDLE, claim_left=0, settle=0
        )
        return _with_candidate(_without_answers(state, who), who, own)

    def may_send(self, state: State, who: int) -> bool:
        own = state.candidates[who]
        if self.has('check_before_send') and not self.left(state, who):
            return False
        return self.checks_fence or not own.settle

    def arrive(self, state: State, who: int) -> State:
        epoch = state.candidates[who].order_epoch
        if epoch >= state.engine:
            return state._replace(engine=epoch)
        if self.checks_fence and self.has('fence'):
            return state
        return state._replace(is_reversed=True)

    def gain(self, state: State, who: int) -> State:
        """Make a candidate the holder once a majority has granted."""
        own = state.candidates[who]
        if own.phase != ASKING or not self.left(state, who) > 0:
            return state
        settle = LONGEST_ORDER if self.has('longest_order') else 0
        if self.checks_fence:
            settle = 0
        owners = list(state.owner_by_epoch)
        is_granted_twice = owners[own.epoch - 1] not in (NOBODY, who)
        owners[own.epoch - 1] = who
        state = state._replace(
            owner_by_epoch=tuple(owners),
            is_granted_twice=state.is_granted_twice or is_granted_twice,
        )
        held = own._replace(phase=HELD, settle=settle)
        return _with_candidate(state, who, held)

    # Grantors

    def voter_steps(self, state: State, index: int) -> Steps:
        voter = state.voters[index]
        for who in CANDIDATES:
            if self.may_grant(state, voter, who):
                yield (
                    f'{voter.epoch} grants {who}',
                    self.grant(state, index, who),
                )
            if self.may_free(state, voter, who):
                freed = voter._replace(grant_left=0)
                yield (
                    f'{voter.epoch} is released',
                    _with_voter(state, index, freed),
                )
            if voter.left_by_candidate[who] == IN_FLIGHT:
                received = _with_left(voter, who, self.hold)
                state_after = _with_voter(state, index, received)
                yield f'{who} receives an answer', self.gain(state_after, who)
        if state.faults:
            left = state._replace(faults=state.faults - 1)
            restarted = self.restarted(voter)
            yield (
                f'{voter.epoch} restarts',
                _with_voter(left, index, restarted),
            )
            lost = self.restarted(voter)._replace(
                epoch=0, holder=NOBODY, lost=self.has('lost_disk_refused')
            )
            yield (
                f'{voter.epoch} loses its disk',
                _with_voter(left, index, lost),
            )
        if voter.lost and self.may_read(state, index):
            read = self.read(state, index)
            yield f'{voter.epoch} catches up', _with_voter(state, index, read)

    def may_grant(self, state: State, voter: Voter, who: int) -> bool:
        own = state.candidates[who]
        if voter.lost or own.phase == IDLE or not own.claim_left:
            return False
        if voter.epoch == own.epoch and voter.holder == who:
            return True
        if self.has('higher_epoch'):
            if own.epoch <= voter.epoch:
                return False
        elif own.epoch < voter.epoch:
            return False
        if voter.wait:
            return False
        if voter.holder == who or not self.has('standing_grant'):
            return True
        return not voter.grant_left

    def grant(self, state: State, index: int, who: int) -> State:
        own = state.candidates[who]
        voter = state.voters[index]._replace(
            epoch=own.epoch, holder=who, grant_left=self.ticks
        )
        left = max(voter.left_by_candidate[who], own.claim_left)
        if not self.has('counted_from_send'):
            left = IN_FLIGHT
        granted = _with_left(voter, who, left)
        return self.gain(_with_voter(state, index, granted), who)

    def may_free(self, state: State, voter: Voter, who: int) -> bool:
        """Return whether a release of the current grant may arrive."""
        if voter.holder != who or not voter.grant_left:
            return False
        own = state.candidates[who]
        if own.epoch > voter.epoch or own.phase == IDLE:
            return True
        return not self.has('stop_before_release') and own.phase == HELD

    def restarted(self, voter: Voter) -> Voter:
        wait = self.ticks if self.has('wait_after_restart') else 0
        restarted = voter._replace(grant_left=0, wait=wait)
        if not self.has('synced_epoch'):
            return restarted._replace(epoch=0, holder=NOBODY)
        return restarted

    def may_read(self, state: State, index: int) -> bool:
        others = state.voters[:index] + state.voters[index + 1 :]
        if self.has('ready_sources') and any(other.lost for other in others):
            return False
        return not self.has('wait_before_read') or not state.voters[index].wait

    def read(self, state: State, index: int) -> Voter:
        others = state.voters[:index] + state.voters[index + 1 :]
        highest = max(others)
        reports = {(other.epoch, other.holder) for other in others}
        holder = highest.holder
        # The grant may be renewed here only if a majority reports it.
        if self.has('reported_by_majority') and len(reports) > 1:
            holder = NOBODY
        return state.voters[index]._replace(
            epoch=highest.epoch, holder=holder, lost=False
        )

    # Time

    def tick(self, state: State) -> State:
        candidates = tuple(_aged_candidate(c) for c in state.candidates)
        state = state._replace(
            voters=_aged_voters(state.voters), candidates=candidates
        )
        if not self.has('check_before_send'):
            return state
        for who in CANDIDATES:
            if candidates[who].phase == HELD and not self.left(state, who) > 0:
                state = self.stop(state, who)
        return state


@functools.cache
def _left(voters: Voters, who: int, needed: int) -> int:
    lefts = sorted(voter.left_by_candidate[who] for voter in voters)
    return lefts[-needed]


@functools.cache
def _aged_voters(voters: Voters) -> Voters:
    return tuple(sorted(_aged_voter(voter) for voter in voters))


def _aged_voter(voter: Voter) -> Voter:
    lefts = tuple(
        left if left == IN_FLIGHT else max(left - 1, 0)
        for left in voter.left_by_candidate
    )
    return voter._replace(
        grant_left=max(voter.grant_left - 1, 0),
        wait=max(voter.wait - 1, 0),
        left_by_candidate=lefts,
    )


@functools.cache
def _aged_candidate(candidate: Candidate) -> Candidate:
    order_left = max(candidate.order_left - 1, 0)
    return candidate._replace(
        claim_left=max(candidate.claim_left - 1, 0),
        settle=max(candidate.settle - 1, 0),
        order_left=order_left,
        order_epoch=candidate.order_epoch if order_left else 0,
    )


def _with_candidate(state: State, who: int, own: Candidate) -> State:
    candidates = list(state.candidates)
    candidates[who] = own
    return state._replace(candidates=tuple(candidates))


def _with_voter(state: State, index: int, voter: Voter) -> State:
    voters = list(state.voters)
    voters[index] = voter
    voters.sort()
    return state._replace(voters=tuple(voters))


@functools.cache
def _with_left(voter: Voter, who: int, left: int) -> Voter:
    lefts = list(voter.left_by_candidate)
    lefts[who] = left
    return voter._replace(left_by_candidate=tuple(lefts))


@functools.cache
def _unanswered(voters: Voters, who: int) -> Voters:
    return tuple(sorted(_with_left(voter, who, 0) for voter in voters))


def _without_answers(state: State, who: int) -> State:
    return state._replace(voters=_unanswered(state.voters, who))


#: Answers of any age.
_AGES = Machine(epochs=2, faults=1)
#: Two faults in quick succession.
_SECOND_LOSS = Machine(epochs=2, faults=2, ticks=1)
#: Orders to an engine that ignores fencing numbers. With one tick, a lease
#: would expire before its holder may send.
_IGNORING = Machine(epochs=2, faults=0, sends_orders=True)
#: Orders to an engine that checks fencing numbers.
_CHECKING = Machine(
    epochs=2, faults=1, ticks=1, sends_orders=True, checks_fence=True
)

#: The smallest model that needs the safeguard, unless it is _SECOND_LOSS.
_MACHINES_BY_SAFEGUARD = {
    'counted_from_send': dataclasses.replace(_AGES, faults=0),
    'check_before_send': _IGNORING,
    'longest_order': _IGNORING,
    'fence': dataclasses.replace(_CHECKING, faults=0),
}


def build(*, without: str | None = None) -> tuple[specs.BoundedModel, ...]:
    """Return all models, or the one that needs the missing safeguard."""
    if without is None:
        machines = (_AGES, _SECOND_LOSS, _CHECKING, _IGNORING)
        return tuple(_bounded(machine) for machine in machines)
    machine = _MACHINES_BY_SAFEGUARD.get(without, _SECOND_LOSS)
    return (_bounded(dataclasses.replace(machine, without=without)),)


def _bounded(machine: Machine) -> specs.BoundedModel:
    invariants = {
        'one_holder': lambda s: not machine.both_hold(State(**s)),
        'epoch_of_one_holder': lambda s: not s['is_granted_twice'],
        'orders_in_order': lambda s: not s['is_reversed'],
    }
    return specs.BoundedModel(
        bounds=_describe(machine),
        protocol=minicheck.Protocol(
            name='lease',
            candidate=False,
            fields=State._fields,
            initial=machine.initial(),
            transitions=machine.steps,
            invariants=invariants,
        ),
        reached=_wanted_states(machine),
    )


def _describe(machine: Machine) -> str:
    bounds = (
        f'3 grantors, 2 candidates, {machine.epochs} epochs, '
        f'{machine.faults} restarts or lost disks, {machine.ticks} ticks'
    )
    if not machine.sends_orders:
        return bounds
    verb = 'checks' if machine.checks_fence else 'ignores'
    return f'{bounds}, engine {verb} fencing numbers'


def _wanted_states(
    machine: Machine,
) -> dict[str, abc.Callable[[dict[str, typing.Any]], bool]]:
    wanted: dict[str, abc.Callable[[dict[str, typing.Any]], bool]] = {
        'two_holders_in_turn': lambda s: (
            set(s['owner_by_epoch']) == set(CANDIDATES)
        ),
    }
    if machine.faults:
        wanted['all_faults_and_a_holder'] = lambda s: (
            not s['faults'] and HELD in [c.phase for c in s['candidates']]
        )
    if machine.sends_orders:
        wanted['an_order_of_each'] = lambda s: (
            s['engine'] == machine.epochs
            and set(s['owner_by_epoch']) == set(CANDIDATES)
        )
    if machine.checks_fence:
        wanted['an_old_order_under_way'] = lambda s: any(
            0 < candidate.order_epoch < s['engine']
            for candidate in s['candidates']
        )
    return wanted
