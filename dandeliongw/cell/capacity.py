"""What work costs, and what a cell can carry, in each of its resources.

An engine with many slots may hold only a few streams in its memory. If a cell
were divided between ranks and accounts in slots alone, an account would reach
its share only after it has taken several times what fits.
"""

from collections import abc
import enum

from . import candidates
from . import prediction
from .cell_types import Booking
from .cell_types import Role
from .cell_types import Stage
from .cell_view import CellView

#: Seconds for which a computed capacity is reused: one tick. Engines that are
#: ejected or lost count for no longer.
CAPACITY_TTL_S = 0.05
#: A resource binds if the work that is asked for takes this part of it. Waits
#: and refusals begin before all of it is in use, as work comes unevenly.
BINDS_FROM = 0.9


class Resource(enum.StrEnum):
    """What work takes from a cell, and for how long."""

    #: Slots of decode engines times seconds.
    DECODE_SLOTS = 'decode_slots'
    #: Tokens in the KV caches of decode engines times seconds.
    KV_MEMORY = 'kv_memory'
    #: Seconds of prefill engines.
    PREFILL = 'prefill'
    #: Slots of plain servers times seconds.
    PLAIN_SLOTS = 'plain_slots'


#: An amount of each resource; none of those that are missing.
Amounts = abc.Mapping[Resource, float]


def cost(
    view: CellView, booking: Booking, uncached_part: float = 1.0
) -> dict[Resource, float]:
    """Return what a booking takes.

    A KV cache is held from the start of its transfer. It grows with the
    answer, whose half is held on average. No prompt takes more than an engine
    has: a longer one is rejected.

    :param uncached_part: part of prompts that no prefix cache contains.
    """
    if booking.stage is Stage.PLAIN:
        return {Resource.PLAIN_SLOTS: view.call_times.mean_s(booking.account)}
    prompt_tokens = min(booking.prompt_tokens, view.longest_prompt(booking))
    part = prompt_tokens / max(1, booking.prompt_tokens)
    decode_s = view.decode_s(booking)
    held_s = view.transfer_s(booking) * part + decode_s
    grown_s = view.answer_tokens(booking) / 2.0 * decode_s
    return {
        Resource.DECODE_SLOTS: held_s,
        Resource.KV_MEMORY: prompt_tokens * held_s + grown_s,
        Resource.PREFILL: prediction.prefill_s(view, booking)
        * part
        * uncached_part,
    }


def capacity_per_s(now: float, view: CellView) -> dict[Resource, float]:
    """Return how much of each resource the engines in use have per second.

    Resources of which there is none, or of unknown size, are left out: they
    can't be divided.
    """
    decode = candidates.serving(now, view, Role.DECODE)
    plain = candidates.serving(now, view, Role.PLAIN)
    kv_tokens = view.terms.kv_tokens_by_role.get(Role.DECODE, 0)
    amounts = {
        Resource.DECODE_SLOTS: sum(state.slots_open for state in decode),
        Resource.KV_MEMORY: kv_tokens * len(decode),
        Resource.PREFILL: len(candidates.serving(now, view, Role.PREFILL)),
        Resource.PLAIN_SLOTS: sum(state.slots_open for state in plain),
    }
    return {
        resource: float(amount)
        for resource, amount in amounts.items()
        if amount > 0
    }


def used_parts(now: float, view: CellView) -> dict[Resource, float]:
    """Return the part of each resource that bookings hold now."""
    used = dict.fromkeys(Resource, 0.0)
    for role, slots in (
        (Role.DECODE, Resource.DECODE_SLOTS),
        (Role.PLAIN, Resource.PLAIN_SLOTS),
    ):
        for state in candidates.serving(now, view, role):
            used[slots] += state.slots_used
    rate = view.stream_tokens_per_s
    for state in candidates.serving(now, view, Role.DECODE):
        for each in state.bookings_by_key.values():
            began_at = each.transfer_ends_at or now
            grown = min(max(0.0, now - began_at) * rate, each.max_tokens)
            used[Resource.KV_MEMORY] += each.prompt_tokens + grown
    for state in candidates.serving(now, view, Role.PREFILL):
        used[Resource.PREFILL] += state.prefill_free_at(now) > now
    return {
        resource: used[resource] / amount
        for resource, amount in capacity_per_s(now, view).items()
    }


def most_used(amounts: Amounts, capacity: Amounts) -> Resource | None:
    """Return the resource of which the greatest part is taken.

    :returns: ``None`` if no amount has a capacity.
    """
    parts = {
        resource: amount / capacity[resource]
        for resource, amount in amounts.items()
        if resource in capacity
    }
    return max(parts, key=lambda each: parts[each], default=None)
