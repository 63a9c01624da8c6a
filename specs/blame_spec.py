"""Specification of which part of prompts is blamed for crashes.

Requests with a bad part crash the backend server that begins to answer them.
A neighbour is a harmless part, in the same prompts or in others that run
beside them. All requests differ otherwise. A crash counts against each part
that had just begun there. A run of the neighbour that goes on well clears it.
What is held is not sent, but for one trial. Of two parts with the same crashes
both are held. As in ``coordination/_blame.py``, with lower limits.
"""

import typing

import minicheck

import specs

#: Crashes that quarantine a part, and one that is known to have run well.
HOLD_AFTER = 2
HOLD_GOOD_AFTER = 3
#: Most crashes of the model, and those for other reasons among them.
MOST_CRASHES = 6
OTHER_CRASHES = 4
BAD, NEIGHBOUR = 0, 1

SAFEGUARDS_BY_NAME = {
    'explains': 'a part that is held explains nothing, and its neighbours are'
    ' held for its crashes',
    'good_runs_clear': 'a good run clears nothing',
    'known_good_last': 'a part that is known to have run well is held as soon'
    ' as any other',
    'shared_evidence': 'a part whose crashes another one explains is never'
    ' held again',
    'one_trial': 'a part is tried again after a trial that crashed a server',
}


class State(typing.NamedTuple):
    """The evidence on both parts; each crash is a bit.

    :param crashes: number of crashes.
    :param under: crashes that count against each part, cleared or not.
    :param cleared: crashes of which the neighbour was cleared.
    :param is_good: the neighbour is known to have run well.
    :param others: crashes for other reasons that may still happen.
    :param trials: trials of the bad part.
    :param gone: crashes before the last good run of the neighbour.
    """

    crashes: int = 0
    under: tuple[int, int] = (0, 0)
    cleared: int = 0
    is_good: bool = False
    others: int = OTHER_CRASHES
    trials: int = 0
    gone: int = 0


class Machine:
    """The transitions of the model.

    :param without: the safeguard to leave out, or ``None``.
    """

    def __init__(self, *, without: str | None) -> None:
        self.without = without

    def has(self, safeguard: str) -> bool:
        return self.without != safeguard

    def counted(self, state: State) -> tuple[int, int]:
        return state.under[BAD], state.under[NEIGHBOUR] & ~state.cleared

    def held(self, state: State) -> frozenset[int]:
        """Return the parts that are held; see ``_blame.find_quarantined``."""
        counted = self.counted(state)
        found: set[int] = set()
        explained = 0
        while True:
            enough = [
                part
                # Of two alike, the wrong one is taken first.
                for part in (NEIGHBOUR, BAD)
                if part not in found
                and self.is_enough(state, part, counted[part], explained)
            ]
            if not enough:
                return frozenset(found)
            worst = min(
                enough,
                key=lambda part: (
                    self.is_good(state, part),
                    -(counted[part] & ~explained).bit_count(),
                ),
            )
            found |= {
                part
                for part in enough
                if part == worst
                or (
                    counted[part] == counted[worst]
                    and not self.is_good(state, part)
                )
            }
            if self.has('explains'):
                explained |= counted[worst]

    def is_good(self, state: State, part: int) -> bool:
        return (
            part == NEIGHBOUR and state.is_good and self.has('known_good_last')
        )

    def is_enough(
        self, state: State, part: int, counted: int, explained: int
    ) -> bool:
        own = (counted & ~explained).bit_count()
        if self.is_good(state, part):
            return own >= HOLD_GOOD_AFTER
        least = 1 if self.has('shared_evidence') else HOLD_AFTER
        return counted.bit_count() >= HOLD_AFTER and own >= least

    def steps(self, values: tuple) -> list[tuple[str, tuple]]:
        state = State(*values)
        held = self.held(state)
        found = []
        if state.crashes < MOST_CRASHES:
            if BAD not in held:
                found.append(('bad crashes', self.crash(state, {BAD})))
            if not held:
                found.append(
                    ('bad crashes beside', self.crash(state, {BAD, NEIGHBOUR}))
                )
            if NEIGHBOUR not in held and state.others:
                other = self.crash(state, {NEIGHBOUR})
                found.append(
                    ('other crash', other._replace(others=state.others - 1))
                )
            if BAD in held and (not state.trials or not self.has('one_trial')):
                tried = self.crash(state, {BAD})
                found.append(
                    ('bad is tried', tried._replace(trials=state.trials + 1))
                )
        # Whether or not it is held: a trial of it ends well.
        found.append(('neighbour ends well', self.succeed(state)))
        return [(label, tuple(after)) for label, after in found]

    def crash(self, state: State, parts: set[int]) -> State:
        bit = 1 << state.crashes
        under = tuple(
            seen | bit if part in parts else seen
            for part, seen in enumerate(state.under)
        )
        return state._replace(crashes=state.crashes + 1, under=under)

    def succeed(self, state: State) -> State:
        cleared = state.cleared
        if self.has('good_runs_clear'):
            cleared |= state.under[NEIGHBOUR]
        return state._replace(
            cleared=cleared, is_good=True, gone=(1 << state.crashes) - 1
        )


def _build_invariants(
    machine: Machine,
) -> dict[str, typing.Callable[[dict[str, typing.Any]], bool]]:
    def few_crashes(state: dict[str, typing.Any]) -> bool:
        """The bad part crashes no more than it takes to hold it, and a trial.

        That a neighbour may be held in its place at first changes nothing.
        """
        seen = _of(state)
        most = HOLD_AFTER + min(seen.trials, 1)
        return seen.under[BAD].bit_count() <= most

    def good_part_is_free(state: dict[str, typing.Any]) -> bool:
        """A part that ran well is held for later crashes of its own only."""
        seen = _of(state)
        held = machine.held(seen)
        if NEIGHBOUR not in held or not seen.is_good:
            return True
        explained = seen.under[BAD] if BAD in held else 0
        own = seen.under[NEIGHBOUR] & ~seen.gone & ~explained
        return own.bit_count() >= HOLD_GOOD_AFTER

    def explained_part_is_free(state: dict[str, typing.Any]) -> bool:
        """A part is not held for some of the crashes of a held one."""
        seen = _of(state)
        held = machine.held(seen)
        counted = machine.counted(seen)
        is_within = not counted[NEIGHBOUR] & ~counted[BAD]
        return not (
            len(held) == 2 and is_within and counted[NEIGHBOUR] != counted[BAD]
        )

    return {
        'few crashes': few_crashes,
        'what ran well is free': good_part_is_free,
        'what is explained is free': explained_part_is_free,
    }


def _of(state: dict[str, typing.Any]) -> State:
    return State(**{name: state[name] for name in State._fields})


def build(*, without: str | None = None) -> tuple[specs.BoundedModel, ...]:
    """Return the model; see :mod:`specs`.

    :param without: the safeguard to leave out, or ``None``.
    """
    machine = Machine(without=without)
    protocol = minicheck.Protocol(
        name='blame',
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=machine.steps,
        invariants=_build_invariants(machine),
    )
    reached = {
        'both held': lambda state: len(machine.held(_of(state))) == 2,
        'only the bad one held': lambda state: (
            machine.held(_of(state)) == {BAD}
        ),
        'only the neighbour held': lambda state: (
            machine.held(_of(state)) == {NEIGHBOUR}
        ),
    }
    bounds = f'{MOST_CRASHES} crashes, {OTHER_CRASHES} for other reasons'
    return (
        specs.BoundedModel(
            bounds=bounds,
            protocol=protocol,
            reached=reached,
            max_states=100_000,
        ),
    )
