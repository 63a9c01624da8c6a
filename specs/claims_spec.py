"""Specification of the claims of one key.

It covers rounds, withdrawals, syncs, lost disks and repairs, with three
holders. A state is ``(holders, attempts, repair)``. Holders are sorted, so
that states which differ only in the names of holders are one state.
``docs/CLAIMS.md`` names the function of the code for every transition.

The model is simplified in these ways, and none of them hides a behaviour:

* A message that was sent may arrive at any later time, once, repeatedly or
  never. So messages are not part of the state: the arrival is a step that is
  possible if the sender's state shows that the message was sent.
* An attempt records a reply at the moment when the holder sends it. A late
  reply is recorded early and used late, as decisions are separate steps. A
  lost reply is recorded and never used.
* A crashed entry is an attempt that takes no more steps. A *ghost* is an
  attempt whose entry crashed after it had sent its puts.
* Time-outs are steps that are possible at any time.
"""

import typing

import minicheck

import specs

HOLDERS = 3
MAJORITY = 2

# State of the attempt in a slot.
CLAIMED, WITHDRAWN, RECORDED, CONTESTED = range(4)
# Status of an attempt. GONE: it ended without running, and withdraws.
# REPORTED: it has reported an outcome to its caller, its own or another's.
IDLE, ASKING, GRANTED, RAN, GONE, REPLAYING, REPORTED = range(7)
# Status of a holder's disk.
COUNTED, LOST, JOINING = range(3)

FREE: tuple = ()
Slot = tuple[int, ...]


class Holder(typing.NamedTuple):
    """A holder, and its replies to each attempt.

    :param slot: in memory; ``(round, attempt, state)`` or ``FREE``.
    :param synced: the slot on the disk.
    :param epoch: the highest epoch that it acts under.
    :param sources: if it is joining: number of holders that it has copied.
    :param is_copied: whether the joining holder has copied this one.
    :param seen: the last reply to each attempt, or ``FREE``.
    :param changed: bits of attempts during which the slot has changed.
    """

    slot: Slot
    synced: Slot
    disk: int
    epoch: int
    sources: int
    is_copied: bool
    seen: tuple[Slot, ...]
    changed: int


class Attempt(typing.NamedTuple):
    """An attempt to run the call, at its entry.

    :param is_reported_not_run: "not run" was answered to a caller after it
        began, so it must not run any more.
    :param ran: it was sent to a backend server.
    """

    status: int
    round: int
    epoch: int
    is_reported_not_run: bool
    ran: bool


class Repair(typing.NamedTuple):
    """The epoch in the register, and how many faults may still happen."""

    epoch: int
    losses: int
    crashes: int


SAFEGUARDS_BY_NAME = {
    'sync_before_grant': 'a crash frees a slot that was granted',
    'sync_before_refusal': 'a crash frees a slot that was evidence that a'
    ' round had ended',
    'majority_before_run': 'two attempts run, each granted by one holder',
    'one_owner_in_a_round': 'a slot counts for two attempts of one round',
    'withdrawal_uses_slot_up': 'a freed slot is part of a second majority',
    'withdrawal_of_own_only': "another attempt's slot is marked withdrawn",
    'withdrawn_never_runs': 'an attempt reported as not run runs after a late'
    ' grant',
    'unseen_holders_feared': 'the next round starts although an attempt may'
    ' have won this one at holders that did not reply',
    'expired_never_reruns': 'a slow attempt runs beside its successor',
    'lower_round_refused': 'a late put replaces the claim of a later round',
    'grants_of_one_round': 'grants of earlier rounds count towards a majority',
    'withdrawal_before_begin': 'an earlier attempt runs after "not run"'
    ' was answered',
    'later_round_before_begin': 'an earlier attempt runs after "not run"'
    ' was answered, in a later round that others began',
    'empty_disk_is_unknown': 'a holder with an empty disk replies "free"',
    'catching_up_not_counted': 'a joining holder replies before it has copied'
    ' the claims',
    'copy_from_majority': 'a joining holder misses a claim that only one of'
    ' the others has',
    'copy_under_new_epoch': 'a source grants a claim after it was copied',
    'copy_synced': 'a crash frees a slot of a holder that was repaired',
    'old_epoch_refused': 'a source grants a claim of the old epoch after it'
    ' was copied',
    'grants_of_one_epoch': 'grants of a lost disk count towards a majority',
    'epoch_synced': 'a restarted holder grants under the old epoch',
    'contested_never_resolved': 'a merge keeps one of two claims, and the'
    ' other one ran',
    'used_slot_contests': 'a merge ignores a withdrawn slot',
    'outcome_on_majority': 'a reported outcome is lost with one disk',
    'replay_written_back': 'a replayed outcome was on one disk only, which is'
    ' then lost',
    'outcomes_of_one_epoch': 'a source records an outcome after it was copied',
}


