"""Durable state of a replica: a write-ahead log and a snapshot file.

The log is a sequence of frames with checksums. Each save writes one frame and
then calls fsync. An invalid frame with no valid frame after it is the torn
tail of a save that was never acknowledged; it is left out. An invalid frame
with a valid one after it means corruption, and the log is refused.

After a failed write or fsync the content of a file is unknown, even if a later
fsync succeeds. Such a file is not written to again: the durable part is copied
to a new one, also at a start, when failures of the last run are not known.
"""

import errno
import os
import struct
import zlib
from pathlib import Path
from secrets import token_hex

import msgspec
from returns.result import Failure as Bad
from returns.result import Result, Success

from chervilshift.core.message import Message
from chervilshift.core.raft.messages import (
    LogEntry,
    Snapshot,
    Voter,
    initial_snapshot,
)
from chervilshift.core.raft.state import HardState
from chervilshift.errors import CorruptLog, Failure, StorageFailed

__all__ = ["Disk", "Identity", "Recovered", "Storage"]

# A frame is this header (magic, body size in bytes, CRC-32 of the body) and
# the body. The snapshot file is one such frame.
FRAME_MAGIC = b"CSL1"
FRAME_HEADER = struct.Struct(">4sII")
LOG_NAME = "log"
SNAPSHOT_NAME = "snapshot"
IDENTITY_NAME = "identity"
INCARNATION_BYTES = 8


class Identity(Message):
    """Identity of a replica, generated when its data folder is formatted.

    `voters` are the first voters of a new cluster, or empty.
    """

    name: str
    incarnation: str
    voters: tuple[Voter, ...] = ()


class Frame(Message):
    """Body of a log frame: the state written by one save."""

    hard_state: HardState
    entries: tuple[LogEntry, ...] = ()


class Recovered:
    """State read from a data folder.

    `cut_bytes` is the size of the torn tail that was truncated.
    """

    __slots__ = ("cut_bytes", "entries", "hard_state", "snapshot")

    def __init__(
        self,
        *,
        hard_state: HardState,
        snapshot: Snapshot,
        entries: tuple[LogEntry, ...],
        cut_bytes: int = 0,
    ):
        self.hard_state = hard_state
        self.snapshot = snapshot
        self.entries = entries
        self.cut_bytes = cut_bytes


class Disk:
    """File operations of `Storage`; tests replace it to inject failures."""

    __slots__ = ()

    def make_folder(self, folder: Path) -> None:
        """Create a folder and its parents, and make them durable."""
        missing = [
            path for path in (folder, *folder.parents) if not path.exists()
        ]
        for path in reversed(missing):
            path.mkdir(exist_ok=True)
            self.sync_folder(path.parent)

    def create(self, path: Path) -> int:
        """Open an empty file for reading and writing."""
        flags = os.O_RDWR | os.O_CREAT | os.O_TRUNC
        return os.open(path, flags, 0o600)

    def open(self, path: Path) -> int | None:
        """Open a file for reading; return None if it does not exist."""
        try:
            return os.open(path, os.O_RDONLY)
        except FileNotFoundError:
            return None

    def read(self, fd: int) -> bytes:
        """Read the whole file."""
        size = os.fstat(fd).st_size
        parts = []
        offset = 0
        while part := os.pread(fd, size - offset, offset):
            parts.append(part)
            offset += len(part)
        return b"".join(parts)

    def write(self, fd: int, data: bytes) -> None:
        """Write all of `data`."""
        view = memoryview(data)
        while view:
            view = view[os.write(fd, view) :]

    def sync(self, fd: int) -> None:
        """Make written data durable."""
        os.fsync(fd)

    def replace(self, source: Path, target: Path) -> None:
        """Rename `source` to `target` and make the rename durable."""
        self.rename(source, target)
        self.sync_folder(target.parent)

    def rename(self, source: Path, target: Path) -> None:
        """Rename `source` to `target`."""
        source.replace(target)

    def sync_folder(self, folder: Path) -> None:
        """Make the names in a folder durable."""
        fd = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def close(self, fd: int) -> None:
        """Close a file."""
        os.close(fd)


