"""One core machine loses its disk twice; later, two others lose theirs."""

import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import common  # noqa: E402

#: Seconds for which a machine that lost its disk is down.
DOWN_S = 1.0
#: Seconds from a machine's return to its next loss: above ``catchUpS``.
AGAIN_S = common.CATCH_UP_S + 0.3
#: Seconds from a machine's return to the loss of another machine's disk.
CALM_S = 18.0
READ_S = 15.0


def lose(platform, record, machine, *, has_trouble):
    """End a machine's process; start it again with an empty disk.

    Without the disruption, the disk comes back with the machine.
    """
    platform.kill(machine)
    if has_trouble:
        platform.lose_disk(machine)
    lost = 'with its disk' if has_trouble else 'its disk is kept'
    record.note(f'platform: {machine.name} is lost, {lost}')
    time.sleep(DOWN_S)
    platform.start(machine, bootstrap=False)


def play(platform, record, has_trouble):
    operator = common.Operator(platform, record)
    core = common.start_core(platform, operator, record)
    # The first voters need this long to take in the other machines.
    time.sleep(12.0)
    if not operator.change(common.plain_configuration, 2, 10.0):
        raise common.CannotRun('a change in calm times was not accepted')
    lose(platform, record, core[4], has_trouble=has_trouble)
    common.wait_until(core[4].started_at + AGAIN_S)
    # With ONCE=1 this loss is left out, to compare.
    if os.environ.get('ONCE') != '1':
        lose(platform, record, core[4], has_trouble=has_trouble)
    common.wait_until(core[4].started_at + CALM_S)
    if not operator.change(common.plain_configuration, 3, 10.0):
        record.note('a change after the first machine was not accepted')
    for machine in (core[3], core[2]):
        lose(platform, record, machine, has_trouble=has_trouble)
        common.wait_until(machine.started_at + CALM_S)
    shown = operator.read_back(READ_S)
    return shown is not None and shown >= operator.acknowledged


if __name__ == '__main__':
    sys.exit(common.main(play, FOLDER))