class Bounds(typing.NamedTuple):
    """Which events a model has, and how many of each.

    :param full: attempts with a working entry.
    :param ghosts: attempts whose entry gave up or crashed after its puts.
    :param rounds: number of rounds.
    :param crashes: number of holders' crashes.
    :param losses: number of lost disks.
    :param withdrawals: whether an attempt may give up and withdraw.
    :param abandons: whether a granted attempt may be abandoned.
    :param outcomes: whether outcomes are recorded and replayed.
    :param resends: whether the second attempt begins only after the first
        has run, whose entry then crashes before it reports the outcome.
    """

    full: int = 2
    ghosts: int = 0
    rounds: int = 1
    crashes: int = 0
    losses: int = 0
    withdrawals: bool = False
    abandons: bool = False
    outcomes: bool = False
    resends: bool = False

    @property
    def attempts(self) -> int:
        """Return the number of attempts, ghosts included."""
        return self.full + self.ghosts


class State(typing.NamedTuple):
    """The whole state; these are the fields that invariants get."""

    holders: tuple[Holder, ...]
    attempts: tuple[Attempt, ...]
    repair: Repair


Step = tuple[str, State]


class Claims:
    """The transitions of the model.

    :param without: the safeguard to leave out, or ``None``.
    """

    def __init__(self, *, bounds: Bounds, without: str | None) -> None:
        self.bounds = bounds
        self.without = without

    def lacks(self, safeguard: str) -> bool:
        return self.without == safeguard

    def initial(self) -> State:
        bounds = self.bounds
        holder = Holder(
            FREE,
            FREE,
            COUNTED,
            0,
            0,
            False,
            (FREE,) * bounds.full,
            0,
        )
        idle = Attempt(IDLE, 0, 0, False, False)
        asking = idle._replace(status=ASKING)
        first = idle if bounds.abandons else asking
        later = idle if bounds.abandons or bounds.resends else asking
        ghosts = (idle._replace(status=GONE),) * bounds.ghosts
        attempts = (first, *(later,) * (bounds.full - 1), *ghosts)
        repair = Repair(0, bounds.losses, bounds.crashes)
        return State((holder,) * HOLDERS, attempts, repair)

    def transitions(self, state: tuple) -> list[Step]:
        state = State(*state)
        steps: list[Step] = []
        for number, attempt in enumerate(state.attempts):
            steps += self.attempt_steps(state, number, attempt)
        for number, holder in _distinct(state.holders):
            steps += self.holder_steps(state, number, holder)
        if self.bounds.losses:
            steps += self.repair_steps(state)
        return [
            (label, State(tuple(sorted(after.holders)), *after[1:]))
            for label, after in steps
        ]

    # Attempts, at their entries.

    def attempt_steps(
        self, state: State, number: int, attempt: Attempt
    ) -> list[Step]:
        if attempt.status == IDLE:
            return self.begin(state, number, attempt)
        steps = self.messages(state, number, attempt)
        if number >= self.bounds.full:
            return steps
        is_at_work = attempt.status in (ASKING, REPLAYING) or (
            attempt.status == RAN and self.bounds.outcomes
        )
        if is_at_work and attempt.epoch < state.repair.epoch:
            steps.append(self.read_epoch(state, number, attempt))
        if attempt.status == ASKING:
            steps += self.decide(state, number, attempt)
        elif attempt.status == GONE and self.lacks('withdrawn_never_runs'):
            steps += self.grant(state, number, attempt)
        elif attempt.status == GRANTED:
            steps += self.use_grant(state, number, attempt)
        elif attempt.status in (RAN, REPLAYING):
            steps += self.report_outcome(state, number, attempt)
        return steps

    def begin(self, state: State, number: int, attempt: Attempt) -> list[Step]:
        # An attempt that begins late behaves like one whose messages arrive
        # late. So this is a separate step only where the time matters.
        before = state.attempts[number - 1] if number else None
        if before and before.status == IDLE:
            return []
        if before and self.bounds.resends and not before.ran:
            return []
        begun = attempt._replace(status=ASKING, epoch=state.repair.epoch)
        return [(f'begin {number}', _with_attempt(state, number, begun))]

    def messages(
        self, state: State, number: int, attempt: Attempt
    ) -> list[Step]:
        steps: list[Step] = []
        for at, holder in _distinct(state.holders):
            for round in range(attempt.round + 1):
                steps += self.put(state, number, at, round)
            asks = attempt.status == ASKING or (
                attempt.status == GONE and self.lacks('withdrawn_never_runs')
            )
            if asks and number < self.bounds.full:
                steps += self.reply(state, number, at, holder)
            if attempt.status == GONE:
                steps += self.withdraw(state, number, at, holder)
            if attempt.status in (RAN, REPLAYING) and self.bounds.outcomes:
                steps += self.record(state, number, at, holder)
        return steps

    def decide(
        self, state: State, number: int, attempt: Attempt
    ) -> list[Step]:
        steps = self.grant(state, number, attempt)
        if self.bounds.withdrawals:
            gone = attempt._replace(status=GONE)
            withdrawn = _with_attempt(state, number, gone)
            if not self.lacks('withdrawn_never_runs'):
                withdrawn = _forget_seen(withdrawn, number)
            steps.append((f'lose {number}', withdrawn))
        if any(seen[2:3] == (RECORDED,) for seen in _seen(state, number)):
            if self.bounds.outcomes:
                replaying = attempt._replace(status=REPLAYING)
                steps.append(
                    (
                        f'replay {number}',
                        _with_attempt(state, number, replaying),
                    )
                )
            return steps
        return steps + self.next_round(state, number, attempt)

    def grant(self, state: State, number: int, attempt: Attempt) -> list[Step]:
        if self.lacks('grants_of_one_round'):
            own = sum(
                seen[1:3] == (number, CLAIMED) for seen in _seen(state, number)
            )
        else:
            slot = (attempt.round, number, CLAIMED)
            own = sum(seen[:3] == slot for seen in _seen(state, number))
        enough = 1 if self.lacks('majority_before_run') else MAJORITY
        if own < enough:
            return []
        # A granted attempt may run at any time. Unless it may be abandoned
        # instead, it counts as run immediately.
        granted = attempt._replace(status=RAN, ran=True)
        if self.bounds.abandons:
            granted = attempt._replace(status=GRANTED)
        granted = _with_attempt(state, number, granted)
        return [(f'grant {number}', _forget_seen(granted, number))]

    def next_round(
        self, state: State, number: int, attempt: Attempt
    ) -> list[Step]:
        steps = []
        seen = [one for one in _seen(state, number) if one]
        later = [one for one in seen if one[0] > attempt.round]
        old = any(one[3] for one in later)
        if later and not old and not self.lacks('later_round_before_begin'):
            return []
        if not later and attempt.round + 1 == self.bounds.rounds:
            return []
        if later or not self.may_have_winner(number, attempt, seen):
            round = later[0][0] if later else attempt.round + 1
            moved = _with_attempt(state, number, attempt._replace(round=round))
            if not self.lacks('grants_of_one_round'):
                moved = _forget_seen(moved, number)
            steps.append((f'{number} goes to round {round}', moved))
        return steps

    def may_have_winner(
        self, number: int, attempt: Attempt, seen: list[Slot]
    ) -> bool:
        """Return whether another attempt may have won the round.

        This is the rule of ``claim_slots.possible_winners``.
        """
        shown = [one for one in seen if one[2] != CONTESTED]
        unseen = HOLDERS - len(shown)
        if self.lacks('unseen_holders_feared'):
            unseen = 0
        never_ran = {number}
        for one in shown:
            before = one[3] or self.lacks('withdrawal_before_begin')
            if one[2] == WITHDRAWN and before:
                never_ran.add(one[1])
            if self.lacks('expired_never_reruns'):
                never_ran.add(one[1])
        if unseen >= MAJORITY:
            return True
        for rival in {one[1] for one in shown} - never_ran:
            if unseen + sum(one[1] == rival for one in shown) >= MAJORITY:
                return True
        return False

    def use_grant(
        self, state: State, number: int, attempt: Attempt
    ) -> list[Step]:
        ran = attempt._replace(status=RAN, ran=True)
        steps = [(f'{number} runs', _with_attempt(state, number, ran))]
        if self.bounds.abandons:
            others = tuple(
                other._replace(
                    is_reported_not_run=other.status not in (IDLE, GONE)
                )
                for other in state.attempts
            )
            reported = state._replace(attempts=others)
            gone = attempt._replace(status=GONE)
            steps.append(
                (
                    f'{number} is reported not run',
                    _with_attempt(reported, number, gone),
                )
            )
        return steps

    def report_outcome(
        self, state: State, number: int, attempt: Attempt
    ) -> list[Step]:
        if not self.bounds.outcomes:
            return []
        recorded = sum(
            seen[2:3] == (RECORDED,) for seen in _seen(state, number)
        )
        enough = MAJORITY
        if attempt.status == RAN and self.lacks('outcome_on_majority'):
            enough = 1
        if attempt.status == REPLAYING and self.lacks('replay_written_back'):
            enough = 1
        if recorded < enough:
            return []
        reported = attempt._replace(status=REPORTED)
        reported_state = _with_attempt(state, number, reported)
        return [
            (
                f'{number} reports an outcome',
                _forget_seen(reported_state, number),
            )
        ]

    def read_epoch(self, state: State, number: int, attempt: Attempt) -> Step:
        updated = _with_attempt(
            state, number, attempt._replace(epoch=attempt.epoch + 1)
        )
        keeps = 'grants_of_one_epoch'
        if attempt.status in (RAN, REPLAYING):
            keeps = 'outcomes_of_one_epoch'
        if not self.lacks(keeps):
            updated = _forget_seen(updated, number)
        return (f'entry of {number} reads the epoch', updated)

    # Messages, at a holder.

    def accepts(self, state: State, holder: Holder, epoch: int) -> bool:
        """Return whether the holder accepts messages of this epoch.

        This is the rule of ``Holder._accepts``.
        """
        if holder.disk == LOST:
            return self.lacks('empty_disk_is_unknown')
        if holder.disk == JOINING:
            early = self.lacks('catching_up_not_counted')
            return early and holder.epoch == epoch
        if self.lacks('old_epoch_refused') and epoch < holder.epoch:
            return True
        return holder.epoch == epoch

    def accepts_up_to(self, state: State, holder: Holder, newest: int) -> bool:
        """Return whether it accepts some message up to the newest epoch."""
        if holder.disk == COUNTED:
            return holder.epoch <= newest or self.lacks('old_epoch_refused')
        return self.accepts(state, holder, min(holder.epoch, newest))

    def put(
        self, state: State, number: int, at: int, round: int
    ) -> list[Step]:
        attempt, holder = state.attempts[number], state.holders[at]
        if not self.accepts_put(holder.slot, round):
            return []
        if not self.accepts_up_to(state, holder, attempt.epoch):
            return []
        slot = (round, number, CLAIMED)
        written = self.write(state, at, slot)
        holder = written.holders[at]
        is_asked = attempt.status == ASKING and round == attempt.round
        if is_asked and number < self.bounds.full and not self.bounds.crashes:
            if self.accepts(state, holder, attempt.epoch):
                _, written = self.see(written, number, at, holder)
        return [(f'put {number} round {round}', written)]

    def accepts_put(self, slot: Slot, round: int) -> bool:
        if slot == FREE:
            return True
        if slot[2] == RECORDED:
            return False
        if slot[0] == round:
            return self.lacks('one_owner_in_a_round') and slot[2] == CLAIMED
        return slot[0] < round or self.lacks('lower_round_refused')

    def reply(
        self, state: State, number: int, at: int, holder: Holder
    ) -> list[Step]:
        attempt = state.attempts[number]
        slot = holder.slot
        if not self.accepts(state, holder, attempt.epoch):
            return []
        if slot == FREE or slot[0] < attempt.round:
            return []
        is_own = slot == (attempt.round, number, CLAIMED)
        unsafe = self.lacks(
            'sync_before_grant' if is_own else 'sync_before_refusal'
        )
        if not unsafe:
            # The holder syncs before it replies.
            holder = Holder(slot, slot, *holder[2:])
        return [self.see(state, number, at, holder)]

    def see(self, state: State, number: int, at: int, holder: Holder) -> Step:
        shown = (*holder.slot, not holder.changed & 1 << number)
        seen = _replaced(holder.seen, number, shown)
        shown_to = Holder(*holder[:6], seen, holder.changed)
        return (f'{number} sees {shown}', _with_holder(state, at, shown_to))

    def withdraw(
        self, state: State, number: int, at: int, holder: Holder
    ) -> list[Step]:
        attempt = state.attempts[number]
        slot = holder.slot
        if not self.accepts(state, holder, holder.epoch):
            return []
        mine = slot[:2] == (attempt.round, number) and slot[2] == CLAIMED
        if slot and self.lacks('withdrawal_of_own_only'):
            mine = slot[2] == CLAIMED
        if slot and not mine and not slot[0] < attempt.round:
            return []
        if slot and slot[2] == RECORDED:
            return []
        after: Slot = (attempt.round, number, WITHDRAWN)
        if self.lacks('withdrawal_uses_slot_up') and mine:
            after = FREE
        elif mine:
            after = (slot[0], slot[1], WITHDRAWN)
        return [(f'withdraw {number}', self.write(state, at, after))]

    def record(
        self, state: State, number: int, at: int, holder: Holder
    ) -> list[Step]:
        attempt = state.attempts[number]
        epochs = [attempt.epoch]
        if self.lacks('outcomes_of_one_epoch'):
            epochs = list(range(attempt.epoch + 1))
        if not any(self.accepts(state, holder, one) for one in epochs):
            return []
        steps = []
        if holder.slot[2:] != (RECORDED,):
            slot = (*self.outcome_of(state, number), RECORDED)
            steps.append((f'record {number}', self.write(state, at, slot)))
        elif number or not self.bounds.resends:
            steps.append(self.see(state, number, at, holder))
        return steps

    def outcome_of(self, state: State, number: int) -> tuple[int, int]:
        attempt = state.attempts[number]
        if attempt.ran:
            return (attempt.round, number)
        for other, winner in enumerate(state.attempts):
            if winner.ran:
                return (winner.round, other)
        raise AssertionError('an outcome without a run')

    def write(self, state: State, at: int, slot: Slot) -> State:
        holder = state.holders[at]
        changed = 0
        if self.bounds.abandons:
            for number in range(self.bounds.full):
                if state.attempts[number].status == ASKING:
                    changed |= 1 << number
        # A sync that no reply waits for matters only to a crash. So syncs
        # are part of the replies that wait for them.
        synced = holder.synced if state.repair.crashes else slot
        changed |= holder.changed
        written = Holder(slot, synced, *holder[2:7], changed)
        return _with_holder(state, at, written)

    # Holders: syncs, crashes, lost disks, repairs.

    def holder_steps(
        self, state: State, at: int, holder: Holder
    ) -> list[Step]:
        steps = []
        repair = state.repair
        has_something_to_lose = holder.slot != holder.synced
        if has_something_to_lose or self.lacks('epoch_synced'):
            if repair.crashes and holder.disk != LOST:
                steps.append(self.crash(state, at, holder))
        if holder.epoch < repair.epoch and holder.disk != LOST:
            updated = holder._replace(epoch=holder.epoch + 1)
            steps.append(
                ('holder reads the epoch', _with_holder(state, at, updated))
            )
        return steps

    def crash(self, state: State, at: int, holder: Holder) -> Step:
        crashed = holder._replace(slot=holder.synced)
        if self.lacks('epoch_synced'):
            crashed = crashed._replace(epoch=max(holder.epoch - 1, 0))
        left = state.repair._replace(crashes=state.repair.crashes - 1)
        after = state._replace(repair=left)
        if holder.disk == JOINING:
            # It discards what it has copied and starts again.
            after = _forget_copies(after)
            crashed = crashed._replace(slot=FREE, synced=FREE, sources=0)
        after = _with_holder(after, at, crashed)
        if not left.crashes:
            after = _synced(after)
        return ('holder crashes', after)

    def repair_steps(self, state: State) -> list[Step]:
        disks = [holder.disk for holder in state.holders]
        if LOST in disks:
            return [self.join(state, disks.index(LOST))]
        if JOINING in disks:
            return self.copy_steps(state, disks.index(JOINING))
        if not state.repair.losses:
            return []
        return [
            self.lose_disk(state, at, holder)
            for at, holder in _distinct(state.holders)
        ]

    def lose_disk(self, state: State, at: int, holder: Holder) -> Step:
        empty = holder._replace(slot=FREE, synced=FREE, disk=LOST)
        left = state.repair._replace(losses=state.repair.losses - 1)
        return (
            f'disk with {holder.slot} is lost',
            _with_holder(state, at, empty)._replace(repair=left),
        )

    def join(self, state: State, at: int) -> Step:
        epoch = state.repair.epoch + 1
        holder = state.holders[at]._replace(
            slot=FREE, synced=FREE, disk=JOINING, epoch=epoch
        )
        joined = _with_holder(state, at, holder)
        return (
            'holder joins with an empty disk',
            joined._replace(repair=state.repair._replace(epoch=epoch)),
        )

    def copy_steps(self, state: State, at: int) -> list[Step]:
        joining = state.holders[at]
        epoch = state.repair.epoch
        steps = []
        needed = 1 if self.lacks('copy_from_majority') else MAJORITY
        if joining.sources >= needed:
            return [self.count(state, at)]
        for source, holder in enumerate(state.holders):
            if source == at or holder.is_copied:
                continue
            if holder.epoch < epoch and not self.lacks('copy_under_new_epoch'):
                continue
            copied = _with_holder(
                state, source, holder._replace(is_copied=True)
            )
            merged = self.merge(joining.slot, holder.slot)
            target = joining._replace(sources=joining.sources + 1)
            if merged != joining.slot:
                copied = self.write(copied, at, merged)
                target = copied.holders[at]._replace(sources=target.sources)
            steps.append(
                (f'copy {holder.slot}', _with_holder(copied, at, target))
            )
        return steps

    def merge(self, one: Slot, other: Slot) -> Slot:
        """Return the slot that a joining holder keeps of two.

        This is the rule of ``claim_slots.merge``.
        """
        if FREE in (one, other):
            return one or other
        if RECORDED in (one[2], other[2]):
            return one if one[2] == RECORDED else other
        if one[0] != other[0]:
            return max(one, other)
        if one[:2] == other[:2]:
            return max(one, other)
        if self.lacks('contested_never_resolved'):
            return min(one, other)
        claimed = [slot for slot in (one, other) if slot[2] == CLAIMED]
        if self.lacks('used_slot_contests') and len(claimed) == 1:
            return claimed[0]
        return (one[0], -1, CONTESTED)

    def count(self, state: State, at: int) -> Step:
        epoch = state.repair.epoch + 1
        counted = _forget_copies(state)
        holder = counted.holders[at]._replace(disk=COUNTED, sources=0)
        if not self.lacks('copy_synced'):
            holder = holder._replace(synced=holder.slot)
        return (
            'repair is finished',
            _with_holder(counted, at, holder)._replace(
                repair=state.repair._replace(epoch=epoch)
            ),
        )


