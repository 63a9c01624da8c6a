"""Specification of how entries share the evidence against one suspect.

The suspect is a call, or a part of prompts; which of several is to blame is in
``blame_spec``. Three entries run it or hold it back. A run succeeds, crashes
its backend server, or ends with a connection reset. Each entry has two sets:
the starts of backend servers that ended under it, and those of them that
were cleared and don't count any more, as in ``coordination/_cases.py``. A
start is one bit. A message that is lost is a step that is not taken. In a
*period* every entry receives the evidence of all others, as comparisons
ensure within the time in which a change has to settle
(``coordination/quarantine.py``). If an entry restarts, evidence that only it
had is lost. The home has a disk, on which it stores what it holds; all entries
may restart at one moment, and then only that is left.

A held suspect may be tried: one entry, its home, grants one trial at a time
(``coordination/_trials.py``). The grant ends when a period has passed after
the trial, which is much shorter than the time that a trial may take.

"""

from collections import abc
import dataclasses
import functools
import operator
import typing

import minicheck

import specs

ENTRIES = (0, 1, 2)
#: The entry that grants the trials of a held call.
HOME = 0
#: A call is held after this many backend servers ended under it.
HOLD_AFTER_ENDS = 3

SAFEGUARDS_BY_NAME = {
    'union': "an entry replaces its evidence by another entry's",
    'distinct_starts': 'an end that is reported twice counts as two',
    'ends_only': 'a connection reset counts as the end of a server',
    'told_others': 'each entry counts only the ends that it observed itself',
    'compared_again': 'an entry that restarted, or missed a message, never'
    ' receives the evidence',
    'clears_by_name': 'evidence that a successful run cleared returns with'
    ' the next message',
    'clears_travel': 'an entry that observed no successful run continues to'
    ' hold the call',
    'home_grants': 'each entry grants a trial of its own',
    'trials_end': 'one trial after another ends a server',
    'stored': 'nothing is stored, so that a loss of all entries loses it',
}
#: Safeguards that matter only in the model with trials.
TRIAL_SAFEGUARDS = ('home_grants', 'trials_end')


class State(typing.NamedTuple):
    """The whole system; the first three fields have a value per entry.

    :param known: starts that ended under the call.
    :param cleared: starts that don't count any more.
    :param surplus: ends that were counted more than once.
    :param running: bits of entries that run the call.
    :param fresh: bits of entries that restarted since the last period.
    :param ended: number of starts that ended.
    :param gone: starts that a successful run has cleared.
    :param lost: starts recorded only by an entry that has restarted since.
    :param successes: successful runs that may still happen.
    :param resets: connection resets that may still happen.
    :param restarts: restarts of entries that may still happen.
    :param trying: bits of entries whose run is a trial.
    :param is_granted: the home has granted a trial that is not over.
    :param fatal: starts that ended under a trial.
    :param is_settled: at the last period there was enough evidence.
    :param is_compared: nothing has happened since the last period.
    :param is_late: after ``is_settled``, an entry that had not restarted
        since the last period has sent the call.
    :param stored: starts on the home's disk.
    :param stored_cleared: those of them that don't count any more.
    :param losses: restarts of all entries that may still happen.
    """

    known: tuple[int, ...]
    cleared: tuple[int, ...]
    surplus: tuple[int, ...]
    running: int
    fresh: int
    ended: int
    gone: int
    lost: int
    successes: int
    resets: int
    restarts: int
    trying: int = 0
    is_granted: bool = False
    fatal: int = 0
    is_settled: bool = False
    is_compared: bool = False
    is_late: bool = False
    stored: int = 0
    stored_cleared: int = 0
    losses: int = 0


