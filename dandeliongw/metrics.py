"""Counters, gauges and histograms of one instance.

Every label value of every reason is exported as zero from the start, so that
the rate of a counter that was never incremented is zero and not missing.
"""

from collections import abc
import enum
import typing

import prometheus_client
from prometheus_client import core
from prometheus_client import registry as registry_module

from . import effects
from . import envelopes
from . import events
from . import peers
from . import tunnels
from . import verdict as verdicts
from .cell import orders
from .cell import shedding
from .coordination import lease_messages
from .coordination import rates
from .entry import waste

# The ``_created`` samples would be half of all lines, and carry no
# information: all series are created when the process starts.
prometheus_client.disable_created_metrics()

NAMESPACE = 'dandeliongw'
#: The key of a callback counter's only value if it has no label.
UNLABELLED = ''
CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST

#: Seconds; finest around the target of 0.55 s.
FIRST_TOKEN_BUCKETS = (
    *(0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.55, 0.6, 0.8),
    *(1.0, 1.5, 2.0, 3.0, 5.0, 10.0, 30.0),
)
#: Seconds; finest around the target of 34 ms.
TOKEN_GAP_BUCKETS = (
    *(0.005, 0.01, 0.02, 0.025, 0.03, 0.034, 0.04, 0.05),
    *(0.075, 0.1, 0.2, 0.5, 1.0, 3.0),
)
#: Seconds; a booking takes a few milliseconds, an answer up to its time-out.
PART_BUCKETS = (
    *(0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5),
    *(1.0, 2.0, 5.0, 10.0, 30.0),
)


class Targets(enum.StrEnum):
    """Whether an answer met both latency targets (goodput)."""

    MET = 'met'
    MISSED = 'missed'


class CallbackGauge(registry_module.Collector):
    """A gauge whose values are read from a component at each scrape.

    :param labels: their values are the keys of the mapping that is read:
        strings if there is one label, tuples if there are several.
    """

    def __init__(self, *, name: str, text: str, labels: tuple[str, ...]):
        self._name = name
        self._text = text
        self._labels = labels
        self._read: abc.Callable[[], abc.Mapping[typing.Any, float]] = dict

    def set_callback(
        self, read: abc.Callable[[], abc.Mapping[typing.Any, float]]
    ) -> None:
        """Export the values that ``read`` returns, by label value.

        :param read: called at each scrape, in any thread; returns a copy.
        """
        self._read = read

    def collect(self) -> abc.Iterator[core.GaugeMetricFamily]:
        """Yield the gauge; called by the registry at each scrape."""
        family = core.GaugeMetricFamily(
            self._name, self._text, labels=self._labels
        )
        for value, number in sorted(self._read().items()):
            values = value if len(self._labels) > 1 else (value,)
            family.add_metric(values if self._labels else (), number)
        yield family