def _distinct(holders: tuple[Holder, ...]) -> list[tuple[int, Holder]]:
    """Return the first of each run of equal holders.

    The steps of the others lead to the same states.
    """
    return [
        (at, holder)
        for at, holder in enumerate(holders)
        if not at or holder != holders[at - 1]
    ]


def _replaced(items: tuple, index: int, item: typing.Any) -> tuple:
    return (*items[:index], item, *items[index + 1 :])


def _with_holder(state: State, at: int, holder: Holder) -> State:
    holders = _replaced(state.holders, at, holder)
    return State(holders, state.attempts, state.repair)


def _with_attempt(state: State, number: int, attempt: Attempt) -> State:
    attempts = _replaced(state.attempts, number, attempt)
    return State(state.holders, attempts, state.repair)


def _forget_copies(state: State) -> State:
    holders = (one._replace(is_copied=False) for one in state.holders)
    return state._replace(holders=tuple(holders))


def _synced(state: State) -> State:
    holders = (one._replace(synced=one.slot) for one in state.holders)
    return state._replace(holders=tuple(holders))


def _seen(state: State, number: int) -> list[Slot]:
    return [holder.seen[number] for holder in state.holders]


def _forget_seen(state: State, number: int) -> State:
    holders = tuple(
        holder._replace(seen=_replaced(holder.seen, number, FREE))
        for holder in state.holders
    )
    return state._replace(holders=holders)


