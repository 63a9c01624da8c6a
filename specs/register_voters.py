"""Model of changes of the register, lost disks and replaced voters.

A value is its *lineage*: the tuple of all events that led to it. ``x``, ``y``
and ``z`` are documents, ``+03`` starts the replacement of disk 0 by disk 3,
``-0`` the removal of disk 0, and ``!`` ends either. A lineage that begins
with ``4`` has four first voters instead of three. The main invariant says
that any two chosen values are of one lineage: no chosen value is ever lost or
reverted.

Every attempt has a ballot of its own and continues after later ones have
begun. So delayed, reordered and lost messages are steps that are taken late
or never. A promise and its reply are one step, as an attempt may act on a
reply at any later time.
"""

from collections import abc
import dataclasses
import functools
import typing

import minicheck

import specs

#: Nothing was promised or accepted.
NONE = -1
#: The disks that vote at the start, as bits, if the lineage doesn't tell.
FIRST_VOTERS = 0b111

Lineage = tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Bounds:
    """Which events a model has, and how many of each.

    :param wishes: the changes that the attempt of each ballot may make:
        documents by their letters, ``+`` a replacement, ``-`` a removal,
        ``!`` the end of either, ``.`` none (the value is written back).
    :param voters: number of first voters, three or four.
    :param documents: the revision that each document is based on.
    :param hearsay: whether an attempt may continue from a later value than
        those in the promises, as it may have received one in other messages.
    :param replaceable: disks that an operator may replace.
    :param new_disks: number of disks that may replace them.
    :param losses: most disks that are lost.
    :param crashes: whether a disk may lose records that were not synced.
    """

    wishes: tuple[str, ...]
    voters: int = 3
    documents: tuple[tuple[str, int], ...] = ()
    hearsay: bool = False
    replaceable: tuple[int, ...] = ()
    new_disks: int = 0
    losses: int = 0
    crashes: bool = False

    @property
    def ballots(self) -> int:
        """Return the number of attempts."""
        return len(self.wishes)

    def __str__(self) -> str:
        wishes = ' '.join(self.wishes)
        parts = [
            f'{self.voters} voters, {self.ballots} ballots that want {wishes}'
        ]
        if self.new_disks:
            parts.append(f'{self.new_disks} new disks')
        if self.losses:
            parts.append(f'{self.losses} disks lost')
        if self.crashes:
            parts.append('crashes')
        if self.hearsay:
            parts.append('hearsay')
        return ', '.join(parts)


# These are named tuples, as minicheck hashes millions of them.


class Disk(typing.NamedTuple):
    """The records of a voter, in memory and on its disk.

    :param synced_promised: the promise that would survive a crash.
    :param synced_accepted: the acceptance that would survive a crash.
    :param has_claims: whether it has a copy of the claims.
    """

    promised: int = NONE
    accepted: int = NONE
    synced_promised: int = NONE
    synced_accepted: int = NONE
    is_lost: bool = False
    has_claims: bool = False


class Attempt(typing.NamedTuple):
    """The attempt of one ballot.

    :param promised: the disks that promised, as bits, while it prepares.
    :param highest: the latest accepted ballot in their replies.
    :param lineage: the value, once it was decided.
    :param holders: every disk that ever accepted it, as bits.
    :param false_answer: the answer to the operator when the value is chosen,
        if it does not agree with the value; empty otherwise. An answer that
        agrees with a chosen value stays true, as revisions only grow.
    """

    promised: int = 0
    highest: int = NONE
    lineage: Lineage | None = None
    holders: int = 0
    false_answer: str = ''


#: An attempt that has no effect any more.
OVER = Attempt(highest=99)


class State(typing.NamedTuple):
    """The whole system.

    :param losses: number of lost disks.
    :param told: values that were reported before they were chosen.
    """

    disks: tuple[Disk, ...]
    attempts: tuple[Attempt, ...]
    losses: int
    told: tuple[Lineage, ...]


def is_majority(disks: int, of: int) -> bool:
    """Return whether a set has more than half of another one."""
    return 2 * (disks & of).bit_count() > of.bit_count()


@functools.cache
def voters_of(lineage: Lineage) -> tuple[int, int]:
    """Return the present and the coming voters, as bits.

    The coming voters are 0 if no replacement is in progress.
    """
    present, coming = FIRST_VOTERS, 0
    for event in lineage:
        if event.isdigit():
            present = (1 << int(event)) - 1
        elif event[0] == '-':
            coming = present & ~(1 << int(event[1]))
        elif event[0] == '+':
            coming = present & ~(1 << int(event[1])) | 1 << int(event[2])
        elif event == '!':
            present, coming = coming, 0
    return present, coming


