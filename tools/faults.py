"""What goes wrong in the runs with faults, at which time."""

from collections import abc

from dandeliongw.cell import vocabulary
from tools import load

#: When each fault begins and ends, in virtual seconds.
BEGINS_AT = 25.0
ENDS_AT = 35.0

Disturb = abc.Callable[[load.Run], None]


def kill_decode(run: load.Run) -> None:
    """Kill a decode engine with its streams open."""
    run.clock.at(BEGINS_AT, run.kill, 'decode-0')


def kill_prefill(run: load.Run) -> None:
    """Kill a prefill engine in the middle of a prompt."""
    run.clock.at(BEGINS_AT, run.kill, 'prefill-0')


def kill_two(run: load.Run) -> None:
    """Kill a second engine straight after the first."""
    run.clock.at(BEGINS_AT, run.kill, 'decode-0')
    run.clock.at(BEGINS_AT + 2.5, run.kill, 'decode-1')


def _switch(run: load.Run, backend_id: str, **switches) -> None:
    names_off = {
        'slow': 1.0,
        'refuse_imports': False,
        'stall_transfer': False,
        'drop_cancels': False,
    }
    off = {name: names_off[name] for name in switches}
    run.clock.at(BEGINS_AT, lambda: run.set_fault(backend_id, **switches))
    run.clock.at(ENDS_AT, lambda: run.set_fault(backend_id, **off))


def refuse_imports(run: load.Run) -> None:
    """Let a decode engine refuse every import."""
    _switch(run, 'decode-0', refuse_imports=True)


def stall_transfers(run: load.Run) -> None:
    """Let no transfer from a prefill engine end."""
    _switch(run, 'prefill-0', stall_transfer=True)


def slow_prefill(run: load.Run) -> None:
    """Let a prefill engine work at a quarter of its speed."""
    _switch(run, 'prefill-0', slow=4.0)


def drop_cancels(run: load.Run) -> None:
    """Let a decode engine drop cancels."""
    _switch(run, 'decode-0', drop_cancels=True)


def lose_owner(run: load.Run) -> None:
    """Lose the cell's owner; a new one knows nothing."""
    run.clock.at(BEGINS_AT, run.lose_owner)


def lose_owner_and_engine(run: load.Run) -> None:
    """Lose the owner and a decode engine together."""
    run.clock.at(BEGINS_AT, run.kill, 'decode-0')
    run.clock.at(BEGINS_AT, run.lose_owner)


def lose_entry(run: load.Run) -> None:
    """Lose an entry: it renews and releases nothing any more."""
    run.clock.at(BEGINS_AT, run.lose_entry, 'entry-0')


def lose_owner_and_entry(run: load.Run) -> None:
    """Lose the owner and an entry together: nobody reclaims its streams."""
    run.clock.at(BEGINS_AT, run.lose_entry, 'entry-0')
    run.clock.at(BEGINS_AT, run.lose_owner)


def add_engine(run: load.Run) -> None:
    """Add a decode engine to a cell at work."""
    role = vocabulary.Role.DECODE
    run.clock.at(BEGINS_AT, run.join_engine, 'decode-9', role)


FAULTS_BY_NAME: dict[str, Disturb] = {
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