def at_most_one_runs(state: dict[str, typing.Any]) -> bool:
    return sum(one.ran for one in state['attempts']) <= 1


def not_run_is_true(state: dict[str, typing.Any]) -> bool:
    return not any(
        one.is_reported_not_run and one.ran for one in state['attempts']
    )


def told_outcome_stays(state: dict[str, typing.Any]) -> bool:
    """Every majority that can reply includes a reported outcome."""
    if not any(one.status == REPORTED for one in state['attempts']):
        return True
    without = sum(
        holder.disk == COUNTED and holder.synced[2:] != (RECORDED,)
        for holder in state['holders']
    )
    return without < MAJORITY


INVARIANTS = {
    'at_most_one_runs': at_most_one_runs,
    'not_run_is_true': not_run_is_true,
    'told_outcome_stays': told_outcome_stays,
}

ROUNDS = Bounds(full=2, ghosts=1, rounds=2)
CRASHES = ROUNDS._replace(crashes=1)
ABANDONS = Bounds(full=2, rounds=2, withdrawals=True, abandons=True)
LATER_ROUNDS = Bounds(full=3, rounds=2, abandons=True)
REPAIRS = Bounds(full=2, losses=1)
REPAIRS_WITH_CRASH = REPAIRS._replace(crashes=1)
REPAIRS_WITH_ROUNDS = ROUNDS._replace(losses=1)
TWO_REPAIRS = Bounds(full=2, losses=2, resends=True)
OUTCOMES = Bounds(full=1, losses=2, outcomes=True)
REPLAYS = Bounds(full=2, losses=1, outcomes=True, resends=True)

