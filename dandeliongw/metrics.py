"""Counters, gauges and histograms of one instance.

Every value of every reason exists at zero from the start, so that a rate
over a counter that has never moved is zero and not missing.
"""

from collections import abc
import enum
import typing

import prometheus_client
from prometheus_client import core
from prometheus_client import registry as registry_module

from . import effects
from . import envelopes
from . import peers
from . import verdict as verdicts
from .cell import orders
from .coordination import lease_messages
from .entry import waste

# The time at which each series began would be half of all lines. All of them
# begin with the process.
prometheus_client.disable_created_metrics()

NAMESPACE = 'dandeliongw'
#: The key of a watched counter's only count when it has no label.
UNLABELLED = ''
CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST

#: Seconds, close together around the target of 0.55 s.
FIRST_TOKEN_BUCKETS = (
    *(0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.55, 0.6, 0.8),
    *(1.0, 1.5, 2.0, 3.0, 5.0, 10.0, 30.0),
)
#: Seconds, close together around the target of 34 ms.
TOKEN_GAP_BUCKETS = (
    *(0.005, 0.01, 0.02, 0.025, 0.03, 0.034, 0.04, 0.05),
    *(0.075, 0.1, 0.2, 0.5, 1.0, 3.0),
)
#: Seconds: a booking takes some milliseconds, an answer up to its time-out.
PART_BUCKETS = (
    *(0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5),
    *(1.0, 2.0, 5.0, 10.0, 30.0),
)


class Targets(enum.StrEnum):
    """Whether an answer met both latency targets (goodput) or not."""

    MET = 'met'
    MISSED = 'missed'


class CallbackGauge(registry_module.Collector):
    """A gauge over values that a part keeps, read when it is shown.

    :param label: its only label, or ``None``; its values are the keys.
    """

    def __init__(self, *, name: str, text: str, label: str | None) -> None:
        self._name = name
        self._text = text
        self._labels = (label,) if label else ()
        self._read: abc.Callable[[], abc.Mapping[str, float]] = dict

    def set_callback(
        self, read: abc.Callable[[], abc.Mapping[str, float]]
    ) -> None:
        """Show from now on what ``read`` returns by value of the label.

        It is called in any thread, so it returns a copy.
        """
        self._read = read

    def collect(self) -> abc.Iterator[core.GaugeMetricFamily]:
        """Yield the gauge; called for each page of metrics."""
        family = core.GaugeMetricFamily(
            self._name, self._text, labels=self._labels
        )
        for value, number in sorted(self._read().items()):
            family.add_metric([value] if self._labels else [], number)
        yield family


class CallbackCounter(registry_module.Collector):
    """A counter over counts that a part keeps, read when it is shown.

    The part stays free of metrics, and nothing can be counted twice or left
    out between two readings. Reading one count needs no lock.

    :param name: without ``_total``, which is added.
    :param label: its only label, or ``None``.
    :param values: every value of the label.
    """

    def __init__(
        self,
        *,
        name: str,
        text: str,
        label: str | None,
        values: abc.Sequence[str],
    ) -> None:
        self._name = name
        self._text = text
        self._labels = (label,) if label else ()
        self._values = values
        self._read: abc.Callable[[], abc.Mapping[str, int]] = dict

    def set_callback(
        self, read: abc.Callable[[], abc.Mapping[str, int]]
    ) -> None:
        """Show from now on what ``read`` returns by value of the label.

        Values that it leaves out are 0; it may be called in any thread.
        """
        self._read = read

    def collect(self) -> abc.Iterator[core.CounterMetricFamily]:
        """Yield the counter; called for each page of metrics."""
        family = core.CounterMetricFamily(
            self._name, self._text, labels=self._labels
        )
        counts = self._read()
        for value in self._values:
            labels = [value] if self._labels else []
            family.add_metric(labels, counts.get(value, 0))
        yield family


