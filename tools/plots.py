"""Draws the plots of docs/POLICY.md from the output of scripts/measure."""

import collections
from collections import abc
import json
import pathlib
import statistics
import typing

import defopt
import matplotlib

matplotlib.use('svg')
# A fixed salt makes the files reproducible.
matplotlib.rcParams['svg.hashsalt'] = 'dandeliongw'

from matplotlib import pyplot  # noqa: E402

Line = dict[str, typing.Any]


def family(policy: str) -> str:
    """Return the name of a policy without its limit of waiting prompts."""
    head, _, tail = policy.rpartition('-')
    return head if tail.isdigit() else policy


def series(
    lines: abc.Iterable[Line],
    value: abc.Callable[[Line], float],
) -> dict[str, list[tuple[float, float]]]:
    """Return points (load, mean over seeds) by router.

    If a router was measured with several limits, the limit with the highest
    goodput at each load counts.
    """
    runs = collections.defaultdict(list)
    for line in lines:
        runs[line['policy'], line['load']].append(line)
    best: dict[tuple[str, float], tuple[float, float]] = {}
    for (policy, load), group in runs.items():
        goodput = statistics.mean(line['goodput'] for line in group)
        mean = statistics.mean(value(line) for line in group)
        key = family(policy), load
        best[key] = max(best.get(key, (-1.0, 0.0)), (goodput, mean))
    points = collections.defaultdict(list)
    for (name, load), (_, mean) in sorted(best.items()):
        points[name].append((load, mean))
    return points


MEASURES_BY_FILE: dict[str, tuple[str, abc.Callable[[Line], float]]] = {
    'goodput': ('goodput, calls a second', lambda line: line['goodput']),
    'first-calls': (
        'goodput of calls that were never refused',
        lambda line: line['goodput_first_call'],
    ),
    'wasted-prefill': (
        'wasted prefill, % of tokens',
        lambda line: 100 * line['wasted_prefill'],
    ),
    'urgent-first-token': (
        'urgent calls, 95% first token, s',
        lambda line: line['first_token_s'].get('urgent', {}).get('p95', 0.0),
    ),
}


def draw(lines: list[Line], file: pathlib.Path, name: str) -> None:
    """Plot one measure against the load, in a panel for each deployment."""
    label, value = MEASURES_BY_FILE[name]
    deployments = sorted({line['deployment'] for line in lines})
    figure, axes = pyplot.subplots(
        1, len(deployments), figsize=(9, 3.6), squeeze=False
    )
    for panel, deployment in zip(axes[0], deployments):
        here = [line for line in lines if line['deployment'] == deployment]
        for router, points in series(here, value).items():
            panel.plot(*zip(*points), marker='o', label=router)
        panel.set_title(deployment)
        panel.set_xlabel('load, parts of capacity')
        panel.set_ylabel(label)
        panel.set_ylim(bottom=0)
    axes[0][0].legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(file, metadata={'Date': None})
    pyplot.close(figure)


def main(lines: pathlib.Path, folder: pathlib.Path) -> None:
    """Draw every plot.

    :param lines: output of scripts/measure.
    :param folder: where the plots are written.
    """
    parsed = [json.loads(text) for text in lines.read_text().splitlines()]
    measured = [line for line in parsed if 'policy' in line]
    folder.mkdir(parents=True, exist_ok=True)
    for name in MEASURES_BY_FILE:
        draw(measured, folder / f'{name}.svg', name)


if __name__ == '__main__':
    defopt.run(main)
