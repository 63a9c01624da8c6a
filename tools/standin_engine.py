"""A stand-in model engine: the engine model behind real HTTP.

Run ``python -m tools.standin_engine --help``. Prints one line of JSON with
its port when it is ready. ``POST /faults`` sets fault switches, see
:class:`tools.engine_model.Faults`; ``GET /state`` shows counters.
"""

from collections import abc
import contextlib
import dataclasses
import json
import math
import os
import signal
import threading
import time
import typing

import defopt
import urllib3

from dandeliongw.cell import prefixes
from tools import announcer
from tools import engine_model
from tools import json_server

#: Of a process that a call ended.
EXIT_CODE = 70
#: Longest wait of any handler, so that no thread is held for good.
LONGEST_WAIT_S = 120.0


class Engine:
    """One engine on the real clock; thread-safe."""

    def __init__(
        self,
        *,
        model: engine_model.EngineModel,
        priorities: abc.Sequence[str],
        import_timeout_s: float,
    ) -> None:
        self.model = model
        self.orders: list[dict[str, typing.Any]] = []
        self._rank_by_priority = {
            name: rank for rank, name in enumerate(priorities)
        }
        self._import_timeout_s = import_timeout_s
        self._changed = threading.Condition()
        self._prefilled_by_kv: dict[str, engine_model.Prefilled] = {}
        self._reader_by_stream: dict[str, int] = {}
        self._http = urllib3.PoolManager(retries=False, maxsize=32)
        self._ticker = threading.Thread(
            target=self._tick, name='ticker', daemon=True
        )

    def start(self) -> None:
        """Let the model's time run."""
        self._ticker.start()

    @contextlib.contextmanager
    def at_now(self) -> abc.Iterator[float]:
        """Hold the model, brought up to the present time."""
        with self._changed:
            now = time.monotonic()
            self._advance(now)
            yield now
            self._changed.notify_all()

    def _advance(self, now: float) -> None:
        for happened in self.model.advance(now):
            if isinstance(happened, engine_model.Prefilled):
                self._prefilled_by_kv[happened.kv] = happened

    def _tick(self) -> None:
        with self._changed:
            while True:
                self._advance(time.monotonic())
                self._changed.notify_all()
                wait_s = self.model.next_at() - time.monotonic()
                self._changed.wait(min(max(wait_s, 0.0), 1.0))

    def _wait_for(self, ready: abc.Callable[[], typing.Any]) -> typing.Any:
        """Wait, holding the model, until ``ready`` returns true."""
        until = time.monotonic() + LONGEST_WAIT_S
        result = ready()
        while not result and time.monotonic() < until:
            self._changed.wait(0.5)
            result = ready()
        return result

    def rank(self, priority: typing.Any) -> int:
        """Return the rank of a priority; names not known go last."""
        if isinstance(priority, int):
            return priority
        last = len(self._rank_by_priority)
        return self._rank_by_priority.get(priority, last)

    def is_idle(self) -> bool:
        """Return whether nothing runs, waits or is held to be read."""
        with self.at_now():
            load = self.model.load()
            busy = load.running or load.waiting or load.slots_used
            return not busy and not self.model.streams_by_id

    def prefill(self, request: json_server.Request) -> json_server.Answer:
        body = request.json()
        stream_id, attempt_id = body['stream_id'], body['attempt_id']
        prompt = body['prompt']
        kv = engine_model.kv_name(stream_id, attempt_id)
        with self.at_now() as now:
            if not self.model.accept_fence(int(body.get('fence', 0))):
                return refuse(409, engine_model.Reason.FENCED)
            reason = self.model.start_prefill(
                now,
                stream_id=stream_id,
                attempt_id=attempt_id,
                tokens=max(1, len(prompt.split())),
                prefix=prefixes.hash_blocks(prompt),
                rank=self.rank(body.get('priority', 0)),
                seed=engine_model.seed_of(prompt),
            )
            if reason is not None:
                return refuse(503, reason)
            self._changed.notify_all()
            self._wait_for(
                lambda: (
                    kv in self._prefilled_by_kv
                    or not self.model.has_prefill(stream_id, attempt_id)
                )
            )
            done = self._prefilled_by_kv.pop(kv, None)
        if done is None:
            return json_server.Answer(status=409, body={'reason': 'cancelled'})
        answer = {
            'kv': done.kv,
            'tokens': done.tokens,
            'cached_tokens': done.cached_tokens,
            'bytes': done.kv_bytes,
        }
        return json_server.Answer(body=answer)

    def export(self, request: json_server.Request) -> json_server.Answer:
        kv = request.query['kv']
        with self.at_now() as now:
            transfer = self.model.export(now, kv)
            if not isinstance(transfer, engine_model.Transfer):
                return refuse(404, transfer)
            self._wait_for(lambda: self._transfer_over(kv, transfer))
            moved = time.monotonic() >= transfer.ends_at
            if not moved or kv not in self.model.kv_by_name:
                self.model.unpin_kv(time.monotonic(), kv)
                return refuse(404, engine_model.Reason.EVICTED)
            self.model.drop_kv(kv)
        answer = {
            'bytes': transfer.kv_bytes,
            'tokens': transfer.tokens,
            'seed': transfer.seed,
        }
        return json_server.Answer(body=answer)

    def _transfer_over(self, kv: str, transfer: engine_model.Transfer) -> bool:
        if kv not in self.model.kv_by_name:
            return True
        stalled = transfer.ends_at == math.inf
        if stalled and not self.model.faults.stall_transfer:
            return True
        left_s = transfer.ends_at - time.monotonic()
        if left_s <= 0:
            return True
        self._changed.wait(min(left_s, 0.5))
        return time.monotonic() >= transfer.ends_at

    def import_kv(self, request: json_server.Request) -> json_server.Answer:
        body = request.json()
        ids = {
            'stream_id': body['stream_id'],
            'attempt_id': body['attempt_id'],
        }
        with self.at_now() as now:
            if not self.model.accept_fence(int(body.get('fence', 0))):
                return refuse(409, engine_model.Reason.FENCED)
            reason = self.model.reserve_slot(now, **ids)
            if reason is not None:
                return refuse(409, reason)
        moved = self._pull(body['source_url'], body['kv'])
        with self.at_now() as now:
            if isinstance(moved, engine_model.Reason):
                self._free(now, ids)
                return refuse(409, moved)
            # The slot is gone if the stream was cancelled meanwhile.
            stream = self.model.streams_by_id.get(ids['stream_id'])
            if stream is None or stream.attempt_id != ids['attempt_id']:
                return refuse(409, engine_model.Reason.STALLED)
            stream.kv_bytes = moved['bytes']
            stream.prompt_tokens = moved['tokens']
            stream.seed = moved['seed']
        return json_server.Answer(body={'bytes': moved['bytes']})

    def _free(self, now: float, ids: dict[str, str]) -> None:
        stream = self.model.streams_by_id.get(ids['stream_id'])
        if stream is not None and stream.attempt_id == ids['attempt_id']:
            self.model.forget_stream(ids['stream_id'])

    def _pull(
        self, source_url: str, kv: str
    ) -> dict[str, typing.Any] | engine_model.Reason:
        try:
            response = self._http.request(
                'GET',
                f'{source_url.rstrip("/")}/v1/export',
                fields={'kv': kv},
                timeout=urllib3.Timeout(
                    connect=1.0, read=self._import_timeout_s
                ),
            )
        except urllib3.exceptions.HTTPError:
            return engine_model.Reason.STALLED
        if response.status != 200:
            return engine_model.Reason.EVICTED
        return response.json()

    def decode(self, request: json_server.Request) -> json_server.Answer:
        body = request.json()
        stream_id = body['stream_id']
        with self.at_now() as now:
            held = self.model.streams_by_id.get(stream_id)
            if held is None or held.attempt_id != body['attempt_id']:
                return json_server.Answer(
                    status=404, body={'reason': 'unknown'}
                )
            stream = self.model.start_decode(
                now,
                stream_id=stream_id,
                max_tokens=int(body['max_tokens']),
            )
            reader = self._reader_by_stream.get(stream_id, 0) + 1
            self._reader_by_stream[stream_id] = reader
        pieces = self._pieces(stream, int(body.get('from_offset', 0)), reader)
        return json_server.Answer(
            stream=pieces, content_type='text/event-stream'
        )

    def _pieces(
        self, stream: engine_model.Stream, offset: int, reader: int
    ) -> abc.Iterator[bytes]:
        while True:
            with self._changed:
                self._wait_for(
                    lambda: (
                        stream.made > offset
                        or stream.finished
                        or not self._is_reading(stream, reader)
                    )
                )
                if not self._is_reading(stream, reader):
                    return
                made = stream.made
                over = stream.finished
                # A fault hits the first connection of a stream only, so
                # that a resume can be seen to mend it.
                faults = self.model.faults if reader == 1 else None
            while offset < made:
                if faults and self._fault_ends(faults, stream, offset):
                    return
                yield self._piece(stream, offset)
                if faults and faults.duplicate_pieces:
                    yield self._piece(stream, offset)
                offset += 1
            if over:
                yield event(
                    {
                        'attempt_id': stream.attempt_id,
                        'end': True,
                        'tokens': stream.made,
                    }
                )
                break
        with self.at_now():
            if self._is_reading(stream, reader):
                self.model.forget_stream(stream.stream_id)
                self._reader_by_stream.pop(stream.stream_id, None)

    def _is_reading(self, stream: engine_model.Stream, reader: int) -> bool:
        held = self.model.streams_by_id.get(stream.stream_id)
        current = self._reader_by_stream.get(stream.stream_id)
        return held is stream and current == reader

    def _fault_ends(
        self,
        faults: engine_model.Faults,
        stream: engine_model.Stream,
        offset: int,
    ) -> bool:
        if stream.seed == engine_model.seed_of(faults.end_on):
            os._exit(EXIT_CODE)
        if offset == faults.cut_after_tokens:
            raise json_server.CutConnection
        if offset == faults.truncate_after_tokens:
            return True
        if offset != faults.stall_after_tokens:
            return False
        with self._changed:
            self._wait_for(
                lambda: (
                    faults.stall_after_tokens != offset
                    or not self._is_reading(stream, 1)
                )
            )
            return not self._is_reading(stream, 1)

    def _piece(self, stream: engine_model.Stream, offset: int) -> bytes:
        attempt_id = stream.attempt_id
        if self.model.faults.old_attempt_id:
            attempt_id = f'{attempt_id}-old'
        return event(
            {
                'attempt_id': attempt_id,
                'offset': offset,
                'text': engine_model.token_text(stream.seed, offset),
            }
        )

    def cancel(self, request: json_server.Request) -> json_server.Answer:
        body = request.json()
        with self.at_now() as now:
            if self.model.faults.drop_cancels:
                return json_server.Answer(
                    status=503, body={'reason': 'dropped'}
                )
            held = self.model.cancel(
                now,
                stream_id=body['stream_id'],
                attempt_id=body['attempt_id'],
            )
        state = 'cancelled' if held else 'unknown'
        return json_server.Answer(body={'state': state})

    def streams(self, request: json_server.Request) -> json_server.Answer:
        with self.at_now():
            streams = [
                {
                    'stream_id': stream.stream_id,
                    'attempt_id': stream.attempt_id,
                    'bytes': 0 if stream.finished else stream.kv_bytes,
                }
                for stream in self.model.streams_by_id.values()
            ]
            streams.extend(
                {
                    'stream_id': held.job.stream_id,
                    'attempt_id': held.job.attempt_id,
                    'bytes': held.job.tokens
                    * self.model.speeds.kv_bytes_per_token,
                }
                for held in self.model.kv_by_name.values()
            )
        return json_server.Answer(body={'streams': streams})

    def order(self, request: json_server.Request) -> json_server.Answer:
        body = request.json()
        with self.at_now():
            if not self.model.accept_fence(int(body.get('fence', 0))):
                return refuse(409, engine_model.Reason.FENCED)
            self.orders.append(body)
        return json_server.Answer(body={})

    def set_faults(self, request: json_server.Request) -> json_server.Answer:
        with self.at_now():
            for name, value in request.json().items():
                if not hasattr(self.model.faults, name):
                    return json_server.Answer(
                        status=404, body={'reason': f'no fault {name!r}'}
                    )
                setattr(self.model.faults, name, value)
            return json_server.Answer(
                body=dataclasses.asdict(self.model.faults)
            )

    def state(self, request: json_server.Request) -> json_server.Answer:
        with self.at_now():
            wasted = {
                reason.value: tokens
                for reason, tokens in (
                    self.model.wasted_tokens_by_reason.items()
                )
            }
            body = {
                'load': dataclasses.asdict(self.model.load()),
                'prefill_tokens_done': self.model.prefill_tokens_done,
                'wasted_tokens_by_reason': wasted,
                'highest_fence': self.model.highest_fence,
                'orders': self.orders,
            }
        return json_server.Answer(body=body)

    def handlers(self) -> dict[tuple[str, str], json_server.Handler]:
        """Return the handlers by method and path."""
        return {
            ('POST', '/v1/prefill'): self.prefill,
            ('GET', '/v1/export'): self.export,
            ('POST', '/v1/import'): self.import_kv,
            ('POST', '/v1/decode'): self.decode,
            ('POST', '/v1/cancel'): self.cancel,
            ('GET', '/v1/streams'): self.streams,
            ('POST', '/v1/order'): self.order,
            ('POST', '/faults'): self.set_faults,
            ('GET', '/state'): self.state,
        }


