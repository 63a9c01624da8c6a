"""Counts the results of a simulation run and computes its figures."""

import collections
import typing

from hdrh import histogram

from dandeliongw.cell import cell_types
from dandeliongw.verdict import RefusalReason
from dandeliongw.verdict import RetryReason
from tools import engine_model

#: Upper limit of histograms, ten minutes; they have three digits.
LONGEST_US = 600_000_000


def make_histogram() -> histogram.HdrHistogram:
    """Return an empty histogram of microseconds."""
    return histogram.HdrHistogram(1, LONGEST_US, 3)


def percentiles(of: histogram.HdrHistogram) -> dict[str, float]:
    """Return the 50th, 95th and 99th percentile in seconds."""
    return {
        f'p{percent}': of.get_value_at_percentile(percent) / 1e6
        for percent in (50, 95, 99)
    }


class Tally:
    """Counts the outcomes of calls.

    A call is good when its first token came within ``first_token_s`` plus
    its priority's ``max_wait_s`` of its arrival, and its mean gap between
    tokens was at most ``token_gap_s``. When a caller retries a refused
    call, that is a new call; ``good_first`` counts only good calls that
    are no retries.

    Calls that arrive before ``since`` are warm-up and aren't counted;
    neither are those from ``until`` on.
    """

    def __init__(self, *, terms: cell_types.CellTerms) -> None:
        self.terms = terms
        self.since = 0.0
        self.until = 0.0
        self.counts: collections.Counter[str] = collections.Counter()
        self.refusals: collections.Counter[str] = collections.Counter()
        self.retries: collections.Counter[str] = collections.Counter()
        self.wasted_by_reason: collections.Counter[str] = collections.Counter()
        self.prefill_tokens = 0
        self.good_by_second: collections.Counter[int] = collections.Counter()
        self.arrived_by_second: collections.Counter[int] = (
            collections.Counter()
        )
        self.good_by_account: collections.Counter[str] = collections.Counter()
        self.first_token_by_priority: dict[str, typing.Any] = {}
        self.wait_by_priority: dict[str, typing.Any] = {}
        self.gap = make_histogram()
        self.longest_wait_by_priority: dict[str, float] = {}
        self._answered: set[str] = set()

    def _is_counted(self, job: typing.Any) -> bool:
        return self.since <= job.arrived_at < self.until

    def arrived(self, job: typing.Any) -> None:
        self.arrived_by_second[int(job.arrived_at)] += 1
        if self._is_counted(job):
            self.counts['calls'] += 1
            self.counts['offered'] += job.caller_retries == 0

    def refused(
        self, job: typing.Any, reason: RefusalReason, *, last: bool
    ) -> None:
        self._answer_once(job)
        if self._is_counted(job):
            self.refusals[reason.value] += 1
            self.counts[f'refused_{job.request.priority}'] += 1
            self.counts['gave_up'] += last

    def retried(self, reason: RetryReason) -> None:
        self.retries[reason.value] += 1

    def wasted(self, reason: str, tokens: int) -> None:
        self.wasted_by_reason[reason] += tokens

    def left(self, job: typing.Any) -> None:
        self._answer_once(job)
        self.counts['left'] += 1

    def failed(self, job: typing.Any, reason: RefusalReason) -> None:
        self._answer_once(job)
        if self._is_counted(job):
            self.refusals[reason.value] += 1
            self.counts['failed'] += 1

    def finished(self, job: typing.Any) -> None:
        self._answer_once(job)
        self.counts['short'] += job.tokens_made != job.request.answer_tokens
        if not self._is_counted(job):
            return
        self.counts['finished'] += 1
        priority = job.request.priority
        first_token_s = job.first_token_at - job.arrived_at
        wait_s = job.started_at - job.arrived_at
        gap_s = job.token_gap_s
        self._record(self.first_token_by_priority, priority, first_token_s)
        self._record(self.wait_by_priority, priority, wait_s)
        self.gap.record_value(int(gap_s * 1e6) + 1)
        longest = self.longest_wait_by_priority.get(priority, 0.0)
        self.longest_wait_by_priority[priority] = max(longest, wait_s)
        max_wait_s = self.terms.max_wait_s_by_priority.get(priority, 0.0)
        in_time = first_token_s <= self.terms.first_token_s + max_wait_s
        if in_time and gap_s <= self.terms.token_gap_s:
            self._count_good(job)

    def _count_good(self, job: typing.Any) -> None:
        self.counts['good'] += 1
        self.counts['good_first'] += job.caller_retries == 0
        self.counts[f'good_{job.request.priority}'] += 1
        self.good_by_second[int(job.arrived_at)] += 1
        self.good_by_account[job.request.account] += 1

    def _record(
        self, by_priority: dict[str, typing.Any], priority: str, s: float
    ) -> None:
        if priority not in by_priority:
            by_priority[priority] = make_histogram()
        by_priority[priority].record_value(int(s * 1e6) + 1)

    def _answer_once(self, job: typing.Any) -> None:
        self.counts['double'] += job.name in self._answered
        self._answered.add(job.name)

    def count_engine(self, model: engine_model.EngineModel) -> None:
        """Add an engine's counts of computed and wasted prefill tokens."""
        self.prefill_tokens += model.prefill_tokens_done
        for reason, tokens in model.wasted_tokens_by_reason.items():
            self.wasted_by_reason[reason.value] += tokens

    @property
    def goodput(self) -> float:
        """Good calls a second."""
        return self.counts['good'] / (self.until - self.since)

    @property
    def wasted_share(self) -> float:
        """Wasted prefill tokens, as a fraction of all computed ones."""
        return sum(self.wasted_by_reason.values()) / max(
            1, self.prefill_tokens
        )

    def seconds_below(self, share: float, since: float, until: float) -> int:
        """Return the seconds from ``since`` until goodput stays sufficient.

        It is insufficient in a second if less than ``share`` of the calls
        that arrive in it are good.
        """
        below = [
            second
            for second in range(int(since), int(until))
            if self.good_by_second[second]
            < share * self.arrived_by_second[second]
        ]
        return int(max(below, default=since - 1) + 1 - since)

    def _goodput_others(self) -> float:
        """Good calls a second of all accounts except ``account-0``."""
        good = self.counts['good'] - self.good_by_account['account-0']
        return good / (self.until - self.since)

    def _by_second(self, counter: collections.Counter[int]) -> list[int]:
        return [counter[second] for second in range(int(self.until))]

    def figures(self) -> dict[str, typing.Any]:
        """Return all figures, ready for JSON."""
        seconds = self.until - self.since
        total = max(1, self.prefill_tokens)
        return {
            'offered_per_s': self.counts['offered'] / seconds,
            'goodput': self.goodput,
            'goodput_first_call': self.counts['good_first'] / seconds,
            'goodput_urgent': self.counts['good_urgent'] / seconds,
            'goodput_others': self._goodput_others(),
            'goodput_patient': self.counts['good_patient'] / seconds,
            'finished': self.counts['finished'],
            'failed': self.counts['failed'],
            'gave_up': self.counts['gave_up'],
            'refused_late': self.counts['refused_late'],
            'double_answers': self.counts['double'],
            'short_answers': self.counts['short'],
            'lost_answers': self.counts['lost'],
            'wasted_prefill': self.wasted_share,
            'arrived_by_second': self._by_second(self.arrived_by_second),
            'good_by_second': self._by_second(self.good_by_second),
            'streams_held_at_end': self.counts['streams_held'],
            'bookings_held_at_end': self.counts['bookings_held'],
            'prefill_tokens': self.prefill_tokens,
            'wasted_by_reason': {
                reason: tokens / total
                for reason, tokens in self.wasted_by_reason.items()
            },
            'refusals': dict(self.refusals),
            'retries': dict(self.retries),
            'token_gap_s': percentiles(self.gap),
            'first_token_s': {
                name: percentiles(each)
                for name, each in self.first_token_by_priority.items()
            },
            'wait_s': {
                name: percentiles(each)
                for name, each in self.wait_by_priority.items()
            },
            'longest_wait_s': self.longest_wait_by_priority,
        }
