"""Synced, checksummed records under the data folder.

The file ``journal`` is a header and then frames. A record counts once the
frame that holds it is synced. What can be damaged, and what is done:

* The last write was cut short by a crash: the file ends inside a frame.
  Nothing in that frame was ever synced, so nobody was told of it; the tail
  is cut off and the cut is reported.
* A frame is whole but its checksum is wrong, or the header can't be read:
  synced records were lost. An instance that went on with the rest would
  break promises that it made. So the file is set aside, and the folder gets
  a new disk id: to the other instances it is a lost disk.
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
#: so that a damaged length can't pass for a tail that was cut short.
FRAME = struct.Struct('>HIQ')
CHECKSUM = struct.Struct('>Q')
LENGTHS = struct.Struct('>HI')
#: Longest body a frame may have; a longer one is a mistake of the caller.
LONGEST_BODY = 256 * 1024 * 1024
#: How the system says that there is no room.
NO_ROOM = frozenset((errno.ENOSPC, errno.EDQUOT))


class JournalError(Exception):
    """The data folder can't be used.

    :param folder: the folder, as the settings name it.
    :param reason: one sentence for a person.
    """

    def __init__(self, *, folder: pathlib.Path, reason: str) -> None:
        super().__init__(f'data folder {str(folder)!r}: {reason}')
        self.folder = folder
        self.reason = reason


class FolderUnusable(JournalError):
    """The folder can't be written or made."""


class DiskFull(JournalError):
    """There was no room; nothing was added, and a later try may succeed."""


class FolderLocked(JournalError):
    """Another process uses the folder."""


class TornTail(msgspec.Struct, frozen=True, kw_only=True):
    """The last write was cut short and has been removed.

    :param offset: where the file ends now.
    :param length: how many bytes were cut off.
    """

    offset: int
    length: int


class DiskReplaced(msgspec.Struct, frozen=True, kw_only=True):
    """The journal can't be trusted; the disk goes on under a new id.

    :param reason: what was wrong, and where.
    :param kept_as: where the old file is kept.
    """

    reason: str
    kept_as: pathlib.Path


Damage = TornTail | DiskReplaced


class _Untrusted(Exception):
    """Synced bytes are not what was written."""


class Storage:
    """The file operations that a journal is made of.

    A subclass can stop at any of them, which is how the tests kill it.
    """

    def open(self, path: pathlib.Path, flags: int) -> int:
        """Open a file and return its descriptor."""
        return os.open(path, flags | os.O_CLOEXEC, 0o600)

    def write(self, descriptor: int, data: bytes) -> None:
        """Write all of the data."""
        view = memoryview(data)
        while view:
            written = os.write(descriptor, view)
            view = view[written:]

    def sync(self, descriptor: int) -> None:
        """Make what was written last."""
        os.fsync(descriptor)

    def truncate(self, descriptor: int, length: int) -> None:
        """Cut the file."""
        os.ftruncate(descriptor, length)

    def rename(self, old: pathlib.Path, new: pathlib.Path) -> None:
        """Rename, replacing what has the new name."""
        os.rename(old, new)

    def sync_folder(self, folder: pathlib.Path) -> None:
        """Make renames and new names in the folder last."""
        descriptor = os.open(folder, os.O_RDONLY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


class Journal:
    """An open journal; made by :func:`open_journal`.

    After any ``OSError`` but for a lack of room the journal refuses further
    writes: it is unknown then which bytes the disk holds, and a second sync
    may claim success for pages that the first one dropped.

    :param disk_id: the identity of this disk, made at its first start.
    :param records: what was restored, oldest first.
    :param damage: what was found damaged at the start, if anything.
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
        """Return the bytes of the file, to judge when to compact."""
        return os.fstat(self._descriptor).st_size

    def append(self, records: abc.Iterable[typing.Any]) -> None:
        """Write a batch of records and sync them once.

        :raises DiskFull: when nothing was written for lack of room.
        :raises JournalError: when the disk failed, now or before.
        """
        data = b''.join(_frame(self._codec, record) for record in records)
        with self._guarded():
            size = self.size
            try:
                self._storage.write(self._descriptor, data)
            except OSError as error:
                self._take_back(size, error)
            self._storage.sync(self._descriptor)

    def _take_back(self, size: int, error: OSError) -> typing.NoReturn:
        """Cut off what a write without room has left.

        A voter that ended for it would start again and again until there is
        room, and each start costs the others more than a silent voter.
        """
        if error.errno not in NO_ROOM:
            raise error
        self._storage.truncate(self._descriptor, size)
        raise DiskFull(folder=self._folder, reason=_describe(error))

    def compact(self, records: abc.Iterable[typing.Any]) -> None:
        """Replace everything by these records.

        The new file is whole and synced before it takes the old one's name,
        so a kill at any step leaves one of the two. The folder is synced
        last; until then a power loss brings back the old file, which is why
        appends wait for it.

        :raises DiskFull: when there is no room; the old file goes on.
        :raises JournalError: when the disk failed, now or before.
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
        # Set before the write: whatever stops it leaves the file in doubt.
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
    """Open the journal of a data folder, and close it in the end.

    :param folder: made if it does not exist.
    :param codec: maps the records; records of unknown kinds are refused.
    :param storage: the file operations; the default ones use the disk.
    :raises FolderLocked: when another process has it open.
    :raises FolderUnusable: when it can't be written.
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
    # Two processes that append to one file would each overwrite what the
    # other has synced.
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
        # The checksum holds, so another version wrote it: the records are
        # good, and no reason to give up the disk.
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
    except _Untrusted as error:
        kept_as = _set_aside(file, storage)
        damage = DiskReplaced(reason=str(error), kept_as=kept_as)
        return _make(folder, codec, storage, damage=damage)
    descriptor = storage.open(file, os.O_RDWR | os.O_APPEND)
    torn = None
    if end < len(data):
        torn = TornTail(offset=end, length=len(data) - end)
        storage.truncate(descriptor, end)
    # What is restored may have been written but never synced before the
    # kill. It is acted on from now on, so it has to last from now on.
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
    """Return the disk id, the records and where the last whole frame ends."""
    header_length = len(MAGIC) + DISK_ID_BYTES + CHECKSUM.size
    header = data[:header_length]
    disk_id = header[len(MAGIC) : len(MAGIC) + DISK_ID_BYTES].hex()
    # The header is synced before the file gets its name, so it is never
    # merely cut short.
    if len(header) < header_length or header != _header(disk_id):
        raise _Untrusted('the header is damaged')
    records = []
    offset = header_length
    while (end := _frame_end(data, offset)) is not None:
        records.append(_read_frame(data, offset, end, codec))
        offset = end
    return disk_id, tuple(records), offset


def _frame_end(data: bytes, offset: int) -> int | None:
    """Return where a frame ends; ``None`` if the file ends inside it.

    A power loss can also leave a last frame of full length with bytes that
    never reached the disk. Here that can't be told from damage to synced
    records, so it costs the disk its identity, which is the safe side.
    """
    if offset + FRAME.size > len(data):
        return None
    name_length, body_length, checksum = FRAME.unpack_from(data, offset)
    lengths = data[offset : offset + LENGTHS.size]
    if xxhash.xxh3_64_intdigest(lengths) != checksum:
        raise _Untrusted(f'the frame at byte {offset} has damaged lengths')
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
        raise _Untrusted(f'the frame at byte {offset} has a wrong checksum')
    kind = content[:name_length].decode()
    return codec.decode(kind, content[name_length:])


def _describe(error: OSError) -> str:
    return error.strerror or str(error)
