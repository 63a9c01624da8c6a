"""Generates the tables of docs/CAPACITY.md from the JSON lines of a run."""

from collections import abc
import itertools
import json
import pathlib
import re
import typing

from tools import capacity_model as model

PAGE = pathlib.Path('docs/CAPACITY.md')
#: Smaller values are rounding errors of zero.
_ZERO_TOLERANCE = 1e-9
Line = abc.Mapping[str, typing.Any]


def read(path: pathlib.Path) -> list[Line]:
    """Return the lines of a run."""
    return [json.loads(line) for line in path.read_text().splitlines()]


def tables(lines: abc.Sequence[Line]) -> dict[str, str]:
    """Return the tables of the page by name."""
    return {
        'machine': _machine(lines),
        'slopes': _slopes(lines),
        'processes': _processes(lines),
        'today': _costs(lines, 'whole'),
        'split': _costs(lines, 'split'),
        'sums': _sums(lines),
        'renewals': _renewals(lines),
    }


def fill(page: str, lines: abc.Sequence[Line]) -> str:
    """Return the page with its tables replaced."""
    for name, table in tables(lines).items():
        page = re.sub(
            rf'(<!-- table: {name} -->\n).*?(<!-- end -->)',
            lambda found, table=table: f'{found[1]}\n{table}\n{found[2]}',
            page,
            flags=re.DOTALL,
        )
    return page


def _machine(lines: abc.Sequence[Line]) -> str:
    machine = next(each for each in lines if 'cores' in each)
    return (
        f'Measured on one machine of {machine["cores"]} cores and '
        f'{machine["memory_gb"]} GB, shared with other work.\n'
    )


def _slopes(lines: abc.Sequence[Line]) -> str:
    rows = [
        (
            each['fit'],
            each['per'],
            ', '.join(_number(size) for size, _ in each['points']),
            f'{_number(each["slope"])} {each["unit"]}',
            f'{_number(each["intercept"])} {each["unit"]}',
            f'{each["residual"]:.1%}',
        )
        for each in lines
        if 'fit' in each
    ]
    head = ('what', 'for each', 'sizes', 'slope', 'at none', 'off the line')
    return _table(head, rows)


def _processes(lines: abc.Sequence[Line]) -> str:
    rows = [
        (
            str(each['processes']),
            _number(each['changes'] / each['seconds']),
            f'{each["cpu_us"] / 1e4:.2f}%',
            f'{each["rss_bytes"] / 2**20:.0f} MB',
            '?'
            if each['peer_bytes'] is None
            else f'{each["peer_bytes"]:,.0f} B/s',
        )
        for each in lines
        if 'processes' in each
    ]
    head = ('instances', 'changes a second', 'of a core', 'memory', 'to peers')
    return _table(head, rows)


def _renewals(lines: abc.Sequence[Line]) -> str:
    rows = [
        (
            str(each['renewals']),
            f'{_number(each["cpu_us"])} us',
            str(each['body_bytes']),
        )
        for each in lines
        if 'renewals' in each
    ]
    return _table(('renewals', 'processor time of one', 'its body'), rows)


def _costs(lines: abc.Sequence[Line], variant: str) -> str:
    costs = [each for each in lines if each.get('variant') == variant]
    rows = []
    for role, group in itertools.groupby(costs, lambda each: each['role']):
        for place, each in enumerate(group):
            rows.append(
                (
                    f'**{role}**' if place == 0 else '',
                    each['cost'],
                    each['carried_by'],
                    _bold_if_above(each['bytes_per_s'], model.BYTES_PER_S),
                    _number(each['messages_per_s']),
                    _bold_if_above(
                        each['cpu_us_per_s'] / 1e4,
                        model.CPU_US_PER_S / 1e4,
                        '%',
                    ),
                    _bold_if_above(
                        each['memory_bytes'] / 2**20,
                        model.MEMORY_BYTES / 2**20,
                    ),
                )
            )
    head = ('role', 'for', 'carried by', 'B/s', 'messages/s', 'core', 'MB')
    return _table(head, rows)


#: The roles whose costs add up for one kind of instance.
_ROLES_BY_KIND = {
    'entry': ('every instance', 'entry'),
    'entry that owns a cell': ('every instance', 'entry', 'owner of a cell'),
    'voter, set aside': ('every instance', 'voter and claim holder'),
}


def _sums(lines: abc.Sequence[Line]) -> str:
    rows = []
    for kind, roles in _ROLES_BY_KIND.items():
        for variant, cells in (('whole', 'today'), ('split', 'split')):
            costs = [
                each
                for each in lines
                if each.get('variant') == variant and each['role'] in roles
            ]
            total = sum(each['bytes_per_s'] for each in costs)
            cpu = sum(each['cpu_us_per_s'] for each in costs)
            memory = sum(each['memory_bytes'] for each in costs)
            rows.append(
                (
                    kind,
                    cells,
                    _compare_to_limit(total, model.BYTES_PER_S, 'B/s'),
                    _compare_to_limit(
                        cpu / 1e4, model.CPU_US_PER_S / 1e4, '%'
                    ),
                    _compare_to_limit(
                        memory / 2**20, model.MEMORY_BYTES / 2**20, 'MB'
                    ),
                )
            )
    return _table(('instance', 'cells', 'bytes', 'core', 'memory'), rows)


def _compare_to_limit(value: float, limit: float, unit: str) -> str:
    shown = f'{_number(value)} {unit}'
    if value <= limit:
        return shown
    return f'**{shown}**, {value / limit:.1f} times the limit'


def _bold_if_above(value: float, limit: float, unit: str = '') -> str:
    shown = _number(value) + unit
    return f'**{shown}**' if value > limit else shown


def _number(value: float) -> str:
    if abs(value) < _ZERO_TOLERANCE:
        return '0'
    if abs(value) >= 1000:
        return f'{float(f"{value:.3g}"):,.0f}'
    return f'{value:.3g}'


def _table(
    head: abc.Sequence[str], rows: abc.Iterable[abc.Sequence[str]]
) -> str:
    lines = [head, ['---'] * len(head), *rows]
    return '\n'.join(f'| {" | ".join(line)} |' for line in lines) + '\n'
