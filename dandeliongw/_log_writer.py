"""Writes log lines without ever blocking the thread that logs.

A bounded queue passes the lines to a writer thread. Lines that don't fit in
the queue or exceed the rate limit of their kind are dropped and counted; at
most once a second, one line reports the number dropped of each kind.
"""

import collections
from collections import abc
import contextlib
import json
import queue
import threading
import time
import typing

#: Lines that may be queued for the stream. At about 300 bytes each they take
#: 600 KB, which the smallest machine can spare.
MAX_QUEUED_LINES = 2000
#: Rate limit for lines of one kind, per second. A busy entry writes about
#: five lines for each of its 20 requests a second.
MAX_LINES_PER_SECOND = 200
#: Seconds after which the counts of the rate limit are reset.
BUDGET_S = 1.0
#: Seconds that ``stop`` waits for the queue to take its end mark, and again
#: for the thread to write the queued lines.
STOP_TIMEOUT_S = 1.0


class LineWriter:
    """The queue, the rate limits and the writer thread.

    :param stream: where lines are written; it may block.
    :param common: fields of the lines that this object itself writes.
    :param clock: returns monotonic seconds.
    """

    def __init__(
        self,
        *,
        stream: typing.TextIO,
        common: abc.Mapping[str, str],
        clock: abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self._stream = stream
        self._common = dict(common)
        self._clock = clock
        self._queue: queue.Queue[str | None] = queue.Queue(MAX_QUEUED_LINES)
        self._lock = threading.Lock()
        self._ends_at = 0.0
        self._counts_by_kind: collections.Counter[str] = collections.Counter()
        self._dropped_by_kind: collections.Counter[str] = collections.Counter()
        #: Number of all lines dropped, for the metrics.
        self.dropped = 0
        self._thread = threading.Thread(
            target=self._run, name='log', daemon=True
        )

    def start(self) -> None:
        self._thread.start()

    def stop(self) -> None:
        """Write the queued lines that the stream accepts in time."""
        with contextlib.suppress(queue.Full):
            self._queue.put(None, timeout=STOP_TIMEOUT_S)
        self._thread.join(STOP_TIMEOUT_S)

    def put(self, kind: str, line: str) -> None:
        """Queue a line, or drop and count it; never blocks.

        :param kind: lines of one kind share a rate limit.
        """
        with self._lock:
            report = self._end_second()
            self._counts_by_kind[kind] += 1
            fits = self._counts_by_kind[kind] <= MAX_LINES_PER_SECOND
            if not (fits and self._offer(line)):
                self._dropped_by_kind[kind] += 1
                self.dropped += 1
            if report is not None:
                self._offer(report)

    def _offer(self, line: str) -> bool:
        try:
            self._queue.put_nowait(line)
        except queue.Full:
            return False
        return True

    def _end_second(self) -> str | None:
        """Reset the counts if due; return a report of the lines dropped."""
        now = self._clock()
        if now < self._ends_at:
            return None
        self._ends_at = now + BUDGET_S
        self._counts_by_kind.clear()
        if not self._dropped_by_kind:
            return None
        fields = {
            'level': 'WARNING',
            'message': 'log lines left out',
            **self._common,
            'counts': dict(self._dropped_by_kind),
        }
        self._dropped_by_kind.clear()
        return json.dumps(fields)

    def _run(self) -> None:
        while (line := self._queue.get()) is not None:
            try:
                self._stream.write(line + '\n')
                if self._queue.empty():
                    self._stream.flush()
            except (OSError, ValueError):
                # The stream is closed or broken; there is no other output.
                with self._lock:
                    self.dropped += 1


@contextlib.contextmanager
def writing(
    stream: typing.TextIO, common: abc.Mapping[str, str]
) -> abc.Iterator[LineWriter]:
    """Return a context in which a thread writes the lines put to it."""
    writer = LineWriter(stream=stream, common=common)
    writer.start()
    try:
        yield writer
    finally:
        writer.stop()
