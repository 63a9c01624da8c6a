"""Measures what control costs, and works out the size of two years."""

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

#: Cells of this many replicas, which is the default of the document.
SPLIT = 32
#: Sizes of the systems of real processes.
PROCESSES = (3, 9)


def measure(quick: bool) -> abc.Iterator[dict[str, typing.Any]]:
    """Yield the JSON lines of one run."""
    yield _machine()
    found = []
    for each in runs.all_fits(common.QUICK if quick else common.Sizes()):
        found.append(each)
        yield each.as_line()
    spent, renewed = [], []
    for count in (1, 2) if quick else PROCESSES:
        for each in processes.measure(count, 0.5 if quick else 3.0):
            is_renewed = isinstance(each, processes.Renewed)
            (renewed if is_renewed else spent).append(each)
            yield each.as_line()
    outside = _outside_of_reducers(spent, 1.0 if quick else 4.0)
    yield outside.as_line()
    yield from _bills(found, spent, renewed, outside)


def _machine() -> dict[str, typing.Any]:
    pages = os.sysconf('SC_PHYS_PAGES') * os.sysconf('SC_PAGE_SIZE')
    return {'cores': os.cpu_count(), 'memory_gb': round(pages / 2**30)}


def _outside_of_reducers(
    spent: abc.Iterable[processes.Spent], seconds: float
) -> fits.Fit:
    """Compare idle processes with reducers alone, by their messages."""
    points = []
    for each in spent:
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


def _bills(
    found: abc.Sequence[fits.Fit],
    spent: abc.Sequence[processes.Spent],
    renewed: abc.Sequence[processes.Renewed],
    outside: fits.Fit,
) -> abc.Iterator[dict[str, typing.Any]]:
    calculated = model.Model(
        fits_by_name={each.name: each for each in found},
        process_us_per_s=outside.intercept,
        message_us=outside.slope,
        process_bytes=max(each.rss_bytes for each in spent),
        renewal_us=statistics.fmean(each.cpu_us for each in renewed),
    )
    for variant, aim in (
        ('whole', model.Aim()),
        ('split', model.Aim(cell_size=SPLIT)),
    ):
        for cost in calculated.bill(aim):
            line = cost.as_line()
            line['cpu_us_per_s'] += calculated.cpu_of_messages(cost)
            yield line | {'variant': variant}


def main(*, quick: bool = False, page_from: str = '') -> None:
    """Measure and print JSON lines.

    :param quick: small sizes, to see that it works; no figures to use.
    :param page_from: write the tables of docs/CAPACITY.md from the lines of
        this file, and measure nothing.
    """
    if page_from:
        lines = page.read(pathlib.Path(page_from))
        page.PAGE.write_text(page.fill(page.PAGE.read_text(), lines))
        return
    for line in measure(quick):
        print(json.dumps(line), flush=True)


if __name__ == '__main__':
    defopt.run(main)
