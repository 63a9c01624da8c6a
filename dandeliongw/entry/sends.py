"""Counts the sends of requests to backend servers.

A send is a repeat if another one of the same request came before it, whatever
the reason for it: another attempt, a KV cache that moves, a stream that is
resumed. The first prefill that an engine accepts is part of the first send.

Repeats are taken from the retry budget before an attempt begins, as many as
it can make: an attempt that ran out of them after its prefill would have
wasted it. What is not made goes back to the budget.
"""

import typing

from .. import decisions
from .. import effects
from .. import events
from . import retries
from .request import Request

Effects = list[typing.Any]


class Sends:
    """The sends of one entry's requests.

    :param budgets: retry budgets by service.
    """

    def __init__(self, *, budgets: retries.RetryBudgets) -> None:
        self._budgets = budgets

    def reserve(
        self, now: float, request: Request, *, with_prefill: bool
    ) -> bool:
        """Take from the retry budget what an attempt or a resume may send.

        :param with_prefill: whether a prefill may come before the last send.
        :returns: whether the budget had as many retries left.
        """
        is_counted_twice = with_prefill and request.has_prefilled
        repeats = (2 if is_counted_twice else 1) - (not request.sends)
        missing = max(0, repeats - request.reserved_sends)
        if not self._budgets.spend(now, request.service, missing):
            return False
        if missing:
            request.reserved_sends += missing
            request.reserved_at = now
        return True

    def release(self, now: float, request: Request) -> None:
        """Return to the budget what a request that ended has not sent."""
        self._budgets.put_back(
            now,
            request.service,
            request.reserved_sends,
            taken_at=request.reserved_at,
        )
        request.reserved_sends = 0

    def count(
        self, now: float, request: Request, step: events.Step
    ) -> Effects:
        """Count a send that is about to be made."""
        request.sends += 1
        if request.sends == 1:
            return []
        request.reserved_sends -= 1
        self._budgets.note_made(
            now, request.service, taken_at=request.reserved_at
        )
        backend = request.booked_backend(step)
        line = decisions.RepeatSent(
            request_id=request.request_id,
            attempt_id=request.attempt_id,
            service=request.service,
            step=step.value,
            backend_id=backend.start.backend_id,
            sends=request.sends,
            retries_left=self._budgets.left(now, request.service),
            entries=self._budgets.entries,
        )
        return [effects.CountRepeat(step=step), line.log()]

    def note_prefill_accepted(self, request: Request) -> None:
        """Uncount the first prefill that an engine accepted."""
        if not request.has_prefilled:
            request.has_prefilled = True
            self.note_unsent(request)

    def note_unsent(self, request: Request) -> None:
        """Uncount a send that reached no backend server."""
        if request.sends > 1:
            request.reserved_sends += 1
        request.sends -= 1
