"""A write-ahead journal: synced, checksummed records in the data folder.

The file ``journal`` consists of a header and frames. A record is durable once
its frame is synced. Two kinds of damage are handled:

* The file ends inside a frame: a crash interrupted the last write. That frame
  was never synced, so no other instance was notified of its record. The tail
  is truncated, and the truncation is reported.
* A frame is complete but its checksum is wrong, or the header can't be read:
  synced records were lost. An instance that continued with the others would
  break promises that it had made. So the file is renamed, and the folder gets
  a new disk id: the other instances treat the old disk as lost.
"""

from collections import abc
import contextlib
import errno
import fcntl
import os
import pathlib
import secrets
import struct
import typing

import msgspec
import xxhash

from . import codec as codecs

JOURNAL_NAME = 'journal'
NEW_NAME = 'journal.new'
LOCK_NAME = 'lock'
MAGIC = b'dandeliongw journal 1\n'
DISK_ID_BYTES = 16
#: Length of the kind, length of the body, then the checksum of both lengths,
#: so that a damaged length isn't mistaken for a torn tail.
FRAME = struct.Struct('>HIQ')
CHECKSUM = struct.Struct('>Q')
LENGTHS = struct.Struct('>HI')
#: Longest body of a frame, in bytes; a longer one is a programming error.
LONGEST_BODY = 256 * 1024 * 1024
#: Error numbers that mean a full disk or an exhausted quota.
NO_ROOM = frozenset((errno.ENOSPC, errno.EDQUOT))


class JournalError(Exception):
    """The data folder can't be used.

    :param folder: the folder, as in the settings.
    :param reason: one sentence for the operator.
    """

    def __init__(self, *, folder: pathlib.Path, reason: str) -> None:
        super().__init__(f'data folder {str(folder)!r}: {reason}')
        self.folder = folder
        self.reason = reason


class FolderUnusable(JournalError):
    """The folder can't be created or written."""


class DiskFull(JournalError):
    """The disk is full; nothing was added, and a later retry may succeed."""


class FolderLocked(JournalError):
    """Another process uses the folder."""


class TornTail(msgspec.Struct, frozen=True, kw_only=True):
    """The last write was incomplete and has been truncated.

    :param offset: length of the file after the truncation, in bytes.
    :param length: how many bytes were removed.
    """

    offset: int
    length: int


class DiskReplaced(msgspec.Struct, frozen=True, kw_only=True):
    """The journal is corrupt; an empty one with a new disk id replaces it.

    :param reason: what is corrupt, and where.
    :param kept_as: new path of the corrupt file.
    """

    reason: str
    kept_as: pathlib.Path


Damage = TornTail | DiskReplaced


class _Corrupt(Exception):
    """Synced bytes differ from those that were written."""


