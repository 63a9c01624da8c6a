"""Pages that only show: instances, backend servers, load and history."""

from collections import abc
import typing

from ... import metrics as metrics_module
from ... import verdict as verdicts
from .. import control as controls
from ...entry import waste
from . import layout
from . import markup

NONE = '-'


def overview(status: controls.Status) -> list[markup.Markup]:
    """Show the revision, how far it has come, instances and leases."""
    instances = [
        (
            each['instance_id'],
            each['data_centre'],
            each['region'],
            yes_or_no(each['voter']),
            yes_or_no(each['heard']),
            _or_none(each['revision']),
        )
        for each in status['instances']
    ]
    leases = [
        (each['name'], _or_none(each['holder']), each['epoch'])
        for each in status['leases']
    ]
    return [
        layout.paragraph(
            f'Revision {status["revision"]}',
            f' by {status["author"]}' if status['author'] else '',
            f', as instance {status["instance_id"]} knows it.',
        ),
        in_force(status['in_force']),
        layout.table(
            'Instances',
            ('Instance', 'Data centre', 'Region', 'Voter', 'Heard', 'Has'),
            instances,
        ),
        layout.table('Leases', ('Lease', 'Holder', 'Epoch'), leases),
    ]


def in_force(found: controls.InForce) -> markup.Markup:
    """Tell in a sentence how far a revision has come."""
    total = found['instances']
    settled = found['confirmed'] + found['expired']
    sentence = (
        f'Revision {found["revision"]} is in force on '
        f'{found["confirmed"]} of {total} instances.'
    )
    rest = []
    if found['expired']:
        rest.append(f' Out of touch, admitting no work: {found["expired"]}.')
    if settled < total:
        rest.append(f' Still waited for: {total - settled}.')
    return layout.paragraph(sentence, rest)


def backends(
    found: abc.Iterable[controls.BackendStatus],
) -> list[markup.Markup]:
    """Show every backend server that has announced itself."""
    rows = [
        (
            each['backend_id'],
            each['service'],
            each['role'],
            each['data_centre'],
            each['state'],
            f'{each["used"]} of {each["slots"]}',
            yes_or_no(each['checks_fence']),
            # As text: a link to an announced address could be a script.
            each['url'],
        )
        for each in found
    ]
    headings = (
        *('Backend server', 'Service', 'Role', 'Data centre', 'State'),
        *('Slots used', 'Checks fencing numbers', 'Address'),
    )
    return [layout.table('Backend servers', headings, rows)]


def load(
    pools: abc.Iterable[controls.PoolStatus],
) -> list[markup.Markup]:
    """Show slots and queues by pool."""
    rows = [
        (
            each['name'],
            each['service'],
            each['backends'],
            each['slots'],
            each['used'],
            each['queue'],
        )
        for each in pools
    ]
    headings = (
        *('Pool', 'Service', 'Backend servers'),
        *('Slots', 'Used', 'Waiting'),
    )
    return [layout.table('Pools', headings, rows)]


def reasons(metrics: metrics_module.Metrics) -> list[markup.Markup]:
    """Show this instance's counters by reason, since its start."""
    groups: tuple[tuple[str, str, str, typing.Any], ...] = (
        ('Answers', 'answers_total', 'verdict', verdicts.Verdict),
        ('Refusals', 'refusals_total', 'reason', verdicts.RefusalReason),
        ('Retries', 'retries_total', 'reason', verdicts.RetryReason),
        (
            'Wasted prefill tokens',
            'wasted_prefill_tokens_total',
            'reason',
            waste.WasteReason,
        ),
    )
    tables = []
    for caption, name, label, values in groups:
        rows = [
            (value.value, int(metrics.value(name, **{label: value.value})))
            for value in values
        ]
        tables.append(
            layout.table(caption, (label.capitalize(), 'Count'), rows)
        )
    return tables


def history(
    changes: abc.Iterable[controls.HistoryEntry],
) -> list[markup.Markup]:
    """Show who changed the document and when."""
    rows = [
        (
            each['revision'],
            each['author'],
            each['time'] or 'not known',
            each['change_id'],
        )
        for each in changes
    ]
    headings = ('Revision', 'Operator', 'Time', 'Change id')
    return [layout.table('Accepted changes', headings, rows)]


def quarantine(
    suspects: abc.Iterable[controls.SuspectEntry], form_token: str
) -> list[markup.Markup]:
    """Show the calls under which backend servers ended.

    :param form_token: for the forms that let a call through again.
    """
    rows = [
        (
            each['call'],
            f'{each["held_s"]:.0f} s more' if each['held_s'] else 'no',
            ', '.join(end['backend_id'] for end in each['ends']) or NONE,
            _lifted(each['lifted']),
            _lift_form(each['call'], form_token) if each['held_s'] else NONE,
        )
        for each in suspects
    ]
    headings = ('Call', 'Held back', 'Servers that ended', 'Lifted', 'Lift')
    return [layout.table('Calls that end servers', headings, rows)]


def _lifted(lift: controls.LiftEntry | None) -> str:
    if lift is None:
        return NONE
    return (
        f'by {lift["operator"]}, {lift["age_s"]:.0f} s ago: {lift["reason"]}'
    )


def _lift_form(call: str, form_token: str) -> markup.Markup:
    field = markup.tag(
        'input',
        type='text',
        name='reason',
        required=True,
        maxlength=controls.MOST_REASON_CHARACTERS,
    )
    return layout.form(
        'lift',
        form_token,
        layout.hidden('call', call),
        markup.tag('label', 'Why it may run again', field),
        markup.tag('button', 'Let it run'),
    )


def yes_or_no(value: bool) -> str:
    """Return a flag as a word."""
    return 'yes' if value else 'no'


def _or_none(value: typing.Any) -> typing.Any:
    return NONE if value is None else value
