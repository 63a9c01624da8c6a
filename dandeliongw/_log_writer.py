"""Writes log lines without ever holding up who logs.

Lines go through a bounded queue to a thread of their own. What doesn't fit,
or is beyond the budget of its kind, is left out and counted; once a second
one line tells how many of which kind.
"""

import collections
from collections import abc
import contextlib
import json
import queue
import threading
import time
import typing

#: Lines that may wait for the stream. At some 300 bytes each that is 600 KB
#: of the memory of the smallest machine.
MAX_QUEUED_LINES = 2000
#: Lines of one kind a second. A busy entry writes about five lines for each
#: of its 20 requests a second.
MAX_LINES_PER_SECOND = 200
#: Seconds of a budget.
BUDGET_S = 1.0
#: Seconds that the end of a process waits for its last lines.
LAST_S = 1.0


class LineWriter:
    """The queue, the budgets and the thread.

    :param stream: where lines go; it may block.
    :param common: fields of the lines that this object writes itself.
    :param clock: monotonic seconds.
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
        self._left_out_by_kind: collections.Counter[str] = (
            collections.Counter()
        )
        #: All lines that were left out, for the metrics.
        self.dropped = 0
        self._thread = threading.Thread(
            target=self._run, name='log', daemon=True
        )

    def start(self) -> None:
        self._thread.start()

    def stop(self) -> None:
        """Write what waits, as far as the stream takes it in time."""
        with contextlib.suppress(queue.Full):
            self._queue.put(None, timeout=LAST_S)
        self._thread.join(LAST_S)

    def put(self, kind: str, line: str) -> None:
        """Take a line, or count it; never waits.

        :param kind: lines of one kind share a budget.
        """
        with self._lock:
            told = self._end_second()
            self._counts_by_kind[kind] += 1
            fits = self._counts_by_kind[kind] <= MAX_LINES_PER_SECOND
            if not (fits and self._offer(line)):
                self._left_out_by_kind[kind] += 1
                self.dropped += 1
            if told is not None:
                self._offer(told)

    def _offer(self, line: str) -> bool:
        try:
            self._queue.put_nowait(line)
        except queue.Full:
            return False
        return True

    def _end_second(self) -> str | None:
        """Begin new budgets; return the line on what was left out."""
        now = self._clock()
        if now < self._ends_at:
            return None
        self._ends_at = now + BUDGET_S
        self._counts_by_kind.clear()
        if not self._left_out_by_kind:
            return None
        fields = {
            'level': 'WARNING',
            'message': 'log lines left out',
            **self._common,
            'counts': dict(self._left_out_by_kind),
        }
        self._left_out_by_kind.clear()
        return json.dumps(fields)

    def _run(self) -> None:
        while (line := self._queue.get()) is not None:
            try:
                self._stream.write(line + '\n')
                if self._queue.empty():
                    self._stream.flush()
            except (OSError, ValueError):
                # Whoever read the lines is gone; there is nobody to tell.
                with self._lock:
                    self.dropped += 1


@contextlib.contextmanager
def writing(
    stream: typing.TextIO, common: abc.Mapping[str, str]
) -> abc.Iterator[LineWriter]:
    """Write lines on a thread of their own while the context lasts."""
    writer = LineWriter(stream=stream, common=common)
    writer.start()
    try:
        yield writer
    finally:
        writer.stop()