CHECKED_BOUNDS = (
    ROUNDS,
    CRASHES._replace(ghosts=0),
    ABANDONS,
    REPAIRS,
    TWO_REPAIRS,
    OUTCOMES,
    REPLAYS,
)
#: Bounds under which a missing safeguard violates an invariant; ``ROUNDS``
#: for safeguards that are not listed.
BOUNDS_BY_SAFEGUARD = {
    'sync_before_grant': CRASHES,
    'sync_before_refusal': CRASHES,
    'withdrawn_never_runs': ABANDONS,
    'withdrawal_before_begin': ABANDONS,
    'later_round_before_begin': LATER_ROUNDS,
    'empty_disk_is_unknown': REPAIRS,
    'catching_up_not_counted': REPAIRS,
    'copy_from_majority': REPAIRS,
    'copy_under_new_epoch': REPAIRS,
    'old_epoch_refused': REPAIRS,
    'grants_of_one_epoch': REPAIRS,
    'copy_synced': REPAIRS_WITH_CRASH,
    'epoch_synced': REPAIRS_WITH_CRASH,
    'contested_never_resolved': REPAIRS,
    'used_slot_contests': REPAIRS_WITH_ROUNDS,
    'outcome_on_majority': OUTCOMES,
    'replay_written_back': REPLAYS,
    'outcomes_of_one_epoch': OUTCOMES,
}
NOT_RUN_REPORTED = (
    'begin 0',
    'begin 1',
    'put 1 round 0',
    'put 1 round 0',
    'grant 1',
    '1 is reported not run',
)
DISK_LOST = (
    'put 0 round 0',
    'disk with (0, 0, 0) is lost',
    'holder joins with an empty disk',
)
#: First steps of the searches for a violation, which keep them short.
PREFIX_BY_SAFEGUARD = {
    'withdrawn_never_runs': (
        'begin 0',
        'put 0 round 0',
        'put 0 round 0',
        'lose 0',
        'withdraw 0',
    ),
    'withdrawal_before_begin': NOT_RUN_REPORTED,
    'later_round_before_begin': (
        *NOT_RUN_REPORTED,
        'withdraw 1',
        'withdraw 1',
        'begin 2',
    ),
    'sync_before_grant': ('put 0 round 0', '0 sees (0, 0, 0, True)'),
    'sync_before_refusal': (
        'put 0 round 0',
        'put 1 round 0',
        'put 2 round 0',
        '0 sees (0, 1, 0, True)',
    ),
    'copy_under_new_epoch': DISK_LOST,
    'grants_of_one_epoch': DISK_LOST,
    'old_epoch_refused': DISK_LOST,
    'copy_synced': (
        'put 0 round 0',
        'put 0 round 0',
        '0 sees (0, 0, 0, True)',
        '0 sees (0, 0, 0, True)',
        'grant 0',
        'disk with (0, 0, 0) is lost',
        'holder joins with an empty disk',
    ),
    'epoch_synced': (
        'put 0 round 0',
        '0 sees (0, 0, 0, True)',
        'disk with (0, 0, 0) is lost',
        'holder joins with an empty disk',
        'holder reads the epoch',
        'holder reads the epoch',
        'copy ()',
    ),
    'used_slot_contests': (
        'put 0 round 0',
        'withdraw 2',
        '0 sees (0, 2, 1, True)',
        '0 goes to round 1',
        'disk with (0, 0, 0) is lost',
        'holder joins with an empty disk',
        'entry of 0 reads the epoch',
        'entry of 1 reads the epoch',
        'holder reads the epoch',
        'put 1 round 0',
    ),
}
CHECKED_FROM_PREFIX = (
    'sync_before_refusal',
    'later_round_before_begin',
    'copy_synced',
    'epoch_synced',
    'used_slot_contests',
)


