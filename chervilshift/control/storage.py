"""Durable state of a replica: a write-ahead log and a snapshot file.

The log is a sequence of frames with checksums. Each save writes one frame and
then calls fsync. An invalid frame with no valid frame after it is the torn
tail of a save that was never acknowledged; it is truncated. An invalid frame
with a valid one after it means corruption, and the log is refused.
"""

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
        source.replace(target)
        folder = os.open(target.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)


class Storage:
    """Durable state of one replica in `folder`.

    The content of a file is unknown after a failed write, so all further
    saves fail until `reopen` truncates the log to its durable part or a
    restart reads it back.
    """

    __slots__ = ("_disk", "_durable_end_bytes", "_failed", "_fd", "_folder")

    def __init__(self, *, folder: Path, disk: Disk | None = None):
        self._folder = folder
        self._disk = disk or Disk()
        self._fd = -1
        # Size of the part of the log that is known to be durable.
        self._durable_end_bytes = 0
        self._failed: StorageFailed | None = None

    def identity(self) -> Identity | None:
        """Return the identity, or None if the folder is not formatted."""
        path = self._folder / IDENTITY_NAME
        if not path.exists():
            return None
        return msgspec.json.decode(path.read_bytes(), type=Identity)

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
        self._folder.mkdir(parents=True, exist_ok=True)
        self._write_file(IDENTITY_NAME, msgspec.json.encode(identity))
        return identity

    def load(self) -> Result[Recovered, Failure]:
        """Read the state and open the log for writing.

        Fails with CorruptLog or StorageFailed.
        """
        snapshot = self._load_snapshot()
        if snapshot is None:
            path = self._folder / SNAPSHOT_NAME
            return Bad(CorruptLog(path=path, offset=0))
        path = self._folder / LOG_NAME
        data = path.read_bytes() if path.exists() else b""
        frames, end = _scan_frames(data)
        if _has_valid_frame(data, end + 1):
            return Bad(CorruptLog(path=path, offset=end))
        try:
            self._open(path, end)
        except OSError as exc:
            return Bad(self._record_failure(exc))
        return Success(_recover(snapshot, frames, len(data) - end))

    def save(
        self, hard_state: HardState, entries: tuple[LogEntry, ...]
    ) -> Result[None, Failure]:
        """Make a term, a vote, a commit index and entries durable.

        Fails with StorageFailed.
        """
        if self._failed is not None:
            return Bad(self._failed)
        frame = _encode_frame(Frame(hard_state=hard_state, entries=entries))
        try:
            self._disk.write(self._fd, frame)
            self._disk.sync(self._fd)
        except OSError as exc:
            return Bad(self._record_failure(exc))
        self._durable_end_bytes += len(frame)
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
        if self._failed is not None:
            return Bad(self._failed)
        data = msgspec.msgpack.encode(snapshot)
        framed = (
            FRAME_HEADER.pack(FRAME_MAGIC, len(data), zlib.crc32(data)) + data
        )
        frame = _encode_frame(Frame(hard_state=hard_state, entries=entries))
        try:
            self._write_file(SNAPSHOT_NAME, framed)
            self._write_file(LOG_NAME, frame)
            self._durable_end_bytes = len(frame)
            self.close()
            self._open(self._folder / LOG_NAME, len(frame))
        except OSError as exc:
            return Bad(self._record_failure(exc))
        return Success(None)

    def reopen(self) -> Result[None, Failure]:
        """Remove the remains of a failed write, so that saves work again.

        Earlier saves are kept; the caller must repeat the failed one.
        """
        self.close()
        try:
            self._open(self._folder / LOG_NAME, self._durable_end_bytes)
        except OSError as exc:
            return Bad(self._record_failure(exc))
        self._failed = None
        return Success(None)

    def close(self) -> None:
        """Close the log file."""
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1

    def _record_failure(self, exc: OSError) -> StorageFailed:
        self._failed = StorageFailed(reason=exc.strerror or str(exc))
        return self._failed

    def _open(self, path: Path, end: int) -> None:
        self._folder.mkdir(parents=True, exist_ok=True)
        self._fd = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        os.ftruncate(self._fd, end)
        os.lseek(self._fd, end, os.SEEK_SET)
        self._disk.sync(self._fd)
        self._durable_end_bytes = end

    def _write_file(self, name: str, data: bytes) -> None:
        target = self._folder / name
        temporary = target.with_suffix(".new")
        fd = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            self._disk.write(fd, data)
            self._disk.sync(fd)
        finally:
            os.close(fd)
        self._disk.replace(temporary, target)

    def _load_snapshot(self) -> Snapshot | None:
        path = self._folder / SNAPSHOT_NAME
        if not path.exists():
            identity = self.identity()
            return initial_snapshot(identity.voters if identity else ())
        raw = path.read_bytes()
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


def _recover(
    snapshot: Snapshot, frames: list[Frame], cut_bytes: int
) -> Recovered:
    entries: list[LogEntry] = []
    hard_state = HardState()
    for frame in frames:
        hard_state = frame.hard_state
        if frame.entries:
            first = frame.entries[0].index
            entries = [entry for entry in entries if entry.index < first]
            entries.extend(frame.entries)
    kept = tuple(entry for entry in entries if entry.index > snapshot.index)
    if kept and kept[0].index != snapshot.index + 1:
        kept = ()
    return Recovered(
        hard_state=hard_state,
        snapshot=snapshot,
        entries=kept,
        cut_bytes=cut_bytes,
    )
