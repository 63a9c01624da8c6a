"""Synced records survive crashes, and corrupt ones are reported as lost."""

import contextlib
import errno
import itertools
import os
import pathlib
import tempfile
import unittest

import msgspec
from nose2.tools import params

from dandeliongw import codec as codecs
from dandeliongw import journal as journals
from dandeliongw.protocol import envelope_pb2


class Received(msgspec.Struct, frozen=True, kw_only=True):
    count: int


CODEC = codecs.Codec(data_classes=[Received], wire_modules=[envelope_pb2])


class Killed(BaseException):
    """Stands in for SIGKILL: no handler of the journal may catch it."""


class CrashingStorage(journals.Storage):
    """Real files with a simulated kill before or after one operation.

    ``lose_power`` simulates a power loss: it leaves only synced contents
    under synced names.
    """

    def __init__(self) -> None:
        self.steps_left = 10**9
        self.is_done_first = False
        self._content_by_inode: dict[int, bytes] = {}
        self._inode_by_name: dict[str, int] = {}

    @contextlib.contextmanager
    def step(self):
        self.steps_left -= 1
        if self.steps_left == 0 and not self.is_done_first:
            raise Killed
        yield
        if self.steps_left == 0:
            raise Killed

    def write(self, descriptor, data):
        with self.step():
            super().write(descriptor, data)

    def sync(self, descriptor):
        with self.step():
            path = f'/proc/self/fd/{descriptor}'
            content = pathlib.Path(path).read_bytes()
            self._content_by_inode[os.fstat(descriptor).st_ino] = content

    def rename(self, old, new):
        with self.step():
            super().rename(old, new)

    def sync_folder(self, folder):
        with self.step():
            self._inode_by_name = {
                entry.name: entry.inode() for entry in os.scandir(folder)
            }

    def lose_power(self, folder):
        for entry in os.scandir(folder):
            os.unlink(entry.path)
        for name, inode in self._inode_by_name.items():
            content = self._content_by_inode.get(inode, b'')
            (folder / name).write_bytes(content)


def numbers(journal):
    return [record.count for record in journal.records]