def _follow(claims: Claims, labels: tuple[str, ...]) -> State:
    """Return the state after the steps with these labels.

    :raises ValueError: if a step is not possible.
    """
    state = claims.initial()
    for label in labels:
        found = [
            after for name, after in claims.transitions(state) if name == label
        ]
        if not found:
            raise ValueError(f'step {label!r} is not possible here')
        state = found[0]
    return state


def _describe(bounds: Bounds) -> str:
    given = [
        f'{value} {name}' if value is not True else name
        for name, value in bounds._asdict().items()
        if value
    ]
    return f'{HOLDERS} holders, {", ".join(given)}'


def _model(
    bounds: Bounds,
    without: str | None = None,
    prefix: tuple[str, ...] = (),
) -> specs.BoundedModel:
    claims = Claims(bounds=bounds, without=without)
    after = f', after {len(prefix)} given steps' if prefix else ''
    return specs.BoundedModel(
        bounds=_describe(bounds) + after,
        protocol=minicheck.Protocol(
            name='claims',
            candidate=False,
            fields=State._fields,
            initial=_follow(claims, prefix),
            transitions=claims.transitions,
            invariants=INVARIANTS,
        ),
        reached=_reached(bounds),
        max_states=100_000,
    )


def _reached(bounds: Bounds) -> dict[str, typing.Any]:
    """Return predicates that some state must meet, by name.

    Without these, a model in which nothing happens would pass.
    """
    reached = {
        'a run': lambda state: any(one.ran for one in state['attempts'])
    }
    if bounds.rounds > 1:
        reached['a run in the last round'] = lambda state: any(
            one.ran and one.round == bounds.rounds - 1
            for one in state['attempts']
        )
    if bounds.losses:
        reached['every repair finished'] = lambda state: (
            state['repair'].epoch == 2 * bounds.losses
        )
    if bounds.losses and not bounds.resends and bounds.full > 1:
        reached['a contested slot'] = lambda state: any(
            one.slot[2:] == (CONTESTED,) for one in state['holders']
        )
    if bounds.outcomes:
        reached['an outcome reported by the last entry'] = lambda state: (
            state['attempts'][-1].status == REPORTED
        )
    return reached


def build(*, without: str | None = None) -> tuple[specs.BoundedModel, ...]:
    """Return all models, or the one that violates an invariant.

    :param without: the safeguard to leave out, or ``None``.
    """
    if without is not None:
        bounds = BOUNDS_BY_SAFEGUARD.get(without, ROUNDS)
        prefix = PREFIX_BY_SAFEGUARD.get(without, ())
        return (_model(bounds, without, prefix),)
    # These models are too large to be checked from the initial state. They
    # start at the state from which the mutant is searched, which shows that
    # a violation found there is due to the missing safeguard.
    partial = tuple(
        _model(BOUNDS_BY_SAFEGUARD[name], prefix=PREFIX_BY_SAFEGUARD[name])
        for name in CHECKED_FROM_PREFIX
    )
    return tuple(_model(bounds) for bounds in CHECKED_BOUNDS) + partial
