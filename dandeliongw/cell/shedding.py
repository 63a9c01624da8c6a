"""Declines new work while the owner of a cell is late, before any other work.

An owner that gets more messages than it can handle answers all of them too
late. Its ticks come late then, as they wait behind the messages. A refusal
without a look at the cell costs a small part of a decision, so the owner
catches up, and the work that it still admits is decided in time.
"""

import collections

from .. import effects
from . import declines
from . import policy
from . import prediction
from .cell_messages import Book
from .cell_types import Stage
from .cell_view import CellView

#: Interval of the runtime's ticks, in seconds.
TICK_S = 0.05
#: Seconds for which the longest lag is reported.
REPORT_S = 10.0
#: Shortest time between two log lines that shedding begins, in seconds.
LOG_INTERVAL_S = 10.0
#: Label of all ranks from this one on, in the metrics.
LAST_LABELLED_RANK = 9


class Shedding:
    """Decides whether an owner is late, and what it declines then.

    :param lag_s: delay of a tick from which work of the worst waiting rank is
        declined. The next better rank follows after each further time of this
        length. ``None``: nothing is declined.
    """

    def __init__(
        self, *, cell_id: str, view: CellView, lag_s: float | None
    ) -> None:
        self._cell_id = cell_id
        self._view = view
        self._lag_s = lag_s
        self._ticked_at: float | None = None
        self._late_since: float | None = None
        #: The ranks of the cell, worst first, from the worst that waited when
        #: shedding began.
        self._ranks: list[int] = []
        self._logged_at: float | None = None
        self._is_logged = False
        self._declined = 0
        self._longest_lag_s = 0.0
        self._longest_lag_at = 0.0
        #: Numbers of bookings declined, by rank.
        self.counts_by_rank: collections.Counter[int] = collections.Counter()

    def longest_lag_s(self, now: float) -> float:
        """Return the longest recent delay of a tick, in seconds."""
        is_recent = now < self._longest_lag_at + REPORT_S
        return self._longest_lag_s if is_recent else 0.0

    def observe(self, now: float, *, is_tick: bool) -> list[effects.Log]:
        """Note the time of an event; return log lines."""
        if self._ticked_at is None:
            self._ticked_at = now
        delay_s = now - self._ticked_at - TICK_S
        if is_tick:
            self._ticked_at = now
            if delay_s >= self.longest_lag_s(now):
                self._longest_lag_s, self._longest_lag_at = delay_s, now
        if self._lag_s is None:
            return []
        if delay_s >= self._lag_s:
            return self._begin(now, delay_s)
        return self._end(now) if is_tick else []

    def decline(self, now: float, book: Book) -> policy.Decline | None:
        """Return the refusal of new work, if its rank is declined now.

        Work whose prefill was done is never declined here: that prefill would
        be wasted.
        """
        if self._late_since is None or book.stage is Stage.DECODE:
            return None
        steps = int((now - self._late_since) / self._lag_s)
        best_declined = self._ranks[min(steps, len(self._ranks) - 1)]
        rank = prediction.rank_of(self._view, book)
        if rank < best_declined:
            return None
        self._declined += 1
        self.counts_by_rank[min(rank, LAST_LABELLED_RANK)] += 1
        return declines.owner_late(book, self._lag_s)

    def _begin(self, now: float, delay_s: float) -> list[effects.Log]:
        if self._late_since is not None:
            return []
        self._late_since = now
        self._ranks = self._declined_ranks()
        if self._logged_at is not None and (
            now < self._logged_at + LOG_INTERVAL_S
        ):
            return []
        self._logged_at = now
        self._is_logged = True
        return [
            effects.log(
                'this owner is late and declines new work of a cell',
                cell=self._cell_id,
                level='WARNING',
                lag_s=f'{delay_s:.2f}',
                rank=str(self._ranks[0]),
            )
        ]

    def _end(self, now: float) -> list[effects.Log]:
        if self._late_since is None:
            return []
        lasted_s = now - self._late_since
        self._late_since = None
        if not self._is_logged:
            return []
        self._is_logged = False
        declined, self._declined = self._declined, 0
        return [
            effects.log(
                'this owner keeps up again with a cell',
                cell=self._cell_id,
                lasted_s=f'{lasted_s:.2f}',
                declined=str(declined),
            )
        ]

    def _declined_ranks(self) -> list[int]:
        """Return the ranks to decline, in the order in which they follow.

        If nothing waits, the worst rank of the document comes first.
        """
        view = self._view
        waiting = [prediction.rank_of(view, each) for each in view.queue]
        ranks = set(view.terms.rank_by_priority.values())
        worst = max(waiting, default=max(ranks, default=0))
        better = sorted((each for each in ranks if each < worst), reverse=True)
        return [worst, *better]
