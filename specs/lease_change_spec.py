"""Specification of a change of the grantors while leases are held.

The old set has one grantor and the new set has another one, so that no
majority of one set overlaps a majority of the other by chance. Two candidates
compete for one lease. Each is notified of the change at any time or never.
Messages are delayed, lost and duplicated, and either grantor may restart.
Ticks and clock drift are as in ``lease_spec``; docs/LEASES.md names the
function of the code for each transition.

The new grantor is ready as soon as the epochs that it has read are synced, and
the change may end then. From the read on, it grants no epoch for the duration
of a lease: leases of the old set that it has not read about may last so long.
Renewals need no wait, as the holder of the highest epoch is known.
"""

from collections import abc
import dataclasses
import functools
import typing

import minicheck

import specs

CANDIDATES = (0, 1)
NOBODY = -1

IDLE, ASKING, HELD = range(3)
#: The sets in force: the old one, both, the new one.
OLD, JOINT, NEW = range(3)
#: Progress of the new grantor. READ: its records have not been synced yet.
WAITING, READ, READY = range(3)

SAFEGUARDS_BY_NAME = {
    'both_majorities': 'during the change the old set alone grants an epoch,'
    ' of which the new set has no record',
    'read_epochs': 'the new set starts without epochs and grants them again',
    'fence': 'a claim that needs a majority of the old set only is granted'
    ' after the new set has read the epochs',
    'synced_fence': 'the old grantor restarts after the read and grants'
    ' claims that need a majority of the old set only',
    'fence_synced_by_read': 'the old grantor has heard of the change from a'
    ' claim and syncs no fence for the read, which a restart undoes',
    'settle_after_read': 'a lease of the old set has not expired when the new'
    ' set grants',
    'wait_outlasts_change': 'the end of the change ends the wait of the new'
    ' grantor, and a lease of the old set has not expired',
    'wait_after_restart': 'a restart ends the wait of the new grantor, and a'
    ' lease of the old set has not expired',
    'synced_records': 'the new grantor is ready before its records are synced,'
    ' and a restart loses them',
    'finish_after_catch_up': 'the old set is removed before the new one has'
    ' caught up',
}


class Voter(typing.NamedTuple):
    """A grantor, and its answers to the candidates.

    :param epoch: the highest epoch that it has granted or read.
    :param holder: the candidate that the epoch was granted to.
    :param grant_left: ticks until the grant expires.
    :param wait: ticks until it may grant to another candidate.
    :param fence: the oldest sets of which it accepts claims.
    :param synced_fence: the same after a restart.
    :param progress: how far it has caught up.
    :param left_by_candidate: ticks for which a candidate may count this
        grantor's answer.
    """

    epoch: int = 0
    holder: int = NOBODY
    grant_left: int = 0
    wait: int = 0
    fence: int = OLD
    synced_fence: int = OLD
    progress: int = READY
    left_by_candidate: tuple[int, int] = (0, 0)


class Candidate(typing.NamedTuple):
    """A candidate or holder.

    :param known: the sets of which it counts majorities.
    :param claim_left: ticks for which an answer to its latest claim counts.
    :param claimed: the sets named by its latest claim.
    :param left: remaining ticks of its lease.
    """

    phase: int = IDLE
    known: int = OLD
    epoch: int = 0
    claim_left: int = 0
    claimed: int = OLD
    left: int = 0


class State(typing.NamedTuple):
    """The whole system.

    :param force: the sets in force.
    :param restarts: restarts that may still happen.
    :param is_granted_twice: an epoch was granted to two holders.
    """

    force: int
    old: Voter
    new: Voter
    candidates: tuple[Candidate, Candidate]
    owner_by_epoch: tuple[int, ...]
    restarts: int
    is_granted_twice: bool = False


