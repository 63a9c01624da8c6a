"""Specification of the version that alone can have begun a stream.

Streams of two software versions begin, each once a majority of the voters has
its version on disk. One voter is replaced by a new disk; who begins a stream
may know the old voters until all have learned of the new ones. A caller that
doesn't name what began its stream comes back to an entry that knows nothing.

Crashes are no steps of their own: a voter answers by what is on its disk, and
an instance that is down is one that takes no step.
"""

import dataclasses
import itertools
import typing

import minicheck

import specs

#: Disks by number; the last one takes the place of the first.
OLD_VOTERS, NEW_VOTERS = frozenset((0, 1, 2)), frozenset((1, 2, 3))
NEW = 3
MAJORITY = 2
FIRST, SECOND = 1, 2
NOBODY, REFUSED = 0, -1

SAFEGUARDS_BY_NAME = {
    'who_has_begun': 'the version that serves now is taken for the one that'
    ' began the stream',
    'majority': 'one voter decides, which may not have been told',
    'complete': 'a new voter decides that was not told of earlier streams',
    'ask_majority': 'a new voter is told by one other voter only',
    'settle': 'a new voter asks the others while streams still begin with the'
    ' old voters',
}


class State(typing.NamedTuple):
    """The whole system.

    :param known: for each disk, the versions that it has, as bits.
    :param complete: the disks whose answers count.
    :param has_changed: whether the new voters are in force.
    :param is_settled: whether all instances know of them.
    :param begun: the versions that have begun streams, as bits.
    :param went_on: the version at which the caller's stream went on.
    :param begun_then: the versions that had begun streams by then.
    """

    known: tuple[int, int, int, int] = (0, 0, 0, 0)
    complete: frozenset[int] = OLD_VOTERS
    has_changed: bool = False
    is_settled: bool = False
    begun: int = 0
    went_on: int = NOBODY
    begun_then: int = 0


Steps = typing.Iterator[tuple[str, State]]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Machine:
    """The transitions of the model.

    :param without: the safeguard to leave out, or ``None``.
    """

    without: str | None = None

    def steps(self, values: tuple) -> list[tuple[str, tuple]]:
        state = State(*values)
        found = [
            *self.begin_steps(state),
            *self.change_steps(state),
            *self.caller_steps(state),
        ]
        return [(label, tuple(after)) for label, after in found]

    def begin_steps(self, state: State) -> Steps:
        sets = [OLD_VOTERS] if not state.is_settled else []
        if state.has_changed:
            sets.append(NEW_VOTERS)
        for version, voters in itertools.product((FIRST, SECOND), sets):
            # The versions serve one after the other.
            if state.begun & version or (
                version == SECOND and not state.begun & FIRST
            ):
                continue
            for told in itertools.combinations(sorted(voters), MAJORITY):
                known = tuple(
                    each | version if disk in told else each
                    for disk, each in enumerate(state.known)
                )
                begun = state.begun | version
                yield (
                    f'a stream begins at {version}, kept by {told}',
                    state._replace(known=known, begun=begun),
                )

    def change_steps(self, state: State) -> Steps:
        if not state.has_changed:
            yield 'the voters change', state._replace(has_changed=True)
            return
        if not state.is_settled:
            yield 'all know the new voters', state._replace(is_settled=True)
        may_ask = state.is_settled or self.without == 'settle'
        if NEW in state.complete or not may_ask:
            return
        needed = 1 if self.without == 'ask_majority' else MAJORITY
        others = NEW_VOTERS & state.complete
        for asked in itertools.combinations(sorted(others), needed):
            told = self._union(state, asked)
            known = (*state.known[:NEW], state.known[NEW] | told)
            yield (
                f'the new voter is told by {asked}',
                state._replace(known=known, complete=state.complete | {NEW}),
            )

    def caller_steps(self, state: State) -> Steps:
        if not state.begun or state.went_on != NOBODY:
            return
        if self.without == 'who_has_begun':
            latest = SECOND if state.begun & SECOND else FIRST
            yield 'it goes on', _gone_on(state, latest)
            return
        voters = NEW_VOTERS if state.has_changed else OLD_VOTERS
        if self.without != 'complete':
            voters &= state.complete
        needed = 1 if self.without == 'majority' else MAJORITY
        for asked in itertools.combinations(sorted(voters), needed):
            found = self._union(state, asked)
            went_on = found if found in (FIRST, SECOND) else REFUSED
            yield f'{asked} answer', _gone_on(state, went_on)

    def _union(self, state: State, disks: tuple[int, ...]) -> int:
        found = 0
        for disk in disks:
            found |= state.known[disk]
        return found

    def is_not_guessed(self, values: dict[str, typing.Any]) -> bool:
        """A stream goes on only if no other version can have begun it."""
        state = State(**values)
        return state.went_on in (NOBODY, REFUSED, state.begun_then)


def _gone_on(state: State, version: int) -> State:
    return state._replace(went_on=version, begun_then=state.begun)


def build(*, without: str | None = None) -> tuple[specs.BoundedModel, ...]:
    """Return the model, with one safeguard left out or none."""
    machine = Machine(without=without)
    return (
        specs.BoundedModel(
            bounds='3 voters, 1 of them replaced, 2 versions',
            protocol=minicheck.Protocol(
                name='sole version',
                candidate=False,
                fields=State._fields,
                initial=tuple(State()),
                transitions=machine.steps,
                invariants={'is_not_guessed': machine.is_not_guessed},
            ),
            reached={
                'gone on': lambda state: state['went_on'] == FIRST,
                'refused': lambda state: state['went_on'] == REFUSED,
            },
        ),
    )
