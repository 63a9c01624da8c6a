"""Specification of what is kept of a stream's software version.

Three voters, two entries that keep the origin in memory, and the entry that
begins the stream, as in ``coordination/origins.py``. A message that is lost is
a step that is not taken. A voter may crash, which takes its memory and not its
disk; an entry that starts anew knows nothing. The caller comes back to an
entry that has heard of nothing; which keepers it reaches is arbitrary, too.

The entry may be booked anew before its first piece. Ids that callers use for
two calls are not modelled: one keeper that has heard of the second call first
is believed.
"""

import dataclasses
import functools
import typing

import minicheck

import specs

VOTERS = (0, 1, 2)
ENTRIES = (0, 1)
MAJORITY = 2
NONE, FIRST, OTHER = 0, 1, 2

SAFEGUARDS_BY_NAME = {
    'hold': 'the first piece leaves before anyone has confirmed',
    'majority': 'the first piece leaves once one voter has confirmed',
    'entries': 'the first piece leaves once one of the entries has confirmed',
    'stored': 'a voter confirms what is not on its disk yet',
    'restored': 'a voter that starts again does not read its disk',
    'bound': 'a stream that is booked anew takes the version of the booking',
    'guess': 'a caller whose origin is unknown goes on at any version',
}


class State(typing.NamedTuple):
    """The whole system; numbers without a name are bits of instances.

    :param bound: the version that the stream's entry is booked at.
    :param memory: for each voter, the version that it holds in memory.
    :param disk: for each voter, the version on its disk.
    :param entries: for each entry that keeps it, the version that it holds.
    :param confirmed: voters whose confirmation has arrived.
    :param entries_confirmed: entries whose confirmation has arrived.
    :param wrote: the version of the pieces that have left.
    :param is_late: whether they left without enough confirmations.
    :param went_on: the version at which the caller's stream went on.
    :param crashes: further crashes of voters.
    :param starts: further starts of entries.
    """

    bound: int = NONE
    up: int = 0b111
    memory: tuple[int, ...] = (NONE, NONE, NONE)
    disk: tuple[int, ...] = (NONE, NONE, NONE)
    entries: tuple[int, ...] = (NONE, NONE)
    confirmed: int = 0
    entries_confirmed: int = 0
    wrote: int = NONE
    is_late: bool = False
    went_on: int = NONE
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
        found = [*self.stream_steps(state), *self.caller_steps(state)]
        for voter in VOTERS:
            found += self.voter_steps(state, voter)
        for entry in ENTRIES:
            found += self.entry_steps(state, entry)
        return [(label, tuple(after)) for label, after in found]

    def stream_steps(self, state: State) -> list[tuple[str, State]]:
        """Return what the entry that begins the stream may do."""
        if state.bound == NONE:
            return [('it is booked', state._replace(bound=FIRST))]
        found = []
        if state.wrote == NONE:
            if not self.has('bound') and state.bound == FIRST:
                rebooked = state._replace(bound=OTHER)
                found.append(('it is booked at the other version', rebooked))
            wrote = state._replace(wrote=state.bound)
            if self.may_write(state):
                found.append(('its first piece leaves', wrote))
            else:
                late = wrote._replace(is_late=True)
                found.append(('its first piece leaves late', late))
        return found

    def may_write(self, state: State) -> bool:
        if not self.has('hold'):
            return True
        voters = MAJORITY if self.has('majority') else 1
        entries = len(ENTRIES) if self.has('entries') else 1
        return (
            state.confirmed.bit_count() >= voters
            or state.entries_confirmed.bit_count() >= entries
        )

    def voter_steps(self, state: State, voter: int) -> list[tuple[str, State]]:
        bit = 1 << voter
        if not state.up & bit:
            held = state.disk[voter] if self.has('restored') else NONE
            memory = _put(state.memory, voter, held)
            after = state._replace(up=state.up | bit, memory=memory)
            return [(f'voter {voter} starts again', after)]
        found = []
        held = state.memory[voter]
        if state.bound != NONE and held == NONE:
            memory = _put(state.memory, voter, FIRST)
            after = state._replace(memory=memory)
            found.append((f'voter {voter} is told', after))
        if held != NONE and state.disk[voter] != held:
            disk = _put(state.disk, voter, held)
            after = state._replace(disk=disk)
            found.append((f'voter {voter} stores it', after))
        confirmable = state.disk[voter] if self.has('stored') else held
        if confirmable == FIRST and not state.confirmed & bit:
            after = state._replace(confirmed=state.confirmed | bit)
            found.append((f'voter {voter} confirms it', after))
        if state.crashes:
            after = state._replace(
                up=state.up & ~bit,
                memory=_put(state.memory, voter, NONE),
                crashes=state.crashes - 1,
            )
            found.append((f'voter {voter} crashes', after))
        return found

    def entry_steps(self, state: State, entry: int) -> list[tuple[str, State]]:
        bit = 1 << entry
        held = state.entries[entry]
        found = []
        if state.bound != NONE and held == NONE:
            entries = _put(state.entries, entry, FIRST)
            after = state._replace(entries=entries)
            found.append((f'entry {entry} is told', after))
        if held == FIRST and not state.entries_confirmed & bit:
            confirmed = state.entries_confirmed | bit
            after = state._replace(entries_confirmed=confirmed)
            found.append((f'entry {entry} confirms it', after))
        if state.starts:
            after = state._replace(
                entries=_put(state.entries, entry, NONE),
                starts=state.starts - 1,
            )
            found.append((f'entry {entry} starts anew', after))
        return found

    def caller_steps(self, state: State) -> list[tuple[str, State]]:
        """Return how the caller's stream may go on elsewhere."""
        if state.wrote == NONE or state.went_on != NONE:
            return []
        answers = {
            *(each for each in state.memory if each != NONE),
            *(each for each in state.entries if each != NONE),
        }
        if not self.has('guess'):
            answers.add(OTHER)
        return [
            (f'it goes on at {each}', state._replace(went_on=each))
            for each in sorted(answers)
        ]

    def has_one_version(self, values: dict[str, typing.Any]) -> bool:
        """A stream goes on only at the version of its pieces."""
        state = State(**{name: values[name] for name in State._fields})
        return state.went_on in (NONE, state.wrote)

    def is_kept(self, values: dict[str, typing.Any]) -> bool:
        """What has begun in time is found at a majority, or at an entry."""
        state = State(**{name: values[name] for name in State._fields})
        if state.wrote == NONE or state.is_late:
            return True
        voters = sum(
            FIRST
            in (
                state.memory[voter],
                state.disk[voter] if self.has('restored') else NONE,
            )
            for voter in VOTERS
        )
        return voters >= MAJORITY or FIRST in state.entries


def _put(values: tuple[int, ...], place: int, value: int) -> tuple[int, ...]:
    return (*values[:place], value, *values[place + 1 :])


def build(*, without: str | None = None) -> tuple[specs.BoundedModel, ...]:
    """Return the model; see :mod:`specs`.

    :param without: the safeguard to leave out, or ``None``.
    """
    machine = Machine(without=without)
    protocol = minicheck.Protocol(
        name='origins',
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=machine.steps,
        invariants={
            'a stream has one version': machine.has_one_version,
            'what began in time is found': machine.is_kept,
        },
    )
    return (
        specs.BoundedModel(
            bounds='3 voters, 2 entries, 2 crashes, 1 start of an entry',
            protocol=protocol,
            reached={
                'gone on': lambda state: state['went_on'] == FIRST,
                'begun in time, and an entry started anew': functools.partial(
                    _has_begun_and_started
                ),
            },
        ),
    )


def _has_begun_and_started(state: dict[str, typing.Any]) -> bool:
    is_begun = state['wrote'] != NONE and not state['is_late']
    return is_begun and not state['starts']