class Storage:
    """Durable state of one replica in `folder`.

    All saves fail after a failed one, until `reopen` has written the durable
    part of the log to a new file.
    """

    __slots__ = (
        "_disk",
        "_durable_bytes",
        "_failed",
        "_fd",
        "_folder",
        "_recovered_log",
    )

    def __init__(self, *, folder: Path, disk: Disk | None = None):
        self._folder = folder
        self._disk = disk or Disk()
        # The file that holds the durable log. Its name may be taken by a
        # newer one already, so only the open file is read and copied.
        self._fd: int | None = None
        # Size of the durable part of that file.
        self._durable_bytes = 0
        # The log as read at the start, until it is written to a new file.
        self._recovered_log: bytes | None = None
        self._failed: StorageFailed | None = None

    def identity(self) -> Identity | None:
        """Return the identity, or None if the folder is not formatted."""
        data = self._read(IDENTITY_NAME)
        if data is None:
            return None
        return msgspec.json.decode(data, type=Identity)

    def format(self, *, name: str, voters: tuple[Voter, ...]) -> Identity:
        """Create and store the identity of an empty folder.

        `voters` are the first voters of a new cluster; the incarnation of
        the one called `name` is used. A replica that joins later passes
        none and gets a random incarnation.
        """
        own_voter = next(
            (voter for voter in voters if voter.name == name), None
        )
        incarnation = (
            own_voter.incarnation
            if own_voter
            else token_hex(INCARNATION_BYTES)
        )
        identity = Identity(name=name, incarnation=incarnation, voters=voters)
        self._disk.make_folder(self._folder)
        data = msgspec.json.encode(identity)
        self._disk.close(self._write_file(IDENTITY_NAME, data))
        return identity

    def load(self) -> Result[Recovered, Failure]:
        """Read the state and open the log for writing.

        Fails with CorruptLog or StorageFailed.
        """
        recovered = self.recover()
        if isinstance(recovered, Bad):
            return recovered
        return self.reopen().map(lambda _: recovered.unwrap())

    def recover(self) -> Result[Recovered, Failure]:
        """Read the state; it is durable once `reopen` has succeeded.

        Fails with CorruptLog or StorageFailed.
        """
        self.close()
        try:
            snapshot = self._load_snapshot()
            data = self._read(LOG_NAME) or b""
        except OSError as exc:
            return Bad(self._record_failure(exc))
        if snapshot is None:
            path = self._folder / SNAPSHOT_NAME
            return Bad(CorruptLog(path=path, offset=0))
        frames, end = _scan_frames(data)
        if _has_valid_frame(data, end + 1):
            return Bad(CorruptLog(path=self._folder / LOG_NAME, offset=end))
        hard_state, entries = _replay(frames)
        self._recovered_log = data[:end]
        if any(
            entry.index == snapshot.index and entry.term != snapshot.term
            for entry in entries
        ):
            # A leader's snapshot replaces a log that differs from its own.
            entries = []
            self._recovered_log = _encode_frame(Frame(hard_state=hard_state))
        kept = tuple(e for e in entries if e.index > snapshot.index)
        if kept and kept[0].index != snapshot.index + 1:
            kept = ()
        return Success(
            Recovered(
                hard_state=hard_state,
                snapshot=snapshot,
                entries=kept,
                cut_bytes=len(data) - end,
            )
        )

    def save(
        self, hard_state: HardState, entries: tuple[LogEntry, ...]
    ) -> Result[None, Failure]:
        """Make a term, a vote, a commit index and entries durable.

        Fails with StorageFailed.
        """
        if (failure := self._refusal()) is not None:
            return Bad(failure)
        frame = _encode_frame(Frame(hard_state=hard_state, entries=entries))
        try:
            self._disk.write(self._fd, frame)
            self._disk.sync(self._fd)
        except OSError as exc:
            return Bad(self._record_failure(exc))
        self._durable_bytes += len(frame)
        return Success(None)

    def save_snapshot(
        self,
        snapshot: Snapshot,
        hard_state: HardState,
        entries: tuple[LogEntry, ...],
    ) -> Result[None, Failure]:
        """Replace the log by a snapshot and the entries after it.

        Fails with StorageFailed. A crash between the two files leaves the
        new snapshot with the old log, from which `load` skips the entries
        that the snapshot covers.
        """
        if (failure := self._refusal()) is not None:
            return Bad(failure)
        data = msgspec.msgpack.encode(snapshot)
        framed = (
            FRAME_HEADER.pack(FRAME_MAGIC, len(data), zlib.crc32(data)) + data
        )
        frame = _encode_frame(Frame(hard_state=hard_state, entries=entries))
        try:
            self._disk.close(self._write_file(SNAPSHOT_NAME, framed))
            self._replace_log(frame)
        except OSError as exc:
            return Bad(self._record_failure(exc))
        return Success(None)

    def reopen(self) -> Result[None, Failure]:
        """Write the durable part of the log to a new file.

        Saves work again afterwards; the caller must repeat the failed one.
        """
        try:
            self._replace_log(self._durable_log())
        except OSError as exc:
            return Bad(self._record_failure(exc))
        self._failed = None
        return Success(None)

    def close(self) -> None:
        """Close the log file."""
        if self._fd is not None:
            self._disk.close(self._fd)
            self._fd = None

    def _record_failure(self, exc: OSError) -> StorageFailed:
        self._failed = StorageFailed(reason=exc.strerror or str(exc))
        return self._failed

    def _refusal(self) -> StorageFailed | None:
        """Return why nothing can be saved, or None."""
        if self._failed is None and self._fd is None:
            return StorageFailed(reason="the log is not open")
        return self._failed

    def _durable_log(self) -> bytes:
        """Read the durable part of the log back."""
        if self._recovered_log is not None:
            return self._recovered_log
        if self._fd is None:
            raise OSError(errno.EBADF, "the log is not open")
        data = self._disk.read(self._fd)[: self._durable_bytes]
        if _scan_frames(data)[1] < self._durable_bytes:
            raise OSError(errno.EIO, "the log can't be read back")
        return data

    def _replace_log(self, data: bytes) -> None:
        fd = self._write_file(LOG_NAME, data)
        self.close()
        self._fd = fd
        self._durable_bytes = len(data)
        self._recovered_log = None

    def _write_file(self, name: str, data: bytes) -> int:
        """Replace a file; return the new one, open behind its content."""
        target = self._folder / name
        temporary = target.with_suffix(".new")
        fd = self._disk.create(temporary)
        try:
            self._disk.write(fd, data)
            self._disk.sync(fd)
            self._disk.replace(temporary, target)
        except OSError:
            self._disk.close(fd)
            raise
        return fd

    def _read(self, name: str) -> bytes | None:
        fd = self._disk.open(self._folder / name)
        if fd is None:
            return None
        try:
            return self._disk.read(fd)
        finally:
            self._disk.close(fd)

    def _load_snapshot(self) -> Snapshot | None:
        raw = self._read(SNAPSHOT_NAME)
        if raw is None:
            identity = self.identity()
            return initial_snapshot(identity.voters if identity else ())
        body = _frame_body(raw, 0)
        if body is None:
            return None
        return msgspec.msgpack.decode(body, type=Snapshot)


