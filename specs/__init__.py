"""Specifications of the coordination parts, checked exhaustively.

The contract of a specification: a module ``specs/<name>_spec.py`` with

* ``SAFEGUARDS_BY_NAME``: a dict from the name of each safeguard of the
  protocol to one sentence that says what goes wrong without it;
* ``build(*, without=None)``: returns a tuple of :class:`BoundedModel`.
  ``without`` is a key of ``SAFEGUARDS_BY_NAME``; the same transitions are
  then built with just that safeguard left out.

``scripts/modelcheck`` finds every such module, sweeps every model of
``build()`` and fails unless each invariant holds over a complete sweep and
each ``reached`` predicate is true in some state. ``scripts/modelcheck
--mutants`` calls ``build(without=name)`` for every safeguard, and fails
unless some invariant of some returned model has a counterexample. Return
only the models that matter to a mutant, to keep its check short.

A module may also have ``build_deep()``, which returns models that take
minutes; ``scripts/modelcheck --deep`` sweeps only these.
"""

from collections import abc
import dataclasses
import typing

import minicheck


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BoundedModel:
    """One state machine with bounds that make its sweep finite.

    :param bounds: one line for a person, e.g. ``3 voters, 2 ballots``.
    :param protocol: the state machine; states are hashable tuples, and every
        entry of ``invariants`` takes a dict from field name to value.
    :param reached: predicates by name that some state must meet, so that an
        invariant can't hold merely because nothing happens.
    :param max_states: a sweep that would pass it is refused.
    """

    bounds: str
    protocol: minicheck.Protocol
    reached: abc.Mapping[str, abc.Callable[[dict[str, typing.Any]], bool]] = (
        dataclasses.field(default_factory=dict)
    )
    max_states: int = 2_000_000
