"""Specification of the spread of a backend server's leave.

Three voters and one entry, as in ``coordination/_departures.py``. The backend
server sends its leave to one voter, perhaps to a second one. A message that is
lost is a step that is not taken, so any instance may be cut off from any other
for as long as the model runs. A voter may crash, which takes its memory and
not its disk, and may come back. The entry may start anew, and then knows
nothing.

A voter *carries* the leave if it will send it to the entry whenever they are
in touch: it is up and repeats the leave, or is down and has it on its disk.
If a majority carries it, an entry in touch with any majority hears of it.
"""

import dataclasses
import functools
import typing

import minicheck

import specs

VOTERS = (0, 1, 2)
MAJORITY = 2

SAFEGUARDS_BY_NAME = {
    'majority': 'a voter acknowledges a leave that only it has stored',
    'at_a_knower': 'a voter that knows of a leave acknowledges it at once',
    'stored': 'a voter counts as having stored what it only knows',
    'restored': 'a voter that starts again does not read its disk',
    'takeover': 'only the voter that was asked repeats a leave',
    'confirmed': 'a voter repeats a leave to the entry only once',
    'lacking': 'a voter that was asked tells the others that no instance'
    ' lacks the leave, although it has no word of the entry',
    'started': 'an entry that starts anew is taken to know what it knew',
}


