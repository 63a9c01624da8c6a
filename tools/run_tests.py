"""Runs the tests with nose2 and prints the counts as the last line.

All tests are run by two processes: one runs those that start real processes,
and mostly waits for them, and the other one runs the rest.
"""

from collections import abc
import multiprocessing
import pathlib
import sys

import msgspec
import nose2

from tools import outcomes

KNOWN_RED = pathlib.Path('KNOWN-RED.txt')
TESTS = pathlib.Path('tests')
#: They come one after the other: several systems beside each other would not
#: keep their bounds on time.
PROCESS_MODULES = (
    'tests.test_platform_soak',
    'tests.test_system',
    'tests.test_docs',
)


class Counts(msgspec.Struct, frozen=True, kw_only=True):
    """What some tests came to.

    :param failed: the names of those that failed.
    """

    started: int = 0
    skipped: int = 0
    failed: tuple[str, ...] = ()


def known_red_names() -> dict[str, str]:
    """Return the causes in KNOWN-RED.txt by test name.

    Each line is ``test.name | cause | issue``; at most three are allowed.
    """
    if not KNOWN_RED.exists():
        return {}
    lines = [line for line in KNOWN_RED.read_text().splitlines() if line]
    if len(lines) > 3:
        raise SystemExit('KNOWN-RED.txt has more than three lines')
    fields = [line.split('|', 1) for line in lines]
    return {name.strip(): cause.strip() for name, cause in fields}


def run(*names: str) -> Counts:
    """Run the named tests in this process."""
    recorded = outcomes.Outcomes
    for each in (recorded.started, recorded.skipped, recorded.failed):
        each.clear()
    argv = ['nose2', '-c', 'nose2.cfg', *names]
    nose2.discover(argv=argv, exit=False, plugins=['tools.outcomes'])
    return Counts(
        started=len(recorded.started),
        skipped=len(recorded.skipped),
        failed=tuple(sorted(set(recorded.failed))),
    )


def run_all() -> abc.Iterator[Counts]:
    """Run all tests, those with real processes beside the others."""
    modules = {f'tests.{each.stem}' for each in TESTS.glob('test_*.py')}
    others = sorted(modules - set(PROCESS_MODULES))
    context = multiprocessing.get_context('spawn')
    with context.Pool(2, maxtasksperchild=1) as pool:
        yield from pool.starmap(run, [PROCESS_MODULES, others], chunksize=1)


def main() -> int:
    """Run the tests named on the command line, or all.

    :returns: the exit code; failures listed in KNOWN-RED.txt are allowed.
    """
    names = sys.argv[1:]
    counted = [run(*names)] if names else list(run_all())
    red = known_red_names()
    failed = sorted({name for each in counted for name in each.failed})
    for name in failed:
        if name in red:
            print(f'known red: {name}: {red[name]}')
    unknown = [name for name in failed if name not in red]
    for name in unknown:
        print(f'failed: {name}')
    skipped = sum(each.skipped for each in counted)
    passed = sum(each.started for each in counted) - len(failed) - skipped
    print(f'{passed} passed, {len(failed)} failed, {skipped} skipped')
    return 1 if unknown or passed <= 0 else 0


if __name__ == '__main__':
    sys.exit(main())
