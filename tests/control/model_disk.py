"""Files in memory, with the failures of disks and losses of power.

A sync that fails writes any part of the file and takes the rest for written,
as page caches do: a later one succeeds without writing it. A loss of power
keeps any part of what was not synced, and renames in their order.
"""

import errno
from pathlib import Path
from random import Random

from chervilshift.control.storage import Disk

__all__ = ["ModelDisk"]

FILLER = b"\0"


class File:
    """Content that is read, content on the disk, and ranges in between."""

    __slots__ = ("cached", "dirty", "durable")

    def __init__(self):
        self.cached = bytearray()
        self.durable = bytearray()
        # Ranges (start, end) that were written since the last sync.
        self.dirty: list[tuple[int, int]] = []

    def truncate(self) -> None:
        self.cached.clear()
        self.durable.clear()
        self.dirty = []

    def flush(self, rng: Random | None) -> None:
        """Write the dirty ranges, with `rng` any part of each."""
        for start, end in self.dirty:
            size = end - start
            written = size if rng is None else draw_part(size, rng)
            padding = max(0, start + written - len(self.durable))
            self.durable += FILLER * padding
            self.durable[start : start + written] = self.cached[
                start : start + written
            ]
            if rng is not None and rng.random() < 0.5:
                # The size reached the disk and the data did not.
                self.durable += FILLER * max(0, end - len(self.durable))
        self.dirty = []


class ModelDisk(Disk):
    """Disk of one host, on which each operation fails if `fails` says so."""

    __slots__ = (
        "_durable_names",
        "_files",
        "_journal",
        "_names",
        "_next_fd",
        "_rng",
        "fails",
    )

    def __init__(self, *, rng: Random, fails=lambda operation: False):
        self._rng = rng
        self.fails = fails
        self._names: dict[Path, File] = {}
        self._durable_names: dict[Path, File] = {}
        # Changes of names since the last sync of the folder: the name that
        # goes, the one that comes, and its file.
        self._journal: list[tuple[Path | None, Path, File]] = []
        self._files: dict[int, File] = {}
        self._next_fd = 3

    # Operations of `Disk`

    def make_folder(self, folder):
        self._check("make_folder")

    def create(self, path):
        self._check("create")
        file = self._names.get(path)
        if file is None:
            file = self._names[path] = File()
            self._journal.append((None, path, file))
        file.truncate()
        return self._new_fd(file)

    def open(self, path):
        self._check("open")
        file = self._names.get(path)
        return None if file is None else self._new_fd(file)

    def read(self, fd):
        self._check("read")
        return bytes(self._files[fd].cached)

    def write(self, fd, data):
        fails = self.fails("write")
        written = draw_part(len(data), self._rng) if fails else len(data)
        file = self._files[fd]
        start = len(file.cached)
        file.cached += data[:written]
        if written:
            file.dirty.append((start, start + written))
        if fails:
            raise OSError(errno.ENOSPC, "injected: write")

    def sync(self, fd):
        fails = self.fails("sync")
        self._files[fd].flush(self._rng if fails else None)
        if fails:
            raise OSError(errno.EIO, "injected: sync")

    def rename(self, source, target):
        self._check("rename")
        file = self._names.pop(source)
        self._names[target] = file
        self._journal.append((source, target, file))

    def sync_folder(self, folder):
        if self.fails("sync_folder"):
            self._apply_journal(self._rng.randint(0, len(self._journal)))
            raise OSError(errno.EIO, "injected: sync_folder")
        self._apply_journal(len(self._journal))

    def close(self, fd):
        del self._files[fd]

    def used_bytes(self) -> int:
        """Return the size of all files."""
        return sum(len(file.cached) for file in self._names.values())

    # Faults

    def end_process(self) -> None:
        """Close all files."""
        self._files = {}

    def lose_power(self) -> None:
        """Keep what was synced and any part of what was not."""
        self.end_process()
        self._apply_journal(self._rng.randint(0, len(self._journal)))
        self._journal = []
        self._names = dict(self._durable_names)
        for file in self._names.values():
            file.flush(self._rng)
            file.cached = bytearray(file.durable)

    def _apply_journal(self, count: int) -> None:
        for source, target, file in self._journal[:count]:
            self._durable_names.pop(source, None)
            self._durable_names[target] = file
        del self._journal[:count]

    def _new_fd(self, file: File) -> int:
        self._next_fd += 1
        self._files[self._next_fd] = file
        return self._next_fd

    def _check(self, operation: str) -> None:
        if self.fails(operation):
            raise OSError(errno.EIO, f"injected: {operation}")


def draw_part(size: int, rng: Random) -> int:
    """Draw how much of `size` bytes is written, often none or all."""
    return rng.choice((0, size, rng.randint(0, size)))
