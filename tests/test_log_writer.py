"""Log lines that are too many, or that nobody takes: the work goes on."""

import io
import json
import threading
import unittest

from dandeliongw import _log_writer

TIMEOUT_S = 20


class Stuck(io.StringIO):
    """A stream whose reader does nothing, until it is let go."""

    def __init__(self):
        super().__init__()
        self.freed = threading.Event()

    def write(self, text):
        self.freed.wait(TIMEOUT_S)
        return super().write(text)


class LineWriterTest(unittest.TestCase):
    def setUp(self):
        self.now = 0.0

    def make(self, stream):
        return _log_writer.LineWriter(
            stream=stream, common={'instance': 'gw-1'}, clock=lambda: self.now
        )

    def test_a_flood_of_one_kind_leaves_room_for_others(self):
        """Symptom: the one line that tells the cause is missing.

        Sequence: something fails a thousand times a second.
        Cause: all lines would share one budget.
        """
        stream = io.StringIO()
        writer = self.make(stream)
        for number in range(1000):
            writer.put('flood', f'{number}')
        writer.put('other', 'the cause')
        self.now = 1.5
        writer.put('other', 'next second')
        writer.start()
        writer.stop()
        lines = stream.getvalue().splitlines()
        self.assertEqual(len(lines), _log_writer.MAX_LINES_PER_SECOND + 3)
        self.assertIn('the cause', lines)
        counts = json.loads(lines[-1])['counts']
        self.assertEqual(
            counts, {'flood': 1000 - _log_writer.MAX_LINES_PER_SECOND}
        )
        self.assertEqual(
            writer.dropped, 1000 - _log_writer.MAX_LINES_PER_SECOND
        )

    def test_a_stream_that_takes_nothing_holds_nobody_up(self):
        """Symptom: an instance stands still because its log does."""
        stream = Stuck()
        writer = self.make(stream)
        writer.start()
        for number in range(2 * _log_writer.MAX_QUEUED_LINES):
            writer.put(f'kind {number % 50}', 'line')
        self.assertGreater(writer.dropped, 0)
        stream.freed.set()
        writer.stop()
        written = len(stream.getvalue().splitlines())
        self.assertEqual(
            written + writer.dropped, 2 * _log_writer.MAX_QUEUED_LINES
        )

    def test_a_stream_that_is_closed_ends_nothing(self):
        stream = io.StringIO()
        stream.close()
        writer = self.make(stream)
        writer.start()
        writer.put('kind', 'line')
        writer.stop()
        self.assertEqual(writer.dropped, 1)
