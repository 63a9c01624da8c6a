"""Specification of the configuration register.

It has three models: the voters and their replacement, the reads that confirm
a configuration, and the formation. ``docs/REGISTER.md`` names the functions
of the code for their steps. A disk that is lost for good has the same effect
as one that does not respond, which any disk may do in every model. So disks
are lost in a separate step only where that can expose a missing safeguard.
"""

import itertools
import typing

import specs
from specs import register_formation
from specs import register_reads
from specs import register_voters

#: The documents and the revisions they are based on: x and z come from
#: concurrent operators, y from one who has read the first of these two.
DOCUMENTS = (('x', 0), ('y', 1), ('z', 0))

_VOTERS_SAFEGUARDS = {
    'promise_blocks_older_ballots': 'a late accept overwrites a later value',
    'read_latest_accepted': 'a value that may be chosen is overwritten',
    'unique_ballots': 'a restarted proposer writes twice under one ballot',
    'compare_and_set': 'the second of two operators overwrites the first',
    'change_ids': 'an applied change that is sent again gets a conflict',
    'write_back_before_answer': 'an answer reports a value that only a'
    ' minority has accepted',
}
_FAULT_SAFEGUARDS = {
    'sync_before_reply': 'a promise is lost after it was sent',
    'new_identity_for_lost_disk': 'an empty disk votes under its old name',
}
_REPLACEMENT_SAFEGUARDS = {
    'quorum_of_the_value_read': 'a stale proposer queries the old voters only',
    'quorum_of_present_set': 'the coming voters decide without the present'
    ' ones',
    'quorum_of_coming_set': 'the present voters decide without the coming'
    ' ones',
    'chosen_before_replacement_ends': 'old and new voters decide separately',
    'caught_up_before_replacement_ends': 'a voter counts although it has not'
    ' copied the claims',
}
_REMOVAL_SAFEGUARDS = {
    'removal_in_two_steps': 'two removals leave sets that decide separately',
}
_READS_SAFEGUARDS = {
    'quorum_confirms': 'an isolated voter confirms its own value',
    'same_ballot_confirms': 'an instance acts on a value that may still be'
    ' lost',
    'check_after_ask': 'a check answers a request that came after it began',
    'time_from_send': 'the time to live of a late answer starts at its'
    ' arrival',
    'no_older_ballot': 'a late answer restores an earlier revision',
    'read_after_restart': 'a restarted instance acts on its stored revision',
    'unique_ask_ids': 'an answer to a request from before a restart counts'
    ' after it',
    'confirmation_runs_out': 'an isolated instance continues for ever',
    'stopped_after_time_to_live': 'an instance that still acts is reported as'
    ' stopped',
    'adopts_chosen': 'another instance passes on a value that may be lost',
    'no_older_adopted': 'another instance passes on an earlier revision',
    'adopted_keeps_age': 'messages from other instances keep an isolated'
    ' instance active',
}
_FORMATION_SAFEGUARDS = {
    'all_disks_form': 'voters that took no part form another register',
    'formation_binds_disks': 'the remaining disks of a lost register form'
    ' another one',
}
SAFEGUARDS_BY_NAME = {
    **_VOTERS_SAFEGUARDS,
    **_FAULT_SAFEGUARDS,
    **_REPLACEMENT_SAFEGUARDS,
    **_REMOVAL_SAFEGUARDS,
    **_READS_SAFEGUARDS,
    **_FORMATION_SAFEGUARDS,
}


def build(*, without: str | None = None) -> tuple[specs.BoundedModel, ...]:
    """Return the models.

    :param without: the safeguard to leave out, or ``None``. Only the models
        that depend on it are returned then.
    """
    families = (
        (_VOTERS_SAFEGUARDS, _changes),
        (_FAULT_SAFEGUARDS, _disk_faults),
        (_REPLACEMENT_SAFEGUARDS, _replacements),
        (_REMOVAL_SAFEGUARDS, _removals),
        (_READS_SAFEGUARDS, _reads),
        (_FORMATION_SAFEGUARDS, _formation),
    )
    models: list[specs.BoundedModel] = []
    for safeguards, build_family in families:
        if without is None or without in safeguards:
            models += build_family(without)
    return tuple(models)


