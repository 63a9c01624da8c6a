"""HTML of the read-only pages and of the quarantine."""

from collections import abc
import typing

from ... import metrics as metrics_module
from ... import verdict as verdicts
from ...entry import waste
from .. import operator_interface
from . import layout
from . import markup

NONE = '-'


def overview(status: operator_interface.Status) -> list[markup.Markup]:
    """Return the revision, its progress, the instances and the leases."""
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
            f', as known to instance {status["instance_id"]}.',
        ),
        in_force(status['in_force']),
        layout.table(
            'Instances',
            ('Instance', 'Data centre', 'Region', 'Voter', 'Heard', 'Has'),
            instances,
        ),
        layout.table('Leases', ('Lease', 'Holder', 'Epoch'), leases),
    ]


def in_force(progress: operator_interface.InForce) -> markup.Markup:
    """Return the progress of a revision as a sentence."""
    total = progress['instances']
    finished = progress['confirmed'] + progress['expired']
    sentence = (
        f'Revision {progress["revision"]} is in force on '
        f'{progress["confirmed"]} of {total} instances.'
    )
    rest = []
    if progress['expired']:
        rest.append(
            f' Disconnected, admitting no work: {progress["expired"]}.'
        )
    if finished < total:
        rest.append(f' Pending: {total - finished}.')
    return layout.paragraph(sentence, rest)


def backends(
    found: abc.Iterable[operator_interface.BackendStatus],
) -> list[markup.Markup]:
    """Return all backend servers that have announced themselves."""
    rows = [
        (
            each['backend_id'],
            each['service'],
            each['role'],
            each['data_centre'],
            each['state'],
            f'{each["used"]} of {each["slots"]}',
            yes_or_no(each['checks_fence']),
            # As text: the target of a link could be a script.
            each['url'],
        )
        for each in found
    ]
    headings = (
        *('Backend server', 'Service', 'Role', 'Data centre', 'State'),
        *('Slots used', 'Checks fencing tokens', 'Address'),
    )
    return [layout.table('Backend servers', headings, rows)]


def load(
    pools: abc.Iterable[operator_interface.PoolStatus],
) -> list[markup.Markup]:
    """Return slots and queues by pool."""
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
    """Return this instance's counters by reason, since its start."""
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
    changes: abc.Iterable[operator_interface.HistoryEntry],
) -> list[markup.Markup]:
    """Return who changed the document and when."""
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
    suspects: abc.Iterable[operator_interface.SuspectEntry], form_token: str
) -> list[markup.Markup]:
    """Return what is suspected of ending backend servers.

    :param form_token: for the forms that lift a quarantine.
    """
    rows = [
        (
            each['call'],
            each['kind'],
            f'for {each["held_s"]:.0f} s' if each['held_s'] else 'no',
            ', '.join(end['backend_id'] for end in each['ends']) or NONE,
            _lifted(each['lifted']),
            _lift_form(each['call'], form_token) if each['held_s'] else NONE,
        )
        for each in suspects
    ]
    headings = (
        *('Fingerprint', 'Kind', 'Quarantined'),
        *('Ended servers', 'Lifted', 'Lift'),
    )
    return [layout.table('Suspected of ending servers', headings, rows)]


def _lifted(lift: operator_interface.LiftEntry | None) -> str:
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
        maxlength=operator_interface.MAX_REASON_CHARACTERS,
    )
    return layout.form(
        'lift',
        form_token,
        layout.hidden('call', call),
        markup.tag('label', 'Why it may run again', field),
        markup.tag('button', 'Lift the quarantine'),
    )


def yes_or_no(value: bool) -> str:
    """Return a flag as ``yes`` or ``no``."""
    return 'yes' if value else 'no'


def _or_none(value: typing.Any) -> typing.Any:
    return NONE if value is None else value
