"""Clock interface, system clock and a manual clock for tests."""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol

__all__ = ["Clock", "ManualClock", "SystemClock"]


class Clock(Protocol):
    """Source of monotonic and wall-clock time."""

    def monotonic(self) -> float:
        """Return monotonic seconds, for leases and deadlines."""

    def utcnow(self) -> datetime:
        """Return wall-clock time, for display and event timestamps only."""


class SystemClock:
    """The operating system's clock."""

    __slots__ = ()

    def monotonic(self) -> float:
        """Return the seconds since boot, including suspended time.

        Without the suspended time, a host that was suspended would consider
        a lease valid for longer than other hosts do.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def utcnow(self) -> datetime:
        """Return the system's wall-clock time in UTC."""
        return datetime.now(UTC)


class ManualClock:
    """A clock that moves only when `advance` is called."""

    __slots__ = ("_elapsed_s", "_epoch")

    def __init__(self, *, epoch: datetime = datetime(2026, 1, 1, tzinfo=UTC)):
        self._epoch = epoch
        self._elapsed_s = 0.0

    def monotonic(self) -> float:
        """Return the seconds advanced so far."""
        return self._elapsed_s

    def utcnow(self) -> datetime:
        """Return the epoch plus the seconds advanced so far."""
        return self._epoch + timedelta(seconds=self._elapsed_s)

    def advance(self, seconds: float) -> None:
        """Move the clock forward by `seconds`."""
        self._elapsed_s += seconds