def build_deep() -> tuple[specs.BoundedModel, ...]:
    """Return models that take minutes."""
    replacement = register_voters.Bounds(
        wishes=('+', '!', 'x', 'y'),
        documents=DOCUMENTS[:2],
        replaceable=(0,),
        new_disks=1,
    )
    lost = register_voters.Bounds(
        wishes=('+', '!', 'x'),
        documents=DOCUMENTS[:1],
        replaceable=(0,),
        new_disks=1,
        losses=2,
    )
    given_up = register_voters.Bounds(
        wishes=('+', '+', '!'), replaceable=(0,), new_disks=2
    )
    changes = register_voters.Bounds(
        wishes=('xyz.',) * 4, documents=DOCUMENTS, hearsay=True
    )
    reads = register_reads.ReadsModel(changes=2, answers=1, without=None)
    return (
        _voters(changes, None),
        _voters(replacement, None),
        _voters(lost, None),
        _voters(given_up, None),
        reads.build(_READS_REACHED),
    )


def _changes(without: str | None) -> list[specs.BoundedModel]:
    bounds = register_voters.Bounds(
        wishes=('xyz.',) * 3, documents=DOCUMENTS, hearsay=True
    )
    return [_voters(bounds, without, {'y after x': _has_chosen('x', 'y')})]


def _disk_faults(without: str | None) -> list[specs.BoundedModel]:
    bounds = register_voters.Bounds(
        wishes=('xy', 'xy.', 'yz.'),
        documents=DOCUMENTS,
        losses=1,
        crashes=True,
    )
    return [_voters(bounds, without, {'y after x': _has_chosen('x', 'y')})]


def _replacements(without: str | None) -> list[specs.BoundedModel]:
    """Return models with the start and end of a replacement and a change.

    There is one model for each order of the three.
    """
    return [
        _voters(
            register_voters.Bounds(
                wishes=wishes,
                documents=DOCUMENTS[:1],
                replaceable=(0,),
                new_disks=1,
            ),
            without,
            {'x': _has_chosen('x'), **_replacement_reached(wishes)},
        )
        for wishes in itertools.permutations('+!x')
    ]


def _removals(without: str | None) -> list[specs.BoundedModel]:
    """Return a model with the removals of two voters of four, and a change.

    A third attempt may end either of them or write its value back.
    """
    bounds = register_voters.Bounds(
        voters=4,
        wishes=('-', '-', '!.x'),
        documents=DOCUMENTS[:1],
        replaceable=(0, 3),
    )
    reached = {'a removal': _has_chosen('-0')}
    if without is None:
        reached['its end'] = _has_chosen('-0', '!')
    return [_voters(bounds, without, reached)]


def _replacement_reached(wishes: tuple[str, ...]) -> dict:
    if wishes.index('+') < wishes.index('!'):
        return {'its end': _has_chosen('+03', '!')}
    return {'its start': _has_chosen('+03')}


def _voters(
    bounds: register_voters.Bounds,
    without: str | None,
    reached: dict | None = None,
) -> specs.BoundedModel:
    model = register_voters.VotersModel(bounds=bounds, without=without)
    return model.build(reached=reached, max_states=5_000_000)


def _has_chosen(*events: str) -> typing.Callable:
    """Return a predicate that is true for some chosen value.

    The value's lineage must have these events in this order.
    """
    sound = register_voters.VotersModel(
        bounds=register_voters.Bounds(wishes=()), without=None
    )

    def check(state: dict[str, typing.Any]) -> bool:
        return any(
            [event for event in lineage if event in events] == list(events)
            for lineage in sound.chosen(state)
        )

    return check


_READS_REACHED = {
    'the first change confirmed': lambda state: (
        state['confirmed'] is not None and state['confirmed'].ballot == 1
    )
}


def _reads(without: str | None) -> list[specs.BoundedModel]:
    # An adopted ballot can be old only if there is a later one.
    has_two = without in ('adopted_keeps_age', 'no_older_adopted')
    model = register_reads.ReadsModel(
        changes=2 if has_two else 1,
        answers=1 if has_two else 2,
        without=without,
    )
    models = [model.build(_READS_REACHED)]
    if without in (None, 'check_after_ask'):
        overlapping = register_reads.ReadsModel(
            changes=1, answers=1, checks=2, without=without
        )
        models.append(overlapping.build(_READS_REACHED))
    return models


def _formation(without: str | None) -> list[specs.BoundedModel]:
    model = register_formation.FormationModel(losses=2, without=without)
    return [model.build()]
