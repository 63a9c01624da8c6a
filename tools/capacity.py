"""Measures the costs of control and extrapolates them to the target scale.

The target scale is the one expected after two years of growth, see
:class:`tools.capacity_model.TargetScale`.
"""

from collections import abc
import json
import os
import pathlib
import statistics
import typing

import defopt

from tools import capacity_common as common
from tools import capacity_fits as fits
from tools import capacity_model as model
from tools import capacity_network as networks
from tools import capacity_page as page
from tools import capacity_processes as processes
from tools import capacity_runs as runs

#: Replicas of a cell in the split variant; the default of the document.
SPLIT_CELL_SIZE = 32
#: Numbers of instances in the systems of real processes.
INSTANCE_COUNTS = (3, 9)


def measure(quick: bool) -> abc.Iterator[dict[str, typing.Any]]:
    """Measure, and yield the JSON lines."""
    yield _machine()
    measured = []
    for each in runs.all_fits(common.QUICK if quick else common.Sizes()):
        measured.append(each)
        yield each.as_line()
    usages, renewals = [], []
    for count in (1, 2) if quick else INSTANCE_COUNTS:
        for each in processes.measure(count, 0.5 if quick else 3.0):
            is_renewal = isinstance(each, processes.RenewalCost)
            (renewals if is_renewal else usages).append(each)
            yield each.as_line()
    outside = _outside_of_reducers(usages, 1.0 if quick else 4.0)
    yield outside.as_line()
    yield from _cost_lines(measured, usages, renewals, outside)


def _machine() -> dict[str, typing.Any]:
    pages = os.sysconf('SC_PHYS_PAGES') * os.sysconf('SC_PAGE_SIZE')
    return {'cores': os.cpu_count(), 'memory_gb': round(pages / 2**30)}


def _outside_of_reducers(
    usages: abc.Iterable[processes.ProcessUsage], seconds: float
) -> fits.Fit:
    """Fit the processor time that idle processes spend outside the reducer.

    It is what a process spends beyond a simulated reducer, by messages a
    second.
    """
    points = []
    for each in usages:
        if each.changes:
            continue
        network = networks.Network(
            instances=each.instances, voters=each.instances
        )
        network.start(networks.make_document(models=0, accounts=1))
        network.run(4.0)
        network.reset()
        network.run(seconds)
        meters = [node.meter for node in network.nodes_by_id.values()]
        count = len(meters) * seconds
        messages = sum(meter.messages for meter in meters) / count
        cpu_us = sum(meter.cpu_s for meter in meters) * 1e6 / count
        points.append((messages, each.cpu_us - cpu_us))
    return fits.fit(
        'processor time outside of the reducer',
        unit='us/s',
        per='message a second',
        points=points,
    )


def _cost_lines(
    measured: abc.Sequence[fits.Fit],
    usages: abc.Sequence[processes.ProcessUsage],
    renewals: abc.Sequence[processes.RenewalCost],
    outside: fits.Fit,
) -> abc.Iterator[dict[str, typing.Any]]:
    calculated = model.Model(
        fits_by_name={each.name: each for each in measured},
        process_us_per_s=outside.intercept,
        message_us=outside.slope,
        process_bytes=max(each.rss_bytes for each in usages),
        renewal_us=statistics.fmean(each.cpu_us for each in renewals),
    )
    for variant, scale in (
        ('whole', model.TargetScale()),
        ('split', model.TargetScale(cell_size=SPLIT_CELL_SIZE)),
    ):
        for cost in calculated.costs(scale):
            line = cost.as_line()
            line['cpu_us_per_s'] += calculated.cpu_of_messages(cost)
            yield line | {'variant': variant}


def main(*, quick: bool = False, page_from: str = '') -> None:
    """Measure and print JSON lines.

    :param quick: use small sizes, to check that the tool works; the figures
        aren't meaningful.
    :param page_from: only write the tables of docs/CAPACITY.md from the lines
        of this file; measure nothing.
    """
    if page_from:
        lines = page.read(pathlib.Path(page_from))
        page.PAGE.write_text(page.fill(page.PAGE.read_text(), lines))
        return
    for line in measure(quick):
        print(json.dumps(line), flush=True)


if __name__ == '__main__':
    defopt.run(main)
