"""One prompt larger than the engines' memory, and no stream is served after.

Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
"""

import asyncio
import json
import pathlib
import random
import secrets
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / 'lib2'))

import deployment as deployments  # noqa: E402

HERE = pathlib.Path(__file__).parent
HEADERS = deployments.HEADERS
REQUEST_ID = HEADERS['request_id'].lower()
PREFILL_ENGINES, DECODE_ENGINES, SLOTS = 2, 4, 64
#: Memory of an engine in tokens, and prompt tokens that are read in a second.
MEMORY_TOKENS, TOKENS_PER_S = 39_418, 33_333
HANDLE_S, SWITCH_S = 0.5, 6.0
EVENTS, EVENT_S = 6, 0.05
#: Usual requests; a token of a prompt is a byte of the body.
PROMPT_TOKENS, ANSWER_TOKENS = 3_000, 70
REQUEST_EVERY_S, PLAYED_S = 1.4, 75.0
DEADLINE_MS = 14_000
#: The prompt of the large request, which comes first. Its body is below the
#: longest body that the configuration allows, of 4,194,304 bytes.
LARGE_TOKENS = 4_000_000


class Engine(deployments.Backend):
    """A model engine that rejects what its memory can't hold."""

    def __init__(self, *, handles: dict[str, float], **options) -> None:
        super().__init__(**options)
        #: Of all engines, with the time of their end.
        self._handles = handles
        self._reads = asyncio.Lock()
        self._is_switching = False
        self._running = 0

    def _take_order(self, fields: dict[str, str], order: dict) -> bytes:
        """Change the stage, as the only order that there is."""
        self.record.note('order', server=self.host, **order)
        if order['stage'] == self.stage:
            return self.head(200, fields, 0)
        if self._is_switching:
            return self.head(409, fields, 0)
        self._is_switching = True
        self.tasks.add(asyncio.create_task(self._switch(order['stage'])))
        return self.head(202, fields, 0)

    async def _switch(self, stage: str) -> None:
        while self._running:
            await asyncio.sleep(0.01)
        await asyncio.sleep(SWITCH_S)
        self.stage, self._is_switching = stage, False

    async def answer(
        self,
        method: str,
        path: str,
        fields: dict[str, str],
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        if path == '/order':
            writer.write(self._take_order(fields, json.loads(body)))
            return
        request_id = fields[REQUEST_ID]
        prompt, most = (
            int(n) for n in fields[HEADERS['token_count'].lower()].split(',')
        )
        source = fields.get(HEADERS['source'].lower())
        takes = prompt + most <= MEMORY_TOKENS and not self._is_switching
        if source is not None:
            ends_at = self._handles.pop(source, 0.0)
            takes = takes and time.monotonic() < ends_at
        if not takes:
            self.record.note(
                'rejected', id=request_id, stage=self.stage, server=self.host
            )
            writer.write(
                self.head(503, fields, 0, {HEADERS['not_executed']: '1'})
            )
            return
        is_prefill = fields.get(HEADERS['stage'].lower()) == 'prefill'
        if is_prefill != (self.stage == 'prefill'):
            writer.write(self.head(421, fields, 0))
            return
        self._running += 1
        try:
            if is_prefill:
                await self._read(fields, prompt, writer)
                return
            if source is None:
                # It reads the prompt itself, at half the speed.
                await asyncio.sleep(2 * prompt / TOKENS_PER_S)
            await self._write(fields, writer)
        finally:
            self._running -= 1

    async def _read(
        self,
        fields: dict[str, str],
        prompt: int,
        writer: asyncio.StreamWriter,
    ) -> None:
        async with self._reads:
            await asyncio.sleep(prompt / TOKENS_PER_S)
        handle = secrets.token_hex(6)
        source = f'{self.host}:{deployments.BACKEND_PORT}/{handle}'
        self._handles[source] = time.monotonic() + HANDLE_S
        result = json.dumps(
            {'handle': handle, 'tokens': prompt, 'version': 1}
        ).encode()
        writer.write(self.head(200, fields, len(result)) + result)

    async def _write(
        self, fields: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        request_id = fields[REQUEST_ID]
        self.record.note('ran', id=request_id, server=self.host)
        writer.write(
            self.head(
                200,
                fields,
                None,
                {
                    HEADERS['seal']: f'seal.{request_id}',
                    'Content-Type': 'text/event-stream',
                },
            )
        )
        for number in range(1, EVENTS + 1):
            event = f'id: {number}\ndata: {request_id}\n\n'.encode()
            writer.write(b'%x\r\n' % len(event) + event + b'\r\n')
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b'0\r\n\r\n')


async def send(
    deployment: deployments.Deployment,
    source: random.Random,
    prompt: int,
    kind: str,
) -> None:
    """Send one request; on a refusal, once more at the time it names."""
    gives_up_at = time.monotonic() + DEADLINE_MS / 1000
    for attempt in (1, 2):
        left_s = gives_up_at - time.monotonic()
        request_id = deployments.request_id()
        shared = 200 if prompt > 200 else 0
        headers = {
            'Host': deployments.HOST,
            HEADERS['request_id']: request_id,
            HEADERS['deadline']: str(int(left_s * 1000)),
            HEADERS['model']: 'm',
            HEADERS['token_count']: f'{prompt},{ANSWER_TOKENS}',
            HEADERS['prompt_parts']: f'{source.randrange(2000):08x}:{shared},'
            f'{secrets.token_hex(4)}:{prompt - shared}',
        }
        front = source.choice(deployment.fronts)
        deployment.record.note(
            'sent', id=request_id, kind=kind, attempt=attempt, prompt=prompt
        )
        try:
            answer = await deployments.call(
                front.front,
                'POST',
                '/drafts/1',
                headers=headers,
                body=bytes(prompt),
                timeout_s=left_s,
            )
        except OSError as error:
            deployment.record.note(
                'answer', id=request_id, kind=kind, error=error
            )
            return
        deployment.record.note(
            'answer',
            id=request_id,
            kind=kind,
            status=answer.status,
            why=answer.body[:90] if answer.status != 200 else '',
        )
        wait_s = float(answer.headers.get('retry-after', '0'))
        left_s = gives_up_at - time.monotonic()
        if answer.status not in (429, 503) or wait_s > left_s / 3:
            return
        await asyncio.sleep(wait_s)


async def play(
    record: deployments.Record, network: str, folder: pathlib.Path
) -> bool:
    deployment = deployments.Deployment(
        network=network, folder=folder, record=record
    )
    handles: dict[str, float] = {}
    stages = ['prefill'] * PREFILL_ENGINES + ['decode'] * DECODE_ENGINES
    engines = [
        Engine(
            handles=handles,
            deployment=deployment,
            number=number,
            service='assistant',
            slots=SLOTS,
            stage=stage,
        )
        for number, stage in enumerate(stages, 1)
    ]
    source = random.Random(1)
    try:
        deployment.start_all()
        for engine in engines:
            await engine.start()
        await deployment.configure(
            deployments.configuration(
                7,
                [
                    deployments.route(
                        'stream',
                        'drafts',
                        '/drafts/',
                        'assistant',
                        timeout_ms=DEADLINE_MS,
                        target_ms=900,
                    )
                ],
                [deployments.model_service('assistant')],
            )
        )
        await deployment.wait_ready()
        # Traffic starts some seconds after the machines do.
        await asyncio.sleep(10.0)
        ends_at = time.monotonic() + PLAYED_S
        async with asyncio.TaskGroup() as group:
            if deployments.has_trouble():
                await send(deployment, source, LARGE_TOKENS, 'large')
            while time.monotonic() < ends_at:
                group.create_task(
                    send(deployment, source, PROMPT_TOKENS, 'usual')
                )
                await asyncio.sleep(REQUEST_EVERY_S)
    finally:
        for engine in engines:
            await engine.stop()
        deployment.stop_all()
    return judge(record)


def judge(record: deployments.Record) -> bool:
    """Return whether any request of the day was served."""
    usual = [each for each in record.of('answer') if each['kind'] == 'usual']
    served = sum(each.get('status') == 200 for each in record.of('answer'))
    record.note('judged', usual_requests=len(usual), served=served)
    return served > 0


if __name__ == '__main__':
    sys.exit(deployments.run_case(play, HERE / 'record.txt'))
