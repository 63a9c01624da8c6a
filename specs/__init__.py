"""Specifications of the coordination protocols, for exhaustive model checking.

A specification is a module ``specs/<name>_spec.py`` with

* ``SAFEGUARDS_BY_NAME``: a dict from the name of each safeguard of the
  protocol to one sentence that says what goes wrong without it;
* ``build(*, without=None)``: returns a tuple of :class:`BoundedModel`.
  ``without`` is a key of ``SAFEGUARDS_BY_NAME``; the same transitions are
  then built without just that safeguard.

``scripts/modelcheck`` finds every such module, explores all states of every
model of ``build()``, and fails unless each invariant holds in all of them and
each ``reached`` predicate is true in some state. ``scripts/modelcheck
--mutants`` calls ``build(without=name)`` for every safeguard, and fails
unless some invariant of some returned model has a counterexample. To keep
the check of a mutant short, return only the models that matter to it.

A module may also have ``build_deep()``, which returns models that take
minutes; ``scripts/modelcheck --deep`` explores only these.
"""

from collections import abc
import dataclasses
import typing

import minicheck


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BoundedModel:
    """A state machine with bounds that make its state space finite.

    :param bounds: a one-line description, e.g. ``3 voters, 2 ballots``.
    :param protocol: the state machine; states are hashable tuples, and every
        entry of ``invariants`` takes a dict from field name to value.
    :param reached: predicates by name. Each must be true in some state, so
        that an invariant can't hold merely because nothing happens.
    :param max_states: the check fails if the model has more states.
    """

    bounds: str
    protocol: minicheck.Protocol
    reached: abc.Mapping[str, abc.Callable[[dict[str, typing.Any]], bool]] = (
        dataclasses.field(default_factory=dict)
    )
    max_states: int = 2_000_000
