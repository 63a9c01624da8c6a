"""Model of how an instance confirms that its configuration is current.

Changes are written to three voters one after another. One instance sends
requests for confirmation ("asks"), and one voter checks the ballot with a
majority. Asks, checks and answers may be delayed or lost, and checks may
overlap. Times are ages in steps. They stop at the time to live, so that the
check covers any length of time.
"""

from collections import abc
import typing

import minicheck

import specs

#: The time to live of a confirmation, in steps.
TTL = 2
VOTERS = 3
QUORUM = 2
#: The age of an event that has not happened.
NEVER = -1


class Ask(typing.NamedTuple):
    """A request for confirmation, its answer, or the confirmation from it.

    :param age: steps since the request was sent.
    :param ballot: the ballot that is confirmed.
    """

    age: int
    ballot: int = 0


class Check(typing.NamedTuple):
    """A check with a majority, which a voter runs.

    :param answers: whether it began after the waiting ask had arrived.
    :param reports: the ballot that each voter reported.
    """

    answers: bool
    reports: tuple[int, ...]


class State(typing.NamedTuple):
    """The whole system.

    :param accepted: the latest ballot that each voter accepted.
    :param chosen_ages: steps since each ballot was chosen.
    :param ask: the latest ask, in transit to the voter.
    :param waiting: the ask that waits at the voter.
    :param checks: the checks in progress, the oldest first.
    :param answers: the answers in transit: the ballot and the age of the ask.
    :param confirmed: the confirmation that the instance acts on.
    :param told: the latest ballot that it reported as confirmed.
    """

    accepted: tuple[int, ...]
    chosen_ages: tuple[int, ...]
    ask: Ask | None
    waiting: Ask | None
    checks: tuple[Check, ...]
    answers: tuple[Ask, ...]
    confirmed: Ask | None
    told: int


