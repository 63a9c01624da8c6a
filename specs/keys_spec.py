"""Specification of how long an account's key works after it was taken away.

One entry has the document with the key. At some moment a document without it
is acknowledged. The entry asks for confirmation again and again; a check that
begins after the ask was sent tells it which document is the latest. It sends a
request to a backend server only while that proof is young, and looks again
before each send (``entry/account_check.py``). It may be suspended or cut off
at any time, for any time, and learn a document from another entry.

Times are ages in steps, counted up to a limit. ``register_reads`` models how
the check itself works.
"""

import functools
import typing

import minicheck

import specs

#: Steps within which a key that was taken away must have stopped working.
BOUND = 3
#: Steps for which a proof allows sends. It ends within the bound.
PROOF = 3
#: Steps that a healthy entry's ask takes to be answered, at most.
ANSWER = 1
NEVER = -1

SAFEGUARDS_BY_NAME = {
    'proof_expires': 'an entry that is cut off uses the key for ever',
    'from_the_ask': 'an answer that was long under way counts from its'
    ' arrival',
    'learned_is_no_proof': 'entries that are cut off renew the key for each'
    ' other',
    'checked_before_each_send': 'a request that waited, or that is sent'
    ' again, runs with a key that is gone',
    'includes_suspension': 'an entry that was suspended wakes with a young'
    ' proof',
    'lost_at_restart': 'an entry that starts again trusts an old document',
    'asks_in_time': 'a healthy entry refuses requests between two proofs',
}
#: Safeguards without which a healthy entry refuses.
_PROGRESS_SAFEGUARDS = ('asks_in_time',)


class State(typing.NamedTuple):
    """The whole system.

    :param gone: steps since the document without the key was acknowledged.
    :param proof: steps since the ask that confirmed the held document left,
        by the entry's clock.
    :param has_key: whether the held document has the key.
    :param ask: steps since the ask under way left, by the entry's clock.
    :param told: what the check told on that ask: the document has the key;
        ``None`` before the check.
    :param waiting: whether a request was admitted and waits for a send.
    :param is_suspended: whether the entry stands still.
    :param sent_late: whether a send happened after the bound.
    """

    gone: int
    proof: int
    has_key: bool
    ask: int
    told: bool | None
    waiting: bool
    is_suspended: bool
    sent_late: bool


class KeysModel:
    """Builds the transitions.

    :param is_healthy: the entry is never suspended nor cut off, and its asks
        are answered in time.
    :param without: the safeguard to leave out, or ``None``.
    """

    def __init__(self, *, is_healthy: bool, without: str | None) -> None:
        self.is_healthy = is_healthy
        self.without = without

    def steps(self, values: tuple) -> list[tuple[str, tuple]]:
        """Return every step from a state."""
        state = State(*values)
        found = [*self.of_time(state)]
        if state.gone == NEVER:
            found.append(('the key is taken away', state._replace(gone=0)))
        if state.ask != NEVER and state.told is None:
            told = state.gone == NEVER
            found.append(('a check ends', state._replace(told=told)))
        if state.is_suspended:
            found.append(('it wakes', state._replace(is_suspended=False)))
        else:
            found += self.of_the_entry(state)
        return [(label, tuple(after)) for label, after in found]

    def of_time(self, state: State) -> list[tuple[str, State]]:
        """Return the passing of a step."""
        if self.is_healthy and (
            state.ask >= ANSWER
            or (state.ask == NEVER and self.must_ask(state))
        ):
            # Its answer arrives, or its ask leaves, before time passes.
            return []
        stands = state.is_suspended and self.without == 'includes_suspension'
        after = state._replace(gone=_older(state.gone))
        if not stands:
            after = after._replace(
                proof=_older(state.proof), ask=_older(state.ask)
            )
        return [('time passes', after)]

    def must_ask(self, state: State) -> bool:
        if self.without == 'asks_in_time':
            return state.proof >= PROOF
        return state.proof + ANSWER + 1 >= PROOF

    def of_the_entry(self, state: State) -> list[tuple[str, State]]:
        """Return the steps of the entry."""
        found = []
        is_idle = state.ask == NEVER
        if not self.is_healthy or (is_idle and self.must_ask(state)):
            found.append(('an ask leaves', state._replace(ask=0, told=None)))
        if state.told is not None:
            proof = 0 if self.without == 'from_the_ask' else state.ask
            if state.has_key == state.told:
                proof = min(proof, state.proof)
            # The document never goes back.
            has_key = state.has_key and state.told
            found.append(
                (
                    'the answer arrives',
                    state._replace(
                        has_key=has_key, proof=proof, ask=NEVER, told=None
                    ),
                )
            )
        if self.holds(state):
            found.append(('a request arrives', state._replace(waiting=True)))
        may_send = self.holds(state)
        if self.without == 'checked_before_each_send':
            may_send = True
        if state.waiting and may_send:
            late = state.gone >= BOUND
            found.append(
                (
                    'it is sent',
                    state._replace(sent_late=state.sent_late or late),
                )
            )
        if not self.is_healthy:
            found += self.of_trouble(state)
        return found

    def of_trouble(self, state: State) -> list[tuple[str, State]]:
        """Return what may happen to the entry."""
        learned = 0 if self.without == 'learned_is_no_proof' else state.proof
        restarted = 0 if self.without == 'lost_at_restart' else BOUND
        return [
            ('it is suspended', state._replace(is_suspended=True)),
            ('another entry confirms it', state._replace(proof=learned)),
            (
                'it starts again',
                state._replace(
                    proof=restarted,
                    ask=NEVER,
                    told=None,
                    waiting=False,
                ),
            ),
        ]

    def holds(self, state: State) -> bool:
        """Return the result of AccountCheck.check_again."""
        is_young = state.proof < PROOF or self.without == 'proof_expires'
        return state.has_key and is_young

    def never_refuses(self, state: dict[str, typing.Any]) -> bool:
        """A healthy entry accepts the key until it hears that it is gone."""
        return not self.is_healthy or state['proof'] < PROOF


def _older(age: int) -> int:
    return age if age == NEVER else min(age + 1, BOUND)


def _model(is_healthy: bool, without: str | None) -> specs.BoundedModel:
    machine = KeysModel(is_healthy=is_healthy, without=without)
    protocol = minicheck.Protocol(
        name='keys',
        candidate=False,
        fields=State._fields,
        initial=tuple(
            State(
                gone=NEVER,
                proof=0,
                has_key=True,
                ask=NEVER,
                told=None,
                waiting=False,
                is_suspended=False,
                sent_late=False,
            )
        ),
        transitions=functools.partial(KeysModel.steps, machine),
        invariants={
            'nothing is sent after the bound': (
                lambda state: not state['sent_late']
            ),
            'a healthy entry refuses no key that it holds': (
                machine.never_refuses
            ),
        },
    )
    reached = {
        'the key is gone and known to be': (
            lambda state: state['gone'] == BOUND and not state['has_key']
        ),
        'a request waits': lambda state: state['waiting'],
    }
    where = 'healthy' if is_healthy else 'suspended, cut off, started again'
    return specs.BoundedModel(
        bounds=f'1 entry, {where}, any time',
        protocol=protocol,
        reached=reached,
    )


def build(*, without: str | None = None) -> tuple[specs.BoundedModel, ...]:
    """Return the models; see :mod:`specs`.

    :param without: the safeguard to leave out, or ``None``.
    """
    if without in _PROGRESS_SAFEGUARDS:
        return (_model(True, without),)
    if without is not None:
        return (_model(False, without),)
    return _model(False, None), _model(True, None)