class Storage:
    """The file operations that a journal uses.

    Tests override them to simulate a crash at any operation.
    """

    def open(self, path: pathlib.Path, flags: int) -> int:
        """Open a file and return its descriptor."""
        return os.open(path, flags | os.O_CLOEXEC, 0o600)

    def write(self, descriptor: int, data: bytes) -> None:
        """Write all of the data, in several writes if necessary."""
        view = memoryview(data)
        while view:
            written = os.write(descriptor, view)
            view = view[written:]

    def sync(self, descriptor: int) -> None:
        """Make the written data durable."""
        os.fsync(descriptor)

    def truncate(self, descriptor: int, length: int) -> None:
        """Truncate the file to a length in bytes."""
        os.ftruncate(descriptor, length)

    def rename(self, old: pathlib.Path, new: pathlib.Path) -> None:
        """Rename a file, replacing any file that has the new name."""
        os.rename(old, new)

    def sync_folder(self, folder: pathlib.Path) -> None:
        """Make new names and renames in the folder durable."""
        descriptor = os.open(folder, os.O_RDONLY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


class Journal:
    """An open journal; created by :func:`open_journal`.

    After any ``OSError`` except a full disk, the journal refuses further
    writes: it is unknown which bytes the disk holds, and a second sync may
    report success for pages that the kernel dropped after the first one.

    :param disk_id: the identity of this disk, generated at its first start.
    :param records: the restored records, oldest first.
    :param damage: the damage found when it was opened, if any.
    """

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        codec: codecs.Codec,
        storage: Storage,
        disk_id: str,
        records: tuple[typing.Any, ...],
        damage: Damage | None,
        descriptor: int,
    ) -> None:
        self.disk_id = disk_id
        self.records = records
        self.damage = damage
        self._folder = folder
        self._codec = codec
        self._storage = storage
        self._descriptor = descriptor
        self._has_failed = False

    @property
    def size(self) -> int:
        """Return the size of the file in bytes; decides when to compact."""
        return os.fstat(self._descriptor).st_size

    def append(self, records: abc.Iterable[typing.Any]) -> None:
        """Write a batch of records and sync them once.

        :raises DiskFull: if the disk is full; no record was added.
        :raises JournalError: if the disk failed, now or earlier.
        """
        data = b''.join(_frame(self._codec, record) for record in records)
        with self._guarded():
            size = self.size
            try:
                self._storage.write(self._descriptor, data)
            except OSError as error:
                self._undo_write(size, error)
            self._storage.sync(self._descriptor)

    def _undo_write(self, size: int, error: OSError) -> typing.NoReturn:
        """Truncate the partial write that a full disk left behind.

        A voter that exited instead would be restarted repeatedly until there
        is room, and each start costs the other instances more than a voter
        that doesn't answer.
        """
        if error.errno not in NO_ROOM:
            raise error
        self._storage.truncate(self._descriptor, size)
        raise DiskFull(folder=self._folder, reason=_describe(error))

    def compact(self, records: abc.Iterable[typing.Any]) -> None:
        """Replace all records with these.

        The new file is complete and synced before it is renamed over the old
        one, so a crash at any step leaves one of the two. The folder is
        synced last; until then a power loss would restore the old file, so
        no record is appended before.

        :raises DiskFull: if the disk is full; the old file stays in use.
        :raises JournalError: if the disk failed, now or earlier.
        """
        with self._guarded():
            try:
                descriptor = _write_file(
                    self._storage,
                    self._folder,
                    self.disk_id,
                    [_frame(self._codec, record) for record in records],
                )
            except OSError as error:
                if error.errno not in NO_ROOM:
                    raise
                raise DiskFull(
                    folder=self._folder, reason=_describe(error)
                ) from error
            os.close(self._descriptor)
            self._descriptor = descriptor

    @contextlib.contextmanager
    def _guarded(self) -> abc.Iterator[None]:
        if self._has_failed:
            raise FolderUnusable(
                folder=self._folder,
                reason='an earlier write failed; restart the instance',
            )
        # Set before the write: if any exception interrupts it, the state of
        # the file is unknown.
        self._has_failed = True
        try:
            yield
        except DiskFull:
            self._has_failed = False
            raise
        except OSError as error:
            raise FolderUnusable(
                folder=self._folder, reason=_describe(error)
            ) from error
        self._has_failed = False


@contextlib.contextmanager
def open_journal(
    *,
    folder: str | os.PathLike[str],
    codec: codecs.Codec,
    storage: Storage | None = None,
) -> abc.Iterator[Journal]:
    """Open the journal of a data folder; close it on exit.

    :param folder: created if it does not exist.
    :param codec: encodes and decodes the records; a record of unknown kind
        is an error.
    :param storage: the file operations; those of the disk by default.
    :raises FolderLocked: if another process has the journal open.
    :raises FolderUnusable: if the folder can't be written, or another version
        wrote records of an unknown kind.
    """
    path = pathlib.Path(folder)
    storage = storage or Storage()
    try:
        path.mkdir(parents=True, exist_ok=True)
        lock = storage.open(path / LOCK_NAME, os.O_RDWR | os.O_CREAT)
    except OSError as error:
        raise FolderUnusable(folder=path, reason=_describe(error)) from error
    try:
        _lock(path, lock)
        journal = _open_locked(path, codec, storage)
        try:
            yield journal
        finally:
            os.close(journal._descriptor)
    finally:
        os.close(lock)


def _lock(folder: pathlib.Path, descriptor: int) -> None:
    # Two processes that append to one file would each overwrite records that
    # the other has synced.
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as error:
        raise FolderLocked(
            folder=folder, reason='another process uses it'
        ) from error


def _open_locked(
    folder: pathlib.Path, codec: codecs.Codec, storage: Storage
) -> Journal:
    try:
        return _load_or_make(folder, codec, storage)
    except codecs.CodecError as error:
        # The checksum is correct, so another version wrote the records; they
        # are intact, and the disk keeps its id.
        raise FolderUnusable(folder=folder, reason=str(error)) from error
    except OSError as error:
        raise FolderUnusable(folder=folder, reason=_describe(error)) from error


def _load_or_make(
    folder: pathlib.Path, codec: codecs.Codec, storage: Storage
) -> Journal:
    file = folder / JOURNAL_NAME
    if not file.exists():
        return _make(folder, codec, storage, damage=None)
    data = file.read_bytes()
    try:
        disk_id, records, end = _parse(data, codec)
    except _Corrupt as error:
        kept_as = _set_aside(file, storage)
        damage = DiskReplaced(reason=str(error), kept_as=kept_as)
        return _make(folder, codec, storage, damage=damage)
    descriptor = storage.open(file, os.O_RDWR | os.O_APPEND)
    torn = None
    if end < len(data):
        torn = TornTail(offset=end, length=len(data) - end)
        storage.truncate(descriptor, end)
    # Restored records may have been written but not synced before the crash.
    # The instance acts on them from now on, so they must be durable.
    storage.sync(descriptor)
    storage.sync_folder(folder)
    return Journal(
        folder=folder,
        codec=codec,
        storage=storage,
        disk_id=disk_id,
        records=records,
        damage=torn,
        descriptor=descriptor,
    )