Steps = abc.Iterator[tuple[str, State]]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Machine:
    """The transitions of the model.

    :param ticks: duration of grants and leases.
    :param epochs: number of epochs.
    :param restarts: most restarts of both grantors.
    :param without: the safeguard to leave out, or ``None``.
    """

    ticks: int
    epochs: int
    restarts: int
    without: str | None = None

    def initial(self) -> State:
        return State(
            force=OLD,
            old=Voter(),
            new=Voter(progress=WAITING),
            candidates=(Candidate(), Candidate()),
            owner_by_epoch=(NOBODY,) * self.epochs,
            restarts=self.restarts,
        )

    def has(self, safeguard: str) -> bool:
        return self.without != safeguard

    def steps(self, values: tuple) -> list[tuple[str, State]]:
        state = State(*values)
        found = [('tick', self.tick(state))]
        found += self.change_steps(state)
        for who in CANDIDATES:
            found += self.candidate_steps(state, who)
            found += self.grant_steps(state, who)
        return found

    # The change

    def change_steps(self, state: State) -> Steps:
        if state.force == OLD:
            yield 'change begins', state._replace(force=JOINT)
        if state.force == JOINT and state.new.progress == WAITING:
            yield 'new reads', self.read(state)
        if state.new.progress == READ:
            ready = state.new._replace(progress=READY)
            yield 'new is ready', state._replace(new=ready)
        is_caught_up = state.new.progress >= self.least_progress
        if not self.has('finish_after_catch_up'):
            is_caught_up = True
        if state.force == JOINT and is_caught_up:
            yield 'change ends', self.end(state)
        if state.restarts:
            left = state._replace(restarts=state.restarts - 1)
            yield 'old restarts', self.restart_old(left)
            yield 'new restarts', self.restart_new(left)

    @property
    def least_progress(self) -> int:
        """Return the progress with which the new grantor may grant."""
        return READY if self.has('synced_records') else READ

    def read(self, state: State) -> State:
        old = state.old
        if self.has('fence'):
            if self.has('fence_synced_by_read') or old.fence < JOINT:
                old = old._replace(synced_fence=JOINT)
            old = old._replace(fence=JOINT)
        new = state.new._replace(progress=READ)
        if self.has('read_epochs'):
            new = new._replace(epoch=old.epoch, holder=old.holder)
        if self.has('settle_after_read'):
            new = new._replace(wait=self.ticks)
        return state._replace(old=old, new=new)

    def end(self, state: State) -> State:
        new = state.new
        if not self.has('finish_after_catch_up'):
            # One that has not caught up yet takes part in the new set as is.
            new = new._replace(progress=READY)
        if not self.has('wait_outlasts_change'):
            new = new._replace(wait=0)
        return state._replace(force=NEW, new=new)

    def restart_old(self, state: State) -> State:
        fence = state.old.synced_fence if self.has('synced_fence') else OLD
        old = state.old._replace(grant_left=0, wait=self.ticks, fence=fence)
        return state._replace(old=old)

    def restart_new(self, state: State) -> State:
        wait = self.ticks if self.has('wait_after_restart') else 0
        new = state.new._replace(grant_left=0, wait=wait)
        if new.progress == READ:
            new = new._replace(epoch=0, holder=NOBODY, progress=WAITING)
            if not self.has('synced_records'):
                new = new._replace(progress=READY)
        return state._replace(new=new)

    # Candidates

    def candidate_steps(self, state: State, who: int) -> Steps:
        # The candidates are interchangeable: let candidate 0 claim first.
        if who and not state.candidates[0].epoch:
            return
        own = state.candidates[who]
        for known in range(own.known + 1, state.force + 1):
            learned = own._replace(known=known)
            yield f'{who} is notified', _with(state, who, learned)
        claimed = own._replace(claim_left=self.ticks, claimed=own.known)
        if own.phase == HELD:
            yield f'{who} renews', _with(state, who, claimed)
            yield f'{who} releases', self.stop(state, who)
            return
        for epoch in range(own.epoch + 1, self.epochs + 1):
            asking = claimed._replace(phase=ASKING, epoch=epoch)
            asked = _without_answers(_with(state, who, asking), who)
            yield f'{who} claims epoch {epoch}', asked

    def stop(self, state: State, who: int) -> State:
        own = state.candidates[who]._replace(phase=IDLE, claim_left=0, left=0)
        return _without_answers(_with(state, who, own), who)

    def count(self, state: State, who: int) -> State:
        """Update a candidate's lease from the grants of the sets it counts."""
        own = state.candidates[who]
        old = state.old.left_by_candidate[who]
        new = state.new.left_by_candidate[who]
        both = min(old, new) if self.has('both_majorities') else old
        left = max(own.left, (old, both, new)[own.known])
        if not left or own.phase == IDLE:
            return state
        owners = list(state.owner_by_epoch)
        other = owners[own.epoch - 1] not in (NOBODY, who)
        owners[own.epoch - 1] = who
        held = own._replace(phase=HELD, left=left)
        return _with(state, who, held)._replace(
            owner_by_epoch=tuple(owners),
            is_granted_twice=state.is_granted_twice or other,
        )

    # Grantors

    def grant_steps(self, state: State, who: int) -> Steps:
        own = state.candidates[who]
        if own.claimed <= JOINT and _may_grant(state.old, own, who):
            old = self.granted(state.old, own, who)
            old = old._replace(fence=max(old.fence, own.claimed))
            granted = state._replace(old=old)
            yield f'old grants {who}', self.count(granted, who)
        is_ready = state.new.progress >= self.least_progress
        if (
            own.claimed >= JOINT
            and is_ready
            and _may_grant(state.new, own, who)
        ):
            granted = state._replace(new=self.granted(state.new, own, who))
            yield f'new grants {who}', self.count(granted, who)
        if own.phase != IDLE and own.known:
            yield f'{who} counts again', self.count(state, who)
        for name in ('old', 'new'):
            voter = getattr(state, name)
            if _may_free(voter, own, who):
                freed = voter._replace(grant_left=0)
                yield f'{name} is released', state._replace(**{name: freed})

    def granted(self, voter: Voter, own: Candidate, who: int) -> Voter:
        left = max(voter.left_by_candidate[who], own.claim_left)
        return _with_left(voter, who, left)._replace(
            epoch=own.epoch, holder=who, grant_left=self.ticks
        )

    # Time

    def tick(self, state: State) -> State:
        candidates = tuple(_aged_candidate(c) for c in state.candidates)
        state = state._replace(
            old=_aged_voter(state.old),
            new=_aged_voter(state.new),
            candidates=candidates,
        )
        for who in CANDIDATES:
            if candidates[who].phase == HELD and not candidates[who].left:
                state = self.stop(state, who)
        return state


