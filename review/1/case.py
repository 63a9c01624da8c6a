"""Three core machines are replaced one after the other, as planned work."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import common  # noqa: E402

#: Seconds from the start of a new machine to the start of the next one: the
#: old one needs up to four to end, and ``catchUpS`` more follow.
EVERY_S = 12.0
#: Seconds from the start of the new machine to the SIGTERM of the old one.
NEW_FIRST_S = common.CATCH_UP_S
REPLACEMENTS = 3
#: Seconds after the last replacement, far above ``catchUpS``.
CALM_S = 30.0
READ_S = 15.0


def play(platform, record, has_trouble):
    operator = common.Operator(platform, record)
    core = common.start_core(platform, operator, record)
    # The first voters need this long to take in the other machines.
    time.sleep(12.0)
    if not operator.change(common.plain_configuration, 2, 10.0):
        raise common.CannotRun('a change in calm times was not accepted')
    first_at = time.monotonic()
    for number, old in enumerate(core[-REPLACEMENTS:]):
        common.wait_until(first_at + number * EVERY_S)
        if not has_trouble:
            continue
        new = platform.add(f'core-{len(core) + number + 1}', 'voter', number)
        platform.start(new, bootstrap=False)
        common.wait_until(new.started_at + NEW_FIRST_S)
        platform.stop(old)
    time.sleep(CALM_S)
    record.note(
        'running: ' + ', '.join(each.name for each in platform.running())
    )
    shown = operator.read_back(READ_S)
    return shown is not None and shown >= operator.acknowledged


if __name__ == '__main__':
    sys.exit(common.main(play, FOLDER))