def refuse(status: int, reason: engine_model.Reason) -> json_server.Answer:
    """Return a refusal with its reason."""
    return json_server.Answer(status=status, body={'reason': reason.value})


def event(body: dict[str, typing.Any]) -> bytes:
    """Return one server-sent event."""
    return f'data: {json.dumps(body)}\n\n'.encode()


def run_until_signal(
    server: json_server.JsonServer,
    ready: dict[str, typing.Any],
    announce: announcer.Announcer,
    is_idle: abc.Callable[[], bool],
) -> None:
    """Serve until SIGTERM; then leave, finish what runs, and stop."""
    stop = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.set())
    announce.start()
    print(json.dumps(ready), flush=True)
    stop.wait()
    announce.leave()
    while not is_idle():
        time.sleep(0.05)
    server.stop()


def main(
    *,
    backend_id: str,
    service: str = 'dieline-llm',
    role: str = 'decode',
    data_centre: str = '',
    host: str = '127.0.0.1',
    port: int = 0,
    control_urls: list[str] | None = None,
    ignore_fence: bool = False,
    priorities: list[str] | None = None,
    slots: int = 20,
    prefill_tokens_per_s: float = 10_000.0,
    step_s: float = 0.015,
    step_per_stream_s: float = 0.00075,
    kv_bytes_per_token: int = 100_000,
    link_bytes_per_s: float = 2e9,
    kv_ttl_s: float = 0.8,
    cache_blocks: int = 2_000,
    import_timeout_s: float = 2.0,
    report_lag_s: float = 0.5,
    gap_every: int = 0,
    faults: str = '{}',
) -> None:
    """Run a stand-in engine until SIGTERM.

    :param backend_id: the name to announce.
    :param role: prefill or decode.
    :param port: zero lets the system choose; the ready line tells it.
    :param control_urls: control ports of instances to announce to.
    :param ignore_fence: obey orders with old fencing numbers.
    :param priorities: priority names, the most urgent first.
    :param step_s: seconds a step of an empty batch takes.
    :param step_per_stream_s: seconds added for each stream of the batch.
    :param kv_ttl_s: seconds until an unclaimed prefill is evicted.
    :param cache_blocks: blocks of 64 words that the prefix cache holds.
    :param import_timeout_s: seconds until a transfer counts as stalled.
    :param report_lag_s: how old load reports and cache events are.
    :param gap_every: lose the cache events of every so many reports.
    :param faults: switches as JSON, see tools.engine_model.Faults.
    """
    speeds = engine_model.EngineSpeeds(
        slots=slots,
        prefill_tokens_per_s=prefill_tokens_per_s,
        step_s=step_s,
        step_per_stream_s=step_per_stream_s,
        kv_bytes_per_token=kv_bytes_per_token,
        link_bytes_per_s=link_bytes_per_s,
        kv_ttl_s=kv_ttl_s,
        cache_blocks=cache_blocks,
    )
    model = engine_model.EngineModel(
        speeds=speeds, checks_fence=not ignore_fence
    )
    model.faults = engine_model.Faults(**json.loads(faults))
    engine = Engine(
        model=model,
        priorities=priorities or ['urgent', 'normal', 'patient'],
        import_timeout_s=import_timeout_s,
    )
    server = json_server.JsonServer(
        host=host, port=port, handlers=engine.handlers()
    )
    engine.start()
    server.start()
    url = f'http://{host}:{server.port}'
    reporter = engine_model.Reporter(
        model=model, lag_s=report_lag_s, gap_every=gap_every
    )

    def report() -> dict[str, typing.Any]:
        with engine.at_now() as now:
            told = reporter.report(now)
        events = [dataclasses.asdict(each) for each in told.events]
        return {
            'load': dataclasses.asdict(told.load),
            'cache_events': {'first': told.first, 'events': events},
        }

    announcement = {
        'service': service,
        'role': role,
        'url': url,
        'data_centre': data_centre,
        'slots': slots,
        'checks_fence': not ignore_fence,
    }
    announce = announcer.Announcer(
        control_urls=control_urls or [],
        backend_id=backend_id,
        announcement=announcement,
        report=report,
    )
    ready = {'backend_id': backend_id, 'port': server.port, 'url': url}
    run_until_signal(server, ready, announce, engine.is_idle)


if __name__ == '__main__':
    defopt.run(main, cli_options='all')
