"""Measures bytes and processor time of the log lines of a request.

Prints JSON lines. With "off", the level of the logger drops all lines; with
"on", the queue and the writer thread write them to the null device::

    python -m benchmarks.logs
"""

from collections import abc
import contextlib
import dataclasses
import io
import json
import os
import statistics
import time

from loguru import logger

from dandeliongw import _log_writer
from dandeliongw import decisions
from dandeliongw import logs

#: Requests of a run; runs, of which the median is printed.
REQUESTS = 3000
RUNS = 5
#: A budget a second that drops no lines: the benchmark must write all of
#: them to measure the cost of one.
NO_BUDGET = REQUESTS * 10

PLACED = decisions.Placed(
    request_id='0123456789abcdef.01234567',
    attempt_id='0123456789abcdef.01234567.1',
    owner='core-north-1',
    epoch=3,
    prefill_id='10.11.12.13:8000',
    decode_id='10.11.12.14:8000',
    plain_id='',
    waited_ms=12,
)
FAILED = decisions.AttemptFailed(
    request_id=PLACED.request_id,
    attempt_id=PLACED.attempt_id,
    again=True,
    failure='decode_failed',
    known='may_have_run',
    attempts=1,
    runs=1,
    why='the stream stopped at token 17',
)


def write_good() -> None:
    """Write the log lines of a stream without errors."""
    _write(PLACED)
    logger.bind(request_id='0123456789abcdef', host='some.example').info(
        'call streamed',
        took_ms=2345,
        first_ms=456,
        pieces=120,
        prompt_tokens=2345,
        max_tokens=256,
    )


def write_retried() -> None:
    """Write the log lines of a stream that was retried on another engine."""
    _write(PLACED)
    _write(FAILED)
    write_good()


def _write(decision: decisions.Decision) -> None:
    line = decision.log()
    logger.bind(**dict(line.fields)).log(line.level, line.message)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Cost:
    """Processor time of all threads and bytes written, a request."""

    microseconds: float
    bytes_written: float


def cost_of(write: abc.Callable[[], None], level: str) -> Cost:
    """Return the cost of the log lines of one request."""
    written = io.StringIO()
    with _writing_all(written) as lines:
        _configure(lines, level)
        write()
    with open(os.devnull, 'w') as stream, _writing_all(stream) as lines:
        _configure(lines, level)
        began_s = time.process_time()
        for _ in range(REQUESTS):
            write()
        lines.stop()
        used_s = time.process_time() - began_s
    return Cost(
        microseconds=used_s / REQUESTS * 1e6,
        bytes_written=len(written.getvalue()),
    )


def _writing_all(stream: io.TextIOBase) -> contextlib.AbstractContextManager:
    return _log_writer.writing(stream, {})


def _configure(lines: _log_writer.LineWriter, level: str) -> None:
    logs.configure(
        instance_id='front-north-1',
        data_centre='north',
        level=level,
        lines=lines,
    )


def main() -> None:
    _log_writer.MAX_LINES_PER_SECOND = _log_writer.MAX_QUEUED_LINES = NO_BUDGET
    for write in (write_good, write_retried):
        for name, level in (('off', 'CRITICAL'), ('on', 'INFO')):
            costs = [cost_of(write, level) for _ in range(RUNS)]
            print(
                json.dumps(
                    {
                        'request': write.__name__.removeprefix('write_'),
                        'lines': name,
                        'microseconds': round(
                            statistics.median(
                                each.microseconds for each in costs
                            ),
                            1,
                        ),
                        'bytes': costs[0].bytes_written,
                    }
                )
            )


if __name__ == '__main__':
    main()