class CallbackCounter(registry_module.Collector):
    """A counter whose values are read from a component at each scrape.

    The component needs no dependency on metrics, and no event can be counted
    twice or missed between two scrapes. Reading one count needs no lock.

    :param name: without ``_total``, which is appended.
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
        """Export the counts that ``read`` returns, by label value.

        :param read: called at each scrape, in any thread; label values
            absent from its result are exported as 0.
        """
        self._read = read

    def collect(self) -> abc.Iterator[core.CounterMetricFamily]:
        """Yield the counter; called by the registry at each scrape."""
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

    Thread-safe.

    :param registry: where to register them; a new registry by default.
    """

    def __init__(
        self, *, registry: prometheus_client.CollectorRegistry | None = None
    ) -> None:
        self.registry = registry or prometheus_client.CollectorRegistry()
        #: Label names of every metric, for the reference page.
        self.labels_by_name: dict[str, tuple[str, ...]] = {}
        # Gauges come first: a monitor that stores only the first kilobytes of
        # each scrape still gets the age of the configuration.
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
        self.repeats = self._counter(
            'repeated_sends',
            'Sends to backend servers of requests that were sent before.',
            'step',
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
        _start_at_zero(self.repeats, events.Step)
        _start_at_zero(self.wasted_prefill, waste.WasteReason)

    def _make_watched(self) -> None:
        self.answers_without_room = self._watched(
            'answers_without_room',
            'Answers of backend servers that were broken off, or not begun, '
            'as they would have taken too much memory.',
            None,
            [UNLABELLED],
        )
        self.peer_drops = self._watched(
            'peer_drops',
            'Messages between instances that were not delivered.',
            'reason',
            list(envelopes.DropReason),
        )
        self.tunnels_asked = self._watched(
            'tunnels_asked',
            'Connections to backend servers asked of other instances.',
            'outcome',
            list(tunnels.Outcome),
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
        self.rate_limits_stated = self._watched(
            'rate_limits_stated',
            'Answers to this entry in which a backend server limits its rate.',
            None,
            [UNLABELLED],
        )
        self.charges = self._watched(
            'account_charges',
            'Charges of accounts with a rate, as answered by this instance.',
            'outcome',
            list(rates.ChargeOutcome),
        )
        self.order_repeats = self._watched(
            'order_repeats',
            'Orders sent again, as the answer was lost or a failure.',
            None,
            [UNLABELLED],
        )

        self.shed_bookings = self._watched(
            'shed_bookings',
            'Bookings that this owner declined at once, as it was late.',
            'rank',
            [str(rank) for rank in range(shedding.LAST_LABELLED_RANK + 1)],
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
            'voters', 'Voters of the set that is confirmed here.'
        )
        self.lease_epoch = self._watched_gauge(
            'lease_epoch',
            "Epochs of this instance's leases on cells.",
            'cell',
        )
        self.owner_lag = self._watched_gauge(
            'owner_lag_seconds',
            "Longest delay of this owner's ticks in the last 10 s.",
            'cell',
        )
        self.account_refusals = self._watched_gauge(
            'account_refusals',
            'Charges refused here over the rate, of the accounts with most.',
            'account',
        )
        self.quarantined = self._watched_gauge(
            'quarantined_calls',
            'Calls and parts of prompts that are held back, as they end '
            'backend servers.',
        )
        self.detours = self._watched_gauge(
            'detours',
            'Backend servers that are reached through another instance.',
        )
        self.answer_bytes = self._watched_gauge(
            'answer_bytes', "Memory that backend servers' answers take here."
        )
        self.tunnels = self._watched_gauge(
            'tunnels',
            'Connections of other instances to backend servers through this '
            'one.',
        )
        self.retry_budget = self._watched_gauge(
            'retry_budget',
            'Attempts after the first that may still be made here.',
            'service',
        )
        self.unanswered_bookings = self._watched_gauge(
            'unanswered_bookings',
            "Bookings of this entry that a cell's owner has yet to answer.",
            'cell',
        )
        self.booking_window = self._watched_gauge(
            'booking_window', 'The most of these that may be open.', 'cell'
        )
        self.waiting_bookings = self._watched_gauge(
            'waiting_bookings',
            'Bookings that wait at this entry, as the owner answers late.',
            'cell',
        )
        self.backends = self._gauge(
            'backends', 'Backend servers that may get work.', 'pool'
        )
        self.rate_limited = self._gauge(
            'rate_limited_backends',
            'Of those of the cells that this instance owns, the ones that '
            'limit their rate.',
            'pool',
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

        self.resource_used = self._watched_gauge(
            'resource_used_ratio',
            'Part in use of each resource of the cells that this instance '
            'owns.',
            'cell',
            'resource',
        )
        self.binding_resource = self._watched_gauge(
            'binding_resource',
            'Whether work asks for more of the resource than there is, or '
            'nearly as much, and most of all.',
            'cell',
            'resource',
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
        """Count one answer of any kind to a client."""
        self.answers.labels(verdict.value).inc()

    def count_refusal(self, refusal: verdicts.Refusal) -> None:
        """Count one refusal; it counts as an answer, too."""
        self.refusals.labels(refusal.reason.value).inc()
        self.count_answer(refusal.verdict)

    def count_retry(self, reason: verdicts.RetryReason) -> None:
        """Count one retry."""
        self.retries.labels(reason.value).inc()

    def count_wasted_prefill(
        self, reason: waste.WasteReason, tokens: int
    ) -> None:
        """Count prompt tokens whose prefill was wasted."""
        self.wasted_prefill.labels(reason.value).inc(tokens)

    def count_stream(self, service: str, targets: Targets) -> None:
        """Count one complete answer of a model service."""
        self.streams.labels(service, targets.value).inc()

    def observe_first_token(self, service: str, seconds: float) -> None:
        """Record the time from a request's arrival to its first token."""
        self.first_token.labels(service).observe(seconds)

    def observe_phase(self, took: effects.PhaseDuration) -> None:
        """Record the duration of one phase of a request."""
        self.parts.labels(took.service, took.phase.value).observe(took.seconds)

    def observe_token_gap(self, service: str, seconds: float) -> None:
        """Record the time between two tokens of one stream."""
        self.token_gap.labels(service).observe(seconds)

    def set_pool(
        self,
        pool: str,
        *,
        backends: int,
        limited: int,
        slots: int,
        used: int,
        queue: int,
    ) -> None:
        """Set all gauges of one pool."""
        self.backends.labels(pool).set(backends)
        self.rate_limited.labels(pool).set(limited)
        self.slots.labels(pool).set(slots)
        self.slots_used.labels(pool).set(used)
        self.queue.labels(pool).set(queue)

    def remove_pool(self, pool: str) -> None:
        """Remove the gauges of a pool that is no longer in the document.

        Otherwise they would keep their last values and look like free slots.
        """
        gauges = (
            *(self.backends, self.rate_limited),
            *(self.slots, self.slots_used, self.queue),
        )
        for gauge in gauges:
            gauge.remove(pool)

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)

    def value(self, name: str, **labels: str) -> float:
        """Return a sample by its name without the namespace; 0 if absent."""
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
        self, name: str, text: str, *labels: str
    ) -> CallbackGauge:
        self._remember(name, labels)
        gauge = CallbackGauge(
            name=f'{NAMESPACE}_{name}', text=text, labels=labels
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