class ReadsModel:
    """Builds the transitions of the model.

    :param changes: number of changes that are written.
    :param answers: most answers in transit at one time.
    :param checks: most checks in progress at one time.
    :param without: the safeguard to leave out, or ``None``.
    """

    def __init__(
        self,
        *,
        changes: int,
        answers: int,
        without: str | None,
        checks: int = 1,
    ) -> None:
        self.ballots = range(1, changes + 1)
        self.most_answers = answers
        self.most_checks = checks
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
        answers = map(_older_ask, state.answers)
        return state._replace(
            chosen_ages=tuple(map(_older, state.chosen_ages)),
            ask=_older_ask(state.ask),
            waiting=_older_ask(state.waiting),
            # Answers of that age have expired.
            answers=tuple(a for a in answers if a.age < TTL),
            confirmed=_older_ask(state.confirmed),
        )

    def writes(self, state: State) -> abc.Iterator[tuple[str, State]]:
        """Yield the steps of Acceptor.accept.

        A change is written only after the one before it was chosen.
        """
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
        """Yield the steps of ConfirmationRequester.tick, Checker.add_request.

        The latest ask replaces one that is in transit or waiting.
        """
        yield 'an ask leaves', state._replace(ask=Ask(age=0))
        if state.ask is not None:
            # Checks in progress may have read before the ask was sent.
            checks = tuple(c._replace(answers=False) for c in state.checks)
            yield (
                'the ask arrives',
                state._replace(ask=None, waiting=state.ask, checks=checks),
            )

    def checks(self, state: State) -> abc.Iterator[tuple[str, State]]:
        """Yield the steps of Checker._begin_if_due, on_report and settle."""
        if len(state.checks) < self.most_checks:
            check = Check(
                answers=state.waiting is not None, reports=(NEVER,) * VOTERS
            )
            checks = (*state.checks, check)
            yield 'a check begins', state._replace(checks=checks)
        for place, check in enumerate(state.checks):
            yield (
                f'check {place} is given up',
                state._replace(checks=_without(state.checks, place)),
            )
            for number, report in enumerate(check.reports):
                if report == NEVER:
                    held = state.accepted[number]
                    reports = _set(check.reports, number, held)
                    after = check._replace(reports=reports)
                    yield (
                        f'voter {number} reports {held} to check {place}',
                        state._replace(
                            checks=_set(state.checks, place, after)
                        ),
                    )
            for ballot in self.confirmable(check):
                yield from self.end_check(state, place, ballot)

    def confirmable(self, check: Check) -> list[int]:
        """Return the ballots that Check.confirms allows.

        A quorum must have accepted exactly this ballot.
        """
        reports = [report for report in check.reports if report != NEVER]
        if self.without == 'quorum_confirms':
            return reports
        if self.without == 'same_ballot_confirms':
            return [max(reports)] if len(reports) >= QUORUM else []
        return [b for b in set(reports) if reports.count(b) >= QUORUM]

    def end_check(
        self, state: State, place: int, ballot: int
    ) -> abc.Iterator[tuple[str, State]]:
        """Yield the step of Checker._end.

        It answers the ask that arrived before the check began.
        """
        answers = state.checks[place].answers
        if self.without == 'check_after_ask':
            answers = True
        # Checks that began earlier end, too.
        done = state._replace(checks=state.checks[place + 1 :])
        if state.waiting is None or not answers:
            yield f'check {place} ends', done
            return
        answer = state.waiting._replace(ballot=ballot)
        under_way = (*state.answers, answer)
        if len(under_way) <= self.most_answers:
            yield (
                f'check {place} answers with ballot {ballot}',
                done._replace(waiting=None, answers=tuple(sorted(under_way))),
            )

    def answers(self, state: State) -> abc.Iterator[tuple[str, State]]:
        """Yield the steps of Register._on_confirmed and _confirm."""
        for number, answer in enumerate(state.answers):
            rest = (
                *state.answers[:number],
                *state.answers[number + 1 :],
            )
            age = 0 if self.without == 'time_from_send' else answer.age
            latest = state.ask or state.waiting
            if self.without == 'unique_ask_ids' and latest is not None:
                age = latest.age
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
        """Yield the steps of RegisterState.adopt.

        Another instance sends the ballot that it has confirmed. This may be
        any ballot that was ever chosen, however long ago.
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
            # A later ballot may have been chosen since, so that the age of
            # the confirmation does not change.
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
        """Yield the restart of the instance, which reads its disk."""
        if state.confirmed is None:
            return
        confirmed = None
        if self.without == 'read_after_restart':
            confirmed = state.confirmed._replace(age=0)
        # Asks have unique ids, so answers to asks from before the restart
        # are ignored. This includes the answer to the waiting ask.
        keeps = self.without == 'unique_ask_ids'
        answers = state.answers if keeps else ()
        waiting = state.waiting if keeps else None
        yield (
            'the instance restarts',
            state._replace(
                confirmed=confirmed,
                ask=None,
                answers=answers,
                waiting=waiting,
            ),
        )

    # Invariants

    def is_fresh(self, confirmed: Ask | None) -> bool:
        """Return the result of Register.is_fresh."""
        if confirmed is None:
            return False
        return confirmed.age < TTL or self.without == 'confirmation_runs_out'

    def nobody_acts_on_an_old_revision(
        self, state: dict[str, typing.Any]
    ) -> bool:
        """An instance that should have stopped does not act any more.

        It has to stop one time to live after a later ballot was chosen. The
        same time passes before it is reported as stopped, and that time
        cannot start before the ballot was chosen.
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
        """The instance does not act on a value that only a minority has."""
        confirmed = state['confirmed']
        if confirmed is None or confirmed.ballot == 0:
            return True
        return state['chosen_ages'][confirmed.ballot - 1] != NEVER

    def confirmed_never_reverts(self, state: dict[str, typing.Any]) -> bool:
        """The instance acts on no ballot before one it reported confirmed."""
        if not self.is_fresh(state['confirmed']):
            return True
        return state['confirmed'].ballot >= state['told']

    def build(
        self, reached: abc.Mapping[str, abc.Callable]
    ) -> specs.BoundedModel:
        """Return the model with its bounds."""
        initial = State(
            accepted=(0,) * VOTERS,
            chosen_ages=(NEVER,) * len(self.ballots),
            ask=None,
            waiting=None,
            checks=(),
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
                f'{TTL} steps, {self.most_answers} answers and '
                f'{self.most_checks} checks under way, any time'
            ),
            protocol=protocol,
            reached=reached,
        )


def _older(age: int) -> int:
    return age if age == NEVER else min(age + 1, TTL)


def _older_ask(ask: Ask | None) -> Ask | None:
    return None if ask is None else ask._replace(age=_older(ask.age))


def _sort_voters(state: State) -> State:
    """Return the same state for all that differ only in voters' names."""
    rows = zip(state.accepted, *(c.reports for c in state.checks), strict=True)
    accepted, *reports = zip(*sorted(rows), strict=True)
    checks = tuple(
        check._replace(reports=sorted_reports)
        for check, sorted_reports in zip(state.checks, reports, strict=True)
    )
    return state._replace(accepted=accepted, checks=checks)


def _set(items: tuple, index: int, item: typing.Any) -> tuple:
    return (*items[:index], item, *items[index + 1 :])


def _without(items: tuple, index: int) -> tuple:
    return (*items[:index], *items[index + 1 :])
