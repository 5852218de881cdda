"""Process of the system whose disk is full while a file exists.

`FULL_DISK_FLAG` is the path of that file.
"""

import errno
import os
from pathlib import Path

from chervilshift.__main__ import run
from chervilshift.control import storage

__all__ = ["FlaggedDisk"]


class FlaggedDisk(storage.Disk):
    """Writes half of the data, then fails, while the flag exists."""

    __slots__ = ()

    def write(self, fd, data):
        if Path(os.environ["FULL_DISK_FLAG"]).exists():
            super().write(fd, data[: len(data) // 2])
            raise OSError(errno.ENOSPC, "no space left")
        super().write(fd, data)


if __name__ == "__main__":
    storage.Disk = FlaggedDisk
    run()
