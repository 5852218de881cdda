"""Clocks, passed in as an interface so that tests can step them."""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol

__all__ = ["Clock", "ManualClock", "SystemClock"]


class Clock(Protocol):
    """Source of monotonic and wall-clock time."""

    def monotonic(self) -> float:
        """Return seconds that never go back, for leases and deadlines."""

    def utcnow(self) -> datetime:
        """Return the wall-clock time, for display and event stamps only."""


class SystemClock:
    """The clock of this machine."""

    __slots__ = ()

    def monotonic(self) -> float:
        """Return the seconds since boot, suspended time included.

        A lease must not look longer to a suspended host than to others.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def utcnow(self) -> datetime:
        """Return the system's wall-clock time in UTC."""
        return datetime.now(UTC)


class ManualClock:
    """A clock that moves only when told to."""

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