def is_true(answer: str, lineage: Lineage) -> bool:
    """Return whether an answer agrees with the value it was sent for."""
    document, _, rest = answer.partition(' ')
    if rest == 'conflict':
        return document not in lineage
    if not rest:
        return True
    if document not in lineage:
        return False
    before = lineage[: lineage.index(document) + 1]
    return rest == f'applied {revision_of(before)}'


@functools.cache
def revision_of(lineage: Lineage) -> int:
    """Return the number of documents in a lineage."""
    return sum(event.isalpha() for event in lineage)


def is_one_lineage(first: Lineage, second: Lineage) -> bool:
    """Return whether one of two lineages is a prefix of the other."""
    shorter = min(len(first), len(second))
    return first[:shorter] == second[:shorter]


class VotersModel:
    """Builds the transitions of the model.

    :param without: the safeguard to leave out, or ``None``.
    """

    def __init__(self, *, bounds: Bounds, without: str | None) -> None:
        self.bounds = bounds
        self.without = without

    def has_quorum(self, lineage: Lineage, disks: int) -> bool:
        """Return whether these disks are a quorum for a value."""
        present, coming = voters_of(lineage)
        if self.without == 'quorum_of_present_set' and coming:
            return is_majority(disks, coming)
        if self.without == 'quorum_of_coming_set':
            return is_majority(disks, present)
        if not is_majority(disks, present):
            return False
        return not coming or is_majority(disks, coming)

    def is_chosen(self, attempt: Attempt) -> bool:
        """Return whether a quorum has accepted the value."""
        if attempt.lineage is None:
            return False
        return self.has_quorum(attempt.lineage, attempt.holders)

    def transitions(self, state: State) -> list[tuple[str, State]]:
        """Return every step from a state."""
        steps: list[tuple[str, State]] = []
        for ballot in range(1, self.bounds.ballots + 1):
            attempt = state.attempts[ballot]
            if attempt is OVER:
                continue
            if attempt.lineage is None:
                readable = self.readable(state, ballot)
                if readable:
                    # Further promises only prevent possible acceptances.
                    steps += self.decisions(state, ballot, readable)
                else:
                    steps += self.promises(state, ballot)
            else:
                steps += self.acceptances(state, ballot)
        steps += self.disk_faults(state)
        return [(label, self.reduce(after)) for label, after in steps]

    def reduce(self, state: State) -> State:
        """Return the same state for all that behave in the same way."""
        if self.without in ('unique_ballots', 'promise_blocks_older_ballots'):
            # Without one of these, other attempts are over.
            return self.sort_disks(state)
        return self.sort_disks(self.end_attempts(state))

    def end_attempts(self, state: State) -> State:
        """Remove attempts and promises that have no effect any more."""
        attempts = list(state.attempts)
        for ballot in range(1, len(attempts)):
            if attempts[ballot] is not OVER and self.is_over(state, ballot):
                attempts[ballot] = OVER
        going = [n for n, a in enumerate(attempts) if a is not OVER]
        disks = [_forget_promise(disk, going) for disk in state.disks]
        return state._replace(disks=tuple(disks), attempts=tuple(attempts))

    def is_over(self, state: State, ballot: int) -> bool:
        """Return whether the ballot has no effect any more.

        No disk has accepted it or can accept it later.
        """
        attempt = state.attempts[ballot]
        if self.is_chosen(attempt):
            return False
        members = 0b11111
        if attempt.lineage is not None:
            present, coming = voters_of(attempt.lineage)
            members = present | coming
        for number, disk in enumerate(state.disks):
            if disk.is_lost or not members >> number & 1:
                continue
            if disk.promised <= ballot:
                return False
            if ballot in (disk.accepted, disk.synced_accepted):
                return False
        # With hearsay, an attempt may still continue from the value.
        return not (self.bounds.hearsay and attempt.holders)

    def sort_disks(self, state: State) -> State:
        """Return the same state for all that differ only in disk names.

        Disks that no operator replaces are interchangeable.
        """
        alike = [
            n
            for n in range(self.bounds.voters)
            if n not in self.bounds.replaceable
        ]
        columns = {number: _column(state, number) for number in alike}
        order = sorted(alike, key=columns.__getitem__)
        if order == alike:
            return state
        moved = dict(zip(order, alike, strict=True))
        disks = list(state.disks)
        for old, new in moved.items():
            disks[new] = state.disks[old]
        attempts = tuple(_move_attempt(a, moved) for a in state.attempts)
        return state._replace(disks=tuple(disks), attempts=attempts)

    # Acceptor.prepare

    def promises(
        self, state: State, ballot: int
    ) -> abc.Iterator[tuple[str, State]]:
        """Yield a disk's promise together with its reply."""
        members = 0
        for earlier in state.attempts:
            if earlier.holders:
                present, coming = voters_of(earlier.lineage)
                members |= present | coming
        for number, disk in enumerate(state.disks):
            if disk.is_lost or disk.promised == ballot:
                continue
            if self.order(disk.promised) > self.order(ballot):
                continue
            if not members >> number & 1:
                continue
            attempt = state.attempts[ballot]
            reported = NONE if self.ignores_accepted() else disk.accepted
            prepared = attempt._replace(
                promised=attempt.promised | 1 << number,
                highest=max(attempt.highest, reported),
            )
            promised = self.synced(disk._replace(promised=ballot))
            if self.without == 'promise_blocks_older_ballots':
                promised = disk
                if attempt.promised >> number & 1:
                    continue
            yield (
                f'disk {number} promises ballot {ballot}',
                self.put(state, number, promised, ballot, prepared),
            )

    def order(self, ballot: int) -> int:
        """Return the key by which disks compare ballots.

        Without ``unique_ballots``, the second ballot of a restarted proposer
        equals its first.
        """
        if self.without == 'unique_ballots' and ballot == 2:
            return 1
        return ballot

    def ignores_accepted(self) -> bool:
        return self.without == 'read_latest_accepted'

    # Acceptor.accept

    def acceptances(
        self, state: State, ballot: int
    ) -> abc.Iterator[tuple[str, State]]:
        """Yield a disk's acceptance of the value of a ballot."""
        attempt = state.attempts[ballot]
        present, coming = voters_of(attempt.lineage)
        for number, disk in enumerate(state.disks):
            if disk.is_lost or not (present | coming) >> number & 1:
                continue
            if disk.accepted == ballot:
                continue
            if self.order(disk.promised) > self.order(ballot):
                continue
            # A joining disk may copy the claims once it has accepted the
            # value with both sets. The earliest time allows the most steps.
            held = self.synced(
                disk._replace(
                    promised=ballot,
                    accepted=ballot,
                    has_claims=disk.has_claims or bool(coming >> number & 1),
                )
            )
            more = attempt._replace(holders=attempt.holders | 1 << number)
            yield (
                f'disk {number} accepts ballot {ballot}',
                self.put(state, number, held, ballot, more),
            )

    # Attempt._advance

    def readable(self, state: State, ballot: int) -> list[int]:
        """Return the ballots from whose values this attempt may continue.

        It may have received a later value than those in the promises. It may
        continue from any value that some disk accepted, if a quorum of that
        value's own voters promised.
        """
        attempt = state.attempts[ballot]
        if not attempt.promised:
            return []
        found = []
        first = max(attempt.highest, 0)
        last = ballot if self.bounds.hearsay else first + 1
        for number in range(first, last):
            read = state.attempts[number]
            if read.lineage is None or not read.holders:
                continue
            asked = read.lineage
            if self.without == 'quorum_of_the_value_read':
                asked = ()
            if self.has_quorum(asked, attempt.promised):
                found.append(number)
        return found

    def decisions(
        self, state: State, ballot: int, readable: list[int]
    ) -> abc.Iterator[tuple[str, State]]:
        """Yield the attempt's reads of a value and decisions from it."""
        for number in readable:
            read = state.attempts[number]
            for lineage, answer in self.steps_from(
                read, state, self.bounds.wishes[ballot - 1]
            ):
                false_answer = '' if is_true(answer, lineage) else answer
                decided = Attempt(lineage=lineage, false_answer=false_answer)
                told = state.told
                if self.reports_early(read, lineage, answer):
                    told = (*told, lineage)
                yield (
                    f'ballot {ballot} reads {number}, writes '
                    f'{",".join(lineage) or "-"} ({answer or "no answer"})',
                    state._replace(
                        attempts=_set(state.attempts, ballot, decided),
                        told=told,
                    ),
                )

    def reports_early(
        self, read: Attempt, lineage: Lineage, answer: str
    ) -> bool:
        if self.without != 'write_back_before_answer':
            return False
        return bool(answer) and lineage == read.lineage

    # changes.py: the decide methods

    def steps_from(
        self, read: Attempt, state: State, wishes: str
    ) -> abc.Iterator[tuple[Lineage, str]]:
        """Yield the values that may follow, each with the answer sent."""
        if '.' in wishes:
            yield read.lineage, ''
        revision = revision_of(read.lineage)
        for document, expected in self.bounds.documents:
            # A document can't be based on a future revision.
            if document in wishes and expected <= revision:
                yield self.change_document(read.lineage, document, expected)
        if '+' in wishes:
            yield from self.start_replacements(read.lineage, state)
        if '-' in wishes:
            yield from self.start_removals(read.lineage)
        if '!' in wishes and voters_of(read.lineage)[1]:
            if self.may_end_replacement(read, state):
                yield (*read.lineage, '!'), ''
            else:
                yield read.lineage, ''

    def change_document(
        self, lineage: Lineage, document: str, expected: int
    ) -> tuple[Lineage, str]:
        """Return the step of DocumentChange.decide."""
        if document in lineage and self.without != 'change_ids':
            revision = revision_of(lineage[: lineage.index(document) + 1])
            return lineage, f'{document} applied {revision}'
        revision = revision_of(lineage)
        if revision != expected and self.without != 'compare_and_set':
            return lineage, f'{document} conflict'
        return (*lineage, document), f'{document} applied {revision + 1}'

    def start_replacements(
        self, lineage: Lineage, state: State
    ) -> abc.Iterator[tuple[Lineage, str]]:
        """Yield the steps of VoterReplacement.decide."""
        present, coming = voters_of(lineage)
        going = present & ~coming if coming else 0
        first = self.bounds.voters
        for new in range(first, first + self.bounds.new_disks):
            if state.disks[new].is_lost or present >> new & 1:
                continue
            for old in self.bounds.replaceable:
                if not present >> old & 1 or coming >> new & 1:
                    continue
                if going & ~(1 << old):
                    continue
                yield (*lineage, f'+{old}{new}'), ''

    def start_removals(
        self, lineage: Lineage
    ) -> abc.Iterator[tuple[Lineage, str]]:
        """Yield the steps of VoterRemoval.decide that start a removal."""
        present, coming = voters_of(lineage)
        if coming or present.bit_count() % 2:
            return
        for old in self.bounds.replaceable:
            if not present >> old & 1:
                continue
            removed = (*lineage, f'-{old}')
            if self.without == 'removal_in_two_steps':
                removed = (*removed, '!')
            yield removed, ''

    def may_end_replacement(self, read: Attempt, state: State) -> bool:
        """Return whether a change of the voters may end.

        That is the decision of changes._end, with the condition under which
        ReplacementEnd is proposed.
        """
        present, coming = voters_of(read.lineage)
        if not coming:
            return False
        if not self.is_chosen(read):
            if self.without != 'chosen_before_replacement_ends':
                return False
        joiner = (coming & ~present).bit_length() - 1
        if joiner < 0:
            return True
        if self.without == 'caught_up_before_replacement_ends':
            return True
        return state.disks[joiner].has_claims

    # Faults of disks

    def disk_faults(self, state: State) -> abc.Iterator[tuple[str, State]]:
        """Yield the crashes and losses of disks."""
        for number, disk in enumerate(state.disks):
            if disk.is_lost:
                continue
            if self.bounds.crashes:
                yield from self.crash(state, number)
            if state.losses < self.bounds.losses:
                yield from self.lose(state, number)

    def crash(
        self, state: State, number: int
    ) -> abc.Iterator[tuple[str, State]]:
        disk = state.disks[number]
        restarted = disk._replace(
            promised=disk.synced_promised, accepted=disk.synced_accepted
        )
        if restarted != disk:
            yield (
                f'disk {number} crashes',
                state._replace(disks=_set(state.disks, number, restarted)),
            )

    def lose(
        self, state: State, number: int
    ) -> abc.Iterator[tuple[str, State]]:
        if self.without == 'new_identity_for_lost_disk':
            after = Disk(
                promised=0,
                accepted=0,
                synced_promised=0,
                synced_accepted=0,
                has_claims=True,
            )
        else:
            after = Disk(
                is_lost=True, has_claims=state.disks[number].has_claims
            )
        yield (
            f'disk {number} is lost',
            state._replace(
                disks=_set(state.disks, number, after),
                losses=state.losses + 1,
            ),
        )

    def synced(self, disk: Disk) -> Disk:
        """Return the disk as SyncGate.reply leaves it.

        The records are synced before the reply.
        """
        if self.without == 'sync_before_reply':
            return disk
        return disk._replace(
            synced_promised=disk.promised, synced_accepted=disk.accepted
        )

    def put(
        self,
        state: State,
        number: int,
        disk: Disk,
        ballot: int,
        attempt: Attempt,
    ) -> State:
        return state._replace(
            disks=_set(state.disks, number, disk),
            attempts=_set(state.attempts, ballot, attempt),
        )

    # Invariants

    def chosen(self, state: dict[str, typing.Any]) -> list[Lineage]:
        """Return the chosen values by ballot."""
        attempts = state['attempts']
        return [a.lineage for a in attempts if self.is_chosen(a)]

    def nothing_is_lost(self, state: dict[str, typing.Any]) -> bool:
        """Chosen values and reported values are of one lineage."""
        chosen = self.chosen(state)
        in_order = zip(chosen, chosen[1:], strict=False)
        if any(later[: len(first)] != first for first, later in in_order):
            return False
        return all(
            is_one_lineage(told, lineage)
            for told in state['told']
            for lineage in chosen
        )

    def changes_are_made_once(self, state: dict[str, typing.Any]) -> bool:
        """A document is written once, after the revision it is based on."""
        for lineage in self.chosen(state):
            for document, expected in self.bounds.documents:
                if lineage.count(document) > 1:
                    return False
                if document in lineage:
                    before = lineage[: lineage.index(document)]
                    if revision_of(before) != expected:
                        return False
        return True

    def answers_are_true(self, state: dict[str, typing.Any]) -> bool:
        """No answer disagrees with the chosen value."""
        return not any(
            a.false_answer and self.is_chosen(a) for a in state['attempts']
        )

    def finished_voters_hold_everything(
        self, state: dict[str, typing.Any]
    ) -> bool:
        """The new voter of a finished replacement has the claims.

        A majority of the old voters had each claim, and the voter that was
        removed may be one of them. So a majority of the new voters has each
        claim only if the new voter has it.
        """
        claims = 0
        for number, disk in enumerate(state['disks']):
            claims |= disk.has_claims << number
        return not any(
            present & ~claims
            for present, coming in map(voters_of, self.chosen(state))
            if not coming
        )

    def build(
        self,
        *,
        reached: abc.Mapping[str, abc.Callable] | None = None,
        max_states: int = 1_000_000,
    ) -> specs.BoundedModel:
        """Return the model with its bounds."""
        first = Disk(
            promised=0,
            accepted=0,
            synced_promised=0,
            synced_accepted=0,
            has_claims=True,
        )
        voters = self.bounds.voters
        disks = [first] * voters
        disks += [Disk()] * self.bounds.new_disks
        initial = State(
            disks=tuple(disks),
            attempts=(
                Attempt(
                    lineage=() if voters == 3 else (str(voters),),
                    holders=(1 << voters) - 1,
                ),
                *[Attempt()] * self.bounds.ballots,
            ),
            losses=0,
            told=(),
        )
        protocol = minicheck.Protocol(
            name='register voters',
            candidate=False,
            fields=State._fields,
            initial=initial,
            transitions=self.transitions,
            invariants={
                'nothing_is_lost': self.nothing_is_lost,
                'changes_are_made_once': self.changes_are_made_once,
                'answers_are_true': self.answers_are_true,
                'finished_voters_hold_everything': (
                    self.finished_voters_hold_everything
                ),
            },
        )
        return specs.BoundedModel(
            bounds=str(self.bounds),
            protocol=protocol,
            reached=reached or {},
            max_states=max_states,
        )


def _set(items: tuple, index: int, item: typing.Any) -> tuple:
    return (*items[:index], item, *items[index + 1 :])


def _forget_promise(disk: Disk, going: list[int]) -> Disk:
    """Lower a promise while it still blocks the same attempts."""
    if disk.promised in going or disk.promised == NONE:
        return disk
    blocked = [n for n in going if n < disk.promised]
    promised = max((n + 1 for n in blocked), default=0)
    if disk.synced_promised == disk.promised:
        return disk._replace(promised=promised, synced_promised=promised)
    return disk._replace(promised=promised)


def _column(state: State, number: int) -> tuple:
    bits = [
        (a.promised >> number & 1, a.holders >> number & 1)
        for a in state.attempts
    ]
    return (state.disks[number], bits)


def _move_attempt(attempt: Attempt, moved: dict[int, int]) -> Attempt:
    if attempt is OVER:
        return OVER
    return attempt._replace(
        promised=_move(attempt.promised, moved),
        holders=_move(attempt.holders, moved),
    )


def _move(disks: int, moved: dict[int, int]) -> int:
    result = disks
    for new in moved.values():
        result &= ~(1 << new)
    for old, new in moved.items():
        result |= (disks >> old & 1) << new
    return result
