"""Runs the tests with nose2 and prints the counts as the last line."""

import pathlib
import sys

import nose2

from tools import outcomes

KNOWN_RED = pathlib.Path('KNOWN-RED.txt')


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


def main() -> int:
    """Run the tests named on the command line, or all.

    :returns: the exit code; failures listed in KNOWN-RED.txt are allowed.
    """
    names = sys.argv[1:] or ['-s', 'tests', '-t', '.']
    argv = ['nose2', '-c', 'nose2.cfg', *names]
    nose2.discover(argv=argv, exit=False, plugins=['tools.outcomes'])
    red = known_red_names()
    failed = sorted(set(outcomes.Outcomes.failed))
    for name in failed:
        if name in red:
            print(f'known red: {name}: {red[name]}')
    unknown = [name for name in failed if name not in red]
    skipped = len(outcomes.Outcomes.skipped)
    passed = len(outcomes.Outcomes.started) - len(failed) - skipped
    print(f'{passed} passed, {len(failed)} failed, {skipped} skipped')
    return 1 if unknown or passed <= 0 else 0


if __name__ == '__main__':
    sys.exit(main())
