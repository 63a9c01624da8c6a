"""How an instance learns that its configuration is still the current one.

Changes are written one after the other on three voters. One instance
asks, one voter checks; asks, checks and answers may be late or lost. Times
are ages in steps, kept up to the time to live, so that a sweep covers any
length of time.
"""

from collections import abc
import typing

import minicheck

import specs

#: The time to live of a confirmation, in steps.
TTL = 2
VOTERS = 3
QUORUM = 2
#: The age of what has not happened.
NEVER = -1


class Ask(typing.NamedTuple):
    """An ask, or an instance's confirmation by its answer."""

    age: int
    ballot: int = 0
    has_arrived: bool = False


class Check(typing.NamedTuple):
    """A voter's majority check.

    :param ask_age: of the ask that it answers; ``NEVER`` when it has none.
    :param reports: the ballot that each voter reported.
    """

    ask_age: int
    reports: tuple[int, ...]


class State(typing.NamedTuple):
    """The whole of it.

    :param accepted: the ballot that each voter holds.
    :param chosen_ages: how long ago each ballot was chosen.
    :param answers: answers under way: the ballot and the age of the ask.
    :param confirmed: what the instance acts on.
    :param told: the latest ballot that it said it had confirmed.
    """

    accepted: tuple[int, ...]
    chosen_ages: tuple[int, ...]
    ask: Ask | None
    check: Check | None
    answers: tuple[Ask, ...]
    confirmed: Ask | None
    told: int


