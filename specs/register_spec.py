"""The configuration register: everything that is checked of it."""

import itertools

import specs
from specs import register_voters

#: The revisions that the documents are made from: x and z by operators who
#: race, y by one who has seen the first of them.
DOCUMENTS = (('x', 0), ('y', 1), ('z', 0))

SAFEGUARDS_BY_NAME = {
    'sync_before_reply': 'a promise that was told of is forgotten',
    'new_identity_for_lost_disk': 'an empty disk votes under its old name',
    'promise_blocks_older_ballots': 'a late accept undoes a later value',
    'read_latest_accepted': 'a value that may be chosen is written over',
    'unique_ballots': 'a restarted proposer writes twice under one ballot',
    'compare_and_set': 'the second of two operators overwrites the first',
    'change_ids': 'a resend of an applied change is told of a conflict',
    'write_back_before_answer': 'an answer tells of what a minority held',
    'quorum_of_the_value_read': 'a stale proposer asks the old voters only',
    'quorum_of_present_set': 'the coming voters decide beside the present',
    'quorum_of_coming_set': 'the present voters decide without the coming',
    'chosen_before_replacement_ends': 'old and new voters decide apart',
    'caught_up_before_replacement_ends': 'a voter counts but holds nothing',
}


def _voters(without, wishes, **options):
    bounds = register_voters.Bounds(wishes=wishes, **options)
    model = register_voters.VotersModel(bounds=bounds, without=without)
    return model.build(reached=REACHED if without is None else None)


def _latest(state):
    return max(
        (a.lineage for a in state['attempts'] if a.lineage is not None),
        key=len,
    )


REACHED = {}


def build(*, without: str | None = None) -> tuple[specs.BoundedModel, ...]:
    """Return the models, with one safeguard left out or none."""
    documents = _voters(
        without,
        ('xyz.', 'xyz.', 'xyz.'),
        documents=DOCUMENTS,
        hearsay=True,
    )
    mishaps = _voters(
        without,
        ('xy', 'xy.', 'yz.'),
        documents=DOCUMENTS,
        losses=1,
        crashes=True,
    )
    replacements = tuple(
        _voters(
            without,
            wishes,
            documents=DOCUMENTS[:1],
            replaceable=(0,),
            new_disks=1,
        )
        for wishes in itertools.permutations('+!x')
    )
    return (documents, mishaps, *replacements)
