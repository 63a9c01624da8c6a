"""Plain backend servers that limit their rate, on a network of reducers."""

import collections
import math
import typing

import msgspec

from dandeliongw.coordination import presence
from dandeliongw import effects
from dandeliongw import events
from dandeliongw import verdict
from tests import network

CELL = 'studio-portal/local/0'
#: Seconds that a server works on a call.
WORK_S = 0.1
#: Seconds between two heartbeats of a server.
RENEWAL_S = 1.0
#: Length of the windows in which requests are counted.
WINDOW_S = 4.0


class Arrival(msgspec.Struct, frozen=True, kw_only=True):
    """A request that reached a server.

    :param is_told: whether its entry had been told of the limit by an answer
        half a second before or earlier.
    """

    at: float
    backend_id: str
    entry: str
    is_told: bool


class Refused(msgspec.Struct, frozen=True, kw_only=True):
    """A call that was refused, after ``waited_s``."""

    at: float
    waited_s: float
    refusal: verdict.Refusal


class LimitedServers:
    """Sends calls through all entries to servers that may name a limit.

    :param net: a network that is running; the document is applied here.
    :param backend_ids: the servers, all of one plain service.
    :param through: instances that get the servers' heartbeats.
    """

    def __init__(
        self,
        *,
        net: network.Network,
        backend_ids: tuple[str, ...],
        through: tuple[str, ...],
    ) -> None:
        self.net = net
        self.backend_ids = backend_ids
        #: Limits that the servers name now, in requests per second.
        self.limits_by_id: dict[str, float] = {}
        #: Instances that take calls.
        self.entries = list(net.reducers_by_id)
        self.arrivals: list[Arrival] = []
        self.refused: list[Refused] = []
        self.answered = 0
        self._through = through
        self._sequence = 1
        self._renew_at = 0.0
        self._sent = 0
        self._owed = 0.0
        self._began_by_request: dict[str, float] = {}
        self._due: collections.deque = collections.deque()
        self._seen_by_id: dict[str, int] = collections.Counter()
        self._told_at: dict[tuple[str, str], float] = {}
        net.apply_example()
        for each in backend_ids:
            for instance_id in through:
                net.announce(instance_id, each, 'plain')
        self.run(2.0)
        net.run_until(self._is_owned, 20)
        self.run(2.0)

    def _is_owned(self) -> bool:
        self._renew()
        return self.net.owner_of(CELL) is not None

    @property
    def owner(self) -> str | None:
        return self.net.owner_of(CELL)

    def run(self, seconds: float, calls_per_s: float = 0.0) -> None:
        """Let time pass while calls arrive at the entries in turn."""
        for _ in range(round(seconds / network.TICK_S)):
            self._renew()
            self.net.run(network.TICK_S)
            self._owed += calls_per_s * network.TICK_S
            while self._owed >= 1.0:
                self._owed -= 1.0
                self._call()
            self._answer_due()
            self._perform()

    def _renew(self) -> None:
        if self.net.now < self._renew_at:
            return
        self._renew_at = self.net.now + RENEWAL_S
        self._sequence += 1
        for backend_id in self.backend_ids:
            for instance_id in self._through:
                self.net.post(
                    instance_id,
                    presence.Renewed(
                        now=self.net.now,
                        backend_id=backend_id,
                        incarnation=1,
                        sequence=self._sequence,
                        load=None,
                        cache_events=None,
                        ticket='renew',
                    ),
                )

    def _call(self) -> None:
        self._sent += 1
        entry = self.entries[self._sent % len(self.entries)]
        request_id = f'r{self._sent}'
        self._began_by_request[request_id] = self.net.now
        self.net.post(entry, network.lookup(request_id, self.net.now))

    def _perform(self) -> None:
        """Perform the directives to the threads of requests."""
        for entry, made in self.net.effects_by_id.items():
            new = made[self._seen_by_id[entry] :]
            self._seen_by_id[entry] = len(made)
            for effect in new:
                self._perform_one(entry, effect)

    def _perform_one(self, entry: str, effect: typing.Any) -> None:
        match effect:
            case effects.RunCall():
                told_at = self._told_at.get(
                    (entry, effect.backend_id), math.inf
                )
                self.arrivals.append(
                    Arrival(
                        at=self.net.now,
                        backend_id=effect.backend_id,
                        entry=entry,
                        is_told=told_at <= self.net.now - 0.5,
                    )
                )
                self._due.append((self.net.now + WORK_S, entry, effect))
            case effects.Refuse():
                began = self._began_by_request[effect.request_id]
                self.refused.append(
                    Refused(
                        at=self.net.now,
                        waited_s=self.net.now - began,
                        refusal=effect.refusal,
                    )
                )
                self._close(entry, effect.request_id)
            case effects.Complete():
                self.answered += 1
                self._close(entry, effect.request_id)

    def _close(self, entry: str, request_id: str) -> None:
        closed = events.RequestClosed(now=self.net.now, request_id=request_id)
        self.net.post(entry, closed)

    def _answer_due(self) -> None:
        while self._due and self._due[0][0] <= self.net.now + 1e-6:
            _, entry, directive = self._due.popleft()
            self._answer(entry, directive)

    def _answer(self, entry: str, directive: effects.RunCall) -> None:
        limit = self.limits_by_id.get(directive.backend_id)
        if limit is not None:
            key = (entry, directive.backend_id)
            self._told_at.setdefault(key, self.net.now)
        if limit is not None or directive.is_rate_limited:
            self.net.post(
                entry,
                events.RateLimitStated(
                    now=self.net.now,
                    request_id=directive.request_id,
                    attempt_id=directive.attempt_id,
                    step=events.Step.CALL,
                    per_s=limit,
                ),
            )
        self.net.post(
            entry,
            events.StepEnded(
                now=self.net.now,
                request_id=directive.request_id,
                attempt_id=directive.attempt_id,
                step=events.Step.CALL,
                known=verdict.Verdict.RAN,
            ),
        )

    # What was observed

    def arrivals_at(
        self, backend_id: str, since: float = 0.0
    ) -> list[Arrival]:
        return [
            each
            for each in self.arrivals
            if each.backend_id == backend_id and each.at >= since
        ]

    def most_in_window(
        self, backend_id: str, *, since: float, only_told: bool = False
    ) -> int:
        """Return the most requests that reached a server in one window.

        :param since: windows begin at this time or later.
        :param only_told: count only entries that had been told of the limit.
        """
        times = [
            each.at
            for each in self.arrivals_at(backend_id, since)
            if each.is_told or not only_told
        ]
        return max(
            (
                sum(begin <= at < begin + WINDOW_S for at in times)
                for begin in times
            ),
            default=0,
        )


def most_allowed(per_s: float) -> float:
    """Return how many requests may reach a server in one window."""
    return 1.5 * per_s * WINDOW_S + 5
