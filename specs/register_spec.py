"""The configuration register: everything that is checked of it.

Three models: the voters and their replacement, the reads that confirm a
configuration, and the formation. ``docs/REGISTER.md`` maps their steps to
the functions of the code. A disk that is lost for good does no more than one
that stays silent, which any disk may do in every model; so disks are lost by
a step of their own only where that can show a missing safeguard.
"""

import itertools
import typing

import specs
from specs import register_formation
from specs import register_reads
from specs import register_voters

#: The revisions that the documents are made from: x and z by operators who
#: race, y by one who has seen the first of them.
DOCUMENTS = (('x', 0), ('y', 1), ('z', 0))

_VOTERS_SAFEGUARDS = {
    'promise_blocks_older_ballots': 'a late accept undoes a later value',
    'read_latest_accepted': 'a value that may be chosen is written over',
    'unique_ballots': 'a restarted proposer writes twice under one ballot',
    'compare_and_set': 'the second of two operators overwrites the first',
    'change_ids': 'a resend of an applied change is told of a conflict',
    'write_back_before_answer': 'an answer tells of what a minority held',
}
_MISHAP_SAFEGUARDS = {
    'sync_before_reply': 'a promise that was told of is forgotten',
    'new_identity_for_lost_disk': 'an empty disk votes under its old name',
}
_REPLACEMENT_SAFEGUARDS = {
    'quorum_of_the_value_read': 'a stale proposer asks the old voters only',
    'quorum_of_present_set': 'the coming voters decide beside the present',
    'quorum_of_coming_set': 'the present voters decide without the coming',
    'chosen_before_replacement_ends': 'old and new voters decide apart',
    'caught_up_before_replacement_ends': 'a voter counts but holds nothing',
}
_READS_SAFEGUARDS = {
    'quorum_confirms': 'an isolated voter confirms what it holds',
    'same_ballot_confirms': 'a value is acted on that may still vanish',
    'check_after_ask': 'an older check answers a later ask',
    'time_from_send': 'a late answer counts from its arrival',
    'no_older_ballot': 'a late answer brings an earlier revision back',
    'read_after_restart': 'an instance acts on what it remembers',
    'unique_ask_ids': 'an answer from before a restart counts after it',
    'confirmation_runs_out': 'an isolated instance goes on for ever',
    'stopped_after_time_to_live': 'an instance that acts is called stopped',
    'adopts_chosen': 'another instance passes on a value that may vanish',
    'no_older_adopted': 'another instance brings an earlier revision back',
    'adopted_keeps_age': 'what others tell keeps an isolated instance going',
}
_FORMATION_SAFEGUARDS = {
    'all_disks_form': 'voters that took no part form another register',
    'formation_binds_disks': 'the rest of a lost register forms another',
}
SAFEGUARDS_BY_NAME = {
    **_VOTERS_SAFEGUARDS,
    **_MISHAP_SAFEGUARDS,
    **_REPLACEMENT_SAFEGUARDS,
    **_READS_SAFEGUARDS,
    **_FORMATION_SAFEGUARDS,
}


def build(*, without: str | None = None) -> tuple[specs.BoundedModel, ...]:
    """Return the models, with one safeguard left out or none."""
    families = (
        (_VOTERS_SAFEGUARDS, _changes),
        (_MISHAP_SAFEGUARDS, _mishaps),
        (_REPLACEMENT_SAFEGUARDS, _replacements),
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


def _mishaps(without: str | None) -> list[specs.BoundedModel]:
    bounds = register_voters.Bounds(
        wishes=('xy', 'xy.', 'yz.'),
        documents=DOCUMENTS,
        losses=1,
        crashes=True,
    )
    return [_voters(bounds, without, {'y after x': _has_chosen('x', 'y')})]


def _replacements(without: str | None) -> list[specs.BoundedModel]:
    """Start and end a replacement beside a change, in every order."""
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
    """Return a predicate: a chosen value has these events in this order."""
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
    # What is adopted can be old only if there is a later one.
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