class ReadsModel:
    """Builds the transitions, with one safeguard left out or none.

    :param changes: how many are written.
    :param answers: how many answers may be under way at once.
    """

    def __init__(
        self, *, changes: int, answers: int, without: str | None
    ) -> None:
        self.ballots = range(1, changes + 1)
        self.most_answers = answers
        self.without = without

    def transitions(self, state: State) -> list[tuple[str, State]]:
        """Return every step from a state."""
        steps = [('time passes', self.pass_time(state))]
        steps += self.writes(state)
        steps += self.asks(state)
        steps += self.checks(state)
        steps += self.answers(state)
        steps += self.adopts(state)
        steps += self.restarts(state)
        return [(label, _sort_voters(after)) for label, after in steps]

    def pass_time(self, state: State) -> State:
        check = state.check
        if check is not None:
            check = check._replace(ask_age=_older(check.ask_age))
        answers = map(_older_ask, state.answers)
        return state._replace(
            chosen_ages=tuple(map(_older, state.chosen_ages)),
            ask=_older_ask(state.ask),
            check=check,
            # An answer as old as that lets nothing be admitted any more.
            answers=tuple(a for a in answers if a.age < TTL),
            confirmed=_older_ask(state.confirmed),
        )

    def writes(self, state: State) -> abc.Iterator[tuple[str, State]]:
        """Acceptor.accept; the second change follows the first."""
        for ballot in self.ballots:
            before = ballot - 1
            if before and state.chosen_ages[before - 1] == NEVER:
                continue
            for number, held in enumerate(state.accepted):
                if held >= ballot:
                    continue
                accepted = _set(state.accepted, number, ballot)
                ages = state.chosen_ages
                is_chosen = ages[ballot - 1] != NEVER
                holders = sum(held == ballot for held in accepted)
                if not is_chosen and holders >= QUORUM:
                    ages = _set(ages, ballot - 1, 0)
                yield (
                    f'voter {number} accepts ballot {ballot}',
                    state._replace(accepted=accepted, chosen_ages=ages),
                )

    def asks(self, state: State) -> abc.Iterator[tuple[str, State]]:
        """Asker.tick and Register._on_confirm."""
        yield 'an ask leaves', state._replace(ask=Ask(age=0))
        if state.ask is not None and not state.ask.has_arrived:
            arrived = state.ask._replace(has_arrived=True)
            yield 'the ask arrives', state._replace(ask=arrived)

    def checks(self, state: State) -> abc.Iterator[tuple[str, State]]:
        """Register._start_check, _on_report and _settle_check."""
        waiting = state.ask is not None and state.ask.has_arrived
        if state.check is None:
            check = Check(
                ask_age=state.ask.age if waiting else NEVER,
                reports=(NEVER,) * VOTERS,
            )
            ask = None if waiting else state.ask
            yield 'a check begins', state._replace(check=check, ask=ask)
            return
        check = state.check
        if check.ask_age == TTL:
            yield 'the check is given up', state._replace(check=None)
        for number, report in enumerate(check.reports):
            if report == NEVER:
                reports = _set(check.reports, number, state.accepted[number])
                yield (
                    f'voter {number} reports {state.accepted[number]}',
                    state._replace(check=check._replace(reports=reports)),
                )
        for ballot in self.confirmable(check):
            yield from self.end_check(state, ballot, waiting)

    def confirmable(self, check: Check) -> list[int]:
        """Check.confirms: a quorum holds exactly this ballot."""
        reports = [report for report in check.reports if report != NEVER]
        if self.without == 'quorum_confirms':
            return reports
        if self.without == 'same_ballot_confirms':
            return [max(reports)] if len(reports) >= QUORUM else []
        return [b for b in set(reports) if reports.count(b) >= QUORUM]

    def end_check(
        self, state: State, ballot: int, waiting: bool
    ) -> abc.Iterator[tuple[str, State]]:
        """Register._end_check: answer whoever asked before it began."""
        age = state.check.ask_age
        if self.without == 'check_after_ask' and waiting:
            age = state.ask.age
        done = state._replace(check=None)
        if age == NEVER:
            return
        answers = (*state.answers, Ask(age=age, ballot=ballot))
        if len(answers) <= self.most_answers:
            yield (
                f'the check answers with ballot {ballot}',
                done._replace(answers=tuple(sorted(answers))),
            )

    def answers(self, state: State) -> abc.Iterator[tuple[str, State]]:
        """Register._on_confirmed and _confirm."""
        for number, answer in enumerate(state.answers):
            rest = (
                *state.answers[:number],
                *state.answers[number + 1 :],
            )
            age = 0 if self.without == 'time_from_send' else answer.age
            if self.without == 'unique_ask_ids' and state.ask is not None:
                age = state.ask.age
            confirmed = state.confirmed
            if confirmed is not None and self.without != 'no_older_ballot':
                if answer.ballot < confirmed.ballot:
                    continue
                if answer.ballot == confirmed.ballot:
                    age = min(age, confirmed.age)
            confirmed = Ask(age=age, ballot=answer.ballot)
            yield (
                f'the instance confirms ballot {answer.ballot}',
                state._replace(
                    answers=rest,
                    confirmed=confirmed,
                    told=max(state.told, answer.ballot),
                ),
            )

    def adopts(self, state: State) -> abc.Iterator[tuple[str, State]]:
        """Knowledge.adopt: another instance tells what it has confirmed.

        That other one may have confirmed any ballot that was ever chosen,
        however long ago.
        """
        confirmed = state.confirmed
        for ballot, chosen_age in zip(
            self.ballots, state.chosen_ages, strict=True
        ):
            is_held = ballot in state.accepted
            is_chosen = chosen_age != NEVER
            if not is_chosen and not (
                is_held and self.without == 'adopts_chosen'
            ):
                continue
            is_older = confirmed is not None and ballot <= confirmed.ballot
            if is_older and self.without != 'no_older_adopted':
                continue
            # It tells nothing of whether a later one was chosen since.
            age = TTL if confirmed is None else confirmed.age
            if self.without == 'adopted_keeps_age':
                age = 0
            yield (
                f'the instance adopts ballot {ballot}',
                state._replace(
                    confirmed=Ask(age=age, ballot=ballot),
                    told=max(state.told, ballot),
                ),
            )

    def restarts(self, state: State) -> abc.Iterator[tuple[str, State]]:
        """The instance starts anew and knows what its disk remembers."""
        if state.confirmed is None:
            return
        confirmed = None
        if self.without == 'read_after_restart':
            confirmed = state.confirmed._replace(age=0)
        # Answers to asks from before have ids that no ask after has.
        keeps = self.without == 'unique_ask_ids'
        answers = state.answers if keeps else ()
        check = state.check
        if check is not None and not keeps:
            # So has the answer that a check under way will give.
            check = check._replace(ask_age=NEVER)
        yield (
            'the instance restarts',
            state._replace(
                confirmed=confirmed, ask=None, answers=answers, check=check
            ),
        )

    # What must hold

    def is_fresh(self, confirmed: Ask | None) -> bool:
        """Register.is_fresh."""
        if confirmed is None:
            return False
        return confirmed.age < TTL or self.without == 'confirmation_runs_out'

    def nobody_acts_on_an_old_revision(
        self, state: dict[str, typing.Any]
    ) -> bool:
        """Whoever is said to have stopped, or should have, has.

        That is one time to live after a later ballot was chosen; nobody can
        know of the ballot sooner, and start to count.
        """
        confirmed = state['confirmed']
        if not self.is_fresh(confirmed):
            return True
        stops_after = TTL
        if self.without == 'stopped_after_time_to_live':
            stops_after = TTL - 1
        return all(
            age < stops_after
            for ballot, age in zip(
                self.ballots, state['chosen_ages'], strict=True
            )
            if ballot > confirmed.ballot
        )

    def confirmed_is_chosen(self, state: dict[str, typing.Any]) -> bool:
        """Nobody acts on what only a minority holds."""
        confirmed = state['confirmed']
        if confirmed is None or confirmed.ballot == 0:
            return True
        return state['chosen_ages'][confirmed.ballot - 1] != NEVER

    def confirmed_never_reverts(self, state: dict[str, typing.Any]) -> bool:
        """Whoever said it has confirmed a ballot acts on no earlier one."""
        if not self.is_fresh(state['confirmed']):
            return True
        return state['confirmed'].ballot >= state['told']

    def build(
        self, reached: abc.Mapping[str, abc.Callable]
    ) -> specs.BoundedModel:
        """Return the model within its bounds."""
        initial = State(
            accepted=(0,) * VOTERS,
            chosen_ages=(NEVER,) * len(self.ballots),
            ask=None,
            check=None,
            answers=(),
            confirmed=None,
            told=0,
        )
        protocol = minicheck.Protocol(
            name='register reads',
            candidate=False,
            fields=State._fields,
            initial=initial,
            transitions=self.transitions,
            invariants={
                'nobody_acts_on_an_old_revision': (
                    self.nobody_acts_on_an_old_revision
                ),
                'confirmed_is_chosen': self.confirmed_is_chosen,
                'confirmed_never_reverts': self.confirmed_never_reverts,
            },
        )
        return specs.BoundedModel(
            bounds=(
                f'{VOTERS} voters, {len(self.ballots)} changes, time to live '
                f'{TTL} steps, {self.most_answers} answers under way, any time'
            ),
            protocol=protocol,
            reached=reached,
        )


def _older(age: int) -> int:
    return age if age == NEVER else min(age + 1, TTL)


def _older_ask(ask: Ask | None) -> Ask | None:
    return None if ask is None else ask._replace(age=_older(ask.age))


def _sort_voters(state: State) -> State:
    """Return the state that stands for all that differ by voters' names."""
    check = state.check
    if check is None:
        return state._replace(accepted=tuple(sorted(state.accepted)))
    pairs = sorted(zip(state.accepted, check.reports, strict=True))
    accepted, reports = zip(*pairs, strict=True)
    return state._replace(
        accepted=accepted, check=check._replace(reports=reports)
    )


def _set(items: tuple, index: int, item: typing.Any) -> tuple:
    return (*items[:index], item, *items[index + 1 :])
