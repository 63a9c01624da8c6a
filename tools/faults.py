"""Faults that are injected into simulation runs."""

from collections import abc

from dandeliongw.cell import cell_types
from tools import load

#: When a fault begins, and ends if it is temporary, in virtual seconds.
BEGINS_AT = 25.0
ENDS_AT = 35.0

FaultInjection = abc.Callable[[load.Run], None]


def kill_decode(run: load.Run) -> None:
    """Kill a decode engine while it streams."""
    run.clock.at(BEGINS_AT, run.kill, 'decode-0')


def kill_prefill(run: load.Run) -> None:
    """Kill a prefill engine during a prefill."""
    run.clock.at(BEGINS_AT, run.kill, 'prefill-0')


def kill_two(run: load.Run) -> None:
    """Kill a second decode engine 2.5 s after the first."""
    run.clock.at(BEGINS_AT, run.kill, 'decode-0')
    run.clock.at(BEGINS_AT + 2.5, run.kill, 'decode-1')


def _inject_temporarily(run: load.Run, backend_id: str, **switches) -> None:
    defaults_by_name = {
        'slow': 1.0,
        'refuse_imports': False,
        'stall_transfer': False,
        'drop_cancels': False,
    }
    defaults = {name: defaults_by_name[name] for name in switches}
    run.clock.at(BEGINS_AT, lambda: run.set_fault(backend_id, **switches))
    run.clock.at(ENDS_AT, lambda: run.set_fault(backend_id, **defaults))


def refuse_imports(run: load.Run) -> None:
    """Make a decode engine refuse every import."""
    _inject_temporarily(run, 'decode-0', refuse_imports=True)


def stall_transfers(run: load.Run) -> None:
    """Stall all transfers from a prefill engine."""
    _inject_temporarily(run, 'prefill-0', stall_transfer=True)


def slow_prefill(run: load.Run) -> None:
    """Slow a prefill engine down to a quarter of its speed."""
    _inject_temporarily(run, 'prefill-0', slow=4.0)


def drop_cancels(run: load.Run) -> None:
    """Make a decode engine ignore cancels."""
    _inject_temporarily(run, 'decode-0', drop_cancels=True)


def lose_owner(run: load.Run) -> None:
    """Replace the cell's owner by one without any state."""
    run.clock.at(BEGINS_AT, run.lose_owner)


def lose_owner_and_engine(run: load.Run) -> None:
    """Lose the owner and a decode engine at the same time."""
    run.clock.at(BEGINS_AT, run.kill, 'decode-0')
    run.clock.at(BEGINS_AT, run.lose_owner)


def lose_entry(run: load.Run) -> None:
    """Lose an entry; its bookings are neither renewed nor released."""
    run.clock.at(BEGINS_AT, run.lose_entry, 'entry-0')


def lose_owner_and_entry(run: load.Run) -> None:
    """Lose the owner and an entry, so that its streams aren't reclaimed."""
    run.clock.at(BEGINS_AT, run.lose_entry, 'entry-0')
    run.clock.at(BEGINS_AT, run.lose_owner)


def add_engine(run: load.Run) -> None:
    """Add a decode engine to a cell under load."""
    role = cell_types.Role.DECODE
    run.clock.at(BEGINS_AT, run.join_engine, 'decode-9', role)


FAULTS_BY_NAME: dict[str, FaultInjection] = {
    each.__name__: each
    for each in (
        kill_decode,
        kill_prefill,
        kill_two,
        refuse_imports,
        stall_transfers,
        slow_prefill,
        drop_cancels,
        lose_owner,
        lose_owner_and_engine,
        lose_entry,
        lose_owner_and_entry,
        add_engine,
    )
}
