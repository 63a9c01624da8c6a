"""A stand-in model engine: serves the engine model over HTTP.

Run ``python -m tools.standin_engine --help``. When it is ready, it prints
one line of JSON with its port. ``POST /faults`` sets fault switches, see
:class:`tools.engine_model.Faults`; ``GET /state`` returns counters.
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

#: Exit code of a process that a request ends, see ``Faults.end_on``.
EXIT_CODE = 70
#: Longest wait of any handler, so that none blocks its thread forever.
LONGEST_WAIT_S = 120.0


class Engine:
    """Runs an engine model on the real clock; thread-safe.

    :param priorities: names, the most urgent first.
    :param import_timeout_s: timeout of the transfer of an import.
    """

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
            target=self._run_ticker, name='ticker', daemon=True
        )

    def start(self) -> None:
        """Start to advance the model with the real clock."""
        self._ticker.start()

    @contextlib.contextmanager
    def at_now(self) -> abc.Iterator[float]:
        """Lock the model, advance it to the current time and yield that."""
        with self._changed:
            now = time.monotonic()
            self._advance(now)
            yield now
            self._changed.notify_all()

    def _advance(self, now: float) -> None:
        for change in self.model.advance(now):
            if isinstance(change, engine_model.Prefilled):
                self._prefilled_by_kv[change.kv] = change

    def _run_ticker(self) -> None:
        with self._changed:
            while True:
                self._advance(time.monotonic())
                self._changed.notify_all()
                wait_s = self.model.next_at() - time.monotonic()
                self._changed.wait(min(max(wait_s, 0.0), 1.0))

    def _wait_for(self, ready: abc.Callable[[], typing.Any]) -> typing.Any:
        """Wait until ``ready`` returns true; the caller holds the lock.

        :returns: the last result of ``ready``, false after a timeout.
        """
        deadline = time.monotonic() + LONGEST_WAIT_S
        result = ready()
        while not result and time.monotonic() < deadline:
            self._changed.wait(0.5)
            result = ready()
        return result

    def rank(self, priority: typing.Any) -> int:
        """Return the rank of a priority; unknown names go last."""
        if isinstance(priority, int):
            return priority
        last = len(self._rank_by_priority)
        return self._rank_by_priority.get(priority, last)

    def is_idle(self) -> bool:
        """Return whether no request runs or waits and no stream is held."""
        with self.at_now():
            load = self.model.load()
            busy = load.running or load.waiting or load.slots_used
            return not busy and not self.model.streams_by_id

    def prefill(self, request: json_server.Request) -> json_server.Answer:
        """Answer when the prompt is prefilled, or with the refusal."""
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
        """Answer when the transfer of a KV cache has ended."""
        kv = request.query['kv']
        with self.at_now() as now:
            transfer = self.model.export(now, kv)
            if not isinstance(transfer, engine_model.Transfer):
                return refuse(404, transfer)
            self._wait_for(lambda: self._is_transfer_over(kv, transfer))
            transferred = time.monotonic() >= transfer.ends_at
            if not transferred or kv not in self.model.kv_by_name:
                self.model.unpin_kv(time.monotonic(), kv)
                return refuse(404, engine_model.Reason.EVICTED)
            self.model.drop_kv(kv)
        answer = {
            'bytes': transfer.kv_bytes,
            'tokens': transfer.tokens,
            'seed': transfer.seed,
        }
        return json_server.Answer(body=answer)

    def _is_transfer_over(
        self, kv: str, transfer: engine_model.Transfer
    ) -> bool:
        if kv not in self.model.kv_by_name:
            return True
        stalled = transfer.ends_at == math.inf
        if stalled and not self.model.faults.stall_transfer:
            return True
        remaining_s = transfer.ends_at - time.monotonic()
        if remaining_s <= 0:
            return True
        self._changed.wait(min(remaining_s, 0.5))
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
        transferred = self._fetch_kv(body['source_url'], body['kv'])
        with self.at_now() as now:
            if isinstance(transferred, engine_model.Reason):
                self._free_slot(now, ids)
                return refuse(409, transferred)
            # The slot was freed if the stream was cancelled meanwhile.
            stream = self.model.streams_by_id.get(ids['stream_id'])
            if stream is None or stream.attempt_id != ids['attempt_id']:
                return refuse(409, engine_model.Reason.STALLED)
            stream.kv_bytes = transferred['bytes']
            stream.prompt_tokens = transferred['tokens']
            stream.seed = transferred['seed']
        return json_server.Answer(body={'bytes': transferred['bytes']})

    def _free_slot(self, now: float, ids: dict[str, str]) -> None:
        stream = self.model.streams_by_id.get(ids['stream_id'])
        if stream is not None and stream.attempt_id == ids['attempt_id']:
            self.model.forget_stream(ids['stream_id'])

    def _fetch_kv(
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
                        stream.tokens_made > offset
                        or stream.finished
                        or not self._is_reading(stream, reader)
                    )
                )
                if not self._is_reading(stream, reader):
                    return
                tokens_made = stream.tokens_made
                is_last = stream.finished
                # Faults affect only the first connection of a stream, so
                # that a client can resume over a second one.
                faults = self.model.faults if reader == 1 else None
            while offset < tokens_made:
                if faults and self._apply_fault(faults, stream, offset):
                    return
                yield self._piece(stream, offset)
                if faults and faults.duplicate_pieces:
                    yield self._piece(stream, offset)
                offset += 1
            if is_last:
                yield event(
                    {
                        'attempt_id': stream.attempt_id,
                        'end': True,
                        'tokens': stream.tokens_made,
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

    def _apply_fault(
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
        """Return the handlers by (method, path)."""
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
    """Return a refusal that carries its reason."""
    return json_server.Answer(status=status, body={'reason': reason.value})


def event(body: dict[str, typing.Any]) -> bytes:
    """Encode one server-sent event."""
    return f'data: {json.dumps(body)}\n\n'.encode()


def run_until_signal(
    server: json_server.JsonServer,
    ready: dict[str, typing.Any],
    announce: announcer.Announcer,
    is_idle: abc.Callable[[], bool],
) -> None:
    """Serve until SIGTERM or SIGINT; then leave, drain and stop.

    :param ready: printed as JSON once announcing has started.
    """
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

    :param backend_id: the id to announce.
    :param role: prefill or decode.
    :param port: zero for any free port; the ready line contains it.
    :param control_urls: control URLs of instances to announce to.
    :param ignore_fence: accept requests with old fencing numbers.
    :param priorities: priority names, the most urgent first.
    :param step_s: seconds of a decode step with an empty batch.
    :param step_per_stream_s: seconds added for each stream of the batch.
    :param kv_ttl_s: seconds until a KV cache that isn't imported is evicted.
    :param cache_blocks: capacity of the prefix cache, in blocks of 64 words.
    :param import_timeout_s: timeout of a transfer, in seconds.
    :param report_lag_s: delay of load reports and cache events, in seconds.
    :param gap_every: drop the cache events of every n-th report.
    :param faults: fault switches as JSON, see tools.engine_model.Faults.
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
            current = reporter.report(now)
        events = [dataclasses.asdict(each) for each in current.events]
        return {
            'load': dataclasses.asdict(current.load),
            'cache_events': {'first': current.first, 'events': events},
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
