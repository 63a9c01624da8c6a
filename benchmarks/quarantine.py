"""Measures what a part of prompts that crashes engines costs; prints JSON.

Run it with ``PYTHONPATH=. python -m benchmarks.quarantine [SCENARIO...]``. It
runs the quarantine of many instances with their entries' checks, on a virtual
clock and links that lose messages, beside a pool of engines. A run is one
seed; each scenario has many, and the worst one is printed, too.
"""

import collections
from collections import abc
import dataclasses
import json
import random
import statistics
import sys
import typing

from dandeliongw.coordination import parts
from dandeliongw.coordination import presence
from dandeliongw.coordination import quarantine
from dandeliongw.entry import crash_detection
from dandeliongw.entry import fingerprints
from dandeliongw.entry import progress
from dandeliongw.entry import quarantine_check
from dandeliongw import events
from tests import quarantine_network

#: Seconds until requests with bad parts begin, for which they come, and from
#: their end to the end of a run.
BEFORE_S, BAD_S, AFTER_S = 8.0, 40.0, 5.0
#: Seconds from the begin of a run to the crash of its engine.
CRASH_AFTER_S = (0.02, 0.15)
#: Seconds from a crash to its proof at an entry, and until the engine is back.
PROOF_S = (0.01, 0.4)
BACK_S = (2.0, 6.0)
#: Seconds that a prefill and a stream take, and a piece of a stream.
PREFILL_S = (0.05, 0.3)
STREAM_S = (1.0, 6.0)
PIECE_S = 0.04
#: Crashes after which sends are bounded, and the seconds until they are.
BOUND_CRASHES, STABLE_S = 5, 3.0
#: Engines that one request may crash by itself, as its stream is resumed.
MOST_RUNS = 3


@dataclasses.dataclass(frozen=True, kw_only=True)
class Scenario:
    """Who sends what, and through which instances.

    :param sound_per_s: sound requests a second, over all instances.
    :param bad_per_s: requests with each bad part a second.
    :param bad_parts: number of bad parts.
    :param companion: whether each bad part comes with one of its own.
    :param rare: share of the sound requests that have a rare part.
    :param crashes_per_s: engines that end for other reasons.
    :param restarts: whether instances restart in turn, one each 1.6 s.
    :param wave: requests with a bad part that arrive at one moment.
    """

    instances: int = 7
    engines: int = 6
    sound_per_s: float = 14.0
    bad_per_s: float = 1.0
    bad_parts: int = 1
    companion: bool = False
    rare: float = 0.2
    crashes_per_s: float = 0.0
    loss: float = 0.1
    restarts: bool = False
    wave: int = 1
    seeds: int = 50


SCENARIOS = {
    'usual': Scenario(),
    'few sound requests': Scenario(sound_per_s=2.0),
    'two a second': Scenario(bad_per_s=2.0),
    'two bad parts': Scenario(bad_parts=2),
    'companions': Scenario(companion=True),
    'three in ten messages lost': Scenario(loss=0.3),
    'restarts': Scenario(restarts=True, bad_per_s=2.0),
    'waves': Scenario(wave=6, bad_per_s=0.2),
    'other crashes': Scenario(crashes_per_s=0.2),
    'other crashes, nothing bad': Scenario(crashes_per_s=0.5, bad_per_s=0.0),
    '80 instances': Scenario(
        instances=80, engines=45, sound_per_s=120.0, bad_per_s=2.0, seeds=5
    ),
    '350 instances': Scenario(
        instances=350, engines=200, sound_per_s=600.0, bad_per_s=2.0, seeds=2
    ),
}


@dataclasses.dataclass(kw_only=True)
class Stream:
    """One request, and its present run.

    :param bad_part: the part of its prompt that crashes engines, if any.
    """

    call: events.Call
    entry: str
    bad_part: str
    trial_of: tuple[str, ...] = ()
    engine: 'Engine | None' = None
    began_at: float = 0.0
    ends_at: float = 0.0
    runs: int = 0