@functools.cache
def _may_grant(voter: Voter, own: Candidate, who: int) -> bool:
    if own.phase == IDLE or not own.claim_left:
        return False
    if own.claimed < voter.fence:
        return False
    if voter.epoch == own.epoch and voter.holder == who:
        return True
    if own.epoch <= voter.epoch or voter.wait:
        return False
    return voter.holder == who or not voter.grant_left


def _may_free(voter: Voter, own: Candidate, who: int) -> bool:
    if voter.holder != who or not voter.grant_left:
        return False
    return own.epoch > voter.epoch or own.phase == IDLE


@functools.cache
def _aged_voter(voter: Voter) -> Voter:
    lefts = tuple(max(left - 1, 0) for left in voter.left_by_candidate)
    return voter._replace(
        grant_left=max(voter.grant_left - 1, 0),
        wait=max(voter.wait - 1, 0),
        left_by_candidate=lefts,
    )


@functools.cache
def _aged_candidate(candidate: Candidate) -> Candidate:
    return candidate._replace(
        claim_left=max(candidate.claim_left - 1, 0),
        left=max(candidate.left - 1, 0),
    )


def _with(state: State, who: int, own: Candidate) -> State:
    candidates = list(state.candidates)
    candidates[who] = own
    return state._replace(candidates=tuple(candidates))


@functools.cache
def _with_left(voter: Voter, who: int, left: int) -> Voter:
    lefts = list(voter.left_by_candidate)
    lefts[who] = left
    return voter._replace(left_by_candidate=tuple(lefts))


def _without_answers(state: State, who: int) -> State:
    return state._replace(
        old=_with_left(state.old, who, 0), new=_with_left(state.new, who, 0)
    )


def build(*, without: str | None = None) -> tuple[specs.BoundedModel, ...]:
    """Return both models, or the smaller one without one safeguard."""
    restarting = Machine(ticks=1, epochs=2, restarts=2, without=without)
    if without is not None:
        return (_bounded(restarting),)
    lasting = Machine(ticks=2, epochs=1, restarts=1)
    return _bounded(restarting), _bounded(lasting)


def _bounded(machine: Machine) -> specs.BoundedModel:
    reached: dict[str, abc.Callable[[dict[str, typing.Any]], bool]] = {}
    if machine.epochs > 1:
        reached['two_holders_in_turn'] = lambda s: (
            set(s['owner_by_epoch']) == set(CANDIDATES)
        )
    # A lease of one tick expires before the new set may grant.
    if machine.ticks > 1:
        reached['held_through_the_change'] = lambda s: any(
            own.phase == HELD and own.known == NEW for own in s['candidates']
        )
        reached['held_at_a_grantor_that_waits'] = lambda s: (
            s['new'].wait
            and any(
                own.phase == HELD and own.known == NEW
                for own in s['candidates']
            )
        )
    return specs.BoundedModel(
        bounds=(
            f'1 grantor replaced by 1, 2 candidates, {machine.epochs} epochs, '
            f'{machine.restarts} restarts, {machine.ticks} ticks'
        ),
        protocol=minicheck.Protocol(
            name='lease change',
            candidate=False,
            fields=State._fields,
            initial=machine.initial(),
            transitions=machine.steps,
            invariants={
                'one_holder': lambda s: (
                    not all(candidate.left for candidate in s['candidates'])
                ),
                'epoch_of_one_holder': lambda s: not s['is_granted_twice'],
            },
        ),
        reached=reached,
    )