Steps = abc.Iterator[tuple[str, State]]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Machine:
    """The transitions of the model.

    :param ends: most starts that end.
    :param successes: most successful runs.
    :param resets: most connection resets.
    :param restarts: most restarts of entries.
    :param losses: most restarts of all entries at one moment.
    :param trials: whether a held call may be tried.
    :param without: the safeguard to leave out, or ``None``.
    """

    ends: int
    successes: int = 0
    resets: int = 0
    restarts: int = 0
    losses: int = 0
    trials: bool = False
    without: str | None = None

    def has(self, safeguard: str) -> bool:
        return self.without != safeguard

    def initial(self) -> State:
        nothing = (0,) * len(ENTRIES)
        return State(
            known=nothing,
            cleared=nothing,
            surplus=nothing,
            running=0,
            fresh=0,
            ended=0,
            gone=0,
            lost=0,
            successes=self.successes,
            resets=self.resets,
            restarts=self.restarts,
            losses=self.losses,
        )

    def steps(self, values: tuple) -> list[tuple[str, State]]:
        return [
            (label, self.store(after))
            for label, after in self._steps(State(*values))
        ]

    def store(self, state: State) -> State:
        """The home stores what it holds, and what changes after that."""
        if not self.losses or not self.has('stored'):
            return state
        if not state.stored and not holds(state, HOME):
            return state
        return state._replace(
            stored=state.stored | state.known[HOME],
            stored_cleared=state.stored_cleared | state.cleared[HOME],
        )

    def _steps(self, state: State) -> list[tuple[str, State]]:
        found = [('period', self.period(state))]
        if state.losses:
            found.append(('all restart', self.lose_all(state)))
        if state.is_granted and not state.trying and state.is_compared:
            over = state._replace(is_granted=False)
            found.append(('the trial is over', over))
        for who in ENTRIES:
            found += self.run_steps(state, who)
            if state.restarts:
                found.append((f'{who} restarts', self.restart(state, who)))
            if self.has('told_others'):
                found += [
                    (
                        f'{who} sends to {other}',
                        self.send_evidence(state, who, other),
                    )
                    for other in ENTRIES
                    if other != who
                ]
        return found

    # Runs

    def run_steps(self, state: State, who: int) -> Steps:
        bit = 1 << who
        if not state.running & bit:
            if not holds(state, who):
                is_late = state.is_settled and not state.fresh & bit
                yield (
                    f'{who} begins',
                    state._replace(
                        running=state.running | bit,
                        is_late=state.is_late or is_late,
                        is_compared=False,
                    ),
                )
            elif self.may_try(state, who):
                yield (
                    f'{who} tries',
                    state._replace(
                        running=state.running | bit,
                        trying=state.trying | bit,
                        is_granted=True,
                        is_compared=False,
                    ),
                )
            return
        over = state._replace(
            running=state.running & ~bit,
            trying=state.trying & ~bit,
            is_compared=False,
        )
        if state.ended < self.ends:
            ended = self.end(over, who)
            if state.trying & bit:
                fatal = state.fatal | 1 << state.ended
                ended = ended._replace(fatal=fatal)
            yield f'a server ends under {who}', ended
        if state.resets:
            yield f'{who} is reset', self.reset(over, who)
        if state.successes:
            yield f'{who} ends well', self.succeed(over, who)

    def may_try(self, state: State, who: int) -> bool:
        if not self.trials:
            return False
        judge = HOME if self.has('home_grants') else who
        counted = state.known[judge] & ~state.cleared[judge]
        if self.has('trials_end') and counted & state.fatal:
            return False
        if not self.has('home_grants'):
            return not state.trying >> who & 1
        return holds(state, judge) and not state.is_granted

    def end(self, state: State, who: int) -> State:
        known = put(state.known, who, state.known[who] | 1 << state.ended)
        return state._replace(known=known, ended=state.ended + 1)

    def reset(self, state: State, who: int) -> State:
        state = state._replace(resets=state.resets - 1)
        if self.has('ends_only'):
            return state
        # The bit of a start that does not end in this model.
        live_start = 1 << self.ends + state.resets
        return state._replace(
            known=put(state.known, who, state.known[who] | live_start)
        )

    def succeed(self, state: State, who: int) -> State:
        state = state._replace(
            successes=state.successes - 1,
            gone=state.gone | state.known[who],
            is_settled=False,
        )
        if self.has('clears_by_name'):
            cleared = state.cleared[who] | state.known[who]
            return state._replace(cleared=put(state.cleared, who, cleared))
        return state._replace(known=put(state.known, who, 0))

    # Exchange of evidence

    def send_evidence(self, state: State, who: int, other: int) -> State:
        known, cleared = state.known[who], state.cleared[who]
        surplus = state.surplus[other]
        if not self.has('distinct_starts') and known & state.known[other]:
            surplus = min(surplus + 1, HOLD_AFTER_ENDS)
        if self.has('union'):
            known |= state.known[other]
        if not self.has('clears_travel'):
            cleared = 0
        return state._replace(
            known=put(state.known, other, known),
            cleared=put(state.cleared, other, cleared | state.cleared[other]),
            surplus=put(state.surplus, other, surplus),
            is_compared=False,
        )

    def period(self, state: State) -> State:
        after = state
        if self.has('compared_again') and self.has('told_others'):
            for _ in ENTRIES:
                for who in ENTRIES:
                    after = self.send_evidence(
                        after, who, (who + 1) % len(ENTRIES)
                    )
        real = (1 << state.ended) - 1
        return after._replace(
            fresh=0,
            is_settled=count(real & ~(state.gone | state.lost))
            >= HOLD_AFTER_ENDS,
            is_compared=True,
        )

    def restart(self, state: State, who: int) -> State:
        others = [state.known[each] for each in ENTRIES if each != who]
        alone = state.known[who] & ~functools.reduce(operator.or_, others)
        return state._replace(
            known=put(state.known, who, 0),
            cleared=put(state.cleared, who, 0),
            surplus=put(state.surplus, who, 0),
            running=state.running & ~(1 << who),
            fresh=state.fresh | 1 << who,
            lost=state.lost | alone,
            restarts=state.restarts - 1,
            is_compared=False,
        )

    def lose_all(self, state: State) -> State:
        nothing = (0,) * len(ENTRIES)
        seen = functools.reduce(operator.or_, state.known)
        # What nobody held may be lost; the home holds what is settled.
        lost = 0 if holds(state, HOME) else seen
        return state._replace(
            known=put(nothing, HOME, state.stored),
            cleared=put(nothing, HOME, state.stored_cleared),
            surplus=nothing,
            running=0,
            fresh=(1 << len(ENTRIES)) - 1,
            lost=state.lost | lost,
            losses=state.losses - 1,
            is_compared=False,
        )