def _encode_frame(frame: Frame) -> bytes:
    data = msgspec.msgpack.encode(frame)
    return FRAME_HEADER.pack(FRAME_MAGIC, len(data), zlib.crc32(data)) + data


def _frame_body(data: bytes, offset: int) -> bytes | None:
    """Return the body of the frame at `offset`, or None if it is invalid."""
    if len(data) - offset < FRAME_HEADER.size:
        return None
    magic, size, crc = FRAME_HEADER.unpack_from(data, offset)
    start = offset + FRAME_HEADER.size
    body = data[start : start + size]
    # The checksum of nothing is 0, so a magic number before zeros would pass.
    if magic != FRAME_MAGIC or not size or len(body) < size:
        return None
    if zlib.crc32(body) != crc:
        return None
    return body


def _scan_frames(data: bytes) -> tuple[list[Frame], int]:
    """Return the leading valid frames and the offset of their end."""
    frames = []
    offset = 0
    while (body := _frame_body(data, offset)) is not None:
        frames.append(msgspec.msgpack.decode(body, type=Frame))
        offset += FRAME_HEADER.size + len(body)
    return frames, offset


def _has_valid_frame(data: bytes, offset: int) -> bool:
    """Return whether a valid frame starts at or after `offset`."""
    while (offset := data.find(FRAME_MAGIC, offset)) >= 0:
        if _frame_body(data, offset) is not None:
            return True
        offset += 1
    return False


def _replay(frames: list[Frame]) -> tuple[HardState, list[LogEntry]]:
    """Return the last state and the entries that were not replaced."""
    entries: list[LogEntry] = []
    hard_state = HardState()
    for frame in frames:
        hard_state = frame.hard_state
        if frame.entries:
            first = frame.entries[0].index
            entries = [entry for entry in entries if entry.index < first]
            entries.extend(frame.entries)
    return hard_state, entries