class State(typing.NamedTuple):
    """The whole system; numbers are bits of voters.

    :param up: voters whose process runs.
    :param known: voters that have the leave in memory.
    :param disk: voters that have it on disk.
    :param asked: voters that the backend server has sent it to.
    :param words: for each voter, those known there to have stored it.
    :param confirmed: voters that have the entry's word that it knows it.
    :param told: voters told by another one that no instance lacks it.
    :param entry_knows: whether the entry knows it.
    :param is_acknowledged: whether the backend server has an answer.
    :param asks: further voters that it may send it to.
    :param crashes: further crashes of voters.
    :param starts: further starts of the entry.
    """

    up: int = 0b111
    known: int = 0
    disk: int = 0
    asked: int = 0
    words: tuple[int, ...] = (0, 0, 0)
    confirmed: int = 0
    told: int = 0
    entry_knows: bool = False
    is_acknowledged: bool = False
    asks: int = 2
    crashes: int = 2
    starts: int = 1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Machine:
    """The transitions of the model.

    :param without: the safeguard to leave out, or ``None``.
    """

    without: str | None = None

    def has(self, safeguard: str) -> bool:
        return self.without != safeguard

    def steps(self, values: tuple) -> list[tuple[str, tuple]]:
        state = State(*values)
        found = []
        for voter in VOTERS:
            found += self.voter_steps(state, voter)
        if state.starts:
            found.append(('the entry starts anew', self.start_entry(state)))
        return [(label, tuple(after)) for label, after in found]

    def voter_steps(self, state: State, voter: int) -> list[tuple[str, State]]:
        bit = 1 << voter
        if not state.up & bit:
            return [(f'{voter} starts again', self.start(state, voter))]
        found = []
        if state.crashes:
            found.append((f'{voter} crashes', self.crash(state, voter)))
        if state.asks and not state.asked & bit:
            after = state._replace(
                asked=state.asked | bit,
                known=state.known | bit,
                asks=state.asks - 1,
            )
            found.append((f'{voter} is asked', after))
        if not state.known & bit:
            return found
        if not state.disk & bit:
            stored = state._replace(disk=state.disk | bit)
            found.append((f'{voter} stores it', stored))
        if self.may_acknowledge(state, voter):
            acknowledged = state._replace(is_acknowledged=True)
            found.append((f'{voter} acknowledges it', acknowledged))
        for other in VOTERS:
            if other != voter and state.up >> other & 1:
                found += self.messages(state, voter, other)
        if self.repeats(state, voter):
            sent = state._replace(entry_knows=True)
            found.append((f'{voter} tells the entry', sent))
            if not self.has('confirmed'):
                lost = state._replace(confirmed=state.confirmed | bit)
                found.append((f'{voter} tells the entry in vain', lost))
        if state.entry_knows and not state.confirmed & bit:
            heard = state._replace(confirmed=state.confirmed | bit)
            found.append((f'the entry confirms it to {voter}', heard))
        return found

    def messages(
        self, state: State, voter: int, other: int
    ) -> list[tuple[str, State]]:
        """Return what a voter that knows the leave may say to another."""
        found = []
        to = 1 << other
        told = state._replace(known=state.known | to)
        found.append((f'{voter} tells {other}', told))
        is_awaited = state.asked & state.known & to
        if is_awaited and self.has_stored(state, voter):
            word = state.words[other] | 1 << voter
            words = _put(state.words, other, word)
            found.append(
                (
                    f'{voter} has stored it, it says to {other}',
                    state._replace(words=words),
                )
            )
        no_one_lacks_it = state.confirmed >> voter & 1 or not self.has(
            'lacking'
        )
        if state.asked >> voter & 1 and no_one_lacks_it:
            after = told._replace(told=state.told | to)
            found.append((f'no one lacks it, says {voter} to {other}', after))
        return found

    def has_stored(self, state: State, voter: int) -> bool:
        held = state.disk if self.has('stored') else state.known
        return bool(held >> voter & 1)

    def may_acknowledge(self, state: State, voter: int) -> bool:
        if not state.asked >> voter & 1 or state.is_acknowledged:
            return False
        words = state.words[voter] | self.has_stored(state, voter) << voter
        if not self.has('majority'):
            return bool(words >> voter & 1)
        if not self.has('at_a_knower') and state.asked != 1 << voter:
            return True
        return words.bit_count() >= MAJORITY

    def repeats(self, state: State, voter: int) -> bool:
        """Whether a voter that is up will send the leave to the entry."""
        bit = 1 << voter
        if not state.known & bit or (state.confirmed | state.told) & bit:
            return False
        return self.has('takeover') or bool(state.asked & bit)

    def crash(self, state: State, voter: int) -> State:
        bit = 1 << voter
        return state._replace(
            up=state.up & ~bit,
            known=state.known & ~bit,
            asked=state.asked & ~bit,
            words=_put(state.words, voter, 0),
            confirmed=state.confirmed & ~bit,
            told=state.told & ~bit,
            crashes=state.crashes - 1,
        )

    def start(self, state: State, voter: int) -> State:
        bit = 1 << voter
        restored = state.disk & bit if self.has('restored') else 0
        return state._replace(up=state.up | bit, known=state.known | restored)

    def start_entry(self, state: State) -> State:
        after = state._replace(entry_knows=False, starts=state.starts - 1)
        if not self.has('started'):
            return after
        return after._replace(confirmed=0, told=0)

    def carriers(self, state: State) -> int:
        """Return how many voters carry the leave to the entry."""
        return sum(
            self.repeats(state, voter)
            if state.up >> voter & 1
            else self.has('restored') and state.disk >> voter & 1
            for voter in VOTERS
        )

    def is_kept(self, values: dict[str, typing.Any]) -> bool:
        """The entry knows an acknowledged leave, or any majority tells it."""
        state = State(**{name: values[name] for name in State._fields})
        return (
            not state.is_acknowledged
            or state.entry_knows
            or self.carriers(state) >= MAJORITY
        )


def _put(values: tuple[int, ...], place: int, value: int) -> tuple[int, ...]:
    return (*values[:place], value, *values[place + 1 :])


def build(*, without: str | None = None) -> tuple[specs.BoundedModel, ...]:
    """Return the model; see :mod:`specs`.

    :param without: the safeguard to leave out, or ``None``.
    """
    machine = Machine(without=without)
    protocol = minicheck.Protocol(
        name='leave',
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=machine.steps,
        invariants={'an acknowledged leave is kept': machine.is_kept},
    )
    return (
        specs.BoundedModel(
            bounds='3 voters, 2 asked, 2 crashes, 1 start of the entry',
            protocol=protocol,
            reached={
                'acknowledged': lambda state: state['is_acknowledged'],
                'acknowledged, and the entry started anew': functools.partial(
                    _is_acknowledged_and_started
                ),
            },
        ),
    )


def _is_acknowledged_and_started(state: dict[str, typing.Any]) -> bool:
    return state['is_acknowledged'] and not state['starts']