def put(values: tuple[int, ...], who: int, value: int) -> tuple[int, ...]:
    return (*values[:who], value, *values[who + 1 :])


def count(starts: int) -> int:
    return starts.bit_count()


def holds(state: State, who: int) -> bool:
    """Return whether an entry holds the call back."""
    counted = count(state.known[who] & ~state.cleared[who])
    return counted + state.surplus[who] >= HOLD_AFTER_ENDS


def nothing_late(state: dict[str, typing.Any]) -> bool:
    """No entry sends the call once all have evidence of three ends.

    An entry that has restarted since the last period may still send it.
    """
    return not state['is_late']


def held_for_ends(state: dict[str, typing.Any]) -> bool:
    """An entry that holds the call has recorded three starts that ended."""
    seen = _of(state)
    real = (1 << seen.ended) - 1
    return all(
        count(seen.known[who] & real) >= HOLD_AFTER_ENDS
        for who in ENTRIES
        if holds(seen, who)
    )


def cleared_for_good(state: dict[str, typing.Any]) -> bool:
    """After a comparison, no entry holds a call due to cleared evidence."""
    seen = _of(state)
    left = count(((1 << seen.ended) - 1) & ~seen.gone)
    if not seen.is_compared or left >= HOLD_AFTER_ENDS:
        return True
    return not any(holds(seen, who) for who in ENTRIES)


def one_trial(state: dict[str, typing.Any]) -> bool:
    """No two entries try the call at the same time."""
    return count(state['trying']) <= 1


def last_trial(state: dict[str, typing.Any]) -> bool:
    """A trial that ends a server is the last one."""
    return count(state['fatal']) <= 1


def _of(state: dict[str, typing.Any]) -> State:
    return State(**{name: state[name] for name in State._fields})


def _model(
    bounds: str, without: str | None, **options: int
) -> specs.BoundedModel:
    machine = Machine(without=without, **options)
    protocol = minicheck.Protocol(
        name='quarantine',
        candidate=False,
        fields=State._fields,
        initial=tuple(machine.initial()),
        transitions=functools.partial(_transitions, machine),
        invariants={
            'nothing is sent late': nothing_late,
            'it is held for ends only': held_for_ends,
            'what was cleared stays cleared': cleared_for_good,
            'one send is tried at a time': one_trial,
            'one trial ends a server at most': last_trial,
        },
    )
    reached = {
        'all hold': lambda state: all(
            holds(_of(state), who) for who in ENTRIES
        )
    }
    return specs.BoundedModel(
        bounds=bounds, protocol=protocol, reached=reached, max_states=3_000_000
    )


def _transitions(machine: Machine, values: tuple) -> list[tuple[str, tuple]]:
    return [(label, tuple(after)) for label, after in machine.steps(values)]


def build(*, without: str | None = None) -> tuple[specs.BoundedModel, ...]:
    """Return the models; see :mod:`specs`.

    :param without: the safeguard to leave out, or ``None``.
    """
    trials = _model('5 ends, trials', without, ends=5, trials=True)
    losses = _model('3 ends, 1 loss of all', without, ends=3, losses=1)
    if without in TRIAL_SAFEGUARDS:
        return (trials,)
    if without == 'stored':
        return (losses,)
    return (
        _model(
            '3 ends, 1 restart, 1 reset', without, ends=3, restarts=1, resets=1
        ),
        _model('4 ends, 1 run that ends well', without, ends=4, successes=1),
        losses,
        trials,
    )
