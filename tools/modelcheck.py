"""Model-checks the specifications under ``specs/`` and their mutants.

A mutant is a specification without one of its safeguards.
"""

import argparse
from collections import abc
import importlib
import pathlib
import sys
import time
import types
import typing

import minicheck

import specs

SPECS_FOLDER = pathlib.Path('specs')
Trace = list[dict[str, typing.Any]]


def find_specifications(
    folder: pathlib.Path, package: str = 'specs'
) -> list[types.ModuleType]:
    """Import every ``*_spec.py`` of ``folder``, sorted by name."""
    names = sorted(path.stem for path in folder.glob('*_spec.py'))
    return [importlib.import_module(f'{package}.{name}') for name in names]


def check_model(model: specs.BoundedModel) -> tuple[int, list[str]]:
    """Explore all states of a model.

    :returns: the number of states, and a description of every fault.
    """
    unreached = {
        f'reaches {name}': _negated(predicate)
        for name, predicate in model.reached.items()
    }
    invariants = model.protocol.invariants
    result = _explore(model, {**invariants, **unreached})
    properties = result['properties']
    faults = []
    if not result['exhaustive']:
        faults.append(f'not exhaustive: {result["incomplete_reason"]}')
    for name in invariants:
        if properties[name]['holds'] is False:
            trace = format_trace(properties[name]['counterexample'])
            faults.append(f'{name} is violated:\n{trace}')
    for name in unreached:
        if properties[name]['holds'] is not False:
            faults.append(f'{name}: no state does')
    return result['reachable_states'], faults


def find_counterexample(
    models: abc.Iterable[specs.BoundedModel],
) -> tuple[str, Trace] | None:
    """Return the first violated invariant and its shortest trace."""
    for model in models:
        violation = _first_violation(model)
        if violation is not None:
            return violation
    return None


def format_trace(trace: Trace) -> str:
    """Return the numbered steps of a trace, one a line."""
    labels = [step['label'] for step in trace[1:]]
    return '\n'.join(
        f'    {number}. {label}' for number, label in enumerate(labels, 1)
    )


def _first_violation(model: specs.BoundedModel) -> tuple[str, Trace] | None:
    violated: list[str] = []

    def record_violation(name: str, predicate: abc.Callable) -> abc.Callable:
        def check(state: dict[str, typing.Any]) -> bool:
            holds = predicate(state)
            if not holds:
                violated.append(name)
            return holds

        return check

    def transitions(state: tuple) -> abc.Iterable:
        # A counterexample doesn't need the remaining states.
        if violated:
            return []
        return model.protocol.transitions(state)

    invariants = {
        name: record_violation(name, predicate)
        for name, predicate in model.protocol.invariants.items()
    }
    result = _explore(model, invariants, transitions)
    if not violated:
        return None
    name = violated[0]
    return name, result['properties'][name]['counterexample']


def _explore(
    model: specs.BoundedModel,
    invariants: dict[str, abc.Callable],
    transitions: abc.Callable | None = None,
) -> dict[str, typing.Any]:
    protocol = minicheck.Protocol(
        name=model.protocol.name,
        candidate=model.protocol.candidate,
        fields=model.protocol.fields,
        initial=model.protocol.initial,
        transitions=transitions or model.protocol.transitions,
        invariants=invariants,
    )
    return minicheck.check_safety(protocol, max_states=model.max_states)


def _negated(predicate: abc.Callable) -> abc.Callable:
    return lambda state: not predicate(state)


def run_specifications(
    modules: abc.Iterable[types.ModuleType], *, deep: bool = False
) -> bool:
    """Check all specifications; print bounds, states and the verdict.

    :param deep: check the models of ``build_deep`` instead.
    :returns: whether all hold.
    """
    is_ok = True
    for module in modules:
        build_deep = getattr(module, 'build_deep', tuple)
        for model in build_deep() if deep else module.build():
            started = time.monotonic()
            states, faults = check_model(model)
            seconds = time.monotonic() - started
            verdict = 'FAILS' if faults else 'holds'
            print(
                f'{model.protocol.name}: {model.bounds}: '
                f'{states} states, {seconds:.1f} s, {verdict}',
                flush=True,
            )
            for fault in faults:
                print(f'  {fault}')
            is_ok = is_ok and not faults
    return is_ok


def run_mutants(
    modules: abc.Iterable[types.ModuleType], *, verbose: bool
) -> bool:
    """Check that removing any safeguard violates an invariant.

    :param verbose: print the counterexamples.
    :returns: whether a counterexample was found for every mutant.
    """
    total = 0
    caught = 0
    for module in modules:
        for name, harm in module.SAFEGUARDS_BY_NAME.items():
            total += 1
            violation = find_counterexample(module.build(without=name))
            if violation is None:
                print(f'{module.__name__} without {name}: NOT CAUGHT ({harm})')
                continue
            caught += 1
            invariant, trace = violation
            print(
                f'{module.__name__} without {name}: {invariant} violated '
                f'in {len(trace) - 1} steps',
                flush=True,
            )
            if verbose:
                print(format_trace(trace))
    print(f'{total} mutants, {caught} caught')
    return total == caught


def main(arguments: list[str] | None = None) -> int:
    """Parse the command line and run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--mutants', action='store_true', help='remove each safeguard'
    )
    parser.add_argument(
        '--deep', action='store_true', help='the models that take minutes'
    )
    parser.add_argument(
        '--verbose', action='store_true', help='print the traces of mutants'
    )
    parser.add_argument(
        'names', nargs='*', help='only these, e.g. register_spec'
    )
    options = parser.parse_args(arguments)
    modules = find_specifications(SPECS_FOLDER)
    if options.names:
        modules = [
            module
            for module in modules
            if module.__name__.rpartition('.')[2] in options.names
        ]
    if not modules:
        print('no specification found', file=sys.stderr)
        return 1
    if options.mutants:
        is_ok = run_mutants(modules, verbose=options.verbose)
    else:
        is_ok = run_specifications(modules, deep=options.deep)
    return 0 if is_ok else 1


if __name__ == '__main__':
    sys.exit(main())