def _make(
    folder: pathlib.Path,
    codec: codecs.Codec,
    storage: Storage,
    *,
    damage: Damage | None,
) -> Journal:
    disk_id = secrets.token_hex(DISK_ID_BYTES)
    descriptor = _write_file(storage, folder, disk_id, [])
    return Journal(
        folder=folder,
        codec=codec,
        storage=storage,
        disk_id=disk_id,
        records=(),
        damage=damage,
        descriptor=descriptor,
    )


def _write_file(
    storage: Storage,
    folder: pathlib.Path,
    disk_id: str,
    frames: abc.Iterable[bytes],
) -> int:
    new = folder / NEW_NAME
    flags = os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND
    descriptor = storage.open(new, flags)
    try:
        storage.write(descriptor, _header(disk_id) + b''.join(frames))
        storage.sync(descriptor)
        storage.rename(new, folder / JOURNAL_NAME)
        storage.sync_folder(folder)
    except BaseException:
        os.close(descriptor)
        raise
    return descriptor


def _set_aside(file: pathlib.Path, storage: Storage) -> pathlib.Path:
    number = 1
    while (kept := file.with_name(f'{file.name}.damaged-{number}')).exists():
        number += 1
    storage.rename(file, kept)
    storage.sync_folder(file.parent)
    return kept


def _header(disk_id: str) -> bytes:
    content = MAGIC + bytes.fromhex(disk_id)
    return content + CHECKSUM.pack(xxhash.xxh3_64_intdigest(content))


def _frame(codec: codecs.Codec, record: typing.Any) -> bytes:
    kind, body = codec.encode(record)
    if len(body) > LONGEST_BODY:
        raise ValueError(f'{kind} has {len(body)} bytes, over {LONGEST_BODY}')
    name = kind.encode()
    lengths = LENGTHS.pack(len(name), len(body))
    head = lengths + CHECKSUM.pack(xxhash.xxh3_64_intdigest(lengths))
    content = name + body
    return head + content + CHECKSUM.pack(xxhash.xxh3_64_intdigest(content))


def _parse(
    data: bytes, codec: codecs.Codec
) -> tuple[str, tuple[typing.Any, ...], int]:
    """Return the disk id, the records and the end of the last whole frame."""
    header_length = len(MAGIC) + DISK_ID_BYTES + CHECKSUM.size
    header = data[:header_length]
    disk_id = header[len(MAGIC) : len(MAGIC) + DISK_ID_BYTES].hex()
    # The header is synced before the file gets its name, so an incomplete
    # header is corruption and not an interrupted write.
    if len(header) < header_length or header != _header(disk_id):
        raise _Corrupt('the header is damaged')
    records = []
    offset = header_length
    while (end := _frame_end(data, offset)) is not None:
        records.append(_read_frame(data, offset, end, codec))
        offset = end
    return disk_id, tuple(records), offset


def _frame_end(data: bytes, offset: int) -> int | None:
    """Return where a frame ends; ``None`` if the file ends inside it.

    A power loss can also leave a last frame of full length whose bytes never
    reached the disk. This can't be distinguished from damage to synced
    records, so the disk loses its id then, which is the safe choice.
    """
    if offset + FRAME.size > len(data):
        return None
    name_length, body_length, checksum = FRAME.unpack_from(data, offset)
    lengths = data[offset : offset + LENGTHS.size]
    if xxhash.xxh3_64_intdigest(lengths) != checksum:
        raise _Corrupt(f'the frame at byte {offset} has damaged lengths')
    end = offset + FRAME.size + name_length + body_length + CHECKSUM.size
    return end if end <= len(data) else None


def _read_frame(
    data: bytes, offset: int, end: int, codec: codecs.Codec
) -> typing.Any:
    name_length, _, _ = FRAME.unpack_from(data, offset)
    start = offset + FRAME.size
    content = data[start : end - CHECKSUM.size]
    (checksum,) = CHECKSUM.unpack_from(data, end - CHECKSUM.size)
    if xxhash.xxh3_64_intdigest(content) != checksum:
        raise _Corrupt(f'the frame at byte {offset} has a wrong checksum')
    kind = content[:name_length].decode()
    return codec.decode(kind, content[name_length:])


def _describe(error: OSError) -> str:
    return error.strerror or str(error)