class JournalTest(unittest.TestCase):
    def setUp(self):
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        name = stack.enter_context(tempfile.TemporaryDirectory())
        self.folder = pathlib.Path(name) / 'data'

    def open(self, storage=None):
        return journals.open_journal(
            folder=self.folder, codec=CODEC, storage=storage
        )

    def fill(self, *counts):
        with self.open() as journal:
            for count in counts:
                journal.append([Received(count=count)])
            return journal.disk_id

    @property
    def file(self):
        return self.folder / journals.JOURNAL_NAME

    def test_records_and_disk_id_come_back(self):
        disk_id = self.fill(1, 2)
        with self.open() as journal:
            self.assertEqual(disk_id, journal.disk_id)
            self.assertEqual([1, 2], numbers(journal))
            self.assertIsNone(journal.damage)

    def test_every_cut_of_the_last_frame_is_a_torn_tail(self):
        """A power loss during an append leaves a partial frame.

        It was never synced, so it is no damage: the instance must start, with
        the disk id that it had.
        """
        disk_id = self.fill(1)
        whole = self.file.stat().st_size
        self.fill(2)
        data = self.file.read_bytes()
        for length in range(whole + 1, len(data)):
            self.file.write_bytes(data[:length])
            with self.open() as journal:
                self.assertEqual(disk_id, journal.disk_id)
                self.assertEqual([1], numbers(journal))
                self.assertEqual(whole, journal.damage.offset)
            self.assertEqual(whole, self.file.stat().st_size)

    def test_any_flipped_byte_changes_the_disk_id(self):
        """A damaged record or length must not be mistaken for a torn tail.

        A voter that restarted without the damaged record, or with only the
        records before it, would break a promise that it had synced.
        """
        disk_id = self.fill(1, 2)
        data = self.file.read_bytes()
        for offset in range(len(data)):
            damaged = bytearray(data)
            damaged[offset] ^= 0x40
            self.file.write_bytes(damaged)
            with self.open() as journal:
                self.assertNotEqual(disk_id, journal.disk_id)
                self.assertEqual([], numbers(journal))
                kept = journal.damage.kept_as.read_bytes()
                self.assertEqual(bytes(damaged), kept)

    @params(*itertools.product(range(1, 11), (False, True), (False, True)))
    def test_no_kill_loses_what_was_synced(
        self, stop, is_done_first, power_is_lost
    ):
        """A kill or power loss at any operation keeps all synced records.

        If compaction removed the old file before the new one and its name
        are synced, a voter could lose an acceptance that it had reported.
        """
        storage = CrashingStorage()
        synced = []
        with contextlib.suppress(Killed), self.open(storage) as journal:
            disk_id = journal.disk_id
            storage.steps_left = stop
            storage.is_done_first = is_done_first
            for count in (1, 2):
                journal.append([Received(count=count)])
                synced.append(count)
            journal.compact([Received(count=count) for count in (1, 2)])
            journal.append([Received(count=3)])
            synced.append(3)
        if power_is_lost:
            storage.lose_power(self.folder)
        with self.open() as journal:
            self.assertEqual(disk_id, journal.disk_id)
            restored = numbers(journal)
            self.assertEqual(synced, restored[: len(synced)])
            self.assertLessEqual(len(restored), len(synced) + 1)

    def test_after_a_failed_sync_further_writes_are_refused(self):
        """After a failed fsync, a later one may succeed without the data.

        The kernel drops the dirty pages of the failed one. A voter that went
        on would report a record that is not on the disk.
        """

        class FailingStorage(journals.Storage):
            def sync(self, descriptor):
                if is_broken:
                    raise OSError(5, 'Input/output error')
                super().sync(descriptor)

        is_broken = False
        with self.open(FailingStorage()) as journal:
            is_broken = True
            pattern = "data'.*Input/output"
            with self.assertRaisesRegex(journals.JournalError, pattern):
                journal.append([Received(count=1)])
            is_broken = False
            with self.assertRaisesRegex(journals.JournalError, 'earlier'):
                journal.append([Received(count=1)])

    def test_a_full_disk_leaves_the_journal_as_it_was(self):
        """A write that a full disk interrupts is undone; later ones succeed.

        Otherwise half a frame would remain before the next one, and records
        would be lost or the voter would have to stop.
        """

        class FullStorage(journals.Storage):
            def write(self, descriptor, data):
                if is_full:
                    super().write(descriptor, data[: len(data) // 2])
                    raise OSError(errno.ENOSPC, 'No space left on device')
                super().write(descriptor, data)

        is_full = False
        with self.open(FullStorage()) as journal:
            journal.append([Received(count=1)])
            is_full = True
            with self.assertRaises(journals.DiskFull):
                journal.append([Received(count=2)])
            with self.assertRaises(journals.DiskFull):
                journal.compact([Received(count=2)])
            is_full = False
            journal.append([Received(count=3)])
        with self.open() as journal:
            self.assertEqual([1, 3], numbers(journal))
            self.assertIsNone(journal.damage)

    def test_a_second_process_cannot_open_it(self):
        with self.open():
            with self.assertRaisesRegex(journals.FolderLocked, "data'"):
                self.enterContext(self.open())

    def test_an_unusable_folder_is_named(self):
        self.folder.write_text('a file')
        with self.assertRaisesRegex(journals.FolderUnusable, "data'"):
            self.enterContext(self.open())

    def test_records_of_a_newer_version_keep_the_disk_id(self):
        disk_id = self.fill(1)
        other = codecs.Codec(data_classes=[], wire_modules=[])
        pattern = "unknown kind 'Received'"
        with self.assertRaisesRegex(journals.FolderUnusable, pattern):
            self.enterContext(
                journals.open_journal(folder=self.folder, codec=other)
            )
        self.assertEqual(disk_id, self.fill())