class Metrics:
    """All metrics of one instance, in a registry of their own.

    Safe to call from any thread.

    :param registry: where to register; a new one by default.
    """

    def __init__(
        self, *, registry: prometheus_client.CollectorRegistry | None = None
    ) -> None:
        self.registry = registry or prometheus_client.CollectorRegistry()
        #: Names of the labels of every metric, for the reference page.
        self.labels_by_name: dict[str, tuple[str, ...]] = {}
        # The state comes first: whoever keeps the first kilobytes of each
        # reading can still tell how old the configuration was.
        self._make_gauges()
        self._make_counters()
        self._make_watched()
        self._make_histograms()

    def _make_counters(self) -> None:
        self.answers = self._counter(
            'answers', 'Answers to callers.', 'verdict'
        )
        self.refusals = self._counter(
            'refusals',
            'Requests that got an error instead of a result.',
            'reason',
        )
        self.retries = self._counter(
            'retries', 'Attempts after the first.', 'reason'
        )
        self.wasted_prefill = self._counter(
            'wasted_prefill_tokens',
            'Prompt tokens whose prefill was thrown away or done again.',
            'reason',
        )
        self.prefill = self._counter(
            'prefill_tokens',
            'Prompt tokens that were prefilled, wasted ones included.',
        )
        self.streams = self._counter(
            'streams',
            'Answers of model services, by whether both targets were met.',
            'service',
            'targets',
        )
        self.late_answers = self._counter(
            'late_answers',
            'Replies for attempts that were over, dropped.',
            'what',
        )
        _start_at_zero(self.late_answers, effects.LateKind)
        _start_at_zero(self.answers, verdicts.Verdict)
        _start_at_zero(self.refusals, verdicts.RefusalReason)
        _start_at_zero(self.retries, verdicts.RetryReason)
        _start_at_zero(self.wasted_prefill, waste.WasteReason)

    def _make_watched(self) -> None:
        self.peer_drops = self._watched(
            'peer_drops',
            'Messages between instances that were not delivered.',
            'reason',
            list(envelopes.DropReason),
        )
        self.peer_faults = self._watched(
            'peer_faults',
            'Connections to other instances that ended badly.',
            'reason',
            list(peers.FaultReason),
        )
        self.lease_answers = self._watched(
            'lease_answers',
            'Answers of this voter to claims of leases.',
            'outcome',
            [each.name.lower() for each in lease_messages.LeaseOutcome],
        )
        self.orders_held_back = self._watched(
            'orders_held_back',
            'Times that an order was due and not given; one may count often.',
            'reason',
            list(orders.HoldReason),
        )
        self.backend_ends = self._watched(
            'backend_ends',
            'Ends of backend servers under calls, as seen by this entry.',
            None,
            [UNLABELLED],
        )
        self.order_repeats = self._watched(
            'order_repeats',
            'Orders sent again, as the answer was lost or a failure.',
            None,
            [UNLABELLED],
        )

        self.log_lines_left_out = self._watched(
            'log_lines_left_out',
            'Log lines that were left out, as they were too many.',
            None,
            [UNLABELLED],
        )

    def _make_gauges(self) -> None:
        self.configuration_revision = self._gauge(
            'configuration_revision', 'The revision that is in force here.'
        )
        self.configuration_age = self._gauge(
            'configuration_age_seconds',
            'Time since a majority confirmed that revision.',
        )
        self.members = self._gauge(
            'members', 'Instances that are heard of, this one included.'
        )
        self.voters = self._watched_gauge(
            'voters', 'Voters of the set that is confirmed here.', None
        )
        self.lease_epoch = self._watched_gauge(
            'lease_epoch',
            "Epochs of this instance's leases on cells.",
            'cell',
        )
        self.quarantined = self._watched_gauge(
            'quarantined_calls',
            'Calls that are held back, as they end backend servers.',
            None,
        )
        self.retry_budget = self._watched_gauge(
            'retry_budget',
            'Attempts after the first that may still be made here.',
            'service',
        )
        self.backends = self._gauge(
            'backends', 'Backend servers that may get work.', 'pool'
        )
        self.slots = self._gauge(
            'slots', 'Slots of the cells that this instance owns.', 'pool'
        )
        self.slots_used = self._gauge(
            'slots_used', 'Of these, booked or busy.', 'pool'
        )
        self.queue = self._gauge(
            'queue', 'Requests that wait for a slot of these cells.', 'pool'
        )

    def _make_histograms(self) -> None:
        self.first_token = self._histogram(
            'first_token_seconds',
            'Time from arrival to the first token.',
            FIRST_TOKEN_BUCKETS,
        )
        self.token_gap = self._histogram(
            'token_gap_seconds',
            'Time between tokens sent to a caller.',
            TOKEN_GAP_BUCKETS,
        )
        self.parts = self._histogram(
            'part_seconds',
            "Parts of a request's way: booking, queue, prefill, transfer, "
            'decode, call.',
            PART_BUCKETS,
            'part',
        )

    def count_answer(self, verdict: verdicts.Verdict) -> None:
        """Count one answer of any kind to a caller."""
        self.answers.labels(verdict.value).inc()

    def count_refusal(self, refusal: verdicts.Refusal) -> None:
        """Count one refusal, as an answer too."""
        self.refusals.labels(refusal.reason.value).inc()
        self.count_answer(refusal.verdict)

    def count_retry(self, reason: verdicts.RetryReason) -> None:
        """Count one attempt after the first."""
        self.retries.labels(reason.value).inc()

    def count_wasted_prefill(
        self, reason: waste.WasteReason, tokens: int
    ) -> None:
        """Count prompt tokens whose prefill was of no use."""
        self.wasted_prefill.labels(reason.value).inc(tokens)

    def count_stream(self, service: str, targets: Targets) -> None:
        """Count one whole answer of a model service."""
        self.streams.labels(service, targets.value).inc()

    def observe_first_token(self, service: str, seconds: float) -> None:
        """Record the time from a request's arrival to its first token."""
        self.first_token.labels(service).observe(seconds)

    def observe_phase(self, took: effects.PhaseDuration) -> None:
        """Record how long a phase of a request took."""
        self.parts.labels(took.service, took.phase.value).observe(took.seconds)

    def observe_token_gap(self, service: str, seconds: float) -> None:
        """Record the time between two tokens of one stream."""
        self.token_gap.labels(service).observe(seconds)

    def set_pool(
        self, pool: str, *, backends: int, slots: int, used: int, queue: int
    ) -> None:
        """Set all gauges of one pool."""
        self.backends.labels(pool).set(backends)
        self.slots.labels(pool).set(slots)
        self.slots_used.labels(pool).set(used)
        self.queue.labels(pool).set(queue)

    def remove_pool(self, pool: str) -> None:
        """Drop a pool's gauges once the document no longer has it.

        They would stay at their last values, and look like spare slots.
        """
        gauges = (self.backends, self.slots, self.slots_used, self.queue)
        for gauge in gauges:
            gauge.remove(pool)

    def render(self) -> bytes:
        """Return the text that Prometheus reads."""
        return prometheus_client.generate_latest(self.registry)

    def value(self, name: str, **labels: str) -> float:
        """Return one sample by its full name; 0 where there is none."""
        found = self.registry.get_sample_value(f'{NAMESPACE}_{name}', labels)
        return found or 0.0

    def _counter(
        self, name: str, text: str, *labels: str
    ) -> prometheus_client.Counter:
        self._remember(name, labels)
        return prometheus_client.Counter(
            name, text, labels, namespace=NAMESPACE, registry=self.registry
        )

    def _watched(
        self,
        name: str,
        text: str,
        label: str | None,
        values: abc.Sequence[str],
    ) -> CallbackCounter:
        self._remember(name, (label,) if label else ())
        counter = CallbackCounter(
            name=f'{NAMESPACE}_{name}', text=text, label=label, values=values
        )
        self.registry.register(counter)
        return counter

    def _watched_gauge(
        self, name: str, text: str, label: str | None
    ) -> CallbackGauge:
        self._remember(name, (label,) if label else ())
        gauge = CallbackGauge(
            name=f'{NAMESPACE}_{name}', text=text, label=label
        )
        self.registry.register(gauge)
        return gauge

    def _gauge(
        self, name: str, text: str, *labels: str
    ) -> prometheus_client.Gauge:
        self._remember(name, labels)
        return prometheus_client.Gauge(
            name, text, labels, namespace=NAMESPACE, registry=self.registry
        )

    def _histogram(
        self,
        name: str,
        text: str,
        buckets: typing.Sequence[float],
        *labels: str,
    ) -> prometheus_client.Histogram:
        labels = ('service', *labels)
        self._remember(name, labels)
        return prometheus_client.Histogram(
            name,
            text,
            labels,
            namespace=NAMESPACE,
            registry=self.registry,
            buckets=buckets,
        )

    def _remember(self, name: str, labels: tuple[str, ...]) -> None:
        self.labels_by_name[f'{NAMESPACE}_{name}'] = labels


def _start_at_zero(
    counter: prometheus_client.Counter, values: type[enum.StrEnum]
) -> None:
    for value in values:
        counter.labels(value.value)