@dataclasses.dataclass(kw_only=True)
class Engine:
    """One decode engine; it has a new incarnation after each crash."""

    backend_id: str
    incarnation: int = 1
    is_up: bool = True
    streams: list[Stream] = dataclasses.field(default_factory=list)

    @property
    def start(self) -> presence.BackendStart:
        return presence.BackendStart(
            backend_id=self.backend_id, incarnation=self.incarnation
        )


class World(quarantine_network.Instances):
    """Instances, engines and requests of one run."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self.checks_by_id: dict[str, quarantine_check.QuarantineCheck] = {}
        self._begun_at_by_id: dict[str, float] = {}
        self._asking: dict[str, tuple[str, quarantine_check.Held, Stream]] = {}
        self._fingerprints = fingerprints.Fingerprints(secret=b'secret')
        super().__init__(
            count=scenario.instances, loss=scenario.loss, seed=seed
        )
        self.engines = [
            Engine(backend_id=f'engine-{number}')
            for number in range(scenario.engines)
        ]
        self.numbers = iter(range(1 << 40))
        self.crashes_by_part: dict[str, list[float]] = collections.defaultdict(
            list
        )
        #: Sends to engines by the bad part of their prompts, through instances
        #: that have run for long enough to count.
        self.sends_by_part: dict[str, list[float]] = collections.defaultdict(
            list
        )
        self.sound_begun = self.sound_refused = self.other_crashes = 0

    def begin(self, instance_id: str) -> None:
        super().begin(instance_id)
        self._begun_at_by_id[instance_id] = self.now
        self.checks_by_id[instance_id] = quarantine_check.QuarantineCheck(
            quarantine=self.parts_by_id[instance_id],
            fingerprints=self._fingerprints,
        )

    # Requests

    def simulate(self) -> None:
        scenario = self.scenario
        self._repeat(scenario.sound_per_s, self._send_sound, 0.0, 1e9)
        until = BEFORE_S + BAD_S
        for number in range(scenario.bad_parts):
            self._repeat(
                scenario.bad_per_s,
                lambda number=number: self._send_bad(f'bad-{number}'),
                BEFORE_S,
                until,
            )
        self._repeat(scenario.crashes_per_s, self._crash_any, BEFORE_S, until)
        if scenario.restarts:
            self._later(BEFORE_S, self._restart, 0)
        self.run(until + AFTER_S)

    def _repeat(
        self,
        rate_per_s: float,
        call: abc.Callable[[], None],
        since: float,
        until: float,
    ) -> None:
        """Call something at random moments, so often on average."""
        if not rate_per_s:
            return

        def again() -> None:
            if self.now >= until:
                return
            call()
            self._later(self.chance.expovariate(rate_per_s), again)

        self._later(since, again)

    def _restart(self, number: int) -> None:
        self.begin(self.ids[number % len(self.ids)])
        self._later(1.6, self._restart, number + 1)

    def _send_sound(self) -> None:
        shared = ['first', f'common-{self.chance.randrange(8)}']
        if self.chance.random() < self.scenario.rare:
            shared.append(f'rare-{self.chance.randrange(200)}')
        self._arrive(shared, '')

    def _send_bad(self, part: str) -> None:
        for _ in range(self.scenario.wave):
            shared = ['first', f'common-{self.chance.randrange(8)}', part]
            if self.scenario.companion:
                shared.append(f'with-{part}')
            self._arrive(shared, part)

    def _arrive(self, shared: list[str], bad_part: str) -> None:
        number = next(self.numbers)
        call = events.Call(
            service='model',
            method='POST',
            path='/x',
            streamed=True,
            key_sha256='',
            idempotency_key=None,
            digest=str(number).encode(),
            shared_parts=tuple(shared),
        )
        entry = self.chance.choice(self.ids)
        self._try(Stream(call=call, entry=entry, bad_part=bad_part))

    def _held(self, stream: Stream) -> quarantine_check.Held | None:
        return self.checks_by_id[stream.entry].refusal(
            self.now, 'r', stream.call
        )

    def _try(self, stream: Stream) -> None:
        """Send a request, or ask for a trial, or refuse it."""
        held = self._held(stream)
        if held is None:
            self._send_to_engine(stream)
        elif not held.may_be_trial or stream.runs:
            self.sound_refused += not stream.bad_part and not stream.runs
        else:
            ticket = str(next(self.numbers))
            self._asking[ticket] = stream.entry, held, stream
            self.handle(
                stream.entry,
                quarantine.AskTrial(
                    now=self.now,
                    fingerprint=min(held.suspects),
                    ticket=ticket,
                ),
            )

    def answer(self, instance_id: str, effect: parts.Complete) -> None:
        entry, held, stream = self._asking.pop(
            effect.ticket, (None, None, None)
        )
        if stream is None:
            return
        if effect.result:
            stream.trial_of = held.suspects
            self._send_to_engine(stream)
        else:
            self.sound_refused += not stream.bad_part

    def _send_to_engine(self, stream: Stream) -> None:
        """Have the prompt read; the decode begins some time later."""
        is_in_touch = self.now >= self._begun_at_by_id[stream.entry] + STABLE_S
        if stream.bad_part and is_in_touch:
            self.sends_by_part[stream.bad_part].append(self.now)
        delay_s = 0.0 if stream.runs else self.chance.uniform(*PREFILL_S)
        self._later(delay_s, self._decode, stream)

    def _decode(self, stream: Stream) -> None:
        held = self._held(stream)
        if held is not None and not set(held.suspects) <= set(stream.trial_of):
            self.sound_refused += not stream.bad_part and not stream.runs
            return
        up = [each for each in self.engines if each.is_up]
        if not up:
            return
        engine = min(up, key=lambda each: len(each.streams))
        self.sound_begun += not stream.bad_part and not stream.runs
        stream.runs += 1
        stream.engine = engine
        stream.began_at = self.now
        self._later(
            progress.MIN_WRITING_S,
            self._go_on,
            stream,
            engine,
            engine.incarnation,
        )
        stream.ends_at = self.now + self.chance.uniform(*STREAM_S)
        engine.streams.append(stream)
        if stream.bad_part:
            self._later(
                self.chance.uniform(*CRASH_AFTER_S),
                self._crash_under,
                stream,
                engine.incarnation,
            )
        else:
            self._later(
                stream.ends_at - self.now,
                self._end_well,
                stream,
                engine,
                engine.incarnation,
            )

    def _go_on(self, stream: Stream, engine: Engine, incarnation: int) -> None:
        is_running = engine.is_up and engine.incarnation == incarnation
        if is_running and self.now < stream.ends_at:
            self._note_good(stream)

    def _end_well(
        self, stream: Stream, engine: Engine, incarnation: int
    ) -> None:
        if not engine.is_up or engine.incarnation != incarnation:
            return
        engine.streams.remove(stream)
        part = self.parts_by_id[stream.entry]
        check = self.checks_by_id[stream.entry]
        part.successes.record(self.now, check.fingerprint(stream.call))
        self._note_good(stream)

    def _note_good(self, stream: Stream) -> None:
        part = self.parts_by_id[stream.entry]
        check = self.checks_by_id[stream.entry]
        for each in check.parts(stream.call):
            part.good_parts.record(self.now, each)
            if not part.is_empty:
                self.handle(
                    stream.entry,
                    quarantine.Succeeded(now=self.now, fingerprint=each),
                )

    # Crashes

    def _crash_any(self) -> None:
        up = [each for each in self.engines if each.is_up]
        if up:
            self.other_crashes += 1
            self._crash(self.chance.choice(up))

    def _crash_under(self, stream: Stream, incarnation: int) -> None:
        engine = stream.engine
        if engine.is_up and engine.incarnation == incarnation:
            self.crashes_by_part[stream.bad_part].append(self.now)
            self._crash(engine)

    def _crash(self, engine: Engine) -> None:
        engine.is_up = False
        self._later(self.chance.uniform(*BACK_S), self._start, engine)
        for stream in engine.streams:
            self._note_written(stream)
            self._later(
                self.chance.uniform(*PROOF_S),
                self._report,
                stream,
                engine.start,
                self.now,
            )
            if not stream.trial_of and stream.runs < MOST_RUNS:
                self._later(0.01, self._try, stream)
        engine.streams = []

    def _start(self, engine: Engine) -> None:
        engine.incarnation += 1
        engine.is_up = True

    def _note_written(self, stream: Stream) -> None:
        wrote_s = self.now - stream.began_at
        if wrote_s < progress.MIN_WRITING_S:
            return
        check = self.checks_by_id[stream.entry]
        for each in check.parts(stream.call):
            self.parts_by_id[stream.entry].good_parts.record(self.now, each)

    def _report(
        self, stream: Stream, start: presence.BackendStart, ended_at: float
    ) -> None:
        check = self.checks_by_id[stream.entry]
        wrote_s = ended_at - stream.began_at
        run = crash_detection.InterruptedRun(
            request_id='r',
            fingerprint=check.fingerprint(stream.call),
            content='',
            parts=check.parts(stream.call),
            service='model',
            caller='',
            start=start,
            url='',
            ran_s=wrote_s,
            pieces=int(wrote_s / PIECE_S),
            wrote_s=wrote_s,
            trial_of=stream.trial_of,
        )
        for suspect in run.suspects:
            self.handle(
                stream.entry,
                quarantine.Ended(
                    now=self.now,
                    fingerprint=suspect,
                    start=start,
                    ended_at=ended_at,
                    is_trial=suspect in run.trial_of,
                    is_part=suspect != run.fingerprint,
                ),
            )

    def late_sends(self) -> int:
        """Return the most sends with one part long after its fifth crash."""
        return max(
            (
                sum(each > crashes[BOUND_CRASHES - 1] + STABLE_S for each in s)
                for part, s in self.sends_by_part.items()
                if len(crashes := sorted(self.crashes_by_part[part]))
                >= BOUND_CRASHES
            ),
            default=0,
        )


def measure(scenario: Scenario) -> dict[str, typing.Any]:
    """Return what the runs of a scenario came to."""
    crashes, late, refused, sent, sent_bytes = [], [], [], [], []
    for seed in range(scenario.seeds):
        world = World(scenario, seed)
        world.simulate()
        crashes += [len(each) for each in world.crashes_by_part.values()]
        late.append(world.late_sends())
        sound = world.sound_refused + world.sound_begun
        refused.append(world.sound_refused / sound)
        total = sum(map(len, world.crashes_by_part.values()))
        ended = max(1, total + world.other_crashes)
        sent.append(world.sent / ended / scenario.instances)
        sent_bytes.append(world.sent_bytes / ended / scenario.instances)
    return {
        'runs': scenario.seeds,
        'crashes_of_a_part': _median_and_most(crashes),
        'late_sends': _median_and_most(late),
        'runs_with_over_3_late': sum(each > 3 for each in late),
        'sound_refused_share': _median_and_most(refused),
        'datagrams_of_an_instance_for_a_crash': round(
            statistics.median(sent), 1
        ),
        'bytes_of_an_instance_for_a_crash': round(
            statistics.median(sent_bytes)
        ),
    }


def _median_and_most(values: abc.Sequence[float]) -> dict[str, float]:
    if not values:
        return {}
    return {
        'median': round(statistics.median(values), 4),
        'most': round(max(values), 4),
    }


def main() -> None:
    """Print one line for each scenario; all by default."""
    for name in sys.argv[1:] or SCENARIOS:
        random.seed(0)
        found = measure(SCENARIOS[name])
        print(json.dumps({'scenario': name, **found}), flush=True)


if __name__ == '__main__':
    main()
