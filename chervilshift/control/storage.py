"""Durable state of a replica: a write-ahead log and a snapshot file.

The log is a sequence of frames. One frame holds everything one save wrote
and is followed by one fsync, so a frame that does not check out and has no
good frame behind it was never acknowledged: it is a torn tail and is cut.
One with a good frame behind it is damage, and the log is refused.
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

MAGIC = b"CSL1"
HEADER = struct.Struct(">4sII")
LOG_NAME = "log"
SNAPSHOT_NAME = "snapshot"
IDENTITY_NAME = "identity"
INCARNATION_BYTES = 8


class Identity(Message):
    """Who this replica is; drawn when its data folder is formatted."""

    name: str
    incarnation: str
    voters: tuple[Voter, ...] = ()


class Frame(Message):
    """What one save wrote."""

    hard_state: HardState
    entries: tuple[LogEntry, ...] = ()


class Recovered:
    """The state found in a data folder; `cut_bytes` is the torn tail."""

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
    """The file operations used; tests replace it to make them fail."""

    __slots__ = ()

    def write(self, fd: int, data: bytes) -> None:
        """Write all of `data`."""
        view = memoryview(data)
        while view:
            view = view[os.write(fd, view) :]

    def sync(self, fd: int) -> None:
        """Make what was written durable."""
        os.fsync(fd)

    def replace(self, source: Path, target: Path) -> None:
        """Put `source` in place of `target`, durably."""
        source.replace(target)
        folder = os.open(target.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)


class Storage:
    """Keeps one replica's state in `folder`.

    After a failed write nothing more is written: what the file holds then
    is not known, and only a restart reads it back.
    """

    __slots__ = ("_disk", "_end", "_failed", "_fd", "_folder")

    def __init__(self, *, folder: Path, disk: Disk | None = None):
        self._folder = folder
        self._disk = disk or Disk()
        self._fd = -1
        # How far the log is known to be durable.
        self._end = 0
        self._failed: StorageFailed | None = None

    def identity(self) -> Identity | None:
        """Return the identity, or None where the folder is not formatted."""
        path = self._folder / IDENTITY_NAME
        if not path.exists():
            return None
        return msgspec.json.decode(path.read_bytes(), type=Identity)

    def format(self, *, name: str, voters: tuple[Voter, ...]) -> Identity:
        """Draw an identity for an empty folder, or the initial one.

        The first voters of a new cluster know each other beforehand and
        give their set; a replica that joins later gives none.
        """
        own = next((voter for voter in voters if voter.name == name), None)
        incarnation = own.incarnation if own else token_hex(INCARNATION_BYTES)
        identity = Identity(name=name, incarnation=incarnation, voters=voters)
        self._folder.mkdir(parents=True, exist_ok=True)
        self._write_file(IDENTITY_NAME, msgspec.json.encode(identity))
        return identity

    def load(self) -> Result[Recovered, Failure]:
        """Read the state back and open the log for writing."""
        snapshot = self._load_snapshot()
        if snapshot is None:
            path = self._folder / SNAPSHOT_NAME
            return Bad(CorruptLog(path=path, offset=0))
        path = self._folder / LOG_NAME
        data = path.read_bytes() if path.exists() else b""
        frames, end = _scan(data)
        if _has_frame(data, end + 1):
            return Bad(CorruptLog(path=path, offset=end))
        try:
            self._open(path, end)
        except OSError as exc:
            return Bad(self._fail(exc))
        return Success(_recover(snapshot, frames, len(data) - end))

    def save(
        self, hard_state: HardState, entries: tuple[LogEntry, ...]
    ) -> Result[None, Failure]:
        """Make a term, a vote and entries durable."""
        if self._failed is not None:
            return Bad(self._failed)
        frame = _frame(Frame(hard_state=hard_state, entries=entries))
        try:
            self._disk.write(self._fd, frame)
            self._disk.sync(self._fd)
        except OSError as exc:
            return Bad(self._fail(exc))
        self._end += len(frame)
        return Success(None)

    def save_snapshot(
        self,
        snapshot: Snapshot,
        hard_state: HardState,
        entries: tuple[LogEntry, ...],
    ) -> Result[None, Failure]:
        """Replace the log by a snapshot and the entries after it."""
        if self._failed is not None:
            return Bad(self._failed)
        data = msgspec.msgpack.encode(snapshot)
        checked = HEADER.pack(MAGIC, len(data), zlib.crc32(data)) + data
        frame = _frame(Frame(hard_state=hard_state, entries=entries))
        try:
            self._write_file(SNAPSHOT_NAME, checked)
            self._write_file(LOG_NAME, frame)
            self._end = len(frame)
            self.close()
            self._open(self._folder / LOG_NAME, len(frame))
        except OSError as exc:
            return Bad(self._fail(exc))
        return Success(None)

    def reopen(self) -> Result[None, Failure]:
        """Cut what a failed write may have left, so that saves can go on.

        What was saved before stays; the failed save has to be repeated.
        """
        self.close()
        try:
            self._open(self._folder / LOG_NAME, self._end)
        except OSError as exc:
            return Bad(self._fail(exc))
        self._failed = None
        return Success(None)

    def close(self) -> None:
        """Close the log file."""
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1

    def _fail(self, exc: OSError) -> StorageFailed:
        self._failed = StorageFailed(reason=exc.strerror or str(exc))
        return self._failed

    def _open(self, path: Path, end: int) -> None:
        self._folder.mkdir(parents=True, exist_ok=True)
        self._fd = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        os.ftruncate(self._fd, end)
        os.lseek(self._fd, end, os.SEEK_SET)
        self._disk.sync(self._fd)
        self._end = end

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
        body = _body(raw, 0)
        if body is None:
            return None
        return msgspec.msgpack.decode(body, type=Snapshot)


def _frame(frame: Frame) -> bytes:
    data = msgspec.msgpack.encode(frame)
    return HEADER.pack(MAGIC, len(data), zlib.crc32(data)) + data


def _body(data: bytes, offset: int) -> bytes | None:
    """Return the checked body of the frame at `offset`."""
    if len(data) - offset < HEADER.size:
        return None
    magic, size, crc = HEADER.unpack_from(data, offset)
    start = offset + HEADER.size
    body = data[start : start + size]
    if magic != MAGIC or len(body) < size or zlib.crc32(body) != crc:
        return None
    return body


def _scan(data: bytes) -> tuple[list[Frame], int]:
    """Return the good frames from the start, and where they end."""
    frames = []
    offset = 0
    while (body := _body(data, offset)) is not None:
        frames.append(msgspec.msgpack.decode(body, type=Frame))
        offset += HEADER.size + len(body)
    return frames, offset


def _has_frame(data: bytes, offset: int) -> bool:
    """Tell whether any good frame starts at or behind `offset`."""
    while (offset := data.find(MAGIC, offset)) >= 0:
        if _body(data, offset) is not None:
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
